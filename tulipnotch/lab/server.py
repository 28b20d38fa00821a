"""The model of one order server, without clock, sockets or chance of its own; both times run this one.

A server has `cores` slots.  A request that finds them busy waits in a bounded room, first come first served;
one that finds the room full is turned away unseen.  Work takes `work / pace` seconds, where the pace is the
machine's speed, times how warm it is, divided by how much a choke or a fault slows it, all as they are
when the request begins.  That is an approximation: a request under way does not speed up as its server warms.

Every method takes the time (whole microseconds, never falling) and returns the jobs that began because of it;
whoever drives the model calls `finished` at each one's `until`.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum, unique

from tulipnotch.lab.scenario import Fleet, Kind


@unique
class Stage(Enum):
    """Where a job stands."""

    WAITING = "waiting"
    RUNNING = "running"
    HELD = "held"  # taken by a server that hangs
    OVER = "over"


@unique
class Verdict(Enum):
    """What a server says of a job that is offered."""

    TAKEN = "taken"
    FULL = "full"  # turned away unseen; it never ran
    FAILED = "failed"  # answered with an error; it may have run
    SILENT = "silent"  # taken, and nothing more will be heard


class Job:
    """One attempt at a server."""

    __slots__ = ("key", "mean_us", "origin", "request", "stage", "until", "work_us")

    def __init__(self, request: int, origin: int, work_us: float, mean_us: float, key: int | None) -> None:
        self.request = request  # which request: its attempts share this
        self.origin = origin  # the sidecar that sent it
        self.work_us = work_us  # on a standard core
        self.mean_us = mean_us  # of its class, or its own where requests tell it
        self.key = key
        self.stage = Stage.WAITING
        self.until = 0  # when it will be finished, once it runs


class OrderServer:
    """One order server from its first start on; a crash or a replacement is a call, not a new object."""

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        kind: Kind,
        speed: float,
        fleet: Fleet,
        mean_work_us: float,
        on_begin: Callable[[OrderServer, Job, int], bool],
    ) -> None:
        self.name, self.zone, self.cell, self.kind, self.speed = name, zone, cell, kind.name, speed
        self.cores = kind.cores
        self.cold_from, self.cold_s = fleet.cold_from, fleet.cold_s
        self.is_up = True
        self.is_leaving = False
        self.has_fallen = False
        self.started_at: int | None = None  # None: long ago
        self.hangs = False
        self.fails = 0.0  # the part of requests that end in an error
        self.slowed = 1.0
        self.spoils = 0.0  # the part of answers that come spoilt
        self.choked_at: int | None = None
        self.choked_us = 0  # all time spent choked, as far as it is over
        self.done = 0
        self.most_waiting = 0  # since it was last read
        self._fleet = fleet
        self._slack_us = 3.0 * mean_work_us  # of cold servers' budgets, for chance
        self._on_begin = on_begin  # told of each begin; says whether it is a repeat that is dropped
        self._room = fleet.queue_per_core * self.cores
        self._queue: deque[Job] = deque()
        self._waiting = 0
        self._running: set[Job] = set()
        self._held: list[Job] = []
        self._crowded_since: int | None = None
        self._calm_since: int | None = 0
        self._keys: OrderedDict[int, int] = OrderedDict()
        self._reading, self._read_at = 0, 0
        self._sent: deque[tuple[int, float, int]] = deque()  # while cold: when, work, from which sidecar
        self._sent_us = 0.0
        self.fell: Callable[[OrderServer, int, dict[int, float]], None] | None = None
        # Who judges whether it falls, in place of the slack above: asked at each request while it is cold,
        # with the work of the last fall time and what it bears in that time (both in us on a standard core).
        self.falls: Callable[[OrderServer, float, float], bool] | None = None

    # What can be seen of it

    @property
    def waiting(self) -> int:
        return self._waiting

    @property
    def running(self) -> int:
        return len(self._running)

    @property
    def is_choked(self) -> bool:
        return self.choked_at is not None

    def warmth(self, now: int) -> float:
        """The part of its capacity that it has, 0 to 1; rises evenly from `cold_from` over `cold_s`."""
        if self.started_at is None:
            return 1.0
        gone = (now - self.started_at) / (self.cold_s * 1e6)
        return min(self.cold_from + (1.0 - self.cold_from) * max(gone, 0.0), 1.0)

    def pace(self, now: int) -> float:
        """Work on a standard core that one of its cores does in the same time."""
        choke = self._fleet.choke
        slower = choke.slower if choke is not None and self.is_choked else 1.0
        return self.speed * self.warmth(now) / (slower * self.slowed)

    def report(self, now: int) -> int:
        """The `queue` that a probe reads: as it was at the last refresh."""
        self._settle(now)
        return self._reading

    # What happens to it

    def offer(self, now: int, job: Job, chance: float) -> tuple[Verdict, list[Job]]:
        """A request came whole.  `chance`, drawn by the caller from 0 to 1, decides about an error."""
        self._settle(now)
        self._weigh_cold(now, job)
        if not self.is_up or self.has_fallen:
            return Verdict.SILENT, []
        if self.is_leaving:
            return Verdict.FULL, []
        if self.hangs:
            job.stage = Stage.HELD
            self._held.append(job)
            return Verdict.SILENT, []
        if chance < max(self.fails, self._fleet.error_rate):
            self._on_begin(self, job, now)
            job.stage = Stage.OVER
            return Verdict.FAILED, []
        if len(self._running) >= self.cores and self._waiting >= self._room:
            return Verdict.FULL, []
        self._queue.append(job)
        self._waiting += 1
        self.most_waiting = max(self.most_waiting, self._waiting)
        return Verdict.TAKEN, self._go_on(now)

    def finished(self, now: int, job: Job) -> list[Job]:
        """The job's time is over; it may have been cancelled meanwhile, then nothing happens."""
        self._settle(now)
        if job.stage is not Stage.RUNNING:
            return []
        job.stage = Stage.OVER
        self._running.discard(job)
        self.done += 1
        return self._go_on(now)

    def cancelled(self, now: int, job: Job) -> list[Job]:
        """Its connection closed: work stops where the fleet is made so."""
        self._settle(now)
        if job.stage is Stage.WAITING:
            job.stage = Stage.OVER  # its place in the queue is passed over later
            self._waiting -= 1
        elif job.stage is Stage.RUNNING and self._fleet.stops_cancelled:
            job.stage = Stage.OVER
            self._running.discard(job)
        return self._go_on(now)

    def crash(self, now: int) -> list[Job]:
        """The process dies; what it had is over.  Gives the jobs whose connections break."""
        self._settle(now)
        lost = [job for job in self._queue if job.stage is Stage.WAITING]
        lost += sorted(self._running, key=lambda job: (job.until, job.request))
        lost += self._held
        for job in lost:
            job.stage = Stage.OVER
        self._queue.clear()
        self._running.clear()
        self._held.clear()
        self._keys.clear()
        self._waiting = 0
        self.is_up = False
        self._sent.clear()
        self._sent_us = 0.0
        self._mark(now)
        self._well(now)
        return lost

    def start(self, now: int) -> None:
        """A new process, cold."""
        self.is_up, self.is_leaving, self.has_fallen, self.hangs = True, False, False, False
        self.started_at = now
        self._mark(now)

    def hang(self, now: int) -> None:
        self._settle(now)
        self.hangs = True

    def unhang(self, now: int) -> list[Job]:
        """It works again; what it had swallowed meanwhile is lost."""
        self._settle(now)
        self.hangs = False
        for job in self._held:
            job.stage = Stage.OVER
        self._held.clear()
        return self._go_on(now)

    # The rest

    def _go_on(self, now: int) -> list[Job]:
        """Begin what there is room for."""
        begun: list[Job] = []
        while self._queue and len(self._running) < self.cores and not self.hangs:
            job = self._queue.popleft()
            if job.stage is not Stage.WAITING:
                continue
            self._waiting -= 1
            job.stage = Stage.RUNNING
            is_repeat = self._on_begin(self, job, now)
            work = 0.02 * job.work_us if is_repeat else job.work_us * self._saved(now, job.key)
            job.until = now + max(round(work / self.pace(now)), 1)
            self._running.add(job)
            begun.append(job)
        self._mark(now)
        return begun

    def _saved(self, now: int, key: int | None) -> float:
        """The part of the work that is left where the key was met lately; remembers it."""
        affinity = self._fleet.affinity
        if affinity is None or key is None:
            return 1.0
        met = self._keys.pop(key, None)
        self._keys[key] = now
        if len(self._keys) > affinity.keys_per_core * self.cores:
            self._keys.popitem(last=False)
        return 1.0 - affinity.gain if met is not None and now - met <= affinity.span_s * 1e6 else 1.0

    def _weigh_cold(self, now: int, job: Job) -> None:
        """Count what is sent to a cold server; beyond its budget it falls over and stays down.

        Each request counts as the mean of its class: what it truly costs, no sidecar can know beforehand.
        """
        if self.started_at is None or not self.is_up or self.has_fallen:
            return
        if self.warmth(now) >= 1.0:
            self.started_at = None
            self._sent.clear()
            self._sent_us = 0.0
            return
        fleet = self._fleet
        span = int(fleet.fall_s * 1e6)
        self._sent.append((now, job.mean_us, job.origin))
        self._sent_us += job.mean_us
        while self._sent[0][0] <= now - span:
            self._sent_us -= self._sent.popleft()[1]
        bearable = fleet.fall_multiple * self.cores * self.speed * self.warmth(now) * span
        beyond = self._sent_us > bearable + self._slack_us
        if self.falls is not None:
            beyond = self.falls(self, self._sent_us, bearable)
        if beyond:
            started_at = self.started_at
            self.has_fallen = True
            if self.fell is not None:
                self.fell(self, started_at, self.sent_by())

    def sent_by(self) -> dict[int, float]:
        """While it is cold: the work of the last fall time, by the sidecar that sent it."""
        by_origin: dict[int, float] = {}
        for _, work, origin in self._sent:
            by_origin[origin] = by_origin.get(origin, 0.0) + work
        return by_origin

    def _settle(self, now: int) -> None:
        """Draw the conclusions from how it stood until now, before anything changes."""
        if now >= self._read_at + self._fleet.report_period_s * 1e6:
            self._reading, self._read_at = self._waiting, now
        choke = self._fleet.choke
        if choke is None:
            return
        if self.choked_at is None:
            if self._crowded_since is not None and now - self._crowded_since >= choke.over_s * 1e6:
                self.choked_at = self._crowded_since + int(choke.over_s * 1e6)
                self._mark(now)
        if self.choked_at is not None:
            rested = self._calm_since is not None and now - self._calm_since >= choke.rest_s * 1e6
            if rested or now - self.choked_at >= choke.most_s * 1e6:
                self._well(now)

    def _well(self, now: int) -> None:
        if self.choked_at is not None:
            self.choked_us += now - self.choked_at
            self.choked_at = None
            self._crowded_since = None
            self._mark(now)

    def _mark(self, now: int) -> None:
        """Note since when it has been crowded, or calm."""
        choke = self._fleet.choke
        if choke is None:
            return
        if self._waiting > choke.at * self.cores:
            if self._crowded_since is None:
                self._crowded_since = now
        else:
            self._crowded_since = None
        if len(self._running) < choke.below * self.cores:
            if self._calm_since is None:
                self._calm_since = now
        else:
            self._calm_since = None
