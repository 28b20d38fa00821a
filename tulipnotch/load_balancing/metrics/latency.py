"""Latency ratios: how long a server takes, relative to what is usual for such requests.

A request is compared with others of its class and size, over all servers, so that heavy requests say little
of the server that had them.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.records import Endpoint, Request

RATIO_STEP = 0.1  # a latency ratio follows a server's last ten answers or so, fewer where few are in flight
RATIO_MOST = 4.0  # one answer counts for at most this many usual ones: heavy requests say little of a server
USUAL_STEP = 0.02  # the usual time of a class follows its last fifty answers or so
UNSEEN_AIMS = 0.3  # the usual time before any answer, in aims


class Latency:
    """The usual times of classes, and the latency ratios of servers by them."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self.usual_us: dict[tuple[str, int], float] = {}  # of a class and size, over all servers

    def keep_classes(self, names: Container[str]) -> None:
        """Keep nothing of other classes."""
        self.usual_us = {key: usual for key, usual in self.usual_us.items() if key[0] in names}

    def usual(self, request: Request) -> float:
        """The usual time of such a request, over all servers, in microseconds."""
        return self.usual_us.get(
            (request.service_class.name, request.cost_bucket),
            UNSEEN_AIMS * request.service_class.latency_objective_us,
        )

    def answered(self, server: Endpoint, request: Request, elapsed_us: int) -> None:
        """Learn from an answer, of the server and of such requests."""
        key = (request.service_class.name, request.cost_bucket)
        usual = self.usual_us.setdefault(key, float(elapsed_us))  # the first answer of its kind is usual
        self._follow_ratio(server, request, elapsed_us)
        self.usual_us[key] = usual + USUAL_STEP * (elapsed_us - usual)

    def abandoned(self, server: Endpoint, request: Request, elapsed_us: int) -> None:
        """Learn from an attempt without an answer that took longer than usual at this server."""
        if elapsed_us > self.usual(request) * server.latency_ratio:
            self._follow_ratio(server, request, elapsed_us)

    def failed(self, server: Endpoint, request: Request) -> None:
        """Count an error as the slowest answer there is.

        Prevents taking a server that errors quickly for a quick server.
        """
        self._follow_ratio(server, request, int(RATIO_MOST * self.usual(request)))

    def _follow_ratio(self, server: Endpoint, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self.usual(request), 1.0), RATIO_MOST)
        server.latency_ratio += RATIO_STEP * self._load.stretch() * (ratio - server.latency_ratio)


def zone_lag(servers: Iterable[Endpoint], zone: str) -> float | None:
    """How much slower servers of this zone are than the others, by latency ratio and without ejected ones.

    0: as quick; None: one of the two has no servers to compare.
    """
    near = far = 0.0
    near_count = far_count = 0
    for each in servers:
        if each.ejected_until is not None:
            continue
        if each.zone == zone:
            near += each.latency_ratio
            near_count += 1
        else:
            far += each.latency_ratio
            far_count += 1
    if not near_count or not far_count or far <= 0.0:
        return None
    return (near / near_count) / (far / far_count) - 1.0
