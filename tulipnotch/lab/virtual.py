"""Simulates a scenario in virtual time: the decision module in thousands of sidecars, in one process.

`Simulation` owns the clock and everything outside the sidecars.  `VirtualSidecar` has the role that
`tulipnotch.sidecar` has on real sockets: it passes events to one instance of the decision module and executes
the actions that it returns.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from tulipnotch.lab import fleet
from tulipnotch.lab.directory import DirectoryEntry, ListedState
from tulipnotch.lab.engine import Engine
from tulipnotch.lab.faults import FaultAction, FaultEvent, apply_to_server, plan_fault_events
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import (
    ClientRequest,
    RequestOutcome,
    arrival_rates_per_s,
    generate_arrivals,
    next_retry_at,
    random_stream,
    try_timeout_us,
)
from tulipnotch.lab.recorder import Recorder
from tulipnotch.lab.scenario import Scenario, tenant_quotas_per_s, wire_settings
from tulipnotch.lab.server import AdmissionResult, Job, JobState, OrderServer
from tulipnotch.load_balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogEvent,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    Subscribe,
)
from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Settings
from tulipnotch.simulator_wire.names import settings_from_wire

_SIDECAR_RESTART_US = 300_000  # from the kill of a sidecar until it listens again
_ERROR_RESPONSE_US = 1_000  # how long a server takes to respond with an error
_ENDPOINT_STATES = {
    ListedState.ACTIVE: EndpointState.READY,
    ListedState.DRAINING: EndpointState.DRAINING,
    ListedState.REMOVED: EndpointState.REMOVED,
}


class Policy(Protocol):
    """Makes the decisions of one sidecar: the decision module, or one of `policies`."""

    def handle(self, now: int, event: Event) -> Sequence[Action]: ...


# Takes the settings, a seed, and the simulation, whose servers only an omniscient policy may look at.
PolicyFactory = Callable[[Settings, int, "Simulation"], Policy]


class Simulation:
    """One run of a scenario with one seed."""

    def __init__(self, scenario: Scenario, seed: int, make_policy: PolicyFactory) -> None:
        self.scenario, self.seed, self.make_policy = scenario, seed, make_policy
        self.engine = Engine()
        self.history = HistoryChecker(scenario)
        self.servers = fleet.build_servers(scenario, seed, self.history)
        self.servers_by_name = {each.name: each for each in self.servers}
        self.capacity = fleet.total_capacity(self.servers)
        settings = [wire_settings(scenario, index, self.capacity) for index in range(scenario.fleet.sidecars)]
        self.recorder = Recorder(scenario, tenant_quotas_per_s(scenario, self.capacity))
        self.network = scenario.network
        self._network_rng, self._noise_rng = random_stream(seed, "net"), random_stream(seed, "noise")
        self._client_rng = random_stream(seed, "clients")
        self.partitioned_zones: set[str] = set()
        self.discovery = _Discovery(self)
        self._publisher = fleet.DelayedPublisher(
            scenario, lambda delay_us, call: self.engine.call_later(delay_us, call)
        )
        self.accepted_jobs: dict[Job, _Attempt] = {}  # jobs that a server has accepted and not ended
        self._last_request = 0
        # Keyed by server: the number of requests that it had completed at the last sample.
        self._last_completed = dict.fromkeys(self.servers_by_name, 0)
        for each in self.servers:
            self._observe_warm_up_failure(each)
        self.sidecars = [
            VirtualSidecar(self, index, settings_from_wire(each)) for index, each in enumerate(settings)
        ]

    def run(self, on_progress: Callable[[float], None] | None = None) -> None:
        """Runs the whole scenario.

        Args:
            on_progress: Is called each second of virtual time with the fraction that is done.
        """
        scenario, engine = self.scenario, self.engine
        for sidecar in self.sidecars:
            sidecar.start()
        for event in plan_fault_events(scenario, self.seed):
            engine.call_at(event.at, self._apply_fault, event)
        for index, rate_per_s in enumerate(arrival_rates_per_s(scenario, self.seed, self.capacity)):
            self._schedule_next_arrival(generate_arrivals(scenario, self.seed, index, rate_per_s))
        max_deadline_s = max(each.deadline_ms for each in scenario.classes) / 1e3
        end = int((scenario.seconds + max_deadline_s + scenario.rules.slack_ms / 1e3 + 1.0) * 1e6)
        for second in range(1, int(end / 1e6) + 1):
            engine.run(min(second * 1_000_000, end))
            self._sample_servers()
            if on_progress is not None:
                on_progress(min(second / scenario.seconds, 1.0))
        engine.run(end)
        for server in self.servers:
            present_overload_us = (
                engine.now - server.overloaded_since if server.overloaded_since is not None else 0
            )
            self.recorder.counters.overloaded_us += server.overloaded_us + present_overload_us
        self.history.finish(engine.now)

    def sample_delay_us(self, from_zone: str, to_zone: str) -> int:
        """Samples the delay of one message between two zones."""
        base_ms = self.network.same_ms if from_zone == to_zone else self.network.cross_ms
        return int(base_ms * 1e3 * (1.0 + self.network.jitter * self._network_rng.expovariate(1.0)))

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        return zone != other_zone and (zone in self.partitioned_zones or other_zone in self.partitioned_zones)

    def sample_attempt_work_us(self, work_us: float) -> float:
        """Samples the work of one attempt, which differs a little between attempts of the same request."""
        return work_us * (0.9 + 0.2 * self._noise_rng.random())

    def sample_uniform(self) -> float:
        return self._noise_rng.random()

    # Servers

    def schedule_completions(self, server: OrderServer, jobs: list[Job]) -> None:
        """Schedules the end of jobs that have started."""
        for job in jobs:
            self.engine.call_at(job.finishes_at, self._finish_job, server, job)

    def _finish_job(self, server: OrderServer, job: Job) -> None:
        was_running = job.state is JobState.RUNNING
        self.schedule_completions(server, server.finish_job(self.engine.now, job))
        if was_running:
            attempt = self.accepted_jobs.pop(job)
            is_malformed = (
                server.malformed_fraction > 0.0 and self.sample_uniform() < server.malformed_fraction
            )
            attempt.return_outcome(Outcome.MALFORMED_RESPONSE if is_malformed else Outcome.DELIVERED)

    def _crash_server(self, server: OrderServer) -> None:
        for job in server.crash(self.engine.now):
            attempt = self.accepted_jobs.pop(job, None)
            if attempt is not None:
                attempt.return_outcome(Outcome.CONNECTION_LOST)
        for sidecar in self.sidecars:
            sidecar.idle_connections.pop(server.name, None)

    def _observe_warm_up_failure(self, server: OrderServer) -> None:
        """Crashes the server when it is overloaded while warming up; first calls the previous observer."""
        previous_observer = server.on_warm_up_failed

        def on_warm_up_failed(
            server: OrderServer, started_at: int, work_by_sidecar: dict[int, float]
        ) -> None:
            if previous_observer is not None:
                previous_observer(server, started_at, work_by_sidecar)
            self._add_to_timeline(f"{server.name} was overloaded while warming up")
            self.engine.call_later(0, self._crash_and_remove, server)

        server.on_warm_up_failed = on_warm_up_failed

    def _crash_and_remove(self, server: OrderServer) -> None:
        self._crash_server(server)
        self._publish_later(server, self.scenario.discovery.crash_notice_s, ListedState.REMOVED)

    def _publish_later(self, server: OrderServer, delay_s: float, state: ListedState) -> None:
        started_at = server.started_at if state is ListedState.ACTIVE else None
        self._publisher.publish_later(
            server.name, delay_s, lambda: self.discovery.publish(server.name, state, started_at)
        )

    def _add_to_timeline(self, text: str) -> None:
        self.recorder.series.timeline.append((round(self.engine.now / 1e6, 3), text))

    # Faults

    def _apply_fault(self, event: FaultEvent) -> None:
        now, discovery = self.engine.now, self.scenario.discovery
        server = self.servers[event.target] if event.target < len(self.servers) else self.servers[0]
        match event.action:
            case FaultAction.CRASH:
                if server.is_up:
                    self._crash_and_remove(server)
            case FaultAction.START:
                server.start(now)
                self._publish_later(server, discovery.add_notice_s, ListedState.ACTIVE)
            case FaultAction.DRAIN:
                self._publish_later(server, discovery.drain_notice_s, ListedState.DRAINING)
                # The server rejects new requests only when the sidecars have had time to learn of the drain.
                self.engine.call_later(
                    int(discovery.drain_notice_s * 1e6) + 500_000, self._reject_new_requests, server
                )
            case FaultAction.DISCOVERY_DOWN:
                self.discovery.stop()
            case FaultAction.DISCOVERY_UP:
                self.discovery.is_up = True
            case FaultAction.PARTITION_ZONE:
                self.partitioned_zones.add(event.zone)
            case FaultAction.HEAL_PARTITION:
                self.partitioned_zones.discard(event.zone)
            case FaultAction.RESTART_SIDECAR:
                self.sidecars[event.target].restart()
            case _:
                self.schedule_completions(server, apply_to_server(server, event, now))
        target = event.zone or (
            f"sidecar {event.target}" if event.action is FaultAction.RESTART_SIDECAR else server.name
        )
        if event.action in (FaultAction.DISCOVERY_DOWN, FaultAction.DISCOVERY_UP):
            target = ""
        self._add_to_timeline(f"{event.action.value} {target}".strip())

    def _reject_new_requests(self, server: OrderServer) -> None:
        if server.is_up and self.discovery.directory.entry(server.name).state is not ListedState.ACTIVE:
            server.is_draining = True

    def _sample_servers(self) -> None:
        """Adds one row for each server to the time series."""
        for server in self.servers:
            last_completed = self._last_completed[server.name]
            self.recorder.series.servers.setdefault(server.name, []).append(
                (server.completed - last_completed, server.max_waiting)
            )
            self._last_completed[server.name] = server.completed
            server.max_waiting = server.waiting

    # Clients

    def _schedule_next_arrival(self, arrivals: Any) -> None:
        client_request = next(arrivals, None)
        if client_request is not None:
            self.engine.call_at(client_request.intended_at, self._arrive, client_request, arrivals)

    def _arrive(self, client_request: ClientRequest, arrivals: Any) -> None:
        self._schedule_next_arrival(arrivals)
        self._send_try(client_request, self.recorder.first_try_sent(client_request))

    def _send_try(self, client_request: ClientRequest, priority_weight: float) -> None:
        engine = self.engine
        timeout_us = try_timeout_us(client_request, engine.now, self.scenario.clients)
        self._last_request += 1
        client_request.try_count += 1
        client_try = _ClientTry(
            self, client_request, priority_weight, self._last_request, engine.now + timeout_us
        )
        engine.call_later(
            int(self.network.client_ms * 1e3),
            self.sidecars[client_request.sidecar].request_received,
            client_try,
        )
        engine.call_at(client_try.deadline + int(self.scenario.rules.slack_ms * 1e3), client_try.time_out)
        if client_request.disconnects_after_us and client_request.try_count == 1:
            engine.call_later(client_request.disconnects_after_us, client_try.disconnect)

    def try_ended(self, client_try: _ClientTry, outcome: RequestOutcome, retry_after_us: int) -> None:
        """Schedules a retry, or records the end of the request."""
        now = self.engine.now
        retry_at = next_retry_at(
            client_try.client_request,
            outcome,
            retry_after_us,
            now,
            self.scenario.clients,
            self._client_rng.random,
        )
        if retry_at is None:
            self.recorder.request_ended(client_try.client_request, client_try.priority_weight, outcome, now)
        else:
            self.engine.call_at(
                retry_at, self._send_try, client_try.client_request, client_try.priority_weight
            )


class _ClientTry:
    """One try of a client, from its start to its end."""

    __slots__ = ("client_request", "deadline", "has_ended", "priority_weight", "request", "simulation")

    def __init__(
        self,
        simulation: Simulation,
        client_request: ClientRequest,
        priority_weight: float,
        request: int,
        deadline: int,
    ) -> None:
        self.simulation, self.client_request, self.priority_weight, self.request, self.deadline = (
            simulation,
            client_request,
            priority_weight,
            request,
            deadline,
        )
        self.has_ended = False

    def response_received(self, outcome: RequestOutcome, retry_after_us: int) -> None:
        """Processes the sidecar's final response."""
        simulation = self.simulation
        simulation.history.response_received(
            self.request, simulation.engine.now, is_rejection=outcome is RequestOutcome.REJECTED
        )
        if not self.has_ended:
            self.has_ended = True
            is_late = outcome is RequestOutcome.SERVED and simulation.engine.now > self.deadline
            simulation.try_ended(self, RequestOutcome.FAILED if is_late else outcome, retry_after_us)

    def connection_failed(self) -> None:
        """Ends the try because the sidecar was not running, or was killed."""
        if not self.has_ended:
            self.has_ended = True
            self.simulation.try_ended(self, RequestOutcome.REJECTED, 0)

    def time_out(self) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.simulation.sidecars[self.client_request.sidecar].client_disconnected(self.request)
            self.simulation.try_ended(self, RequestOutcome.FAILED, 0)

    def disconnect(self) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.simulation.history.client_disconnected(self.request)
            self.simulation.sidecars[self.client_request.sidecar].client_disconnected(self.request)
            self.simulation.try_ended(self, RequestOutcome.DISCONNECTED, 0)


class _OpenRequest:
    """A request at its sidecar, until it is responded to and none of its attempts is in flight."""

    __slots__ = ("attempts", "client_try", "in_flight", "is_responded")

    def __init__(self, client_try: _ClientTry) -> None:
        self.client_try = client_try
        self.attempts: list[_Attempt] = []
        self.in_flight = 0
        self.is_responded = False


class _Attempt:
    """One attempt of a sidecar."""

    __slots__ = (
        "has_ended",
        "is_connection_reused",
        "is_written",
        "job",
        "number",
        "open_request",
        "server",
        "sidecar",
        "started_at",
    )

    def __init__(
        self, sidecar: VirtualSidecar, open_request: _OpenRequest, number: int, server: OrderServer
    ) -> None:
        self.sidecar, self.open_request, self.number, self.server = sidecar, open_request, number, server
        self.started_at = sidecar.engine.now
        self.job: Job | None = None
        self.is_written = False
        self.has_ended = False
        self.is_connection_reused = False

    def return_outcome(self, outcome: Outcome, response_delay_us: int = 0) -> None:
        """Sends the outcome from the server back to the sidecar."""
        sidecar = self.sidecar
        sidecar.engine.call_later(
            response_delay_us + sidecar.simulation.sample_delay_us(self.server.zone, sidecar.zone),
            sidecar.outcome_received,
            self,
            outcome,
        )


class VirtualSidecar:
    """One sidecar: its policy, its open requests and its connections."""

    def __init__(self, simulation: Simulation, index: int, settings: Settings) -> None:
        self.simulation, self.index, self.settings = simulation, index, settings
        self.engine, self.zone = simulation.engine, settings.zone
        self.idle_connections: dict[str, list[int]] = {}  # by server: when each became idle
        self.endpoint_list_version = 0
        self.is_up = False
        self._endpoint_states: dict[str, EndpointState] = {}
        self._open_requests: dict[int, _OpenRequest] = {}
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._incarnation = 0  # counts the restarts; callbacks of an earlier incarnation are ignored
        # The sidecar stops reusing an idle connection before the server closes it.
        self._max_idle_us = int(simulation.network.idle_s * 0.9e6)
        self._policy: Policy

    def start(self) -> None:
        """Starts with the complete endpoint list, or after a restart with the one that was last received."""
        simulation = self.simulation
        self.is_up = True
        self._policy = simulation.make_policy(
            self.settings,
            random_stream(simulation.seed, "sidecar", self.index, self._incarnation).getrandbits(48),
            simulation,
        )
        entries = (
            simulation.discovery.directory.current() if self._incarnation == 0 else self._cached_entries()
        )
        simulation.history.sidecar_listening(self.index)
        simulation.history.endpoints_polled(self.index, self.engine.now)
        self.endpoint_list_version = (
            simulation.discovery.directory.version if self._incarnation == 0 else self.endpoint_list_version
        )
        self._endpoint_states = {each.name: _ENDPOINT_STATES[each.state] for each in entries}
        self._post(
            EndpointsUpdated(
                EndpointUpdateKind.CACHED,
                [_endpoint_description(each) for each in entries],
                self.endpoint_list_version,
            )
        )

    def _cached_entries(self) -> list[DirectoryEntry]:
        entries = (self.simulation.discovery.directory.entry(name) for name in self._endpoint_states)
        return [each for each in entries if each.state is not ListedState.REMOVED]

    def restart(self) -> None:
        """Kills the sidecar, which loses its open requests, and schedules its next start."""
        self.is_up = False
        self._incarnation += 1
        self.simulation.history.sidecar_killed(self.index)
        self.simulation.discovery.end_watch(self)
        open_requests, self._open_requests = self._open_requests, {}
        for each in open_requests.values():
            for attempt in each.attempts:
                if not attempt.has_ended:
                    attempt.has_ended = True
                    self._close_connection(attempt)
            each.client_try.connection_failed()
        self.idle_connections.clear()
        self._events.clear()
        self.engine.call_later(_SIDECAR_RESTART_US, self.start)

    # Clients

    def request_received(self, client_try: _ClientTry) -> None:
        if not self.is_up:
            client_try.connection_failed()
            return
        if client_try.has_ended:
            return
        now, client_request = self.engine.now, client_try.client_request
        self.simulation.history.request_received(
            client_try.request,
            self.index,
            client_request.service_class,
            now=now,
            timeout_us=client_try.deadline - now,
        )
        self._open_requests[client_try.request] = _OpenRequest(client_try)
        remaining_us = max(client_try.deadline - now, 1)
        work_hint_us = int(client_request.work_us) if self.simulation.scenario.load.hints else None
        self._post(
            RequestArrived(
                client_try.request,
                client_request.service_class.name,
                client_request.tenant,
                client_request.key,
                remaining_us,
                work_hint_us,
            )
        )

    def client_disconnected(self, request: int) -> None:
        open_request = self._open_requests.get(request)
        if open_request is not None and not open_request.is_responded:
            open_request.is_responded = True
            self._post(ClientDisconnected(request))
            self._remove_if_finished(request, open_request)

    def _respond(self, request: int, outcome: RequestOutcome, retry_after_us: int = 0) -> None:
        open_request = self._open_requests.get(request)
        if open_request is None:
            return
        open_request.is_responded = True
        self.engine.call_later(
            int(self.simulation.network.client_ms * 1e3),
            open_request.client_try.response_received,
            outcome,
            retry_after_us,
        )
        self._remove_if_finished(request, open_request)

    def _remove_if_finished(self, request: int, open_request: _OpenRequest) -> None:
        if open_request.is_responded and open_request.in_flight == 0:
            self._open_requests.pop(request, None)

    # Events and actions

    def _post(self, event: Event) -> None:
        """Passes an event to the policy, after the events that are being handled."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        while self._events:
            event = self._events.popleft()
            if isinstance(event, AttemptEnded):
                open_request = self._open_requests.get(event.request)
                event.is_responded = open_request is None or open_request.is_responded
            for action in self._policy.handle(self.engine.now, event):
                self._execute(action)
            if isinstance(event, AttemptEnded) and open_request is not None:
                self._remove_if_finished(event.request, open_request)
        self._is_handling = False

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case SetTimer():
                self.engine.call_later(action.delay_us, self._fire_timer, action.token, self._incarnation)
            case RejectRequest():
                self._respond(action.request, RequestOutcome.REJECTED, action.retry_after_us)
            case FailRequest():
                self._respond(action.request, RequestOutcome.FAILED)
            case CancelAttempt():
                self._cancel_attempt(action)
            case CloseIdleConnections():
                self.idle_connections.pop(action.endpoint, None)
            case Subscribe():
                self.simulation.discovery.subscribe(self, action.is_subscribed)
            case FetchEndpoints():
                self.simulation.discovery.fetch(self)
            case StartHealthCheck():
                self._start_health_check(action.endpoint)
            case LogEvent():
                pass

    def _fire_timer(self, token: str, incarnation: int) -> None:
        if incarnation == self._incarnation:
            self._post(TimerFired(token))

    def endpoints_received(
        self,
        update_kind: EndpointUpdateKind,
        entries: Sequence[DirectoryEntry],
        version: int,
        incarnation: int,
    ) -> None:
        """Processes a response of discovery."""
        if incarnation != self._incarnation or not self.is_up:
            return
        if update_kind is EndpointUpdateKind.COMPLETE:
            self._endpoint_states.clear()
        for each in entries:
            self._endpoint_states[each.name] = _ENDPOINT_STATES[each.state]
        if update_kind is not EndpointUpdateKind.FAILED:
            self.endpoint_list_version = version
        self._post(EndpointsUpdated(update_kind, [_endpoint_description(each) for each in entries], version))

    @property
    def incarnation(self) -> int:
        return self._incarnation

    # Attempts

    def _start_attempt(self, action: StartAttempt) -> None:
        open_request = self._open_requests.get(action.request)
        now, simulation = self.engine.now, self.simulation
        if open_request is None:
            return
        attempt = _Attempt(
            self, open_request, len(open_request.attempts), simulation.servers_by_name[action.endpoint]
        )
        open_request.attempts.append(attempt)
        open_request.in_flight += 1
        deadline = (
            min(action.deadline, open_request.client_try.deadline)
            if action.deadline < NEVER
            else open_request.client_try.deadline
        )
        if (
            self._endpoint_states.get(action.endpoint) is not EndpointState.READY
            or deadline <= now
            or attempt.number >= self.settings.limits.max_attempts
        ):
            self.engine.call_later(0, self._end_attempt, attempt, Outcome.NOT_SENT)
            return
        self.engine.call_at(deadline, self._time_out_attempt, attempt)
        idle_since = self.idle_connections.get(action.endpoint)
        while idle_since:
            if now - idle_since.pop() < self._max_idle_us:
                attempt.is_connection_reused = True
                self._write(attempt)
                return
        self._connect(attempt)

    def _connect(self, attempt: _Attempt) -> None:
        simulation, server = self.simulation, attempt.server
        simulation.recorder.counters.handshakes += 1
        round_trip_us = simulation.sample_delay_us(self.zone, server.zone) + simulation.sample_delay_us(
            server.zone, self.zone
        )
        if simulation.is_partitioned(self.zone, server.zone):
            self.engine.call_later(
                self.settings.limits.connect_timeout_us, self._end_attempt, attempt, Outcome.CONNECT_FAILED
            )
        elif not server.is_up or server.has_failed_warm_up:
            self.engine.call_later(round_trip_us, self._end_attempt, attempt, Outcome.CONNECT_FAILED)
        else:
            round_trips = 1 + simulation.network.handshake_rtts
            self.engine.call_later(round_trips * round_trip_us, self._connected, attempt)

    def _connected(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        if self._endpoint_states.get(attempt.server.name) is not EndpointState.READY:
            # The drain of the server was announced while the connection was being established.
            self._end_attempt(attempt, Outcome.NOT_SENT)
        elif not attempt.server.is_up or attempt.server.has_failed_warm_up:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
        else:
            self._write(attempt)

    def _write(self, attempt: _Attempt) -> None:
        simulation = self.simulation
        attempt.is_written = True
        simulation.recorder.counters.attempts += 1
        if attempt.server.zone != self.zone:
            simulation.recorder.counters.cross_zone_attempts += 1
        simulation.history.attempt_sent(self.index, attempt.server.name, self.engine.now)
        self.engine.call_later(
            simulation.sample_delay_us(self.zone, attempt.server.zone), self._deliver, attempt
        )

    def _deliver(self, attempt: _Attempt) -> None:
        """Passes the attempt to the server, which has received its last byte."""
        simulation, server, now = self.simulation, attempt.server, self.engine.now
        if attempt.has_ended or simulation.is_partitioned(self.zone, server.zone):
            return
        client_request = attempt.open_request.client_try.client_request
        work_us = simulation.sample_attempt_work_us(client_request.work_us)
        if not attempt.is_connection_reused:
            work_us += simulation.network.handshake_work_ms * 1e3
        expected_work_us = (
            client_request.work_us
            if simulation.scenario.load.hints
            else client_request.service_class.work_ms * 1e3
        )
        job = Job(
            attempt.open_request.client_try.request,
            self.index,
            work_us,
            expected_work_us,
            client_request.key,
        )
        attempt.job = job
        result, started = server.receive_job(now, job, simulation.sample_uniform())
        if result is AdmissionResult.REJECTED:
            attempt.return_outcome(Outcome.OVERLOADED)
        elif result is AdmissionResult.FAILED:
            attempt.return_outcome(Outcome.SERVER_ERROR, _ERROR_RESPONSE_US)
        elif not server.is_up or server.has_failed_warm_up:
            attempt.return_outcome(Outcome.CONNECTION_LOST)
        else:
            simulation.accepted_jobs[job] = attempt
        simulation.schedule_completions(server, started)

    def outcome_received(self, attempt: _Attempt, outcome: Outcome) -> None:
        """Processes the server's response, or the loss of the connection."""
        if attempt.has_ended or self.simulation.is_partitioned(self.zone, attempt.server.zone):
            return
        if outcome not in (Outcome.CONNECTION_LOST, Outcome.MALFORMED_RESPONSE) and attempt.server.is_up:
            self.idle_connections.setdefault(attempt.server.name, []).append(self.engine.now)
        self._end_attempt(attempt, outcome)

    def _time_out_attempt(self, attempt: _Attempt) -> None:
        if not attempt.has_ended:
            self._close_connection(attempt)
            self._end_attempt(attempt, Outcome.TIMED_OUT if attempt.is_written else Outcome.CONNECT_FAILED)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        open_request = self._open_requests.get(action.request)
        if open_request is None or action.attempt >= len(open_request.attempts):
            return
        attempt = open_request.attempts[action.attempt]
        if not attempt.has_ended:
            attempt.has_ended = True
            self._close_connection(attempt)
            self.engine.call_later(0, self._report_attempt_ended, attempt, Outcome.CANCELLED)

    def _close_connection(self, attempt: _Attempt) -> None:
        """Closes the attempt's connection, which the server notices after the network's delay."""
        if attempt.is_written:
            delay_us = self.simulation.sample_delay_us(self.zone, attempt.server.zone)
            self.engine.call_later(delay_us, self._connection_closed_at_server, attempt)

    def _connection_closed_at_server(self, attempt: _Attempt) -> None:
        job = attempt.job
        if job is not None and not self.simulation.is_partitioned(self.zone, attempt.server.zone):
            started = attempt.server.cancel_job(self.engine.now, job)
            if job.state is JobState.ENDED:
                self.simulation.accepted_jobs.pop(job, None)
            self.simulation.schedule_completions(attempt.server, started)

    def _end_attempt(self, attempt: _Attempt, outcome: Outcome) -> None:
        if not attempt.has_ended:
            attempt.has_ended = True
            self._report_attempt_ended(attempt, outcome)

    def _report_attempt_ended(self, attempt: _Attempt, outcome: Outcome) -> None:
        open_request, request = attempt.open_request, attempt.open_request.client_try.request
        if request not in self._open_requests:
            return  # an earlier incarnation received the request
        open_request.in_flight -= 1
        if outcome is Outcome.DELIVERED and not open_request.is_responded:
            open_request.is_responded = True
            self.engine.call_later(
                int(self.simulation.network.client_ms * 1e3),
                open_request.client_try.response_received,
                RequestOutcome.SERVED,
                0,
            )
        elapsed_us = self.engine.now - attempt.started_at
        self._post(AttemptEnded(request, attempt.number, attempt.server.name, outcome, elapsed_us, False))

    # Health checks

    def _start_health_check(self, server_name: str) -> None:
        simulation, server = self.simulation, self.simulation.servers_by_name[server_name]
        simulation.recorder.counters.health_checks += 1
        delay_us = simulation.sample_delay_us(self.zone, server.zone)
        self.engine.call_later(
            delay_us, self._health_check_at_server, server, self.engine.now, self._incarnation
        )

    def _health_check_at_server(self, server: OrderServer, sent_at: int, incarnation: int) -> None:
        delay_us = self.simulation.sample_delay_us(server.zone, self.zone)
        if not server.is_up or server.has_failed_warm_up:
            outcome, report = Outcome.CONNECT_FAILED, None
        elif server.is_hanging or self.simulation.is_partitioned(self.zone, server.zone):
            outcome, report, delay_us = Outcome.TIMED_OUT, None, 400_000
        else:
            outcome, report = (
                Outcome.DELIVERED,
                {"queue": float(server.reported_queue(self.engine.now))},
            )
        self.engine.call_later(
            delay_us, self._health_check_ended, server.name, outcome, report, sent_at, incarnation
        )

    def _health_check_ended(
        self,
        server_name: str,
        outcome: Outcome,
        report: dict[str, float] | None,
        sent_at: int,
        incarnation: int,
    ) -> None:
        if incarnation == self._incarnation:
            self._post(HealthCheckEnded(server_name, outcome, self.engine.now - sent_at, report))


def _endpoint_description(entry: DirectoryEntry) -> EndpointDescription:
    return EndpointDescription(
        entry.name,
        entry.zone,
        entry.machine_type,
        entry.cell,
        _ENDPOINT_STATES[entry.state],
        1.0,
        entry.started_at or None,
    )


class _Discovery:
    """Discovery as a service: calls wait in a queue, watches receive changes, and both fail in an outage."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.directory = fleet.build_directory(simulation.servers)
        self.is_up = True
        self._busy_until = 0
        self._call_duration_us = int(1e6 / simulation.scenario.discovery.calls_per_s)
        self._timeout_us = int(simulation.scenario.discovery.timeout_s * 1e6)
        self._watches: dict[int, VirtualSidecar] = {}  # by index of the sidecar

    def publish(self, server_name: str, state: ListedState, started_at: int | None) -> None:
        """Changes the endpoint list, and notifies all watches if that is a change."""
        if self.directory.update(server_name, state, started_at):
            self._simulation.history.endpoint_published(
                server_name,
                is_draining=state is not ListedState.ACTIVE,
                now=self._simulation.engine.now,
            )
            for sidecar in list(self._watches.values()):
                self._enqueue_call(sidecar, sidecar.endpoint_list_version, is_watch=True)

    def stop(self) -> None:
        """Takes discovery down, which ends all watches."""
        self.is_up = False
        watches, self._watches = self._watches, {}
        for sidecar in watches.values():
            self._simulation.history.endpoints_polled(sidecar.index, self._simulation.engine.now)
            self._fail_call(sidecar, 0)

    def end_watch(self, sidecar: VirtualSidecar) -> None:
        self._watches.pop(sidecar.index, None)

    def subscribe(self, sidecar: VirtualSidecar, is_subscribed: bool) -> None:
        """Starts or ends the watch of a sidecar."""
        if not is_subscribed:
            self.end_watch(sidecar)
            self._simulation.history.endpoints_polled(sidecar.index, self._simulation.engine.now)
            return
        self._enqueue_call(sidecar, sidecar.endpoint_list_version, is_watch=True)

    def fetch(self, sidecar: VirtualSidecar) -> None:
        """Sends the complete list to a sidecar."""
        self._enqueue_call(sidecar, None, is_watch=False)

    def _enqueue_call(self, sidecar: VirtualSidecar, after: int | None, *, is_watch: bool) -> None:
        """Schedules the response to a call for the changes after a version, or (None) the complete list."""
        engine = self._simulation.engine
        starts_at = max(self._busy_until, engine.now)
        if not self.is_up:
            self._fail_call(sidecar, 1_000)
        elif starts_at - engine.now > self._timeout_us:
            self._fail_call(sidecar, self._timeout_us)
        else:
            self._busy_until = starts_at + self._call_duration_us
            engine.call_at(self._busy_until, self._respond, sidecar, after, is_watch, sidecar.incarnation)

    def _fail_call(self, sidecar: VirtualSidecar, delay_us: int) -> None:
        self._simulation.engine.call_later(
            delay_us, sidecar.endpoints_received, EndpointUpdateKind.FAILED, [], 0, sidecar.incarnation
        )

    def _respond(self, sidecar: VirtualSidecar, after: int | None, is_watch: bool, incarnation: int) -> None:
        simulation = self._simulation
        if incarnation != sidecar.incarnation or not sidecar.is_up:
            return
        if not self.is_up:
            self._fail_call(sidecar, 0)
            return
        entries = self.directory.current() if after is None else self.directory.changed_since(after)
        update_kind = EndpointUpdateKind.COMPLETE if after is None else EndpointUpdateKind.DELTA
        now = simulation.engine.now
        simulation.history.endpoints_polled(sidecar.index, None if is_watch else now)
        if is_watch:
            self._watches[sidecar.index] = sidecar
        for each in entries if after is not None else self.directory.changed_since(0):
            is_draining = each.state is not ListedState.ACTIVE
            simulation.history.sidecar_notified(
                sidecar.index, each.name, is_draining=is_draining, started_at=each.started_at, now=now
            )
        entry_copies = [
            DirectoryEntry(e.name, e.zone, e.machine_type, e.cell, e.state, e.started_at, e.version)
            for e in entries
        ]
        version = self.directory.version
        simulation.engine.call_later(
            simulation.sample_delay_us("", ""),
            sidecar.endpoints_received,
            update_kind,
            entry_copies,
            version,
            incarnation,
        )
