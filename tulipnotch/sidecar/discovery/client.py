"""The client of the discovery service: watches the endpoint list, and fetches all of it on demand.

A call is one HTTP request to discovery.  A watch is a series of calls that each wait for changes of the list.
Each list is applied by its version, whichever call brings it and whether or not anybody still waits for it:
`docs/design.md`, "What ends a call to discovery", lists the events that may come between.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tulipnotch.load_balancing.settings import DiscoveryMode, Settings
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.discovery.call_events import (
    CallEnded,
    CallKind,
    DiscardReason,
    DiscoveryEvent,
    ListApplied,
    ListDiscarded,
)
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryConnection, DiscoveryDownError
from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryError,
    DiscoveryResponse,
    EndpointListLimits,
)
from tulipnotch.sidecar.discovery.list_state import EndpointListState, Verdict
from tulipnotch.sidecar.discovery.outstanding_calls import DiscoveryCall, OutstandingCalls
from tulipnotch.sidecar.discovery.poll_schedule import PollIntervals, PollSchedule
from tulipnotch.sidecar.discovery.watch import EndpointWatch, InstanceSlots

_DEFAULT_SCHEDULE = PollSchedule()
_DEFAULT_LIST_LIMITS = EndpointListLimits.for_memory(memory_mb=64)
_DISCARD_REASONS = {
    Verdict.STALE: DiscardReason.STALE,
    Verdict.KNOWN: DiscardReason.KNOWN,
    Verdict.WITHDRAW: DiscardReason.INCOMPARABLE,
}


class DiscoveryObserver(Protocol):
    """Uses the endpoint list, and is notified of responses and failures."""

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        """Handles the response to a subscription or a fetch, or a watch event."""
        ...

    def call_failed(self) -> None:
        """Handles the failure of a watch or a fetch; where lists are pushed, of a fetch only."""
        ...

    def fault_changed(self, fault: str) -> None:
        """Handles the cause of a failed call; not repeated while further calls fail for the same cause."""
        ...

    def event_occurred(self, event: DiscoveryEvent) -> None:
        """Handles an event that is logged and counted, and changes nothing."""
        ...


class DiscoveryClient:
    """Watches and fetches the endpoint list.

    Each `subscribe` and each `fetch` is followed by at least one notification of the observer.

    While the list is watched, a call starts at most `PollSchedule.call_interval_s` after the start of the one
    before it, whether or not that one succeeds.  `subscribe` may bring the next call forward, but does not
    have to be repeated for calls to go on.
    """

    def __init__(
        self,
        address: Address,
        settings: Settings,
        cached: DiscoveryResponse,
        observer: DiscoveryObserver,
        schedule: PollSchedule | None = None,
        list_limits: EndpointListLimits = _DEFAULT_LIST_LIMITS,
    ) -> None:
        """Creates a client that has made no call yet.

        Args:
            address: Where discovery listens.
            settings: Determine the intervals, and whether lists are pushed, which is fixed from then on.
            cached: The endpoint list that was cached before the start.
            observer: Is notified of responses and failures.
            schedule: Replaces the default schedule.
            list_limits: Limits on each response.
        """
        self._address = address
        self._observer = observer
        self._slots = InstanceSlots(schedule or _DEFAULT_SCHEDULE, settings.instance_index)
        self._list_limits = list_limits
        self._is_pushed = settings.discovery_mode is DiscoveryMode.PUSHED
        self.apply_settings(settings)
        self.has_endpoint_list = bool(cached.endpoints)
        self._list = EndpointListState(cached)
        self._calls = OutstandingCalls(self._slots.schedule, self)
        self._fault: str | None = None  # the cause that was reported last; None once a call has succeeded
        # Set once discovery has responded, or has refused a connection: one that is down announces nothing.
        self.settled = asyncio.Event()
        self._is_response_due = False  # whether the next response is reported even if it has no change
        self._is_subscribed = self._is_pushed
        self._watch: EndpointWatch | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self._refresh_call: DiscoveryCall | None = None

    @property
    def address(self) -> Address:
        """Where discovery listens."""
        return self._address

    @property
    def version(self) -> int | None:
        """The version of the list in force; None if it is that of another discovery server."""
        return self._list.version

    def is_newer(self, version: int) -> bool:
        """Returns whether this version of a list is newer than the one in force; False if that is unknown."""
        return self._list.is_newer(version)

    def accept_list(self, response: DiscoveryResponse) -> bool:
        """Makes a complete list that this client has not received itself the one in force, if it is newer.

        Returns:
            Whether it is newer; the caller then applies it.
        """
        if not self._list.is_newer(response.version):
            return False
        self._list.apply_from_sibling(response)
        self.has_endpoint_list = True
        return True

    def apply_settings(self, settings: Settings) -> None:
        """Uses the intervals of these settings from the next call on."""
        self.intervals = (
            PollIntervals.for_pushed_lists(settings.rules.drain_grace_us)
            if self._is_pushed
            else PollIntervals.for_polled_lists(self._slots.schedule, settings.rules.max_poll_interval_us)
        )

    def start(self) -> None:
        """Starts the watch where lists are pushed, since `subscribe` has no effect there."""
        if self._is_pushed and self._watch is None:  # a reload may have started it already
            self._start_watch()

    def subscribe(self) -> None:
        """Watches the list from now on; without effect where lists are pushed, since it is always watched.

        A watch whose initial response is pending continues as it is.  A new call would lose the place in
        discovery's request queue, and if calls were replaced repeatedly while discovery is slow, none of them
        would have a response.
        """
        if self._is_pushed:
            return
        self._is_subscribed = True
        if self._watch is not None and not self._watch.has_ended:
            if self._watch.is_initial_response_pending:
                return
            self._watch.task.cancel()
        self._start_watch()

    def unsubscribe(self) -> None:
        """Stops watching the list; without effect where lists are pushed.

        What is announced to a call that is outstanding is still applied.
        """
        if self._is_pushed:
            return
        self._is_subscribed = False
        if self._watch is not None:
            self._watch.task.cancel()
            self._watch = None

    def fetch(self) -> None:
        """Requests the complete list once; reports a failure instead where too many calls are in flight."""
        if not self._calls.has_capacity:
            asyncio.get_running_loop().call_soon(self._observer.call_failed)
            return
        task = asyncio.create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def change_address(self, address: Address) -> None:
        """Calls discovery at another address from now on.

        Fetches in flight are repeated at the new address, and no failure at the previous one is reported.
        Versions of two discovery servers cannot be compared, so the first call requests the complete list,
        and its response is applied whatever was known before.  Calls to the previous address go on until it
        ends them: what it has written to them counts as announced.
        """
        self._address = address
        self._list.change_source()
        fetch_count = len(self._fetches)
        for task in list(self._fetches):
            task.cancel()
        self._fetches.clear()
        if self._watch is not None:
            self._watch.task.cancel()
            self._watch = None
        if self._is_subscribed:
            self._start_watch()
        for _ in range(fetch_count):
            self.fetch()

    async def read_arrived_responses(self) -> None:
        """Applies the responses that have arrived; to be called before `close`."""
        await self._calls.read_arrived()

    def close(self) -> None:
        """Ends all calls."""
        if self._watch is not None:
            self._watch.task.cancel()
        for task in self._fetches:
            task.cancel()
        self._calls.close()

    def _start_watch(self) -> None:
        self._is_response_due = True
        self._watch = EndpointWatch(self, self._slots)

    def _new_connection(self) -> DiscoveryConnection:
        return DiscoveryConnection(
            self._address, self.intervals.connect_timeout_s, self._slots.schedule, self._list_limits
        )

    async def _fetch(self) -> None:
        call = self._start_complete_call(CallKind.FETCH)
        try:
            await call.result
        except DiscoveryError as error:
            self._report_fault(error)
            self._observer.call_failed()
        finally:
            self.detach_call(call)

    def _refresh(self) -> None:
        """Requests the complete list beside the calls of the watch, unless that is being done."""
        refresh = self._refresh_call
        is_refreshing = (
            refresh is not None
            and self._calls.is_outstanding(refresh)
            and self._list.is_of_current_source(refresh.origin)
        )
        if not is_refreshing and self._calls.has_capacity:
            self._refresh_call = self._start_complete_call(CallKind.REFRESH)
            self.detach_call(self._refresh_call)

    def _start_complete_call(self, kind: CallKind) -> DiscoveryCall:
        return self._calls.start(kind, self._list.start_call(), self._new_connection())

    # Implementation of `WatchOwner`, called by the watch

    def start_call(
        self, kind: CallKind, connection: DiscoveryConnection | None, wait_ms: int
    ) -> DiscoveryCall:
        """Starts a call for the changes since the known version."""
        return self._calls.start(kind, self._list.start_call(), connection or self._new_connection(), wait_ms)

    def detach_call(self, call: DiscoveryCall) -> None:
        """Ends the wait for a call; the call itself goes on."""
        self._calls.detach(call)

    def watch_failed(self, error: DiscoveryError) -> None:
        """Reports the cause and, where lists are polled, the failed call, whose end the observer awaits."""
        self._is_response_due = True
        self._report_fault(error)
        if not self._is_pushed:
            self._observer.call_failed()

    def _report_fault(self, error: DiscoveryError) -> None:
        if isinstance(error, DiscoveryDownError):
            self.settled.set()
        if str(error) != self._fault:
            self._fault = str(error)
            self._observer.fault_changed(self._fault)

    # Implementation of `CallObserver`, called for the response to each call

    def call_responded(self, call: DiscoveryCall, response: DiscoveryResponse) -> None:
        """Applies the response, as far as it is newer than the list in force."""
        self.settled.set()
        is_due = call.kind is CallKind.FETCH
        if self._list.is_of_current_source(call.origin):
            is_due = is_due or self._is_response_due
            self._is_response_due = False
            self._fault = None
        has_changes = response.is_complete or bool(response.endpoints)
        match self._list.judge(call.origin, response):
            case Verdict.APPLY:
                applied = self._list.apply(call.origin, response)
                self._list_applied(call, applied, is_reported=has_changes or is_due)
            case Verdict.APPLY_RESTARTED:
                applied = self._list.apply_restarted(call.origin, response)
                self._list_applied(call, applied, is_reported=True)
            case Verdict.WITHDRAW if endpoints := self._list.withdraw(call.origin, response):
                withdrawal = response._replace(
                    version=self._list.version_in_force, is_complete=False, endpoints=endpoints
                )
                self._list_applied(call, withdrawal, is_reported=True)
            case verdict:
                self._list_discarded(response, verdict, is_logged=has_changes)
                if is_due:
                    self._report_unchanged()
        if self._list.needs_complete_list:
            self._refresh()

    def call_ended(self, event: CallEnded) -> None:
        """Reports the end of a call that this process has ended."""
        self._observer.event_occurred(event)

    def _list_applied(self, call: DiscoveryCall, response: DiscoveryResponse, *, is_reported: bool) -> None:
        self.has_endpoint_list = True
        if not is_reported:
            return
        if response.is_complete or response.endpoints:
            call_age_s = asyncio.get_running_loop().time() - call.started_at
            change_count = len(response.endpoints)
            self._observer.event_occurred(ListApplied(response.version, change_count, call.kind, call_age_s))
        self._observer.endpoints_received(response)

    def _list_discarded(self, response: DiscoveryResponse, verdict: Verdict, *, is_logged: bool) -> None:
        if is_logged:
            self._observer.event_occurred(
                ListDiscarded(response.version, self._list.version_in_force, _DISCARD_REASONS[verdict])
            )

    def _report_unchanged(self) -> None:
        self._observer.endpoints_received(
            DiscoveryResponse(self._list.version_in_force, is_complete=False, endpoints=())
        )
