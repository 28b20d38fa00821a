"""Establishing a connection to a server, and the meaning of a failure."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.errors import ConnectError

# Errors by which this machine, not the server, lacks what a connection takes.
_LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


async def dial(
    address: Address, create_connection: Callable[[], UpstreamConnection], timeout_s: float
) -> UpstreamConnection:
    """Return a connection to `address` that is open, as far as is known.

    Raises:
        ConnectError: It was refused, took too long, or ended as soon as it was established.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await asyncio.get_running_loop().create_connection(create_connection, *address)
    except (OSError, TimeoutError) as error:
        is_local = isinstance(error, OSError) and error.errno in _LOCAL_RESOURCE_ERRNOS
        raise ConnectError(Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED) from error
    if connection.is_closed:
        raise ConnectError(Outcome.CONNECT_FAILED)  # its owner is not notified of its end again
    return connection
