"""A scenario in virtual time: the decision module, thousands of instances in one process.

`World` owns the clock and all that is outside the sidecars; `VirtualSidecar` is what `tulipnotch.sidecar`
is on real sockets: it turns what happens into events and carries out the actions of one instance of the
decisions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from tulipnotch.lab import fleet
from tulipnotch.lab.directory import DirectoryEntry, ListedState
from tulipnotch.lab.engine import Engine
from tulipnotch.lab.faults import Deed, Incident, plan, strike
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import Ask, Ending, arrivals, comes_again, rates, stream, try_wait_us
from tulipnotch.lab.recorder import Recorder
from tulipnotch.lab.scenario import Scenario, tenant_quotas_per_s, wire_settings
from tulipnotch.lab.server import Job, OrderServer, Stage, Verdict
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

_BACK_AFTER_US = 300_000  # how long a sidecar that was killed is away
_ERROR_US = 1_000  # what a quick error takes
_STATES = {
    ListedState.ACTIVE: EndpointState.READY,
    ListedState.DRAINING: EndpointState.DRAINING,
    ListedState.REMOVED: EndpointState.REMOVED,
}


class Policy(Protocol):
    """What decides: the decision module, or one of `policies`."""

    def handle(self, now: int, event: Event) -> Sequence[Action]: ...


# Given the settings, a seed, and the servers as they truly are: only an all-seeing policy may look at these.
MakePolicy = Callable[[Settings, int, "World"], Policy]


class World:
    """One run from its seed to its figures."""

    def __init__(self, given: Scenario, seed: int, make: MakePolicy) -> None:
        self.given, self.seed, self.make = given, seed, make
        self.engine = Engine()
        self.history = HistoryChecker(given)
        self.servers = fleet.build(given, seed, self.history)
        self.by_name = {each.name: each for each in self.servers}
        self.capacity = fleet.capacity(self.servers)
        settings = [wire_settings(given, place, self.capacity) for place in range(given.fleet.sidecars)]
        self.recorder = Recorder(given, tenant_quotas_per_s(given, self.capacity))
        self.network = given.network
        self._net, self._noise = stream(seed, "net"), stream(seed, "noise")
        self._clients = stream(seed, "clients")
        self.cut_zones: set[str] = set()
        self.discovery = _Discovery(self)
        self._notices = fleet.Notices(given, lambda wait, call: self.engine.call_later(wait, call))
        self.jobs_out: dict[Job, _Attempt] = {}
        self._next_request = 0
        self._done_before = dict.fromkeys(self.by_name, 0)
        for each in self.servers:
            self._hear_falls(each)
        self.sidecars = [
            VirtualSidecar(self, place, settings_from_wire(each)) for place, each in enumerate(settings)
        ]

    def run(self, progress: Callable[[float], None] | None = None) -> None:
        """Play it whole; `progress` hears the part that is done."""
        given, engine = self.given, self.engine
        for sidecar in self.sidecars:
            sidecar.start()
        for each in plan(given, self.seed):
            engine.call_at(each.at, self._do, each)
        for place, rate in enumerate(rates(given, self.seed, self.capacity)):
            self._plan_next(arrivals(given, self.seed, place, rate))
        longest = max(each.deadline_ms for each in given.classes) / 1e3
        end = int((given.seconds + longest + given.rules.slack_ms / 1e3 + 1.0) * 1e6)
        for second in range(1, int(end / 1e6) + 1):
            engine.run(min(second * 1_000_000, end))
            self._sample()
            if progress is not None:
                progress(min(second / given.seconds, 1.0))
        engine.run(end)
        for server in self.servers:
            choked = engine.now - server.choked_at if server.choked_at is not None else 0
            self.recorder.counters.overloaded_us += server.choked_us + choked
        self.history.close(engine.now)

    def delay(self, a: str, b: str) -> int:
        """Microseconds one way."""
        base = self.network.same_ms if a == b else self.network.cross_ms
        return int(base * 1e3 * (1.0 + self.network.jitter * self._net.expovariate(1.0)))

    def is_cut(self, a: str, b: str) -> bool:
        return a != b and (a in self.cut_zones or b in self.cut_zones)

    def noisy(self, work_us: float) -> float:
        """The work of one attempt: attempts of a request differ a little."""
        return work_us * (0.9 + 0.2 * self._noise.random())

    def chance(self) -> float:
        return self._noise.random()

    # Servers

    def begun(self, server: OrderServer, jobs: list[Job]) -> None:
        for job in jobs:
            self.engine.call_at(job.until, self._finish, server, job)

    def _finish(self, server: OrderServer, job: Job) -> None:
        ran = job.stage is Stage.RUNNING
        self.begun(server, server.finished(self.engine.now, job))
        if ran:
            attempt = self.jobs_out.pop(job)
            spoilt = server.spoils > 0.0 and self.chance() < server.spoils
            attempt.comes_back(Outcome.MALFORMED_RESPONSE if spoilt else Outcome.DELIVERED)

    def _crash(self, server: OrderServer) -> None:
        for job in server.crash(self.engine.now):
            attempt = self.jobs_out.pop(job, None)
            if attempt is not None:
                attempt.comes_back(Outcome.CONNECTION_LOST)
        for sidecar in self.sidecars:
            sidecar.connections.pop(server.name, None)

    def _hear_falls(self, server: OrderServer) -> None:
        judged = server.fell

        def fell(server: OrderServer, started_at: int, by_sidecar: dict[int, float]) -> None:
            if judged is not None:
                judged(server, started_at, by_sidecar)
            self._note(f"{server.name} was pushed over")
            self.engine.call_later(0, self._gone, server)

        server.fell = fell

    def _gone(self, server: OrderServer) -> None:
        self._crash(server)
        self._notice(server, self.given.discovery.crash_notice_s, ListedState.REMOVED)

    def _notice(self, server: OrderServer, wait_s: float, state: ListedState) -> None:
        started_at = server.started_at if state is ListedState.ACTIVE else None
        self._notices.notice(
            server.name, wait_s, lambda: self.discovery.publish(server.name, state, started_at)
        )

    def _note(self, text: str) -> None:
        self.recorder.series.timeline.append((round(self.engine.now / 1e6, 3), text))

    # Faults

    def _do(self, incident: Incident) -> None:
        now, discovery = self.engine.now, self.given.discovery
        server = self.servers[incident.target] if incident.target < len(self.servers) else self.servers[0]
        match incident.deed:
            case Deed.CRASH:
                if server.is_up:
                    self._gone(server)
            case Deed.START:
                server.start(now)
                self._notice(server, discovery.add_notice_s, ListedState.ACTIVE)
            case Deed.DRAIN:
                self._notice(server, discovery.drain_notice_s, ListedState.DRAINING)
                # It turns new work away only once word of it had time to travel.
                self.engine.call_later(
                    int(discovery.drain_notice_s * 1e6) + 500_000, self._refuse_new, server
                )
            case Deed.DIRECTORY_DOWN:
                self.discovery.fall()
            case Deed.DIRECTORY_UP:
                self.discovery.is_up = True
            case Deed.CUT:
                self.cut_zones.add(incident.zone)
            case Deed.JOIN:
                self.cut_zones.discard(incident.zone)
            case Deed.RESTART:
                self.sidecars[incident.target].kill()
            case _:
                self.begun(server, strike(server, incident, now))
        what = incident.zone or (
            f"sidecar {incident.target}" if incident.deed is Deed.RESTART else server.name
        )
        if incident.deed in (Deed.DIRECTORY_DOWN, Deed.DIRECTORY_UP):
            what = ""
        self._note(f"{incident.deed.value} {what}".strip())

    def _refuse_new(self, server: OrderServer) -> None:
        if server.is_up and self.discovery.directory.entry(server.name).state is not ListedState.ACTIVE:
            server.is_leaving = True

    def _sample(self) -> None:
        """One row for each server and second."""
        for server in self.servers:
            before = self._done_before[server.name]
            self.recorder.series.servers.setdefault(server.name, []).append(
                (server.done - before, server.most_waiting)
            )
            self._done_before[server.name] = server.done
            server.most_waiting = server.waiting

    # Clients

    def _plan_next(self, asks: Any) -> None:
        ask = next(asks, None)
        if ask is not None:
            self.engine.call_at(ask.at, self._arrive, ask, asks)

    def _arrive(self, ask: Ask, asks: Any) -> None:
        self._plan_next(asks)
        self._try(ask, self.recorder.first_try_sent(ask))

    def _try(self, ask: Ask, worth: float) -> None:
        """The client sends a try."""
        engine = self.engine
        wait = try_wait_us(ask, engine.now, self.given.clients)
        self._next_request += 1
        ask.tries += 1
        one = _ClientTry(self, ask, worth, self._next_request, engine.now + wait)
        engine.call_later(int(self.network.client_ms * 1e3), self.sidecars[ask.sidecar].arrived, one)
        engine.call_at(one.until + int(self.given.rules.slack_ms * 1e3), one.give_up)
        if ask.leaves_after_us and ask.tries == 1:
            engine.call_later(ask.leaves_after_us, one.leave)

    def over(self, one: _ClientTry, how: Ending, retry_after_us: int) -> None:
        """A try has its answer, or will have none."""
        now = self.engine.now
        again = comes_again(one.ask, how, retry_after_us, now, self.given.clients, self._clients.random)
        if again is None:
            self.recorder.request_ended(one.ask, one.worth, how, now)
        else:
            self.engine.call_at(again, self._try, one.ask, one.worth)


class _ClientTry:
    """One try of a client, from its send to its end."""

    __slots__ = ("ask", "is_over", "request", "until", "world", "worth")

    def __init__(self, world: World, ask: Ask, worth: float, request: int, until: int) -> None:
        self.world, self.ask, self.worth, self.request, self.until = world, ask, worth, request, until
        self.is_over = False

    def answer(self, how: Ending, retry_after_us: int) -> None:
        """The sidecar's answer reached the client."""
        world = self.world
        world.history.response_received(self.request, world.engine.now, is_rejection=how is Ending.REFUSED)
        if not self.is_over:
            self.is_over = True
            late = how is Ending.SERVED and world.engine.now > self.until
            world.over(self, Ending.FAILED if late else how, retry_after_us)

    def broken(self) -> None:
        """The sidecar was not there, or died."""
        if not self.is_over:
            self.is_over = True
            self.world.over(self, Ending.REFUSED, 0)

    def give_up(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.world.sidecars[self.ask.sidecar].client_gone(self.request)
            self.world.over(self, Ending.FAILED, 0)

    def leave(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.world.history.client_disconnected(self.request)
            self.world.sidecars[self.ask.sidecar].client_gone(self.request)
            self.world.over(self, Ending.GONE, 0)


class _Held:
    """A request at its sidecar."""

    __slots__ = ("attempts", "client", "is_answered", "out")

    def __init__(self, client: _ClientTry) -> None:
        self.client = client
        self.attempts: list[_Attempt] = []
        self.out = 0
        self.is_answered = False


class _Attempt:
    """One attempt on its way."""

    __slots__ = (
        "had_connection",
        "held",
        "is_over",
        "is_written",
        "job",
        "number",
        "sent_at",
        "server",
        "sidecar",
    )

    def __init__(self, sidecar: VirtualSidecar, held: _Held, number: int, server: OrderServer) -> None:
        self.sidecar, self.held, self.number, self.server = sidecar, held, number, server
        self.sent_at = sidecar.engine.now
        self.job: Job | None = None
        self.is_written = False
        self.is_over = False
        self.had_connection = False

    def comes_back(self, outcome: Outcome, after_us: int = 0) -> None:
        """The server's word travels back."""
        sidecar = self.sidecar
        sidecar.engine.call_later(
            after_us + sidecar.world.delay(self.server.zone, sidecar.zone), sidecar.heard, self, outcome
        )


class VirtualSidecar:
    """One instance of the decisions, and its connections."""

    def __init__(self, world: World, place: int, settings: Settings) -> None:
        self.world, self.place, self.settings = world, place, settings
        self.engine, self.zone = world.engine, settings.zone
        self.connections: dict[str, list[int]] = {}  # by server: since when each idle one is
        self.version = 0
        self.is_up = False
        self._listed: dict[str, EndpointState] = {}
        self._held: dict[int, _Held] = {}
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._life = 0
        self._idle_us = int(world.network.idle_s * 0.9e6)
        self._policy: Policy

    def start(self) -> None:
        """Begin with the list as it was last held."""
        world = self.world
        self.is_up = True
        self._policy = world.make(
            self.settings, stream(world.seed, "sidecar", self.place, self._life).getrandbits(48), world
        )
        known = world.discovery.directory.current() if self._life == 0 else self._remembered()
        world.history.sidecar_listening(self.place)
        world.history.endpoints_polled(self.place, self.engine.now)
        self.version = world.discovery.directory.version if self._life == 0 else self.version
        self._listed = {each.name: _STATES[each.state] for each in known}
        self._post(
            EndpointsUpdated(EndpointUpdateKind.CACHED, [_listed(each) for each in known], self.version)
        )

    def _remembered(self) -> list[DirectoryEntry]:
        lines = (self.world.discovery.directory.entry(name) for name in self._listed)
        return [each for each in lines if each.state is not ListedState.REMOVED]

    def kill(self) -> None:
        """End at once and start anew after a while; what it held is lost."""
        self.is_up = False
        self._life += 1
        self.world.history.sidecar_killed(self.place)
        self.world.discovery.forget(self)
        held, self._held = self._held, {}
        for each in held.values():
            for attempt in each.attempts:
                if not attempt.is_over:
                    attempt.is_over = True
                    self._close_at_server(attempt)
            each.client.broken()
        self.connections.clear()
        self._events.clear()
        self.engine.call_later(_BACK_AFTER_US, self.start)

    # Clients

    def arrived(self, client: _ClientTry) -> None:
        if not self.is_up:
            client.broken()
            return
        if client.is_over:
            return
        now, ask = self.engine.now, client.ask
        self.world.history.request_received(
            client.request, self.place, ask.kind, now=now, timeout_us=client.until - now
        )
        self._held[client.request] = _Held(client)
        left = max(client.until - now, 1)
        hint = int(ask.work_us) if self.world.given.load.hints else None
        self._post(RequestArrived(client.request, ask.kind.name, ask.tenant, ask.key, left, hint))

    def client_gone(self, request: int) -> None:
        held = self._held.get(request)
        if held is not None and not held.is_answered:
            held.is_answered = True
            self._post(ClientDisconnected(request))
            self._forget_if_over(request, held)

    def _answer(self, request: int, how: Ending, retry_after_us: int = 0) -> None:
        held = self._held.get(request)
        if held is None:
            return
        held.is_answered = True
        self.engine.call_later(
            int(self.world.network.client_ms * 1e3), held.client.answer, how, retry_after_us
        )
        self._forget_if_over(request, held)

    def _forget_if_over(self, request: int, held: _Held) -> None:
        if held.is_answered and held.out == 0:
            self._held.pop(request, None)

    # Events and actions

    def _post(self, event: Event) -> None:
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        while self._events:
            event = self._events.popleft()
            if isinstance(event, AttemptEnded):
                held = self._held.get(event.request)
                event.is_responded = held is None or held.is_answered
            for action in self._policy.handle(self.engine.now, event):
                self._carry_out(action)
            if isinstance(event, AttemptEnded) and held is not None:
                self._forget_if_over(event.request, held)
        self._is_handling = False

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case SetTimer():
                self.engine.call_later(action.delay_us, self._fire, action.token, self._life)
            case RejectRequest():
                self._answer(action.request, Ending.REFUSED, action.retry_after_us)
            case FailRequest():
                self._answer(action.request, Ending.FAILED)
            case CancelAttempt():
                self._cancel(action)
            case CloseIdleConnections():
                self.connections.pop(action.endpoint, None)
            case Subscribe():
                self.world.discovery.follow(self, action.is_subscribed)
            case FetchEndpoints():
                self.world.discovery.fetch(self)
            case StartHealthCheck():
                self._probe(action.endpoint)
            case LogEvent():
                pass

    def _fire(self, token: str, life: int) -> None:
        if life == self._life:
            self._post(TimerFired(token))

    def listed(
        self, kind: EndpointUpdateKind, lines: Sequence[DirectoryEntry], version: int, life: int
    ) -> None:
        """Discovery's word arrives."""
        if life != self._life or not self.is_up:
            return
        if kind is EndpointUpdateKind.COMPLETE:
            self._listed.clear()
        for each in lines:
            self._listed[each.name] = _STATES[each.state]
        if kind is not EndpointUpdateKind.FAILED:
            self.version = version
        self._post(EndpointsUpdated(kind, [_listed(each) for each in lines], version))

    @property
    def life(self) -> int:
        return self._life

    # Attempts

    def _send(self, action: StartAttempt) -> None:
        held = self._held.get(action.request)
        now, world = self.engine.now, self.world
        if held is None:
            return
        attempt = _Attempt(self, held, len(held.attempts), world.by_name[action.endpoint])
        held.attempts.append(attempt)
        held.out += 1
        until = min(action.deadline, held.client.until) if action.deadline < NEVER else held.client.until
        if (
            self._listed.get(action.endpoint) is not EndpointState.READY
            or until <= now
            or attempt.number >= self.settings.limits.max_attempts
        ):
            self.engine.call_later(0, self._end, attempt, Outcome.NOT_SENT)
            return
        self.engine.call_at(until, self._expire, attempt)
        idle = self.connections.get(action.endpoint)
        while idle:
            if now - idle.pop() < self._idle_us:
                attempt.had_connection = True
                self._write(attempt)
                return
        self._dial(attempt)

    def _dial(self, attempt: _Attempt) -> None:
        world, server = self.world, attempt.server
        world.recorder.counters.handshakes += 1
        there_and_back = world.delay(self.zone, server.zone) + world.delay(server.zone, self.zone)
        if world.is_cut(self.zone, server.zone):
            self.engine.call_later(
                self.settings.limits.connect_timeout_us, self._end, attempt, Outcome.CONNECT_FAILED
            )
        elif not server.is_up or server.has_fallen:
            self.engine.call_later(there_and_back, self._end, attempt, Outcome.CONNECT_FAILED)
        else:
            trips = 1 + world.network.handshake_rtts
            self.engine.call_later(trips * there_and_back, self._connected, attempt)

    def _connected(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        if self._listed.get(attempt.server.name) is not EndpointState.READY:
            self._end(attempt, Outcome.NOT_SENT)  # word of its drain came while the dial was under way
        elif not attempt.server.is_up or attempt.server.has_fallen:
            self._end(attempt, Outcome.CONNECT_FAILED)
        else:
            self._write(attempt)

    def _write(self, attempt: _Attempt) -> None:
        world = self.world
        attempt.is_written = True
        world.recorder.counters.attempts += 1
        if attempt.server.zone != self.zone:
            world.recorder.counters.cross_zone_attempts += 1
        world.history.attempt_sent(self.place, attempt.server.name, self.engine.now)
        self.engine.call_later(world.delay(self.zone, attempt.server.zone), self._reach, attempt)

    def _reach(self, attempt: _Attempt) -> None:
        """The last byte is at the server."""
        world, server, now = self.world, attempt.server, self.engine.now
        if attempt.is_over or world.is_cut(self.zone, server.zone):
            return
        ask = attempt.held.client.ask
        work = world.noisy(ask.work_us)
        if not attempt.had_connection:
            work += world.network.handshake_work_ms * 1e3
        known_us = ask.work_us if world.given.load.hints else ask.kind.work_ms * 1e3
        job = Job(attempt.held.client.request, self.place, work, known_us, ask.key)
        attempt.job = job
        verdict, begun = server.offer(now, job, world.chance())
        if verdict is Verdict.FULL:
            attempt.comes_back(Outcome.OVERLOADED)
        elif verdict is Verdict.FAILED:
            attempt.comes_back(Outcome.SERVER_ERROR, _ERROR_US)
        elif not server.is_up or server.has_fallen:
            attempt.comes_back(Outcome.CONNECTION_LOST)
        else:
            world.jobs_out[job] = attempt
        world.begun(server, begun)

    def heard(self, attempt: _Attempt, outcome: Outcome) -> None:
        """The server's word is here."""
        if attempt.is_over or self.world.is_cut(self.zone, attempt.server.zone):
            return
        if outcome not in (Outcome.CONNECTION_LOST, Outcome.MALFORMED_RESPONSE) and attempt.server.is_up:
            self.connections.setdefault(attempt.server.name, []).append(self.engine.now)
        self._end(attempt, outcome)

    def _expire(self, attempt: _Attempt) -> None:
        if not attempt.is_over:
            self._close_at_server(attempt)
            self._end(attempt, Outcome.TIMED_OUT if attempt.is_written else Outcome.CONNECT_FAILED)

    def _cancel(self, action: CancelAttempt) -> None:
        held = self._held.get(action.request)
        if held is None or action.attempt >= len(held.attempts):
            return
        attempt = held.attempts[action.attempt]
        if not attempt.is_over:
            attempt.is_over = True
            self._close_at_server(attempt)
            self.engine.call_later(0, self._told_end, attempt, Outcome.CANCELLED)

    def _close_at_server(self, attempt: _Attempt) -> None:
        """Our end of the connection closes, and the server notices."""
        if attempt.is_written:
            wait = self.world.delay(self.zone, attempt.server.zone)
            self.engine.call_later(wait, self._closed_at_server, attempt)

    def _closed_at_server(self, attempt: _Attempt) -> None:
        job = attempt.job
        if job is not None and not self.world.is_cut(self.zone, attempt.server.zone):
            begun = attempt.server.cancelled(self.engine.now, job)
            if job.stage is Stage.OVER:
                self.world.jobs_out.pop(job, None)
            self.world.begun(attempt.server, begun)

    def _end(self, attempt: _Attempt, outcome: Outcome) -> None:
        if not attempt.is_over:
            attempt.is_over = True
            self._told_end(attempt, outcome)

    def _told_end(self, attempt: _Attempt, outcome: Outcome) -> None:
        held, request = attempt.held, attempt.held.client.request
        if request not in self._held:
            return  # of a life before
        held.out -= 1
        if outcome is Outcome.DELIVERED and not held.is_answered:
            held.is_answered = True
            self.engine.call_later(
                int(self.world.network.client_ms * 1e3), held.client.answer, Ending.SERVED, 0
            )
        took = self.engine.now - attempt.sent_at
        self._post(AttemptEnded(request, attempt.number, attempt.server.name, outcome, took, False))

    def _probe(self, name: str) -> None:
        world, server = self.world, self.world.by_name[name]
        world.recorder.counters.health_checks += 1
        there = world.delay(self.zone, server.zone)
        self.engine.call_later(there, self._probed, server, self.engine.now, self._life)

    def _probed(self, server: OrderServer, sent_at: int, life: int) -> None:
        back = self.world.delay(server.zone, self.zone)
        if not server.is_up or server.has_fallen:
            outcome, report = Outcome.CONNECT_FAILED, None
        elif server.hangs or self.world.is_cut(self.zone, server.zone):
            outcome, report, back = Outcome.TIMED_OUT, None, 400_000
        else:
            outcome, report = Outcome.DELIVERED, {"queue": float(server.report(self.engine.now))}
        self.engine.call_later(back, self._probe_heard, server.name, outcome, report, sent_at, life)

    def _probe_heard(
        self, name: str, outcome: Outcome, report: dict[str, float] | None, sent_at: int, life: int
    ) -> None:
        if life == self._life:
            self._post(HealthCheckEnded(name, outcome, self.engine.now - sent_at, report))


def _listed(line: DirectoryEntry) -> EndpointDescription:
    return EndpointDescription(
        line.name, line.zone, line.kind, line.cell, _STATES[line.state], 1.0, line.started_at or None
    )


class _Discovery:
    """The directory as a service: calls wait in turn, watches hear of changes, all fails while it is down."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.directory = fleet.directory(world.servers)
        self.is_up = True
        self._busy_until = 0
        self._service_us = int(1e6 / world.given.discovery.calls_per_s)
        self._timeout_us = int(world.given.discovery.timeout_s * 1e6)
        self._watching: dict[int, VirtualSidecar] = {}

    def publish(self, name: str, state: ListedState, started_at: int | None) -> None:
        if self.directory.update(name, state, started_at):
            self._world.history.endpoint_published(
                name, is_draining=state is not ListedState.ACTIVE, now=self._world.engine.now
            )
            for sidecar in list(self._watching.values()):
                self._call(sidecar, sidecar.version, is_watch=True)

    def fall(self) -> None:
        self.is_up = False
        watching, self._watching = self._watching, {}
        for sidecar in watching.values():
            self._world.history.endpoints_polled(sidecar.place, self._world.engine.now)
            self._fails(sidecar, 0)

    def forget(self, sidecar: VirtualSidecar) -> None:
        self._watching.pop(sidecar.place, None)

    def follow(self, sidecar: VirtualSidecar, wanted: bool) -> None:
        if not wanted:
            self.forget(sidecar)
            self._world.history.endpoints_polled(sidecar.place, self._world.engine.now)
            return
        self._call(sidecar, sidecar.version, is_watch=True)

    def fetch(self, sidecar: VirtualSidecar) -> None:
        self._call(sidecar, None, is_watch=False)

    def _call(self, sidecar: VirtualSidecar, after: int | None, *, is_watch: bool) -> None:
        engine = self._world.engine
        begins = max(self._busy_until, engine.now)
        if not self.is_up:
            self._fails(sidecar, 1_000)
        elif begins - engine.now > self._timeout_us:
            self._fails(sidecar, self._timeout_us)
        else:
            self._busy_until = begins + self._service_us
            engine.call_at(self._busy_until, self._answer, sidecar, after, is_watch, sidecar.life)

    def _fails(self, sidecar: VirtualSidecar, wait_us: int) -> None:
        self._world.engine.call_later(wait_us, sidecar.listed, EndpointUpdateKind.FAILED, [], 0, sidecar.life)

    def _answer(self, sidecar: VirtualSidecar, after: int | None, is_watch: bool, life: int) -> None:
        world = self._world
        if life != sidecar.life or not sidecar.is_up:
            return
        if not self.is_up:
            self._fails(sidecar, 0)
            return
        lines = self.directory.current() if after is None else self.directory.changed_since(after)
        kind = EndpointUpdateKind.COMPLETE if after is None else EndpointUpdateKind.DELTA
        now = world.engine.now
        world.history.endpoints_polled(sidecar.place, None if is_watch else now)
        if is_watch:
            self._watching[sidecar.place] = sidecar
        for each in lines if after is not None else self.directory.changed_since(0):
            leaves = each.state is not ListedState.ACTIVE
            world.history.sidecar_notified(
                sidecar.place, each.name, is_draining=leaves, started_at=each.started_at, now=now
            )
        copies = [
            DirectoryEntry(e.name, e.zone, e.kind, e.cell, e.state, e.started_at, e.version) for e in lines
        ]
        version = self.directory.version
        world.engine.call_later(world.delay("", ""), sidecar.listed, kind, copies, version, life)
