"""Shares the event loop between connections: each takes short turns, one after the other.

A peer that sends without waiting always has input, and the event loop would read and process all that its
buffers hold before any other connection has its next event.  A connection therefore processes its input in
turns.  All turns of one iteration of the event loop together take about `MAX_SLICE_S` at most; connections
with more to process wait in a queue, in the order in which they asked.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

# Longest time for all turns of one iteration of the event loop, but for the end of the last turn.  A response
# takes some ten iterations, so that other connections add a few hundredths of a second to it at most.
MAX_SLICE_S = 0.002


class TurnTaker(Protocol):
    """A connection that processes its input in turns."""

    def take_turn(self) -> None:
        """Processes a bounded part of the input; called once for each request for a turn."""
        ...


class TurnScheduler:
    """Runs turns at once while the current iteration has time for them, and queues the others.

    Attributes:
        deferred_turns: Number of turns that had to wait for a later iteration.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Creates a scheduler with an empty queue; `clock` is monotonic and returns seconds."""
        self._clock = clock
        self._queue: deque[TurnTaker] = deque()
        self._used_s = 0.0  # time of the turns of this iteration
        self._is_callback_scheduled = False
        self.deferred_turns = 0

    @property
    def is_busy(self) -> bool:
        """Whether a turn that is asked for now has to wait."""
        return bool(self._queue) or self._used_s >= MAX_SLICE_S

    def run_or_queue(self, taker: TurnTaker) -> bool:
        """Runs a turn now, unless the scheduler is busy; otherwise queues it.

        Returns:
            Whether the turn was run.
        """
        if self.is_busy:
            self.queue(taker)
            return False
        self._run(taker)
        self._schedule_callback()
        return True

    def queue(self, taker: TurnTaker) -> None:
        """Runs a turn in a later iteration, after those that wait already."""
        self.deferred_turns += 1
        self._queue.append(taker)
        self._schedule_callback()

    def _schedule_callback(self) -> None:
        if not self._is_callback_scheduled:
            self._is_callback_scheduled = True
            asyncio.get_running_loop().call_soon(self._iteration_started)

    def _iteration_started(self) -> None:
        """Begins a new slice, and runs queued turns in it."""
        self._is_callback_scheduled = False
        self._used_s = 0.0
        for _ in range(len(self._queue)):
            self._run(self._queue.popleft())
            if self._used_s >= MAX_SLICE_S:
                break
        if self._queue or self._used_s > 0.0:
            self._schedule_callback()

    def _run(self, taker: TurnTaker) -> None:
        started_at = self._clock()
        try:
            taker.take_turn()
        finally:
            self._used_s += self._clock() - started_at


class InputOwner(TurnTaker, Protocol):
    """A connection whose input is processed in turns; its `take_turn` calls `InputTurns.run`."""

    def process_input(self, received: bytes) -> None:
        """Processes what was read since the last turn, which may be nothing, and one message of it."""
        ...

    def hold_reading(self) -> None:
        """Reads nothing until `release_reading`."""
        ...

    def release_reading(self) -> None:
        """Reads again, unless there is another reason not to."""
        ...


class InputTurns:
    """What one connection has read and not processed yet, and its place in the queue.

    The connection is passed to each call, since a reference to it would keep a closed one in memory.

    Attributes:
        is_waiting: Whether it waits for a turn; nothing is read meanwhile.
    """

    __slots__ = ("_received", "_scheduler", "is_waiting")

    def __init__(self, scheduler: TurnScheduler) -> None:
        """Starts with no input, and with reading permitted."""
        self._scheduler = scheduler
        self._received = b""
        self.is_waiting = False

    @property
    def is_deferred(self) -> bool:
        """Whether what is read now would have to wait."""
        return self._scheduler.is_busy

    def data_received(self, owner: InputOwner, data: bytes | memoryview, *, is_buffer_full: bool) -> None:
        """Has data processed, at once or in a later turn.

        After a full buffer more may be unread, and the event loop would go on reading it: others come first.
        """
        self._received += data
        if not self._scheduler.run_or_queue(owner):
            self._hold(owner)
        elif is_buffer_full:
            self.request(owner)

    def request(self, owner: InputOwner) -> None:
        """Asks for a turn in a later iteration, unless one was asked for."""
        if not self.is_waiting:
            self._hold(owner)
            self._scheduler.queue(owner)

    def run(self, owner: InputOwner) -> None:
        """Has the owner process what was read, in its turn."""
        was_waiting, self.is_waiting = self.is_waiting, False
        received, self._received = self._received, b""
        owner.process_input(received)
        if was_waiting and not self.is_waiting:
            owner.release_reading()

    def discard(self) -> None:
        """Frees what was read; a turn that was asked for processes nothing."""
        self._received = b""

    def _hold(self, owner: InputOwner) -> None:
        self.is_waiting = True
        owner.hold_reading()
