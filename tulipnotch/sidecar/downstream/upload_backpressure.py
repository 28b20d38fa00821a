"""The time for which the client of a streamed body may have been waiting for its response; no I/O."""

from __future__ import annotations


class UploadBackpressure:
    """Bounds the time of a request whose body is not read, because its server accepts no more.

    A client's timeout runs from the last byte that it writes.  While the body is not read, that byte may wait
    in the buffers of the system, where it is not seen.  The timeout is therefore counted from the last moment
    at which the client had certainly not written it.

    All times are in seconds of the event loop's clock.
    """

    __slots__ = ("_may_be_sent_since", "_timeout_s")

    def __init__(self, timeout_s: float) -> None:
        """Creates the state of a body of which all that was written has been read."""
        self._timeout_s = timeout_s
        # Since when the last byte may be written and unread; None: all that the client has written was read.
        self._may_be_sent_since: float | None = None

    @property
    def is_pending(self) -> bool:
        """Whether the last byte may be written and unread."""
        return self._may_be_sent_since is not None

    def reading_paused(self, now: float) -> None:
        """Records that the client is not read from now on."""
        if self._may_be_sent_since is None:
            self._may_be_sent_since = now

    def input_drained(self) -> None:
        """Records that all that the client has written was read, without the last byte."""
        self._may_be_sent_since = None

    def last_byte_not_sent(self, now: float) -> None:
        """Records that the client had certainly not written the last byte at `now`."""
        if self._may_be_sent_since is not None:
            self._may_be_sent_since = now

    def waited_s(self, now: float) -> float:
        """Returns for how long, at most, the client has been waiting for its response."""
        return 0.0 if self._may_be_sent_since is None else now - self._may_be_sent_since

    def is_timed_out(self, now: float) -> bool:
        """Returns whether the client's timeout may have passed."""
        return self.is_pending and self.waited_s(now) >= self._timeout_s
