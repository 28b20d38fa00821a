"""Reading from one client: pauses, and for how long its client or its server has made no progress."""

from __future__ import annotations

import asyncio
import select

from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.transfer_progress import TransferProgress
from tulipnotch.sidecar.downstream.upload_backpressure import UploadBackpressure
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.sockets import (
    has_unread_input,
    is_peer_closed,
    max_send_buffer_bytes,
    register_for_input,
    unread_bytes,
)

# Unread bytes up to which the system certainly has all that the client has sent, and its end if it left: a
# receive buffer of default size has room for more.
_MAX_VISIBLE_BYTES = 16 << 10


class ClientInput:
    """The receiving direction of a client's connection; `progress` is also that of its responses."""

    __slots__ = (
        "_backpressure",
        "_input_poll",
        "_is_held",
        "_request",
        "_transport",
        "is_end_hidden",
        "is_paused",
        "progress",
    )

    def __init__(self) -> None:
        """Starts without a transport; nothing is read before `connect`."""
        self._transport: asyncio.Transport | None = None
        self._input_poll = select.poll()
        # Both are set while the body of a request is streamed to its server.
        self._request: Request | None = None
        self._backpressure: UploadBackpressure | None = None
        self._is_held = False
        self.is_end_hidden = False
        self.is_paused = False
        self.progress = TransferProgress()

    def connect(self, transport: asyncio.Transport) -> None:
        """Reads from this transport, which the event loop has started to do."""
        self._transport = transport
        register_for_input(self._input_poll, transport)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket has unread bytes, which may complete a request, or an unread end of stream."""
        return has_unread_input(self._input_poll)

    @property
    def is_client_closed(self) -> bool:
        """Whether the client has closed the connection; bytes before its end may be unread."""
        return is_peer_closed(self._input_poll)

    def may_hide_disconnect(self, *, is_pipelined: bool) -> bool:
        """Returns whether the end of the connection may not have arrived, behind what is unread.

        It may if much is unread behind a pipelined request.  From then on it may whatever is unread, since
        the client's system can hold more, which arrives as the sidecar reads.
        """
        transport = self._open_transport
        if is_pipelined and transport is not None and (unread_bytes(transport) or 0) > _MAX_VISIBLE_BYTES:
            self.is_end_hidden = True
        return self.is_end_hidden

    def pause(self) -> None:
        """Stops reading until `resume`."""
        self.is_paused = True
        if (transport := self._open_transport) is not None:
            transport.pause_reading()

    def resume(self) -> None:
        """Continues reading; the time of the pause is not the client's."""
        if self.is_paused:
            self.is_paused = False
            self.progress.restart(asyncio.get_running_loop().time())
        if not self._is_held and (transport := self._open_transport) is not None:
            transport.resume_reading()

    def hold(self) -> None:
        """Stops reading for a few iterations of the event loop, until `release`; this is no pause."""
        self._is_held = True
        if (transport := self._open_transport) is not None:
            transport.pause_reading()

    def release(self) -> None:
        """Continues reading after `hold`, unless it is paused."""
        if not self._is_held:
            return
        self._is_held = False
        if not self.is_paused and (transport := self._open_transport) is not None:
            transport.resume_reading()

    @property
    def _open_transport(self) -> asyncio.Transport | None:
        transport = self._transport
        return None if transport is None or transport.is_closing() else transport

    def is_request_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Returns whether the client has stopped sending its request, or sends it too slowly."""
        if self.is_paused:  # the server, not the client, is the slow side
            self.progress.restart(now)
            return False
        return self.progress.is_stalled(now, limits)

    # Bodies that are streamed to a server

    def upload_started(self, request: Request, timeout_s: float) -> None:
        """Counts the client's timeout from when it may have written the last byte of this request's body."""
        self._request = request
        self._backpressure = UploadBackpressure(timeout_s)

    def upload_ended(self) -> None:
        """Ends the counting, as the request has its response."""
        self._request = self._backpressure = None

    def upload_received(self) -> None:
        """Records that a part of the body was read."""
        backpressure = self._backpressure
        if backpressure is not None and backpressure.is_pending and not self.has_unread_bytes:
            backpressure.input_drained()

    def pause_upload(self) -> None:
        """Stops reading until `resume`, because the server accepts no more of the body."""
        if self._backpressure is not None:
            self._backpressure.reading_paused(asyncio.get_running_loop().time())
        self.pause()

    @property
    def upload_wait_s(self) -> float:
        """How long, at most, the last byte of the body has been written and unread (s)."""
        backpressure = self._backpressure
        return 0.0 if backpressure is None else backpressure.waited_s(asyncio.get_running_loop().time())

    def is_upload_timed_out(self, now: float, limits: ClientLimits) -> bool:
        """Returns whether the client's timeout may pass before the next check, with its body not read."""
        backpressure = self._backpressure
        if backpressure is None or not backpressure.is_pending:
            return False
        if self._is_client_sending():
            backpressure.last_byte_not_sent(now)
        return backpressure.is_timed_out(now + limits.sweep_s)

    def _is_client_sending(self) -> bool:
        """Returns whether the client has certainly not written the last byte of its body.

        What it has written and the sidecar has not read is in buffers of the system, whose size is limited.
        """
        request, transport, max_unsent = self._request, self._open_transport, max_send_buffer_bytes()
        if request is None or request.length is None or transport is None or max_unsent is None:
            return False
        unread = unread_bytes(transport)
        return unread is not None and request.length - request.body.size - unread > max_unsent
