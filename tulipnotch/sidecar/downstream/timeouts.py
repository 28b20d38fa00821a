"""Periodic check that closes the connections of clients that exceed a timeout."""

from __future__ import annotations

import asyncio

from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection_state import ConnectionState
from tulipnotch.sidecar.downstream.connection_table import ConnectionTable
from tulipnotch.sidecar.requests.invariants import CloseReason


class TimeoutSweep:
    """Checks all connections every `ClientLimits.sweep_s` seconds, since each open one holds a descriptor.

    While the sidecar is draining, idle connections are closed after a short time, but not at once: an active
    client gets a response to its next request, and that response announces that the connection closes.
    """

    def __init__(self, connections: ConnectionTable, limits: ClientLimits, lifecycle: Lifecycle) -> None:
        """Creates a sweep that checks nothing until `start` is called."""
        self._connections = connections
        self._limits = limits
        self._lifecycle = lifecycle
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedules the next check, which schedules the one after it."""
        self._timer = asyncio.get_running_loop().call_later(self._limits.sweep_s, self._sweep_and_reschedule)

    def stop(self) -> None:
        """Cancels the next check."""
        if self._timer is not None:
            self._timer.cancel()

    def _sweep_and_reschedule(self) -> None:
        self.sweep()
        self.start()

    def sweep(self) -> None:
        """Closes every connection that has exceeded a timeout of its state."""
        now = asyncio.get_running_loop().time()
        self._sweep_connected(now)
        self._sweep_reading(now)
        self._sweep_streaming(now)
        self._sweep_awaiting_response(now)
        self._sweep_idle(now)
        self._sweep_closing(now)

    def _sweep_connected(self, now: float) -> None:
        limits = self._limits
        idle_s = limits.leaving_s if self._lifecycle.is_draining else limits.idle_timeout_s
        timeout_s = min(limits.header_timeout_s, idle_s)
        for connection in self._connections.connections_in_state(ConnectionState.CONNECTED):
            if now - connection.state_since >= timeout_s and connection.can_close_safely:
                connection.close(CloseReason.NO_REQUEST)

    def _sweep_reading(self, now: float) -> None:
        for connection in self._connections.connections_in_state(ConnectionState.READING):
            if connection.has_request_head:
                is_timed_out = connection.is_request_stalled(now, self._limits)
            else:
                is_timed_out = now - connection.state_since >= self._limits.header_timeout_s
            if is_timed_out:
                connection.reject(408)

    def _sweep_streaming(self, now: float) -> None:
        for connection in self._connections.connections_in_state(ConnectionState.STREAMING_BODY):
            if connection.is_request_stalled(now, self._limits):
                connection.abandon_request(408)
            elif connection.is_upload_timed_out(now, self._limits):
                connection.time_out_upload()
            elif connection.is_reading_paused:
                connection.abort_if_disconnected()

    def _sweep_awaiting_response(self, now: float) -> None:
        for connection in self._connections.connections_in_state(ConnectionState.AWAITING_RESPONSE):
            if connection.is_response_stalled(now, self._limits):
                connection.abort(CloseReason.RESPONSE_UNREAD)
            elif connection.is_reading_paused:
                connection.abort_if_disconnected()

    def _sweep_idle(self, now: float) -> None:
        limits = self._limits
        timeout_s = limits.idle_timeout_s
        if self._lifecycle.is_draining:
            timeout_s = min(limits.leaving_s, timeout_s)
        for connection in self._connections.connections_in_state(ConnectionState.IDLE):
            if now - connection.state_since < timeout_s:
                break  # those after it have been idle for less time
            # If it cannot be closed safely, its response is still being sent, or a further request arrived.
            if connection.can_close_safely:
                connection.close(CloseReason.IDLE)
            elif connection.is_response_stalled(now, self._limits):
                connection.abort(CloseReason.RESPONSE_UNREAD)

    def _sweep_closing(self, now: float) -> None:
        for connection in self._connections.connections_in_state(ConnectionState.CLOSING):
            if connection.has_unsent_output:
                connection.state_since = now  # the linger time starts once everything is sent
                if connection.is_response_stalled(now, self._limits):
                    connection.abort(CloseReason.RESPONSE_UNREAD)
            elif now - connection.state_since >= self._limits.linger_s:
                connection.abort(CloseReason.LINGER_TIMEOUT)
