"""Listening sockets: binding one, and accepting a few connections at a time."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from enum import Enum, unique

from tulipnotch.sidecar.addresses import Address

_MIN_BACKLOG = 1_024  # connections that the kernel may hold in the accept queue
_MAX_BACKLOG = 65_535
_ACCEPTS_PER_ROUND = 8  # of the event loop, so that connections that are open get their turn
_ACCEPT_RETRY_S = 0.01  # after a call that failed for want of resources
# Errors of accept(2) that this machine is out of resources, and those of one connection that has failed.
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
# Errors of bind(2) that pass: no resources, or the process before this one still has the address.
_TEMPORARY_BIND_ERRORS = (*_RESOURCE_ERRORS, errno.EADDRINUSE, errno.EADDRNOTAVAIL)
_BIND_RETRY_S = 0.05
_BIND_TIMEOUT_S = 3.0
_QUEUE_POLL_S = 0.02  # between two looks at an accept queue that another process may serve


def bind_and_listen(address: Address, max_connections: int = 0) -> socket.socket:
    """Listen on this address.

    Args:
        address: The address; port 0 has the system choose one.
        max_connections: See `listen`.

    Raises:
        OSError: If it can't be bound.
    """
    reserved = bind(address)
    try:
        listen(reserved, max_connections)
    except OSError:
        reserved.close()
        raise
    return reserved


def bind(address: Address) -> socket.socket:
    """Bind this address without listening on it.

    Raises:
        OSError: If it can't be bound.
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


def listen(reserved: socket.socket, max_connections: int = 0) -> None:
    """Have the kernel accept connections.

    Args:
        reserved: A socket that is bound.
        max_connections: How many may be open.  As many may come at once, so the accept queue is as long: a
            connection that finds it full is made only a second later.

    Raises:
        OSError: If the system refuses.
    """
    reserved.listen(min(max(max_connections, _MIN_BACKLOG), _MAX_BACKLOG))


async def bind_with_retry(address: Address) -> socket.socket:
    """Bind this address, and retry for a few seconds if it is in use.

    Raises:
        OSError: If it can't be bound even then.
    """
    loop = asyncio.get_running_loop()
    retry_until = loop.time() + _BIND_TIMEOUT_S
    while True:
        try:
            return bind(address)
        except OSError as error:
            if error.errno not in _TEMPORARY_BIND_ERRORS or loop.time() >= retry_until:
                raise
        await asyncio.sleep(_BIND_RETRY_S)  # the system reports no event when an address becomes free


def adopt_listener(descriptor: str) -> socket.socket:
    """Take over a listening socket that this process inherited.

    Args:
        descriptor: The number of its descriptor, as the environment gives it.

    Raises:
        ValueError: If there is no listening TCP socket.
    """
    try:
        listener = socket.socket(fileno=int(descriptor))
    except (ValueError, OverflowError, OSError) as error:
        raise ValueError(f"no open socket is at descriptor {descriptor!r:.20}: {error}") from None
    is_stream = listener.family in (socket.AF_INET, socket.AF_INET6) and listener.type is socket.SOCK_STREAM
    if not is_stream or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # whatever it is, it has another owner
        raise ValueError(f"descriptor {descriptor} is not a listening TCP socket")
    listener.set_inheritable(False)
    listener.settimeout(0.0)
    return listener


async def wait_until_no_process_accepts(listener: socket.socket, for_s: float) -> None:
    """Return once the accept queue was not empty for `for_s` seconds: no other process accepts from it.

    The queue is polled, since an empty one is reported by no event.
    """
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    loop = asyncio.get_running_loop()
    last_empty_at = loop.time()
    while loop.time() - last_empty_at < for_s:
        await asyncio.sleep(_QUEUE_POLL_S)
        if not poll.poll(0):
            last_empty_at = loop.time()


@unique
class _AcceptResult(Enum):
    """The result of one call of accept(2)."""

    ACCEPTED = "accepted"
    CONNECTION_FAILED = "connection failed"  # another may stand behind it in the queue
    QUEUE_EMPTY = "queue empty"
    NO_RESOURCES = "no resources"  # the queue is not empty, and the machine is out of resources


class Acceptor:
    """Accepts connections of one listening socket, each for a protocol of its own."""

    def __init__(
        self, listener: socket.socket, create_protocol: Callable[[float], asyncio.BaseProtocol]
    ) -> None:
        """Accept from now on.

        Args:
            listener: A listening socket, which is owned from now on.
            create_protocol: Given how long (s) the connection may have stood in the accept queue because
                calls before had failed.
        """
        self._listener = listener
        self._create_protocol = create_protocol
        self._connecting: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None  # runs after a call that failed
        self._failing_since: float | None = None  # since when no call has found the queue empty
        self.port = int(listener.getsockname()[1])
        self._listen()

    def _listen(self) -> None:
        self._retry = None
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    @property
    def connecting(self) -> int:
        """How many were accepted and have no transport yet."""
        return len(self._connecting)

    def accept_pending(self) -> bool:
        """Accept all connections in the queue, for the last process to listen: its close resets them.

        Returns:
            Whether the queue is empty.  Where the machine is out of resources it is not, and the caller has
            to call a second time.
        """
        if self._listener.fileno() < 0:
            return True
        for _ in range(_MIN_BACKLOG):
            result = self._accept_one()
            if result in (_AcceptResult.QUEUE_EMPTY, _AcceptResult.NO_RESOURCES):
                return result is _AcceptResult.QUEUE_EMPTY
        return False

    def close(self) -> None:
        """Accept no more.  Only this process's socket is closed: another process may still listen on it."""
        if self._listener.fileno() < 0:
            return
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        self._listener.close()

    def _accept(self) -> None:
        """Accept a few connections; the others stay in the queue.

        Event loops accept all that there are before any of them is counted, so hundreds that connect at once
        would exceed the limit on descriptors.
        """
        result = _AcceptResult.ACCEPTED
        for _ in range(_ACCEPTS_PER_ROUND - len(self._connecting)):
            result = self._accept_one()
            if result in (_AcceptResult.QUEUE_EMPTY, _AcceptResult.NO_RESOURCES):
                break
        if result in (_AcceptResult.CONNECTION_FAILED, _AcceptResult.NO_RESOURCES):
            # The queue keeps the socket readable, so a call in each round would take the whole core.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._listener.fileno())
            self._retry = loop.call_later(_ACCEPT_RETRY_S, self._listen)

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
        queued_s = 0.0 if self._failing_since is None else now - self._failing_since
        task = loop.create_task(self._connect(accepted, queued_s))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return _AcceptResult.ACCEPTED

    async def _connect(self, accepted: socket.socket, queued_s: float) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: self._create_protocol(queued_s), accepted)
        except OSError:
            accepted.close()  # the peer has closed it meanwhile
