"""Establishes a connection to a server, and classifies the failures."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.errors import ConnectError

# Errors for exhausted resources of this machine: they are no fault of the server.
_LOCAL_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


async def dial(
    address: Address, create_connection: Callable[[], UpstreamConnection], timeout_s: float
) -> UpstreamConnection:
    """Connects to `address` and returns the connection; the server may close it at any time afterwards.

    Raises:
        ConnectError: If the connection was refused, timed out, or closed as soon as it was established.
    """
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await asyncio.get_running_loop().create_connection(create_connection, *address)
    except (OSError, TimeoutError) as error:
        is_local = isinstance(error, OSError) and error.errno in _LOCAL_RESOURCE_ERRNOS
        raise ConnectError(Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED) from error
    if connection.is_closed:
        raise ConnectError(Outcome.CONNECT_FAILED)  # its owner was already notified of its end
    return connection
