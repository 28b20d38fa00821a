"""Latency ratios: how long an endpoint takes, relative to the expected latency of such requests.

A request is compared with others of its class and cost over all endpoints, so that heavy requests tell little
about the endpoint that executed them.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.requests import Request

RATIO_STEP = 0.1  # moving average of a latency ratio: about its last ten responses, fewer at low load
MAX_RATIO = 4.0  # one response counts for at most this ratio, so that heavy requests have little influence
EXPECTED_STEP = 0.02  # moving average of the expected latency: about the last fifty responses
# Expected latency before any response, as a fraction of the latency objective.
INITIAL_EXPECTED_OBJECTIVES = 0.3


class Latency:
    """Tracks the expected latencies of classes, and the latency ratios of endpoints relative to them."""

    def __init__(self, load: Load) -> None:
        """Starts with no responses."""
        self._load = load
        # Expected latency over all endpoints, keyed by class name and cost bucket.
        self.expected_us: dict[tuple[str, int], float] = {}

    def retain_classes(self, names: Container[str]) -> None:
        """Drops the expected latencies of classes that are not in `names`."""
        self.expected_us = {key: expected for key, expected in self.expected_us.items() if key[0] in names}

    def expected_latency_us(self, request: Request) -> float:
        """Returns the expected latency of such a request over all endpoints, in microseconds."""
        return self.expected_us.get(
            (request.service_class.name, request.cost_bucket),
            INITIAL_EXPECTED_OBJECTIVES * request.service_class.latency_objective_us,
        )

    def response_received(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        """Updates the endpoint's latency ratio and the expected latency with a response."""
        key = (request.service_class.name, request.cost_bucket)
        # The first response of its kind sets the expected latency.
        expected = self.expected_us.setdefault(key, float(elapsed_us))
        self._update_ratio(endpoint, request, elapsed_us)
        self.expected_us[key] = expected + EXPECTED_STEP * (elapsed_us - expected)

    def attempt_abandoned(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        """Updates the latency ratio with an attempt without response that took longer than expected there."""
        if elapsed_us > self.expected_latency_us(request) * endpoint.latency_ratio:
            self._update_ratio(endpoint, request, elapsed_us)

    def error_received(self, endpoint: Endpoint, request: Request) -> None:
        """Counts an error as the slowest possible response.

        Prevents a server that fails fast from appearing fast.
        """
        self._update_ratio(endpoint, request, int(MAX_RATIO * self.expected_latency_us(request)))

    def _update_ratio(self, endpoint: Endpoint, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self.expected_latency_us(request), 1.0), MAX_RATIO)
        endpoint.latency_ratio += RATIO_STEP * self._load.low_load_factor() * (ratio - endpoint.latency_ratio)


def zone_slowdown(endpoints: Iterable[Endpoint], zone: str) -> float | None:
    """Returns how much slower this zone's endpoints are than the others, by latency ratio.

    Ejected endpoints are left out. 0: as fast as the others; None: one side has no endpoints to compare.
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
