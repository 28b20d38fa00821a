"""Demand: how much is asked for, by class and tenant."""

from __future__ import annotations

from collections.abc import Iterable

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.settings import ServiceClass

SPAN_AIMS = 4.0  # rates are averaged over this many of the longest aim


class Traffic:
    """One tenant's requests of one class."""

    __slots__ = ("kind", "rate", "tenant")

    def __init__(self, kind: ServiceClass, tenant: str | None, span_us: float) -> None:
        self.kind = kind
        self.tenant = tenant
        self.rate = Rate(span_us)


class Demand:
    """How much is asked for at one instant, per microsecond: by class and tenant, by tenant, and in all."""

    __slots__ = ("all", "by_tenant", "by_traffic")

    def __init__(self, traffic: Iterable[Traffic], now: int) -> None:
        self.by_traffic = [(each, each.rate.per_us(now)) for each in traffic]
        self.by_tenant: dict[str | None, float] = {}
        for each, rate in self.by_traffic:
            self.by_tenant[each.tenant] = self.by_tenant.get(each.tenant, 0.0) + rate
        self.all = sum(rate for _, rate in self.by_traffic)


class DemandMeter:
    """Follows what is asked for."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._traffic: dict[tuple[str, str | None], Traffic] = {}
        self._barred_load = Rate(SPAN_AIMS * context.max_latency_objective_us)

    def settings_changed(self) -> None:
        """Go by the new classes and aims; keep nothing of classes that vanished."""
        classes = self._context.classes
        span = SPAN_AIMS * self._context.max_latency_objective_us
        self._traffic = {key: each for key, each in self._traffic.items() if key[0] in classes}
        for (name, _), each in self._traffic.items():
            each.kind = classes[name]
            each.rate.over(span)
        self._barred_load.over(span)

    def request_arrived(self, kind: ServiceClass, tenant: str | None) -> Traffic:
        """Count a request; return the traffic that it is a part of."""
        key = (kind.name, tenant)
        traffic = self._traffic.get(key)
        if traffic is None:
            span = SPAN_AIMS * self._context.max_latency_objective_us
            traffic = self._traffic[key] = Traffic(kind, tenant, span)
        traffic.rate.add(self._context.now, 1.0)
        return traffic

    def request_barred(self, usual_us: float) -> None:
        """Count a request that a service level kept out, by the usual time of such requests."""
        self._barred_load.add(self._context.now, usual_us)

    def barred_load(self) -> float:
        """What a service level keeps out, as if it were in flight."""
        return self._barred_load.per_us(self._context.now)

    def current(self) -> Demand:
        """The demand at the time of this event."""
        return Demand(self._traffic.values(), self._context.now)
