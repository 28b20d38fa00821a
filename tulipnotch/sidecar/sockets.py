"""Access to the socket below an asyncio transport."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager


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
