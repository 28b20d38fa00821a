"""Simulates one sidecar with one request, and lists the steps that are possible at any time.

The real Sidecar, Balancer, UpstreamPool, DownstreamServer and UpstreamConnection run on the simulated network
of `virtual_network`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from interleaving_cases import (
    BUFFERED_BYTES,
    DEADLINE_US,
    PAST_CONNECT_TIMEOUT_US,
    PAST_OBJECTIVE_US,
    PAST_WINDOW_US,
    REQUEST_ID,
    REUSE_DELAY_US,
    SERVERS,
    TIMER_SLACK_US,
    WINDOW_US,
    WRITABLE_DELAY_US,
    Case,
    Start,
    create_config,
)
from interleaving_checker import RequestRuleChecker
from virtual_network import (
    MS,
    REJECTED,
    SERVED,
    START_TIME_US,
    ClientTransport,
    Connection,
    Exchange,
    Network,
    VirtualLoop,
)

from tulipnotch.load_balancing.events import EndpointUpdateKind
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.operator_file import OperatorOptions
from tulipnotch.sidecar.sidecar import Sidecar


@dataclass
class Step:
    """An event that may happen next."""

    label: str
    apply: Callable[[], None]
    advances_clock: bool = False
    is_noticed_late: bool = False  # whether the sidecar may only notice it after a delay


class Simulation:
    """One sidecar before, during and after one request, with the simulated network around it."""

    def __init__(self, case: Case, start: Start, seed: int) -> None:
        self.case = case
        self.start = start
        self.seed = seed
        self.steps: list[str] = []
        self.checker = RequestRuleChecker(case)
        self.network = Network(self._request_completed)
        self.loop = VirtualLoop(self.network)
        self.loop.enter()
        self._history: dict[str, list[tuple[int, str]]] = {}
        self._has_arrived = False
        self._is_body_due = False
        self._request_completed_at: int | None = None
        self._reload_name: str | None = None
        self._are_timers_late = False  # whether timers are due that only fire after the next step
        # Start and end (us) of each time in which the loop ran no callbacks.
        self._delays: list[tuple[int, int]] = []
        self._clients: list[ClientTransport] = []
        self._faults: list[str] = []
        config = create_config(case, seed)
        self.sidecar = Sidecar(config, OperatorOptions(log=self._log))
        self.sidecar._upstream.endpoints_updated(config.known)
        self.sidecar._events.post(config.known.to_event(EndpointUpdateKind.CACHED))
        self.sidecar.lifecycle.mark_started()
        if start.has_connections:
            self._establish_connections()
        self.client = self._connect(lambda status: self.checker.response_written(self.loop.now_us, status))

    def _log(self, event: str, /, **fields: object) -> None:
        if event == "internal_error":
            self._faults.append(f"{fields['where']}: {fields['fault']}")

    def _request_completed(self, exchange: Exchange) -> None:
        self.checker.is_disconnect_unread = self.client.is_disconnect_unread if self._has_arrived else False
        if exchange.request_id == REQUEST_ID:
            self.checker.attempt_written(exchange)

    def _connect(self, on_response: Callable[[int], None]) -> ClientTransport:
        client = ClientTransport(self.loop, DownstreamConnection(self.sidecar.downstream), on_response)
        self._clients.append(client)
        return client

    def _establish_connections(self) -> None:
        """Sends an earlier request that one server rejects and another serves; both connections stay open."""
        client = self._connect(lambda status: None)
        client.deliver(_request("before", "GET", "00000000000000ff"))
        self.loop.run_ready()
        for respond in (REJECTED, SERVED):
            self.network.dials[-1].result.set_result(False)
            self.loop.run_ready()
            self.network.connections[-1].respond(respond, is_own=True)
            self.loop.run_ready()
        if self.start.reuse_delay_us == REUSE_DELAY_US:
            self.loop.advance(2 * REUSE_DELAY_US)

    def close(self) -> None:
        """Releases all resources."""
        self.sidecar.close()
        self.loop.run_ready()
        for each in (*self.network.connections, *self._clients):
            each.release()
        self.loop.leave()

    # Possible steps

    def possible_steps(self) -> list[Step]:
        """Returns the steps that are possible now, always in the same order."""
        if not self._has_arrived:
            complete = Step("the request arrives", lambda: self._deliver_request(is_complete=True))
            # A streamed body is sent to one server at a time, so cases with three attempts add nothing.
            has_parts = self.case.idempotency == "non-idempotent" or (
                self.case.idempotency == "keyed"
                and self.case.deduplication_scope == "zone"
                and self.case.max_attempts == 2
            )
            if not has_parts or self.start in (Start.REUSE_DELAYED, Start.REUSABLE_LATER):
                return [complete]
            return [
                complete,
                Step("the request arrives without its last byte", lambda: self._deliver_request(False)),
            ]
        if self.checker.responses or self.checker.disconnected_at is not None:
            return self._possible_steps_after_end()
        steps: list[Step] = []
        for number, dial in enumerate(self.network.dials):
            if dial.is_pending:
                steps += self._dial_steps(number)
        for number, each in enumerate(self.network.connections):
            if each.is_open:
                steps += self._connection_steps(number, each)
        if self._is_body_due:
            steps.append(Step("the last byte of the body is received", self._deliver_last_byte))
        steps.append(self._advance_step("past the latency objective", PAST_OBJECTIVE_US))
        if self.case.idempotency == "keyed":
            steps.append(self._delay_step())
        if any(each.is_pending for each in self.network.dials):
            steps.append(self._advance_step("past the connect timeout", PAST_CONNECT_TIMEOUT_US))
        if self._reload_name is None:
            steps += self._reload_steps()
        steps.append(
            Step("the client disconnects, and the loop reads that after the next step", self._disconnect)
        )
        return steps

    def _possible_steps_after_end(self) -> list[Step]:
        """Returns the possible steps once no response is pending: those that could write a last byte."""
        steps = [
            self._dial_steps(number)[0] for number, each in enumerate(self.network.dials) if each.is_pending
        ]
        for number, each in enumerate(self.network.connections):
            if each.is_partly_written:
                steps += self._unblock_steps(number, each)
        if steps and self.loop.now_us < START_TIME_US + DEADLINE_US:
            steps.append(self._advance_step("past the window", PAST_WINDOW_US))
        return steps

    def _advance_step(self, label: str, span_us: int) -> Step:
        return Step(f"time passes, {label}", lambda: self.loop.advance(span_us), advances_clock=True)

    def _delay_step(self) -> Step:
        label = (
            "time passes, past the window, and the loop is delayed: the next step happens before its timers"
        )
        return Step(label, self._delay_loop, advances_clock=True)

    def _dial_steps(self, number: int) -> list[Step]:
        server = SERVERS[self.network.dials[number].host][0]
        return [
            Step(f"dial {number} ({server}) is established", lambda: self._establish_dial(number, False)),
            Step(
                f"dial {number} ({server}) is established, and the network blocks what is written",
                lambda: self._establish_dial(number, True),
            ),
            Step(f"dial {number} ({server}) is refused", lambda: self._refuse_dial(number)),
        ]

    def _connection_steps(self, number: int, each: Connection) -> list[Step]:
        exchange = each.exchange
        if exchange is None or exchange.own_response is not None:
            return []
        name = self._connection_name(number)
        steps = []
        if each.is_partly_written:
            steps += self._unblock_steps(number, each)
        if exchange.completed_at is not None:
            steps.append(Step(f"200 on {name}", lambda: self._respond(number, SERVED, True)))
        if not each.is_partly_written:  # it may be sent before the last byte of the body
            label = f"503 Not-Started on {name}"
            steps.append(Step(label, lambda: self._respond(number, REJECTED, True)))
        if exchange.index > 0 and exchange.first_response is None and not each.is_partly_written:
            late_duplicate = each.exchanges[0].own_response
            assert late_duplicate is not None
            duplicated = "200" if late_duplicate == SERVED else "503 Not-Started"
            label = f"a late duplicate of the {duplicated} before on {name}"
            steps.append(Step(label, lambda: self._respond(number, late_duplicate, False)))
        steps.append(Step(f"reset of {name}", lambda: self._reset(number)))
        return steps

    def _unblock_steps(self, number: int, each: Connection) -> list[Step]:
        label = f"the network accepts what it blocked on {self._connection_name(number)}"
        steps = [Step(label, lambda: self._unblock(number, False), is_noticed_late=True)]
        if not each.has_blocked_rest:
            label += ", and blocks what follows"
            steps.append(Step(label, lambda: self._unblock(number, True), is_noticed_late=True))
        return steps

    def _connection_name(self, number: int) -> str:
        return f"connection {number} ({SERVERS[self.network.connections[number].host][0]})"

    def _reload_steps(self) -> list[Step]:
        """Returns one reload that would relax the retry rules of the class, and one that forbids hedging."""
        changes: dict[str, dict[str, Any]] = {}
        if self.case.idempotency == "non-idempotent" or (
            self.case.idempotency,
            self.case.deduplication_scope,
        ) == ("keyed", "cell"):
            changes["the class is idempotent"] = {"idempotency": "idempotent"}
        elif self.case.idempotency == "keyed" and self.case.deduplication_scope == "all":
            changes["the window is ten times as long"] = {"window_us": 10 * WINDOW_US}
        elif self.case.idempotency == "keyed":
            changes["the deduplication scope is all"] = {"deduplication_scope": "all"}
        if self.case.allows_hedging:
            changes["no hedging"] = {"allows_hedging": False}
        return [
            Step(f"reload: {name}", partial(self._reload, name, change)) for name, change in changes.items()
        ]

    # Effects of the steps

    def apply(self, step: Step) -> None:
        """Applies a step, and runs all callbacks that are due at this time."""
        self.steps.append(f"{(self.loop.now_us - START_TIME_US) / MS:7g} ms  {step.label}")
        was_disconnect_unread = self.client.is_disconnect_unread
        if was_disconnect_unread and step.advances_clock:
            self.client.read_disconnect()
        were_timers_late, self._are_timers_late = self._are_timers_late, False
        step.apply()
        if self._are_timers_late or (self.client.is_disconnect_unread and not was_disconnect_unread):
            self._are_timers_late = self._are_timers_late or were_timers_late
            return
        self.loop.run_ready()
        if was_disconnect_unread:
            self.client.read_disconnect()
        self.loop.advance(WRITABLE_DELAY_US if step.is_noticed_late else 0)
        for fault in (*self._faults, *self.loop.faults):
            self.checker.violations.append((f"the sidecar raised {fault}", ""))

    def _record(self, subject: str, event: str) -> None:
        self._history.setdefault(subject, []).append((self.loop.now_us, event))

    def _deliver_request(self, is_complete: bool) -> None:
        self._has_arrived = True
        self._record("client", f"request {is_complete}")
        if self.case.idempotency == "idempotent":
            self.client.deliver(_request("work", "GET", REQUEST_ID))
        else:
            keyed = {"Idempotency-Key": "5c0f"} if self.case.idempotency == "keyed" else {}
            length = BUFFERED_BYTES + 2
            size = 0 if is_complete else length
            self.client.deliver(
                _request("work", "POST", REQUEST_ID, **{"Content-Length": f"{size}"}, **keyed)
            )
            if not is_complete:
                self.client.deliver(b"." * BUFFERED_BYTES)
                self.client.deliver(b".")
                self._is_body_due = True
                return
        self._request_completed_at = self.loop.now_us

    def _deliver_last_byte(self) -> None:
        self._record("client", "body")
        self._is_body_due = False
        self._request_completed_at = self.loop.now_us
        self.client.deliver(b".")

    def _establish_dial(self, number: int, is_blocked: bool) -> None:
        self._record(f"dial {number}", f"established {is_blocked}")
        self.network.dials[number].result.set_result(is_blocked)

    def _refuse_dial(self, number: int) -> None:
        self._record(f"dial {number}", "refused")
        self.network.dials[number].result.set_exception(ConnectionRefusedError())

    def _unblock(self, number: int, blocks_rest: bool) -> None:
        self._record(f"connection {number}", f"accepts {blocks_rest}")
        self.network.connections[number].unblock(blocks_rest=blocks_rest)

    def _respond(self, number: int, data: bytes, is_own: bool) -> None:
        self._record(f"connection {number}", f"response {data!r} {is_own}")
        self.network.connections[number].respond(data, is_own=is_own)

    def _reset(self, number: int) -> None:
        self._record(f"connection {number}", "reset")
        self.network.connections[number].reset()

    def _delay_loop(self) -> None:
        self._delays.append((self.loop.now_us, self.loop.now_us + PAST_WINDOW_US))
        self.loop.delay(PAST_WINDOW_US)
        self._are_timers_late = True

    def _reload(self, name: str, change: dict[str, Any]) -> None:
        self._reload_name = name
        self._record("reload", name)
        self.checker.allows_hedging = self.checker.allows_hedging and change.get("allows_hedging", True)
        self.sidecar.reload(create_config(self.case, self.seed, **change))

    def _disconnect(self) -> None:
        self._record("client", "disconnects")
        self.checker.disconnected_at = self.loop.now_us
        self.client.disconnect()

    # End of an interleaving

    def finish(self) -> None:
        """Ends the interleaving with unresponsive servers: the window, late events, then the deadline."""
        self.apply(self._delay_step())
        if self._is_body_due and not self.client.has_disconnected:
            self.apply(Step("the last byte of the body is received", self._deliver_last_byte))
        for number, dial in enumerate(self.network.dials):
            if dial.is_pending and not self.checker.violations:
                self.apply(self._dial_steps(number)[0])
        for number, each in enumerate(self.network.connections):
            if each.is_partly_written and not self.checker.violations:
                self.apply(self._unblock_steps(number, each)[0])
        if not self.checker.violations:
            self.apply(self._advance_step("past the deadline", DEADLINE_US + TIMER_SLACK_US))
            self.checker.all_ended(self._response_due_at())

    def _response_due_at(self) -> int | None:
        """Returns when the response is due (us); a delay of the loop extends this time."""
        if self._request_completed_at is None:
            return None
        due = self._request_completed_at + DEADLINE_US + TIMER_SLACK_US
        for start, end in self._delays:
            due = max(due, end) if start <= due else due
        return due

    # State comparison

    def fingerprint(self) -> tuple[Any, ...]:
        """Returns a key of this state: the time, and the history of each dial, connection and the client.

        Two interleavings have the same key if they differ only in the order of simultaneous steps on
        different connections and leave the network in the same state.
        """
        dials = tuple((each.host, each.started_at, each.is_pending) for each in self.network.dials)
        connections = tuple(
            (
                each.host,
                each.opened_at,
                each.is_open,
                each.is_blocked,
                len(each.transport_buffer),
                tuple((one.request_id, one.completed_at, len(one.accepted)) for one in each.exchanges),
            )
            for each in self.network.connections
        )
        history = tuple(sorted((subject, tuple(events)) for subject, events in self._history.items()))
        return (
            self.loop.now_us,
            dials,
            connections,
            history,
            tuple(self.checker.responses),
            self.client.is_disconnect_unread,
            self._are_timers_late,
            tuple(self._delays),
        )


def _request(request_class: str, method: str, request_id: str, **headers: str) -> bytes:
    given = {
        "Host": "origin.svc",
        "Request-Id": request_id,
        "Request-Class": request_class,
        "Request-Timeout": f"{DEADLINE_US / 1e6:.3f}",
        **headers,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in given.items())
    return f"{method} /api/7f3a HTTP/1.1\r\n{head}\r\n".encode()
