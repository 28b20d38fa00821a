"""The list of servers: reading it, fetching it and watching it."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from tulipnotch.load_balancing.events import (
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
)
from tulipnotch.sidecar.addresses import Address, parse_address
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule
from tulipnotch.sidecar.http1.messages import Request, Response, ResponseReader
from tulipnotch.sidecar.upstream.connection import ExchangeFailure, UpstreamConnection

_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}
_PATH = "/catalog/members"
_MOST_BYTES = 4 << 20  # of a whole list
_PLAN = PollSchedule()
_MOST_BESIDE = (
    2  # calls soon beside an overdue one, at least: a directory that is late is not asked on and on
)
# Where lists are pushed, what the agent has counts as announced with no watch open too: a watch is taken up,
# and a call that is not answered is made again, after such parts of the grace that a drain has.
_PUSHED_AGAIN = 0.2
_PUSHED_OVERDUE = 0.4
_PUSHED_DIAL = 0.8
_PUSHED_LEAST_S = 0.02
_PUSHED_MOST_S = 0.2  # however long the grace
_MOST_CALLS = 8  # at once; more fail unasked


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """A line of the list, with where the server can be reached from here."""

    description: EndpointDescription
    address: Address | None  # None: it left


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """An answer of discovery."""

    version: int
    is_complete: bool
    endpoints: tuple[DiscoveredEndpoint, ...]

    def event(self, kind: EndpointUpdateKind | None = None) -> EndpointsUpdated:
        by_form = EndpointUpdateKind.COMPLETE if self.is_complete else EndpointUpdateKind.DELTA
        return EndpointsUpdated(kind or by_form, [each.description for each in self.endpoints], self.version)


def parse_listing(given: object) -> DiscoveryResponse:
    """Read a list of servers in discovery's form; raise ValueError on nonsense."""
    if not isinstance(given, dict):
        raise ValueError("an object is needed")
    version, full, servers = given.get("version"), given.get("full"), given.get("servers")
    if type(version) is not int or version < 0:
        raise ValueError(f"version: a whole number is needed, not {version!r:.60}")
    if not isinstance(full, bool):
        raise ValueError(f"full: true or false is needed, not {full!r:.60}")
    if not isinstance(servers, list):
        raise ValueError(f"servers: a list is needed, not {servers!r:.60}")
    return DiscoveryResponse(version, full, tuple(_entry(each) for each in servers))


def _entry(given: object) -> DiscoveredEndpoint:
    if not isinstance(given, dict):
        raise ValueError("servers: an object is needed for each")
    name = given.get("id")
    if not isinstance(name, str) or not name:
        raise ValueError(f"servers: an id is needed, not {name!r:.60}")
    try:
        state = _STATES[given["state"]]
    except (KeyError, TypeError):
        raise ValueError(f"servers: unknown state {given.get('state')!r:.60} of {name:.60}") from None
    address = None if state is EndpointState.REMOVED else parse_address(given.get("addr"))
    started_ms = _number(given, "started_ms", 0)
    listed = EndpointDescription(
        name=name,
        zone=_text(given, "zone"),
        machine_type=_text(given, "kind"),
        cell=int(_number(given, "cell", 0)),
        state=state,
        nominal_capacity=_number(given, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return DiscoveredEndpoint(listed, address)


def _text(given: dict[str, Any], key: str) -> str:
    value = given.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise ValueError(f"servers: {key}: a text is needed, not {value!r:.60}")
    return value


def _number(given: dict[str, Any], key: str, default: float) -> float:
    value = given.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise ValueError(f"servers: {key}: a number is needed, not {value!r:.60}")
    return value


class DiscoveryError(Exception):
    """Discovery did not answer a call, or not with a list."""


@dataclass(frozen=True, slots=True)
class Waits:
    """How long discovery is waited for, in seconds."""

    again_s: float  # at most, between a call that failed and the next
    overdue_s: float  # until a call that waits for nothing is made again beside itself
    dial_s: float
    most_beside: int = _MOST_BESIDE  # calls soon beside one that is overdue

    @staticmethod
    def of(pushed: bool, grace_us: int, plan: PollSchedule, max_poll_interval_us: int | None = None) -> Waits:
        """Where lists are asked for, the decisions say when to ask again, and the plan by when at last.

        `ask_within_us` is how long the settings allow without asking (None: for ever).  Where that is less
        than the plan leaves between two calls, they begin closer together, and more may be out at once.
        """
        if not pushed:
            apart_s = plan.apart_s
            if max_poll_interval_us is not None:
                allowed_s = max_poll_interval_us / 1e6
                apart_s = min(apart_s, max(allowed_s - plan.late_s - plan.dial_again_s, allowed_s / 2))
            beside = min(math.ceil(plan.call_s / apart_s), _MOST_CALLS - 1)
            return Waits(apart_s, apart_s, plan.dial_s, max(beside, _MOST_BESIDE))

        def part(share: float) -> float:
            return min(max(share * grace_us / 1e6, _PUSHED_LEAST_S), _PUSHED_MOST_S)

        return Waits(part(_PUSHED_AGAIN), part(_PUSHED_OVERDUE), part(_PUSHED_DIAL))


class DiscoveryClient:
    """Calls to discovery.  Every `follow` and `fetch` is answered by `on_list` or `on_failed`.

    While the list is followed, calls begin `Schedule.apart_s` from each other at most, whatever became of the
    one before: `follow` may ask sooner, and need not be called again.  `on_fault` gets why there is no
    list, once for each cause until there is one again.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        pushed: bool,
        on_list: Callable[[DiscoveryResponse], None],
        on_failed: Callable[[], None],
        on_fault: Callable[[str], None],
        grace_us: int = 0,
        instance: int = 0,  # its number in the fleet: it spreads the calls
        plan: PollSchedule | None = None,
        has_list: bool = True,  # whether any server is known: while none is, calls begin closer together
        max_poll_interval_us: int | None = None,  # how long the settings allow without asking; None: for ever
    ) -> None:
        self._address = address
        self._version = version
        self._pushed = pushed
        self._on_list = on_list
        self._on_failed = on_failed
        self._on_fault = on_fault
        self._fault: str | None = None  # what was reported last, while there is no list
        self._plan = plan or _PLAN
        self._waits = Waits.of(pushed, grace_us, self._plan, max_poll_interval_us)
        self._instance = instance
        self._has_list = has_list
        self._clock = Clock()
        self.first_call_ended = asyncio.Event()  # whether a call has been answered, or has failed
        self._is_followed = pushed
        self._changes = 0  # of what is known, so far
        self._watch: asyncio.Task[None] | None = None
        self._is_awaited = False  # whether the watch has neither been answered yet nor failed
        self._begun_at = 0.0  # when the last call of a watch began, in the loop's time
        self._turn_s = 0.0  # from there to the next where there is no list
        self._fetches: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def apply_settings(self, grace_us: int, max_poll_interval_us: int | None = None) -> None:
        self._waits = Waits.of(self._pushed, grace_us, self._plan, max_poll_interval_us)

    def start(self) -> None:
        """Where lists are pushed, the agent's are received from the start on, unasked."""
        if self._pushed and self._watch is None:  # a reload may have come first
            self._begin_watch()

    def subscribe(self, wanted: bool) -> None:
        """Watch the list from now on, or no longer.

        Asked again before its first answer, a watch goes on as it is: to call anew would give up the place in
        discovery's line, and calls that are begun over and over while it is slow would never be answered.
        """
        if self._pushed:
            return
        self._is_followed = wanted
        if self._watch is not None and not self._watch.done():
            if wanted and self._is_awaited:
                return
            self._watch.cancel()
            self._watch = None
        if wanted:
            self._begin_watch()

    def fetch(self) -> None:
        """Ask once for the whole list."""
        if len(self._tasks) >= _MOST_CALLS:
            asyncio.get_running_loop().call_soon(self._on_failed)
            return
        fetch = self._spawn(self._fetch())
        self._fetches.add(fetch)
        fetch.add_done_callback(self._fetches.discard)

    def change_address(self, address: Address) -> None:
        """Ask at another address from now on, and leave the old one at once.

        What was on its way is asked anew there: no failure of the old one is reported.  The other discovery
        counts its own versions, so it is asked for everything first, and taken whatever was known.
        """
        self._address = address
        self._version = None
        self._changes += 1
        fetches = len(self._fetches)
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()
        self._fetches.clear()
        self._watch = None
        if self._is_followed:
            self._begin_watch()
        for _ in range(fetches):
            self.fetch()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _begin_watch(self) -> None:
        self._is_awaited = True
        self._watch = self._spawn(self._follow())

    def _new_line(self) -> _Line:
        return _Line(self._address, self._waits.dial_s, self._plan)

    async def _fetch(self) -> None:
        line, changes = self._new_line(), self._changes
        try:
            listing = await line.call(None, 0)
        except DiscoveryError as fault:
            self._failed(fault)
            self._on_failed()
        else:
            self._received(listing, changes)
        finally:
            line.close()

    async def _follow(self) -> None:
        """Watch, and begin anew after each failure, in time for the plan."""
        while True:
            self._is_awaited = True
            try:
                await self._watch_on()
            except DiscoveryError as fault:
                self._is_awaited = False
                self._failed(fault)
                if not self._pushed:
                    self._on_failed()
            await asyncio.sleep(min(self._waits.again_s, self._until_next(self._plan.apart_s)))

    def _until_next(self, apart_s: float) -> float:
        """Until the next call is due: so long after the last one began, or sooner where there is no list."""
        if not self._has_list:
            apart_s = min(apart_s, self._turn_s)
        return max(self._begun_at + apart_s - asyncio.get_running_loop().time(), 0.0)

    async def _watch_on(self) -> None:
        """Watch until a call fails.  The first call waits for nothing, so that it is answered soon."""
        line = self._new_line()
        try:
            wait_ms = 0
            while True:
                line, listing, changes = await self._call(line, wait_ms)
                is_news = listing.is_complete or bool(listing.endpoints)
                if is_news or self._is_awaited:
                    self._is_awaited = False
                    self._received(listing, changes)
                self._fault = None
                after_news = is_news and wait_ms > 0
                wait_ms = self._plan.wait_ms(self._clock.now(), self._instance, after_news)
        finally:
            line.close()

    async def _call(self, line: _Line, wait_ms: int) -> tuple[_Line, DiscoveryResponse, int]:
        """Call, and call anew beside a call that is overdue; give the first list, and the line it came on.

        Guards against learning of a drain when its grace is over: a watch that fell silent looks like one
        with no news, and what it missed counts as announced whether or not it is given up.  The calls beside
        it wait for nothing, and go out on connections of their own.
        """
        calls: dict[asyncio.Task[DiscoveryResponse], tuple[_Line, int]] = {}

        def begin(on: _Line, for_ms: int) -> None:
            work = asyncio.get_running_loop().create_task(on.call(self._version, for_ms))
            calls[work] = on, self._changes
            self._begun_at = asyncio.get_running_loop().time()
            self._turn_s = self._plan.until_turn_s(self._clock.now(), self._instance)

        begin(line, wait_ms)
        apart_s = wait_ms / 1_000 + self._plan.overdue_s if wait_ms else self._waits.overdue_s
        spare = self._waits.most_beside
        try:
            while True:
                left_s = self._until_next(apart_s)
                done, _ = await asyncio.wait(calls, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
                for call in done:
                    its, changes = calls.pop(call)
                    fault = call.exception()
                    if fault is None:
                        return its, call.result(), changes
                    its.close()
                    if not calls or not isinstance(fault, DiscoveryError):
                        raise fault
                    spare += 1  # one is always young: the rest may hang from before the agent was back
                if not done:
                    spare -= 1
                    begin(self._new_line(), 0)
                apart_s = self._waits.overdue_s if spare > 0 else self._plan.apart_s
        finally:
            for call, (its, _) in calls.items():
                call.cancel()
                its.close()

    def _failed(self, fault: DiscoveryError) -> None:
        self.first_call_ended.set()
        if str(fault) != self._fault:
            self._fault = str(fault)
            self._on_fault(self._fault)

    def _received(self, listing: DiscoveryResponse, changes: int) -> None:
        """Take over an answer to a call that began when so many changes were known.

        Guards against a list that was overtaken: a fetch and a watch run side by side, and the one that began
        first may end last.  A lower version that nothing overtook is that of a discovery that began anew.
        """
        known = self._version
        if changes != self._changes and known is not None and listing.version < known:
            listing = DiscoveryResponse(known, False, ())
        else:
            self._version = listing.version
            self._changes += 1
        self._fault = None
        self._has_list = True
        self.first_call_ended.set()
        self._on_list(listing)


class _Line:
    """Calls to discovery one after another, over one connection while that lasts."""

    def __init__(self, address: Address, dial_within_s: float, plan: PollSchedule) -> None:
        self._address = address
        self._dial_within_s = dial_within_s
        self._plan = plan
        self._connection: UpstreamConnection | None = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()

    async def call(self, after: int | None, wait_ms: int) -> DiscoveryResponse:
        target = _PATH if after is None else f"{_PATH}?after={after}&wait_ms={wait_ms}"
        try:
            async with asyncio.timeout(
                wait_ms / 1_000 + self._plan.answer_s if wait_ms else self._plan.call_s
            ):
                response = await self._get(target.encode())
        except TimeoutError:
            raise DiscoveryError("no answer in time") from None
        except OSError as fault:
            raise DiscoveryError(f"no connection: {fault}") from None
        if isinstance(response, ExchangeFailure):
            raise DiscoveryError(_WHY[response])
        if response.status != 200:
            raise DiscoveryError(f"status {response.status}")
        try:
            return parse_listing(json.loads(response.body))
        except (ValueError, RecursionError) as nonsense:
            raise DiscoveryError(f"the list can't be read: {nonsense}") from None

    async def _get(self, target: bytes) -> Response | ExchangeFailure:
        if self._connection is None or not self._connection.is_usable():
            self.close()
            self._connection = await self._dial()
            if not self._connection.is_usable():
                return ExchangeFailure.UNWRITTEN  # it ended as it came up: nothing would tell of a call's end
        answer: asyncio.Future[Response | ExchangeFailure] = asyncio.get_running_loop().create_future()

        def ended(how: Response | ExchangeFailure) -> None:
            if not answer.done():
                answer.set_result(how)

        host = f"{self._address[0]}:{self._address[1]}".encode()
        self._connection.exchange(Request(b"GET", target, [(b"host", host)]), ended)
        return await answer

    async def _dial(self) -> UpstreamConnection:
        """Dial, and dial again beside that where it doesn't come up soon; the first to come up serves.

        Guards against a dial whose packets are lost: it is silent up to its limit.
        """
        loop = asyncio.get_running_loop()

        def made() -> UpstreamConnection:
            return UpstreamConnection(ResponseReader(_MOST_BYTES), _ignore, _ignore, self._plan.stalled_s)

        async def dial() -> UpstreamConnection:
            _, connection = await loop.create_connection(made, *self._address)
            return connection

        dials = {loop.create_task(dial())}
        try:
            async with asyncio.timeout(self._dial_within_s):
                done, _ = await asyncio.wait(dials, timeout=self._plan.dial_again_s)
                if not done:
                    dials.add(loop.create_task(dial()))
                while True:
                    done, pending = await asyncio.wait(dials, return_when=asyncio.FIRST_COMPLETED)
                    up = [each for each in done if each.exception() is None]
                    if up or not pending:
                        dials.discard(served := (up or list(done))[0])
                        return served.result()
                    dials = pending
        finally:
            for each in dials:
                each.cancel()
                each.add_done_callback(_close_late)


def _close_late(dial: asyncio.Task[UpstreamConnection]) -> None:
    """One that came up in the moment in which it was called off is closed."""
    if not dial.cancelled() and dial.exception() is None:
        dial.result().close()


_WHY = {
    ExchangeFailure.UNWRITTEN: "the connection broke under the call",
    ExchangeFailure.CONNECTION_LOST: "the connection broke before the answer's end",
    ExchangeFailure.MALFORMED_RESPONSE: "the answer is no HTTP, too large or has no end",
}


def _ignore(_: UpstreamConnection) -> None:
    """Nothing is kept of it."""
