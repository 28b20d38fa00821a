"""The event queue: the events that the balancer receives and the execution of its actions, on loopback."""

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
FAR_DEADLINE_US = 2**52  # later than any time of the sidecar's clock in these tests


class ScriptedBalancer:
    """Replaces the balancer: a script returns the actions for each event, and all events are recorded."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.attempts = self  # it answers for all attempts alike
        self.events: list[Event] = []
        self.times: list[int] = []
        self._is_handling = False

    def __call__(self, _settings: Settings, _seed: int) -> ScriptedBalancer:
        return self

    def handle(self, now: int, event: Event) -> list[Action]:
        assert not self._is_handling
        self._is_handling = True
        self.events.append(event)
        self.times.append(now)
        try:
            return self.decide(event)
        finally:
            self._is_handling = False

    def attempt_written(self, request: int, attempt: int, now: int) -> None:
        """Does nothing: no script depends on it."""

    def write_deadline(self, _request: int, _attempt: int) -> int:
        return NEVER

    def events_of_type(self, event_type: type[T]) -> list[T]:
        return [each for each in self.events if isinstance(each, event_type)]


@pytest.fixture
def install_balancer(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[Callable[[Event], list[Action]]], ScriptedBalancer]:
    def install(decide: Callable[[Event], list[Action]]) -> ScriptedBalancer:
        balancer = ScriptedBalancer(decide)
        monkeypatch.setattr("tulipnotch.sidecar.sidecar.Balancer", balancer)
        return balancer

    return install


InstallBalancer = Callable[[Callable[[Event], list[Action]]], ScriptedBalancer]


def on_arrival(*actions: Callable[[int], Action]) -> Callable[[Event], list[Action]]:
    def decide(event: Event) -> list[Action]:
        return [each(event.request) for each in actions] if isinstance(event, RequestArrived) else []

    return decide


def test_rejection_and_failure_responses_are_written_at_once_with_decimal_retry_after(
    install_balancer: InstallBalancer,
) -> None:
    def decide(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        number = event.request
        return [RejectRequest(number, 250_000)] if event.service_class == "check" else [FailRequest(number)]

    async def work() -> None:
        install_balancer(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            rejected = await harness.send_request("check", timeout="9000")
            assert (rejected.status, rejected.headers["retry-after"]) == (503, "0.250")
            failed = await harness.send_request("lodge", timeout="9000")
            assert failed.status in (502, 504)
            assert "retry-after" not in failed.headers
            assert harness.received_requests == []
            assert harness.sidecar.open_requests == 0

    run_async(work)


def test_attempt_ends_once_and_its_connection_is_closed_when_cancelled(
    install_balancer: InstallBalancer,
) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, "s-0", FAR_DEADLINE_US), SetTimer(50_000, "later")]
        if isinstance(event, TimerFired):
            return [CancelAttempt(1, 0), CancelAttempt(1, 0), CancelAttempt(9, 0), CancelAttempt(1, 7)]
        return [FailRequest(event.request)] if isinstance(event, AttemptEnded) else []

    async def work() -> None:
        balancer = install_balancer(decide)
        async with sidecar_harness(None) as harness:
            assert (await harness.send_request("lodge")).status == 502
            (ended,) = balancer.events_of_type(AttemptEnded)
            assert (ended.outcome, ended.is_responded, ended.endpoint) == (Outcome.CANCELLED, False, "s-0")
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert balancer.events_of_type(TimerFired)[0].token == "later"
            assert balancer.times == sorted(balancer.times)

    run_async(work)


def test_request_is_responded_by_the_first_delivery_when_several_attempts_end(
    install_balancer: InstallBalancer,
) -> None:
    async def work() -> None:
        balancer = install_balancer(
            on_arrival(
                lambda number: StartAttempt(number, "s-0", FAR_DEADLINE_US),
                lambda number: StartAttempt(number, "s-1", FAR_DEADLINE_US),
                lambda number: StartAttempt(number, "unlisted", FAR_DEADLINE_US),
                lambda number: StartAttempt(number, "s-0", 1),
            )
        )
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE) as harness:
            assert (await harness.send_request()).body == b"served"
            await wait_until(lambda: len(balancer.events_of_type(AttemptEnded)) == 4)
            ended = {each.attempt: each for each in balancer.events_of_type(AttemptEnded)}
            assert [ended[number].outcome for number in range(4)] == [
                Outcome.DELIVERED,
                Outcome.DELIVERED,
                Outcome.NOT_SENT,
                Outcome.NOT_SENT,
            ]
            assert all(each.is_responded for each in (ended[0], ended[1]))
            assert harness.sidecar.open_requests == 0

    run_async(work)


def test_balancer_is_notified_when_a_client_disconnects(install_balancer: InstallBalancer) -> None:
    async def work() -> None:
        balancer = install_balancer(on_arrival(lambda number: StartAttempt(number, "s-0", FAR_DEADLINE_US)))
        release = asyncio.Event()

        async def respond_once_released(_received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK_RESPONSE

        async with sidecar_harness(respond_once_released) as harness:
            client = await harness.connect()
            client.send(http_request("check"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            client.close()
            await wait_until(lambda: balancer.events_of_type(ClientDisconnected) == [ClientDisconnected(1)])
            release.set()
            await wait_until(lambda: len(balancer.events_of_type(AttemptEnded)) == 1)
            assert balancer.events_of_type(AttemptEnded)[0].is_responded

    run_async(work)


@pytest.mark.parametrize("report_location", ["header", "body"])
def test_health_check_ends_with_its_load_report(
    install_balancer: InstallBalancer, report_location: str
) -> None:
    async def report(_received: ReceivedRequest) -> bytes:
        text = b"TEXT qps=7, util=0.5"
        if report_location == "header":
            return b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n" % text
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    async def work() -> None:
        balancer = install_balancer(
            lambda event: [StartHealthCheck("s-0")] if isinstance(event, RequestArrived) else []
        )
        async with sidecar_harness(report, limit_overrides={"probing": True}) as harness:
            (await harness.connect()).send(http_request())
            await wait_until(lambda: len(balancer.events_of_type(HealthCheckEnded)) == 1)
            ended = balancer.events_of_type(HealthCheckEnded)[0]
            assert (ended.endpoint, ended.outcome) == ("s-0", Outcome.DELIVERED)
            assert ended.report == {"qps": 7.0, "util": 0.5}
            assert harness.received_requests[0].target == "/_load"
            assert "request-id" not in harness.received_requests[0].headers

    run_async(work)


def test_actions_close_idle_connections_fetch_the_endpoint_list_and_log(
    install_balancer: InstallBalancer,
) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [StartAttempt(event.request, "s-0", FAR_DEADLINE_US)]
        if isinstance(event, AttemptEnded):
            return [
                CloseIdleConnections("s-0"),
                CloseIdleConnections("unlisted"),
                FetchEndpoints(),
                LogEvent("readmitted", "s-0"),
            ]
        return []

    async def work() -> None:
        balancer = install_balancer(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            assert (await harness.send_request()).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: len(balancer.events_of_type(EndpointsUpdated)) == 2)
            assert [each.kind for each in balancer.events_of_type(EndpointsUpdated)] == [
                EndpointUpdateKind.CACHED,
                EndpointUpdateKind.COMPLETE,
            ]
            assert harness.discovery.received_requests[0].target == "/catalog/members"
            assert harness.log[0] == "readmitted s-0"
            assert [each.partition(":")[0] for each in harness.log[1:]] == ["endpoint list applied"]

    run_async(work)


def test_peer_message_reaches_the_other_sidecar(install_balancer: InstallBalancer) -> None:
    async def work() -> None:
        balancer = install_balancer(
            lambda event: (
                [SendPeerMessage(1, b"hi"), SendPeerMessage(1, b"x" * 257)]
                if isinstance(event, RequestArrived)
                else []
            )
        )
        loop = asyncio.get_running_loop()
        datagrams: asyncio.Queue[tuple[bytes, tuple[str, int]]] = asyncio.Queue()

        class Peer(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                datagrams.put_nowait((data, addr))

        transport, _ = await loop.create_datagram_endpoint(Peer, local_addr=(HOST, 0))
        peer_address = transport.get_extra_info("sockname")
        placeholder, _ = await loop.create_datagram_endpoint(Peer, local_addr=(HOST, 0))
        own_address = placeholder.get_extra_info("sockname")
        placeholder.close()
        await asyncio.sleep(0)
        peers: dict[str, Any] = {
            "peer_listen": f"{own_address[0]}:{own_address[1]}",
            "peers": [f"{own_address[0]}:{own_address[1]}", f"{peer_address[0]}:{peer_address[1]}"],
        }
        async with sidecar_harness(
            OK_RESPONSE, config_overrides=peers, limit_overrides={"mayTell": True}
        ) as harness:
            (await harness.connect()).send(http_request())
            data, sender = await datagrams.get()
            assert (data, sender) == (b"hi", own_address)
            assert harness.log == ["a message to other sidecars could not be sent"]
            transport.sendto(b"back", own_address)
            await wait_until(
                lambda: balancer.events_of_type(PeerMessageReceived) == [PeerMessageReceived(1, b"back")]
            )
        transport.close()

    run_async(work)


def test_internal_error_fails_only_the_request_that_caused_it(install_balancer: InstallBalancer) -> None:
    # Guards against a request that never gets a response because handling it has raised an exception.
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            if event.service_class == "lodge":
                raise ZeroDivisionError
            return [StartAttempt(event.request, "s-0", FAR_DEADLINE_US)]
        return []

    async def work() -> None:
        install_balancer(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            assert (await harness.send_request("lodge")).status == 500
            assert (await harness.send_request("check")).status == 200
            assert harness.log == ["internal error: RequestArrived: ZeroDivisionError()"]

    run_async(work)


def test_actions_are_executed_when_an_earlier_one_raises(install_balancer: InstallBalancer) -> None:
    # Guards against losing a request, or the only timer for all deadlines, when logging fails before it.
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [LogEvent("readmitted", "s-0"), StartAttempt(event.request, "s-0", FAR_DEADLINE_US)]
        return []

    async def work() -> None:
        install_balancer(decide)
        async with sidecar_harness(OK_RESPONSE) as harness:
            logged_events: list[str] = []

            def fail_for_readmitted(event: str, /, **_fields: object) -> None:
                logged_events.append(event)
                if event == "readmitted":
                    raise OSError("disk full")

            harness.sidecar._context.log = fail_for_readmitted
            assert (await harness.send_request("check")).status == 200
            assert logged_events == ["readmitted", "internal_error"]

    run_async(work)


def test_sidecar_keeps_serving_after_corrupted_bytes_from_clients_and_servers() -> None:
    rng = random.Random(20)

    def corrupt(message: bytes) -> bytes:
        data = bytearray(message)
        for _ in range(rng.randint(1, 6)):
            offset = rng.randrange(len(data))
            data[offset : offset + rng.randint(0, 4)] = rng.randbytes(rng.randint(0, 4))
        return bytes(data)

    async def respond_corrupted(_received: ReceivedRequest) -> bytes:
        return corrupt(OK_RESPONSE + OK_RESPONSE) if rng.random() < 0.7 else OK_RESPONSE

    async def work() -> None:
        uncaught: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: uncaught.append(context))
        async with sidecar_harness(respond_corrupted, respond_corrupted, respond_corrupted) as harness:
            for number in range(150):
                client = await harness.connect()
                service_class = ("check", "amend", "lodge")[number % 3]
                client.send(
                    corrupt(
                        http_request(
                            service_class, timeout="0.2", body=b"" if service_class == "check" else b"body"
                        )
                    )
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
        assert [
            each for each in uncaught if "tulipnotch" in repr(each) or "protocol." in each["message"]
        ] == []

    run_async(work)
