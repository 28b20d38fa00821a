"""Latency ratios: how long an endpoint takes, relative to what is usual for such requests.

A request is compared with others of its class and cost, over all endpoints, so that heavy requests show
little of the endpoint that had them.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.requests import Request

RATIO_STEP = 0.1  # a latency ratio follows the last ten responses or so, fewer where few are in flight
MAX_RATIO = 4.0  # one response counts for at most this many usual ones: heavy requests show little
EXPECTED_STEP = 0.02  # the usual time of a class follows its last fifty responses or so
INITIAL_EXPECTED_OBJECTIVES = 0.3  # the usual time before any response, as a part of the objective


class Latency:
    """The usual times of classes, and the latency ratios of endpoints by them."""

    def __init__(self, load: Load) -> None:
        """Begin with no response seen."""
        self._load = load
        self.expected_us: dict[tuple[str, int], float] = {}  # of a class and cost bucket, over all endpoints

    def retain_classes(self, names: Container[str]) -> None:
        """Drop what was learnt of other classes."""
        self.expected_us = {key: expected for key, expected in self.expected_us.items() if key[0] in names}

    def expected_latency_us(self, request: Request) -> float:
        """The usual time of such a request, over all endpoints, in microseconds."""
        return self.expected_us.get(
            (request.service_class.name, request.cost_bucket),
            INITIAL_EXPECTED_OBJECTIVES * request.service_class.latency_objective_us,
        )

    def response_received(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        """Learn from a response, of the endpoint and of such requests."""
        key = (request.service_class.name, request.cost_bucket)
        expected = self.expected_us.setdefault(
            key, float(elapsed_us)
        )  # the first response of its kind is usual
        self._update_ratio(endpoint, request, elapsed_us)
        self.expected_us[key] = expected + EXPECTED_STEP * (elapsed_us - expected)

    def attempt_abandoned(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        """Learn from an attempt without a response that took longer than usual at this endpoint."""
        if elapsed_us > self.expected_latency_us(request) * endpoint.latency_ratio:
            self._update_ratio(endpoint, request, elapsed_us)

    def error_received(self, endpoint: Endpoint, request: Request) -> None:
        """Count an error as the slowest response there is.

        Prevents taking a server that fails quickly for a quick server.
        """
        self._update_ratio(endpoint, request, int(MAX_RATIO * self.expected_latency_us(request)))

    def _update_ratio(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self.expected_latency_us(request), 1.0), MAX_RATIO)
        endpoint.latency_ratio += RATIO_STEP * self._load.low_load_factor() * (ratio - endpoint.latency_ratio)


def zone_slowdown(endpoints: Iterable[Endpoint], zone: str) -> float | None:
    """How much slower the endpoints of this zone are than the others, by latency ratio, without ejected ones.

    0: as quick; None: one of the two has no endpoints to compare.
    """
    local_sum = remote_sum = 0.0
    local_count = remote_count = 0
    for endpoint in endpoints:
        if endpoint.ejection is not None:
            continue
        if endpoint.zone == zone:
            local_sum += endpoint.latency_ratio
            local_count += 1
        else:
            remote_sum += endpoint.latency_ratio
            remote_count += 1
    if not local_count or not remote_count or remote_sum <= 0.0:
        return None
    return (local_sum / local_count) / (remote_sum / remote_count) - 1.0
