"""Access to the sockets of asyncio transports."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterator
from contextlib import contextmanager
from functools import cache
from pathlib import Path

# Value of SO_LINGER (on, 0 s) with which close(2) discards unsent data and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
_SYSTEM_LIMITS = Path("/proc/sys/net")
# A send buffer may exceed its limit by one segment.
_MAX_SEGMENT_BYTES = 64 << 10
_SIOCOUTQNSD = 0x894B  # ioctl of Linux: number of bytes in the send queue that were not sent yet


@contextmanager
def borrow_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """Yields the socket of an open transport, for system calls that the transport does not offer.

    The socket object shares the transport's descriptor, since there may be none left for a duplicate.  It
    must not be used after the `with` block.  An `OSError` within the block ends the block and is suppressed:
    it means that the peer has closed the connection meanwhile.
    """
    borrowed = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        yield borrowed
    except OSError:
        pass
    finally:
        borrowed.detach()


def reset_on_close(borrowed: socket.socket) -> None:
    """Makes the end of a connection discard what the kernel has not sent, instead of sending it first."""
    borrowed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def register_for_input(poll: select.poll, transport: asyncio.BaseTransport) -> None:
    """Registers the socket of an open transport with `poll` for `has_unread_input` and `is_peer_closed`."""
    descriptor = transport.get_extra_info("socket").fileno()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)


def has_unread_input(poll: select.poll) -> bool:
    """Returns whether bytes or the end of the stream are unread, even if the event loop has not seen them."""
    return bool(poll.poll(0))


def is_peer_closed(poll: select.poll) -> bool:
    """Returns whether the peer has closed or reset the connection; bytes before its end may be unread."""
    return any(events & _DISCONNECT_EVENTS for _, events in poll.poll(0))


def unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Returns how many received bytes the socket of an open transport holds; None if it is not known."""
    return _queued_bytes(transport, termios.FIONREAD)


def unsent_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Returns how many bytes of an open transport's socket were not sent yet; None if it is not known.

    What the transport itself buffers is not counted, nor what was sent and is not acknowledged.
    """
    return _queued_bytes(transport, _SIOCOUTQNSD)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Returns how many bytes of an open transport's socket the peer has not acknowledged; None if not known.

    What the transport itself buffers is not counted.
    """
    return _queued_bytes(transport, termios.TIOCOUTQ)


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int | None:
    """Returns the answer of the system to an ioctl that asks for a number of bytes; None if it fails."""
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        answer = fcntl.ioctl(descriptor, request, struct.pack("i", 0))
    except OSError:
        return None
    return int(struct.unpack("i", answer)[0])


@cache
def max_send_buffer_bytes() -> int | None:
    """Returns how many bytes a socket of this machine may hold unsent; None if it is not known.

    The larger one of two limits counts: that of buffers that grow by themselves, and that of buffers whose
    size a process has set, which the system doubles.
    """
    try:
        automatic_bytes = int((_SYSTEM_LIMITS / "ipv4" / "tcp_wmem").read_text().split()[2])
        requested_bytes = int((_SYSTEM_LIMITS / "core" / "wmem_max").read_text())
    except (OSError, ValueError, IndexError):
        return None
    return max(automatic_bytes, 2 * requested_bytes) + _MAX_SEGMENT_BYTES
