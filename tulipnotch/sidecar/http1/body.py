"""The body of a request: its first part buffered for retries, the rest streamed."""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 64 << 10  # bytes of a body that are buffered; a longer one is streamed
MAX_BODY_BYTES = 32 << 20  # bytes of the longest body that is accepted


class Body:
    """A request's body, while it is received and afterwards.

    The first part is buffered, so that an attempt can be repeated.  Anything beyond it is streamed: it is
    pending until it is removed, once, and from then on the body cannot be written again.

    Each of the three hooks has one owner, which sets it and resets it to None:

    Attributes:
        buffered: The part that every attempt begins with.
        size: Bytes received so far, buffered or not.
        is_complete: Whether the last byte was received.
        is_replayable: Whether nothing was removed yet, so that a further attempt can write all of the body.
        on_data: Called by `feed` and `complete`, for the connection that writes the body to a server.
        on_consumed: Called by `pop_pending`, for the client's connection, which may read on.
        on_complete: Called by `complete`, before `on_data`, for the owner of the open request.
    """

    __slots__ = (
        "_pending",
        "buffered",
        "is_complete",
        "is_replayable",
        "on_complete",
        "on_consumed",
        "on_data",
        "size",
    )

    def __init__(self, data: bytes = b"", *, is_complete: bool = True) -> None:
        """Begin with `data` as the buffered part."""
        self.buffered = bytearray(data)
        self.size = len(data)
        self.is_complete = is_complete
        self.is_replayable = True
        self._pending = bytearray()
        self.on_data: Callable[[], None] | None = None
        self.on_consumed: Callable[[], None] | None = None
        self.on_complete: Callable[[], None] | None = None

    @property
    def pending_bytes(self) -> int:
        """Bytes beyond the buffered part that were received and not removed yet."""
        return len(self._pending)

    @property
    def is_streamed(self) -> bool:
        """Whether the body is longer than its buffered part."""
        return self.size > len(self.buffered)

    def feed(self, data: bytes) -> None:
        """Add bytes that were received."""
        fits = not self.is_streamed and self.size + len(data) <= MAX_BUFFERED_BODY_BYTES
        self.size += len(data)
        (self.buffered if fits else self._pending).extend(data)
        if self.on_data is not None:
            self.on_data()

    def complete(self) -> None:
        """Mark the last byte as received."""
        self.is_complete = True
        for hook in (self.on_complete, self.on_data):
            if hook is not None:
                hook()

    def pop_pending(self, *, except_last: int = 0) -> bytes:
        """Remove and return the pending bytes, but for the last `except_last` of them."""
        if len(self._pending) <= except_last:
            return b""
        removed = bytes(self._pending[: len(self._pending) - except_last])
        del self._pending[: len(removed)]
        self.is_replayable = False
        if self.on_consumed is not None:
            self.on_consumed()
        return removed

    def detach(self) -> None:
        """Reset all hooks."""
        self.on_data = self.on_consumed = self.on_complete = None
