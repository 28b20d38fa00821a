"""Output stream for log lines that never blocks the process.

Standard error may be a pipe that nobody reads, a file on a full disk or a closed connection.  In each of
these cases the write fails at once with an OSError and the line is lost: no request waits for the log.
"""

from __future__ import annotations

import os
import select
import stat

STDERR_DESCRIPTOR = 2
# A pipe that poll(2) reports as writable accepts a write of up to this many bytes completely or not at all.
_MAX_LINE_BYTES = select.PIPE_BUF


class LogStream:
    """Writes lines to a descriptor; implements the two methods of a text stream that a log needs."""

    def __init__(self, descriptor: int = STDERR_DESCRIPTOR) -> None:
        """Prepares to write to this descriptor, which is neither closed nor modified."""
        self._descriptor = _reopen_pipe_nonblocking(descriptor)
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)
        self._ends_in_partial_line = False

    def write(self, text: str) -> int:
        """Writes one line at once, truncated to the maximum size; returns the length of `text`.

        Raises:
            OSError: The line was written partially or not at all; the next write ends a partial line first.
        """
        if not self._poll.poll(0):
            raise BlockingIOError("the descriptor of the log is not writable")
        line_end = b"\n" if text.endswith("\n") else b""
        separator = b"\n" if self._ends_in_partial_line else b""
        content = text.removesuffix("\n").encode("utf-8", "backslashreplace")
        max_content_bytes = _MAX_LINE_BYTES - len(separator) - len(line_end)
        line = separator + content[:max_content_bytes] + line_end
        written_bytes = os.write(self._descriptor, line)
        self._ends_in_partial_line = written_bytes < len(line)
        if self._ends_in_partial_line:
            raise BlockingIOError("the log line was written only partially")
        return len(text)

    def flush(self) -> None:
        """Does nothing, since nothing is buffered."""


def _reopen_pipe_nonblocking(descriptor: int) -> int:
    """Returns a non-blocking descriptor of the same pipe, or `descriptor` itself if that is not a pipe.

    A blocking pipe could block if another process fills it between poll(2) and write(2).  The flag is not set
    on the inherited open file description because other processes share it.
    """
    try:
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return descriptor
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor
