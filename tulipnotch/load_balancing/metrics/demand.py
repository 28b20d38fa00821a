"""Demand: the rate of arriving requests, by class and tenant."""

from __future__ import annotations

from collections.abc import Iterable

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.settings import ServiceClass

RATE_WINDOW_OBJECTIVES = 4.0  # averaging window of the rates, in longest latency objectives


class Traffic:
    """The requests of one tenant and one class."""

    __slots__ = ("rate", "service_class", "tenant")

    def __init__(self, service_class: ServiceClass, tenant: str | None, window_us: float) -> None:
        """Starts at rate 0, averaged over `window_us`."""
        self.service_class = service_class
        self.tenant = tenant
        self.rate = Rate(window_us)


class Demand:
    """Requests per microsecond at one instant: by class and tenant, by tenant, and in total."""

    __slots__ = ("by_tenant", "by_traffic", "total")

    def __init__(self, traffic: Iterable[Traffic], now: int) -> None:
        """Sums up the rates of `traffic` as of clock time `now`."""
        self.by_traffic = [(each, each.rate.per_us(now)) for each in traffic]
        self.by_tenant: dict[str | None, float] = {}
        for each, rate in self.by_traffic:
            self.by_tenant[each.tenant] = self.by_tenant.get(each.tenant, 0.0) + rate
        self.total = sum(rate for _, rate in self.by_traffic)


class DemandMeter:
    """Measures the demand by counting arriving requests."""

    def __init__(self, context: Context) -> None:
        """Starts with no traffic."""
        self._context = context
        self._traffic: dict[tuple[str, str | None], Traffic] = {}
        self._load_rejected_by_level = Rate(RATE_WINDOW_OBJECTIVES * context.max_latency_objective_us)

    def settings_changed(self) -> None:
        """Applies new classes and objectives; drops the traffic of classes that no longer exist."""
        classes = self._context.classes
        window_us = RATE_WINDOW_OBJECTIVES * self._context.max_latency_objective_us
        self._traffic = {key: each for key, each in self._traffic.items() if key[0] in classes}
        for (name, _), each in self._traffic.items():
            each.service_class = classes[name]
            each.rate.set_window(window_us)
        self._load_rejected_by_level.set_window(window_us)

    def request_arrived(self, service_class: ServiceClass, tenant: str | None) -> Traffic:
        """Counts a request; returns the traffic that it belongs to."""
        key = (service_class.name, tenant)
        traffic = self._traffic.get(key)
        if traffic is None:
            window_us = RATE_WINDOW_OBJECTIVES * self._context.max_latency_objective_us
            traffic = self._traffic[key] = Traffic(service_class, tenant, window_us)
        traffic.rate.add(self._context.now, 1.0)
        return traffic

    def request_rejected_by_level(self, expected_us: float) -> None:
        """Counts a request that a service level rejected, weighted by its expected latency."""
        self._load_rejected_by_level.add(self._context.now, expected_us)

    def load_rejected_by_level(self) -> float:
        """Returns how many requests would be in flight in addition if the service level rejected none."""
        return self._load_rejected_by_level.per_us(self._context.now)

    def current_demand(self) -> Demand:
        """Returns the demand at the time of this event."""
        return Demand(self._traffic.values(), self._context.now)
