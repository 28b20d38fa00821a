"""The sidecar: it owns the decisions, the clock, the timers and the open requests.

What happens on sockets becomes events here, and what the decisions answer is carried out from here; `handle`
is called nowhere else.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from tulipnotch.load_balancing import Balancer, Settings
from tulipnotch.load_balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogEvent,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    Subscribe,
)
from tulipnotch.load_balancing.admission.service_levels import (
    OBSERVATION_INTERVAL_US,
    ServiceLevel,
    ServiceLevelController,
)
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestArrived,
    RequestBodyCompleted,
    SettingsChanged,
    TimerFired,
)
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.retries import idempotency_rule as repeat_rule
from tulipnotch.load_balancing.settings import DiscoveryMode, ReportSource
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.configuration.configuration import Config
from tulipnotch.sidecar.control.endpoint import CommandHandler, CommandRejectedError, ControlLimits
from tulipnotch.sidecar.control.lifecycle import Lifecycle, Phase
from tulipnotch.sidecar.control.telemetry import Result, Telemetry
from tulipnotch.sidecar.discovery import client as discovery
from tulipnotch.sidecar.discovery.peers import PeerMessenger
from tulipnotch.sidecar.downstream.incoming_request import BadRequestError, IncomingRequest
from tulipnotch.sidecar.downstream.listener import left_waiting, listen, reserve_soon
from tulipnotch.sidecar.downstream.server import ClientLimits, DownstreamConnection, DownstreamServer
from tulipnotch.sidecar.http1.messages import Headers, Request, Response
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.requests.invariants import CloseReason, Invariant, InvariantChecker, WrittenAttempt
from tulipnotch.sidecar.requests.open_request import AttemptId, OpenRequest
from tulipnotch.sidecar.requests.possibly_executed import PossiblyExecutedRequests
from tulipnotch.sidecar.requests.trace import Trace
from tulipnotch.sidecar.upstream.connection import ResponseConsumer, UpstreamConnection
from tulipnotch.sidecar.upstream.pool import UpstreamPool, load_report
from tulipnotch.sidecar.upstream.request import IndependentRequestObserver, UpstreamRequest

RESERVED = 32  # descriptors for everything but clients, servers and operators
_FOR_WORK = 0.25  # of all descriptors, for clients and servers at least, however many operators may connect
_FOR_CLIENTS = 0.5  # of those for clients and servers
_CONNECTIONS_OF_MEMORY = (
    (1 << 20) // 4 // 4_096
)  # for each MB of the limit: a quarter, at 4 KiB for one at rest
_REQUESTS_OF_MEMORY = (1 << 20) // 8  # for each MB of the limit: what unanswered requests may take of it
_ONLY_AT_START = ("name", "listen", "control", "peer_listen", "seed", "memory_mb")
# Settings that only a restart applies, with their keys in the configuration.
_SETTINGS_ONLY_AT_START = {"discovery_mode": "settings.discovery", "instance_index": "settings.me"}
_PROBE_WITHIN_US = 1_000_000
_SHARED = 0.5  # of what servers' connections may take, while a second process of this sidecar may run
_SHARED_FOR_S = 5.0  # from a new version's yes: the longest time in which the old one may still be there
_FRESH_WITHIN_S = 1.0  # how long a start that knows no server waits for a list
_FRESH_WITHIN_TAKEOVER_S = 3.0  # and where the version before still serves meanwhile
_UNSERVED_S = 0.25  # how long clients must have waited there before nobody else is taken to serve
_NEW_FOR_S = 0.4  # how long after SIGTERM new connections may go on coming
_QUIET_S = 0.05  # and how long none must have come before the listener closes
_KILLED_AFTER_S = 0.7  # SIGKILL comes no sooner after SIGTERM than this and the longest deadline
_LONGEST_DEADLINE_S = 3.0  # as far as that is counted
_SPARE_S = 0.1  # of that time, kept for writing the last answers

_RESULTS = {200: Result.COMPLETED, 429: Result.REJECTED, 503: Result.REJECTED}  # any other status: failed


@dataclass(frozen=True, slots=True)
class ServiceLevels:
    """The levels of reduced service that staff have set, and the least time between two changes."""

    levels: tuple[ServiceLevel, ...]
    hold_us: int


class Sidecar:
    """One sidecar from its start to its end."""

    def __init__(
        self,
        config: Config,
        log: Log,
        limits: ClientLimits | None = None,
        levels: ServiceLevels | None = None,
        operators: int | None = None,  # connections that the door allows them; None: its default
        trace: Trace | None = None,
    ) -> None:
        self.config = config
        if operators is None:
            operators = ControlLimits().most_connections
        # As many of them as the descriptors allow; fixed at the start, like the door itself.
        self.operators = min(operators, config.sockets - int(_FOR_WORK * config.sockets) - RESERVED)
        self._log = log
        self._trace = trace
        self._settings = config.settings
        self._clock = Clock()
        self._balancer = Balancer(config.settings, config.seed)
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._open: dict[int, OpenRequest] = {}
        self._owed: set[bytes] = set()  # ids of the requests without their final answer
        self._spent = PossiblyExecutedRequests()
        self._next_request = 1
        self._has_fresh_list = asyncio.Event()
        self._has_waited = False  # for a list, in vain
        self._is_inherited = False  # whether other processes hold the listening socket too
        self._shares_room = False  # whether a second process of this sidecar may be running
        self._stop_by: int | None = None  # when all must be answered, once it drains
        self.lifecycle = Lifecycle()
        if trace is not None:
            self.lifecycle.on_change(lambda: trace.phase_changed(self.lifecycle.phase.value))
        self.telemetry = Telemetry(each.name for each in config.settings.classes)
        self._guard = InvariantChecker(self._invariant_broken)
        self.frontend = DownstreamServer(
            config.settings,
            limits or client_limits(config),
            self.lifecycle,
            self._arrived,
            self._gone,
            self._client_closed,
            self._guard,
        )
        self._upstream = UpstreamPool(self._clock, config.settings, self._guard)
        self._divide_descriptors(config.sockets)
        self._discovery = discovery.DiscoveryClient(
            config.discovery,
            config.known.version,
            config.settings.discovery_mode is DiscoveryMode.PUSHED,
            self._listed,
            lambda: self._post(EndpointsUpdated(EndpointUpdateKind.FAILED)),
            lambda fault: self._log("no_list", fault=fault),
            config.settings.rules.drain_grace_us,
            config.settings.instance_index,
            has_list=bool(config.known.endpoints),
            max_poll_interval_us=config.settings.rules.max_poll_interval_us,
        )
        self._ladder = (
            ServiceLevelController(levels.levels, levels.hold_us, self._clock.now()) if levels else None
        )
        self._peers = PeerMessenger(
            config.peers,
            config.peers_all,
            config.settings.instance_index,
            lambda number, payload: self._post(PeerMessageReceived(number, payload)),
        )

    async def start(self, inherited: socket.socket | None = None) -> None:
        """Take up the last known list, and listen: on an inherited socket only once there is a fresh one.

        A fresh list is worth a wait where the version before serves meanwhile.  Where nobody does, the known
        one is good enough, and a release that kills most sidecars at once leaves discovery with a long line.
        Where lists are pushed it is not: all that the agent has counts as announced from the first moment on.
        """
        self._is_inherited = self._shares_room = inherited is not None
        reserved = await reserve_soon(self.config.listen) if inherited is None else None
        if self._settings.limits.may_send_peer_messages and self.config.peer_listen is not None:
            await self._peers.listen(self.config.peer_listen)
        self._upstream.endpoints_updated(self.config.known)
        self._post(self.config.known.event(EndpointUpdateKind.CACHED))
        self._discovery.start()
        if inherited is None:
            if self._settings.discovery_mode is DiscoveryMode.PUSHED:
                # Nothing listens meanwhile: what the kernel accepts is lost if this start is called off.
                await self._until(self._discovery.first_call_ended, _FRESH_WITHIN_S)
            assert reserved is not None
            listen(reserved, self.frontend.max_connections)
            self.frontend.listen(reserved)
            if not self.config.known.endpoints:  # else its clients need not wait, and nobody else serves them
                await self._freshly_listed(_FRESH_WITHIN_S)
        else:
            self._divide_descriptors(self.config.sockets)
            await self._freshly_listed_or_alone(inherited)
            self.frontend.listen(inherited)
            asyncio.get_running_loop().call_later(_SHARED_FOR_S, self._alone)
        has_looked = (
            self._has_waited or self._has_fresh_list.is_set() or self._discovery.first_call_ended.is_set()
        )
        is_known = bool(self.config.known.endpoints) and not self._must_look
        self._guard.check(is_known or has_looked, Invariant.READY_AFTER_DISCOVERY, self.config.name)
        self.lifecycle.started()
        if self._ladder is not None:
            self._read_pressure(self._ladder)

    @property
    def _must_look(self) -> bool:
        """Whether the list that was known before the start is not enough to serve by."""
        return self._is_inherited or self._settings.discovery_mode is DiscoveryMode.PUSHED

    def _client_closed(self, reason: CloseReason) -> None:
        self.telemetry.connection_closed(reason)
        if self._trace is not None:
            self._trace.connection_closed(reason)

    def _invariant_broken(self, invariant: Invariant, about: str) -> None:
        self._log("invariant_broken", invariant=invariant.value, about=about)

    def _read_pressure(self, ladder: ServiceLevelController) -> None:
        """Bring the ladder a reading, again and again, and its change of level to the decisions."""
        change = ladder.observe(self._clock.now(), self._balancer.pressure())
        if change is not None:
            held_s = round(change.previous_duration_us / 1e6, 1)
            self._log(
                "level", now=change.current, before=change.previous, held_s=held_s, reason=change.reason
            )
            self._post(change.effect)
        if self.lifecycle.phase is not Phase.STOPPING:
            asyncio.get_running_loop().call_later(OBSERVATION_INTERVAL_US / 1e6, self._read_pressure, ladder)

    async def _freshly_listed(self, within_s: float) -> None:
        await self._until(self._has_fresh_list, within_s)

    async def _freshly_listed_or_alone(self, inherited: socket.socket) -> None:
        """Wait for a fresh list while the version before serves.

        Where that was killed, clients' requests wait on the socket: the known list is good enough for them.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        fresh = loop.create_task(self._has_fresh_list.wait())
        alone = loop.create_task(left_waiting(inherited, _UNSERVED_S))
        try:
            await asyncio.wait(
                (fresh, alone), timeout=_FRESH_WITHIN_TAKEOVER_S, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            fresh.cancel()
            alone.cancel()
        if not self._has_fresh_list.is_set():
            self._has_waited = True
            self._log("no_fresh_list", waited_s=round(loop.time() - began, 1))

    async def _until(self, received: asyncio.Event, within_s: float) -> None:
        try:
            async with asyncio.timeout(within_s):
                await received.wait()
        except TimeoutError:
            self._has_waited = True
            self._log("no_fresh_list", waited_s=within_s)

    def _alone(self) -> None:
        """The version before has ended by now."""
        if self.lifecycle.phase is not Phase.STOPPING:
            self._shares_room = False
            self._divide_descriptors(self.config.sockets)

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return len(self._open)

    def calls(self) -> Mapping[str, CommandHandler]:
        """What operators may ask for."""
        return {
            "readyz": self._readyz,
            "telemetry": self._figures,
            "level": self._level,
            "evacuate": self._evacuate,
            "activate": self._activate,
        }

    def _readyz(self) -> Sequence[str]:
        if not self.lifecycle.is_ready:
            raise CommandRejectedError(self.lifecycle.phase.value)
        return ["ready"]

    def _level(self) -> Sequence[str]:
        if self._ladder is None:
            raise CommandRejectedError("no levels are set")
        return [self._ladder.describe(self._clock.now())]

    def _figures(self) -> Sequence[str]:
        members, unavailable = self._balancer.members()
        gauges = {
            "pending": self._pending(),
            "members": members,
            "members_unavailable": unavailable,
            "invariant_violations": self._guard.violations,
        }
        if self._ladder is not None:
            gauges |= {"level": self._ladder.index, "level_changes": self._ladder.changes}
        return ["", *self.telemetry.lines(gauges), "."]

    def _pending(self) -> int:
        """Requests that were taken and are not over for their clients; one is taken with its last byte."""
        return sum(
            each.incoming.body.is_complete and (each.client is not None or each.reading is not None)
            for each in self._open.values()
        )

    def _evacuate(self) -> Sequence[str]:
        self.lifecycle.evacuate()
        return [self.lifecycle.phase.value]

    def _activate(self) -> Sequence[str]:
        if not self.lifecycle.activate():
            raise CommandRejectedError(self.lifecycle.phase.value)
        return [self.lifecycle.phase.value]

    def reload(self, config: Config) -> None:
        """Take over what a new configuration may change in a running sidecar; name what it may not."""
        before = self.config
        kept = [key for key in _ONLY_AT_START if getattr(config, key) != getattr(before, key)]
        settings = config.settings
        fixed = [
            key for key in _SETTINGS_ONLY_AT_START if getattr(settings, key) != getattr(self._settings, key)
        ]
        settings = replace(settings, **{key: getattr(self._settings, key) for key in fixed})
        self.config = replace(config, settings=settings, **{key: getattr(before, key) for key in kept})
        if config.discovery != before.discovery:
            self._discovery.change_address(config.discovery)
        self._peers.set_addresses(config.peers, config.peers_all)
        self._divide_descriptors(config.sockets)
        self._obey(settings)
        kept += [_SETTINGS_ONLY_AT_START[key] for key in fixed]
        waits = f"; only a restart takes up {', '.join(kept)}" if kept else ""
        address = f"{config.discovery[0]}:{config.discovery[1]}"
        self._log("reloaded", discovery=address, waits=waits)

    def _obey(self, settings: Settings) -> None:
        """Everything that keeps settings takes new ones here, all in one go."""
        if settings == self._settings:
            return
        self._settings = settings
        self.telemetry.add_classes(each.name for each in settings.classes)
        self._upstream.apply_settings(settings)
        self._discovery.apply_settings(settings.rules.drain_grace_us, settings.rules.max_poll_interval_us)
        self.frontend.apply_settings(settings)
        self._post(SettingsChanged(settings))

    def _divide_descriptors(self, sockets: int) -> None:
        room = max(sockets - RESERVED - self.operators, int(_FOR_WORK * sockets))
        room = min(room, self.config.memory_mb * _CONNECTIONS_OF_MEMORY)
        self.frontend.max_connections = int(room * _FOR_CLIENTS)
        # Clients come to either process, never more of them in all; it is servers that both connect to.
        self._upstream.max_connections = int(
            (room - self.frontend.max_connections) * (_SHARED if self._shares_room else 1.0)
        )

    async def drain(self) -> None:
        """Answer all that was taken and is still coming, then let go of everything."""
        began = asyncio.get_running_loop().time()
        longest_s = min(max(each.deadline_us for each in self._settings.classes) / 1e6, _LONGEST_DEADLINE_S)
        left_s = longest_s + _KILLED_AFTER_S - _SPARE_S
        self._stop_by = self._clock.now() + int(left_s * 1e6)
        self.lifecycle.stop()
        if self._is_inherited:
            await self._hand_over(began + left_s)
        else:
            await self._run_dry(began, began + left_s)
        for request in list(self._open):
            self._answer(request, 504, [])  # the decisions had no word on it in time
            held = self._open.get(request)
            if held is not None:
                self._stream_ended(held, Outcome.CANCELLED)
        await asyncio.sleep(0)
        self._guard.check(not self._owed, Invariant.STOP_WITHOUT_PENDING_RESPONSE, str(len(self._owed)))
        self.close()

    async def _hand_over(self, until: float) -> None:
        """Leave new connections to whoever else holds the listening socket, and finish those that are open.

        Idle ones are let go of by the client side, after a rest: few requests then meet a closed connection.
        """
        self.frontend.stop_listening()
        self._shares_room = True
        self._divide_descriptors(self.config.sockets)
        self._upstream.close_all_idle()
        while not self.frontend.has_no_connections and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)

    async def _run_dry(self, began: float, until: float) -> None:
        """Nobody else listens: take what still comes, then let go of everything at rest."""
        loop = asyncio.get_running_loop()
        self.frontend.close_idle()  # while new connections are still taken
        await asyncio.sleep(_NEW_FOR_S)
        while loop.time() < self.frontend.last_opened + _QUIET_S and loop.time() < began + _KILLED_AFTER_S:
            await asyncio.sleep(_QUIET_S / 2)
        while not self.frontend.accept_pending() and loop.time() < until:
            await asyncio.sleep(_QUIET_S / 2)
        self.frontend.stop_listening()
        while (self._owed or not self.frontend.has_no_connections) and loop.time() < until:
            if not self._owed:
                self.frontend.close_idle()
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self._discovery.close()
        self._peers.close()
        self._upstream.close()
        self.frontend.close()

    # Events

    def _post(self, event: Event) -> None:
        """Bring an event to the decisions, at once unless they are at work: then right after, in order."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    event.is_responded = self._is_answered(event.request)
                self._handle(event)
                if isinstance(event, AttemptEnded):
                    self._forget_if_over(event.request)
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        """Let the decisions take an event, and carry out each action, whatever becomes of the one before."""
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception as fault:
            self._defect(event, fault)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception as fault:
                self._defect(action, fault)

    def _defect(self, where: Event | Action, fault: Exception) -> None:
        """Live on after a defect, and owe nobody an answer because of it."""
        self._log("internal_error", where=type(where).__name__, fault=repr(fault))
        if isinstance(where, (RequestArrived, AttemptEnded, StartAttempt, RejectRequest, FailRequest)):
            self._answer(where.request, 500, [])

    def _listed(self, listing: discovery.DiscoveryResponse) -> None:
        self._has_fresh_list.set()
        self._upstream.endpoints_updated(listing)
        self._post(listing.event())

    def _arrived(self, client: DownstreamConnection, incoming: IncomingRequest) -> int | None:
        most = self._settings.limits.max_open_requests
        if incoming.request_id in self._owed:
            # Guards against a client that takes another's id: servers tell requests apart by it.
            raise BadRequestError("request-id is that of an open request", 409)
        if most is not None and len(self._owed) >= most:
            self.telemetry.request_ended(incoming.class_name, Result.REJECTED)
            self.telemetry.request_rejected(None)
            client.send_response(503, [], b"")
            return None
        now = self._clock.now()
        if self._spent.has(incoming.request_id, now):
            # Guards rule 2: its client left, and may take it for one that was never read.
            raise BadRequestError("request-id is that of a request that may have run", 409)
        if self._stop_by is not None:
            incoming.remaining_us = max(min(incoming.remaining_us, self._stop_by - now), 1)
        number = self._next_request
        self._next_request += 1
        self._open[number] = OpenRequest(client, incoming)
        coming = not incoming.body.is_complete
        if coming:
            incoming.body.on_complete = lambda: self._whole(number)
        self._owed.add(incoming.request_id)
        if self._trace is not None:
            self._trace.request_taken(self._open[number].name, incoming.class_name, incoming.remaining_us)
        self._post(
            RequestArrived(
                request=number,
                service_class=incoming.class_name,
                tenant=incoming.tenant,
                key=incoming.key,
                remaining_us=incoming.remaining_us,
                cost_us=incoming.cost_us,
                client_retry=incoming.client_retry,
                is_write=incoming.method == b"POST",
                body_incomplete=coming,
            )
        )
        return number if not self._is_answered(number) else None

    def _whole(self, request: int) -> None:
        """The last byte of a request that passes through has come: its time begins."""
        held = self._open.get(request)
        if held is None or held.client is None:
            return
        held.whole_at = self._clock.now()
        remaining_us = held.incoming.remaining_us
        if self._stop_by is not None:
            remaining_us = max(min(remaining_us, self._stop_by - held.whole_at), 1)
        for call in held.calls:
            self._upstream.set_deadline(call, held.whole_at + remaining_us)
        self._post(RequestBodyCompleted(request, remaining_us))

    def _gone(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and held.reading is not None and held.streamed is not None:
            self._stream_over(held, Result.FAILED)
            self._upstream.cancel(held.calls[held.streamed])
            return
        if held is not None:
            held.has_left = True
            self._remember_spent(held)
            if self._trace is not None:
                self._trace.request_ended(held.name, 0)
        self._settle(request)
        self._post(ClientDisconnected(request))
        self._forget_if_over(request)

    def _remember_spent(self, held: OpenRequest) -> None:
        """Take a request no second time whose client has left, if it may have run and must not run twice."""
        kind = held.incoming.service_class
        if repeat_rule.may_run_anywhere_again(kind) or all(call.is_unwritten for call in held.calls):
            return
        now = self._clock.now()
        self._spent.add(held.incoming.request_id, now, now + kind.deadline_us)

    def _attempt_ended(self, attempt: AttemptId, outcome: Outcome, response: Response | None) -> None:
        held = self._open[attempt.request]
        held.out -= 1
        if self._trace is not None:
            self._trace.attempt_ended(held.name, attempt.number, outcome)
        if held.streamed == attempt.number:
            self._stream_ended(held, outcome)  # the decisions received it when it began
            self._forget_if_over(attempt.request)
            return
        held.last_outcome = outcome
        if held.has_left and outcome is Outcome.NOT_SENT:
            self.telemetry.attempt_withheld()
        if outcome is Outcome.DELIVERED and response is not None:
            self._answer(attempt.request, 200, _passed_back(response), response.body, response.length)
        self._tell_end(held, attempt, outcome, response)

    def _tell_end(
        self, held: OpenRequest, attempt: AttemptId, outcome: Outcome, response: Response | None
    ) -> None:
        report = load_report(response, self._settings.report_columns)
        elapsed = self._clock.now() - max(attempt.sent_at, held.whole_at)
        again = held.incoming.body.is_replayable
        number, server = attempt.number, attempt.server
        # Whether it is answered is looked up when the event's turn comes.
        is_certain = held.calls[number].is_response_certain
        written = held.written.get(number)
        if written is not None:
            written.is_in_flight = False
            written.may_have_run = not self._settings.rules.proves_not_executed(
                outcome, is_response_certain=is_certain
            )
        self._post(
            AttemptEnded(attempt.request, number, server, outcome, elapsed, False, report, again, is_certain)
        )

    # Answers that pass through

    def _stream_began(
        self, attempt: AttemptId, head: Response, source: UpstreamConnection
    ) -> ResponseConsumer | None:
        """The first bytes of an answer are there that is too large to be kept: it passes on from now.

        For the decisions it is delivered here: how fast the client reads says nothing of the server.
        """
        held = self._open[attempt.request]
        client = self._settle(attempt.request)
        if client is None:
            return None
        self._owed.add(held.incoming.request_id)  # until its last byte
        held.reading, held.streamed = client, attempt.number
        if self._trace is not None:
            self._trace.request_ended(held.name, head.status)
        client.start_response(head.status, _passed_back(head), head.length, source)
        self._tell_end(held, attempt, Outcome.DELIVERED, head)
        return client

    def _stream_ended(self, held: OpenRequest, outcome: Outcome) -> None:
        client = held.reading
        if client is None:
            return  # it left meanwhile
        whole = outcome is Outcome.DELIVERED
        self._stream_over(held, Result.COMPLETED if whole else Result.FAILED)
        if whole:
            client.finish_response()
        else:
            client.abort(CloseReason.ANSWER_BROKEN)  # before its end, so that the client can tell

    def _stream_over(self, held: OpenRequest, result: Result) -> None:
        held.reading = None
        self._owed.discard(held.incoming.request_id)
        self.telemetry.request_ended(held.incoming.class_name, result)

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._send(action)
            case SetTimer():
                self._set_timer(self._clock.now() + action.delay_us, action.token)
            case RejectRequest():
                self._refuse(action)
            case FailRequest():
                self._fail(action)
            case CancelAttempt():
                held = self._open.get(action.request)
                if held is not None and action.attempt < len(held.calls):
                    self._upstream.cancel(held.calls[action.attempt])
            case CloseIdleConnections():
                self._upstream.close_idle(action.endpoint)
            case Subscribe():
                self._discovery.subscribe(action.is_subscribed)
            case FetchEndpoints():
                self._discovery.fetch()
            case StartHealthCheck():
                self._probe(action.endpoint)
            case SendPeerMessage():
                if not self._peers.send(action.receiver, action.payload):
                    self._log("message_unsent")
            case LogEvent():
                self._log(action.event, **action.fields)

    def _send(self, action: StartAttempt) -> None:
        held = self._open[action.request]
        body = held.incoming.body
        attempt = AttemptId(action.request, len(held.calls), action.endpoint, self._clock.now())

        # A body that passes through goes to one server at a time, and to none once a part of it has gone.
        can_be_sent = body.is_replayable and (held.out == 0 or not body.is_streamed)
        until = action.deadline if can_be_sent else 0
        self._note_attempt(held, attempt)
        observer = _AttemptObserver(self, held, attempt)
        call = UpstreamRequest(action.endpoint, until, held.incoming.upstream_message, observer)
        held.calls.append(call)
        held.out += 1
        self._upstream.start(call)

    def _attempt_written(self, held: OpenRequest, attempt: AttemptId, call: UpstreamRequest) -> None:
        self.telemetry.attempt_written()
        self._check_written(held, attempt, call)
        self._balancer.attempt_written(attempt.request, attempt.number, call.last_allowed_at)
        for other in held.calls:
            if other is not call:
                self._upstream.latest_start_changed(other)

    def _note_attempt(self, held: OpenRequest, attempt: AttemptId) -> None:
        """Count and trace an attempt, by what became of the one before."""
        after = None if held.out else held.last_outcome
        if held.calls:
            self.telemetry.request_retried(after)
        if self._trace is not None:
            cause = "" if not held.calls else "overdue" if after is None else after.value
            self._trace.attempt_begun(held.name, attempt.number, attempt.server, cause)

    def _check_written(self, held: OpenRequest, attempt: AttemptId, call: UpstreamRequest) -> None:
        """The last byte of an attempt leaves in this instant: look whether the rules let it."""
        zone, cell = self._upstream.locality(attempt.server)
        new = WrittenAttempt(zone, cell, call.last_allowed_at)
        ident = held.incoming.request_id
        self._guard.check_attempt(
            ident, is_waited_for=held.client is not None, now=new.written_at, until=call.deadline
        )
        if held.written:
            second_copies = self._settings.limits.hedged_requests
            before = held.written.values()
            self._guard.check_retry(
                ident, held.incoming.service_class, new, before, second_copies=second_copies
            )
        held.written[attempt.number] = new
        if self._trace is not None:
            self._trace.attempt_written(held.name, attempt.number)

    def _probe(self, server: str) -> None:
        sent_at = self._clock.now()
        in_body = self._settings.report_source is not ReportSource.NONE

        message = Request(b"GET", b"/_load" if in_body else b"/ping", [(b"host", server.encode())])
        observer = _HealthCheckObserver(self, server, sent_at, in_body=in_body)
        self._upstream.start(
            UpstreamRequest(server, sent_at + _PROBE_WITHIN_US, lambda left_us: message, observer)
        )

    def _health_check_ended(
        self, server: str, sent_at: int, outcome: Outcome, response: Response | None, *, in_body: bool
    ) -> None:
        report = load_report(response, self._settings.report_columns, in_body=in_body)
        self._post(HealthCheckEnded(server, outcome, self._clock.now() - sent_at, report))

    def _fail(self, action: FailRequest) -> None:
        held = self._open.get(action.request)
        self.telemetry.request_failed(action.reason)
        is_late = held is not None and held.last_outcome in (None, Outcome.TIMED_OUT)
        self._answer(action.request, 504 if is_late else 502, [])

    def _refuse(self, action: RejectRequest) -> None:
        held = self._open.get(action.request)
        self.telemetry.request_rejected(action.reason)
        if held is not None:
            self._guard.check_rejection(
                held.incoming.request_id, held.incoming.service_class, held.written.values()
            )
        headers: Headers = []
        if action.retry_after_us > 0 and self._settings.limits.retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after_us / 1e6)))
        self._answer(action.request, 503, headers)

    def _set_timer(self, due: int, token: str) -> None:
        wait_s = (due - self._clock.now()) / 1e6

        def fire() -> None:
            if self._clock.now() < due:
                self._set_timer(due, token)  # guards against a timer that fires early: it would fire in vain
            else:
                self._post(TimerFired(token))

        asyncio.get_running_loop().call_later(max(wait_s, 0.0), fire)

    # Open requests

    def _is_answered(self, request: int) -> bool:
        held = self._open.get(request)
        return held is None or held.client is None

    def _answer(
        self, request: int, status: int, headers: Headers, body: bytes = b"", length: int | None = None
    ) -> None:
        held = self._open.get(request)
        client = self._settle(request)
        if held is not None and client is not None:
            self.telemetry.request_ended(held.incoming.class_name, _RESULTS.get(status, Result.FAILED))
            if self._trace is not None:
                self._trace.request_ended(held.name, status)
            client.send_response(status, headers, body, length)
        self._forget_if_over(request)

    def _settle(self, request: int) -> DownstreamConnection | None:
        """Nothing is owed from here on; give the client if something was.

        What has not left whole stays here: a dial that comes up later would send a request that nobody waits
        for, also where the settings do not permit to cancel what a server has begun.
        """
        held = self._open.get(request)
        if held is None or held.client is None:
            return None
        client, held.client = held.client, None
        held.incoming.body.on_complete = None
        self._owed.discard(held.incoming.request_id)
        for call in held.calls:
            self._upstream.cancel_unwritten(call)
        return client

    def _forget_if_over(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and held.is_over:
            del self._open[request]


class _AttemptObserver:
    """Observes one attempt of an open request."""

    streams_responses = True

    def __init__(self, sidecar: Sidecar, held: OpenRequest, attempt: AttemptId) -> None:
        self._sidecar = sidecar
        self._held = held
        self._attempt = attempt

    def is_client_waiting(self) -> bool:
        held = self._held
        if held.client is not None:
            held.client.check_disconnected()
        return held.client is not None  # guards against a further attempt that was decided on before

    def latest_start(self) -> int:
        return self._sidecar._balancer.latest_start(self._attempt.request, self._attempt.number)

    def request_written(self, request: UpstreamRequest) -> None:
        self._sidecar._attempt_written(self._held, self._attempt, request)

    def response_started(self, head: Response, connection: UpstreamConnection) -> ResponseConsumer | None:
        return self._sidecar._stream_began(self._attempt, head, connection)

    def ended(self, outcome: Outcome, response: Response | None) -> None:
        self._sidecar._attempt_ended(self._attempt, outcome, response)


class _HealthCheckObserver(IndependentRequestObserver):
    """Observes one health check."""

    def __init__(self, sidecar: Sidecar, server: str, sent_at: int, *, in_body: bool) -> None:
        self._sidecar = sidecar
        self._server = server
        self._sent_at = sent_at
        self._in_body = in_body

    def ended(self, outcome: Outcome, response: Response | None) -> None:
        self._sidecar._health_check_ended(
            self._server, self._sent_at, outcome, response, in_body=self._in_body
        )


def client_limits(config: Config, given: Mapping[str, Any] | None = None) -> ClientLimits:
    """What a client may take by default, but for the times that are given."""
    limits = ClientLimits(most_bytes=config.memory_mb * _REQUESTS_OF_MEMORY)
    return replace(limits, **(given or {}))


def _passed_back(response: Response) -> Headers:
    """What describes the body goes back with it."""
    return [each for each in response.headers if each[0] in (b"content-type", b"content-encoding")]
