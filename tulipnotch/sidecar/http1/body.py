"""Body of a request: the first part is buffered for retries, the rest is streamed."""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 64 << 10  # longest body that is buffered as a whole; a longer one is streamed
MAX_BODY_BYTES = 32 << 20  # longest body that is accepted
# Shorter parts are joined as they are received.  Longer ones are not copied again: many buffers that grow at
# the same time leave gaps in memory.
_MIN_PART_BYTES = 4 << 10


class Body:
    """Body of a request, complete or still being received.

    The first part is buffered, so that further attempts can send it again.  The bytes after it are streamed:
    they are pending until `pop_pending` removes them.  Once any were removed, the body cannot be sent again.

    Each of the three callbacks belongs to one owner, which sets it and resets it to None.

    Attributes:
        size: Number of bytes received so far, buffered or not.
        is_complete: Whether the last byte was received.
        is_replayable: Whether nothing was removed yet, so that a further attempt can send the whole body.
        on_data: Called by `feed` and `complete`; set by the connection that writes the body to a server.
        on_consumed: Called by `pop_pending`; set by the client's connection, which then resumes reading.
        on_complete: Called by `complete`, before `on_data`; set by the owner of the open request.
    """

    __slots__ = (
        "_buffered_bytes",
        "_buffered_parts",
        "_pending",
        "is_complete",
        "is_replayable",
        "on_complete",
        "on_consumed",
        "on_data",
        "size",
    )

    def __init__(self, data: bytes = b"", *, is_complete: bool = True) -> None:
        """Creates a body with `data` as its buffered part."""
        self._buffered_parts = [data] if data else []
        self._buffered_bytes = len(data)
        self.size = len(data)
        self.is_complete = is_complete
        self.is_replayable = True
        self._pending = bytearray()
        self.on_data: Callable[[], None] | None = None
        self.on_consumed: Callable[[], None] | None = None
        self.on_complete: Callable[[], None] | None = None

    @property
    def buffered(self) -> bytes:
        """The part that every attempt starts with; empty once the body cannot be sent again."""
        return b"".join(self._buffered_parts)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes after the buffered part that were received and not removed yet."""
        return len(self._pending)

    @property
    def is_streamed(self) -> bool:
        """Whether the body is longer than its buffered part."""
        return self.size > self._buffered_bytes

    def feed(self, data: bytes) -> None:
        """Adds bytes that were received."""
        capacity = 0 if self.is_streamed else MAX_BUFFERED_BODY_BYTES - self.size
        self.size += len(data)
        self._buffer(data[:capacity])
        self._pending += data[capacity:]
        if self.on_data is not None:
            self.on_data()

    def _buffer(self, part: bytes) -> None:
        """Adds to the buffered part."""
        self._buffered_bytes += len(part)
        if self._buffered_parts and len(self._buffered_parts[-1]) < _MIN_PART_BYTES:
            self._buffered_parts[-1] += part
        elif part:
            self._buffered_parts.append(part)

    def complete(self) -> None:
        """Marks the body as complete: its last byte was received."""
        self.is_complete = True
        for callback in (self.on_complete, self.on_data):
            if callback is not None:
                callback()

    def pop_pending(self, *, except_last: int = 0) -> bytes:
        """Removes and returns the pending bytes, except for the last `except_last` ones."""
        if len(self._pending) <= except_last:
            return b""
        removed = bytes(self._pending[: len(self._pending) - except_last])
        del self._pending[: len(removed)]
        self.is_replayable = False
        self._buffered_parts, self._buffered_bytes = [], 0  # no further attempt sends it
        if self.on_consumed is not None:
            self.on_consumed()
        return removed

    def detach(self) -> None:
        """Resets all callbacks."""
        self.on_data = self.on_consumed = self.on_complete = None
