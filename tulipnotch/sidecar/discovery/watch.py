"""One watch of the endpoint list: calls that wait for changes, one after another, and the hedged calls.

* From the beginning of a call to that of the next no more than the schedule's `call_interval_s` pass,
  whatever becomes of the first.
* A watch without a response looks like one without an event, and what it misses counts as announced all the
  same.  So a call that is overdue is hedged: by one that does not wait, on a connection of its own.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryConnection
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryError, DiscoveryResponse
from tulipnotch.sidecar.discovery.poll_schedule import PollIntervals, PollSchedule


class DiscoveryCall:
    """One call in flight."""

    __slots__ = ("connection", "revision", "task")

    def __init__(
        self, connection: DiscoveryConnection, revision: int, task: asyncio.Task[DiscoveryResponse]
    ) -> None:
        """`revision` counts the changes of what was known when the call began."""
        self.connection = connection
        self.revision = revision
        self.task = task

    def cancel(self) -> None:
        """Cancel the call and close its connection."""
        self.task.cancel()
        self.connection.close()


class InstanceSlots:
    """The slots of one instance in the schedule of its fleet, by the sidecar's clock."""

    def __init__(self, schedule: PollSchedule, instance: int) -> None:
        """`instance` is the number in the fleet: it spreads the slots."""
        self.schedule = schedule
        self._instance = instance
        self._clock = Clock()

    def wait_ms(self, *, after_event: bool) -> int:
        """Return how long (ms) a watch that begins now waits."""
        return self.schedule.wait_ms(self._clock.now(), self._instance, after_event=after_event)

    def until_initial_slot_s(self) -> float:
        """Return the time to the next call before the first endpoint list."""
        return self.schedule.until_initial_slot_s(self._clock.now(), self._instance)


class WatchOwner(Protocol):
    """Whoever a watch belongs to: it knows the list, starts the calls and is notified of their ends."""

    @property
    def intervals(self) -> PollIntervals:
        """The intervals in force."""
        ...

    @property
    def has_endpoint_list(self) -> bool:
        """Whether an endpoint is cached or discovery has responded; until then, calls are more frequent."""
        ...

    def start_call(self, connection: DiscoveryConnection | None, wait_ms: int) -> DiscoveryCall:
        """Start a call for what changed since the known version; None: on a connection of its own."""
        ...

    def watch_responded(self, call: DiscoveryCall, response: DiscoveryResponse, *, is_update: bool) -> None:
        """A call has its response; `is_update` unless it says only that nothing changed."""
        ...

    def watch_failed(self, error: DiscoveryError) -> None:
        """A call failed, and its hedged calls; the watch retries by itself."""
        ...


class EndpointWatch:
    """Watches the list from its construction until it is cancelled, and retries after each failure."""

    def __init__(self, owner: WatchOwner, slots: InstanceSlots) -> None:
        """Begin with a call that does not wait."""
        self._owner = owner
        self._slots = slots
        self._schedule = slots.schedule
        self._call_started_at = 0.0  # the last one, in the event loop's time (s)
        self._until_initial_slot_s = 0.0  # as it was then
        self.is_initial_response_pending = (
            True  # whether a response is due whether or not the list has changed
        )
        self.task = asyncio.create_task(self._run())

    @property
    def has_ended(self) -> bool:
        """Whether it watches no longer."""
        return self.task.done()

    async def _run(self) -> None:
        while True:
            self.is_initial_response_pending = True
            try:
                await self._watch()
            except DiscoveryError as error:
                self.is_initial_response_pending = False
                self._owner.watch_failed(error)
            next_call_s = self._until_next_call_s(self._schedule.call_interval_s)
            await asyncio.sleep(min(self._owner.intervals.max_retry_delay_s, next_call_s))

    async def _watch(self) -> None:
        """Call until a call fails.  The first call does not wait, so that its response comes soon.

        Raises:
            DiscoveryError: If a call and all its hedged calls failed.
        """
        connection: DiscoveryConnection | None = None
        try:
            wait_ms = 0
            while True:
                call = await self._call(connection, wait_ms)
                connection, response = call.connection, call.task.result()
                has_event = response.is_complete or bool(response.endpoints)
                is_update = has_event or self.is_initial_response_pending
                if is_update:
                    self.is_initial_response_pending = False
                self._owner.watch_responded(call, response, is_update=is_update)
                wait_ms = self._slots.wait_ms(after_event=has_event and wait_ms > 0)
        finally:
            if connection is not None:
                connection.close()

    async def _call(self, connection: DiscoveryConnection | None, wait_ms: int) -> DiscoveryCall:
        """Call, with hedged calls while it is overdue, and return the first that has a response.

        Raises:
            DiscoveryError: If all of them failed.
        """
        calls = [self._start(connection, wait_ms)]
        delay_s = self._owner.intervals.hedge_delay_s
        if wait_ms:
            delay_s = wait_ms / 1_000 + self._schedule.hedge_delay_s
        remaining_hedges = self._owner.intervals.max_early_hedges
        try:
            while True:
                tasks = [call.task for call in calls]
                timeout_s = self._until_next_call_s(delay_s)
                done, _ = await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
                for call in [call for call in calls if call.task in done]:
                    calls.remove(call)
                    error = call.task.exception()
                    if error is None:
                        return call
                    call.connection.close()
                    if not calls or not isinstance(error, DiscoveryError):
                        raise error
                    remaining_hedges += 1  # the others may hang since before discovery could be reached
                if not done:
                    remaining_hedges -= 1
                    calls.append(self._start(None, 0))
                delay_s = self._schedule.call_interval_s
                if remaining_hedges > 0:
                    delay_s = self._owner.intervals.hedge_delay_s
        finally:
            for call in calls:
                call.cancel()

    def _start(self, connection: DiscoveryConnection | None, wait_ms: int) -> DiscoveryCall:
        call = self._owner.start_call(connection, wait_ms)
        self._call_started_at = asyncio.get_running_loop().time()
        self._until_initial_slot_s = self._slots.until_initial_slot_s()
        return call

    def _until_next_call_s(self, interval_s: float) -> float:
        """Return the time to the next call, `interval_s` after the last one began; less without a list."""
        if not self._owner.has_endpoint_list:
            interval_s = min(interval_s, self._until_initial_slot_s)
        return max(self._call_started_at + interval_s - asyncio.get_running_loop().time(), 0.0)
