"""What is still to be written of a request; no sockets."""

from __future__ import annotations

from collections.abc import Callable

from tulipnotch.sidecar.http1.messages import Request


class UnwrittenRequest:
    """The part of a request that was not written yet, in the order in which it is to be written.

    A server may begin to execute a request with its last byte.  So what is removed while the body is
    incomplete never contains the last byte that was received of it: that byte may turn out to be the
    request's last.
    """

    __slots__ = ("_has_end", "_remainder", "_request")

    def __init__(self, request: Request, on_data: Callable[[], None]) -> None:
        """Begin with the head; `on_data` is called when more of the body is received, until `detach`."""
        self._request = request
        self._remainder = request.encode_head_and_buffered_body()
        self._has_end = False  # whether the remainder is all that is left
        request.body.on_data = on_data

    @property
    def is_body_complete(self) -> bool:
        """Whether the last byte of the body was received."""
        return self._request.body.is_complete

    def pop_available(self) -> bytes:
        """Remove and return what may be written of an incomplete request."""
        request = self._request
        available = self._remainder + request.encode_body_part(request.body.pop_pending(except_last=1))
        self._remainder = b""
        return available

    def remainder(self) -> bytes:
        """Return all that is left of a complete request."""
        if not self._has_end:
            request = self._request
            self._remainder += request.encode_body_part(request.body.pop_pending()) + request.body_terminator
            self._has_end = True
        return self._remainder

    def written(self, count: int) -> None:
        """Remove the first `count` bytes of the remainder, which were written."""
        self._remainder = self._remainder[count:]

    def pop_all_but_last_byte(self) -> bytes:
        """Remove and return the remainder without its last byte."""
        removed, self._remainder = self._remainder[:-1], self._remainder[-1:]
        return removed

    def detach(self, on_data: Callable[[], None]) -> None:
        """Call `on_data` no more, unless the body has another hook by now."""
        if self._request.body.on_data == on_data:
            self._request.body.on_data = None
