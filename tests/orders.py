"""Every order of the steps of one request, played to a real sidecar, and the rule that judges each of them.

`World` is one sidecar (the real Sidecar, Balancer, Upstream, ClientSide and ClientConnection) on the stand-in
network of `virtual_network`.  `explore` plays every order of its steps up to a depth: it replays each order
from the start.  `Rule` is written from the pages alone (WIRE, rule 2; PROTOCOL, "has it run?"), and sees only
what the network saw.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import Enum
from functools import cache, partial
from typing import Any, cast
from unittest import mock

from virtual_network import (
    MS,
    OPENED_AT,
    SERVED,
    TURNED_AWAY,
    ClientEnd,
    Connection,
    Exchange,
    Kernel,
    Network,
    VirtualLoop,
)

from tulipnotch.load_balancing.events import EndpointUpdateKind
from tulipnotch.load_balancing.health import outlier_detection
from tulipnotch.load_balancing.retries import attempt_timeouts as overdue
from tulipnotch.sidecar import clock
from tulipnotch.sidecar.configuration.configuration import Config, parse
from tulipnotch.sidecar.downstream.server import DownstreamConnection
from tulipnotch.sidecar.http1 import messages as http1
from tulipnotch.sidecar.sidecar import Sidecar
from tulipnotch.sidecar.upstream import connection as client
from tulipnotch.sidecar.upstream import pool as upstream

AIM = 100 * MS
WINDOW = 200 * MS
DIAL_TIMEOUT = 500 * MS
DEADLINE = 1_000 * MS
SLACK = 50 * MS  # on sockets every time limit is 50 ms longer

# How far time passes at once.  An attempt is overdue at 1.5 aims at the latest.
PAST_AIM = 160 * MS
PAST_WINDOW = 210 * MS
PAST_DIAL_TIMEOUT = 510 * MS

HEARD_LATE = 5 * MS  # within which the program has seen that the network takes more
REST = 10 * MS  # how long a connection rests after an answer
LONG_REST = 450 * MS  # and so long that an attempt overtaken at PAST_AIM would begin past its WINDOW

IDENT = "0000000000000001"  # of the request that is judged
KEPT = 8  # bytes of a body that the sidecar keeps, so that small bodies pass through

# By host: id, zone, cell.  No cell reaches into two zones.
SERVERS = {
    "10.0.0.1": ("s-0", "a", 1),
    "10.0.0.2": ("s-1", "a", 1),
    "10.0.0.3": ("s-2", "a", 1),
    "10.0.0.4": ("s-3", "a", 2),
    "10.0.0.5": ("s-4", "b", 3),
}


@dataclass(frozen=True)
class Case:
    """A class of requests, and what the deployment permits."""

    effect: str  # safe, keyed or unsafe
    group: str = "all"
    attempts: int = 2
    second_copies: bool = True

    def __str__(self) -> str:
        group = f"-{self.group}" if self.effect == "keyed" else ""
        return f"{self.effect}{group}-{self.attempts}-{'copies' if self.second_copies else 'no-copies'}"


class Start(Enum):
    """What the sidecar has before the request arrives; the balancer's seed is chosen so that it holds.

    Attempt 0 always goes to a server that shares its cell with two others.
    """

    COLD = "no connections"
    RESTED = "attempt 0 finds a connection on which an earlier request was turned away"
    RESTING = "attempt 0 waits for a connection at rest, a further one dials"
    RESTED_LATER = "attempt 0 dials, a further one finds a connection"

    @property
    def is_warm(self) -> bool:
        """Whether two servers have a connection that carried an earlier request."""
        return self is not Start.COLD

    @property
    def rest_us(self) -> int:
        """How long a connection rests after an answer."""
        return LONG_REST if self is Start.RESTING else REST


_EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


@cache
def _config(
    case: Case, seed: int, *, effect: str = "", group: str = "", window_us: int = WINDOW, copies: bool = True
) -> Config:
    kind: dict[str, Any] = {
        "name": "work",
        "giveUpUs": DEADLINE,
        "promiseUs": AIM,
        "repeat": _EFFECTS[effect or case.effect],
        "group": group or case.group,
        "memorySpanUs": window_us,
    }
    given = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": seed,
        "known": {
            "version": 1,
            "full": True,
            "servers": [
                {"id": name, "addr": f"{host}:80", "zone": zone, "kind": "", "cell": cell, "state": "active"}
                for host, (name, zone, cell) in SERVERS.items()
            ],
        },
        "settings": {
            "lanes": [kind, {**kind, "name": "before", "repeat": "read_like"}],
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "pushed",
            "bounds": {
                "sendCap": case.attempts,
                "secondCopies": case.second_copies and copies,
                "mayCancel": True,
                "dialTimeoutUs": DIAL_TIMEOUT,
                "idleCloseUs": 20_000_000,
            },
        },
    }
    return parse(given, given)


# ---------------------------------------------------------------------------------------------------
# The rule


@dataclass
class Begun:
    """An attempt whose last byte was handed to the network."""

    exchange: Exchange
    at: int
    server: str
    zone: str
    cell: int

    @property
    def way(self) -> str:
        """What its last byte waited for."""
        if self.exchange.was_held:
            return "the network"
        return "a dial" if self.exchange.index == 0 else "a connection at rest"

    @property
    def is_proven_unrun(self) -> bool:
        """Whether its answer proves that it never ran.

        On a connection that carried an earlier request it proves nothing: nothing in it names its request.
        """
        return self.exchange.index == 0 and self.exchange.first_answer == TURNED_AWAY

    @property
    def is_out(self) -> bool:
        """Whether its server may still be at it on an open connection."""
        return self.exchange.own_answer is None and not self.exchange.connection.has_ended_sending

    def __str__(self) -> str:
        return f"{self.server} at {(self.at - OPENED_AT) / MS:g} ms"


class Rule:
    """Judges what the network saw of one request."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.second_copies = case.second_copies  # as of now: settings may be read again
        self.begun: list[Begun] = []
        self.answers: list[tuple[int, int]] = []  # when, and with which status
        self.left_at: int | None = None
        # Whether the loop has not read that yet.  What the loop holds then leaves without a question to the
        # program, so it is not judged.
        self.is_leaving_unread = False
        self.breaches: list[tuple[str, str]] = []  # what is broken, and what its last byte waited for

    def on_whole(self, exchange: Exchange) -> None:
        """The network took the last byte of an attempt."""
        assert exchange.whole_at is not None
        new = Begun(exchange, exchange.whole_at, *SERVERS[exchange.connection.host])
        for text in self._against(new):
            self.breaches.append((text, new.way))
        self.begun.append(new)

    def _against(self, new: Begun) -> Iterator[str]:
        exchange = new.exchange
        if self.left_at is not None and not (self.is_leaving_unread and exchange.was_handed_over):
            yield "an attempt begins after the client has left"
        if self.answers:
            yield "an attempt begins after the final answer"
        if len(self.begun) >= self._case.attempts:
            yield "more attempts begin than are allowed"
        if not self.second_copies and any(each.is_out for each in self.begun):
            yield "two attempts are out, without second copies"
        maybe = [each for each in self.begun if not each.is_proven_unrun]
        if not maybe or self._case.effect == "safe":
            return
        if self._case.effect == "unsafe":
            yield "unsafe: an attempt begins though one before it may have run"
            return
        if new.at >= maybe[0].at + WINDOW:
            yield "keyed: an attempt begins outside the window"
        if self._case.group == "zone" and any(each.zone != new.zone for each in maybe):
            yield "keyed: an attempt begins in another zone"
        if self._case.group == "cell" and any(each.cell != new.cell for each in maybe):
            yield "keyed: an attempt begins in another cell"

    def on_answer(self, now: int, status: int) -> None:
        """The client is written an answer."""
        if self.answers:
            self.breaches.append(("a second final answer", ""))
        self.answers.append((now, status))
        may_have_run = any(not each.is_proven_unrun for each in self.begun)
        is_harmless = self._case.effect == "safe" or (
            self._case.effect == "keyed" and self._case.group == "all"
        )
        if status in (429, 503) and may_have_run and not is_harmless:
            self.breaches.append(("a refusal though an attempt may have run", ""))

    def on_end(self, due: int | None) -> None:
        """All is over; `due` is until when the request was to be answered, if its last byte came."""
        if due is None or self.left_at is not None:
            return
        if not self.answers:
            self.breaches.append(("no final answer", ""))
        elif self.answers[0][0] > due:
            self.breaches.append(("the final answer is late", ""))


# ---------------------------------------------------------------------------------------------------
# One run


@dataclass
class Step:
    """Something that may happen next."""

    label: str
    act: Callable[[], None]
    is_time: bool = False
    is_heard_late: bool = False  # whether the program may have to look for it


class World:
    """One sidecar before, during and after one request."""

    def __init__(self, case: Case, start: Start, seed: int) -> None:
        self.case = case
        self.start = start
        self.seed = seed
        self.steps: list[str] = []
        self.rule = Rule(case)
        self.network = Network(self._on_whole)
        self.loop = VirtualLoop(self.network)
        self.loop.enter()
        self._history: dict[str, list[tuple[int, str]]] = {}
        self._arrived = False
        self._is_body_due = False
        self._whole_at: int | None = None
        self._reloaded: str | None = None
        self._is_late = False  # whether timers are due that fire after the next step
        self._stood_still: list[tuple[int, int]] = []  # from when to when the loop did nothing
        self._clients: list[ClientEnd] = []
        self._faults: list[str] = []
        config = _config(case, seed)
        self.sidecar = Sidecar(config, self._note)
        self.sidecar._upstream.endpoints_updated(config.known)
        self.sidecar._post(config.known.event(EndpointUpdateKind.CACHED))
        self.sidecar.lifecycle.started()
        if start.is_warm:
            self._warm()
        self.client = self._connect(lambda status: self.rule.on_answer(self.loop.now_us, status))

    def _note(self, event: str, /, **fields: object) -> None:
        if event == "internal_error":
            self._faults.append(f"{fields['where']}: {fields['fault']}")

    def _on_whole(self, exchange: Exchange) -> None:
        self.rule.is_leaving_unread = self.client.is_leaving_unread if self._arrived else False
        if exchange.ident == IDENT:
            self.rule.on_whole(exchange)

    def _connect(self, on_answer: Callable[[int], None]) -> ClientEnd:
        client = ClientEnd(self.loop, DownstreamConnection(self.sidecar.frontend), on_answer)
        self._clients.append(client)
        return client

    def _warm(self) -> None:
        """An earlier request, turned away by one server and served by another; both keep a connection."""
        client = self._connect(lambda status: None)
        client.deliver(_request("before", "GET", "00000000000000ff"))
        self.loop.settle()
        for answer in (TURNED_AWAY, SERVED):
            self.network.dials[-1].end.set_result(False)
            self.loop.settle()
            self.network.connections[-1].answer(answer, is_own=True)
            self.loop.settle()
        if self.start.rest_us == REST:
            self.loop.advance(2 * REST)

    def end(self) -> None:
        """Let go of everything."""
        self.sidecar.close()
        self.loop.settle()
        for each in (*self.network.connections, *self._clients):
            each.release()
        self.loop.leave()

    # What may happen next

    def choices(self) -> list[Step]:
        """The steps that are possible now, always in the same order."""
        if not self._arrived:
            whole = Step("the request arrives", lambda: self._arrive(is_whole=True))
            # A body that passes through goes to one server at a time, so three attempts add nothing there.
            has_parts = self.case.effect == "unsafe" or (
                self.case.effect == "keyed" and self.case.group == "zone" and self.case.attempts == 2
            )
            if not has_parts or self.start in (Start.RESTING, Start.RESTED_LATER):
                return [whole]
            return [whole, Step("the request arrives but for its last byte", lambda: self._arrive(False))]
        if self.rule.answers or self.rule.left_at is not None:
            return self._late_choices()
        found: list[Step] = []
        for number, dial in enumerate(self.network.dials):
            if dial.is_pending:
                found += self._dial_choices(number)
        for number, each in enumerate(self.network.connections):
            if each.is_open:
                found += self._connection_choices(number, each)
        if self._is_body_due:
            found.append(Step("the last byte of the body comes", self._body))
        found.append(self._time("past the aim", PAST_AIM))
        if self.case.effect == "keyed":
            found.append(self._late_window())
        if any(each.is_pending for each in self.network.dials):
            found.append(self._time("past the dial time-out", PAST_DIAL_TIMEOUT))
        if self._reloaded is None:
            found += self._reload_choices()
        found.append(Step("the client leaves, and the loop reads that after the next step", self._leave))
        return found

    def _late_choices(self) -> list[Step]:
        """What may still come once nothing is owed: all that could bring a last byte."""
        found = [
            self._dial_choices(number)[0] for number, each in enumerate(self.network.dials) if each.is_pending
        ]
        for number, each in enumerate(self.network.connections):
            if each.is_stuck:
                found += self._held_choices(number, each)
        if found and self.loop.now_us < OPENED_AT + DEADLINE:
            found.append(self._time("past the window", PAST_WINDOW))
        return found

    def _time(self, label: str, span_us: int) -> Step:
        return Step(f"time passes, {label}", lambda: self.loop.advance(span_us), is_time=True)

    def _late_window(self) -> Step:
        label = "time passes, past the window, and the loop runs late: the next step comes before its timers"
        return Step(label, self._stand_still, is_time=True)

    def _dial_choices(self, number: int) -> list[Step]:
        server = SERVERS[self.network.dials[number].host][0]
        return [
            Step(f"dial {number} ({server}) comes up", lambda: self._come_up(number, False)),
            Step(
                f"dial {number} ({server}) comes up, and the network holds back what is written",
                lambda: self._come_up(number, True),
            ),
            Step(f"dial {number} ({server}) is refused", lambda: self._refuse(number)),
        ]

    def _connection_choices(self, number: int, each: Connection) -> list[Step]:
        last = each.exchange
        if last is None or last.own_answer is not None:
            return []
        name = self._name(number)
        found = []
        if each.is_stuck:
            found += self._held_choices(number, each)
        if last.whole_at is not None:
            found.append(Step(f"200 on {name}", lambda: self._answer(number, SERVED, True)))
        if not each.is_stuck:  # it may come before the last byte of the body
            label = f"503 Not-Started on {name}"
            found.append(Step(label, lambda: self._answer(number, TURNED_AWAY, True)))
        if last.index > 0 and last.first_answer is None and not each.is_stuck:
            late = each.exchanges[0].own_answer
            assert late is not None
            kind = "200" if late == SERVED else "503 Not-Started"
            label = f"a late copy of the {kind} before on {name}"
            found.append(Step(label, lambda: self._answer(number, late, False)))
        found.append(Step(f"reset of {name}", lambda: self._reset(number)))
        return found

    def _held_choices(self, number: int, each: Connection) -> list[Step]:
        label = f"the network takes what it held back on {self._name(number)}"
        found = [Step(label, lambda: self._take(number, False), is_heard_late=True)]
        if not each.was_held_again:
            label += ", and holds back what follows"
            found.append(Step(label, lambda: self._take(number, True), is_heard_late=True))
        return found

    def _name(self, number: int) -> str:
        return f"connection {number} ({SERVERS[self.network.connections[number].host][0]})"

    def _reload_choices(self) -> list[Step]:
        """Each case has one change of its class that would loosen what is under way, and second copies."""
        changes: dict[str, dict[str, Any]] = {}
        if self.case.effect == "unsafe" or (self.case.effect, self.case.group) == ("keyed", "cell"):
            changes["the class is safe"] = {"effect": "safe"}
        elif self.case.effect == "keyed" and self.case.group == "all":
            changes["the window is ten times as long"] = {"window_us": 10 * WINDOW}
        elif self.case.effect == "keyed":
            changes["the group is all"] = {"group": "all"}
        if self.case.second_copies:
            changes["no second copies"] = {"copies": False}
        return [
            Step(f"reload: {name}", partial(self._reload, name, change)) for name, change in changes.items()
        ]

    # The steps themselves

    def do(self, step: Step) -> None:
        """Take a step, and let the program do all that it does of it at this time."""
        self.steps.append(f"{(self.loop.now_us - OPENED_AT) / MS:7g} ms  {step.label}")
        unread = self.client.is_leaving_unread
        if unread and step.is_time:
            self.client.notice()
        late, self._is_late = self._is_late, False
        step.act()
        if self._is_late or (self.client.is_leaving_unread and not unread):
            self._is_late = self._is_late or late
            return
        self.loop.settle()
        if unread:
            self.client.notice()
        self.loop.advance(HEARD_LATE if step.is_heard_late else 0)
        for fault in (*self._faults, *self.loop.faults):
            self.rule.breaches.append((f"the program raised {fault}", ""))

    def _tell(self, whom: str, what: str) -> None:
        self._history.setdefault(whom, []).append((self.loop.now_us, what))

    def _arrive(self, is_whole: bool) -> None:
        self._arrived = True
        self._tell("client", f"arrives {is_whole}")
        if self.case.effect == "safe":
            self.client.deliver(_request("work", "GET", IDENT))
        else:
            keyed = {"Idempotency-Key": "5c0f"} if self.case.effect == "keyed" else {}
            length = KEPT + 2
            size = 0 if is_whole else length
            self.client.deliver(_request("work", "POST", IDENT, **{"Content-Length": f"{size}"}, **keyed))
            if not is_whole:
                self.client.deliver(b"." * KEPT)
                self.client.deliver(b".")
                self._is_body_due = True
                return
        self._whole_at = self.loop.now_us

    def _body(self) -> None:
        self._tell("client", "body")
        self._is_body_due = False
        self._whole_at = self.loop.now_us
        self.client.deliver(b".")

    def _come_up(self, number: int, is_held: bool) -> None:
        self._tell(f"dial {number}", f"up {is_held}")
        self.network.dials[number].end.set_result(is_held)

    def _refuse(self, number: int) -> None:
        self._tell(f"dial {number}", "refused")
        self.network.dials[number].end.set_exception(ConnectionRefusedError())

    def _take(self, number: int, holds_again: bool) -> None:
        self._tell(f"connection {number}", f"takes {holds_again}")
        self.network.connections[number].let_through(holds_again=holds_again)

    def _answer(self, number: int, data: bytes, is_own: bool) -> None:
        self._tell(f"connection {number}", f"answer {data!r} {is_own}")
        self.network.connections[number].answer(data, is_own=is_own)

    def _reset(self, number: int) -> None:
        self._tell(f"connection {number}", "reset")
        self.network.connections[number].reset()

    def _stand_still(self) -> None:
        self._stood_still.append((self.loop.now_us, self.loop.now_us + PAST_WINDOW))
        self.loop.stand_still(PAST_WINDOW)
        self._is_late = True

    def _reload(self, name: str, change: dict[str, Any]) -> None:
        self._reloaded = name
        self._tell("reload", name)
        self.rule.second_copies = self.rule.second_copies and change.get("copies", True)
        self.sidecar.reload(_config(self.case, self.seed, **change))

    def _leave(self) -> None:
        self._tell("client", "leaves")
        self.rule.left_at = self.loop.now_us
        self.client.leave()

    # The end of every order

    def play_out(self) -> None:
        """Servers are silent from here on: the window ends, what is late comes, and the deadline passes."""
        self.do(self._late_window())
        if self._is_body_due and not self.client.has_left:
            self.do(Step("the last byte of the body comes", self._body))
        for number, dial in enumerate(self.network.dials):
            if dial.is_pending and not self.rule.breaches:
                self.do(self._dial_choices(number)[0])
        for number, each in enumerate(self.network.connections):
            if each.is_stuck and not self.rule.breaches:
                self.do(self._held_choices(number, each)[0])
        if not self.rule.breaches:
            self.do(self._time("past the deadline", DEADLINE + SLACK))
            self.rule.on_end(self._due())

    def _due(self) -> int | None:
        """By when the request is to be answered; what the loop stood still for is not the program's fault."""
        if self._whole_at is None:
            return None
        due = self._whole_at + DEADLINE + SLACK
        for begin, end in self._stood_still:
            due = max(due, end) if begin <= due else due
        return due

    # For the exploration

    def fingerprint(self) -> tuple[Any, ...]:
        """What tells this state from others: the time, and what befell each part of the network when.

        Two orders that differ only in the order of steps at one time on different connections, and after
        which the network looks the same, have the same one.
        """
        dials = tuple((each.host, each.began_at, each.is_pending) for each in self.network.dials)
        connections = tuple(
            (
                each.host,
                each.opened_at,
                each.is_open,
                each.is_held,
                len(each.held_back),
                tuple((one.ident, one.whole_at, len(one.taken)) for one in each.exchanges),
            )
            for each in self.network.connections
        )
        history = tuple(sorted((whom, tuple(what)) for whom, what in self._history.items()))
        return (
            self.loop.now_us,
            dials,
            connections,
            history,
            tuple(self.rule.answers),
            self.client.is_leaving_unread,
            self._is_late,
            tuple(self._stood_still),
        )


def _request(kind: str, method: str, ident: str, **headers: str) -> bytes:
    given = {
        "Host": "origin.svc",
        "Request-Id": ident,
        "Request-Class": kind,
        "Request-Timeout": f"{DEADLINE / 1e6:.3f}",
        **headers,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in given.items())
    return f"{method} /api/7f3a HTTP/1.1\r\n{head}\r\n".encode()


# ---------------------------------------------------------------------------------------------------
# The exploration


@dataclass
class Breach:
    """A broken rule, and the shortest order that leads to it."""

    text: str
    way: str  # what the last byte that breaks it waited for
    start: Start
    steps: list[str]

    def __str__(self) -> str:
        steps = "\n".join(f"    {number}. {each}" for number, each in enumerate(self.steps, 1))
        by = f" [its last byte waited for {self.way}]" if self.way else ""
        return f"{self.text}{by}\n  from the start '{self.start.value}':\n{steps}"


@dataclass
class Explored:
    """What an exploration found."""

    orders: int = 0  # that were played
    breaches: dict[tuple[str, str], Breach] = field(default_factory=dict)

    def note(self, world: World) -> None:
        for text, way in world.rule.breaches:
            known = self.breaches.get((text, way))
            if known is None or len(world.steps) < len(known.steps):
                self.breaches[(text, way)] = Breach(text, way, world.start, list(world.steps))

    def add(self, other: Explored) -> None:
        """Take in what another exploration of the same case found."""
        self.orders += other.orders
        for key, breach in other.breaches.items():
            known = self.breaches.get(key)
            if known is None or len(breach.steps) < len(known.steps):
                self.breaches[key] = breach

    def __str__(self) -> str:
        return "\n".join(f"- {each}" for each in self.breaches.values())


@contextmanager
def _stage(rest_us: int) -> Iterator[None]:
    """The clock, the socket calls and the constants of the program that the orders need."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(clock.Clock, "now", _virtual_now))
        stack.enter_context(mock.patch.object(client, "os", Kernel(lambda: _loop().network), create=True))
        stack.enter_context(mock.patch.object(http1, "KEPT", KEPT))
        stack.enter_context(mock.patch.object(upstream, "_REST_US", rest_us))
        # No other traffic is played: an attempt is overdue by its own time alone, also on several servers.
        stack.enter_context(mock.patch.object(overdue, "OTHER_RESPONSES", 0))
        stack.enter_context(mock.patch.object(outlier_detection, "MAX_UNRESPONSIVE_PART", 1.0))
        yield


def _virtual_now(self: clock.Clock) -> int:
    return _loop().now_us


def _loop() -> VirtualLoop:
    return cast(VirtualLoop, asyncio.get_running_loop())


@cache
def _seed(case: Case, start: Start) -> int:
    """The first seed that brings about what the start says."""
    for seed in range(500):
        world = World(case, start, seed)
        try:
            if _is_such(world):
                return seed
        finally:
            world.end()
    raise AssertionError(f"no seed leads to the start '{start.value}' for {case}")


def _is_such(world: World) -> bool:
    network, start = world.network, world.start
    warm = len(network.dials)  # as many as there are connections
    first = {each.host: each.exchanges[0].own_answer for each in network.connections}
    world.do(world.choices()[0])
    new = network.dials[warm:]
    used = [each for each in network.connections if len(each.exchanges) > 1]
    if start in (Start.COLD, Start.RESTED_LATER):
        if not new or SERVERS[new[0].host][2] != 1:
            return False
    elif start is Start.RESTED:
        return bool(used) and first[used[0].host] == TURNED_AWAY and SERVERS[used[0].host][2] == 1
    elif new:
        return False
    if start is Start.COLD:
        return True
    if start is Start.RESTED_LATER:
        if world.case.effect == "unsafe":
            world.do(world._dial_choices(warm)[2])
        else:
            world.do(world._time("past the aim", PAST_AIM))
        return len(network.dials) == warm + 1 and any(len(each.exchanges) > 1 for each in network.connections)
    world.do(world._time("past the aim", PAST_AIM))
    if world.case.effect != "unsafe" and len(network.dials) == warm:
        return False
    world.do(world._time("past the window", PAST_WINDOW))
    world.do(world._time("past the window", PAST_WINDOW))
    return [SERVERS[each.host][2] for each in network.connections if len(each.exchanges) > 1] == [1]


def explore(
    case: Case, start: Start, depth: int, stop_at: Callable[[Breach], bool] | None = None
) -> Explored:
    """Play every order of up to `depth` steps; an order ends where a rule breaks, and is cut off where it
    comes to a state that another one came to with as many steps left.
    """
    explored = Explored()
    seen: dict[tuple[Any, ...], int] = {}
    prefix: list[int] = []
    with _stage(start.rest_us):
        seed = _seed(case, start)
        while True:
            taken = _play(case, start, seed, depth, prefix, seen, explored)
            if stop_at is not None and any(map(stop_at, explored.breaches.values())):
                return explored
            while taken and taken[-1][0] + 1 == taken[-1][1]:
                taken.pop()
            if not taken:
                return explored
            prefix = [index for index, _ in taken]
            prefix[-1] += 1


def _play(
    case: Case,
    start: Start,
    seed: int,
    depth: int,
    prefix: list[int],
    seen: dict[tuple[Any, ...], int],
    explored: Explored,
) -> list[tuple[int, int]]:
    """Play one order; return which choice it took of how many, at each step."""
    world = World(case, start, seed)
    taken: list[tuple[int, int]] = []
    is_cut = False
    try:
        while len(taken) < depth and not world.rule.breaches:
            if len(taken) >= len(prefix):
                key = world.fingerprint()
                left = depth - len(taken)
                if seen.get(key, 0) >= left:
                    is_cut = True
                    break
                seen[key] = left
            choices = world.choices()
            if not choices:
                break
            index = prefix[len(taken)] if len(taken) < len(prefix) else 0
            taken.append((index, len(choices)))
            world.do(choices[index])
        if not is_cut and not world.rule.breaches:
            world.play_out()
        explored.orders += 1
        explored.note(world)
    finally:
        world.end()
    return taken
