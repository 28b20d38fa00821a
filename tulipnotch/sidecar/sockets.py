"""Access to the sockets below asyncio transports."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterator
from contextlib import contextmanager

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@contextmanager
def borrow_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
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


def register_for_input(poll: select.poll, transport: asyncio.BaseTransport) -> None:
    """Have `poll` look at the socket of an open transport, for `has_unread_input` and `is_peer_closed`."""
    descriptor = transport.get_extra_info("socket").fileno()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)


def has_unread_input(poll: select.poll) -> bool:
    """Return whether bytes or the end of the stream are unread, also if the event loop has not seen them."""
    return bool(poll.poll(0))


def is_peer_closed(poll: select.poll) -> bool:
    """Return whether the peer has closed or reset the connection; bytes before its end may be unread."""
    return any(events & _DISCONNECT_EVENTS for _, events in poll.poll(0))
