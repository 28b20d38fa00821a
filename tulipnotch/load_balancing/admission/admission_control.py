"""Admission control: refuse early what the fleet can't serve in time, the least worthy first.

Prevents collapse: a fleet that answers everything too late serves nobody, and clients repeat what fails late.
As the concurrency limit fills, the part let in falls by powers, sooner for requests of less worth.  A service
level keeps some traffic out altogether.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.admission.concurrency_limit import FREE, ConcurrencyLimit
from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import ServiceLevelChanged
from tulipnotch.load_balancing.metrics.demand import Demand, DemandMeter, Traffic
from tulipnotch.load_balancing.metrics.latency import Latency
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.records import Request

STEEPNESS = 8.0  # pressure at a full limit: as good as no typical request is let in
WORTH_SLANT = 3.0  # the least worthy meet this many times the pressure, the most worthy almost none
RETRY_AIMS = 0.15  # a refused client is told to come back in about this part of its aim
RETRY_JITTER_LEAST = 0.5  # of that; or of the longest wait, where a level has closed the class


class AdmissionControl:
    """Which new requests are refused, and when their clients may come back."""

    def __init__(self, context: Context, load: Load, latency: Latency, limit: ConcurrencyLimit) -> None:
        self._context = context
        self._load = load
        self._latency = latency
        self._limit = limit
        self._demand = DemandMeter(context)
        self._level: ServiceLevelChanged | None = None  # None: full service
        self._came = self._refused = 0  # to the limit, and of these refused by it
        self._follow_tenants()

    def _follow_tenants(self) -> None:
        tenants = self._context.settings.tenants
        self._shares = {each.name: each.weight for each in tenants}
        self._all_shares = sum(each.weight for each in tenants) or 1.0

    def settings_changed(self) -> None:
        """Go by the new shares and classes."""
        self._follow_tenants()
        self._demand.settings_changed()

    def level_changed(self, level: ServiceLevelChanged) -> None:
        """Go by another service level from now on."""
        self._level = level if level.over_quota_classes or level.rejected_classes else None

    def pressure(self) -> Pressure:
        """What decides on a service level."""
        wanted = self._load.mean + self._demand.barred_load()
        return Pressure(self._came, self._refused, wanted / self._limit.limit)

    def refuses(self, request: Request, tenant: str | None) -> bool:
        """Whether to refuse a new request: likelier under more pressure, and for less worth."""
        traffic = self._demand.request_arrived(request.service_class, tenant)
        if self._level is not None and self._is_barred(traffic, self._level):
            self._demand.request_barred(self._latency.usual(request))
            self._limit.has_refused = True  # unless the limit can grow, no level is ever left
            return True
        self._came += 1
        fill = self._limit.fill()
        if fill <= FREE or self._limit.is_trial_due():
            return False
        pressure = STEEPNESS * (fill - FREE) / (1.0 - FREE)
        let_in = math.exp(-WORTH_SLANT * pressure * (1.0 - self._standing(traffic)))
        if fill < 1.0 and self._context.random.random() < let_in:
            return False
        self._limit.has_refused = True
        self._refused += 1
        return True

    def retry_after(self, request: Request) -> int:
        """In how many microseconds a refused client may as well ask again, with jitter; 0: nothing is said.

        Prevents storms: clients that ask again at once are refused again, and their requests take the time
        in which others could be served.  Later than within its aim, an answer is worth little.
        """
        limits = self._context.settings.limits
        if not limits.retry_after:
            return 0
        chance = self._context.random
        wait = (
            RETRY_AIMS * request.service_class.latency_objective_us * (RETRY_JITTER_LEAST + chance.random())
        )
        if self._level is not None and request.service_class.name in self._level.rejected_classes:
            # There is no room before the level ends.
            jitter = RETRY_JITTER_LEAST + (1.0 - RETRY_JITTER_LEAST) * chance.random()
            wait = limits.max_retry_after_us * jitter
        return min(int(wait), limits.max_retry_after_us)

    def _is_barred(self, traffic: Traffic, level: ServiceLevelChanged) -> bool:
        """Whether the level keeps this request out; of traffic over a share, the part that is over."""
        if traffic.kind.name in level.rejected_classes:
            return True
        if traffic.kind.name not in level.over_quota_classes:
            return False
        demand = self._demand.current()
        inside = self._inside_share(traffic.tenant, demand)
        return self._context.random.random() >= inside

    def _standing(self, own: Traffic) -> float:
        """The part of the traffic that is worth less, counting half of what is worth the same.

        A request is worth what its class is, less what its tenant asks beyond its share.  Sidecars see
        different parts of the traffic, so only the tenants' proportions are compared.
        """
        demand = self._demand.current()
        own_worth = self._worth(own, demand)
        below = same = 0.0
        for each, rate in demand.by_traffic:
            worth = self._worth(each, demand)
            below += rate if worth < own_worth else 0.0
            same += rate if worth == own_worth else 0.0
        return (below + 0.5 * same) / demand.all if demand.all > 0.0 else 0.5

    def _worth(self, traffic: Traffic, demand: Demand) -> float:
        inside = self._inside_share(traffic.tenant, demand)
        return traffic.kind.priority_weight * (
            inside + (1.0 - inside) * self._context.settings.over_quota_weight
        )

    def _inside_share(self, tenant: str | None, demand: Demand) -> float:
        """The part of a tenant's traffic that is inside its share."""
        share = self._shares.get(tenant or "")
        asked = demand.by_tenant[tenant]
        if share is None or asked <= 0.0:
            return 1.0
        return min(1.0, demand.all * share / self._all_shares / asked)
