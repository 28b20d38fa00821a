"""One sidecar before, during and after one request, and the steps that may happen.

It is the real Sidecar, Balancer, UpstreamPool, DownstreamServer and UpstreamConnection on the simulated
network of `virtual_network`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from interleaving_cases import (
    BUFFERED_BYTES,
    DEADLINE,
    NOTIFIED_LATE,
    PAST_CONNECT_TIMEOUT,
    PAST_OBJECTIVE,
    PAST_WINDOW,
    REQUEST_ID,
    REUSE_DELAY,
    SERVERS,
    SLACK,
    WINDOW,
    Case,
    Start,
    config_for,
)
from interleaving_rule import Rule
from virtual_network import (
    MS,
    OPENED_AT,
    REJECTED,
    SERVED,
    ClientEnd,
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
    """Something that may happen next."""

    label: str
    act: Callable[[], None]
    is_time: bool = False
    is_notified_late: bool = False  # whether the program may have to poll for it


class World:
    """One sidecar before, during and after one request."""

    def __init__(self, case: Case, start: Start, seed: int) -> None:
        self.case = case
        self.start = start
        self.seed = seed
        self.steps: list[str] = []
        self.rule = Rule(case)
        self.network = Network(self._on_completed)
        self.loop = VirtualLoop(self.network)
        self.loop.enter()
        self._history: dict[str, list[tuple[int, str]]] = {}
        self._arrived = False
        self._is_body_due = False
        self._completed_at: int | None = None
        self._reload_name: str | None = None
        self._are_timers_late = False  # whether timers are due that fire after the next step
        self._delays: list[tuple[int, int]] = []  # from when to when the loop ran nothing
        self._clients: list[ClientEnd] = []
        self._faults: list[str] = []
        config = config_for(case, seed)
        self.sidecar = Sidecar(config, OperatorOptions(log=self._log))
        self.sidecar._upstream.endpoints_updated(config.known)
        self.sidecar._events.post(config.known.to_event(EndpointUpdateKind.CACHED))
        self.sidecar.lifecycle.started()
        if start.has_connections:
            self._establish_connections()
        self.client = self._connect(lambda status: self.rule.on_response(self.loop.now_us, status))

    def _log(self, event: str, /, **fields: object) -> None:
        if event == "internal_error":
            self._faults.append(f"{fields['where']}: {fields['fault']}")

    def _on_completed(self, exchange: Exchange) -> None:
        self.rule.is_disconnect_unread = self.client.is_disconnect_unread if self._arrived else False
        if exchange.request_id == REQUEST_ID:
            self.rule.on_completed(exchange)

    def _connect(self, on_response: Callable[[int], None]) -> ClientEnd:
        client = ClientEnd(self.loop, DownstreamConnection(self.sidecar.downstream), on_response)
        self._clients.append(client)
        return client

    def _establish_connections(self) -> None:
        """An earlier request, rejected by one server and served by another; both connections stay open."""
        client = self._connect(lambda status: None)
        client.deliver(_request("before", "GET", "00000000000000ff"))
        self.loop.run_ready()
        for respond in (REJECTED, SERVED):
            self.network.dials[-1].end.set_result(False)
            self.loop.run_ready()
            self.network.connections[-1].respond(respond, is_own=True)
            self.loop.run_ready()
        if self.start.reuse_delay_us == REUSE_DELAY:
            self.loop.advance(2 * REUSE_DELAY)

    def end(self) -> None:
        """Release all resources."""
        self.sidecar.close()
        self.loop.run_ready()
        for each in (*self.network.connections, *self._clients):
            each.release()
        self.loop.leave()

    # What may happen next

    def choices(self) -> list[Step]:
        """The steps that are possible now, always in the same order."""
        if not self._arrived:
            complete = Step("the request arrives", lambda: self._arrive(is_complete=True))
            # A streamed body is sent to one server at a time, so three attempts add nothing.
            has_parts = self.case.effect == "non-idempotent" or (
                self.case.effect == "keyed" and self.case.group == "zone" and self.case.attempts == 2
            )
            if not has_parts or self.start in (Start.REUSE_DELAYED, Start.REUSABLE_LATER):
                return [complete]
            return [complete, Step("the request arrives without its last byte", lambda: self._arrive(False))]
        if self.rule.responses or self.rule.disconnected_at is not None:
            return self._late_choices()
        found: list[Step] = []
        for number, dial in enumerate(self.network.dials):
            if dial.is_pending:
                found += self._dial_choices(number)
        for number, each in enumerate(self.network.connections):
            if each.is_open:
                found += self._connection_choices(number, each)
        if self._is_body_due:
            found.append(Step("the last byte of the body is received", self._body))
        found.append(self._time_passes("past the latency objective", PAST_OBJECTIVE))
        if self.case.effect == "keyed":
            found.append(self._window_passes_late())
        if any(each.is_pending for each in self.network.dials):
            found.append(self._time_passes("past the connect timeout", PAST_CONNECT_TIMEOUT))
        if self._reload_name is None:
            found += self._reload_choices()
        found.append(
            Step("the client disconnects, and the loop reads that after the next step", self._disconnect)
        )
        return found

    def _late_choices(self) -> list[Step]:
        """What may still happen once nothing is pending: all that could write a last byte."""
        found = [
            self._dial_choices(number)[0] for number, each in enumerate(self.network.dials) if each.is_pending
        ]
        for number, each in enumerate(self.network.connections):
            if each.is_partly_written:
                found += self._blocked_choices(number, each)
        if found and self.loop.now_us < OPENED_AT + DEADLINE:
            found.append(self._time_passes("past the window", PAST_WINDOW))
        return found

    def _time_passes(self, label: str, span_us: int) -> Step:
        return Step(f"time passes, {label}", lambda: self.loop.advance(span_us), is_time=True)

    def _window_passes_late(self) -> Step:
        label = (
            "time passes, past the window, and the loop is delayed: the next step happens before its timers"
        )
        return Step(label, self._delay_loop, is_time=True)

    def _dial_choices(self, number: int) -> list[Step]:
        server = SERVERS[self.network.dials[number].host][0]
        return [
            Step(f"dial {number} ({server}) is established", lambda: self._connect_dial(number, False)),
            Step(
                f"dial {number} ({server}) is established, and the network blocks what is written",
                lambda: self._connect_dial(number, True),
            ),
            Step(f"dial {number} ({server}) is refused", lambda: self._reject_dial(number)),
        ]

    def _connection_choices(self, number: int, each: Connection) -> list[Step]:
        last = each.exchange
        if last is None or last.own_response is not None:
            return []
        name = self._name(number)
        found = []
        if each.is_partly_written:
            found += self._blocked_choices(number, each)
        if last.completed_at is not None:
            found.append(Step(f"200 on {name}", lambda: self._respond(number, SERVED, True)))
        if not each.is_partly_written:  # it may be sent before the last byte of the body
            label = f"503 Not-Started on {name}"
            found.append(Step(label, lambda: self._respond(number, REJECTED, True)))
        if last.index > 0 and last.first_response is None and not each.is_partly_written:
            late = each.exchanges[0].own_response
            assert late is not None
            duplicated = "200" if late == SERVED else "503 Not-Started"
            label = f"a late duplicate of the {duplicated} before on {name}"
            found.append(Step(label, lambda: self._respond(number, late, False)))
        found.append(Step(f"reset of {name}", lambda: self._reset(number)))
        return found

    def _blocked_choices(self, number: int, each: Connection) -> list[Step]:
        label = f"the network accepts what it blocked on {self._name(number)}"
        found = [Step(label, lambda: self._accept(number, False), is_notified_late=True)]
        if not each.has_blocked_rest:
            label += ", and blocks what follows"
            found.append(Step(label, lambda: self._accept(number, True), is_notified_late=True))
        return found

    def _name(self, number: int) -> str:
        return f"connection {number} ({SERVERS[self.network.connections[number].host][0]})"

    def _reload_choices(self) -> list[Step]:
        """Each case has one change of its class that would relax the bounds, and one that forbids hedging."""
        changes: dict[str, dict[str, Any]] = {}
        if self.case.effect == "non-idempotent" or (self.case.effect, self.case.group) == ("keyed", "cell"):
            changes["the class is idempotent"] = {"effect": "idempotent"}
        elif self.case.effect == "keyed" and self.case.group == "all":
            changes["the window is ten times as long"] = {"window_us": 10 * WINDOW}
        elif self.case.effect == "keyed":
            changes["the group is all"] = {"group": "all"}
        if self.case.hedging:
            changes["no hedging"] = {"hedging": False}
        return [
            Step(f"reload: {name}", partial(self._reload, name, change)) for name, change in changes.items()
        ]

    # The steps themselves

    def do(self, step: Step) -> None:
        """Take a step, and run all callbacks that are due at this time."""
        self.steps.append(f"{(self.loop.now_us - OPENED_AT) / MS:7g} ms  {step.label}")
        unread = self.client.is_disconnect_unread
        if unread and step.is_time:
            self.client.read_disconnect()
        late, self._are_timers_late = self._are_timers_late, False
        step.act()
        if self._are_timers_late or (self.client.is_disconnect_unread and not unread):
            self._are_timers_late = self._are_timers_late or late
            return
        self.loop.run_ready()
        if unread:
            self.client.read_disconnect()
        self.loop.advance(NOTIFIED_LATE if step.is_notified_late else 0)
        for fault in (*self._faults, *self.loop.faults):
            self.rule.violations.append((f"the program raised {fault}", ""))

    def _record(self, whom: str, what: str) -> None:
        self._history.setdefault(whom, []).append((self.loop.now_us, what))

    def _arrive(self, is_complete: bool) -> None:
        self._arrived = True
        self._record("client", f"arrives {is_complete}")
        if self.case.effect == "idempotent":
            self.client.deliver(_request("work", "GET", REQUEST_ID))
        else:
            keyed = {"Idempotency-Key": "5c0f"} if self.case.effect == "keyed" else {}
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
        self._completed_at = self.loop.now_us

    def _body(self) -> None:
        self._record("client", "body")
        self._is_body_due = False
        self._completed_at = self.loop.now_us
        self.client.deliver(b".")

    def _connect_dial(self, number: int, is_blocked: bool) -> None:
        self._record(f"dial {number}", f"up {is_blocked}")
        self.network.dials[number].end.set_result(is_blocked)

    def _reject_dial(self, number: int) -> None:
        self._record(f"dial {number}", "refused")
        self.network.dials[number].end.set_exception(ConnectionRefusedError())

    def _accept(self, number: int, blocks_rest: bool) -> None:
        self._record(f"connection {number}", f"accepts {blocks_rest}")
        self.network.connections[number].unblock(blocks_rest=blocks_rest)

    def _respond(self, number: int, data: bytes, is_own: bool) -> None:
        self._record(f"connection {number}", f"answer {data!r} {is_own}")
        self.network.connections[number].respond(data, is_own=is_own)

    def _reset(self, number: int) -> None:
        self._record(f"connection {number}", "reset")
        self.network.connections[number].reset()

    def _delay_loop(self) -> None:
        self._delays.append((self.loop.now_us, self.loop.now_us + PAST_WINDOW))
        self.loop.delay(PAST_WINDOW)
        self._are_timers_late = True

    def _reload(self, name: str, change: dict[str, Any]) -> None:
        self._reload_name = name
        self._record("reload", name)
        self.rule.hedging = self.rule.hedging and change.get("hedging", True)
        self.sidecar.reload(config_for(self.case, self.seed, **change))

    def _disconnect(self) -> None:
        self._record("client", "disconnects")
        self.rule.disconnected_at = self.loop.now_us
        self.client.leave()

    # The end of every interleaving

    def finish(self) -> None:
        """Servers are unresponsive from here on: the window ends, late events happen, the deadline passes."""
        self.do(self._window_passes_late())
        if self._is_body_due and not self.client.has_disconnected:
            self.do(Step("the last byte of the body is received", self._body))
        for number, dial in enumerate(self.network.dials):
            if dial.is_pending and not self.rule.violations:
                self.do(self._dial_choices(number)[0])
        for number, each in enumerate(self.network.connections):
            if each.is_partly_written and not self.rule.violations:
                self.do(self._blocked_choices(number, each)[0])
        if not self.rule.violations:
            self.do(self._time_passes("past the deadline", DEADLINE + SLACK))
            self.rule.on_end(self._due())

    def _due(self) -> int | None:
        """When the response is due; a delay of the loop does not count against the program."""
        if self._completed_at is None:
            return None
        due = self._completed_at + DEADLINE + SLACK
        for start, end in self._delays:
            due = max(due, end) if start <= due else due
        return due

    # For the exploration

    def fingerprint(self) -> tuple[Any, ...]:
        """What distinguishes this state: the time, and what happened to each part of the network when.

        Two interleavings that differ only in the order of steps at one time on different connections, and
        after which the network looks the same, have the same one.
        """
        dials = tuple((each.host, each.began_at, each.is_pending) for each in self.network.dials)
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
        history = tuple(sorted((whom, tuple(what)) for whom, what in self._history.items()))
        return (
            self.loop.now_us,
            dials,
            connections,
            history,
            tuple(self.rule.responses),
            self.client.is_disconnect_unread,
            self._are_timers_late,
            tuple(self._delays),
        )


def _request(request_class: str, method: str, request_id: str, **headers: str) -> bytes:
    given = {
        "Host": "origin.svc",
        "Request-Id": request_id,
        "Request-Class": request_class,
        "Request-Timeout": f"{DEADLINE / 1e6:.3f}",
        **headers,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in given.items())
    return f"{method} /api/7f3a HTTP/1.1\r\n{head}\r\n".encode()
