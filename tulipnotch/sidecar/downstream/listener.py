"""Listening sockets: binding one, and accepting a few connections at a time."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from enum import Enum, unique

from tulipnotch.sidecar.addresses import Address

_WAITING = 1_024  # connections that the kernel holds until they are accepted, at least; 65,535 at most
_LONGEST_QUEUE = 65_535  # connections that the kernel may hold
_ACCEPTED_AT_ONCE = 8  # connections, before those that are open get their turn
_REST_S = 0.01  # before the next call, where the machine has no room for a connection
# Errors of accept(2) that say that this machine has no room, and those of one connection that has broken.
_NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_BROKEN = (
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
# What ends by itself where an address can't be had: a machine out of room, or the process before this one.
_BIND_AGAIN = (*_NO_ROOM, errno.EADDRINUSE, errno.EADDRNOTAVAIL)
_LOOK_S = 0.02  # between two looks at a listening socket that another process may serve
_BIND_AGAIN_S = 0.05
_BIND_WITHIN_S = 3.0


def bind(address: Address, most: int = 0) -> socket.socket:
    """Listen on this address; raise OSError where that can't be done.  For `most` see `listen`."""
    reserved = reserve(address)
    try:
        listen(reserved, most)
    except OSError:
        reserved.close()
        raise
    return reserved


def reserve(address: Address) -> socket.socket:
    """Take this address and accept nothing yet; raise OSError where it can't be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


def listen(reserved: socket.socket, most: int = 0) -> None:
    """Have the kernel accept connections.

    `most` is how many connections may be open: as many may come at once, and none has to try again.
    """
    reserved.listen(min(max(most, _WAITING), _LONGEST_QUEUE))


async def reserve_soon(address: Address) -> socket.socket:
    """Take this address, in a few seconds where it can't be had at once; raise OSError after them."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + _BIND_WITHIN_S
    while True:
        try:
            return reserve(address)
        except OSError as fault:
            if fault.errno not in _BIND_AGAIN or loop.time() >= give_up_at:
                raise
        await asyncio.sleep(_BIND_AGAIN_S)


@unique
class _Accepted(Enum):
    """What became of one call of accept(2)."""

    TAKEN = "taken"
    BROKEN = "broken"  # that connection has ended; another may wait behind it
    NONE_WAITS = "none waits"
    NO_ROOM = "no room"  # one waits, and the machine has no room for it now


def adopt(descriptor: str) -> socket.socket:
    """Take over a listening socket that this process inherited; raise ValueError where it is none."""
    try:
        listener = socket.socket(fileno=int(descriptor))
    except (ValueError, OverflowError, OSError) as fault:
        raise ValueError(f"no open socket is at descriptor {descriptor!r:.20}: {fault}") from None
    is_stream = listener.family in (socket.AF_INET, socket.AF_INET6) and listener.type is socket.SOCK_STREAM
    if not is_stream or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()  # it is somebody else's, whatever it is
        raise ValueError(f"descriptor {descriptor} is not a listening TCP socket")
    listener.set_inheritable(False)
    listener.setblocking(False)
    return listener


async def left_waiting(listener: socket.socket, for_s: float) -> None:
    """Return once connections have waited there for so long that no other process can be accepting them."""
    poll = select.poll()
    poll.register(listener, select.POLLIN)
    loop = asyncio.get_running_loop()
    since = loop.time()
    while loop.time() - since < for_s:
        await asyncio.sleep(_LOOK_S)
        if not poll.poll(0):
            since = loop.time()


class Acceptor:
    """Accepts connections of one listening socket, each for a protocol of its own."""

    def __init__(self, listener: socket.socket, protocol: Callable[[float], asyncio.BaseProtocol]) -> None:
        """`protocol` is given how long (s) its connection may have waited, since calls before had failed."""
        self._listener = listener
        self._protocol = protocol
        self._accepting: set[asyncio.Task[None]] = set()
        self._rest: asyncio.TimerHandle | None = None  # until the next call, where there was no room
        self._failing_since: float | None = None  # since when no call has found all connections taken
        self.port = int(listener.getsockname()[1])
        self._listen()

    def _listen(self) -> None:
        self._rest = None
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    @property
    def coming(self) -> int:
        """How many were accepted and are not connected yet."""
        return len(self._accepting)

    def accept_pending(self) -> bool:
        """Accept all that the kernel has accepted for this process; say whether nothing is left there.

        For the last process to listen: its close resets what is left, with the requests written there.  Where
        the machine has no room, whoever asks comes back.
        """
        if self._listener.fileno() < 0:
            return True
        for _ in range(_WAITING):
            accepted = self._accept_one()
            if accepted in (_Accepted.NONE_WAITS, _Accepted.NO_ROOM):
                return accepted is _Accepted.NONE_WAITS
        return False

    def close(self) -> None:
        """Accept no more.  Only this process's copy of the socket goes: another may still listen on it."""
        if self._listener.fileno() < 0:
            return
        if self._rest is not None:
            self._rest.cancel()
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        self._listener.close()

    def _accept(self) -> None:
        """Take a few new connections; the rest wait in the kernel.

        Guards the limit on descriptors: event loops accept all that is there before any of it is counted, so
        hundreds that connect at once would take every one.
        """
        accepted = _Accepted.TAKEN
        for _ in range(_ACCEPTED_AT_ONCE - len(self._accepting)):
            accepted = self._accept_one()
            if accepted in (_Accepted.NONE_WAITS, _Accepted.NO_ROOM):
                break
        if accepted in (_Accepted.BROKEN, _Accepted.NO_ROOM):
            # Guards against a call a round that takes the whole core: whoever waits keeps it readable.
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._listener.fileno())
            self._rest = loop.call_later(_REST_S, self._listen)

    def _accept_one(self) -> _Accepted:
        now = asyncio.get_running_loop().time()
        try:
            accepted, _ = self._listener.accept()
        except OSError as fault:
            if fault.errno not in (*_NO_ROOM, *_BROKEN):
                self._failing_since = None
                return _Accepted.NONE_WAITS
            if self._failing_since is None:
                self._failing_since = now
            return _Accepted.NO_ROOM if fault.errno in _NO_ROOM else _Accepted.BROKEN
        accepted.setblocking(False)
        waited_s = 0.0 if self._failing_since is None else now - self._failing_since
        task = asyncio.get_running_loop().create_task(self._connect(accepted, waited_s))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)
        return _Accepted.TAKEN

    async def _connect(self, accepted: socket.socket, waited_s: float) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: self._protocol(waited_s), accepted)
        except OSError:
            accepted.close()  # the peer was quicker
