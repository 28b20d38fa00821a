"""The invariants of a running process: each shows where a gate is taken out, and none where all hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from barriers import ManualClock, announce_endpoints, server_entry
from loopback import (
    ERROR_RESPONSE,
    OK_RESPONSE,
    REJECTION_RESPONSE,
    ReceivedRequest,
    SidecarHarness,
    blocking_script,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)

from tulipnotch.load_balancing.balancer import Balancer
from tulipnotch.load_balancing.retries import idempotency_rule as repeat_rule
from tulipnotch.load_balancing.retries.retry_policy import RetryPolicy
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.requests.invariants import CloseReason, Invariant, InvariantChecker, WrittenAttempt
from tulipnotch.sidecar.startup import Startup
from tulipnotch.sidecar.upstream.pool import UpstreamPool
from tulipnotch.sidecar.upstream.request import IndependentRequestObserver, UpstreamRequest
from tulipnotch.sidecar.upstream.write_gate import WriteGate

_KEYED = ServiceClass(
    "amend",
    2_000_000,
    500_000,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window_us=1_000_000,
)
_ZONED = ServiceClass(
    "amend",
    2_000_000,
    500_000,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=1_000_000,
)
_UNSAFE = ServiceClass("lodge", 2_000_000, 500_000, idempotency=Idempotency.NON_IDEMPOTENT)
_PING = Request(b"GET", b"/ping", [(b"host", b"s-0")])
_SAFE = ServiceClass("check", 2_000_000, 500_000, idempotency=Idempotency.IDEMPOTENT)


def _written(zone: str = "a", cell: int = 1, at: int = 0, **other: bool) -> WrittenAttempt:
    return WrittenAttempt(zone, cell, at, **{"is_in_flight": False, **other})


@pytest.mark.parametrize(
    ("kind", "before", "new", "holds"),
    [
        (_SAFE, _written(), _written(at=9_000_000, cell=2), True),
        (_UNSAFE, _written(), _written(at=1), False),
        (_UNSAFE, _written(may_have_run=False), _written(at=1), True),
        (_KEYED, _written(), _written(at=999_999), True),
        (_KEYED, _written(), _written(at=1_000_000), False),
        (_KEYED, _written(), _written(at=1, cell=2), False),
        (_KEYED, _written(may_have_run=False), _written(at=1, cell=2), True),
        (_ZONED, _written(), _written(at=1, cell=2), True),
        (_ZONED, _written(), _written(at=1, zone="b"), False),
    ],
)
def test_check_retry_follows_the_deduplication_of_the_class(
    *, kind: ServiceClass, before: WrittenAttempt, new: WrittenAttempt, holds: bool
) -> None:
    guard = InvariantChecker()
    guard.check_retry(b"r-1", kind, new, [before], allows_hedging=True)
    assert guard.broken[Invariant.RETRY_WITHIN_DEDUPLICATION] == (not holds)
    assert guard.violations == (not holds)


def test_check_retry_follows_the_settings_on_hedging() -> None:
    for second_copies in (True, False):
        guard = InvariantChecker()
        guard.check_retry(
            b"r-1", _SAFE, _written(), [_written(is_in_flight=True)], allows_hedging=second_copies
        )
        assert guard.broken[Invariant.RETRY_WITHOUT_HEDGING] == (not second_copies)


async def _two_servers(harness: SidecarHarness) -> None:
    """Ask for something unsafe while the first server breaks off what it has, and the second is well."""
    first, second = harness.servers
    await announce_endpoints(harness, server_entry(0, first.address))
    client = await harness.connect()
    client.send(http_request("lodge"))
    await wait_until(lambda: len(first.received_requests) == 1)
    await announce_endpoints(harness, server_entry(1, second.address))
    first.close_connections()
    await client.read_response()


def _repeats_anything(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(repeat_rule, "write_deadline", lambda *_given: 2**62)
    patch.setattr(repeat_rule, "is_in_deduplication_scope", lambda *_given: True)


def _refuses_anything(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RetryPolicy, "is_rejection_harmless", lambda *_given: True)


@pytest.mark.parametrize(
    ("defect", "invariant"),
    [
        (None, None),
        (_repeats_anything, Invariant.RETRY_WITHIN_DEDUPLICATION),
        (_refuses_anything, Invariant.REJECTION_WITHOUT_EFFECT),
    ],
    ids=["none", "repeats anything", "refuses anything"],
)
def test_invariants_are_broken_when_a_rule_is_left_out(
    defect: Callable[[pytest.MonkeyPatch], None] | None,
    invariant: Invariant | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if defect is not None:
        defect(monkeypatch)

    async def work() -> None:
        async def silent(_heard: ReceivedRequest) -> None:
            return None

        async with sidecar_harness(silent, OK_RESPONSE, servers_listed=False) as harness:
            await _two_servers(harness)
            broken = [each for each, count in harness.sidecar._context.invariants.broken.items() if count]
            assert broken == ([] if invariant is None else [invariant])
            assert any("invariant broken" in each for each in harness.log) == (invariant is not None)
            (figure,) = [
                each
                for each in harness.sidecar.command_handlers()["telemetry"]()
                if "invariant_violations" in each
            ]
            assert figure == f"app.invariant_violations={len(broken)}"

    run_async(work)


def test_invariants_are_broken_when_an_attempt_is_written_without_a_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The gate before each write is taken out, and so is what withdraws an attempt.
    monkeypatch.setattr(WriteGate, "may_write", lambda _upstream, _call: True)
    monkeypatch.setattr(UpstreamPool, "cancel_unwritten", lambda _upstream, _call: None)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            monkeypatch.setattr(Balancer, "write_deadline", lambda *_given: 2**62)
            held: list[Any] = []
            exchange = harness.sidecar._upstream._write

            def late(call: Any, connection: Any) -> None:
                held.append((call, connection))

            monkeypatch.setattr(harness.sidecar._upstream, "_write", late)
            client.send(http_request("check"))
            await wait_until(lambda: bool(held))
            client.close()
            await wait_until(lambda: not any(each.is_waiting for each in harness.sidecar._registry))
            exchange(*held[0])
            assert harness.sidecar._context.invariants.broken[Invariant.CLIENT_WAITS_FOR_ATTEMPT] == 1

    run_async(work)


def test_attempt_is_not_written_after_its_deadline_when_its_timer_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE) as harness:
            held: list[Any] = []
            put_to_use = harness.sidecar._upstream._use_connection

            def late(call: Any, server: Any, connection: Any) -> bool:
                held.append((call, server, connection))
                return True

            monkeypatch.setattr(harness.sidecar._upstream, "_use_connection", late)
            client = await harness.connect()
            client.send(http_request("check", timeout="1.0"))
            await wait_until(lambda: bool(held))
            clock.advance(1_000_000)
            monkeypatch.undo()
            put_to_use(*held[0])
            assert (await client.read_response()).status in (503, 504)
            assert harness.received_requests == []
            assert harness.sidecar._context.invariants.violations == 0

    run_async(work)


def test_invariants_are_broken_when_a_connection_with_a_pending_response_is_closed() -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            client = await harness.connect()
            client.send(http_request("check"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            (side,) = harness.sidecar.downstream.connections()
            assert isinstance(side, DownstreamConnection)
            side.close(CloseReason.IDLE)
            assert harness.sidecar._context.invariants.broken[Invariant.CLOSE_WITHOUT_PENDING_RESPONSE] == 1
            release.set()

    run_async(work)


def test_telemetry_counts_reasons_of_closes_retries_and_rejections() -> None:
    answers = iter([REJECTION_RESPONSE, ERROR_RESPONSE, OK_RESPONSE])

    async def work() -> None:
        async def script(_heard: ReceivedRequest) -> bytes:
            return next(answers)

        async with sidecar_harness(script, script, script) as harness:
            client = await harness.connect()
            assert (await client.send_request("check")).status == 200
            client.close()
            await wait_until(lambda: not harness.sidecar.downstream.open_connections)
            figures = dict(
                each.partition("=")[::2] for each in harness.sidecar.command_handlers()["telemetry"]()
            )
            assert figures["app.retries.full"] == figures["app.retries.error"] == "1"
            assert figures["app.client_closes.client_left"] == "1"
            assert figures["app.invariant_violations"] == "0"

    run_async(work)


def test_trace_logs_a_request_from_its_arrival_to_its_end() -> None:
    from tulipnotch.sidecar.requests.trace import Trace

    async def work() -> None:
        async with sidecar_harness(ERROR_RESPONSE, OK_RESPONSE) as harness:
            harness.sidecar._context.trace = Trace(harness.sidecar._context.log)
            first, second = harness.servers
            await announce_endpoints(harness, server_entry(0, first.address))
            await harness.send_request("check", Request_Id="r-7")
            await asyncio.sleep(0)
            own = [each for each in harness.log if each.startswith("request r-7: ")]
            assert own[0] == "request r-7: received, check, 2000 ms left"
            assert any("attempt 0 to s-" in each for each in own)
            assert "request r-7: attempt 0 written" in own
            assert any(each.startswith("request r-7: ended with status ") for each in own)
            assert second is not first

    run_async(work)


def test_check_attempt_reports_a_write_after_the_deadline() -> None:
    guard = InvariantChecker()
    guard.check_attempt(b"r-1", is_client_waiting=True, now=5, deadline=5)
    assert [each for each, count in guard.broken.items() if count] == [Invariant.ATTEMPT_BEFORE_DEADLINE]


def test_invariants_are_broken_when_an_attempt_goes_to_a_draining_server() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            assert (await harness.send_request("check")).status == 200
            upstream = harness.sidecar._upstream
            (server,) = upstream._endpoints.values()
            connection = server.idle.pop().connection
            server.is_draining = True
            call = UpstreamRequest("s-0", 2**61, lambda _left_us: _PING, IndependentRequestObserver())
            upstream._write(call, connection)
            assert harness.sidecar._context.invariants.broken[Invariant.ATTEMPT_TO_READY_ENDPOINT] == 1

    run_async(work)


def test_invariants_are_broken_when_a_start_does_not_call_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    async def goes_on(*_given: object) -> None:
        return None

    monkeypatch.setattr(Startup, "_wait", goes_on)

    async def work() -> None:
        for discovery, broken in (("pushed", 1), ("on_request", 0)):
            async with sidecar_harness(
                OK_RESPONSE, discovery=discovery, unresponsive_discovery=True
            ) as harness:
                assert harness.sidecar._context.invariants.broken[Invariant.READY_AFTER_DISCOVERY] == broken

    run_async(work)


def test_invariants_are_broken_when_a_shutdown_leaves_pending_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        _, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            client = await harness.connect()
            client.send(http_request("check", timeout="0.2"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            monkeypatch.setattr(harness.sidecar._responses, "respond", lambda *_given: None)
            await harness.sidecar.shut_down()
            assert harness.sidecar._context.invariants.broken[Invariant.STOP_WITHOUT_PENDING_RESPONSE] == 1

    run_async(work)
