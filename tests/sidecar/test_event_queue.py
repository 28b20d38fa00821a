"""Events and actions: what the decisions see and what becomes of their word, over loopback sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

import pytest
from loopback import HOST, OK_RESPONSE, ReceivedRequest, http_request, run_async, sidecar_harness, wait_until

from tulipnotch.load_balancing import Settings
from tulipnotch.load_balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogEvent,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
)
from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestArrived,
    TimerFired,
)
from tulipnotch.load_balancing.outcomes import Outcome

T = TypeVar("T")
FAR = 2**52


class Scripted:
    """Decisions by a script, in place of the module; it keeps what it heard."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.times: list[int] = []
        self._inside = False

    def __call__(self, _settings: Settings, _seed: int) -> Scripted:
        return self

    def handle(self, now: int, event: Event) -> list[Action]:
        assert not self._inside
        self._inside = True
        self.events.append(event)
        self.times.append(now)
        try:
            return self.decide(event)
        finally:
            self._inside = False

    def attempt_written(self, request: int, attempt: int, now: int) -> None:
        """Nothing here bounds another attempt."""

    def write_deadline(self, _request: int, _attempt: int) -> int:
        return NEVER

    def heard(self, kind: type[T]) -> list[T]:
        return [each for each in self.events if isinstance(each, kind)]


@pytest.fixture
def scripted(monkeypatch: pytest.MonkeyPatch) -> Callable[[Callable[[Event], list[Action]]], Scripted]:
    def use(decide: Callable[[Event], list[Action]]) -> Scripted:
        balancer = Scripted(decide)
        monkeypatch.setattr("tulipnotch.sidecar.sidecar.Balancer", balancer)
        return balancer

    return use


Use = Callable[[Callable[[Event], list[Action]]], Scripted]


def on_arrival(*actions: Callable[[int], Action]) -> Callable[[Event], list[Action]]:
    def decide(event: Event) -> list[Action]:
        return [each(event.request) for each in actions] if isinstance(event, RequestArrived) else []

    return decide


def test_responses_are_written_at_once_with_retry_after_in_decimals(scripted: Use) -> None:
    def decide(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        number = event.request
        return [RejectRequest(number, 250_000)] if event.service_class == "check" else [FailRequest(number)]

    async def work() -> None:
        scripted(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            refused = await harness.send_request("check", timeout="9000")
            assert (refused.status, refused.headers["retry-after"]) == (503, "0.250")
            failed = await harness.send_request("lodge", timeout="9000")
            assert failed.status in (502, 504)
            assert "retry-after" not in failed.headers
            assert harness.received_requests == []
            assert harness.sidecar.open_requests == 0

    run_async(work)


def test_attempt_ends_once_and_its_connection_is_closed_when_cancelled(scripted: Use) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, "s-0", FAR), SetTimer(50_000, "later")]
        if isinstance(event, TimerFired):
            return [CancelAttempt(1, 0), CancelAttempt(1, 0), CancelAttempt(9, 0), CancelAttempt(1, 7)]
        return [FailRequest(event.request)] if isinstance(event, AttemptEnded) else []

    async def work() -> None:
        balancer = scripted(decide)
        async with sidecar_harness(None) as harness:
            assert (await harness.send_request("lodge")).status == 502
            (ended,) = balancer.heard(AttemptEnded)
            assert (ended.outcome, ended.is_responded, ended.endpoint) == (Outcome.CANCELLED, False, "s-0")
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert balancer.heard(TimerFired)[0].token == "later"
            assert balancer.times == sorted(balancer.times)

    run_async(work)


def test_request_is_responded_by_the_first_delivery_when_several_attempts_end(scripted: Use) -> None:
    async def work() -> None:
        balancer = scripted(
            on_arrival(
                lambda number: StartAttempt(number, "s-0", FAR),
                lambda number: StartAttempt(number, "s-1", FAR),
                lambda number: StartAttempt(number, "unheard-of", FAR),
                lambda number: StartAttempt(number, "s-0", 1),
            )
        )
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE) as harness:
            assert (await harness.send_request()).body == b"served"
            await wait_until(lambda: len(balancer.heard(AttemptEnded)) == 4)
            ended = {each.attempt: each for each in balancer.heard(AttemptEnded)}
            assert [ended[number].outcome for number in range(4)] == [
                Outcome.DELIVERED,
                Outcome.DELIVERED,
                Outcome.NOT_SENT,
                Outcome.NOT_SENT,
            ]
            assert all(each.is_responded for each in (ended[0], ended[1]))
            assert harness.sidecar.open_requests == 0

    run_async(work)


def test_balancer_is_notified_when_a_client_disconnects(scripted: Use) -> None:
    async def work() -> None:
        balancer = scripted(on_arrival(lambda number: StartAttempt(number, "s-0", FAR)))
        release = asyncio.Event()

        async def hold(_heard: ReceivedRequest) -> bytes:
            await release.wait()
            return OK_RESPONSE

        async with sidecar_harness(hold) as harness:
            client = await harness.connect()
            client.send(http_request("check"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            client.close()
            await wait_until(lambda: balancer.heard(ClientDisconnected) == [ClientDisconnected(1)])
            release.set()
            await wait_until(lambda: len(balancer.heard(AttemptEnded)) == 1)
            assert balancer.heard(AttemptEnded)[0].is_responded

    run_async(work)


@pytest.mark.parametrize("how", ["header", "body"])
def test_health_check_brings_its_load_report(scripted: Use, how: str) -> None:
    async def report(_heard: ReceivedRequest) -> bytes:
        text = b"TEXT qps=7, util=0.5"
        if how == "header":
            return b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n" % text
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    async def work() -> None:
        balancer = scripted(
            lambda event: [StartHealthCheck("s-0")] if isinstance(event, RequestArrived) else []
        )
        async with sidecar_harness(report, limit_overrides={"probing": True}) as harness:
            (await harness.connect()).send(http_request())
            await wait_until(lambda: len(balancer.heard(HealthCheckEnded)) == 1)
            ended = balancer.heard(HealthCheckEnded)[0]
            assert (ended.endpoint, ended.outcome) == ("s-0", Outcome.DELIVERED)
            assert ended.report == {"qps": 7.0, "util": 0.5}
            assert harness.received_requests[0].target == "/_load"
            assert "request-id" not in harness.received_requests[0].headers

    run_async(work)


def test_actions_close_idle_connections_fetch_the_endpoint_list_and_log(scripted: Use) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, "s-0", FAR)]
        if isinstance(event, AttemptEnded):
            return [
                CloseIdleConnections("s-0"),
                CloseIdleConnections("unheard-of"),
                FetchEndpoints(),
                LogEvent("readmitted", "s-0"),
            ]
        return []

    async def work() -> None:
        balancer = scripted(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            assert (await harness.send_request()).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: len(balancer.heard(EndpointsUpdated)) == 2)
            assert [each.kind for each in balancer.heard(EndpointsUpdated)] == [
                EndpointUpdateKind.CACHED,
                EndpointUpdateKind.COMPLETE,
            ]
            assert harness.discovery.received_requests[0].target == "/catalog/members"
            assert harness.log == ["readmitted s-0"]

    run_async(work)


def test_peer_message_reaches_the_other_sidecar(scripted: Use) -> None:
    async def work() -> None:
        balancer = scripted(
            lambda event: (
                [SendPeerMessage(1, b"hi"), SendPeerMessage(1, b"x" * 257)]
                if isinstance(event, RequestArrived)
                else []
            )
        )
        loop = asyncio.get_running_loop()
        got: asyncio.Queue[tuple[bytes, tuple[str, int]]] = asyncio.Queue()

        class Other(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                got.put_nowait((data, addr))

        transport, _ = await loop.create_datagram_endpoint(Other, local_addr=(HOST, 0))
        other = transport.get_extra_info("sockname")
        mine, _ = await loop.create_datagram_endpoint(Other, local_addr=(HOST, 0))
        own = mine.get_extra_info("sockname")
        mine.close()
        await asyncio.sleep(0)
        peers: dict[str, Any] = {
            "peer_listen": f"{own[0]}:{own[1]}",
            "peers": [f"{own[0]}:{own[1]}", f"{other[0]}:{other[1]}"],
        }
        async with sidecar_harness(
            OK_RESPONSE, config_overrides=peers, limit_overrides={"mayTell": True}
        ) as harness:
            (await harness.connect()).send(http_request())
            data, sender = await got.get()
            assert (data, sender) == (b"hi", own)
            assert harness.log == ["a message to other sidecars could not be sent"]
            transport.sendto(b"back", own)
            await wait_until(lambda: balancer.heard(PeerMessageReceived) == [PeerMessageReceived(1, b"back")])
        transport.close()

    run_async(work)


def test_internal_error_fails_its_request_and_no_other(scripted: Use) -> None:
    # Guards against a request that nobody owns any more, after an exception on its way.
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            if event.service_class == "lodge":
                raise ZeroDivisionError
            return [StartAttempt(event.request, "s-0", FAR)]
        return []

    async def work() -> None:
        scripted(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            assert (await harness.send_request("lodge")).status == 500
            assert (await harness.send_request("check")).status == 200
            assert harness.log == ["internal error: RequestArrived: ZeroDivisionError()"]

    run_async(work)


def test_actions_are_executed_when_one_before_them_raises(scripted: Use) -> None:
    # Guards against a request, or the one timer of all deadlines, that is lost with a line of the log.
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [LogEvent("readmitted", "s-0"), StartAttempt(event.request, "s-0", FAR)]
        return []

    async def work() -> None:
        scripted(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            said: list[str] = []

            def note(event: str, /, **_fields: object) -> None:
                said.append(event)
                if event == "readmitted":
                    raise OSError("no room")

            harness.sidecar._context.log = note
            assert (await harness.send_request("check")).status == 200
            assert said == ["readmitted", "internal_error"]

    run_async(work)


def test_sidecar_serves_on_after_any_bytes_from_clients_and_servers() -> None:
    chance = random.Random(20)

    def mangled(text: bytes) -> bytes:
        data = bytearray(text)
        for _ in range(chance.randint(1, 6)):
            at = chance.randrange(len(data))
            data[at : at + chance.randint(0, 4)] = chance.randbytes(chance.randint(0, 4))
        return bytes(data)

    async def odd(_heard: ReceivedRequest) -> bytes:
        return mangled(OK_RESPONSE + OK_RESPONSE) if chance.random() < 0.7 else OK_RESPONSE

    async def work() -> None:
        faults: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        async with sidecar_harness(odd, odd, odd) as harness:
            for number in range(150):
                client = await harness.connect()
                kind = ("check", "amend", "lodge")[number % 3]
                client.send(
                    mangled(http_request(kind, timeout="0.2", body=b"" if kind == "check" else b"body"))
                )
                client.writer.write_eof()
                await client.reader.read()
                client.close()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            harness.servers[0].script = harness.servers[1].script = harness.servers[2].script = OK_RESPONSE
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert not [each for each in harness.log if "internal" in each]
            client = await harness.connect()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read_response()).status == 200
        assert [each for each in faults if "tulipnotch" in repr(each) or "protocol." in each["message"]] == []

    run_async(work)
