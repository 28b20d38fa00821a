"""A client that leaves while its request waits: nothing of it is sent on, whatever the settings permit."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from loopback import (
    ERROR_RESPONSE,
    HOST,
    OK_RESPONSE,
    REJECTION_RESPONSE,
    Client,
    ReceivedRequest,
    SidecarHarness,
    blocking_script,
    endpoint_entry,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)
from slow_to_accept import FullAcceptQueueServer

from tulipnotch.load_balancing import Settings
from tulipnotch.load_balancing.actions import Action, StartAttempt
from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.endpoints.endpoint import Ejection
from tulipnotch.load_balancing.endpoints.endpoint_list import EndpointCounts
from tulipnotch.load_balancing.events import AttemptEnded, Event, RequestArrived, TimerFired
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import ConnectionState, DownstreamConnection
from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.upstream import pool as upstream
from tulipnotch.sidecar.upstream.connection import UpstreamConnection

_NEVER_SWEPT = ClientLimits(sweep_s=600.0)


async def _leave(client: Client) -> None:
    """Close the connection; when this is done, its end lies in the sidecar's socket."""
    client.close()
    await client.writer.wait_closed()


async def _sent_ahead(harness: SidecarHarness) -> Client:
    """A client with a request open and a further one behind it, so that nothing is read of it any more."""
    client = await harness.connect()
    client.send(http_request("lodge", timeout="15") + http_request("lodge", timeout="15"))
    await wait_until(lambda: any(each.is_reading_paused for each in harness.sidecar.downstream.connections()))
    return client


async def _nothing_comes(accepted: socket.socket) -> bool:
    return await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("seen_by", ["the sweep", "a look before the write"])
def test_attempt_is_not_written_when_the_client_disconnects_during_a_dial_with_reading_paused(
    *, seen_by: str, may_cancel: bool
) -> None:
    # What it sent ahead stops the reading, so that the event loop never sees its end.
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": may_cancel}
        limits = None if seen_by == "the sweep" else _NEVER_SWEPT
        async with sidecar_harness(limit_overrides=bounds, client_limits=limits) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            client = await _sent_ahead(harness)
            await _leave(client)
            if seen_by == "the sweep":
                await wait_until(lambda: harness.sidecar.open_requests == 0)
            accepted = await slow.accept_sidecar_connection()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            harness.sidecar.close()  # the connection itself may be kept
            assert await _nothing_comes(accepted)
            accepted.close()
        slow.close()

    run_async(work)


def test_attempt_is_not_retried_when_the_client_disconnects_before_a_rejection() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def full(_heard: ReceivedRequest) -> bytes:
            await release.wait()
            return REJECTION_RESPONSE

        async with sidecar_harness(
            full, full, client_limits=_NEVER_SWEPT, limit_overrides={"mayCancel": False}
        ) as harness:
            client = await _sent_ahead(harness)
            await wait_until(lambda: len(harness.received_requests) == 1)
            await _leave(client)
            release.set()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert len(harness.received_requests) == 1

    run_async(work)


def test_pipelined_request_is_not_accepted_when_its_client_has_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream, "_REUSE_DELAY_US", 0)  # it would be written at once

    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(
            hold, client_limits=_NEVER_SWEPT, limit_overrides={"mayCancel": False}
        ) as harness:
            client = await _sent_ahead(harness)
            await wait_until(lambda: len(harness.received_requests) == 1)
            await _leave(client)
            release.set()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert harness.sidecar.open_requests == 0
            assert len(harness.received_requests) == 1

    run_async(work)


def test_incomplete_body_is_not_waited_for_when_its_client_has_disconnected() -> None:
    # No server begins what is not whole: without permission to cancel too, its place there is given back.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"mayCancel": False}) as harness:
            client = await harness.connect()
            whole = http_request("lodge", timeout="15", body=b"x" * 200_000)
            client.send(whole[:150_000])
            await wait_until(lambda: harness.servers[0].connection_count == 1)
            await _leave(client)
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert harness.received_requests == []

    run_async(work)


def test_hedged_attempt_that_dials_is_not_written_when_the_first_is_responded() -> None:
    # Nothing may follow the final answer, and no permission is needed to stop what has not left.
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        release, hold = blocking_script()
        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": False, "secondCopies": True}
        async with sidecar_harness(hold, limit_overrides=bounds) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            client = await harness.connect()
            client.send(http_request("check", timeout="15"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            (held,) = harness.sidecar._registry
            harness.discovery.announce(endpoint_entry("s-slow", slow.address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            # The decisions would send a second copy once others had answered meanwhile; it is sent here.
            balancer = harness.sidecar._balancer
            assert balancer._start_attempt(
                balancer._requests[held.number], balancer._context.endpoints["s-slow"]
            )
            harness.sidecar._executor.execute(balancer._context.actions[-1])
            release.set()
            assert (await client.read_response()).status == 200
            accepted = await slow.accept_sidecar_connection()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            harness.sidecar.close()
            assert await _nothing_comes(accepted)
            accepted.close()
        slow.close()

    run_async(work)


# What follows forces the order: within one step of the event loop the client leaves, its leaving has reached
# the sidecar's socket, and what begins an attempt is handled, all before the loop or a sweep can see the end.

_AHEAD = http_request("lodge", timeout="15")
_LEAVING = ("half-close", "close", "reset")


@contextmanager
def _application(harness: SidecarHarness) -> Iterator[socket.socket]:
    """A plain socket, whose calls take effect at once."""
    with socket.create_connection((HOST, harness.sidecar.downstream.port)) as own:
        yield own


def _go(application: socket.socket, how: str, at_sidecar: DownstreamConnection | None) -> None:
    """Leave, and return only once the leaving lies in the sidecar's socket."""
    if how == "stays":
        return
    if how == "half-close":
        application.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            application.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        application.close()
    assert at_sidecar is not None
    assert at_sidecar._transport is not None
    ended = select.poll()
    ended.register(at_sidecar._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    assert ended.poll(20_000)


def _withheld(harness: SidecarHarness) -> int:
    """What operators see of it."""
    (found,) = (
        each
        for each in harness.sidecar.command_handlers()["telemetry"]()
        if each.startswith("app.upstream_requests_withheld=")
    )
    return int(found.partition("=")[2])


def _only(harness: SidecarHarness) -> DownstreamConnection:
    (found,) = harness.sidecar.downstream.connections()
    return found


async def _is_over(harness: SidecarHarness) -> None:
    await wait_until(lambda: harness.sidecar.open_requests == 0)
    await wait_until(lambda: not harness.sidecar._upstream._dials_in_flight)


async def _paused(harness: SidecarHarness, ahead: bytes) -> None:
    """Until what was sent ahead is read, and nothing more of this client is."""
    if ahead:
        await wait_until(
            lambda: all(each.is_reading_paused for each in harness.sidecar.downstream.connections())
        )


class _Scripted:
    """Decisions that send a request to these servers when a timer fires, and at no other time."""

    def __init__(self, *servers: str) -> None:
        self._servers = servers
        self._request = 0
        self.ended: list[Outcome] = []

    def __call__(self, _settings: Settings, _seed: int) -> _Scripted:
        return self

    def handle(self, _now: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            self._request = event.request
        if isinstance(event, AttemptEnded):
            self.ended.append(event.outcome)
        if isinstance(event, TimerFired):
            return [StartAttempt(self._request, each, NEVER) for each in self._servers]
        return []

    def attempt_written(self, request: int, attempt: int, now: int) -> None:
        """Nothing here bounds another attempt."""

    def write_deadline(self, _request: int, _attempt: int) -> int:
        return NEVER

    def endpoint_counts(self) -> EndpointCounts:
        return EndpointCounts(len(self._servers), 0)


@pytest.mark.parametrize("ahead", [b"", _AHEAD], ids=["", "pipelined"])
@pytest.mark.parametrize("how", _LEAVING)
def test_attempts_are_not_started_when_a_timer_fires_as_the_client_disconnects(
    how: str, ahead: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Two attempts are due at once, as after a step of the loop that came late.
    decisions = _Scripted("s-0", "s-1")
    monkeypatch.setattr("tulipnotch.sidecar.sidecar.Balancer", decisions)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, client_limits=_NEVER_SWEPT) as harness:
            with _application(harness) as application:
                application.send(http_request("check") + ahead)
                await wait_until(lambda: harness.sidecar.open_requests == 1)
                await _paused(harness, ahead)
                _go(application, how, _only(harness))
                harness.sidecar._events.post(TimerFired("due"))
                await _is_over(harness)
                assert decisions.ended == [Outcome.NOT_SENT] * 2
                assert _withheld(harness) == 2
                assert harness.received_requests == []
                assert [each.connection_count for each in harness.servers] == [0, 0]

    run_async(work)


@pytest.mark.parametrize("end", [REJECTION_RESPONSE, ERROR_RESPONSE, None], ids=["full", "failed", "dropped"])
@pytest.mark.parametrize("ahead", [b"", _AHEAD], ids=["", "pipelined"])
@pytest.mark.parametrize("how", [*_LEAVING, "stays"])
def test_attempt_is_not_retried_when_it_ends_as_the_client_disconnects(
    how: str, ahead: bytes, end: bytes | None
) -> None:
    async def work() -> None:
        _, hold = blocking_script()
        async with sidecar_harness(
            hold, hold, client_limits=_NEVER_SWEPT, limit_overrides={"mayCancel": False}
        ) as harness:
            harness.sidecar._balancer._components.retries.budget = 9.0  # it may repeat what failed
            with _application(harness) as application:
                application.send(http_request("check") + ahead)
                await wait_until(lambda: len(harness.received_requests) == 1)
                await _paused(harness, ahead)
                _go(application, how, None if how == "stays" else _only(harness))
                (held,) = harness.sidecar._registry
                connection = held.upstream_requests[0].connection
                assert connection is not None
                if end is not None:
                    connection._read(end)
                else:
                    connection.connection_lost(None)
                if how == "stays":
                    await wait_until(lambda: len(harness.received_requests) == 2)
                    assert _withheld(harness) == 0
                    return
                await _is_over(harness)
                assert len(harness.received_requests) == 1
                assert sum(each.connection_count for each in harness.servers) == 1
                assert _withheld(harness) == 1

    run_async(work)


@pytest.mark.parametrize("is_trial", [False, True], ids=["", "trial"])
@pytest.mark.parametrize("ahead", [b"", _AHEAD], ids=["", "pipelined"])
@pytest.mark.parametrize("how", [*_LEAVING, "stays"])
def test_attempt_is_not_written_when_its_connection_is_reusable_as_the_client_disconnects(
    *, how: str, ahead: bytes, is_trial: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream, "_REUSE_DELAY_US", 600_000_000)  # its end is brought on here

    async def work() -> None:
        async with sidecar_harness(
            OK_RESPONSE, client_limits=_NEVER_SWEPT, limit_overrides={"mayCancel": False}
        ) as harness:
            assert (await harness.send_request("check")).status == 200
            harness.clients[0].close()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            decisions = harness.sidecar._balancer
            listed = decisions._context.endpoints["s-0"]
            if is_trial:
                decisions._components.outlier_detection._ejected.append(listed)
                listed.ejection = Ejection()  # its time to come back
            with _application(harness) as application:
                application.send(http_request("check", timeout="15") + ahead)
                rests = harness.sidecar._upstream._reuse_timers
                await wait_until(lambda: len(rests) == 1)
                await _paused(harness, ahead)
                assert (listed.health.probation_attempt is not None) == is_trial
                _go(application, how, None if how == "stays" else _only(harness))
                ((connection, timer),) = rests.items()
                timer.cancel()
                (held,) = harness.sidecar._registry
                server = harness.sidecar._upstream._endpoints["s-0"]
                harness.sidecar._upstream._reuse_delay_ended(held.upstream_requests[0], server, connection)
                if how == "stays":
                    await wait_until(lambda: len(harness.received_requests) == 2)
                    return
                await _is_over(harness)
                assert len(harness.received_requests) == 1
                assert harness.servers[0].connection_count == 1
                assert _withheld(harness) == 1
                assert listed.health.probation_attempt is None

    run_async(work)


@pytest.mark.parametrize("ahead", [b"", _AHEAD], ids=["", "pipelined"])
@pytest.mark.parametrize("size", [0, 40_000, 200_000], ids=["no body", "kept", "passing through"])
@pytest.mark.parametrize("how", [*_LEAVING, "stays"])
def test_attempt_is_not_written_when_the_last_bytes_come_as_the_client_disconnects(
    how: str, size: int, ahead: bytes
) -> None:
    # An attempt begins with the last byte of its request: what passes through is at its server by half.
    async def work() -> None:
        async with sidecar_harness(
            OK_RESPONSE, client_limits=_NEVER_SWEPT, limit_overrides={"mayCancel": False}
        ) as harness:
            with _application(harness) as application:
                whole = http_request("lodge", timeout="15", body=b"x" * size)
                cut = 20 if size == 0 else len(whole) - 20_000
                application.sendall(whole[:cut])
                state = ConnectionState.STREAMING_BODY if size > 100_000 else ConnectionState.READING
                await wait_until(
                    lambda: [each.state for each in harness.sidecar.downstream.connections()] == [state]
                )
                if state is ConnectionState.STREAMING_BODY:
                    await wait_until(lambda: harness.servers[0].connection_count == 1)
                    (held,) = harness.sidecar._registry
                    await wait_until(lambda: held.incoming.body.size == size - 20_000)
                at_sidecar = _only(harness)
                application.sendall(whole[cut:] + ahead)
                _go(application, how, None if how == "stays" else at_sidecar)
                if how == "stays":
                    await wait_until(lambda: len(harness.received_requests) == 1 + bool(ahead))
                    return
                await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
                await _is_over(harness)
                assert harness.received_requests == []
                if state is ConnectionState.STREAMING_BODY:
                    await wait_until(lambda: harness.servers[0].closed_connections == [0])
                assert harness.received_requests == []
                is_streamed = state is ConnectionState.STREAMING_BODY
                assert harness.servers[0].connection_count == _withheld(harness) == is_streamed

    run_async(work)


@pytest.mark.parametrize("how", [*_LEAVING, "stays"])
def test_end_of_a_body_is_written_after_what_its_server_has_not_read(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The network takes little of it at a time: the rest waits in this process, the last byte among it.
    made = UpstreamConnection.connection_made

    def narrow(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        made(self, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", narrow)

    async def work() -> None:
        loop = asyncio.get_running_loop()
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        server.bind((HOST, 0))
        server.listen()
        server.setblocking(False)
        address = f"{HOST}:{server.getsockname()[1]}"
        async with sidecar_harness(
            client_limits=_NEVER_SWEPT, limit_overrides={"mayCancel": False}
        ) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s", address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            with _application(harness) as application:
                body = b"x" * (MAX_BUFFERED_BODY_BYTES + 20_000)
                application.sendall(http_request("lodge", timeout="15", body=body) + _AHEAD)
                accepted, _ = await loop.sock_accept(server)
                await _paused(harness, _AHEAD)
                (held,) = harness.sidecar._registry
                assert held.incoming.body.is_complete
                assert held.incoming.body.pending_bytes > 1
                got = b""
                while held.incoming.body.pending_bytes > 1:
                    got += await loop.sock_recv(accepted, 1_000)
                _go(application, how, None if how == "stays" else _only(harness))
                while not got.endswith(b"\r\n\r\n" + body):
                    piece = await loop.sock_recv(accepted, 1_000)
                    if not piece:
                        break
                    got += piece
                assert got.endswith(body) == (how == "stays")
                assert _withheld(harness) == (how != "stays")
                accepted.close()
        server.close()

    run_async(work)


def test_attempt_is_not_written_when_its_dial_succeeds_as_the_client_disconnects() -> None:
    # Three at once, each with a request behind the open one: connections come up late by a second.
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": False}
        async with sidecar_harness(limit_overrides=bounds, client_limits=_NEVER_SWEPT) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            applications = [
                socket.create_connection((HOST, harness.sidecar.downstream.port)) for _ in _LEAVING
            ]
            for each in applications:
                each.send(http_request("lodge", timeout="15") + _AHEAD)
            await wait_until(lambda: harness.sidecar.open_requests == 3)
            await wait_until(lambda: len(list(harness.sidecar.downstream.connections())) == 3)
            await _paused(harness, _AHEAD)
            assert harness.sidecar._upstream._dials_in_flight == 3
            for how, each in zip(_LEAVING, applications, strict=True):
                name = each.getsockname()
                (at_sidecar,) = (
                    one
                    for one in harness.sidecar.downstream.connections()
                    if one._transport is not None and one._transport.get_extra_info("peername") == name
                )
                _go(each, how, at_sidecar)
            slow.listener.listen(16)  # its line is long enough now for all that come again
            accepted = [await slow.accept_sidecar_connection() for _ in applications]
            await _is_over(harness)
            assert _withheld(harness) == 3
            harness.sidecar.close()  # the connections themselves may be kept
            for came in accepted:
                assert await _nothing_comes(came)
                came.close()
            for each in applications:
                each.close()
        slow.close()

    run_async(work)
