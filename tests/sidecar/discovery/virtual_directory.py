"""A model of the discovery service on a virtual clock, and a connection to it.

The service works through calls in turn.  It may stall, so that the calls of its queue are answered together;
reject or reset calls; be down; fall silent, so that the calls it has then never end; and restart, after which
it counts its versions anew.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto, unique

from tulipnotch.load_balancing.events import EndpointDescription, EndpointState
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryCallError
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveredEndpoint, DiscoveryResponse

ADDRESS = ("127.0.0.1", 9)
_MAX_QUEUE_DELAY_S = 2.0  # after which the service rejects a call
_FIRST_VERSION = 1 << 40
_PARTIAL_RESPONSE_S = 1.0  # after which a response that stalls fails its call

States = dict[str, EndpointState]


@unique
class Condition(Enum):
    """What the service does with calls."""

    SERVING = auto()
    STALLED = auto()  # calls stay in the queue until the end of the stall
    REJECTING = auto()
    RESETTING = auto()
    DOWN = auto()  # connections are refused, and open ones were reset
    SILENT = auto()  # calls that come never end


@dataclass(eq=False)
class PendingCall:
    """A call as the service sees it."""

    after_version: int | None
    wait_until: float
    queued_at: float
    response: asyncio.Future[DiscoveryResponse]
    sequence: int | None = None  # of the list that it gets, if that was decided as it entered the queue
    is_lost: bool = False  # whether it came while the service was silent
    written: bool = False


class Directory:
    """The endpoint list with its history, and the queue of calls."""

    def __init__(
        self, names: list[str], rng: random.Random, on_written: Callable[[int, States], None]
    ) -> None:
        """Lists all names as ready; `on_written` is given each version that was written, and its states."""
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._on_written = on_written
        self.history: list[States] = [dict.fromkeys(names, EndpointState.READY)]
        self._offset = -_FIRST_VERSION
        self.condition = Condition.SERVING
        self.latency_s = 0.0  # from a call to its place in the queue
        self.service_time_s = 0.0
        self.omits_draining = rng.random() < 0.3  # complete lists name only endpoints that are ready
        self._queue: deque[PendingCall] = deque()
        self._waiting: list[PendingCall] = []
        self._is_working = False

    @property
    def sequence(self) -> int:
        """The index of the present states in `history`."""
        return len(self.history) - 1

    @property
    def version(self) -> int:
        """The version of the present list, as it is sent."""
        return self.sequence - self._offset

    def complete_list(self) -> DiscoveryResponse:
        """Returns the complete list."""
        return self._respond(None, self.sequence)

    def change(self, name: str, state: EndpointState) -> None:
        """Changes the state of an endpoint, and answers the calls that wait for a change."""
        self.history.append({**self.history[-1], name: state})
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self._enqueue(call)

    def set_condition(self, condition: Condition) -> None:
        """Starts or ends a fault."""
        self.condition = condition
        if condition is Condition.DOWN:
            for call in [*self._queue, *self._waiting]:
                _fail(call, "reset")
            self._queue.clear()
            self._waiting.clear()
        elif condition is Condition.SILENT:
            for call in [*self._queue, *self._waiting]:
                call.is_lost = True
        self._work()

    def restart(self) -> None:
        """Counts versions anew, from a much lower number; open calls are reset."""
        self.set_condition(Condition.DOWN)
        self._offset = self.sequence - (self.version >> 4)
        self.set_condition(Condition.SERVING)

    def receive(self, call: PendingCall) -> None:
        """Takes a call into the queue."""
        if self.condition is Condition.DOWN:
            _fail(call, "cannot connect")
            return
        call.is_lost = self.condition is Condition.SILENT
        self._loop.call_later(self.latency_s, self._arrived, call)

    def _arrived(self, call: PendingCall) -> None:
        is_current = call.after_version is not None and call.after_version >= self.version
        if is_current and self._loop.time() < call.wait_until and self.condition is Condition.SERVING:
            self._waiting.append(call)
            self._loop.call_at(call.wait_until, self._end_wait, call)
        else:
            self._enqueue(call)

    def _end_wait(self, call: PendingCall) -> None:
        if call in self._waiting:
            self._waiting.remove(call)
            self._enqueue(call)

    def _enqueue(self, call: PendingCall) -> None:
        call.queued_at = self._loop.time()
        if self._rng.random() < 0.5:
            call.sequence = self.sequence
        self._queue.append(call)
        self._work()

    def _work(self) -> None:
        if not self._is_working and self.condition is not Condition.STALLED and self._queue:
            self._is_working = True
            self._loop.call_later(self.service_time_s, self._take_next)

    def _take_next(self) -> None:
        self._is_working = False
        if self.condition is Condition.STALLED:
            return
        while self._queue:
            call = self._queue.popleft()
            if not call.response.done():  # else its connection was closed
                self._handle(call)
                break
        self._work()

    def _handle(self, call: PendingCall) -> None:
        if call.is_lost:
            return
        if self.condition is Condition.RESETTING:
            _fail(call, "reset")
        elif self.condition is Condition.DOWN:
            _fail(call, "cannot connect")
        elif self.condition is Condition.REJECTING or self._loop.time() > call.queued_at + _MAX_QUEUE_DELAY_S:
            _fail(call, "503")
        else:
            self._write(call)

    def _write(self, call: PendingCall) -> None:
        if self._rng.random() < 0.03:  # the response stops in its middle, so it announces nothing
            call.written = True
            self._loop.call_later(_PARTIAL_RESPONSE_S, _fail, call, "stalled")
            return
        sequence = self.sequence if call.sequence is None else call.sequence
        response = self._respond(call.after_version, sequence)
        call.written = True
        self._on_written(sequence, self.history[sequence])
        self._loop.call_later(self._rng.choice([0.0, 0.0, 0.001, 0.005]), _deliver, call, response)

    def _respond(self, after_version: int | None, sequence: int) -> DiscoveryResponse:
        states = self.history[sequence]
        is_known = after_version is not None and 0 <= after_version + self._offset <= sequence
        if after_version is None or not is_known or self._rng.random() < 0.3:
            listed: States = {
                name: state
                for name, state in states.items()
                if state is EndpointState.READY
                or (state is EndpointState.DRAINING and not self.omits_draining)
            }
            return _response(sequence - self._offset, listed, is_complete=True)
        before = self.history[after_version + self._offset : sequence + 1]
        changed = {
            name: state for name, state in states.items() if any(each[name] is not state for each in before)
        }
        return _response(sequence - self._offset, changed, is_complete=False)


class VirtualConnection:
    """Stands in for `DiscoveryConnection`."""

    directory: Directory  # is set for each simulation
    rng: random.Random

    def __init__(self, *_arguments: object) -> None:
        """Is not connected."""
        self._call: PendingCall | None = None

    @property
    def has_response_bytes(self) -> bool:
        """Whether a response has been written and is not delivered yet."""
        return self._call is not None and self._call.written and not self._call.response.done()

    def close(self) -> None:
        """Closes the connection; the service writes nothing to it from now on."""
        if self._call is not None:
            self._call.response.cancel()

    async def call(self, after_version: int | None, wait_ms: int) -> DiscoveryResponse:
        """Makes one call."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self.rng.choice([0.0002, 0.001, 0.02]))
        now = loop.time()
        call = PendingCall(after_version, now + wait_ms / 1e3, now, loop.create_future())
        self._call = call
        self.directory.receive(call)
        return await call.response


def _fail(call: PendingCall, fault: str) -> None:
    if not call.response.done():
        call.response.set_exception(DiscoveryCallError(fault))


def _deliver(call: PendingCall, response: DiscoveryResponse) -> None:
    if not call.response.done():
        call.response.set_result(response)


def _response(version: int, states: States, *, is_complete: bool) -> DiscoveryResponse:
    endpoints = (
        DiscoveredEndpoint(
            EndpointDescription(name=name, state=state), None if state is EndpointState.REMOVED else ADDRESS
        )
        for name, state in states.items()
    )
    return DiscoveryResponse(version, is_complete, tuple(endpoints))
