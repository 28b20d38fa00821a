"""Listening sockets: binding and inheriting them, and accepting connections in small batches."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from enum import Enum, unique

from tulipnotch.sidecar.addresses import Address

_MIN_BACKLOG = 1_024  # minimum length of the accept queue that the kernel is asked for
_MAX_BACKLOG = 65_535
# Limits the connections accepted in one iteration of the event loop, so that open ones are served in between.
_MAX_ACCEPTS_PER_LOOP_ITERATION = 8
_ACCEPT_RETRY_DELAY_S = 0.01  # pause after accept(2) has failed
# Errors of accept(2): the first group means that resources are exhausted, the second that only the connection
# at the front of the queue has failed.
_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.ECONNRESET,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENONET,
    errno.EOPNOTSUPP,
    errno.ETIMEDOUT,
    errno.EPERM,
)
# Transient errors of bind(2): resources are exhausted, or the previous process still holds the address.
_TEMPORARY_BIND_ERRORS = (*_RESOURCE_ERRORS, errno.EADDRINUSE, errno.EADDRNOTAVAIL)
_BIND_RETRY_INTERVAL_S = 0.05
_BIND_TIMEOUT_S = 3.0
# Interval between checks of an accept queue from which another process may accept.
_ACCEPT_QUEUE_POLL_INTERVAL_S = 0.02


def bind_and_listen(address: Address, max_connections: int = 0) -> socket.socket:
    """Creates a socket that listens on this address.

    Args:
        address: The address; with port 0 the system chooses the port.
        max_connections: Maximum number of open connections, as in `listen`.

    Raises:
        OSError: The address cannot be bound.
    """
    bound_socket = bind(address)
    try:
        listen(bound_socket, max_connections)
    except OSError:
        bound_socket.close()
        raise
    return bound_socket


def bind(address: Address) -> socket.socket:
    """Creates a socket that is bound to this address but does not listen yet.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.settimeout(0.0)
    except OSError:
        listener.close()
        raise
    return listener


def listen(bound_socket: socket.socket, max_connections: int = 0) -> None:
    """Makes a bound socket listen.

    Args:
        bound_socket: The bound socket.
        max_connections: Maximum number of open connections.  The accept queue has room for as many, since all
            may be opened at once, and a client that finds the queue full connects only a second later.

    Raises:
        OSError: The socket cannot listen.
    """
    bound_socket.listen(min(max(max_connections, _MIN_BACKLOG), _MAX_BACKLOG))


async def bind_with_retry(address: Address) -> socket.socket:
    """Creates a socket that is bound to this address; retries for a few seconds after a transient error.

    Raises:
        OSError: The address cannot be bound, or still cannot be bound after the retries.
    """
    loop = asyncio.get_running_loop()
    retry_until = loop.time() + _BIND_TIMEOUT_S
    while True:
        try:
            return bind(address)
        except OSError as error:
            if error.errno not in _TEMPORARY_BIND_ERRORS or loop.time() >= retry_until:
                raise
        # Polls, because the system reports no event when an address becomes free.
        await asyncio.sleep(_BIND_RETRY_INTERVAL_S)


def adopt_listener(descriptor: str) -> socket.socket:
    """Takes over a listening socket that this process has inherited.

    Args:
        descriptor: The number of its descriptor, as given by an environment variable.

    Raises:
        ValueError: The descriptor is not that of a listening TCP socket.
    """
    try:
        listener = socket.socket(fileno=int(descriptor))
    except (ValueError, OverflowError, OSError) as error:
        raise ValueError(f"no open socket is at descriptor {descriptor!r:.20}: {error}") from None
    is_stream = listener.family in (socket.AF_INET, socket.AF_INET6) and listener.type is socket.SOCK_STREAM
    if not is_stream or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # leaves the descriptor open: it belongs to something else
        raise ValueError(f"descriptor {descriptor} is not a listening TCP socket")
    listener.set_inheritable(False)
    listener.settimeout(0.0)
    return listener


async def wait_until_no_process_accepts(listener: socket.socket, duration_s: float) -> None:
    """Waits until the accept queue has been non-empty for `duration_s`, so no other process accepts from it.

    The queue is polled, because no event reports that it has become empty.
    """
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    loop = asyncio.get_running_loop()
    last_empty_at = loop.time()
    while loop.time() - last_empty_at < duration_s:
        await asyncio.sleep(_ACCEPT_QUEUE_POLL_INTERVAL_S)
        if not poll.poll(0):
            last_empty_at = loop.time()


@unique
class _AcceptResult(Enum):
    """Result of one call of accept(2)."""

    ACCEPTED = "accepted"
    CONNECTION_FAILED = "connection failed"  # only this connection; further ones may be in the queue
    QUEUE_EMPTY = "queue empty"
    NO_RESOURCES = "no resources"  # descriptors or memory are exhausted; the connection stays in the queue


class Acceptor:
    """Accepts the connections of one listening socket, and creates a protocol for each."""

    def __init__(
        self, listener: socket.socket, create_protocol: Callable[[float], asyncio.BaseProtocol]
    ) -> None:
        """Starts to accept connections.

        Args:
            listener: The listening socket, which the acceptor owns from now on.
            create_protocol: Creates the protocol of a connection.  Its argument is an upper bound (s) on the
                time that the connection spent in the accept queue because of failed calls of accept(2).
        """
        self._listener = listener
        self._create_protocol = create_protocol
        self._connecting: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None  # set while accepting pauses after a failed call
        # Time of the first call that failed since the queue was last found empty; None if no call failed.
        self._failing_since: float | None = None
        self.port = int(listener.getsockname()[1])
        self._start_accepting()

    def _start_accepting(self) -> None:
        self._retry_timer = None
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept_batch)

    @property
    def connecting_count(self) -> int:
        """Number of connections that were accepted and have no transport yet."""
        return len(self._connecting)

    def accept_pending(self) -> bool:
        """Accepts all connections in the accept queue.

        Needed before the last process that listens closes the socket, which resets the connections that are
        still in the queue.

        Returns:
            Whether the queue is empty.  If it is not, for instance because resources are exhausted, the
            caller has to call again.
        """
        if self._listener.fileno() < 0:
            return True
        for _ in range(_MIN_BACKLOG):
            result = self._accept_one()
            if result in (_AcceptResult.QUEUE_EMPTY, _AcceptResult.NO_RESOURCES):
                return result is _AcceptResult.QUEUE_EMPTY
        return False

    def close(self) -> None:
        """Stops accepting and closes the socket in this process; another process may still listen on it."""
        if self._listener.fileno() < 0:
            return
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        self._listener.close()

    def _accept_batch(self) -> None:
        """Accepts a few connections; the others stay in the queue until the next call.

        The event loop's own server would accept all queued connections before any of them is counted, so
        that hundreds of clients connecting at once would exceed the limit on descriptors.
        """
        result = _AcceptResult.ACCEPTED
        for _ in range(_MAX_ACCEPTS_PER_LOOP_ITERATION - len(self._connecting)):
            result = self._accept_one()
            if result in (_AcceptResult.QUEUE_EMPTY, _AcceptResult.NO_RESOURCES):
                break
        if result in (_AcceptResult.CONNECTION_FAILED, _AcceptResult.NO_RESOURCES):
            # The socket stays readable: a retry in every iteration of the event loop would use a whole core.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._listener.fileno())
            self._retry_timer = loop.call_later(_ACCEPT_RETRY_DELAY_S, self._start_accepting)

    def _accept_one(self) -> _AcceptResult:
        loop = asyncio.get_running_loop()
        now = loop.time()
        try:
            accepted, _ = self._listener.accept()
        except OSError as error:
            if error.errno not in (*_RESOURCE_ERRORS, *_CONNECTION_ERRORS):
                self._failing_since = None
                return _AcceptResult.QUEUE_EMPTY
            if self._failing_since is None:
                self._failing_since = now
            if error.errno in _RESOURCE_ERRORS:
                return _AcceptResult.NO_RESOURCES
            return _AcceptResult.CONNECTION_FAILED
        accepted.settimeout(0.0)
        delay_s = 0.0 if self._failing_since is None else now - self._failing_since
        task = loop.create_task(self._create_transport(accepted, delay_s))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return _AcceptResult.ACCEPTED

    async def _create_transport(self, accepted: socket.socket, delay_s: float) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: self._create_protocol(delay_s), accepted)
        except OSError:
            accepted.close()  # the peer has closed the connection in the meantime
