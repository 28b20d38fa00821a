"""Propagation of changes: the sidecar also learns of those that discovery has while no watch is open."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from loopback import (
    HOST,
    OK_RESPONSE,
    TEST_TIMEOUT_S,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    SidecarHarness,
    blocking_script,
    endpoint_entry,
    http_request,
    http_response,
    run_async,
    sidecar_harness,
    wait_until,
)
from slow_to_accept import FullAcceptQueueServer

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.settings import DiscoveryMode as Mode
from tulipnotch.sidecar import startup
from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.configuration.configuration import parse_config
from tulipnotch.sidecar.discovery import client as discovery
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

SCHEDULE = PollSchedule(1.2)  # a fifth of the specified 6 s


def _draining_entry(harness: SidecarHarness) -> dict[str, Any]:
    return endpoint_entry("s-0", harness.servers[0].address, state="leaving")


async def _assert_drained(harness: SidecarHarness) -> None:
    """Asserts that the balancer learns of the drain and then sends every request to the other server."""
    await wait_until(lambda: harness.sidecar._balancer.endpoint_counts() == (2, 1))
    request_count = len(harness.servers[0].received_requests)
    for _ in range(12):
        assert (await harness.send_request()).status == 200
    assert len(harness.servers[0].received_requests) == request_count


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("fault", ["hung", "reset", "503", "malformed", "truncated", "restarted"])
def test_drain_is_received_when_the_watch_before_it_was_lost(
    fault: str, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The watch is lost together with its event, but the change counts as announced.
    if fault == "hung":
        monkeypatch.setattr(discovery, "_DEFAULT_SCHEDULE", SCHEDULE)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, discovery=mode) as harness:
            server = harness.discovery
            await wait_until(lambda: len(server.received_requests) >= 2)  # the watch is open
            server.servers[0] = _draining_entry(harness)
            server.version = 2
            if fault == "reset":
                server.close_connections()
            elif fault == "503":
                server.watch_responses.put_nowait(http_response(b"", "503 Busy"))
            elif fault == "malformed":
                server.watch_responses.put_nowait(
                    http_response(b'{"version": 2, "full": false, "servers": [{"id": 7}]}')
                )
            elif fault == "truncated":
                complete = http_response(
                    json.dumps({"version": 2, "full": True, "servers": server.servers}).encode()
                )
                server.received_requests[-1].writer.write(complete[:-20])
                await server.received_requests[-1].writer.drain()
            elif fault == "restarted":
                port = int(server.address.rpartition(":")[2])
                server.stop()
                restarted = ScriptedDiscovery()
                restarted.version, restarted.servers = 2, server.servers
                await wait_until(lambda: any("discovery failed" in each for each in harness.log))
                await restarted.start(port)
            await _assert_drained(harness)
            if fault == "restarted":
                restarted.stop()

    run_async(work)


class DrainingDiscovery(ScriptedDiscovery):
    """Discovery that has a drain after `start_drain`; before it, `fault` determines how calls end."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault = fault  # "none", "503" or "hung"
        self.script = self._respond_before_drain
        self.truncates = False  # whether the response to a watch stops before its end

    async def _respond_before_drain(self, request: ReceivedRequest) -> bytes | None:
        if self.fault == "503":
            return http_response(b"", "503 Busy")
        if self.fault == "hung":
            return None
        if "wait_ms" in request.target and not request.target.endswith("wait_ms=0"):
            if self.truncates:
                request.writer.write(http_response(self.complete_list_json())[:-20])
            return None
        return http_response(self.complete_list_json())

    def complete_list_json(self) -> bytes:
        return json.dumps({"version": self.version, "full": True, "servers": self.servers}).encode()

    def start_drain(self, drained: dict[str, Any]) -> None:
        self.fault, self.version, self.servers = "none", 2, [drained, *self.servers[1:]]


class ConnectionAttempts:
    """Counts connection attempts to one address, and makes some of them hang."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, address: str, hanging: str) -> None:
        self.remaining_hangs = 0  # how many of the next attempts hang
        self.count = 0
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def connect(factory: Callable[[], asyncio.Protocol], host: str, port: int) -> object:
            if f"{host}:{port}" == address:
                self.count += 1
                if self.remaining_hangs > 0:
                    self.remaining_hangs -= 1
                    host, port = parse_address(hanging)
            return await create_connection(factory, host, port)

        monkeypatch.setattr(loop, "create_connection", connect, raising=False)


ANOTHER_ADDRESS = "another address, and the first call hung"
FAULT_CASES = [
    "watch hangs from its first moment",
    "unresponsive in the middle of the wait",
    "half a response, then nothing",
    "refused",
    "503",
    "hung",
    "hung, and the next connection attempt lost",
    "503, and the next connection attempt lost",
    "attempts hang",
    ANOTHER_ADDRESS,
]


async def _lose_calls(
    case: str, harness: SidecarHarness, server: DrainingDiscovery, attempts: ConnectionAttempts
) -> None:
    """Makes calls fail as the case describes, the last of them just before this returns."""

    async def wait_until_failed_often() -> None:
        await wait_until(lambda: _failure_count(harness, attempts) >= 4)

    if case == ANOTHER_ADDRESS:
        await server.start()
        raw = {**dict(harness.sidecar.config.file), "discovery": server.address}
        harness.sidecar.reload(parse_config(raw, raw))
        await wait_until(lambda: len(server.received_requests) >= 1)
        return
    port = int(harness.discovery.address.rpartition(":")[2])
    harness.discovery.stop()
    if case == "refused":
        await wait_until_failed_often()
        await server.start(port)
    elif case == "attempts hang":
        attempts.remaining_hangs = 1_000
        await server.start(port)
        await wait_until_failed_often()
        attempt_count = attempts.count
        await wait_until(lambda: attempts.count > attempt_count)
        attempts.remaining_hangs = 0
    else:
        await server.start(port)
        if server.fault == "none":
            await wait_until(lambda: any("wait_ms=0" not in each.target for each in server.received_requests))
        else:
            await wait_until_failed_often()
            call_count = len(server.received_requests)
            await wait_until(lambda: len(server.received_requests) > call_count)
        attempts.remaining_hangs = 1 if "lost" in case else 0
    if case == "unresponsive in the middle of the wait":
        await asyncio.sleep(SCHEDULE.max_watch_s / 2)


async def _measure_propagation_s(case: str, mode: str, monkeypatch: pytest.MonkeyPatch) -> float:
    """Measures the time from when discovery has a drain and can be reached until the balancer knows it."""
    slow_server = FullAcceptQueueServer()
    await slow_server.fill_accept_queue()
    loop = asyncio.get_running_loop()
    guarantees = {"askWithinUs": int(10e6 * SCHEDULE.max_propagation_s / PollSchedule().max_propagation_s)}
    async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, discovery=mode, guarantees=guarantees) as harness:
        drained = _draining_entry(harness)
        await wait_until(lambda: len(harness.discovery.received_requests) >= 2)  # the watch is open
        server = DrainingDiscovery("503" if "503" in case else "hung" if "hung" in case else "none")
        server.servers, server.truncates = harness.discovery.servers, "half" in case
        attempts = ConnectionAttempts(monkeypatch, harness.discovery.address, slow_server.address)
        await _lose_calls(case, harness, server, attempts)
        server.start_drain(drained)
        reachable_at = loop.time()
        await wait_until(lambda: harness.sidecar._balancer.endpoint_counts() == (2, 1))
        elapsed_s = loop.time() - reachable_at
        await _assert_drained(harness)
        server.stop()
    slow_server.close()
    return elapsed_s


@pytest.mark.alone
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_drain_is_known_within_the_propagation_bound_in_the_worst_case(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The bound is counted from when discovery has the change and can be reached.  Every call that started
    # earlier is lost, the last one just before that time, and calls have failed so often that the retry delay
    # is at its maximum.
    monkeypatch.setattr(discovery, "_DEFAULT_SCHEDULE", SCHEDULE)
    max_wait_ms = int(1_000 * SCHEDULE.max_watch_s)
    monkeypatch.setattr(PollSchedule, "watch_wait_ms", lambda *_, **__: max_wait_ms)

    async def work() -> list[float]:
        # Each case has its own servers, so all of them can run concurrently.
        return await asyncio.gather(
            *(_measure_propagation_s(case, mode, monkeypatch) for case in FAULT_CASES)
        )

    elapsed_s = dict(zip(FAULT_CASES, run_async(work), strict=True))
    bound_s = SCHEDULE.max_propagation_s
    print(*(f"{case}, {mode}: {each:.3f} of {bound_s}" for case, each in elapsed_s.items()), sep="\n")
    # The scripted discovery has no request queue, so the time for waiting in it is not needed.
    max_s = bound_s - SCHEDULE.response_timeout_s
    assert {case: each for case, each in elapsed_s.items() if each >= max_s} == {}


def test_watch_waits_to_the_slot_of_its_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    # Slots depend on the number of the instance, so that the calls of a fleet are not synchronized.
    arguments: list[tuple[int, int, bool]] = []

    def watch_wait_ms(_: PollSchedule, now_us: int, instance: int, *, after_event: bool) -> int:
        arguments.append((now_us, instance, after_event))
        return 2_000

    monkeypatch.setattr(PollSchedule, "watch_wait_ms", watch_wait_ms)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, me=7) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            assert harness.discovery.received_requests[1].target.endswith("wait_ms=2000")
            harness.discovery.announce(_draining_entry(harness))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
        assert [each[1:] for each in arguments] == [(7, False), (7, True)]
        # The slots of all instances refer to the same clock, Unix time.
        assert all(abs(now_us / 1e6 - time.time()) < TEST_TIMEOUT_S for now_us, *_ in arguments)

    run_async(work)


def _failure_count(harness: SidecarHarness, attempts: ConnectionAttempts) -> int:
    """Returns the number of consecutive failed calls where lists are polled, else of connection attempts."""
    is_polled = harness.sidecar.config.settings.discovery_mode is Mode.POLLED
    return (
        harness.sidecar._balancer._components.discovery_polling.failed_calls if is_polled else attempts.count
    )


@asynccontextmanager
async def _harness_before_start() -> AsyncIterator[SidecarHarness]:
    """Yields a sidecar that has not started, with pushed lists, and with a drain that its cache lacks."""
    async with sidecar_harness(
        OK_RESPONSE, OK_RESPONSE, discovery="pushed", started=False, unresponsive_discovery=True
    ) as harness:
        harness.discovery.servers[0] = _draining_entry(harness)
        harness.discovery.version = 2
        yield harness


async def _assert_start_ends_with_list(harness: SidecarHarness, starting: asyncio.Future[None]) -> None:
    """Asserts that a start that is under way does not listen before discovery responds."""
    assert harness.sidecar.downstream._acceptor is None
    harness.discovery.resume_responding()
    await starting
    await _assert_drained(harness)
    assert harness.servers[0].received_requests == []


def test_start_receives_the_list_before_listening_when_lists_are_pushed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # What discovery has counts as announced from the start on; the cached list may be older.
    monkeypatch.setattr(startup, "_PUSHED_LIST_TIMEOUT_S", TEST_TIMEOUT_S)

    async def work() -> None:
        async with _harness_before_start() as harness:
            starting = asyncio.ensure_future(harness.sidecar.start())
            await wait_until(lambda: len(harness.discovery.received_requests) == 1)
            await _assert_start_ends_with_list(harness, starting)

    run_async(work)


@pytest.mark.parametrize("fault", ["503", "hung", "reset", "malformed"])
def test_start_listens_only_with_the_list_when_pushed_discovery_fails_calls(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a failed call that counts as the first response of discovery.
    monkeypatch.setattr(startup, "_PUSHED_LIST_TIMEOUT_S", TEST_TIMEOUT_S)

    async def work() -> None:
        async with _harness_before_start() as harness:
            discovery = harness.discovery
            respond = discovery.script

            async def fail(received: ReceivedRequest) -> bytes | None:
                if fault == "reset":
                    received.writer.transport.abort()
                return {"503": http_response(b"", "503 Busy"), "malformed": http_response(b"{")}.get(fault)

            discovery.script = fail
            starting = asyncio.ensure_future(harness.sidecar.start())
            await wait_until(lambda: len(discovery.received_requests) >= 3)
            discovery.script = respond
            await _assert_start_ends_with_list(harness, starting)

    run_async(work)


def test_start_does_not_wait_for_the_list_when_pushed_discovery_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(startup, "_PUSHED_LIST_TIMEOUT_S", 4 * TEST_TIMEOUT_S)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, discovery="pushed", started=False) as harness:
            harness.discovery.stop()
            await harness.sidecar.start()
            assert (await harness.send_request()).status == 200

    run_async(work)


@pytest.mark.parametrize("state", ["active", "leaving"])
def test_server_gets_no_request_on_an_earlier_connection_attempt_when_it_returns(state: str) -> None:
    # The server has its id and address again but is a new process; the attempt was made for the previous one.
    async def work() -> None:
        slow_server = FullAcceptQueueServer()
        await slow_server.fill_accept_queue()
        async with sidecar_harness(limit_overrides={"dialTimeoutUs": 15_000_000}) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s", slow_server.address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            client = await harness.connect()
            client.send(http_request("lodge", timeout="15"))
            await wait_until(lambda: harness.sidecar.open_requests == 1)
            harness.discovery.announce({"id": "s", "state": "left"})
            await wait_until(lambda: len(harness.discovery.received_requests) >= 4)
            harness.discovery.announce(endpoint_entry("s", slow_server.address, state=state, started_ms=5))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 5)
            accepted = await slow_server.accept_sidecar_connection()
            assert (await client.read_response()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow_server.close()

    run_async(work)


def test_reload_applies_to_new_requests_only_when_requests_are_open() -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold, OK_RESPONSE, servers_listed=False) as harness:
            first, second = (each.address for each in harness.servers)
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s-0", first))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            client = await harness.connect()
            client.send(http_request("lodge", timeout="15"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            # The other discovery server counts its own versions.
            other_discovery = ScriptedDiscovery()
            other_discovery.version, other_discovery.servers = 0, [endpoint_entry("s-1", second)]
            await other_discovery.start()
            previous = harness.sidecar.config
            raw = _minimal_config(previous.name, other_discovery.address)
            harness.sidecar.reload(parse_config(raw, raw))
            await wait_until(lambda: "s-1" in harness.sidecar._balancer._context.endpoints)
            # The new limit is one open request.
            assert (await harness.send_request("check")).status == 503
            release.set()
            # The request that was open keeps its class, its limits and its server.
            assert (await client.read_response()).status == 200
            assert (await harness.send_request("check")).status == 200
            assert [len(each.received_requests) for each in harness.servers] == [1, 1]
            assert harness.sidecar._balancer._context.endpoints["s-1"].state is EndpointState.READY
            other_discovery.stop()

    run_async(work)


def _minimal_config(name: str, address: str) -> dict[str, Any]:
    """Returns a configuration with one class, one attempt, one open request, and discovery at `address`."""
    return {
        "name": name,
        "listen": f"{HOST}:0",
        "discovery": address,
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": []},
        "settings": {
            "lanes": [{"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"}],
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "bounds": {"sendCap": 1, "maxOpen": 1, "dialTimeoutUs": 1_000_000},
        },
    }


def test_accept_pending_serves_connections_in_the_accept_queue() -> None:
    # Closing the listener would reset these connections and lose the requests that were written to them.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            with socket.create_connection((HOST, harness.sidecar.downstream.port)) as client:
                client.sendall(http_request("lodge"))  # the event loop has not run since the connect
                assert harness.sidecar.downstream.accept_pending()
                harness.sidecar.downstream.stop_listening()
                client.settimeout(0.0)
                received = await asyncio.get_running_loop().sock_recv(client, 1_000)
            assert received.startswith(b"HTTP/1.1 200 ")

    run_async(work)


def test_reported_cpu_utilization_is_discarded_when_a_reload_drops_the_report() -> None:
    async def work() -> None:
        async def respond_with_report(_: ReceivedRequest) -> bytes:
            return OK_RESPONSE.replace(b"\r\n\r\n", b"\r\nServer-Load: TEXT util=0.2\r\n\r\n")

        async with sidecar_harness(await ScriptedServer(respond_with_report).start()) as harness:
            assert (await harness.send_request()).status == 200
            assert harness.sidecar._balancer._components.response_times.cpu_utilization is not None
            raw = _minimal_config(harness.sidecar.config.name, harness.discovery.address)
            harness.sidecar.reload(parse_config(raw, raw))
            assert harness.sidecar._balancer._components.response_times.cpu_utilization is None

    run_async(work)
