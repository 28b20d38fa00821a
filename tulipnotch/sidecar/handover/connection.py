"""A connection between two processes of one sidecar: messages, and the descriptors that travel with them."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Sequence
from types import TracebackType

from tulipnotch.sidecar.handover.messages import (
    MAX_DESCRIPTORS,
    MAX_MESSAGE_BYTES,
    Message,
    MessageError,
    decode,
    encode,
)


def create_socket() -> socket.socket:
    """Creates a socket of the kind that these connections use.

    Raises:
        OSError: The system has no descriptor for it, or does not support it.
    """
    kind = socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
    return socket.socket(socket.AF_UNIX, kind)


class ReceivedMessage:
    """A message and the descriptors that came with it, which are closed at the end of a `with` block."""

    def __init__(self, message: Message, descriptors: Sequence[int]) -> None:
        """Owns the descriptors."""
        self.message = message
        self._descriptors = list(descriptors)

    @property
    def descriptors(self) -> Sequence[int]:
        """The descriptors, in the order in which they were sent."""
        return self._descriptors

    def take_descriptor(self) -> int:
        """Returns the first descriptor, which the caller owns from now on; IndexError if there is none."""
        return self._descriptors.pop(0)

    def __enter__(self) -> ReceivedMessage:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for descriptor in self._descriptors:
            os.close(descriptor)


class SiblingConnection:
    """One end of a connection; owns its socket."""

    def __init__(self, connected: socket.socket) -> None:
        """Takes over a connected, non-blocking socket."""
        self.socket = connected

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> bool:
        """Sends a message; returns False if the other process has ended or reads nothing."""
        try:
            socket.send_fds(self.socket, [encode(message)], list(descriptors))
        except OSError:
            return False
        return True

    async def receive(self) -> ReceivedMessage | None:
        """Waits for the next message; returns None once the other process has closed the connection.

        Raises:
            MessageError: What came is not a message.
        """
        while True:
            try:
                datagram, descriptors, _, _ = socket.recv_fds(
                    self.socket, MAX_MESSAGE_BYTES, MAX_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
                )
            except (BlockingIOError, InterruptedError):
                await wait_until_readable(self.socket)
                continue
            except OSError:
                return None
            if not datagram:
                return None
            try:
                return ReceivedMessage(decode(datagram), descriptors)
            except MessageError:
                for descriptor in descriptors:
                    os.close(descriptor)
                raise

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()


async def wait_until_readable(waiting: socket.socket) -> None:
    """Waits until a socket has input, a connection to accept, or an error."""
    loop = asyncio.get_running_loop()
    readable: asyncio.Future[None] = loop.create_future()

    def on_readable() -> None:
        if not readable.done():
            readable.set_result(None)

    loop.add_reader(waiting.fileno(), on_readable)
    try:
        await readable
    finally:
        loop.remove_reader(waiting.fileno())
