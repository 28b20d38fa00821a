"""Watching and fetching the list, over loopback sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable

import pytest
from loopback import (
    HOST,
    PATIENCE_S,
    Heard,
    ScriptedDiscovery,
    ScriptedServer,
    line,
    play,
    reply,
    soon,
    until,
)
from slow_to_accept import SlowToAccept

from tulipnotch.load_balancing.settings import DiscoveryMode, Rules, Settings
from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.discovery import poll_schedule
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryResponse,
    parse_endpoint_list,
)
from tulipnotch.sidecar.discovery.poll_schedule import PollIntervals, PollSchedule

SOON = PollSchedule(1.2)  # a watch that fell silent is overdue within the test
NEVER = PollSchedule(8 * PATIENCE_S)  # nothing is given up within the test


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
        known = parse_endpoint_list({"version": 41, "full": True, "servers": [line("s-0", f"{HOST}:9")]})
        self.client = DiscoveryClient(parse_address(server.address), settings, known, self, schedule)

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        self.events.put_nowait(response)

    def call_failed(self) -> None:
        self.events.put_nowait(None)

    def fault_changed(self, fault: str) -> None:
        self.faults.append(fault)

    async def next(self) -> DiscoveryResponse | None:
        return await soon(self.events.get())


def test_a_watch_is_answered_at_once_then_waits_for_news() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [line("s-1", "127.0.0.2:80")]
        await server.start()
        recorder = Recorder(server)
        recorder.client.subscribe()
        first = await recorder.next()
        assert first is not None and first.is_complete and first.version == 1
        await until(lambda: len(server.heard) == 2)
        assert server.heard[0].target == "/catalog/members?after=41&wait_ms=0"
        path, _, wait_ms = server.heard[1].target.rpartition("=")
        assert path == "/catalog/members?after=1&wait_ms"
        assert 0 < int(wait_ms) <= 1_000 * PollSchedule().max_watch_s
        server.tell(line("s-1", "127.0.0.2:80", state="leaving"))
        news = await recorder.next()
        assert news is not None and not news.is_complete and news.version == 2
        await until(lambda: len(server.heard) == 3)
        recorder.client.unsubscribe()
        await until(lambda: len(server.closed) == 0 or server.closed == [0])
        recorder.client.close()
        server.stop()

    play(work)


GOOD = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "answer",
    [
        reply(b"", "503 Busy"),
        reply(b"not json"),
        reply(b"[" * 100_000),
        reply(json.dumps({**GOOD, "version": "x"}).encode()),
        reply(json.dumps({**GOOD, "full": 1}).encode()),
        reply(json.dumps({**GOOD, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        reply(json.dumps({**GOOD, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}).encode()),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("how", ["follow", "fetch"])
def test_a_call_that_fails_is_one_failure_and_the_next_is_received(answer: bytes | None, how: str) -> None:
    async def work() -> None:
        async def once(heard: Heard) -> bytes:
            server.script = reply(json.dumps(GOOD).encode())
            if answer is None:
                heard.writer.transport.abort()
                return b""
            return answer

        server = await ScriptedServer(once).start()
        recorder = Recorder(server)

        def call() -> None:
            if how == "follow":
                recorder.client.subscribe()
            else:
                recorder.client.fetch()

        call()
        assert await recorder.next() is None
        assert recorder.events.empty()
        call()
        received = await recorder.next()
        assert received is not None and received.version == 7
        recorder.client.close()
        server.stop()

    play(work)


def test_a_move_asks_the_new_address_for_everything_and_reports_no_failure_of_the_old_one() -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        new.version = 5
        await old.start()
        await new.start()
        recorder = Recorder(old)
        recorder.client.subscribe()
        assert await recorder.next() is not None
        await until(lambda: len(old.heard) == 2)
        recorder.client.change_address(parse_address(new.address))
        old.tell(line("s-9", "127.0.0.2:80"))  # nobody receives it any more
        received = await recorder.next()
        assert received is not None and received.version == 5
        await until(lambda: old.closed == [0])
        await until(lambda: len(new.heard) == 2)
        assert new.heard[0].target == "/catalog/members"
        assert recorder.events.empty()
        recorder.client.close()
        for each in (old, new):
            each.stop()

    play(work)


def test_a_fetch_that_was_overtaken_by_news_changes_nothing() -> None:
    # Guards against an old list that ends after newer changes: a server that drains would be ready again.
    async def work() -> None:
        release = asyncio.Event()

        async def answer(heard: Heard) -> bytes | None:
            if "wait_ms=0" in heard.target:
                return reply(json.dumps({**GOOD, "version": 42}).encode())
            if "wait_ms" in heard.target:
                return None
            await release.wait()
            return reply(json.dumps({**GOOD, "version": 40}).encode())

        server = await ScriptedServer(answer).start()
        recorder = Recorder(server)
        recorder.client.fetch()
        await until(lambda: len(server.heard) == 1)
        recorder.client.subscribe()
        news = await recorder.next()
        assert news is not None and news.version == 42
        release.set()
        late = await recorder.next()
        assert late == DiscoveryResponse(42, False, ())
        recorder.client.close()
        server.stop()

    play(work)


def test_discovery_that_is_down_fails_a_call() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        recorder = Recorder(server)
        server.stop()
        recorder.client.subscribe()
        assert await recorder.next() is None
        recorder.client.fetch()
        assert await recorder.next() is None

    play(work)


def test_a_watch_asked_for_again_before_its_answer_keeps_its_place() -> None:
    # Guards against calls that are begun over and over while discovery is slow, and never answered.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(heard: Heard) -> bytes:
            await release.wait()
            return reply(json.dumps(GOOD).encode())

        server = await ScriptedServer(slow).start()
        recorder = Recorder(server)
        for _ in range(3):
            recorder.client.subscribe()
        await until(lambda: len(server.heard) == 1)
        recorder.client.subscribe()
        release.set()
        assert await recorder.next() is not None
        assert server.connections == 1
        recorder.client.close()
        server.stop()

    play(work)


def test_pushed_lists_are_received_unasked_also_after_the_agent_was_away() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        recorder = Recorder(server, pushed=True)
        recorder.client.start()
        assert await recorder.next() is not None
        server.stop()
        again = ScriptedDiscovery()
        again.version = 9
        again.servers = [line("s-1", f"{HOST}:80")]
        await again.start(port)
        again.tell(line("s-2", f"{HOST}:80"))
        received = await recorder.next()
        assert received is not None and received.version == 10
        assert recorder.events.empty()
        recorder.client.close()
        again.stop()

    play(work)


async def _is_received_unasked(server: ScriptedServer) -> None:
    """Where lists are pushed, the good one arrives whatever hangs."""
    recorder = Recorder(server, pushed=True, schedule=NEVER)
    recorder.client.start()
    received = await recorder.next()
    assert received is not None and received.version == 7
    recorder.client.close()
    server.stop()


def test_a_watch_that_fell_silent_is_asked_anew_before_it_is_given_up() -> None:
    # Guards against learning of a drain only once the silent watch's limit is over.
    async def work() -> None:
        server = ScriptedDiscovery()  # its watches are silent until it tells
        server.servers = [line("s-1", f"{HOST}:80")]
        await server.start()
        recorder = Recorder(server, schedule=SOON)
        recorder.client.subscribe()
        assert await recorder.next() is not None
        server.version, server.servers = 2, [line("s-1", f"{HOST}:80", state="leaving")]
        received = await recorder.next()
        assert received is not None and received.version == 2
        assert server.connections >= 2
        recorder.client.close()
        server.stop()

    play(work)


@pytest.mark.alone
def test_a_watch_that_fell_silent_costs_one_call_beside_it_however_late_the_answer() -> None:
    # Guards against a fleet that asks a directory with a long line ever harder.
    schedule = PollSchedule(1.2)

    async def work() -> None:
        async def answer(heard: Heard) -> bytes | None:
            began.append(asyncio.get_running_loop().time())
            return reply(json.dumps(GOOD).encode()) if len(began) == 1 else None

        began: list[float] = []
        server = await ScriptedServer(answer).start()
        recorder = Recorder(server, schedule=schedule)
        recorder.client.subscribe()
        await until(lambda: len(began) == 4)
        waits = [later - earlier for earlier, later in itertools.pairwise(began)]
        # Each of them hangs; the first wait is that between the answer and the watch after it.
        assert waits[0] < 0.1 * schedule.call_interval_s
        longest_s = schedule.call_interval_s + schedule.scheduling_margin_s
        assert schedule.hedge_delay_s < waits[1] < longest_s
        assert 0.95 * schedule.call_interval_s < waits[2] < longest_s
        recorder.client.close()
        server.stop()

    play(work)


def test_a_dial_that_does_not_come_up_is_made_again_beside_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a dial whose packets are lost: it is silent up to its limit.
    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        server = await ScriptedServer(reply(json.dumps(GOOD).encode())).start()
        where = iter([slow.address])
        real = asyncio.get_running_loop().create_connection

        async def dial(made: Callable[[], asyncio.Protocol], *_: object) -> object:
            return await real(made, *parse_address(next(where, server.address)))

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", dial, raising=False)
        recorder = Recorder(
            server, schedule=PollSchedule(4.8)
        )  # 0.2 s to the second dial, 0.8 s to the limit of the first
        recorder.client.subscribe()
        received = await recorder.next()
        assert received is not None and received.version == 7 and recorder.faults == []
        recorder.client.close()
        server.stop()
        slow.close()

    play(work)


@pytest.mark.parametrize("hangs_at", [0, 1], ids=["the first call", "the second call too"])
def test_where_lists_are_pushed_a_call_without_an_answer_is_made_again_beside_it(hangs_at: int) -> None:
    # Guards against a hung connection to the agent: all that it has counts as announced meanwhile.
    async def work() -> None:
        async def answer(heard: Heard) -> bytes | None:
            return None if heard.connection <= hangs_at else reply(json.dumps(GOOD).encode())

        server = await ScriptedServer(answer).start()
        await _is_received_unasked(server)

    play(work)


def test_a_directory_that_answers_late_is_not_asked_without_end() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        recorder = Recorder(server, pushed=True, schedule=NEVER)
        recorder.client.start()
        await until(lambda: server.connections == 3)
        await asyncio.sleep(0.3)  # several times what a call may take before another is made
        assert server.connections == 3
        recorder.client.close()
        server.stop()

    play(work)


def test_waits_follow_the_grace_where_lists_are_pushed() -> None:
    pushed = PollIntervals.when_pushed(250_000)
    assert pushed.max_retry_delay_s + pushed.hedge_delay_s < 0.25  # both fit into the grace
    assert PollIntervals.when_pushed(0).max_retry_delay_s > 0.0  # no tight loop while discovery is down
    polled = PollIntervals.when_polled(PollSchedule(), 3_600_000_000)
    assert polled.hedge_delay_s > PollSchedule().call_timeout_s  # so there are never two hedged calls


def test_waits_follow_the_time_that_settings_allow_without_asking() -> None:
    schedule = PollSchedule()
    unbounded = PollIntervals.when_polled(schedule, 3_600_000_000)
    assert unbounded.hedge_delay_s == schedule.call_interval_s
    for max_poll_interval_us in (4_000_000, 4_900_000, 10_000_000, 60_000_000):
        assert PollIntervals.when_polled(schedule, max_poll_interval_us) == unbounded
    for allowed_s in (0.75, 1.0, 2.0, 3.5):
        intervals = PollIntervals.when_polled(schedule, int(allowed_s * 1e6))
        assert intervals.max_retry_delay_s <= allowed_s and intervals.hedge_delay_s <= allowed_s
        if allowed_s >= 1.1:  # else the half of it: a longer part would leave nothing to wait for
            margins_s = schedule.scheduling_margin_s + schedule.connection_attempt_delay_s
            assert intervals.hedge_delay_s + margins_s == pytest.approx(allowed_s)
        # Each call ends before there are too many.
        assert (1 + intervals.max_early_hedges) * intervals.hedge_delay_s >= schedule.call_timeout_s


def test_hung_calls_are_followed_by_others_within_the_time_allowed_without_asking() -> None:
    # Guards customers whose settings allow less time than the calls' own schedule leaves between two.
    allowed_s = 1.6

    async def work() -> None:
        begun: list[float] = []

        async def hang(heard: Heard) -> None:
            begun.append(asyncio.get_running_loop().time())

        server = await ScriptedServer(hang).start()
        recorder = Recorder(server, max_poll_interval_us=int(allowed_s * 1e6))
        recorder.client.subscribe()
        await until(lambda: len(begun) == 5)  # beyond the end of the first
        apart = [later - earlier for earlier, later in itertools.pairwise(begun)]
        assert max(apart) < allowed_s, apart
        recorder.client.close()
        server.stop()

    play(work)


def test_where_lists_are_pushed_a_hung_dial_does_not_keep_the_list_from_being_received(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An agent that is away may let dials hang; what it has at its return counts as announced at once.
    for name in ("_PUSHED_CONNECT", "_PUSHED_MAX_S"):  # the hung one is never given up
        monkeypatch.setattr(poll_schedule, name, 1_000.0)
    monkeypatch.setattr(poll_schedule, "_PUSHED_HEDGE", 0.02)

    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        server = await ScriptedServer(reply(json.dumps(GOOD).encode())).start()
        where = iter([slow.address, *[f"{HOST}:9"] * 4])  # nobody listens there
        real = asyncio.get_running_loop().create_connection

        async def dial(made: Callable[[], asyncio.Protocol], *_: object) -> object:
            return await real(made, *parse_address(next(where, server.address)))

        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", dial, raising=False)
        await _is_received_unasked(server)
        slow.close()

    play(work)


_WHOLE = json.dumps({**GOOD, "servers": [line("s-1", "127.0.0.2:80")]}).encode()


@pytest.mark.parametrize(
    ("answer", "cause"),
    [
        (reply(_WHOLE[:-9]), "the list can't be read"),
        (reply(_WHOLE)[:-9], "broke"),
        (reply(b"", "503 Busy"), "status 503"),
        (reply(_WHOLE.replace(b"active", b"sleepy")), "unknown state 'sleepy' of s-1"),
    ],
    ids=["cut short", "broken off", "turned away", "strange"],
)
@pytest.mark.parametrize("pushed", [True, False])
def test_a_list_that_cant_be_used_is_reported_once_and_asked_for_again(
    answer: bytes, cause: str, pushed: bool
) -> None:
    async def work() -> None:
        async def script(heard: Heard) -> bytes:
            if len(server.heard) > 3:
                return reply(json.dumps(json.loads(_WHOLE), indent=2).encode())
            heard.writer.write(answer)
            heard.writer.close()
            return b""

        server = await ScriptedServer(script).start()
        recorder = Recorder(server, pushed=pushed)
        recorder.client.start()
        received: DiscoveryResponse | None = None
        while received is None:
            recorder.client.subscribe()  # where lists are pushed it asks by itself
            received = await recorder.next()
        assert received.version == 7 and [each.description.name for each in received.endpoints] == ["s-1"]
        assert len(recorder.faults) == 1 and cause in recorder.faults[0]
        recorder.client.close()
        server.stop()

    play(work)


def test_a_listing_is_read_as_the_decisions_need_it() -> None:
    listing = parse_endpoint_list(
        {"version": 3, "full": False, "servers": [line("a", "127.0.0.1:80", started_ms=1_700_000_000_123)]}
    )
    listed = listing.endpoints[0].description
    assert listed.started_at == 1_700_000_000_123_000
    gone = parse_endpoint_list({"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]})
    assert gone.endpoints[0].address is None
