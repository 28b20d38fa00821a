"""Selection: best of k.  Of k random distinct endpoints, the one with the fewest own requests in flight.

The draw is from a subset of the list, by weights: slower endpoints, those that warm up and those of other
zones are drawn less.  With few requests most counts are zero, so that the draw decides.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import BackOff, Endpoint
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.metrics.latency import MAX_RATIO
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.requests import Request
from tulipnotch.load_balancing.retries import idempotency_rule
from tulipnotch.load_balancing.selection.locality_weights import LocalityWeights
from tulipnotch.load_balancing.selection.subset import subset_size
from tulipnotch.load_balancing.selection.weighted_sampling import weighted_sample
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart, warm_up_factor

CHOICE_COUNT = 4  # k: counts are mostly small here, where two choices find too little
REMOTE_LATENCY_FACTOR = (
    2.0  # of endpoints as busy, one in a zone that is drawn less counts as this much slower
)
MAX_LATENCY_EXPONENT = 3.0  # of the latency ratio, for a request of four times the mean cost or more
INITIAL_BACK_OFF_OBJECTIVES = (
    0.5  # of the longest objective: back-off of a class after an overloaded response
)
MAX_BACK_OFF_OBJECTIVES = 4.0  # it doubles at each further one in a row, up to this


@dataclass(eq=False)
class Selection:
    """The endpoint that an attempt goes to."""

    _context: Context
    _load: Load
    _locality_weights: LocalityWeights
    _slow_start: SlowStart
    _outlier_detection: OutlierDetection

    def choose_endpoint(self, request: Request) -> Endpoint | None:
        """The endpoint to send a request to; None where none is eligible."""
        probation = self._outlier_detection.probation_due(request)
        if probation is not None:
            return probation
        pool = self._subset(request)
        if not pool:
            return None
        remote_weight = self._locality_weights.remote_weight()
        weights = self._weights(pool, request, remote_weight)
        context = self._context
        zone = context.settings.zone
        # Not always, or nothing would be learnt of other zones.
        is_remote_penalized = remote_weight < 1.0 and context.random.random() >= remote_weight * remote_weight
        remote_latency_factor = REMOTE_LATENCY_FACTOR if is_remote_penalized else 1.0
        best: Endpoint | None = None
        best_rank = (0, 0.0)
        count = CHOICE_COUNT << request.overloaded_responses
        for endpoint in weighted_sample(context.random, pool, weights, count):
            latency_factor = 1.0 if endpoint.zone == zone else remote_latency_factor
            rank = (self.estimated_in_flight(endpoint), endpoint.latency_ratio * latency_factor)
            if best is None or rank < best_rank:
                best, best_rank = endpoint, rank
        return best

    def estimated_in_flight(self, endpoint: Endpoint) -> int:
        """Own requests in flight at an endpoint, with abandoned ones, which may still be executing.

        Prevents a slow or unresponsive server from appearing idle because its attempts were cancelled.
        """
        if endpoint.abandoned_until:
            now = self._context.now
            endpoint.abandoned_until = [until for until in endpoint.abandoned_until if until > now]
        return endpoint.in_flight + len(endpoint.abandoned_until)

    def overloaded_response_received(self, endpoint: Endpoint, class_name: str) -> None:
        """Avoid an endpoint that was overloaded for a class, for requests of this class.

        Prevents redraws at servers that reject one class or tenant while they have capacity for others.  An
        avoided endpoint is used where no other is eligible.
        """
        back_off = endpoint.back_offs.setdefault(class_name, BackOff())
        back_off.latency_objectives = (
            min(2.0 * back_off.latency_objectives, MAX_BACK_OFF_OBJECTIVES)
            if back_off.latency_objectives
            else INITIAL_BACK_OFF_OBJECTIVES
        )
        back_off.until = self._context.jittered_time_after(back_off.latency_objectives)

    def response_received(self, endpoint: Endpoint, class_name: str) -> None:
        """End an endpoint's back-off for a class, since it has capacity again."""
        endpoint.back_offs.pop(class_name, None)

    def settings_changed(self) -> None:
        """Drop the back-offs of classes that no longer exist."""
        classes = self._context.classes
        for endpoint in self._context.endpoints.values():
            endpoint.back_offs = {name: each for name, each in endpoint.back_offs.items() if name in classes}

    def _subset(self, request: Request) -> list[Endpoint]:
        """The first eligible endpoints in this balancer's own order, as many as its traffic can learn of.

        Prevents many small balancers from holding a connection each to every server of a large fleet: more
        than servers accept, and none would learn much of any.  A busy balancer reaches all.
        """
        size = subset_size(self._load.mean)
        local_slots, remote_slots = self._zone_slots(size)
        zone = self._context.settings.zone
        class_name = request.service_class.name
        pool: list[Endpoint] = []
        surplus: list[Endpoint] = []
        backing_off: list[Endpoint] = []
        for endpoint in self._context.ready_endpoints:
            if not self._is_eligible(endpoint, request):
                continue
            if endpoint.back_offs and self._is_backing_off(endpoint, class_name):
                backing_off.append(endpoint)
                continue
            if endpoint.zone == zone:
                local_slots -= 1
                has_slot = local_slots >= 0
            else:
                remote_slots -= 1
                has_slot = remote_slots >= 0
            (pool if has_slot else surplus).append(endpoint)
            if len(pool) >= size:
                break
        pool += surplus[: size - len(pool)]
        return pool or backing_off[:size]

    def _zone_slots(self, size: int) -> tuple[int, int]:
        """How many endpoints of the own zone, and of others, the subset has; the surplus may fill it up."""
        if self._context.settings.cost_weights.cross_zone <= 0.0:
            return size, size
        weights = self._locality_weights
        remote = max(round(size * weights.remote_weight() * weights.remote_fraction), 1)
        return size - remote, remote

    def _is_eligible(self, endpoint: Endpoint, request: Request) -> bool:
        if endpoint.ejection is not None:
            return False
        if request.attempts:
            if endpoint in request.failed_endpoints or not idempotency_rule.is_in_deduplication_scope(
                request.service_class, endpoint, request.attempts
            ):
                return False
            if any(each.is_pending and each.endpoint is endpoint for each in request.attempts):
                return False  # a hedged request goes to another endpoint
        return endpoint.warm_up is None or self._slow_start.has_budget(endpoint, request.work)

    def _is_backing_off(self, endpoint: Endpoint, class_name: str) -> bool:
        back_off = endpoint.back_offs.get(class_name)
        return back_off is not None and self._context.now < back_off.until

    def _weights(self, pool: list[Endpoint], request: Request, remote_weight: float) -> list[float]:
        """Slower endpoints weigh less, still less for heavy requests; the warm-up factor counts too.

        Only quick servers can respond to heavy requests in time.
        """
        now, settings = self._context.now, self._context.settings
        rules, zone = settings.rules, settings.zone
        exponent = min(max(1.0, float(request.cost_bucket)), MAX_LATENCY_EXPONENT)
        weights = []
        for endpoint in pool:
            latency_factor = math.pow(max(endpoint.latency_ratio, 1.0 / MAX_RATIO), exponent)
            warm_up = endpoint.warm_up
            warm_factor = 1.0 if warm_up is None else warm_up_factor(rules, warm_up.started_at, now)
            weights.append(warm_factor / latency_factor * (1.0 if endpoint.zone == zone else remote_weight))
        return weights
