"""Access to the sockets of asyncio transports."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterator
from contextlib import contextmanager

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


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
