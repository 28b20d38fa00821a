"""Admission control: rejects early what the fleet cannot serve in time, lowest priority first.

Prevents congestion collapse: a fleet that responds to every request too late serves nobody, and clients retry
what fails late. As the concurrency limit fills up, the fraction of requests that is admitted falls
exponentially, and sooner for requests of lower priority. A service level rejects some traffic altogether.
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

# Exponent of the admitted fraction at a full limit, where almost no typical request is admitted.
REJECTION_STEEPNESS = 8.0
# Factor on this exponent for the lowest priority; the factor falls to almost 0 for the highest one.
PRIORITY_SLOPE = 3.0
# Fraction of its latency objective that a rejected client should wait on average.
RETRY_AFTER_OBJECTIVES = 0.15
# Lowest jitter factor on this wait, or on the longest wait if a service level rejects the class.
MIN_RETRY_AFTER_JITTER = 0.5


class AdmissionControl:
    """Decides which new requests are rejected, and when their clients should retry."""

    def __init__(self, context: Context, load: Load, latency: Latency, limit: ConcurrencyLimit) -> None:
        """Starts at full service."""
        self._context = context
        self._load = load
        self._latency = latency
        self._limit = limit
        self._demand = DemandMeter(context)
        self._level: ServiceLevelChanged | None = None  # None: no service level is active
        # Requests that were checked against the limit, and those among them that it rejected.
        self._offered = self._rejected = 0
        self._apply_tenants()

    def _apply_tenants(self) -> None:
        tenants = self._context.settings.tenants
        self._tenant_weights = {each.name: each.weight for each in tenants}
        self._total_tenant_weight = sum(each.weight for each in tenants) or 1.0

    def settings_changed(self) -> None:
        """Applies new tenants and classes."""
        self._apply_tenants()
        self._demand.settings_changed()

    def level_changed(self, level: ServiceLevelChanged) -> None:
        """Applies another service level from now on."""
        self._level = level if level.over_quota_classes or level.rejected_classes else None

    def pressure(self) -> Pressure:
        """Returns the measurements by which service levels are chosen."""
        demanded = self._load.mean + self._demand.load_rejected_by_level()
        return Pressure(self._offered, self._rejected, demanded / self._limit.limit)

    def rejects(self, request: Request, tenant: str | None) -> bool:
        """Returns whether to reject a new request; high utilization and low priority make that likelier."""
        traffic = self._demand.request_arrived(request.service_class, tenant)
        if self._level is not None and self._is_rejected_by_level(traffic, self._level):
            self._demand.request_rejected_by_level(self._latency.expected_latency_us(request))
            # Lets the limit grow; without that, a service level would never be left.
            self._limit.has_rejected = True
            return True
        self._offered += 1
        utilization = self._limit.utilization()
        if utilization <= UNRESTRICTED_UTILIZATION or self._limit.is_idle_too_long():
            return False
        overload = (
            REJECTION_STEEPNESS * (utilization - UNRESTRICTED_UTILIZATION) / (1.0 - UNRESTRICTED_UTILIZATION)
        )
        admitted_fraction = math.exp(-PRIORITY_SLOPE * overload * (1.0 - self._priority_rank(traffic)))
        if utilization < 1.0 and self._context.random.random() < admitted_fraction:
            return False
        self._limit.has_rejected = True
        self._rejected += 1
        return True

    def retry_after(self, request: Request) -> int:
        """Returns after how many microseconds a rejected client should retry, with jitter; 0: no advice.

        Prevents retry storms: clients that retry at once are rejected again, and their requests take up time
        in which others could be served. The advice is short, because a response after the latency objective
        is worth little.
        """
        limits = self._context.settings.limits
        if not limits.retry_after:
            return 0
        generator = self._context.random
        objective_us = request.service_class.latency_objective_us
        wait_us = RETRY_AFTER_OBJECTIVES * objective_us * (MIN_RETRY_AFTER_JITTER + generator.random())
        if self._level is not None and request.service_class.name in self._level.rejected_classes:
            # There is no capacity for this class before the service level ends.
            jitter = MIN_RETRY_AFTER_JITTER + (1.0 - MIN_RETRY_AFTER_JITTER) * generator.random()
            wait_us = limits.max_retry_after_us * jitter
        return min(int(wait_us), limits.max_retry_after_us)

    def _is_rejected_by_level(self, traffic: Traffic, level: ServiceLevelChanged) -> bool:
        """Returns whether the service level rejects this request.

        Of classes that are rejected over quota, the fraction above the tenant's quota is rejected at random.
        """
        class_name = traffic.service_class.name
        if class_name in level.rejected_classes:
            return True
        if class_name not in level.over_quota_classes:
            return False
        within_quota = self._fraction_within_quota(traffic.tenant, self._demand.current_demand())
        return self._context.random.random() >= within_quota

    def _priority_rank(self, own: Traffic) -> float:
        """Returns the fraction of the traffic with lower priority, plus half of that with the same priority.

        Priority is the weight of the class, reduced for demand beyond the tenant's quota. Sidecars see
        different fractions of the traffic, so only the proportions between tenants are compared.
        """
        demand = self._demand.current_demand()
        own_priority = self._priority(own, demand)
        lower = same = 0.0
        for each, rate in demand.by_traffic:
            priority = self._priority(each, demand)
            lower += rate if priority < own_priority else 0.0
            same += rate if priority == own_priority else 0.0
        return (lower + 0.5 * same) / demand.total if demand.total > 0.0 else 0.5

    def _priority(self, traffic: Traffic, demand: Demand) -> float:
        within_quota = self._fraction_within_quota(traffic.tenant, demand)
        over_quota_weight = self._context.settings.over_quota_weight
        return traffic.service_class.priority_weight * (
            within_quota + (1.0 - within_quota) * over_quota_weight
        )

    def _fraction_within_quota(self, tenant: str | None, demand: Demand) -> float:
        """Returns the fraction of a tenant's traffic that is within its quota."""
        weight = self._tenant_weights.get(tenant or "")
        demanded = demand.by_tenant[tenant]
        if weight is None or demanded <= 0.0:
            return 1.0
        return min(1.0, demand.total * weight / self._total_tenant_weight / demanded)
