"""The discovery client, its watch and its connections, over loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable

import pytest
from loopback import (
    HOST,
    TEST_TIMEOUT_S,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    http_response,
    run_async,
    wait_until,
)
from recording_observer import RecordingObserver
from slow_to_accept import FullAcceptQueueServer

from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.discovery import poll_schedule
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

SHORT_SCHEDULE = PollSchedule(1.2)  # short enough for a watch that hangs to be overdue within the test
LONG_SCHEDULE = PollSchedule(8 * TEST_TIMEOUT_S)  # so long that nothing times out within the test


def test_subscribe_receives_the_list_at_once_and_then_waits_for_events() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [endpoint_entry("s-1", "127.0.0.2:80")]
        await server.start()
        observer = RecordingObserver(server)
        observer.client.subscribe()
        initial = await observer.next_notification()
        assert initial is not None
        assert initial.is_complete
        assert initial.version == 1
        await wait_until(lambda: len(server.received_requests) == 2)
        assert server.received_requests[0].target == "/catalog/members?after=41&wait_ms=0"
        path, _, wait_ms = server.received_requests[1].target.rpartition("=")
        assert path == "/catalog/members?after=1&wait_ms"
        assert 0 < int(wait_ms) <= 1_000 * PollSchedule().max_watch_s
        server.announce(endpoint_entry("s-1", "127.0.0.2:80", state="leaving"))
        event = await observer.next_notification()
        assert event is not None
        assert not event.is_complete
        assert event.version == 2
        await wait_until(lambda: len(server.received_requests) == 3)
        observer.client.unsubscribe()
        await wait_until(lambda: len(server.closed_connections) == 0 or server.closed_connections == [0])
        observer.client.close()
        server.stop()

    run_async(work)


VALID_LIST = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "response",
    [
        http_response(b"", "503 Busy"),
        http_response(b"not json"),
        http_response(b"[" * 100_000),
        http_response(json.dumps({**VALID_LIST, "version": "x"}).encode()),
        http_response(json.dumps({**VALID_LIST, "full": 1}).encode()),
        http_response(json.dumps({**VALID_LIST, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        http_response(
            json.dumps(
                {**VALID_LIST, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}
            ).encode()
        ),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("method", ["subscribe", "fetch"])
def test_client_reports_one_failure_when_a_call_fails(response: bytes | None, method: str) -> None:
    async def work() -> None:
        async def respond_once(request: ReceivedRequest) -> bytes:
            server.script = http_response(json.dumps(VALID_LIST).encode())
            if response is None:
                request.writer.transport.abort()
                return b""
            return response

        server = await ScriptedServer(respond_once).start()
        observer = RecordingObserver(server)

        def call() -> None:
            if method == "subscribe":
                observer.client.subscribe()
            else:
                observer.client.fetch()

        call()
        assert await observer.next_notification() is None
        assert observer.notifications.empty()
        call()
        received = await observer.next_notification()
        assert received is not None
        assert received.version == 7
        observer.client.close()
        server.stop()

    run_async(work)


def test_change_address_calls_the_new_server_and_reports_no_failure_of_the_old() -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        new.version = 5
        await old.start()
        await new.start()
        observer = RecordingObserver(old)
        observer.client.subscribe()
        assert await observer.next_notification() is not None
        await wait_until(lambda: len(old.received_requests) == 2)
        observer.client.change_address(parse_address(new.address))
        # This event is written to a call that was replaced; the list of the new server replaces it.
        old.announce(endpoint_entry("s-9", "127.0.0.2:80"))
        await wait_until(lambda: observer.client.version == 5)
        await wait_until(lambda: old.closed_connections == [0])
        await wait_until(lambda: len(new.received_requests) == 2)
        assert new.received_requests[0].target == "/catalog/members"
        assert len(old.received_requests) == 2
        assert "s-9" not in observer.states
        assert None not in [
            observer.notifications.get_nowait() for _ in range(observer.notifications.qsize())
        ]
        observer.client.close()
        for each in (old, new):
            each.stop()

    run_async(work)


def test_fetch_changes_nothing_when_a_newer_version_was_applied_first() -> None:
    # A stale list that arrives after a newer one must not make a draining server ready again.
    async def work() -> None:
        release = asyncio.Event()

        async def respond(request: ReceivedRequest) -> bytes | None:
            if "wait_ms=0" in request.target:
                return http_response(json.dumps({**VALID_LIST, "version": 42}).encode())
            if "wait_ms" in request.target:
                return None
            await release.wait()
            return http_response(json.dumps({**VALID_LIST, "version": 40}).encode())

        server = await ScriptedServer(respond).start()
        observer = RecordingObserver(server)
        observer.client.fetch()
        await wait_until(lambda: len(server.received_requests) == 1)
        observer.client.subscribe()
        event = await observer.next_notification()
        assert event is not None
        assert event.version == 42
        release.set()
        fetched = await observer.next_notification()
        assert fetched == DiscoveryResponse(42, is_complete=False, endpoints=())
        observer.client.close()
        server.stop()

    run_async(work)


def test_client_reports_failures_when_connections_are_refused() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        observer = RecordingObserver(server)
        server.stop()
        observer.client.subscribe()
        assert await observer.next_notification() is None
        observer.client.fetch()
        assert await observer.next_notification() is None

    run_async(work)


def test_subscribe_keeps_the_pending_call_when_repeated() -> None:
    # If calls were replaced while discovery is slow, none of them would have a response.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(_: ReceivedRequest) -> bytes:
            await release.wait()
            return http_response(json.dumps(VALID_LIST).encode())

        server = await ScriptedServer(slow).start()
        observer = RecordingObserver(server)
        for _ in range(3):
            observer.client.subscribe()
        await wait_until(lambda: len(server.received_requests) == 1)
        observer.client.subscribe()
        release.set()
        assert await observer.next_notification() is not None
        assert server.connection_count == 1
        observer.client.close()
        server.stop()

    run_async(work)


def test_client_receives_pushed_lists_when_discovery_was_restarted() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        observer = RecordingObserver(server, pushed=True)
        observer.client.start()
        assert await observer.next_notification() is not None
        server.stop()
        restarted = ScriptedDiscovery()
        restarted.version = 9
        restarted.servers = [endpoint_entry("s-1", f"{HOST}:80")]
        await restarted.start(port)
        restarted.announce(endpoint_entry("s-2", f"{HOST}:80"))
        received = await observer.next_notification()
        assert received is not None
        assert received.version == 10
        assert observer.notifications.empty()
        observer.client.close()
        restarted.stop()

    run_async(work)


async def _assert_pushed_list_received(server: ScriptedServer) -> None:
    """Asserts that a client of pushed lists receives the list before any timeout of the schedule."""
    observer = RecordingObserver(server, pushed=True, schedule=LONG_SCHEDULE)
    observer.client.start()
    received = await observer.next_notification()
    assert received is not None
    assert received.version == 7
    observer.client.close()
    server.stop()


def test_watch_is_hedged_before_its_timeout_when_it_hangs() -> None:
    # Without the hedged call, a drain would be known only at the timeout of the watch that hangs.
    async def work() -> None:
        server = ScriptedDiscovery()  # its watches hang, since no event is announced
        server.servers = [endpoint_entry("s-1", f"{HOST}:80")]
        await server.start()
        observer = RecordingObserver(server, schedule=SHORT_SCHEDULE)
        observer.client.subscribe()
        assert await observer.next_notification() is not None
        server.version, server.servers = 2, [endpoint_entry("s-1", f"{HOST}:80", state="leaving")]
        received = await observer.next_notification()
        assert received is not None
        assert received.version == 2
        assert server.connection_count >= 2
        observer.client.close()
        server.stop()

    run_async(work)


@pytest.mark.alone
def test_watch_has_one_early_hedge_when_every_call_hangs() -> None:
    # The hedged calls of a fleet must not add load to a discovery server with a long queue.
    schedule = PollSchedule(1.2)

    async def work() -> None:
        async def respond(_: ReceivedRequest) -> bytes | None:
            started.append(asyncio.get_running_loop().time())
            return http_response(json.dumps(VALID_LIST).encode()) if len(started) == 1 else None

        started: list[float] = []
        server = await ScriptedServer(respond).start()
        observer = RecordingObserver(server, schedule=schedule)
        observer.client.subscribe()
        await wait_until(lambda: len(started) == 4)
        intervals_s = [later - earlier for earlier, later in itertools.pairwise(started)]
        # All calls but the first hang; the first interval is the time from its response to the watch.
        assert intervals_s[0] < 0.1 * schedule.call_interval_s
        max_interval_s = schedule.call_interval_s + schedule.scheduling_margin_s
        assert schedule.hedge_delay_s < intervals_s[1] < max_interval_s
        assert 0.95 * schedule.call_interval_s < intervals_s[2] < max_interval_s
        observer.client.close()
        server.stop()

    run_async(work)


def test_connection_makes_a_second_attempt_when_the_first_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An attempt whose packets are lost would be noticed only at its timeout.
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        server = await ScriptedServer(http_response(json.dumps(VALID_LIST).encode())).start()
        addresses = iter([slow.address])
        create_connection = asyncio.get_running_loop().create_connection

        async def connect(factory: Callable[[], asyncio.Protocol], *_: object) -> object:
            return await create_connection(factory, *parse_address(next(addresses, server.address)))

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", connect, raising=False)
        # The second attempt starts after 0.2 s, the first times out after 0.8 s.
        observer = RecordingObserver(server, schedule=PollSchedule(4.8))
        observer.client.subscribe()
        received = await observer.next_notification()
        assert received is not None
        assert received.version == 7
        assert observer.faults == []
        observer.client.close()
        server.stop()
        slow.close()

    run_async(work)


@pytest.mark.parametrize("last_hanging_connection", [0, 1], ids=["first call", "first two calls"])
def test_first_calls_are_hedged_when_lists_are_pushed_and_calls_hang(last_hanging_connection: int) -> None:
    # All that discovery has counts as announced, even while a connection to it hangs.
    async def work() -> None:
        async def respond(request: ReceivedRequest) -> bytes | None:
            return (
                None
                if request.connection_number <= last_hanging_connection
                else http_response(json.dumps(VALID_LIST).encode())
            )

        server = await ScriptedServer(respond).start()
        await _assert_pushed_list_received(server)

    run_async(work)


def test_hedged_calls_are_limited_when_discovery_is_slow() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        observer = RecordingObserver(server, pushed=True, schedule=LONG_SCHEDULE)
        observer.client.start()
        await wait_until(lambda: server.connection_count == 3)
        await asyncio.sleep(0.3)  # several times the delay before a hedged call
        assert server.connection_count == 3
        observer.client.close()
        server.stop()

    run_async(work)


def test_calls_start_within_the_max_poll_interval_when_all_hang() -> None:
    # Settings may allow less time than the schedule leaves between two calls.
    max_interval_s = 1.6

    async def work() -> None:
        started: list[float] = []

        async def hang(_: ReceivedRequest) -> None:
            started.append(asyncio.get_running_loop().time())

        server = await ScriptedServer(hang).start()
        observer = RecordingObserver(server, max_poll_interval_us=int(max_interval_s * 1e6))
        observer.client.subscribe()
        await wait_until(lambda: len(started) == 5)  # the fifth starts after the timeout of the first
        intervals_s = [later - earlier for earlier, later in itertools.pairwise(started)]
        assert max(intervals_s) < max_interval_s, intervals_s
        observer.client.close()
        server.stop()

    run_async(work)


def test_pushed_list_is_received_when_a_connection_attempt_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Attempts may hang while discovery is unavailable; what it has when it returns counts as announced.
    # The attempt that hangs must not time out.
    for name in ("_PUSHED_CONNECT_FRACTION", "_PUSHED_MAX_INTERVAL_S"):
        monkeypatch.setattr(poll_schedule, name, 1_000.0)
    monkeypatch.setattr(poll_schedule, "_PUSHED_HEDGE_FRACTION", 0.02)

    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        server = await ScriptedServer(http_response(json.dumps(VALID_LIST).encode())).start()
        addresses = iter([slow.address, *[f"{HOST}:9"] * 4])  # at port 9, connections are refused
        create_connection = asyncio.get_running_loop().create_connection

        async def connect(factory: Callable[[], asyncio.Protocol], *_: object) -> object:
            return await create_connection(factory, *parse_address(next(addresses, server.address)))

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", connect, raising=False)
        await _assert_pushed_list_received(server)
        slow.close()

    run_async(work)


_LIST_JSON = json.dumps({**VALID_LIST, "servers": [endpoint_entry("s-1", "127.0.0.2:80")]}).encode()


@pytest.mark.parametrize(
    ("response", "cause"),
    [
        (http_response(_LIST_JSON[:-9]), "the response is not a valid endpoint list"),
        (http_response(_LIST_JSON)[:-9], "the connection was lost before the response was complete"),
        (http_response(b"", "503 Busy"), "the response has status 503"),
        (http_response(_LIST_JSON.replace(b"active", b"sleepy")), "unknown state 'sleepy' of s-1"),
    ],
    ids=["truncated", "connection lost", "rejected", "unknown state"],
)
@pytest.mark.parametrize("pushed", [True, False])
def test_unusable_list_is_reported_once_and_retried(response: bytes, cause: str, *, pushed: bool) -> None:
    async def work() -> None:
        async def script(request: ReceivedRequest) -> bytes:
            if len(server.received_requests) > 3:
                return http_response(json.dumps(json.loads(_LIST_JSON), indent=2).encode())
            request.writer.write(response)
            request.writer.close()
            return b""

        server = await ScriptedServer(script).start()
        observer = RecordingObserver(server, pushed=pushed)
        observer.client.start()
        received: DiscoveryResponse | None = None
        while received is None:
            observer.client.subscribe()  # has no effect where lists are pushed
            received = await observer.next_notification()
        assert received.version == 7
        assert [each.description.name for each in received.endpoints] == ["s-1"]
        assert len(observer.faults) == 1
        assert cause in observer.faults[0]
        observer.client.close()
        server.stop()

    run_async(work)
