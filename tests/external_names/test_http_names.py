"""Pins HTTP on both sides of a sidecar: headers, paths and statuses, as bytes on loopback sockets."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from typing import Any

import pytest
from loopback import (
    ERROR_RESPONSE,
    HOST,
    OK_RESPONSE,
    REJECTION_RESPONSE,
    ReceivedRequest,
    SidecarHarness,
    blocking_script,
    endpoint_entry,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)
from outside import (
    ACTIONS_BY_WIRE_NAME,
    install_recording_balancer,
    request_stop,
    run_control_command,
    start_listening,
)

RESPONSE_WITH_HEADERS = OK_RESPONSE.replace(
    b"Content-Length", b"Content-Type: text/x\r\nContent-Encoding: x\r\nX-Own: 1\r\nContent-Length"
)
REQUEST = (
    b"POST /api/7f3a9c21e0b4d655?x=1 HTTP/1.1\r\n"
    b"Host: origin.svc\r\n"
    b"Request-Id: 9b1f03aa5c7e2d41\r\n"
    b"Request-Class: amend\r\n"
    b"Tenant: acme\r\n"
    b"Request-Timeout: 1.980\r\n"
    b"Idempotency-Key: 5c0f6e1a2b3d4c59\r\n"
    b"Client-Retry: 1\r\n"
    b"Work-Hint: 12000\r\n"
    b"Request-Info: region=7,size=2\r\n"
    b"Connection: close\r\n"
    b"Content-Length: 4\r\n"
    b"\r\n"
    b"body"
)
KEY_MISMATCH_TEXT = b"idempotency-key does not go with the class\n"
HEALTH_REQUEST = b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
TENANTS = [{"name": "acme", "portion": 1.0}]


async def exchange(harness: SidecarHarness, request: bytes) -> bytes:
    """Sends a request on a new connection and returns all bytes received until the sidecar closes it."""
    client = await harness.connect()
    client.send(request)
    return await within_timeout(client.reader.read())


def test_request_and_response_are_forwarded_with_their_headers() -> None:
    async def scenario() -> None:
        async with sidecar_harness(RESPONSE_WITH_HEADERS) as harness:
            response = await exchange(harness, REQUEST)
            head, _, body = response.partition(b"\r\n\r\n")
            first, *lines = head.split(b"\r\n")
            assert (first, body) == (b"HTTP/1.1 200 OK", b"served")
            assert sorted(lines) == [
                b"connection: close",
                b"content-encoding: x",
                b"content-length: 6",
                b"content-type: text/x",
            ]
            (received_request,) = harness.received_requests
            assert (received_request.method, received_request.target) == ("POST", "/api/7f3a9c21e0b4d655?x=1")
            assert received_request.body == b"body"
            value = received_request.headers.pop("request-timeout")
            assert re.fullmatch(r"[01]\.[0-9]{3}", value)
            assert 0 < float(value) <= 1.98
            assert received_request.headers == {
                "host": "origin.svc",
                "request-id": "9b1f03aa5c7e2d41",
                "request-class": "amend",
                "tenant": "acme",
                "idempotency-key": "5c0f6e1a2b3d4c59",
                "client-retry": "1",
                "work-hint": "12000",
                "request-info": "region=7,size=2",
                "content-length": "4",
            }

    run_async(scenario)


def test_request_line_to_server_is_http_1_1() -> None:
    async def scenario() -> None:
        lines: list[bytes] = []

        async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            lines.append(await reader.readline())
            writer.write(OK_RESPONSE)
            writer.close()

        server = await asyncio.start_server(serve_connection, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        known = {"version": 1, "full": True, "servers": [endpoint_entry("s-0", address)]}
        async with sidecar_harness(config_overrides={"known": known}, unresponsive_discovery=True) as harness:
            await harness.send_request("lodge")
        server.close()
        assert lines == [b"POST /api/7f3a?x=1 HTTP/1.1\r\n"]

    run_async(scenario)


def arrival_event_values(request: bytes, monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """Returns the field values of the event that the balancer receives for this request.

    The first field, the request number that the sidecar assigns, is left out.
    """

    async def scenario() -> list[Any]:
        balancer = install_recording_balancer(monkeypatch)
        async with sidecar_harness(OK_RESPONSE, realms=TENANTS) as harness:
            await exchange(harness, request)
            (event,) = [each for each in balancer.events_with_value("amend") if "amend" in each[:2]]
            return event[1:]

    return run_async(scenario)


def test_request_headers_reach_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    name, tenant, key, remaining_us, work_hint_us, is_retry, is_write, _ = arrival_event_values(
        REQUEST, monkeypatch
    )
    assert (name, tenant, work_hint_us, is_retry, is_write) == ("amend", "acme", 12_000, True, True)
    assert type(key) is int
    assert 0 < remaining_us <= 1_980_000


@pytest.mark.parametrize(
    ("old_header", "new_header", "index", "value"),
    [
        (b"Tenant: acme\r\n", b"", 1, None),
        (b"Tenant: acme\r\n", b"Tenant: nobody\r\n", 1, None),
        (b"Work-Hint: 12000\r\n", b"", 4, None),
        (b"Client-Retry: 1\r\n", b"", 5, False),
        (b"Client-Retry: 1\r\n", b"Client-Retry: 0\r\n", 5, False),
    ],
)
def test_missing_or_changed_header_has_no_assumed_value(
    old_header: bytes, new_header: bytes, index: int, value: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert arrival_event_values(REQUEST.replace(old_header, new_header), monkeypatch)[index] is value


def test_affinity_key_is_the_last_segment_of_the_path(monkeypatch: pytest.MonkeyPatch) -> None:
    same = REQUEST.replace(b"/api/7f3a9c21e0b4d655?x=1", b"/other/7f3a9c21e0b4d655")
    other = REQUEST.replace(b"/api/7f3a9c21e0b4d655?x=1", b"/api/7f3a9c21e0b4d656")
    key = arrival_event_values(REQUEST, monkeypatch)[2]
    assert arrival_event_values(same, monkeypatch)[2] == key != arrival_event_values(other, monkeypatch)[2]


@pytest.mark.parametrize(
    ("old_header", "new_header", "text"),
    [
        (b"Host: origin.svc\r\n", b"", b"host is missing\n"),
        (b"Request-Id: 9b1f03aa5c7e2d41\r\n", b"", b"request-id is missing\n"),
        (b"Request-Class: amend\r\n", b"", b"request-class is missing\n"),
        (b"Request-Class: amend\r\n", b"Request-Class: other\r\n", b"request-class is unknown\n"),
        (b"Request-Timeout: 1.980\r\n", b"", b"request-timeout is missing\n"),
        (b"Request-Timeout: 1.980\r\n", b"Request-Timeout: soon\r\n", b"request-timeout is nonsense\n"),
        (b"Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", b"", KEY_MISMATCH_TEXT),
        (b"Request-Class: amend\r\n", b"Request-Class: lodge\r\n", KEY_MISMATCH_TEXT),
        (b"Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", b"Idempotency-Key:\r\n", KEY_MISMATCH_TEXT),
        (b"Request-Id: 9b1f03aa5c7e2d41\r\n", b"Request-Id: a b\r\n", b"request-id is nonsense\n"),
        (b"Work-Hint: 12000\r\n", b"Work-Hint: much\r\n", b"work-hint is nonsense\n"),
        (b"/api/7f3a9c21e0b4d655?x=1", b"http://x/api", b"the target is no path\n"),
        (b"Request-Class: amend\r\n", b"Request-Class: check\r\n", b"the method is not that of the class\n"),
    ],
)  # fmt: skip
def test_request_with_missing_or_invalid_header_gets_400(
    old_header: bytes, new_header: bytes, text: bytes
) -> None:
    async def scenario() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            response = await exchange(harness, REQUEST.replace(old_header, new_header))
            assert response.startswith(b"HTTP/1.1 400 ")
            assert response.endswith(b"\r\n\r\n" + text)
            assert harness.received_requests == []

    run_async(scenario)


@pytest.mark.parametrize(
    ("service_class", "method", "status"),
    [
        ("check", "GET", b"200"),
        ("check", "HEAD", b"200"),
        ("check", "POST", b"400"),
        ("amend", "POST", b"200"),
        ("amend", "GET", b"400"),
        ("lodge", "POST", b"200"),
        ("lodge", "PUT", b"400"),
    ],
)
def test_service_class_decides_the_allowed_methods(service_class: str, method: str, status: bytes) -> None:
    async def scenario() -> None:
        async with sidecar_harness(
            OK_RESPONSE.removesuffix(b"served") if method == "HEAD" else OK_RESPONSE
        ) as harness:
            request = http_request(service_class, Connection="close").partition(b" ")[2]
            response = await exchange(harness, method.encode() + b" " + request)
            assert response.startswith(b"HTTP/1.1 " + status + b" ")
            assert [each.method for each in harness.received_requests] == (
                [method] if status == b"200" else []
            )

    run_async(scenario)


def test_connection_headers_are_removed_and_protocol_headers_are_kept() -> None:
    async def scenario() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            connection_headers = (
                b"Connection: close, x-hop, host, request-id, idempotency-key\r\nX-Hop: 1\r\n"
            )
            response = await exchange(harness, REQUEST.replace(b"Connection: close\r\n", connection_headers))
            assert response.startswith(b"HTTP/1.1 200 ")
            (received_request,) = harness.received_requests
            assert received_request.headers.keys() >= {"host", "request-id", "idempotency-key"}
            assert "x-hop" not in received_request.headers
            assert "connection" not in received_request.headers

    run_async(scenario)


TIMED_OUT_BEFORE_START = b"HTTP/1.1 504 Late\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
REJECTED_AFTER_START = b"HTTP/1.1 503 Full\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n"
REJECTED_WITHOUT_NOT_STARTED = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (OK_RESPONSE, 200),
        (REJECTION_RESPONSE, 503),
        (TIMED_OUT_BEFORE_START, 503),
        (REJECTED_AFTER_START, 502),
        (REJECTED_WITHOUT_NOT_STARTED, 502),
        (ERROR_RESPONSE, 502),
        (None, 504),
    ],
)
def test_response_of_the_only_server_decides_the_status(response: bytes | None, status: int) -> None:
    async def scenario() -> None:
        async with sidecar_harness(response) as harness:
            assert (await harness.send_request("lodge", timeout="0.3")).status == status

    run_async(scenario)


def test_rejection_has_retry_after_if_enabled() -> None:
    async def scenario() -> None:
        async with sidecar_harness(
            servers_listed=False, limit_overrides={"retryAfter": True, "maxRetryAfterUs": 2_000_000}
        ) as harness:
            rejection = await harness.send_request()
            assert (rejection.status, rejection.body) == (503, b"")
            assert re.fullmatch(r"[0-9]+\.[0-9]{3}", rejection.headers["retry-after"])
            assert 0 < float(rejection.headers["retry-after"]) <= 2
        async with sidecar_harness(servers_listed=False, limit_overrides={"retryAfter": False}) as harness:
            rejection = await harness.send_request()
            assert rejection.status == 503
            assert "retry-after" not in rejection.headers

    run_async(scenario)


def test_duplicate_open_request_id_gets_409_and_request_above_limit_503() -> None:
    async def scenario() -> None:
        release, block = blocking_script()
        async with sidecar_harness(block, limit_overrides={"maxOpen": 1}) as harness:
            first = await harness.connect()
            first.send(http_request(Request_Id="abc"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            assert (await harness.send_request(Request_Id="abc")).status == 409
            assert (await harness.send_request()).status == 503
            release.set()
            assert (await first.read_response()).status == 200

    run_async(scenario)


@pytest.mark.parametrize(
    ("phase", "status", "body"),
    [
        ("starting", b"503", b"starting\n"),
        ("serving", b"200", b"serving\n"),
        ("evacuating", b"503", b"evacuating\n"),
        ("stopping", b"503", b"stopping\n"),
    ],
)
def test_health_endpoint_reports_the_phase(phase: str, status: bytes, body: bytes) -> None:
    async def scenario() -> None:
        async with sidecar_harness(OK_RESPONSE, started=phase != "starting") as harness:
            if phase == "starting":
                start_listening(harness)
            if phase == "evacuating":
                run_control_command(harness, "evacuate")
            if phase == "stopping":
                request_stop(harness)
            response = b""
            while not response:  # Idle connections may be closed while the sidecar drains.
                with suppress(ConnectionResetError):
                    response = await exchange(harness, HEALTH_REQUEST)
            head, _, value = response.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 " + status + b" ")
            assert value == body

    run_async(scenario)


@pytest.mark.parametrize(
    ("source", "path"), [("silent", "/ping"), ("pull", "/_load"), ("piggyback", "/_load")]
)
def test_health_check_requests_its_path_and_reads_the_load_report(
    source: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def decide(values: list[Any]) -> list[Any]:
        return (
            [ACTIONS_BY_WIRE_NAME["CHECK"]("s-0"), ACTIONS_BY_WIRE_NAME["SURRENDER"](1)]
            if values[:2] == [1, "check"]
            else []
        )

    async def scenario() -> None:
        balancer = install_recording_balancer(monkeypatch, decide)
        report = {"columns": ["qps", "util"], "source": source}
        body = b"TEXT qps=9, util=0.5, other=3"
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        async with sidecar_harness(response, report=report) as harness:
            assert (await harness.send_request()).status in (502, 504)
            await wait_until(lambda: any(each[0] == "s-0" for each in balancer.received_events))
            (health_check,) = harness.received_requests
            assert (health_check.method, health_check.target, health_check.headers) == (
                "GET",
                path,
                {"host": "s-0"},
            )
            assert balancer.has_received_value({"qps": 9.0, "util": 0.5}) == (source != "silent")

    run_async(scenario)


@pytest.mark.parametrize(("name", "is_read"), [("Server-Load", True), ("Other-Load", False)])
def test_load_report_header_of_a_response_is_read(
    name: str, is_read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        balancer = install_recording_balancer(monkeypatch)
        load_header = b"%s: TEXT qps=7, queue=2, util=0.61" % name.encode()
        async with sidecar_harness(
            OK_RESPONSE.replace(b"Content-Length", load_header + b"\r\nContent-Length")
        ) as harness:
            assert (await harness.send_request()).status == 200
            assert balancer.has_received_value({"qps": 7.0, "util": 0.61}) == is_read

    run_async(scenario)


def test_chunked_bodies_and_expect_header_are_handled() -> None:
    async def respond_chunked(received_request: ReceivedRequest) -> bytes:
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"

    async def scenario() -> None:
        async with sidecar_harness(respond_chunked) as harness:
            head = REQUEST.replace(
                b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
            )
            client = await harness.connect()
            client.send(head.removesuffix(b"body"))
            assert await within_timeout(client.reader.readline()) == b"HTTP/1.1 100 Continue\r\n"
            client.send(b"4\r\nbody\r\n0\r\n\r\n")
            response = await within_timeout(client.reader.read())
            assert response.startswith(b"\r\nHTTP/1.1 200 OK\r\n")
            assert response.endswith(b"\r\n\r\nbody")
            (received_request,) = harness.received_requests
            assert (received_request.headers["content-length"], received_request.body) == ("4", b"body")
            assert "expect" not in received_request.headers

    run_async(scenario)
