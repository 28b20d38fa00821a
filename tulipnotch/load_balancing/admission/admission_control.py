"""Admission control: rejects early what the fleet can't serve in time, lowest priority first.

Prevents collapse: a fleet that responds to everything too late serves nobody, and clients retry what fails
late.  As the concurrency limit fills, the part admitted falls exponentially, sooner for requests of lower
priority.  A service level rejects some traffic altogether.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.admission.concurrency_limit import UNRESTRICTED_UTILIZATION, ConcurrencyLimit
from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import ServiceLevelChanged
from tulipnotch.load_balancing.metrics.demand import Demand, DemandMeter, Traffic
from tulipnotch.load_balancing.metrics.latency import Latency
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.requests import Request

REJECTION_STEEPNESS = 8.0  # at a full limit: next to no typical request is admitted
PRIORITY_SLOPE = 3.0  # the lowest priority meets this many times the pressure, the highest almost none
RETRY_AFTER_OBJECTIVES = 0.15  # a rejected client is advised to wait about this part of its objective
MIN_RETRY_AFTER_JITTER = 0.5  # of that; or of the longest wait, where a level rejects the class


class AdmissionControl:
    """Which new requests are rejected, and when their clients may retry."""

    def __init__(self, context: Context, load: Load, latency: Latency, limit: ConcurrencyLimit) -> None:
        """Begin at full service."""
        self._context = context
        self._load = load
        self._latency = latency
        self._limit = limit
        self._demand = DemandMeter(context)
        self._level: ServiceLevelChanged | None = None  # None: full service
        self._offered = self._rejected = 0  # to the limit, and of these rejected by it
        self._apply_tenants()

    def _apply_tenants(self) -> None:
        tenants = self._context.settings.tenants
        self._weights = {each.name: each.weight for each in tenants}
        self._total_weight = sum(each.weight for each in tenants) or 1.0

    def settings_changed(self) -> None:
        """Apply new tenants and classes."""
        self._apply_tenants()
        self._demand.settings_changed()

    def level_changed(self, level: ServiceLevelChanged) -> None:
        """Apply another service level from now on."""
        self._level = level if level.over_quota_classes or level.rejected_classes else None

    def pressure(self) -> Pressure:
        """What service levels are decided by."""
        demanded = self._load.mean + self._demand.barred_load()
        return Pressure(self._offered, self._rejected, demanded / self._limit.limit)

    def rejects(self, request: Request, tenant: str | None) -> bool:
        """Whether to reject a new request: likelier under more pressure, and at lower priority."""
        traffic = self._demand.request_arrived(request.service_class, tenant)
        if self._level is not None and self._is_barred(traffic, self._level):
            self._demand.request_barred(self._latency.usual(request))
            self._limit.has_rejected = True  # unless the limit can grow, no level is ever left
            return True
        self._offered += 1
        fill = self._limit.fill()
        if fill <= UNRESTRICTED_UTILIZATION or self._limit.is_idle_for_long():
            return False
        pressure = REJECTION_STEEPNESS * (fill - UNRESTRICTED_UTILIZATION) / (1.0 - UNRESTRICTED_UTILIZATION)
        admitted_part = math.exp(-PRIORITY_SLOPE * pressure * (1.0 - self._priority_rank(traffic)))
        if fill < 1.0 and self._context.random.random() < admitted_part:
            return False
        self._limit.has_rejected = True
        self._rejected += 1
        return True

    def retry_after(self, request: Request) -> int:
        """In how many microseconds a rejected client should retry, with jitter; 0: no advice.

        Prevents retry storms: clients that retry at once are rejected again, and their requests take the time
        in which others could be served.  Later than within its objective, a response is worth little.
        """
        limits = self._context.settings.limits
        if not limits.retry_after:
            return 0
        generator = self._context.random
        objective_us = request.service_class.latency_objective_us
        wait_us = RETRY_AFTER_OBJECTIVES * objective_us * (MIN_RETRY_AFTER_JITTER + generator.random())
        if self._level is not None and request.service_class.name in self._level.rejected_classes:
            # There is no capacity before the level ends.
            jitter = MIN_RETRY_AFTER_JITTER + (1.0 - MIN_RETRY_AFTER_JITTER) * generator.random()
            wait_us = limits.max_retry_after_us * jitter
        return min(int(wait_us), limits.max_retry_after_us)

    def _is_barred(self, traffic: Traffic, level: ServiceLevelChanged) -> bool:
        """Whether the level rejects this request; of traffic over a quota, the part that is over."""
        class_name = traffic.service_class.name
        if class_name in level.rejected_classes:
            return True
        if class_name not in level.over_quota_classes:
            return False
        within_quota = self._part_within_quota(traffic.tenant, self._demand.current())
        return self._context.random.random() >= within_quota

    def _priority_rank(self, own: Traffic) -> float:
        """The part of the traffic that has lower priority, counting half of what has the same.

        Priority is the weight of the class, reduced for what the tenant demands beyond its quota.  Sidecars
        see different parts of the traffic, so only the tenants' proportions are compared.
        """
        demand = self._demand.current()
        own_priority = self._priority(own, demand)
        lower = same = 0.0
        for each, rate in demand.by_traffic:
            priority = self._priority(each, demand)
            lower += rate if priority < own_priority else 0.0
            same += rate if priority == own_priority else 0.0
        return (lower + 0.5 * same) / demand.total if demand.total > 0.0 else 0.5

    def _priority(self, traffic: Traffic, demand: Demand) -> float:
        within_quota = self._part_within_quota(traffic.tenant, demand)
        over_quota_weight = self._context.settings.over_quota_weight
        return traffic.service_class.priority_weight * (
            within_quota + (1.0 - within_quota) * over_quota_weight
        )

    def _part_within_quota(self, tenant: str | None, demand: Demand) -> float:
        """The part of a tenant's traffic that is within its quota."""
        weight = self._weights.get(tenant or "")
        demanded = demand.by_tenant[tenant]
        if weight is None or demanded <= 0.0:
            return 1.0
        return min(1.0, demand.total * weight / self._total_weight / demanded)
