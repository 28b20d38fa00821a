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

from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.discovery import client as discovery
from tulipnotch.sidecar.discovery.client import DiscoveryClient, DiscoveryResponse, Waits, parse_listing
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

SOON = PollSchedule(1.2)  # a watch that fell silent is overdue within the test
NEVER = PollSchedule(8 * PATIENCE_S)  # nothing is given up within the test


class Ears:
    """What discovery received."""

    def __init__(
        self,
        server: ScriptedServer,
        version: int = 41,
        pushed: bool = False,
        instance: int = 0,
        plan: PollSchedule | None = None,
        max_poll_interval_us: int | None = None,
    ) -> None:
        self.events: asyncio.Queue[DiscoveryResponse | None] = asyncio.Queue()
        self.faults: list[str] = []
        self.discovery = DiscoveryClient(
            parse_address(server.address),
            version,
            pushed,
            self.events.put_nowait,
            lambda: self.events.put_nowait(None),
            self.faults.append,
            grace_us=250_000,
            instance=instance,
            plan=plan,
            max_poll_interval_us=max_poll_interval_us,
        )

    async def next(self) -> DiscoveryResponse | None:
        return await soon(self.events.get())


def test_a_watch_is_answered_at_once_then_waits_for_news() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [line("s-1", "127.0.0.2:80")]
        await server.start()
        ears = Ears(server)
        ears.discovery.subscribe(True)
        first = await ears.next()
        assert first is not None and first.is_complete and first.version == 1
        await until(lambda: len(server.heard) == 2)
        assert server.heard[0].target == "/catalog/members?after=41&wait_ms=0"
        path, _, wait_ms = server.heard[1].target.rpartition("=")
        assert path == "/catalog/members?after=1&wait_ms"
        assert 0 < int(wait_ms) <= 1_000 * PollSchedule().watch_s
        server.tell(line("s-1", "127.0.0.2:80", state="leaving"))
        news = await ears.next()
        assert news is not None and not news.is_complete and news.version == 2
        await until(lambda: len(server.heard) == 3)
        ears.discovery.subscribe(False)
        await until(lambda: len(server.closed) == 0 or server.closed == [0])
        ears.discovery.close()
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
        ears = Ears(server)

        def call() -> None:
            if how == "follow":
                ears.discovery.subscribe(True)
            else:
                ears.discovery.fetch()

        call()
        assert await ears.next() is None
        assert ears.events.empty()
        call()
        received = await ears.next()
        assert received is not None and received.version == 7
        ears.discovery.close()
        server.stop()

    play(work)


def test_a_move_asks_the_new_address_for_everything_and_reports_no_failure_of_the_old_one() -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        new.version = 5
        await old.start()
        await new.start()
        ears = Ears(old)
        ears.discovery.subscribe(True)
        assert await ears.next() is not None
        await until(lambda: len(old.heard) == 2)
        ears.discovery.change_address(parse_address(new.address))
        old.tell(line("s-9", "127.0.0.2:80"))  # nobody receives it any more
        received = await ears.next()
        assert received is not None and received.version == 5
        await until(lambda: old.closed == [0])
        await until(lambda: len(new.heard) == 2)
        assert new.heard[0].target == "/catalog/members"
        assert ears.events.empty()
        ears.discovery.close()
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
        ears = Ears(server)
        ears.discovery.fetch()
        await until(lambda: len(server.heard) == 1)
        ears.discovery.subscribe(True)
        news = await ears.next()
        assert news is not None and news.version == 42
        release.set()
        late = await ears.next()
        assert late == DiscoveryResponse(42, False, ())
        ears.discovery.close()
        server.stop()

    play(work)


def test_discovery_that_is_down_fails_a_call() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        ears = Ears(server)
        server.stop()
        ears.discovery.subscribe(True)
        assert await ears.next() is None
        ears.discovery.fetch()
        assert await ears.next() is None

    play(work)


def test_a_watch_asked_for_again_before_its_answer_keeps_its_place() -> None:
    # Guards against calls that are begun over and over while discovery is slow, and never answered.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(heard: Heard) -> bytes:
            await release.wait()
            return reply(json.dumps(GOOD).encode())

        server = await ScriptedServer(slow).start()
        ears = Ears(server)
        for _ in range(3):
            ears.discovery.subscribe(True)
        await until(lambda: len(server.heard) == 1)
        ears.discovery.subscribe(True)
        release.set()
        assert await ears.next() is not None
        assert server.connections == 1
        ears.discovery.close()
        server.stop()

    play(work)


def test_pushed_lists_are_received_unasked_also_after_the_agent_was_away() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        ears = Ears(server, pushed=True)
        ears.discovery.start()
        assert await ears.next() is not None
        server.stop()
        again = ScriptedDiscovery()
        again.version = 9
        again.servers = [line("s-1", f"{HOST}:80")]
        await again.start(port)
        again.tell(line("s-2", f"{HOST}:80"))
        received = await ears.next()
        assert received is not None and received.version == 10
        assert ears.events.empty()
        ears.discovery.close()
        again.stop()

    play(work)


async def _is_received_unasked(server: ScriptedServer) -> None:
    """Where lists are pushed, the good one arrives whatever hangs."""
    ears = Ears(server, pushed=True, plan=NEVER)
    ears.discovery.start()
    received = await ears.next()
    assert received is not None and received.version == 7
    ears.discovery.close()
    server.stop()


def test_a_watch_that_fell_silent_is_asked_anew_before_it_is_given_up() -> None:
    # Guards against learning of a drain only once the silent watch's limit is over.
    async def work() -> None:
        server = ScriptedDiscovery()  # its watches are silent until it tells
        server.servers = [line("s-1", f"{HOST}:80")]
        await server.start()
        ears = Ears(server, plan=SOON)
        ears.discovery.subscribe(True)
        assert await ears.next() is not None
        server.version, server.servers = 2, [line("s-1", f"{HOST}:80", state="leaving")]
        received = await ears.next()
        assert received is not None and received.version == 2
        assert server.connections >= 2
        ears.discovery.close()
        server.stop()

    play(work)


@pytest.mark.alone
def test_a_watch_that_fell_silent_costs_one_call_beside_it_however_late_the_answer() -> None:
    # Guards against a fleet that asks a directory with a long line ever harder.
    plan = PollSchedule(1.2)

    async def work() -> None:
        async def answer(heard: Heard) -> bytes | None:
            began.append(asyncio.get_running_loop().time())
            return reply(json.dumps(GOOD).encode()) if len(began) == 1 else None

        began: list[float] = []
        server = await ScriptedServer(answer).start()
        ears = Ears(server, plan=plan)
        ears.discovery.subscribe(True)
        await until(lambda: len(began) == 4)
        waits = [later - earlier for earlier, later in itertools.pairwise(began)]
        # Each of them hangs; the first wait is that between the answer and the watch after it.
        assert waits[0] < 0.1 * plan.apart_s
        assert plan.overdue_s < waits[1] < plan.apart_s + plan.late_s
        assert 0.95 * plan.apart_s < waits[2] < plan.apart_s + plan.late_s
        ears.discovery.close()
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
        ears = Ears(
            server, plan=PollSchedule(4.8)
        )  # 0.2 s to the second dial, 0.8 s to the limit of the first
        ears.discovery.subscribe(True)
        received = await ears.next()
        assert received is not None and received.version == 7 and ears.faults == []
        ears.discovery.close()
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
        ears = Ears(server, pushed=True, plan=NEVER)
        ears.discovery.start()
        await until(lambda: server.connections == 3)
        await asyncio.sleep(0.3)  # several times what a call may take before another is made
        assert server.connections == 3
        ears.discovery.close()
        server.stop()

    play(work)


def test_waits_follow_the_grace_where_lists_are_pushed() -> None:
    pushed = Waits.of(True, 250_000, PollSchedule())
    assert pushed.again_s + pushed.overdue_s < 0.25  # both fit into the grace
    assert (
        Waits.of(True, 0, PollSchedule()).again_s > 0.0
    )  # an agent that is down is not asked in a tight loop
    asked = Waits.of(False, 250_000, PollSchedule())
    assert asked.overdue_s > PollSchedule().call_s  # a call is over before the next: never two beside a watch


def test_waits_follow_the_time_that_settings_allow_without_asking() -> None:
    plan = PollSchedule()
    for max_poll_interval_us in (4_000_000, 4_900_000, 10_000_000, 60_000_000):
        assert Waits.of(False, 250_000, plan, max_poll_interval_us) == Waits.of(False, 250_000, plan)
    for ask_within_s in (0.75, 1.0, 2.0, 3.5):
        waits = Waits.of(False, 250_000, plan, int(ask_within_s * 1e6))
        assert waits.again_s <= ask_within_s and waits.overdue_s <= ask_within_s
        if ask_within_s >= 1.1:  # else the half of it: a longer part would leave nothing to wait for
            assert waits.overdue_s + plan.late_s + plan.dial_again_s == pytest.approx(ask_within_s)
        assert (1 + waits.most_beside) * waits.overdue_s >= plan.call_s  # each ends before there are too many


def test_hung_calls_are_followed_by_others_within_the_time_allowed_without_asking() -> None:
    # Guards customers whose settings allow less time than the calls' own schedule leaves between two.
    allowed_s = 1.6

    async def work() -> None:
        begun: list[float] = []

        async def hang(heard: Heard) -> None:
            begun.append(asyncio.get_running_loop().time())

        server = await ScriptedServer(hang).start()
        ears = Ears(server, max_poll_interval_us=int(allowed_s * 1e6))
        ears.discovery.subscribe(True)
        await until(lambda: len(begun) == 5)  # beyond the end of the first
        apart = [later - earlier for earlier, later in itertools.pairwise(begun)]
        assert max(apart) < allowed_s, apart
        ears.discovery.close()
        server.stop()

    play(work)


def test_where_lists_are_pushed_a_hung_dial_does_not_keep_the_list_from_being_received(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An agent that is away may let dials hang; what it has at its return counts as announced at once.
    for name in ("_PUSHED_DIAL", "_PUSHED_MOST_S"):  # the hung one is never given up
        monkeypatch.setattr(discovery, name, 1_000.0)
    monkeypatch.setattr(discovery, "_PUSHED_OVERDUE", 0.02)

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
        ears = Ears(server, pushed=pushed)
        ears.discovery.start()
        received: DiscoveryResponse | None = None
        while received is None:
            ears.discovery.subscribe(True)  # where lists are pushed it asks by itself
            received = await ears.next()
        assert received.version == 7 and [each.description.name for each in received.endpoints] == ["s-1"]
        assert len(ears.faults) == 1 and cause in ears.faults[0]
        ears.discovery.close()
        server.stop()

    play(work)


def test_a_listing_is_read_as_the_decisions_need_it() -> None:
    listing = parse_listing(
        {"version": 3, "full": False, "servers": [line("a", "127.0.0.1:80", started_ms=1_700_000_000_123)]}
    )
    listed = listing.endpoints[0].description
    assert listed.started_at == 1_700_000_000_123_000
    gone = parse_listing({"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]})
    assert gone.endpoints[0].address is None
