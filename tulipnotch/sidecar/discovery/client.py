"""The client of discovery: what is known of the endpoint list, its watch, and fetches of all of it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from tulipnotch.load_balancing.settings import DiscoveryMode, Settings
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryConnection
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryError, DiscoveryResponse
from tulipnotch.sidecar.discovery.poll_schedule import MAX_CALLS, PollIntervals, PollSchedule
from tulipnotch.sidecar.discovery.watch import DiscoveryCall, EndpointWatch, InstanceSlots

_SCHEDULE = PollSchedule()


class DiscoveryObserver(Protocol):
    """Whoever uses the endpoint list."""

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        """A subscription or a fetch has its response, or a watch event came."""
        ...

    def call_failed(self) -> None:
        """A subscription or a fetch has no response; where lists are pushed, a fetch only."""
        ...

    def fault_changed(self, fault: str) -> None:
        """There is no list for this cause; reported once for each cause until there is one."""
        ...


class DiscoveryClient:
    """Calls discovery.  Each `subscribe` and each `fetch` is followed by one notification of the observer.

    While the list is watched, calls begin `PollSchedule.call_interval_s` apart at most, whatever became of
    the one before: `subscribe` may bring the next one forward, and need not be called a second time.
    """

    def __init__(
        self,
        address: Address,
        settings: Settings,
        known: DiscoveryResponse,
        observer: DiscoveryObserver,
        schedule: PollSchedule | None = None,
    ) -> None:
        """Make no call yet.

        Args:
            address: Where discovery listens.
            settings: They say whether lists are pushed, which is fixed from then on, and give the intervals.
            known: The endpoint list from before the start.
            observer: Is notified of responses and failures.
            schedule: Replaces the usual one.
        """
        self._address = address
        self._observer = observer
        self._slots = InstanceSlots(schedule or _SCHEDULE, settings.instance_index)
        self._is_pushed = settings.discovery_mode is DiscoveryMode.PUSHED
        self.apply_settings(settings)
        self.has_endpoint_list = bool(known.endpoints)
        self._version: int | None = known.version
        self._revision = 0  # counts the changes of what is known
        self._fault: str | None = None  # what was reported last, while there is no list
        self.first_call_ended = asyncio.Event()  # with a response or a failure
        self._is_subscribed = self._is_pushed
        self._watch: EndpointWatch | None = None
        self._fetches: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()  # those of the fetches and of all watches

    def apply_settings(self, settings: Settings) -> None:
        """Use the intervals of these settings from the next call on."""
        self.intervals = (
            PollIntervals.when_pushed(settings.rules.drain_grace_us)
            if self._is_pushed
            else PollIntervals.when_polled(self._slots.schedule, settings.rules.max_poll_interval_us)
        )

    def start(self) -> None:
        """Begin to watch where lists are pushed, since there nobody subscribes."""
        if self._is_pushed and self._watch is None:  # a reload may have begun it
            self._start_watch()

    def subscribe(self) -> None:
        """Watch the list from now on; without effect where lists are pushed, since it always is there.

        A watch whose response is pending goes on as it is.  A new call would give up the place in discovery's
        queue, and calls that are replaced again and again while discovery is slow would have no response.
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
        """Watch the list no longer; without effect where lists are pushed."""
        if self._is_pushed:
            return
        self._is_subscribed = False
        if self._watch is not None:
            self._watch.task.cancel()
            self._watch = None

    def fetch(self) -> None:
        """Call once for the complete list; fails at once where too many calls are in flight."""
        if len(self._tasks) >= MAX_CALLS:
            asyncio.get_running_loop().call_soon(self._observer.call_failed)
            return
        task = asyncio.create_task(self._fetch())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)
        self._own(task)

    def change_address(self, address: Address) -> None:
        """Call discovery at another address from now on, and drop all calls to the old one.

        Fetches in flight are repeated at the new address, and no failure at the old one is reported.  The
        versions of two discovery servers do not compare, so the first call asks for the complete list, and
        its response is used whatever was known.
        """
        self._address = address
        self._version = None
        self._revision += 1
        fetches = len(self._fetches)
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()
        self._fetches.clear()
        self._watch = None
        if self._is_subscribed:
            self._start_watch()
        for _ in range(fetches):
            self.fetch()

    def close(self) -> None:
        """Cancel all calls."""
        for task in self._tasks:
            task.cancel()

    def _start_watch(self) -> None:
        self._watch = EndpointWatch(self, self._slots)
        self._own(self._watch.task)

    def _own(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_connection(self) -> DiscoveryConnection:
        return DiscoveryConnection(self._address, self.intervals.connect_timeout_s, self._slots.schedule)

    async def _fetch(self) -> None:
        connection, revision = self._new_connection(), self._revision
        try:
            response = await connection.call(None, 0)
        except DiscoveryError as error:
            self._report(error)
            self._observer.call_failed()
        else:
            self._received(response, revision)
        finally:
            connection.close()

    # What the watch calls (`WatchOwner`)

    def start_call(self, connection: DiscoveryConnection | None, wait_ms: int) -> DiscoveryCall:
        """Start a call for what changed since the known version."""
        if connection is None:
            connection = self._new_connection()
        task = asyncio.create_task(connection.call(self._version, wait_ms))
        return DiscoveryCall(connection, self._revision, task)

    def watch_responded(self, call: DiscoveryCall, response: DiscoveryResponse, *, is_update: bool) -> None:
        """Apply an update; any response ends the fault that was reported."""
        if is_update:
            self._received(response, call.revision)
        self._fault = None

    def watch_failed(self, error: DiscoveryError) -> None:
        """Report the fault; where lists are pushed, the observer does not wait for the call."""
        self._report(error)
        if not self._is_pushed:
            self._observer.call_failed()

    def _report(self, error: DiscoveryError) -> None:
        self.first_call_ended.set()
        if str(error) != self._fault:
            self._fault = str(error)
            self._observer.fault_changed(self._fault)

    def _received(self, response: DiscoveryResponse, revision: int) -> None:
        """Apply the response to a call that began at this revision.

        A fetch and a watch run concurrently, and the one that began first may end last: its list is stale and
        must not replace the newer one.  A lower version without that is that of a discovery server that was
        started anew.
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
