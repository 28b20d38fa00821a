"""Accepting connections while the system call fails for a moment, in the ways that accept(2) documents."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest
from loopback import HOST, OK, play, request, soon, stage, until

from tulipnotch.sidecar.downstream.listener import Acceptor, bind

_CLIENTS = 3
_WAITED_S = 0.5
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
        acceptor = Acceptor(listener, lambda _: _Served(served))
        clients = [socket.create_connection(listener.getsockname()) for _ in range(_CLIENTS)]
        async with asyncio.timeout(5.0):
            while not acceptor.accept_pending():
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
        acceptor = Acceptor(listener, lambda _: _Served(served))
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
        acceptor = Acceptor(listener, lambda _: _Served(served))
        _, writer = await soon(asyncio.open_connection(*listener.getsockname()))
        await until(lambda: len(served) == 1)
        writer.close()
        served[0].close()
        acceptor.close()

    play(work)


def test_a_request_that_lay_unread_while_calls_failed_has_that_much_less_time() -> None:
    # Its client counts from when it was sent, and so does what its server is told.
    async def work() -> None:
        async with stage(OK) as scene:
            acceptor = scene.sidecar.frontend._acceptor
            assert acceptor is not None
            plain = acceptor._listener
            failing = _FaultyListener(fileno=os.dup(plain.fileno()))
            failing.setblocking(False)
            failing.faults = [errno.ENFILE]
            acceptor._listener = failing
            acceptor._accept()
            assert acceptor._failing_since is not None
            acceptor._failing_since -= _WAITED_S
            client = socket.create_connection(plain.getsockname())
            client.sendall(request("check", timeout="2.0"))
            await until(lambda: len(scene.heard) == 1)
            assert float(scene.heard[0].headers["request-timeout"]) <= 2.0 - _WAITED_S
            client.close()
            plain.close()

    play(work)
