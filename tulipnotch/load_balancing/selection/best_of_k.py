"""Selection: best of k.  Of k random distinct servers, the one with the fewest own requests in flight.

The draw is from a subset of the list, by weights: slower servers, cold ones and those of other zones are
drawn less.  With few requests most counts are zero, so that the draw decides.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.metrics.latency import RATIO_MOST
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.records import BackOff, Endpoint, Request
from tulipnotch.load_balancing.retries import idempotency_rule as repeat_rule
from tulipnotch.load_balancing.selection import weighted_sampling as weighted_draw
from tulipnotch.load_balancing.selection.locality_weights import LocalityWeights
from tulipnotch.load_balancing.selection.subset import subset_size
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart

DRAWN = 4  # k: counts are mostly small here, where two looks find too little
FAR_SLOWER = 2.0  # of servers as busy, one in a zone that is drawn less counts as this much slower
HEAVY_POWER = 3.0  # of its latency ratio, in the weight for a request of four times the mean cost or more
BACK_OFF_AIMS = 0.5  # a class avoids a server for so many of the longest aim after a full answer
BACK_OFF_AIMS_MOST = 4.0  # and for twice as long at each further one in a row, up to this


@dataclass(eq=False)
class Selection:
    """Which server a request is sent to."""

    _context: Context
    _load: Load
    _zones: LocalityWeights
    _slow_start: SlowStart
    _outliers: OutlierDetection

    def choose(self, request: Request) -> Endpoint | None:
        """The server to send a request to; None where no server may have it."""
        trial = self._outliers.trial_due(request)
        if trial is not None:
            return trial
        pool = self._subset(request)
        if not pool:
            return None
        remote = self._zones.remote()
        weights = self._weights(pool, request, remote)
        context = self._context
        zone = context.settings.zone
        # Not always, or nothing would be learnt of the others.
        is_far_slower = remote < 1.0 and context.random.random() >= remote * remote
        far = FAR_SLOWER if is_far_slower else 1.0
        best: Endpoint | None = None
        best_rank = (0, 0.0)
        count = DRAWN << request.overloaded_responses
        for server in weighted_draw.drawn(context.random, pool, weights, count):
            slower = 1.0 if server.zone == zone else far
            rank = (self.busy(server), server.latency_ratio * slower)
            if best is None or rank < best_rank:
                best, best_rank = server, rank
        return best

    def busy(self, server: Endpoint) -> int:
        """Own requests in flight at a server, with those abandoned: they may well run on there.

        Prevents a slow or silent server from looking idle because its attempts were cancelled.
        """
        if server.abandoned:
            now = self._context.now
            server.abandoned = [until for until in server.abandoned if until > now]
        return server.in_flight + len(server.abandoned)

    def full_received(self, server: Endpoint, kind: str) -> None:
        """Avoid a server that was full for a class, for requests of this class.

        Prevents redraws at servers that turn away one class or tenant while they have room for others.  It
        gives way where nothing else is left.
        """
        back_off = server.back_offs.setdefault(kind, BackOff())
        back_off.latency_objectives = (
            min(2.0 * back_off.latency_objectives, BACK_OFF_AIMS_MOST)
            if back_off.latency_objectives
            else BACK_OFF_AIMS
        )
        back_off.until = self._context.after_about(back_off.latency_objectives)

    def answer_received(self, server: Endpoint, kind: str) -> None:
        """A server has room for a class again."""
        server.back_offs.pop(kind, None)

    def settings_changed(self) -> None:
        """Keep nothing of classes that vanished."""
        classes = self._context.classes
        for server in self._context.endpoints.values():
            kept = {name: each for name, each in server.back_offs.items() if name in classes}
            server.back_offs = kept

    def _subset(self, request: Request) -> list[Endpoint]:
        """The first eligible servers in this balancer's own order, as many as its traffic can know.

        Prevents many small balancers from holding a connection each to every server of a large fleet: more
        than servers accept, and none would learn much of any.  A busy balancer reaches all.
        """
        size = subset_size(self._load.mean)
        near_slots, far_slots = self._slots(size)
        zone = self._context.settings.zone
        kind = request.service_class.name
        pool: list[Endpoint] = []
        spare: list[Endpoint] = []
        backing_off: list[Endpoint] = []
        for server in self._context.ready_endpoints:
            if not self._is_eligible(server, request):
                continue
            if server.back_offs and self._is_backing_off(server, kind):
                backing_off.append(server)
                continue
            if server.zone == zone:
                near_slots -= 1
                has_slot = near_slots >= 0
            else:
                far_slots -= 1
                has_slot = far_slots >= 0
            (pool if has_slot else spare).append(server)
            if len(pool) >= size:
                break
        pool += spare[: size - len(pool)]
        return pool or backing_off[:size]

    def _slots(self, size: int) -> tuple[int, int]:
        """How many servers of the own zone, and of others, the subset has; the rest may fill it up."""
        if self._context.settings.cost_weights.cross_zone <= 0.0:
            return size, size
        far = max(round(size * self._zones.remote() * self._zones.far_part), 1)
        return size - far, far

    def _is_eligible(self, server: Endpoint, request: Request) -> bool:
        if server.ejected_until is not None:
            return False
        if request.attempts:
            if server in request.failed_endpoints or not repeat_rule.is_in_group(
                request.service_class, server, request.attempts
            ):
                return False
            if any(each.is_pending and each.endpoint is server for each in request.attempts):
                return False  # a second copy goes elsewhere
        return server.warm_up_started_at is None or self._slow_start.has_room(server, request.work)

    def _is_backing_off(self, server: Endpoint, kind: str) -> bool:
        back_off = server.back_offs.get(kind)
        return back_off is not None and self._context.now < back_off.until

    def _weights(self, pool: list[Endpoint], request: Request, remote: float) -> list[float]:
        """Slower servers are drawn less, still less so for heavy requests, and cold ones by their warmth.

        Only quick servers can answer heavy requests in time.
        """
        zone = self._context.settings.zone
        power = min(max(1.0, float(request.cost_bucket)), HEAVY_POWER)
        weights = []
        for server in pool:
            slowness = math.pow(max(server.latency_ratio, 1.0 / RATIO_MOST), power)
            warmth = 1.0 if server.warm_up_started_at is None else self._slow_start.warmth(server)
            weights.append(warmth / slowness * (1.0 if server.zone == zone else remote))
        return weights
