"""Accepting connections while accept(2) fails in the ways that it documents."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest
from loopback import HOST, OK_RESPONSE, http_request, run_async, sidecar_harness, wait_until, within_timeout

from tulipnotch.sidecar.downstream.listener import Acceptor, bind_and_listen

_CLIENTS = 3
_QUEUED_S = 0.5
# Of one connection that has failed, and of a machine that is out of resources.
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
    plain = bind_and_listen((HOST, 0))
    listener = _FaultyListener(fileno=plain.detach())
    listener.settimeout(0.0)
    listener.faults = list(faults)
    return listener


class _Served(asyncio.Protocol):
    def __init__(self, served: list[asyncio.BaseTransport]) -> None:
        self._served = served

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._served.append(transport)


@pytest.mark.parametrize("fault", _FAULTS, ids=errno.errorcode.__getitem__)
def test_accept_pending_accepts_every_connection_when_calls_fail(fault: int) -> None:
    # Closing the listener would reset the connections in its queue, with the requests written to them.
    async def work() -> None:
        listener = _listener(fault, fault)
        served: list[asyncio.BaseTransport] = []
        acceptor = Acceptor(listener, lambda _: _Served(served))
        clients = [socket.create_connection(listener.getsockname()) for _ in range(_CLIENTS)]
        async with asyncio.timeout(5.0):
            while not acceptor.accept_pending():
                await asyncio.sleep(0)
        acceptor.close()
        await wait_until(lambda: len(served) == _CLIENTS)
        for client in clients:
            client.close()
        for transport in served:
            transport.close()

    run_async(work)


@pytest.mark.parametrize("fault", [errno.EMFILE, errno.ENFILE], ids=errno.errorcode.__getitem__)
def test_accept_is_retried_after_a_delay_when_resources_are_short(
    fault: int,
) -> None:
    # The queue keeps the listener readable, so calls in each round would take the whole core.
    async def work() -> None:
        rounds = 1_000
        listener = _listener(*[fault] * rounds)
        served: list[asyncio.BaseTransport] = []
        acceptor = Acceptor(listener, lambda _: _Served(served))
        with socket.create_connection(listener.getsockname()):
            for _ in range(rounds):
                await asyncio.sleep(0)  # a round of the event loop
            assert len(listener.faults) > rounds // 2
            listener.faults = []
            await wait_until(lambda: len(served) == 1)
            served[0].close()
        acceptor.close()

    run_async(work)


def test_acceptor_accepts_the_next_connection_when_one_has_failed() -> None:
    async def work() -> None:
        served: list[asyncio.BaseTransport] = []
        listener = _listener(errno.ECONNABORTED)
        acceptor = Acceptor(listener, lambda _: _Served(served))
        _, writer = await within_timeout(asyncio.open_connection(*listener.getsockname()))
        await wait_until(lambda: len(served) == 1)
        writer.close()
        served[0].close()
        acceptor.close()

    run_async(work)


def test_request_timeout_is_reduced_by_the_time_in_the_accept_queue() -> None:
    # The client's time runs from when it sent the request, and so does the timeout for its server.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            acceptor = harness.sidecar.downstream._acceptor
            assert acceptor is not None
            plain = acceptor._listener
            failing = _FaultyListener(fileno=os.dup(plain.fileno()))
            failing.settimeout(0.0)
            failing.faults = [errno.ENFILE]
            acceptor._listener = failing
            acceptor._accept()
            assert acceptor._failing_since is not None
            acceptor._failing_since -= _QUEUED_S
            client = socket.create_connection(plain.getsockname())
            client.sendall(http_request("check", timeout="2.0"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            assert float(harness.received_requests[0].headers["request-timeout"]) <= 2.0 - _QUEUED_S
            client.close()
            plain.close()

    run_async(work)
