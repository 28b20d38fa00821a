"""The client of the discovery service: watches the endpoint list, and fetches all of it on demand.

A call is one HTTP request to discovery.  A watch is a series of calls that each wait for changes of the list.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tulipnotch.load_balancing.settings import DiscoveryMode, Settings
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryConnection
from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryError,
    DiscoveryResponse,
    EndpointListLimits,
)
from tulipnotch.sidecar.discovery.poll_schedule import MAX_CALLS_IN_FLIGHT, PollIntervals, PollSchedule
from tulipnotch.sidecar.discovery.watch import DiscoveryCall, EndpointWatch, InstanceSlots

_DEFAULT_SCHEDULE = PollSchedule()
_DEFAULT_LIST_LIMITS = EndpointListLimits.for_memory(memory_mb=64)


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


class DiscoveryClient:
    """Watches and fetches the endpoint list.

    Each `subscribe` and each `fetch` is followed by one notification of the observer.

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
        self._version: int | None = cached.version
        self._revision = 0  # counts applied responses and changes of the address
        self._fault: str | None = None  # the cause that was reported last; None once a call has succeeded
        self.first_call_ended = asyncio.Event()  # set when a call has a response or has failed
        self._is_subscribed = self._is_pushed
        self._watch: EndpointWatch | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()  # the tasks of all fetches and of all watches

    @property
    def address(self) -> Address:
        """Where discovery listens."""
        return self._address

    @property
    def version(self) -> int | None:
        """The version of the list in force; None if it is that of another discovery server."""
        return self._version

    def is_newer(self, version: int) -> bool:
        """Returns whether this version of a list is newer than the one in force; False if that is unknown."""
        return self._version is not None and version > self._version

    def accept_version(self, version: int) -> bool:
        """Makes a list that this client has not received itself the one in force, if it is newer.

        Returns:
            Whether it is newer; the caller then applies it.
        """
        if not self.is_newer(version):
            return False
        self._version = version
        self._revision += 1
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
        """Stops watching the list; without effect where lists are pushed."""
        if self._is_pushed:
            return
        self._is_subscribed = False
        if self._watch is not None:
            self._watch.task.cancel()
            self._watch = None

    def fetch(self) -> None:
        """Requests the complete list once; reports a failure instead where too many calls are in flight."""
        if len(self._tasks) >= MAX_CALLS_IN_FLIGHT:
            asyncio.get_running_loop().call_soon(self._observer.call_failed)
            return
        task = asyncio.create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)
        self._track_task(task)

    def change_address(self, address: Address) -> None:
        """Calls discovery at another address from now on, and cancels all calls to the previous one.

        Fetches in flight are repeated at the new address, and no failure at the previous one is reported.
        Versions of two discovery servers cannot be compared, so the first call requests the complete list,
        and its response is applied whatever was known before.
        """
        self._address = address
        self._version = None
        self._revision += 1
        fetch_count = len(self._fetches)
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()
        self._fetches.clear()
        self._watch = None
        if self._is_subscribed:
            self._start_watch()
        for _ in range(fetch_count):
            self.fetch()

    def close(self) -> None:
        """Cancels all calls."""
        for task in self._tasks:
            task.cancel()

    def _start_watch(self) -> None:
        self._watch = EndpointWatch(self, self._slots)
        self._track_task(self._watch.task)

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_connection(self) -> DiscoveryConnection:
        return DiscoveryConnection(
            self._address, self.intervals.connect_timeout_s, self._slots.schedule, self._list_limits
        )

    async def _fetch(self) -> None:
        connection, revision = self._new_connection(), self._revision
        try:
            response = await connection.call(None, 0)
        except DiscoveryError as error:
            self._report_fault(error)
            self._observer.call_failed()
        else:
            self._apply_response(response, revision)
        finally:
            connection.close()

    # Implementation of `WatchOwner`, called by the watch

    def start_call(self, connection: DiscoveryConnection | None, wait_ms: int) -> DiscoveryCall:
        """Starts a call for the changes since the known version."""
        if connection is None:
            connection = self._new_connection()
        task = asyncio.create_task(connection.call(self._version, wait_ms))
        return DiscoveryCall(connection, self._revision, task)

    def watch_responded(self, call: DiscoveryCall, response: DiscoveryResponse, *, is_update: bool) -> None:
        """Applies an update; any response ends the fault that was reported."""
        if is_update:
            self._apply_response(response, call.revision)
        self._fault = None

    def watch_failed(self, error: DiscoveryError) -> None:
        """Reports the cause and, where lists are polled, the failed call, whose end the observer awaits."""
        self._report_fault(error)
        if not self._is_pushed:
            self._observer.call_failed()

    def _report_fault(self, error: DiscoveryError) -> None:
        self.first_call_ended.set()
        if str(error) != self._fault:
            self._fault = str(error)
            self._observer.fault_changed(self._fault)

    def _apply_response(self, response: DiscoveryResponse, revision: int) -> None:
        """Applies the response to a call that started at this revision, unless its list is stale.

        A fetch and a watch run concurrently, and the call that started first may end last.  If another
        response was applied since the call started, a lower version is stale and must not replace the newer
        list.  If none was, the lower version is from a discovery server that was restarted and counts its
        versions from the start again.
        """
        if revision != self._revision and self._version is not None and response.version < self._version:
            response = DiscoveryResponse(self._version, is_complete=False, endpoints=())
        else:
            self._version = response.version
            self._revision += 1
        self._fault = None
        self.has_endpoint_list = True
        self.first_call_ended.set()
        self._observer.endpoints_received(response)
