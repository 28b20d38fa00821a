"""Selection by best of k: of k distinct random endpoints, the one with the fewest own requests in flight.

The k endpoints are sampled by weight from a subset of the list: slower endpoints, those that are warming up
and those in other zones are sampled less often. With few requests most counts are zero, so the sampling
decides.
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

# The k of best of k; the numbers in flight are mostly small, where two choices find too little difference.
CHOICE_COUNT = 4
# Factor on the latency ratio of endpoints in other zones while these are sampled less; it decides between
# endpoints with equally many requests in flight.
REMOTE_LATENCY_FACTOR = 2.0
# Maximum exponent of the latency ratio, for requests of four times the mean cost or more.
MAX_LATENCY_EXPONENT = 3.0
# Back-off of a class after an overloaded response, in longest latency objectives.
INITIAL_BACK_OFF_OBJECTIVES = 0.5
# Maximum of the back-off, which doubles with each further such response in a row.
MAX_BACK_OFF_OBJECTIVES = 4.0


@dataclass(eq=False)
class Selection:
    """Selects the endpoint that an attempt goes to."""

    _context: Context
    _load: Load
    _locality_weights: LocalityWeights
    _slow_start: SlowStart
    _outlier_detection: OutlierDetection

    def choose_endpoint(self, request: Request) -> Endpoint | None:
        """Returns the endpoint to send a request to; None if none is eligible."""
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
        # Applied at random, so that the latency of other zones is still measured now and then.
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

    def has_alternative(self, request: Request, endpoint: Endpoint) -> bool:
        """Returns whether a request could be sent to any other endpoint than this one."""
        return any(
            each is not endpoint and self._is_eligible(each, request)
            for each in self._context.ready_endpoints
        )

    def estimated_in_flight(self, endpoint: Endpoint) -> int:
        """Returns the own requests in flight at an endpoint, with abandoned ones that may still be executing.

        Prevents a slow or unresponsive server from appearing idle because its attempts were cancelled.
        """
        if endpoint.abandoned_until:
            now = self._context.now
            endpoint.abandoned_until = [until for until in endpoint.abandoned_until if until > now]
        return endpoint.in_flight + len(endpoint.abandoned_until)

    def overloaded_response_received(self, endpoint: Endpoint, class_name: str) -> None:
        """Starts or extends an endpoint's back-off for a class to which it responded that it is overloaded.

        Prevents redraws at servers that reject one class or tenant while they have capacity for others.
        Endpoints in back-off are used if no other is eligible.
        """
        back_off = endpoint.back_offs.setdefault(class_name, BackOff())
        back_off.latency_objectives = (
            min(2.0 * back_off.latency_objectives, MAX_BACK_OFF_OBJECTIVES)
            if back_off.latency_objectives
            else INITIAL_BACK_OFF_OBJECTIVES
        )
        back_off.until = self._context.jittered_time_after(back_off.latency_objectives)

    def response_received(self, endpoint: Endpoint, class_name: str) -> None:
        """Ends an endpoint's back-off for a class, because it has capacity again."""
        endpoint.back_offs.pop(class_name, None)

    def settings_changed(self) -> None:
        """Drops the back-offs of classes that no longer exist."""
        classes = self._context.classes
        for endpoint in self._context.endpoints.values():
            endpoint.back_offs = {name: each for name, each in endpoint.back_offs.items() if name in classes}

    def _subset(self, request: Request) -> list[Endpoint]:
        """Returns the first eligible endpoints in this balancer's order, as many as its traffic can measure.

        Prevents many small balancers from each holding a connection to every server of a large fleet: that is
        more than servers accept, and none of them would measure much of any server. A busy balancer uses all
        endpoints.
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
        """Returns how many endpoints of the own zone, and of other zones, the subset has.

        Endpoints beyond these numbers are used only to fill up the subset.
        """
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
                return False  # a hedged request must go to another endpoint
        return endpoint.warm_up is None or self._slow_start.has_budget(endpoint, request.work)

    def _is_backing_off(self, endpoint: Endpoint, class_name: str) -> bool:
        back_off = endpoint.back_offs.get(class_name)
        return back_off is not None and self._context.now < back_off.until

    def _weights(self, pool: list[Endpoint], request: Request, remote_weight: float) -> list[float]:
        """Returns sampling weights: lower for slower endpoints, for those warming up, and for other zones.

        Slower endpoints weigh even less for heavy requests, because only fast servers can respond to these in
        time.
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
