"""Tracks the part of a request that is not written yet; does not access sockets."""

from __future__ import annotations

from collections.abc import Callable

from tulipnotch.sidecar.http1.messages import Request


class UnwrittenRequest:
    """Yields the bytes of a request that are not written yet, in the order in which they are written.

    A server may begin to execute a request as soon as it has the last byte.  While the body is incomplete,
    the last byte received of it is therefore held back: it may turn out to be the last byte of the request.
    """

    __slots__ = ("_has_end", "_remainder", "_request")

    def __init__(self, request: Request, on_data: Callable[[], None]) -> None:
        """Starts with the head and the buffered body.

        `on_data` is called when more of the body is received, until `detach` is called.
        """
        self._request = request
        self._remainder = request.encode_head_and_buffered_body()
        self._has_end = False  # whether `_remainder` contains the end of the request
        request.body.on_data = on_data

    @property
    def is_body_complete(self) -> bool:
        """Whether the last byte of the body was received from the client."""
        return self._request.body.is_complete

    def pop_available(self) -> bytes:
        """Removes and returns the bytes of an incomplete request that may be written now."""
        request = self._request
        available = self._remainder + request.encode_body_part(request.body.pop_pending(except_last=1))
        self._remainder = b""
        return available

    def encode_remainder(self) -> bytes:
        """Returns all unwritten bytes of a complete request, without removing them."""
        if not self._has_end:
            request = self._request
            self._remainder += request.encode_body_part(request.body.pop_pending()) + request.body_terminator
            self._has_end = True
        return self._remainder

    def remove_written(self, count: int) -> None:
        """Removes the first `count` bytes of the remainder, which were written."""
        self._remainder = self._remainder[count:]

    def pop_all_but_last_byte(self) -> bytes:
        """Removes and returns the remainder except its last byte."""
        removed, self._remainder = self._remainder[:-1], self._remainder[-1:]
        return removed

    def detach(self, on_data: Callable[[], None]) -> None:
        """Stops the calls of `on_data`, unless the body already calls another hook."""
        if self._request.body.on_data == on_data:
            self._request.body.on_data = None
