"""A stream for log lines whose writes never block the process.

Standard error may be a pipe that nobody empties, a file on a full disk, or a connection that has ended.  Each
of these fails the write at once, with an OSError, and the line is lost: no request waits for the log.
"""

from __future__ import annotations

import os
import select
import stat

STANDARD_ERROR = 2
_MOST_BYTES = select.PIPE_BUF  # of a line: a pipe that has room at all takes so many at once, or none


class LogStream:
    """Writes whole lines to a descriptor, with what a text stream has for it: `write` and `flush`."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self._descriptor = _own_pipe(descriptor)
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)
        self._has_part = False  # whether the last line stands there without its end

    def write(self, text: str) -> int:
        """Write a line with its end; raise OSError where it can't be written whole, at once."""
        if not self._poll.poll(0):
            raise BlockingIOError("there is no room for a line")
        end = "\n" if text.endswith("\n") else ""
        line = text.removesuffix("\n").encode("utf-8", "backslashreplace")
        before = b"\n" if self._has_part else b""
        line = before + line[: _MOST_BYTES - len(before) - len(end)] + end.encode()
        written = os.write(self._descriptor, line)
        self._has_part = written < len(line)
        if self._has_part:
            raise BlockingIOError("a part of a line was written")
        return len(text)

    def flush(self) -> None:
        """Nothing is kept back."""


def _own_pipe(descriptor: int) -> int:
    """A description of the same pipe that does not block; any other descriptor as it is.

    Prevents a block where another process writes to the pipe between a look at its room and the write.  The
    flag is never set on the description that was inherited: other processes share it.
    """
    try:
        if not stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return descriptor
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor
