"""Access to the sockets below asyncio transports."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterator
from contextlib import contextmanager

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@contextmanager
def own_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """Lend the socket of an open transport for system calls that the transport does not offer.

    The object shares the transport's descriptor, since there may be none left for a duplicate. It must not be
    used after the `with` block. An `OSError` within the block ends the block and is suppressed: it means that
    the peer has closed the connection meanwhile.
    """
    plain = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        yield plain
    except OSError:
        pass
    finally:
        plain.detach()


class SocketPoll:
    """Looks at a socket for what the event loop has not seen yet, such as its end behind bytes unread."""

    __slots__ = ("_poll",)

    def __init__(self) -> None:
        """Look at no socket before `register`."""
        self._poll = select.poll()

    def register(self, transport: asyncio.BaseTransport) -> None:
        """Look at the socket of this transport, which must be open."""
        descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(descriptor, select.POLLIN | select.POLLRDHUP)

    def has_input(self) -> bool:
        """Return whether bytes or the end of the stream are unread."""
        return bool(self._poll.poll(0))

    def has_ended(self) -> bool:
        """Return whether the peer has closed or reset the connection; there may be bytes unread."""
        return any(events & _DISCONNECT_EVENTS for _, events in self._poll.poll(0))
