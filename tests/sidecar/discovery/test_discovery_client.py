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
    within_timeout,
)
from slow_to_accept import FullAcceptQueueServer

from tulipnotch.load_balancing.settings import DiscoveryMode, Rules, Settings
from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.discovery import poll_schedule
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryResponse,
    parse_endpoint_list,
)
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

SOON = PollSchedule(1.2)  # a watch that hangs is overdue within the test
NEVER = PollSchedule(8 * TEST_TIMEOUT_S)  # nothing times out within the test


class Recorder:
    """Records what a client notifies its observer of; a failure is None."""

    def __init__(
        self,
        server: ScriptedServer,
        *,
        pushed: bool = False,
        schedule: PollSchedule | None = None,
        max_poll_interval_us: int = 3_600_000_000,  # the schedule alone decides
    ) -> None:
        self.events: asyncio.Queue[DiscoveryResponse | None] = asyncio.Queue()
        self.faults: list[str] = []
        settings = Settings(
            (),
            instance_index=0,
            discovery_mode=DiscoveryMode.PUSHED if pushed else DiscoveryMode.POLLED,
            rules=Rules(drain_grace_us=250_000, max_poll_interval_us=max_poll_interval_us),
        )
        known = parse_endpoint_list(
            {"version": 41, "full": True, "servers": [endpoint_entry("s-0", f"{HOST}:9")]}
        )
        self.client = DiscoveryClient(parse_address(server.address), settings, known, self, schedule)

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        self.events.put_nowait(response)

    def call_failed(self) -> None:
        self.events.put_nowait(None)

    def fault_changed(self, fault: str) -> None:
        self.faults.append(fault)

    async def next(self) -> DiscoveryResponse | None:
        return await within_timeout(self.events.get())


def test_subscribe_responds_at_once_then_waits_for_events() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [endpoint_entry("s-1", "127.0.0.2:80")]
        await server.start()
        recorder = Recorder(server)
        recorder.client.subscribe()
        first = await recorder.next()
        assert first is not None
        assert first.is_complete
        assert first.version == 1
        await wait_until(lambda: len(server.received_requests) == 2)
        assert server.received_requests[0].target == "/catalog/members?after=41&wait_ms=0"
        path, _, wait_ms = server.received_requests[1].target.rpartition("=")
        assert path == "/catalog/members?after=1&wait_ms"
        assert 0 < int(wait_ms) <= 1_000 * PollSchedule().max_watch_s
        server.announce(endpoint_entry("s-1", "127.0.0.2:80", state="leaving"))
        event = await recorder.next()
        assert event is not None
        assert not event.is_complete
        assert event.version == 2
        await wait_until(lambda: len(server.received_requests) == 3)
        recorder.client.unsubscribe()
        await wait_until(lambda: len(server.closed_connections) == 0 or server.closed_connections == [0])
        recorder.client.close()
        server.stop()

    run_async(work)


GOOD = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "answer",
    [
        http_response(b"", "503 Busy"),
        http_response(b"not json"),
        http_response(b"[" * 100_000),
        http_response(json.dumps({**GOOD, "version": "x"}).encode()),
        http_response(json.dumps({**GOOD, "full": 1}).encode()),
        http_response(json.dumps({**GOOD, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        http_response(
            json.dumps({**GOOD, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}).encode()
        ),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("method", ["subscribe", "fetch"])
def test_client_reports_one_failure_when_a_call_fails(answer: bytes | None, method: str) -> None:
    async def work() -> None:
        async def once(heard: ReceivedRequest) -> bytes:
            server.script = http_response(json.dumps(GOOD).encode())
            if answer is None:
                heard.writer.transport.abort()
                return b""
            return answer

        server = await ScriptedServer(once).start()
        recorder = Recorder(server)

        def call() -> None:
            if method == "subscribe":
                recorder.client.subscribe()
            else:
                recorder.client.fetch()

        call()
        assert await recorder.next() is None
        assert recorder.events.empty()
        call()
        received = await recorder.next()
        assert received is not None
        assert received.version == 7
        recorder.client.close()
        server.stop()

    run_async(work)


def test_change_address_polls_the_new_server_and_reports_no_failure_of_the_old() -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        new.version = 5
        await old.start()
        await new.start()
        recorder = Recorder(old)
        recorder.client.subscribe()
        assert await recorder.next() is not None
        await wait_until(lambda: len(old.received_requests) == 2)
        recorder.client.change_address(parse_address(new.address))
        old.announce(endpoint_entry("s-9", "127.0.0.2:80"))  # dropped: nobody is connected
        received = await recorder.next()
        assert received is not None
        assert received.version == 5
        await wait_until(lambda: old.closed_connections == [0])
        await wait_until(lambda: len(new.received_requests) == 2)
        assert new.received_requests[0].target == "/catalog/members"
        assert recorder.events.empty()
        recorder.client.close()
        for each in (old, new):
            each.stop()

    run_async(work)


def test_fetch_changes_nothing_when_a_newer_version_came_first() -> None:
    # A stale list that arrives after a newer one must not make a draining server ready.
    async def work() -> None:
        release = asyncio.Event()

        async def answer(heard: ReceivedRequest) -> bytes | None:
            if "wait_ms=0" in heard.target:
                return http_response(json.dumps({**GOOD, "version": 42}).encode())
            if "wait_ms" in heard.target:
                return None
            await release.wait()
            return http_response(json.dumps({**GOOD, "version": 40}).encode())

        server = await ScriptedServer(answer).start()
        recorder = Recorder(server)
        recorder.client.fetch()
        await wait_until(lambda: len(server.received_requests) == 1)
        recorder.client.subscribe()
        event = await recorder.next()
        assert event is not None
        assert event.version == 42
        release.set()
        late = await recorder.next()
        assert late == DiscoveryResponse(42, is_complete=False, endpoints=())
        recorder.client.close()
        server.stop()

    run_async(work)


def test_client_reports_failures_when_discovery_is_down() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        recorder = Recorder(server)
        server.stop()
        recorder.client.subscribe()
        assert await recorder.next() is None
        recorder.client.fetch()
        assert await recorder.next() is None

    run_async(work)


def test_subscribe_keeps_the_pending_call_when_repeated() -> None:
    # Calls that were replaced while discovery is slow would never have a response.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(_: ReceivedRequest) -> bytes:
            await release.wait()
            return http_response(json.dumps(GOOD).encode())

        server = await ScriptedServer(slow).start()
        recorder = Recorder(server)
        for _ in range(3):
            recorder.client.subscribe()
        await wait_until(lambda: len(server.received_requests) == 1)
        recorder.client.subscribe()
        release.set()
        assert await recorder.next() is not None
        assert server.connection_count == 1
        recorder.client.close()
        server.stop()

    run_async(work)


def test_client_receives_pushed_lists_after_discovery_restarted() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        recorder = Recorder(server, pushed=True)
        recorder.client.start()
        assert await recorder.next() is not None
        server.stop()
        restarted = ScriptedDiscovery()
        restarted.version = 9
        restarted.servers = [endpoint_entry("s-1", f"{HOST}:80")]
        await restarted.start(port)
        restarted.announce(endpoint_entry("s-2", f"{HOST}:80"))
        received = await recorder.next()
        assert received is not None
        assert received.version == 10
        assert recorder.events.empty()
        recorder.client.close()
        restarted.stop()

    run_async(work)


async def _assert_pushed_list_received(server: ScriptedServer) -> None:
    """Where lists are pushed, the list arrives whatever hangs."""
    recorder = Recorder(server, pushed=True, schedule=NEVER)
    recorder.client.start()
    received = await recorder.next()
    assert received is not None
    assert received.version == 7
    recorder.client.close()
    server.stop()


def test_watch_is_hedged_before_its_timeout_when_it_hangs() -> None:
    # Without it a drain is known only at the timeout of the watch that hangs.
    async def work() -> None:
        server = ScriptedDiscovery()  # its watches hang: it sends no event
        server.servers = [endpoint_entry("s-1", f"{HOST}:80")]
        await server.start()
        recorder = Recorder(server, schedule=SOON)
        recorder.client.subscribe()
        assert await recorder.next() is not None
        server.version, server.servers = 2, [endpoint_entry("s-1", f"{HOST}:80", state="leaving")]
        received = await recorder.next()
        assert received is not None
        assert received.version == 2
        assert server.connection_count >= 2
        recorder.client.close()
        server.stop()

    run_async(work)


@pytest.mark.alone
def test_watch_has_one_early_hedge_when_every_call_hangs() -> None:
    # A fleet must not add load to a discovery server with a long queue.
    schedule = PollSchedule(1.2)

    async def work() -> None:
        async def answer(_: ReceivedRequest) -> bytes | None:
            started.append(asyncio.get_running_loop().time())
            return http_response(json.dumps(GOOD).encode()) if len(started) == 1 else None

        started: list[float] = []
        server = await ScriptedServer(answer).start()
        recorder = Recorder(server, schedule=schedule)
        recorder.client.subscribe()
        await wait_until(lambda: len(started) == 4)
        intervals_s = [later - earlier for earlier, later in itertools.pairwise(started)]
        # All but the first call hang; the first interval is that from its response to the watch.
        assert intervals_s[0] < 0.1 * schedule.call_interval_s
        longest_s = schedule.call_interval_s + schedule.scheduling_margin_s
        assert schedule.hedge_delay_s < intervals_s[1] < longest_s
        assert 0.95 * schedule.call_interval_s < intervals_s[2] < longest_s
        recorder.client.close()
        server.stop()

    run_async(work)


def test_connection_makes_a_second_attempt_when_the_first_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An attempt whose packets are lost is noticed only at its timeout.
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        server = await ScriptedServer(http_response(json.dumps(GOOD).encode())).start()
        addresses = iter([slow.address])
        create_connection = asyncio.get_running_loop().create_connection

        async def connect(factory: Callable[[], asyncio.Protocol], *_: object) -> object:
            return await create_connection(factory, *parse_address(next(addresses, server.address)))

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", connect, raising=False)
        # 0.2 s to the second attempt, 0.8 s to the timeout of the first
        recorder = Recorder(server, schedule=PollSchedule(4.8))
        recorder.client.subscribe()
        received = await recorder.next()
        assert received is not None
        assert received.version == 7
        assert recorder.faults == []
        recorder.client.close()
        server.stop()
        slow.close()

    run_async(work)


@pytest.mark.parametrize("hangs_at", [0, 1], ids=["first call", "first two calls"])
def test_first_calls_are_hedged_when_lists_are_pushed_and_calls_hang(hangs_at: int) -> None:
    # All that discovery has counts as announced, also while a connection to it hangs.
    async def work() -> None:
        async def answer(heard: ReceivedRequest) -> bytes | None:
            return None if heard.connection_number <= hangs_at else http_response(json.dumps(GOOD).encode())

        server = await ScriptedServer(answer).start()
        await _assert_pushed_list_received(server)

    run_async(work)


def test_hedged_calls_are_limited_when_discovery_is_slow() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        recorder = Recorder(server, pushed=True, schedule=NEVER)
        recorder.client.start()
        await wait_until(lambda: server.connection_count == 3)
        await asyncio.sleep(0.3)  # several times the delay of a hedged call
        assert server.connection_count == 3
        recorder.client.close()
        server.stop()

    run_async(work)


def test_calls_begin_within_the_max_poll_interval_when_all_hang() -> None:
    # Settings may allow less time than the schedule leaves between two calls.
    allowed_s = 1.6

    async def work() -> None:
        started: list[float] = []

        async def hang(_: ReceivedRequest) -> None:
            started.append(asyncio.get_running_loop().time())

        server = await ScriptedServer(hang).start()
        recorder = Recorder(server, max_poll_interval_us=int(allowed_s * 1e6))
        recorder.client.subscribe()
        await wait_until(lambda: len(started) == 5)  # beyond the timeout of the first
        intervals_s = [later - earlier for earlier, later in itertools.pairwise(started)]
        assert max(intervals_s) < allowed_s, intervals_s
        recorder.client.close()
        server.stop()

    run_async(work)


def test_pushed_list_is_received_when_a_connection_attempt_hangs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Attempts may hang while discovery is unavailable; what it has on its return counts as announced.
    for name in (
        "_PUSHED_CONNECT_FRACTION",
        "_PUSHED_MAX_INTERVAL_S",
    ):  # the attempt that hangs has no timeout
        monkeypatch.setattr(poll_schedule, name, 1_000.0)
    monkeypatch.setattr(poll_schedule, "_PUSHED_HEDGE_FRACTION", 0.02)

    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        server = await ScriptedServer(http_response(json.dumps(GOOD).encode())).start()
        addresses = iter([slow.address, *[f"{HOST}:9"] * 4])  # nobody listens there
        create_connection = asyncio.get_running_loop().create_connection

        async def connect(factory: Callable[[], asyncio.Protocol], *_: object) -> object:
            return await create_connection(factory, *parse_address(next(addresses, server.address)))

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", connect, raising=False)
        await _assert_pushed_list_received(server)
        slow.close()

    run_async(work)


_LIST = json.dumps({**GOOD, "servers": [endpoint_entry("s-1", "127.0.0.2:80")]}).encode()


@pytest.mark.parametrize(
    ("answer", "cause"),
    [
        (http_response(_LIST[:-9]), "the response is not a valid endpoint list"),
        (http_response(_LIST)[:-9], "the connection was lost before the response was complete"),
        (http_response(b"", "503 Busy"), "the response has status 503"),
        (http_response(_LIST.replace(b"active", b"sleepy")), "unknown state 'sleepy' of s-1"),
    ],
    ids=["truncated", "connection lost", "rejected", "unknown state"],
)
@pytest.mark.parametrize("pushed", [True, False])
def test_unusable_list_is_reported_once_and_retried(answer: bytes, cause: str, *, pushed: bool) -> None:
    async def work() -> None:
        async def script(heard: ReceivedRequest) -> bytes:
            if len(server.received_requests) > 3:
                return http_response(json.dumps(json.loads(_LIST), indent=2).encode())
            heard.writer.write(answer)
            heard.writer.close()
            return b""

        server = await ScriptedServer(script).start()
        recorder = Recorder(server, pushed=pushed)
        recorder.client.start()
        received: DiscoveryResponse | None = None
        while received is None:
            recorder.client.subscribe()  # without effect where lists are pushed
            received = await recorder.next()
        assert received.version == 7
        assert [each.description.name for each in received.endpoints] == ["s-1"]
        assert len(recorder.faults) == 1
        assert cause in recorder.faults[0]
        recorder.client.close()
        server.stop()

    run_async(work)
