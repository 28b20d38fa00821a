"""The calls to discovery that have no response yet: the one owner of all of them.

Whatever discovery has written to a call counts as announced, whether or not anybody still waits for the
call.  So a call that was outrun by another one, has timed out or was replaced is not cancelled but detached:
its caller goes on, and the call ends when discovery responds or closes its connection.  Only a call without
any byte of a response is ended here: long after its timeout, or if too many calls are outstanding.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tulipnotch.sidecar.discovery.call_events import CallEnded, CallKind, EndReason
from tulipnotch.sidecar.discovery.discovery_connection import DiscoveryCallError, DiscoveryConnection
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryError, DiscoveryResponse
from tulipnotch.sidecar.discovery.list_state import CallOrigin
from tulipnotch.sidecar.discovery.poll_schedule import MAX_CALLS_IN_FLIGHT, PollSchedule

# Interval at which a call that was due to be ended is looked at again, while its response arrives.
_RECHECK_INTERVAL_S = 0.05
_FINAL_READ_TIMEOUT_S = 0.05  # longest wait for responses that are incomplete as the process ends
_DELTA_KINDS = (CallKind.WATCH, CallKind.HEDGE)


class DiscoveryCall:
    """One call, and the connection that it uses.

    Attributes:
        kind: Why it was made.
        origin: What was in force when it started.
        connection: Carries the call; its caller may use it again once `result` is set and is not an error.
        started_at: Time of the event loop (s).
        result: For the caller: the response, or the error of a call that failed or has timed out.
        is_detached: Whether nobody waits for `result` any more.
        has_timed_out: Whether the response is later than the caller may wait for it.
    """

    __slots__ = (
        "connection",
        "has_timed_out",
        "is_detached",
        "kind",
        "origin",
        "result",
        "started_at",
        "task",
        "timer",
    )

    def __init__(self, kind: CallKind, origin: CallOrigin, connection: DiscoveryConnection) -> None:
        """Describes a call that starts now; `OutstandingCalls` sets its task and its timer."""
        loop = asyncio.get_running_loop()
        self.kind = kind
        self.origin = origin
        self.connection = connection
        self.started_at = loop.time()
        self.result: asyncio.Future[DiscoveryResponse] = loop.create_future()
        self.is_detached = False
        self.has_timed_out = False
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None


class CallObserver(Protocol):
    """Is notified of the responses to all calls, also of those that are detached."""

    def call_responded(self, call: DiscoveryCall, response: DiscoveryResponse) -> None:
        """Handles a response, before the caller has it."""
        ...

    def call_ended(self, event: CallEnded) -> None:
        """Handles the end of a call that this process has ended."""
        ...


class OutstandingCalls:
    """Starts calls, and owns each of them until discovery has ended it."""

    def __init__(self, schedule: PollSchedule, observer: CallObserver) -> None:
        """Has no call."""
        self._schedule = schedule
        self._observer = observer
        self._calls: dict[DiscoveryCall, None] = {}  # in the order in which they started

    @property
    def has_capacity(self) -> bool:
        """Whether a further call may be started without exceeding the limit."""
        return len(self._calls) < MAX_CALLS_IN_FLIGHT or any(each.is_detached for each in self._calls)

    def start(
        self, kind: CallKind, origin: CallOrigin, connection: DiscoveryConnection, wait_ms: int = 0
    ) -> DiscoveryCall:
        """Starts a call; `wait_ms` is how long discovery may wait for a change before it responds.

        A watch and the calls beside it request the changes since the version in force, all others the
        complete list.
        """
        self._make_room()
        call = DiscoveryCall(kind, origin, connection)
        self._calls[call] = None
        call.task = asyncio.create_task(self._run(call, wait_ms))
        timeout_s = self._schedule.timeout_s(wait_ms)
        call.timer = asyncio.get_running_loop().call_later(timeout_s, self._time_out, call)
        return call

    def is_outstanding(self, call: DiscoveryCall) -> bool:
        """Returns whether a call may still get its response."""
        return call in self._calls

    def detach(self, call: DiscoveryCall) -> None:
        """Ends the wait of the caller; the call itself goes on until discovery ends it."""
        call.is_detached = True
        if not call.result.done():
            call.result.cancel()
        elif not call.result.cancelled():
            call.result.exception()  # marks it as retrieved
        if call not in self._calls:
            call.connection.close()

    async def read_arrived(self) -> None:
        """Reads the responses that have arrived, and waits a short time for the rest of an incomplete one."""
        arrived = [
            each.task for each in self._calls if each.task is not None and each.connection.has_response_bytes
        ]
        if arrived:
            await asyncio.wait(arrived, timeout=_FINAL_READ_TIMEOUT_S)

    def close(self) -> None:
        """Ends all calls."""
        for call in list(self._calls):
            self._end(call, EndReason.SHUTDOWN)

    async def _run(self, call: DiscoveryCall, wait_ms: int) -> None:
        error: DiscoveryError | None = None
        after_version = call.origin.version if call.kind in _DELTA_KINDS else None
        try:
            response = await call.connection.call(after_version, wait_ms)
        except DiscoveryError as failure:
            error = failure
        finally:
            self._forget(call)
        if error is None:
            self._observer.call_responded(call, response)
        if call.is_detached or error is not None:
            call.connection.close()
        if call.result.done():
            return
        if error is None:
            call.result.set_result(response)
        else:
            call.result.set_exception(error)

    def _time_out(self, call: DiscoveryCall) -> None:
        """Ends the wait of the caller; the call has some more time."""
        call.has_timed_out = True
        if not call.result.done():
            call.result.set_exception(DiscoveryCallError("no response within the time limit"))
        self._set_timer(call, self._schedule.abandon_delay_s)

    def _abandon(self, call: DiscoveryCall) -> None:
        if call.connection.has_response_bytes:  # a response that stalls ends by itself
            self._set_timer(call, _RECHECK_INTERVAL_S)
        else:
            self._end(call, EndReason.NO_RESPONSE)

    def _set_timer(self, call: DiscoveryCall, delay_s: float) -> None:
        call.timer = asyncio.get_running_loop().call_later(delay_s, self._abandon, call)

    def _make_room(self) -> None:
        """Ends a call that nobody waits for, if there are as many calls as are allowed.

        Of those that have not timed out, the latest is ended: the others are closer to their responses, so
        that calls which are replaced all the time do not keep each other from ever having one.
        """
        if len(self._calls) < MAX_CALLS_IN_FLIGHT:
            return
        candidates = [
            each for each in self._calls if each.is_detached and not each.connection.has_response_bytes
        ]
        if not candidates:
            return  # the responses that are arriving end some calls soon
        timed_out = [each for each in candidates if each.has_timed_out]
        self._end(timed_out[0] if timed_out else candidates[-1], EndReason.TOO_MANY)

    def _end(self, call: DiscoveryCall, reason: EndReason) -> None:
        has_response_bytes = call.connection.has_response_bytes
        self._forget(call)
        if call.task is not None:
            call.task.cancel()
        call.connection.close()
        self._observer.call_ended(CallEnded(call.kind, reason, has_response_bytes))

    def _forget(self, call: DiscoveryCall) -> None:
        self._calls.pop(call, None)
        if call.timer is not None:
            call.timer.cancel()
