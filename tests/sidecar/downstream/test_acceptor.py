"""Acceptor: connections are accepted although calls of accept(2) fail with its documented errors."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from loopback import (
    HOST,
    OK_RESPONSE,
    SidecarHarness,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)

from tulipnotch.sidecar.downstream.listener import Acceptor, bind_and_listen

_CLIENTS = 3
_QUEUE_DELAY_S = 0.5
# Errors of a single connection that has failed, followed by errors of exhausted resources.
_ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETUNREACH,
    errno.EPERM,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
]


class _FailingListener(socket.socket):
    """A listening socket whose first calls of accept fail, one with each of the errors."""

    remaining_errors: list[int]

    def accept(self) -> tuple[socket.socket, object]:
        if self.remaining_errors:
            number = self.remaining_errors.pop(0)
            raise OSError(number, os.strerror(number))
        return super().accept()


def _failing_listener(*errors: int) -> _FailingListener:
    plain_listener = bind_and_listen((HOST, 0))
    listener = _FailingListener(fileno=plain_listener.detach())
    listener.settimeout(0.0)
    listener.remaining_errors = list(errors)
    return listener


class _TransportCollector(asyncio.Protocol):
    """Adds the transport of an accepted connection to a list."""

    def __init__(self, transports: list[asyncio.BaseTransport]) -> None:
        self._transports = transports

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transports.append(transport)


@pytest.mark.parametrize("accept_error", _ACCEPT_ERRORS, ids=errno.errorcode.__getitem__)
def test_accept_pending_accepts_every_connection_when_calls_fail(accept_error: int) -> None:
    # Closing the listener would reset the connections left in its queue and lose the requests sent on them.
    async def work() -> None:
        listener = _failing_listener(accept_error, accept_error)
        transports: list[asyncio.BaseTransport] = []
        acceptor = Acceptor(listener, lambda _: _TransportCollector(transports))
        clients = [socket.create_connection(listener.getsockname()) for _ in range(_CLIENTS)]
        async with asyncio.timeout(5.0):
            while not acceptor.accept_pending():
                await asyncio.sleep(0)
        acceptor.close()
        await wait_until(lambda: len(transports) == _CLIENTS)
        for client in clients:
            client.close()
        for transport in transports:
            transport.close()

    run_async(work)


@pytest.mark.parametrize("accept_error", [errno.EMFILE, errno.ENFILE], ids=errno.errorcode.__getitem__)
def test_acceptor_retries_after_a_delay_when_resources_are_exhausted(
    accept_error: int,
) -> None:
    # The listener stays readable: a retry in every iteration of the event loop would use a whole core.
    async def work() -> None:
        iterations = 1_000
        listener = _failing_listener(*[accept_error] * iterations)
        transports: list[asyncio.BaseTransport] = []
        acceptor = Acceptor(listener, lambda _: _TransportCollector(transports))
        with socket.create_connection(listener.getsockname()):
            for _ in range(iterations):
                await asyncio.sleep(0)  # one iteration of the event loop
            assert len(listener.remaining_errors) > iterations // 2
            listener.remaining_errors = []
            await wait_until(lambda: len(transports) == 1)
            transports[0].close()
        acceptor.close()

    run_async(work)


def test_acceptor_accepts_the_next_connection_when_one_has_failed() -> None:
    async def work() -> None:
        transports: list[asyncio.BaseTransport] = []
        listener = _failing_listener(errno.ECONNABORTED)
        acceptor = Acceptor(listener, lambda _: _TransportCollector(transports))
        _, writer = await within_timeout(asyncio.open_connection(*listener.getsockname()))
        await wait_until(lambda: len(transports) == 1)
        writer.close()
        transports[0].close()
        acceptor.close()

    run_async(work)


def test_streamed_request_is_rejected_when_its_client_has_timed_out_in_the_accept_queue() -> None:
    # The end of the client's connection may still be behind the rest of the body, where nothing shows it.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            timeout = f"{_QUEUE_DELAY_S / 2:.3f}"
            with _client_in_failing_queue(harness) as client:
                request = http_request("lodge", timeout=timeout, body=bytes(150_000))
                client.settimeout(0.0)
                await asyncio.get_running_loop().sock_sendall(client, request[:100_000])
                response = await within_timeout(asyncio.get_running_loop().sock_recv(client, 1_000))
            assert response.startswith(b"HTTP/1.1 503 ")
            assert harness.received_requests == []
            assert not any(server.connection_count for server in harness.servers)

    run_async(work)


@contextmanager
def _client_in_failing_queue(harness: SidecarHarness) -> Iterator[socket.socket]:
    """Yields a client whose connection seems to have been in the accept queue for `_QUEUE_DELAY_S`."""
    acceptor = harness.sidecar.downstream._acceptor
    assert acceptor is not None
    plain_listener = acceptor._listener
    failing_listener = _FailingListener(fileno=os.dup(plain_listener.fileno()))
    failing_listener.settimeout(0.0)
    failing_listener.remaining_errors = [errno.ENFILE]
    acceptor._listener = failing_listener
    acceptor._accept_batch()
    assert acceptor._failing_since is not None
    acceptor._failing_since -= _QUEUE_DELAY_S
    with socket.create_connection(plain_listener.getsockname()) as client:
        yield client
    plain_listener.close()


@pytest.mark.parametrize("body_bytes", [0, 150_000], ids=["buffered", "streamed"])
def test_request_timeout_is_reduced_by_the_time_in_the_accept_queue(body_bytes: int) -> None:
    # The client's timeout runs from when it sent the request, so the server has only the rest of it.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            with _client_in_failing_queue(harness) as client:
                client.sendall(http_request("lodge", timeout="2.0", body=bytes(body_bytes)))
                await wait_until(lambda: len(harness.received_requests) == 1)
            announced_s = float(harness.received_requests[0].headers["request-timeout"])
            assert announced_s <= 2.0 - _QUEUE_DELAY_S

    run_async(work)
