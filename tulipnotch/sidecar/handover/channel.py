"""The channel between the processes of one sidecar that accept from the same inherited listening socket.

All of them use one address, which follows from that socket.  The process that binds it is the
coordinator, and the others connect to it.  When it ends, the others try again, and one of them takes its
place.  Each side proves that it belongs to the sidecar by passing on the listening socket, which no other
process has.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Coroutine, Sequence
from contextlib import suppress
from typing import NamedTuple, Protocol

from tulipnotch.sidecar.handover.connection import (
    ReceivedMessage,
    SiblingConnection,
    create_socket,
    wait_until_readable,
)
from tulipnotch.sidecar.handover.journal_memory import JournalError
from tulipnotch.sidecar.handover.listener_identity import (
    channel_name,
    is_peer_of_same_user,
    is_same_socket,
)
from tulipnotch.sidecar.handover.messages import Hello, Message, MessageError, ProcessCount, Welcome

_BACKLOG = 16
_MAX_UNPROVEN_CONNECTIONS = 8  # the one that was opened first is closed beyond this
_HELLO_TIMEOUT_S = 1.0  # maximum time from a connection to its `Hello`
# Time for which a new coordinator expects processes that have just lost the previous one.
_SETTLING_DELAY_S = 0.1
_MIN_RETRY_INTERVAL_S = 0.02
_MAX_RETRY_INTERVAL_S = 1.0  # while the address is held by a process that is not of this sidecar
# Errors that show that the system does not offer what the channel needs.
_UNSUPPORTED_ERRORS = (
    errno.EAFNOSUPPORT,
    errno.EPROTONOSUPPORT,
    errno.ESOCKTNOSUPPORT,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.ENOSYS,
    errno.EPERM,
    errno.EACCES,
    errno.EINVAL,
)


class Offer(NamedTuple):
    """What a process that joins is given: its welcome, and the descriptor of the shared journal."""

    welcome: Welcome
    journal: int


class ChannelUser(Protocol):
    """Shares its state with the other processes."""

    def hello(self) -> Hello:
        """Returns the message with which this process joins."""
        ...

    def offer_journal(self, hello: Hello) -> Offer:
        """Handles a process that joins; raises OSError or JournalError if nothing can be shared."""
        ...

    def joined(self, received: ReceivedMessage, welcome: Welcome) -> None:
        """Handles the coordinator's welcome; raises JournalError if its journal can't be used."""
        ...

    def message_received(self, received: ReceivedMessage) -> None:
        """Handles any other message."""
        ...

    def sibling_ended(self, owner: int) -> None:
        """Handles the end of another process, which had this number in the journal."""
        ...

    def process_count_changed(self, count: int) -> None:
        """Handles a change of the number of processes, this one included."""
        ...

    def channel_failed(self, fault: str) -> None:
        """Handles the lack of a channel: this process can share nothing."""
        ...


class HandoverChannel:
    """Connects this process to the others of its sidecar, from `start` to `close`.

    Attributes:
        settled: Set once this process is known to be the only one, or has joined the others.
    """

    def __init__(self, listener: socket.socket, user: ChannelUser) -> None:
        """Creates a channel that is not open yet.

        Args:
            listener: A listening socket that only the processes of this sidecar have.  It stays with the
                caller.
            user: Is notified of the other processes.
        """
        self.settled = asyncio.Event()
        self._listener = listener
        self._user = user
        self._siblings: dict[SiblingConnection, int] = {}  # their numbers in the journal
        self._unproven: dict[SiblingConnection, asyncio.Task[None]] = {}  # oldest first
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Opens the channel, and keeps it open."""
        self._track(self._run())

    def close(self) -> None:
        """Closes the channel, as the end of the process would."""
        for task in self._tasks:
            task.cancel()

    @property
    def has_siblings(self) -> bool:
        """Whether another process is connected."""
        return bool(self._siblings)

    def broadcast(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Sends a message to all connected processes; one that reads nothing misses it."""
        for connection in self._siblings:
            connection.send(message, descriptors)

    def _track(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run(self) -> None:
        """Coordinates or follows; starts again whenever the coordinator has ended."""
        retry_interval_s = _MIN_RETRY_INTERVAL_S
        while True:
            try:
                if await self._coordinate_or_follow():
                    retry_interval_s = _MIN_RETRY_INTERVAL_S
                    continue  # so that no further process finds the address free and believes to be alone
            except OSError as error:
                if error.errno in _UNSUPPORTED_ERRORS:
                    self._user.channel_failed(str(error))
                    self.settled.set()
                    return
            await asyncio.sleep(retry_interval_s)
            retry_interval_s = min(2.0 * retry_interval_s, _MAX_RETRY_INTERVAL_S)

    async def _coordinate_or_follow(self) -> bool:
        """Binds the address, or else connects to the process that has; returns whether it was a sibling.

        Raises:
            OSError: Neither is possible now.
        """
        with create_socket() as channel_socket:
            name = channel_name(self._listener)
            try:
                channel_socket.bind(name)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                channel_socket.connect(name)
                return await self._follow(channel_socket)
            channel_socket.listen(_BACKLOG)
            settling = asyncio.get_running_loop().call_later(_SETTLING_DELAY_S, self.settled.set)
            try:
                await self._coordinate(channel_socket)
            finally:
                settling.cancel()
        return True

    # The coordinator

    async def _coordinate(self, channel_socket: socket.socket) -> None:
        while True:
            await wait_until_readable(channel_socket)
            try:
                accepted, _ = channel_socket.accept()
            except OSError:
                # The socket stays readable while resources are short.
                await asyncio.sleep(_MIN_RETRY_INTERVAL_S)
                continue
            accepted.settimeout(0.0)
            if not is_peer_of_same_user(accepted):
                accepted.close()
                continue
            if len(self._unproven) >= _MAX_UNPROVEN_CONNECTIONS:
                self._unproven.pop(next(iter(self._unproven))).cancel()
            connection = SiblingConnection(accepted)
            self._unproven[connection] = self._track(self._serve(connection))

    async def _serve(self, connection: SiblingConnection) -> None:
        """Lets a process join, and receives its messages until it ends."""
        try:
            with suppress(TimeoutError, MessageError):
                async with asyncio.timeout(_HELLO_TIMEOUT_S):
                    received = await connection.receive()
                if received is not None:
                    with received:
                        is_joined = self._admit(connection, received)
                    if is_joined:
                        await self._receive_until_end(connection)
        finally:
            self._unproven.pop(connection, None)
            connection.close()

    def _admit(self, connection: SiblingConnection, received: ReceivedMessage) -> bool:
        """Gives a process the journal if it belongs to this sidecar; returns whether it does."""
        hello = received.message
        if not isinstance(hello, Hello) or not self._is_proven(received):
            return False
        try:
            offer = self._user.offer_journal(hello)
        except (OSError, JournalError) as error:
            self._user.channel_failed(str(error))
            return False
        if not connection.send(offer.welcome, [offer.journal, self._listener.fileno()]):
            self._user.sibling_ended(offer.welcome.owner)
            return False
        self._unproven.pop(connection, None)
        self._siblings[connection] = offer.welcome.owner
        self._count_processes()
        return True

    def _count_processes(self) -> None:
        count = len(self._siblings) + 1
        self.broadcast(ProcessCount(count))
        self._user.process_count_changed(count)

    # The other processes

    async def _follow(self, connected: socket.socket) -> bool:
        """Joins the coordinator, and receives its messages until it ends; returns whether it is a sibling."""
        connection = SiblingConnection(connected)
        if not is_peer_of_same_user(connected):
            self._user.channel_failed("its address is used by another user")
            self.settled.set()
            return False
        if not connection.send(self._user.hello(), [self._listener.fileno()]):
            return False
        try:
            received = await connection.receive()
            if received is None:
                return False
            with received:
                welcome = received.message
                if not isinstance(welcome, Welcome) or not self._is_proven(received):
                    return False
                self._user.joined(received, welcome)
        except (MessageError, JournalError):
            return False
        self._siblings[connection] = welcome.sender
        self.settled.set()
        self._user.process_count_changed(len(self._siblings) + 1)
        await self._receive_until_end(connection)
        return True

    def _is_proven(self, received: ReceivedMessage) -> bool:
        """Returns whether the last descriptor that came with a message is the listening socket."""
        return bool(received.descriptors) and is_same_socket(received.descriptors[-1], self._listener)

    # Both

    async def _receive_until_end(self, connection: SiblingConnection) -> None:
        with suppress(MessageError):
            while (received := await connection.receive()) is not None:
                with received:
                    if isinstance(received.message, ProcessCount):
                        self._user.process_count_changed(received.message.count)
                    else:
                        self._user.message_received(received)
        # Not reached if this process closes the channel: the other one has not ended then.
        self._user.sibling_ended(self._siblings.pop(connection))
        self._count_processes()
