"""Accepting connections while the system call fails for a moment, in the ways that accept(2) documents."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest
from loopback import HOST, play, soon, until

from tulipnotch.sidecar.listener import Acceptor, bind

_CLIENTS = 3
# Of one connection, gone by now or broken on the way; and of this machine, for a moment.
_FAULTS = [
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
]


class _FaultyListener(socket.socket):
    """A listening socket whose first calls of accept fail."""

    faults: list[int]

    def accept(self) -> tuple[socket.socket, object]:
        if self.faults:
            number = self.faults.pop(0)
            raise OSError(number, os.strerror(number))
        return super().accept()


def _listener(*faults: int) -> _FaultyListener:
    plain = bind((HOST, 0))
    listener = _FaultyListener(fileno=plain.detach())
    listener.setblocking(False)
    listener.faults = list(faults)
    return listener


class _Served(asyncio.Protocol):
    def __init__(self, served: list[asyncio.BaseTransport]) -> None:
        self._served = served

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._served.append(transport)


@pytest.mark.parametrize("fault", _FAULTS, ids=errno.errorcode.__getitem__)
def test_the_last_to_listen_takes_every_connection_though_a_call_fails(fault: int) -> None:
    # A close would reset what the kernel has accepted, with the requests that are written there.
    async def work() -> None:
        listener = _listener(fault, fault)
        served: list[asyncio.BaseTransport] = []
        acceptor = Acceptor(listener, lambda: _Served(served))
        clients = [socket.create_connection(listener.getsockname()) for _ in range(_CLIENTS)]
        async with asyncio.timeout(5.0):
            while not acceptor.take_waiting():
                await asyncio.sleep(0)
        acceptor.close()
        await until(lambda: len(served) == _CLIENTS)
        for client in clients:
            client.close()
        for transport in served:
            transport.close()

    play(work)


@pytest.mark.parametrize("fault", [errno.EMFILE, errno.ENFILE], ids=errno.errorcode.__getitem__)
def test_a_machine_without_descriptors_is_not_asked_without_a_rest(
    fault: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Whatever waits in the kernel keeps the listener readable: calls that fail would take the whole core.
    async def work() -> None:
        most = 1_000
        listener = _listener(*[fault] * most)
        served: list[asyncio.BaseTransport] = []
        acceptor = Acceptor(listener, lambda: _Served(served))
        with socket.create_connection(listener.getsockname()):
            for _ in range(most):
                await asyncio.sleep(0)  # a round of the event loop
            assert len(listener.faults) > most // 2
            listener.faults = []
            await until(lambda: len(served) == 1)
            served[0].close()
        acceptor.close()

    play(work)


def test_one_connection_that_broke_does_not_hold_up_those_behind_it() -> None:
    async def work() -> None:
        served: list[asyncio.BaseTransport] = []
        listener = _listener(errno.ECONNABORTED)
        acceptor = Acceptor(listener, lambda: _Served(served))
        _, writer = await soon(asyncio.open_connection(*listener.getsockname()))
        await until(lambda: len(served) == 1)
        writer.close()
        served[0].close()
        acceptor.close()

    play(work)
