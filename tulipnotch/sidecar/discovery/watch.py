"""One watch of the endpoint list: a series of calls that wait for changes, and hedged calls beside them.

* A call starts at most the schedule's `call_interval_s` after the start of the one before it, whether or not
  that one succeeds.
* A watch that hangs looks like one without an event, and a change that it misses counts as announced all the
  same.  So a call whose response is overdue is hedged: by a call that does not wait, on a connection of its
  own.  The first response ends the wait for all of them; the others go on without the watch, since they may
  have more to announce.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery.call_events import CallKind
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryConnection
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryError
from tulipnotch.sidecar.discovery.outstanding_calls import DiscoveryCall
from tulipnotch.sidecar.discovery.poll_schedule import PollIntervals, PollSchedule


class InstanceSlots:
    """The slots of one instance in the poll schedule of its fleet, by the sidecar's clock."""

    def __init__(self, schedule: PollSchedule, instance: int) -> None:
        """Derives the slots from `instance`, the number in the fleet; this spreads the calls of a fleet."""
        self.schedule = schedule
        self._instance = instance
        self._clock = Clock()

    def watch_wait_ms(self, *, after_event: bool) -> int:
        """Returns how long (ms) a call that starts now waits for a change."""
        return self.schedule.watch_wait_ms(self._clock.now(), self._instance, after_event=after_event)

    def time_until_initial_slot_s(self) -> float:
        """Returns the time to the next slot for a call before the first endpoint list."""
        return self.schedule.time_until_initial_slot_s(self._clock.now(), self._instance)


class WatchOwner(Protocol):
    """The owner of a watch: it knows the endpoint list, starts the calls and is notified of their ends."""

    @property
    def intervals(self) -> PollIntervals:
        """The intervals in force."""
        ...

    @property
    def has_endpoint_list(self) -> bool:
        """Whether an endpoint is cached or discovery has responded; until then, calls are more frequent."""
        ...

    def start_call(
        self, kind: CallKind, connection: DiscoveryConnection | None, wait_ms: int
    ) -> DiscoveryCall:
        """Starts a call for the changes since the known version; `connection` None means a new connection."""
        ...

    def detach_call(self, call: DiscoveryCall) -> None:
        """Ends the wait for a call, which goes on without its watch."""
        ...

    def watch_failed(self, error: DiscoveryError) -> None:
        """Handles the failure of a call and of its hedged calls; the watch retries by itself."""
        ...


class EndpointWatch:
    """Watches the endpoint list from its creation until it is cancelled, and retries after each failure."""

    def __init__(self, owner: WatchOwner, slots: InstanceSlots) -> None:
        """Starts with a call that does not wait for a change."""
        self._owner = owner
        self._slots = slots
        self._schedule = slots.schedule
        self._call_started_at = 0.0  # start of the last call, in the event loop's time (s)
        self._time_until_initial_slot_s = 0.0  # measured when the last call started
        # Whether the first response since the start or a failure, which waits for no change, is still due.
        self.is_initial_response_pending = True
        self.task = asyncio.create_task(self._run())

    @property
    def has_ended(self) -> bool:
        """Whether the list is no longer watched."""
        return self.task.done()

    async def _run(self) -> None:
        while True:
            self.is_initial_response_pending = True
            try:
                await self._watch_until_failure()
            except DiscoveryError as error:
                self.is_initial_response_pending = False
                self._owner.watch_failed(error)
            next_call_s = self._time_until_next_call_s(self._schedule.call_interval_s)
            await asyncio.sleep(min(self._owner.intervals.max_retry_delay_s, next_call_s))

    async def _watch_until_failure(self) -> None:
        """Makes calls until one fails.  The first waits for no change, so that its response comes soon.

        Raises:
            DiscoveryError: A call and all its hedged calls failed.
        """
        connection: DiscoveryConnection | None = None
        wait_ms = 0
        while True:
            call = await self._call_with_hedging(connection, wait_ms)
            connection, response = call.connection, call.result.result()
            self.is_initial_response_pending = False
            has_event = response.is_complete or bool(response.endpoints)
            wait_ms = self._slots.watch_wait_ms(after_event=has_event and wait_ms > 0)

    async def _call_with_hedging(self, connection: DiscoveryConnection | None, wait_ms: int) -> DiscoveryCall:
        """Makes a call, and hedged calls while it is overdue; returns the first that has a response.

        Raises:
            DiscoveryError: All of them failed.
        """
        calls = [self._start_call(CallKind.WATCH, connection, wait_ms)]
        delay_s = self._owner.intervals.hedge_delay_s
        if wait_ms:
            delay_s = wait_ms / 1_000 + self._schedule.hedge_delay_s
        remaining_early_hedges = self._owner.intervals.max_early_hedges
        try:
            while True:
                results = [call.result for call in calls]
                timeout_s = self._time_until_next_call_s(delay_s)
                done, _ = await asyncio.wait(results, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
                for call in [call for call in calls if call.result in done]:
                    calls.remove(call)
                    error = call.result.exception()
                    if error is None:
                        return call
                    self._owner.detach_call(call)
                    if not calls:
                        raise error
                    # Allows one more, as the other calls may have hung since before discovery was reachable.
                    remaining_early_hedges += 1
                if not done:
                    remaining_early_hedges -= 1
                    calls.append(self._start_call(CallKind.HEDGE, None, 0))
                delay_s = self._schedule.call_interval_s
                if remaining_early_hedges > 0:
                    delay_s = self._owner.intervals.hedge_delay_s
        finally:
            for call in calls:
                self._owner.detach_call(call)

    def _start_call(
        self, kind: CallKind, connection: DiscoveryConnection | None, wait_ms: int
    ) -> DiscoveryCall:
        call = self._owner.start_call(kind, connection, wait_ms)
        self._call_started_at = call.started_at
        self._time_until_initial_slot_s = self._slots.time_until_initial_slot_s()
        return call

    def _time_until_next_call_s(self, interval_s: float) -> float:
        """Returns the time from now to `interval_s` after the last call started; less without a list."""
        if not self._owner.has_endpoint_list:
            interval_s = min(interval_s, self._time_until_initial_slot_s)
        return max(self._call_started_at + interval_s - asyncio.get_running_loop().time(), 0.0)
