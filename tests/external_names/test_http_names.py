"""HTTP on both sides of a sidecar: headers, paths and statuses, as bytes on loopback sockets."""

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
from outside import ACTIONS, decisions, door, listen, stop

TEXT = OK_RESPONSE.replace(
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
KEY_ASTRAY = b"idempotency-key does not go with the class\n"
HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
TENANTS = [{"name": "acme", "portion": 1.0}]


async def ask(harness: SidecarHarness, raw: bytes) -> bytes:
    """All bytes that come back on a connection of its own until the sidecar ends it."""
    client = await harness.connect()
    client.send(raw)
    return await within_timeout(client.reader.read())


def test_request_passes_on_with_its_headers_and_the_answer_comes_back() -> None:
    async def work() -> None:
        async with sidecar_harness(TEXT) as harness:
            answer = await ask(harness, REQUEST)
            head, _, body = answer.partition(b"\r\n\r\n")
            first, *lines = head.split(b"\r\n")
            assert (first, body) == (b"HTTP/1.1 200 OK", b"served")
            assert sorted(lines) == [
                b"connection: close",
                b"content-encoding: x",
                b"content-length: 6",
                b"content-type: text/x",
            ]
            (heard,) = harness.received_requests
            assert (heard.method, heard.target) == ("POST", "/api/7f3a9c21e0b4d655?x=1")
            assert heard.body == b"body"
            told = heard.headers.pop("request-timeout")
            assert re.fullmatch(r"[01]\.[0-9]{3}", told)
            assert 0 < float(told) <= 1.98
            assert heard.headers == {
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

    run_async(work)


def test_request_line_towards_a_server_is_that_of_http_1_1() -> None:
    async def work() -> None:
        lines: list[bytes] = []

        async def served(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            lines.append(await reader.readline())
            writer.write(OK_RESPONSE)
            writer.close()

        server = await asyncio.start_server(served, HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        known = {"version": 1, "full": True, "servers": [endpoint_entry("s-0", address)]}
        async with sidecar_harness(config_overrides={"known": known}, unresponsive_discovery=True) as harness:
            await harness.send_request("lodge")
        server.close()
        assert lines == [b"POST /api/7f3a?x=1 HTTP/1.1\r\n"]

    run_async(work)


def arrival(raw: bytes, monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """What the decisions hear of this request, by place; the first value is the sidecar's own number."""

    async def work() -> list[Any]:
        heard = decisions(monkeypatch)
        async with sidecar_harness(OK_RESPONSE, realms=TENANTS) as harness:
            await ask(harness, raw)
            (event,) = [each for each in heard.of("amend") if "amend" in each[:2]]
            return event[1:]

    return run_async(work)


def test_headers_of_a_request_reach_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    name, tenant, key, left_us, cost_us, is_retry, is_write, _ = arrival(REQUEST, monkeypatch)
    assert (name, tenant, cost_us, is_retry, is_write) == ("amend", "acme", 12_000, True, True)
    assert type(key) is int
    assert 0 < left_us <= 1_980_000


@pytest.mark.parametrize(
    ("was", "now", "place", "value"),
    [
        (b"Tenant: acme\r\n", b"", 1, None),
        (b"Tenant: acme\r\n", b"Tenant: nobody\r\n", 1, None),
        (b"Work-Hint: 12000\r\n", b"", 4, None),
        (b"Client-Retry: 1\r\n", b"", 5, False),
        (b"Client-Retry: 1\r\n", b"Client-Retry: 0\r\n", 5, False),
    ],
)
def test_header_left_out_or_changed_is_not_assumed(
    was: bytes, now: bytes, place: int, value: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert arrival(REQUEST.replace(was, now), monkeypatch)[place] is value


def test_key_is_the_last_part_of_the_path(monkeypatch: pytest.MonkeyPatch) -> None:
    same = REQUEST.replace(b"/api/7f3a9c21e0b4d655?x=1", b"/other/7f3a9c21e0b4d655")
    other = REQUEST.replace(b"/api/7f3a9c21e0b4d655?x=1", b"/api/7f3a9c21e0b4d656")
    key = arrival(REQUEST, monkeypatch)[2]
    assert arrival(same, monkeypatch)[2] == key != arrival(other, monkeypatch)[2]


@pytest.mark.parametrize(
    ("was", "now", "text"),
    [
        (b"Host: origin.svc\r\n", b"", b"host is missing\n"),
        (b"Request-Id: 9b1f03aa5c7e2d41\r\n", b"", b"request-id is missing\n"),
        (b"Request-Class: amend\r\n", b"", b"request-class is missing\n"),
        (b"Request-Class: amend\r\n", b"Request-Class: other\r\n", b"request-class is unknown\n"),
        (b"Request-Timeout: 1.980\r\n", b"", b"request-timeout is missing\n"),
        (b"Request-Timeout: 1.980\r\n", b"Request-Timeout: soon\r\n", b"request-timeout is nonsense\n"),
        (b"Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", b"", KEY_ASTRAY),
        (b"Request-Class: amend\r\n", b"Request-Class: lodge\r\n", KEY_ASTRAY),
        (b"Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", b"Idempotency-Key:\r\n", KEY_ASTRAY),
        (b"Request-Id: 9b1f03aa5c7e2d41\r\n", b"Request-Id: a b\r\n", b"request-id is nonsense\n"),
        (b"Work-Hint: 12000\r\n", b"Work-Hint: much\r\n", b"work-hint is nonsense\n"),
        (b"/api/7f3a9c21e0b4d655?x=1", b"http://x/api", b"the target is no path\n"),
        (b"Request-Class: amend\r\n", b"Request-Class: check\r\n", b"the method is not that of the class\n"),
    ],
)  # fmt: skip
def test_request_without_a_header_that_it_needs_is_400(was: bytes, now: bytes, text: bytes) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            answer = await ask(harness, REQUEST.replace(was, now))
            assert answer.startswith(b"HTTP/1.1 400 ")
            assert answer.endswith(b"\r\n\r\n" + text)
            assert harness.received_requests == []

    run_async(work)


@pytest.mark.parametrize(
    ("kind", "method", "status"),
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
def test_class_decides_the_method(kind: str, method: str, status: bytes) -> None:
    async def work() -> None:
        async with sidecar_harness(
            OK_RESPONSE.removesuffix(b"served") if method == "HEAD" else OK_RESPONSE
        ) as harness:
            raw = http_request(kind, Connection="close").partition(b" ")[2]
            answer = await ask(harness, method.encode() + b" " + raw)
            assert answer.startswith(b"HTTP/1.1 " + status + b" ")
            assert [each.method for each in harness.received_requests] == (
                [method] if status == b"200" else []
            )

    run_async(work)


def test_headers_of_one_connection_do_not_pass_and_those_of_the_protocol_always_do() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            named = b"Connection: close, x-hop, host, request-id, idempotency-key\r\nX-Hop: 1\r\n"
            answer = await ask(harness, REQUEST.replace(b"Connection: close\r\n", named))
            assert answer.startswith(b"HTTP/1.1 200 ")
            (heard,) = harness.received_requests
            assert heard.headers.keys() >= {"host", "request-id", "idempotency-key"}
            assert "x-hop" not in heard.headers
            assert "connection" not in heard.headers

    run_async(work)


NOT_STARTED_LATE = b"HTTP/1.1 504 Late\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
STARTED = b"HTTP/1.1 503 Full\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n"
FULL_UNSAID = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (OK_RESPONSE, 200),
        (REJECTION_RESPONSE, 503),
        (NOT_STARTED_LATE, 503),
        (STARTED, 502),
        (FULL_UNSAID, 502),
        (ERROR_RESPONSE, 502),
        (None, 504),
    ],
)
def test_answer_of_the_only_server_decides_the_status(answer: bytes | None, status: int) -> None:
    async def work() -> None:
        async with sidecar_harness(answer) as harness:
            assert (await harness.send_request("lodge", timeout="0.3")).status == status

    run_async(work)


def test_refusal_tells_when_to_come_back() -> None:
    async def work() -> None:
        async with sidecar_harness(
            servers_listed=False, limit_overrides={"retryAfter": True, "maxRetryAfterUs": 2_000_000}
        ) as harness:
            refused = await harness.send_request()
            assert (refused.status, refused.body) == (503, b"")
            assert re.fullmatch(r"[0-9]+\.[0-9]{3}", refused.headers["retry-after"])
            assert 0 < float(refused.headers["retry-after"]) <= 2
        async with sidecar_harness(servers_listed=False, limit_overrides={"retryAfter": False}) as harness:
            refused = await harness.send_request()
            assert refused.status == 503
            assert "retry-after" not in refused.headers

    run_async(work)


def test_id_of_an_open_request_is_409_and_one_above_the_bound_503() -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold, limit_overrides={"maxOpen": 1}) as harness:
            first = await harness.connect()
            first.send(http_request(Request_Id="abc"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            assert (await harness.send_request(Request_Id="abc")).status == 409
            assert (await harness.send_request()).status == 503
            release.set()
            assert (await first.read_response()).status == 200

    run_async(work)


@pytest.mark.parametrize(
    ("phase", "status", "body"),
    [
        ("starting", b"503", b"starting\n"),
        ("serving", b"200", b"serving\n"),
        ("evacuating", b"503", b"evacuating\n"),
        ("stopping", b"503", b"stopping\n"),
    ],
)
def test_health_tells_the_phase(phase: str, status: bytes, body: bytes) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, started=phase != "starting") as harness:
            if phase == "starting":
                listen(harness)
            if phase == "evacuating":
                door(harness, "evacuate")
            if phase == "stopping":
                stop(harness)
            answer = b""
            while not answer:  # a connection at rest may be closed while the sidecar empties
                with suppress(ConnectionResetError):
                    answer = await ask(harness, HEALTH)
            head, _, told = answer.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 " + status + b" ")
            assert told == body

    run_async(work)


@pytest.mark.parametrize(
    ("source", "path"), [("silent", "/ping"), ("pull", "/_load"), ("piggyback", "/_load")]
)
def test_probe_asks_its_path_and_reads_its_report(
    source: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def decide(values: list[Any]) -> list[Any]:
        return [ACTIONS["CHECK"]("s-0"), ACTIONS["SURRENDER"](1)] if values[:2] == [1, "check"] else []

    async def work() -> None:
        heard = decisions(monkeypatch, decide)
        report = {"columns": ["qps", "util"], "source": source}
        body = b"TEXT qps=9, util=0.5, other=3"
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        async with sidecar_harness(answer, report=report) as harness:
            assert (await harness.send_request()).status in (502, 504)
            await wait_until(lambda: any(each[0] == "s-0" for each in heard.heard))
            (probe,) = harness.received_requests
            assert (probe.method, probe.target, probe.headers) == ("GET", path, {"host": "s-0"})
            assert heard.hears({"qps": 9.0, "util": 0.5}) == (source != "silent")

    run_async(work)


@pytest.mark.parametrize(("name", "is_read"), [("Server-Load", True), ("Other-Load", False)])
def test_load_report_of_an_answer_is_read(name: str, is_read: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        heard = decisions(monkeypatch)
        load = b"%s: TEXT qps=7, queue=2, util=0.61" % name.encode()
        async with sidecar_harness(
            OK_RESPONSE.replace(b"Content-Length", load + b"\r\nContent-Length")
        ) as harness:
            assert (await harness.send_request()).status == 200
            assert heard.hears({"qps": 7.0, "util": 0.61}) == is_read

    run_async(work)


def test_forms_of_a_body_are_those_of_http() -> None:
    async def echo(heard: ReceivedRequest) -> bytes:
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"

    async def work() -> None:
        async with sidecar_harness(echo) as harness:
            head = REQUEST.replace(
                b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
            )
            client = await harness.connect()
            client.send(head.removesuffix(b"body"))
            assert await within_timeout(client.reader.readline()) == b"HTTP/1.1 100 Continue\r\n"
            client.send(b"4\r\nbody\r\n0\r\n\r\n")
            answer = await within_timeout(client.reader.read())
            assert answer.startswith(b"\r\nHTTP/1.1 200 OK\r\n")
            assert answer.endswith(b"\r\n\r\nbody")
            (heard,) = harness.received_requests
            assert (heard.headers["content-length"], heard.body) == ("4", b"body")
            assert "expect" not in heard.headers

    run_async(work)
