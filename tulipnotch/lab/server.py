"""Model of one order server, without a clock, sockets or randomness; virtual and real time both run it.

A server has `cores` slots.  A request that finds all of them busy waits in a bounded queue, first come first
served; one that finds the queue full is rejected without being executed.  A request takes `work / speed`
seconds, where the speed is the machine's, times the warm-up factor, divided by the slowdown of an overload or
a fault, all as they are when execution starts.  That is an approximation: a running request does not speed
up while its server warms up.

Times are whole microseconds and never decrease.  Every method that returns jobs, except `crash`, returns
those that start because of the call; the caller schedules `finish_job` at the `finishes_at` of each.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum, unique

from tulipnotch.lab.scenario import Fleet, MachineType


@unique
class JobState(Enum):
    """State of a job at its server."""

    WAITING = "waiting"
    RUNNING = "running"
    STALLED = "held"  # accepted by a hanging server, which will not execute it
    ENDED = "over"


@unique
class AdmissionResult(Enum):
    """How a server reacts to a job that it receives."""

    ACCEPTED = "taken"
    REJECTED = "full"  # the job has not been executed
    FAILED = "failed"  # the server responds with an error; the job may have been executed
    NO_RESPONSE = "silent"


class Job:
    """One attempt at a server.

    Attributes:
        request: The id of the request, which all of its attempts share.
        sidecar: The index of the sidecar that sent the attempt.
        work_us: The work of the attempt on a standard core, microseconds.
        expected_work_us: The mean work of the request's class, or its own work if requests announce it.
        key: The key of the request, if it has one.
        state: The job's state.
        finishes_at: When it will finish, microseconds; 0 until it starts to run.
    """

    __slots__ = ("expected_work_us", "finishes_at", "key", "request", "sidecar", "state", "work_us")

    def __init__(
        self, request: int, sidecar: int, work_us: float, expected_work_us: float, key: int | None
    ) -> None:
        self.request = request
        self.sidecar = sidecar
        self.work_us = work_us
        self.expected_work_us = expected_work_us
        self.key = key
        self.state = JobState.WAITING
        self.finishes_at = 0


class OrderServer:
    """One order server over its whole life: `crash` ends its process, and `start` starts a new one.

    Attributes:
        is_up: Whether its process runs.
        is_draining: Whether it rejects all new requests because it is draining.
        has_failed_warm_up: Whether it was overloaded while warming up; it does nothing until its next start.
        started_at: When its process started; None if it is fully warm.
        is_hanging: Whether it accepts requests without executing any.
        error_fraction: The fraction of requests that a fault makes it respond to with an error.
        slowdown: The factor by which a fault slows it down.
        malformed_fraction: The fraction of responses that a fault makes malformed.
        overloaded_since: When its present overload began; None without one.
        overloaded_us: The total time of its past overloads.
        completed: The number of requests that it completed.
        max_waiting: The maximum length of its queue since the caller last reset this attribute.
        on_warm_up_failed: Called when it is overloaded while warming up, with the server, its start and the
            work by sidecar.
        warm_up_overload_check: If set, decides in place of the built-in tolerance whether the server is
            overloaded; called for each request while the server warms up, with the work sent within the
            overload window and the work that it bears in that window, both microseconds on a standard core.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        machine_type: MachineType,
        speed: float,
        fleet: Fleet,
        mean_work_us: float,
        on_job_started: Callable[[OrderServer, Job, int], bool],
    ) -> None:
        """Describes a warm server with an empty queue.

        Args:
            name: The server's name.
            zone: Its zone.
            cell: The number of its cell.
            machine_type: Its type of machine.
            speed: The speed of its cores, relative to a standard core.
            fleet: Gives the parameters that all servers share.
            mean_work_us: The mean work of a request, on a standard core.
            on_job_started: Called when a job starts; returns whether the server drops it as a duplicate.
        """
        self.name, self.zone, self.cell, self.machine_type, self.speed = (
            name,
            zone,
            cell,
            machine_type.name,
            speed,
        )
        self.cores = machine_type.cores
        self.initial_capacity, self.warm_up_s = fleet.cold_from, fleet.cold_s
        self.is_up = True
        self.is_draining = False
        self.has_failed_warm_up = False
        self.started_at: int | None = None
        self.is_hanging = False
        self.error_fraction = 0.0
        self.slowdown = 1.0
        self.malformed_fraction = 0.0
        self.overloaded_since: int | None = None
        self.overloaded_us = 0
        self.completed = 0
        self.max_waiting = 0
        self._fleet = fleet
        self._warm_up_tolerance_us = 3.0 * mean_work_us  # random excess that does not count as an overload
        self._on_job_started = on_job_started
        self._queue_capacity = fleet.queue_per_core * self.cores
        self._queue: deque[Job] = deque()  # may contain jobs that ended while they waited
        self._waiting = 0
        self._running: set[Job] = set()
        self._stalled: list[Job] = []
        self._long_queue_since: int | None = None
        self._lightly_used_since: int | None = 0
        self._last_use_by_key: OrderedDict[int, int] = OrderedDict()
        self._reported_waiting, self._reported_at = 0, 0
        # While warming up, the requests of the overload window: time, expected work, sidecar.
        self._warm_up_window: deque[tuple[int, float, int]] = deque()
        self._warm_up_window_us = 0.0
        self.on_warm_up_failed: Callable[[OrderServer, int, dict[int, float]], None] | None = None
        self.warm_up_overload_check: Callable[[OrderServer, float, float], bool] | None = None

    # State

    @property
    def waiting(self) -> int:
        return self._waiting

    @property
    def running(self) -> int:
        return len(self._running)

    @property
    def is_overloaded(self) -> bool:
        return self.overloaded_since is not None

    def warm_up_factor(self, now: int) -> float:
        """Returns the fraction of its capacity that it has; rises linearly from `initial_capacity` to 1."""
        if self.started_at is None:
            return 1.0
        elapsed = (now - self.started_at) / (self.warm_up_s * 1e6)
        return min(self.initial_capacity + (1.0 - self.initial_capacity) * max(elapsed, 0.0), 1.0)

    def current_speed(self, now: int) -> float:
        """Returns the present speed of one of its cores, relative to a standard core."""
        overload = self._fleet.choke
        overload_slowdown = overload.slower if overload is not None and self.is_overloaded else 1.0
        return self.speed * self.warm_up_factor(now) / (overload_slowdown * self.slowdown)

    def reported_queue(self, now: int) -> int:
        """Returns the `queue` of a health check: the queue's length at the last refresh of the report."""
        self._update_derived_state(now)
        return self._reported_waiting

    # Events

    def receive_job(self, now: int, job: Job, uniform: float) -> tuple[AdmissionResult, list[Job]]:
        """Processes a completely received request.

        Args:
            now: The time.
            job: The attempt.
            uniform: A number sampled uniformly from 0 to 1, which decides about a random error.
        """
        self._update_derived_state(now)
        self._check_warm_up_load(now, job)
        if not self.is_up or self.has_failed_warm_up:
            return AdmissionResult.NO_RESPONSE, []
        if self.is_draining:
            return AdmissionResult.REJECTED, []
        if self.is_hanging:
            job.state = JobState.STALLED
            self._stalled.append(job)
            return AdmissionResult.NO_RESPONSE, []
        if uniform < max(self.error_fraction, self._fleet.error_rate):
            self._on_job_started(self, job, now)
            job.state = JobState.ENDED
            return AdmissionResult.FAILED, []
        if len(self._running) >= self.cores and self._waiting >= self._queue_capacity:
            return AdmissionResult.REJECTED, []
        self._queue.append(job)
        self._waiting += 1
        self.max_waiting = max(self.max_waiting, self._waiting)
        return AdmissionResult.ACCEPTED, self._start_waiting_jobs(now)

    def finish_job(self, now: int, job: Job) -> list[Job]:
        """Ends a job whose time is up; does nothing if the job was cancelled meanwhile."""
        self._update_derived_state(now)
        if job.state is not JobState.RUNNING:
            return []
        job.state = JobState.ENDED
        self._running.discard(job)
        self.completed += 1
        return self._start_waiting_jobs(now)

    def cancel_job(self, now: int, job: Job) -> list[Job]:
        """Reacts to the close of the job's connection; running work stops if the fleet's servers do that."""
        self._update_derived_state(now)
        if job.state is JobState.WAITING:
            job.state = JobState.ENDED  # stays in the queue and is skipped when its turn comes
            self._waiting -= 1
        elif job.state is JobState.RUNNING and self._fleet.stops_cancelled:
            job.state = JobState.ENDED
            self._running.discard(job)
        return self._start_waiting_jobs(now)

    def crash(self, now: int) -> list[Job]:
        """Ends the process and all of its jobs; returns these, whose connections are lost."""
        self._update_derived_state(now)
        lost = [job for job in self._queue if job.state is JobState.WAITING]
        lost += sorted(self._running, key=lambda job: (job.finishes_at, job.request))
        lost += self._stalled
        for job in lost:
            job.state = JobState.ENDED
        self._queue.clear()
        self._running.clear()
        self._stalled.clear()
        self._last_use_by_key.clear()
        self._waiting = 0
        self.is_up = False
        self._warm_up_window.clear()
        self._warm_up_window_us = 0.0
        self._update_load_times(now)
        self._end_overload(now)
        return lost

    def start(self, now: int) -> None:
        """Starts a new process, which has to warm up."""
        self.is_up, self.is_draining, self.has_failed_warm_up, self.is_hanging = True, False, False, False
        self.started_at = now
        self._update_load_times(now)

    def hang(self, now: int) -> None:
        self._update_derived_state(now)
        self.is_hanging = True

    def resume(self, now: int) -> list[Job]:
        """Ends a hang; the jobs that were accepted during it are lost."""
        self._update_derived_state(now)
        self.is_hanging = False
        for job in self._stalled:
            job.state = JobState.ENDED
        self._stalled.clear()
        return self._start_waiting_jobs(now)

    # Internals

    def _start_waiting_jobs(self, now: int) -> list[Job]:
        """Starts as many waiting jobs as there are free cores."""
        started: list[Job] = []
        while self._queue and len(self._running) < self.cores and not self.is_hanging:
            job = self._queue.popleft()
            if job.state is not JobState.WAITING:
                continue
            self._waiting -= 1
            job.state = JobState.RUNNING
            is_duplicate = self._on_job_started(self, job, now)
            work_us = (
                0.02 * job.work_us if is_duplicate else job.work_us * self._remaining_work_ratio(now, job.key)
            )
            job.finishes_at = now + max(round(work_us / self.current_speed(now)), 1)
            self._running.add(job)
            started.append(job)
        self._update_load_times(now)
        return started

    def _remaining_work_ratio(self, now: int, key: int | None) -> float:
        """Returns the ratio of the work that remains if the key was used recently; records this use."""
        affinity = self._fleet.affinity
        if affinity is None or key is None:
            return 1.0
        last_use = self._last_use_by_key.pop(key, None)
        self._last_use_by_key[key] = now
        if len(self._last_use_by_key) > affinity.keys_per_core * self.cores:
            self._last_use_by_key.popitem(last=False)
        return (
            1.0 - affinity.gain if last_use is not None and now - last_use <= affinity.span_s * 1e6 else 1.0
        )

    def _check_warm_up_load(self, now: int, job: Job) -> None:
        """Counts the work sent to a server that warms up; with too much of it, the server fails.

        Each request counts as the mean of its class, because no sidecar can know its real work beforehand.
        """
        if self.started_at is None or not self.is_up or self.has_failed_warm_up:
            return
        if self.warm_up_factor(now) >= 1.0:
            self.started_at = None
            self._warm_up_window.clear()
            self._warm_up_window_us = 0.0
            return
        fleet = self._fleet
        window_us = int(fleet.fall_s * 1e6)
        self._warm_up_window.append((now, job.expected_work_us, job.sidecar))
        self._warm_up_window_us += job.expected_work_us
        while self._warm_up_window[0][0] <= now - window_us:
            self._warm_up_window_us -= self._warm_up_window.popleft()[1]
        bearable_us = fleet.fall_multiple * self.cores * self.speed * self.warm_up_factor(now) * window_us
        has_failed = self._warm_up_window_us > bearable_us + self._warm_up_tolerance_us
        if self.warm_up_overload_check is not None:
            has_failed = self.warm_up_overload_check(self, self._warm_up_window_us, bearable_us)
        if has_failed:
            started_at = self.started_at
            self.has_failed_warm_up = True
            if self.on_warm_up_failed is not None:
                self.on_warm_up_failed(self, started_at, self.warm_up_work_by_sidecar())

    def warm_up_work_by_sidecar(self) -> dict[int, float]:
        """Returns the work sent within the overload window while warming up, by the sidecar that sent it."""
        work_by_sidecar: dict[int, float] = {}
        for _, work_us, sidecar in self._warm_up_window:
            work_by_sidecar[sidecar] = work_by_sidecar.get(sidecar, 0.0) + work_us
        return work_by_sidecar

    def _update_derived_state(self, now: int) -> None:
        """Refreshes the report, and starts or ends an overload, according to the load up to now.

        Is called before each event changes the load, because only the load until then decides.
        """
        if now >= self._reported_at + self._fleet.report_period_s * 1e6:
            self._reported_waiting, self._reported_at = self._waiting, now
        overload = self._fleet.choke
        if overload is None:
            return
        if self.overloaded_since is None:
            if self._long_queue_since is not None and now - self._long_queue_since >= overload.over_s * 1e6:
                self.overloaded_since = self._long_queue_since + int(overload.over_s * 1e6)
                self._update_load_times(now)
        if self.overloaded_since is not None:
            has_recovered = (
                self._lightly_used_since is not None
                and now - self._lightly_used_since >= overload.rest_s * 1e6
            )
            if has_recovered or now - self.overloaded_since >= overload.most_s * 1e6:
                self._end_overload(now)

    def _end_overload(self, now: int) -> None:
        if self.overloaded_since is not None:
            self.overloaded_us += now - self.overloaded_since
            self.overloaded_since = None
            self._long_queue_since = None
            self._update_load_times(now)

    def _update_load_times(self, now: int) -> None:
        """Records since when the queue has been long, or the cores lightly used."""
        overload = self._fleet.choke
        if overload is None:
            return
        if self._waiting > overload.at * self.cores:
            if self._long_queue_since is None:
                self._long_queue_since = now
        else:
            self._long_queue_since = None
        if len(self._running) < overload.below * self.cores:
            if self._lightly_used_since is None:
                self._lightly_used_since = now
        else:
            self._lightly_used_since = None
