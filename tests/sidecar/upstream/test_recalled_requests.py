"""Requests that are written and not sent yet, as their server reads slowly: they are taken back in time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from barriers import SlowReadingServer, server_entry
from loopback import (
    ERROR_RESPONSE,
    OK_RESPONSE,
    SERVICE_CLASSES,
    Client,
    ReceivedRequest,
    Script,
    ScriptedDiscovery,
    ScriptedServer,
    blocking_script,
    http_request,
    listen,
    read_head,
    run_async,
    within_timeout,
)
from running import VALID_CONFIG, SidecarProcess, read_metric, running_sidecar, wait_for_metric

_END = b"the end"
_BODY = b"x" * 60_000 + _END  # far more than the slow server's machine takes for it
_WINDOW_US = 300_000
_LATENCY_OBJECTIVE_US = 100_000


class _PausedBodyServer(ScriptedServer):
    """Takes little of a body until it is allowed; responds to a request without one at once."""

    def __init__(self, has_head: asyncio.Event, body_allowed: asyncio.Event) -> None:
        """Sets `has_head` with the first head that announces a body; reads on once `body_allowed` is set."""
        super().__init__(OK_RESPONSE)
        self._has_head = has_head
        self._body_allowed = body_allowed

    async def start(self, port: int = 0) -> ScriptedServer:
        listener = listen(port, receive_buffer_bytes=4_096)
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=1_024)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers = await read_head(reader)
                if length := int(headers.get("content-length", "0")):
                    self._has_head.set()
                    await self._body_allowed.wait()
                    await reader.readexactly(length)
                writer.write(OK_RESPONSE)
        writer.close()


@dataclass
class _SlowAttempt:
    """A sidecar process whose first attempt waits in the send queue to a server that does not read."""

    running: SidecarProcess
    slow_server: SlowReadingServer
    discovery: ScriptedDiscovery
    client: Client

    async def announce(self, *servers: ScriptedServer | SlowReadingServer) -> None:
        """Announces further servers, for which retries and hedged requests are allowed from now on."""
        members = await read_metric(self.running, "app.members")
        self.discovery.announce(
            *(server_entry(members + number, each.address) for number, each in enumerate(servers))
        )
        await wait_for_metric(self.running, "app.members", members + len(servers))

    async def send_others_until(self, is_done: asyncio.Event) -> None:
        """Sends requests that other servers respond to, so that the slow one counts as unresponsive."""
        while not is_done.is_set():
            client = await self.running.connect()
            client.send(http_request("check", timeout="0.3"))
            await client.read_response()
            client.close()


def _notifying(is_received: asyncio.Event, script: Script) -> Script:
    async def respond(received: ReceivedRequest) -> bytes | None:
        if received.method == "GET":
            return OK_RESPONSE
        is_received.set()
        return await script(received)

    return respond


def _reading_first_attempt(attempt: _SlowAttempt) -> tuple[Script, list[bytes]]:
    """Returns a script for the retry, and what the slow server has received by the time of its response."""
    received: list[bytes] = []

    async def respond(request: ReceivedRequest) -> bytes:
        if request.method == "POST":
            received.append(await within_timeout(attempt.slow_server.read_until(_END)))
        return OK_RESPONSE

    return respond, received


@asynccontextmanager
async def _slow_attempt(folder: Path, **limits: Any) -> AsyncIterator[_SlowAttempt]:
    slow_server, discovery = SlowReadingServer(), ScriptedDiscovery()
    discovery.servers = [server_entry(0, slow_server.address)]
    await discovery.start()
    lanes = [{**each, "promiseUs": _LATENCY_OBJECTIVE_US, "giveUpUs": 4_000_000} for each in SERVICE_CLASSES]
    lanes[1] |= {"memorySpanUs": _WINDOW_US}
    bounds = {"sendCap": 3, "mayCancel": True, **limits}
    settings = {**VALID_CONFIG["settings"], "lanes": lanes, "bounds": bounds}
    known = {"version": 1, "full": True, "servers": discovery.servers}
    config = folder / "config.json"
    config.write_text(
        json.dumps({**VALID_CONFIG, "discovery": discovery.address, "known": known, "settings": settings})
    )
    try:
        async with running_sidecar(config, discovery) as running:
            client = await running.connect()
            client.send(http_request("amend", timeout="4.0", body=_BODY))
            await wait_for_metric(running, "app.upstream_requests", 1)
            await slow_server.accept()
            yield _SlowAttempt(running, slow_server, discovery, client)
    finally:
        discovery.stop()
        slow_server.close()


async def _assert_never_complete(slow_server: SlowReadingServer) -> None:
    received = await within_timeout(slow_server.read_until(_END))
    assert not received.endswith(_END)


def test_attempt_is_not_delivered_after_its_request_was_responded_to(tmp_path: Path) -> None:
    # Guards against a request that runs twice: what was given up went on to its server from the send queue.
    async def work() -> None:
        async with _slow_attempt(tmp_path, secondCopies=True) as attempt:
            await attempt.announce(*[await ScriptedServer(OK_RESPONSE).start() for _ in range(2)])
            is_responded = asyncio.Event()
            others = asyncio.ensure_future(attempt.send_others_until(is_responded))
            assert (await attempt.client.read_response()).status == 200
            is_responded.set()
            await others
            await wait_for_metric(attempt.running, "app.upstream_requests_recalled", 1)
            await _assert_never_complete(attempt.slow_server)

    run_async(work)


def test_cancelled_attempt_is_not_delivered_once_its_retry_is_received(tmp_path: Path) -> None:
    # Guards against two attempts at once where hedging is not allowed: the cancelled one was still delivered.
    async def work() -> None:
        async with _slow_attempt(tmp_path, secondCopies=False) as attempt:
            is_served = asyncio.Event()
            script, received = _reading_first_attempt(attempt)
            await attempt.announce(*[await ScriptedServer(script).start() for _ in range(2)])
            others = asyncio.ensure_future(attempt.send_others_until(is_served))
            assert (await attempt.client.read_response()).status == 200
            is_served.set()
            await others
            assert [each.endswith(_END) for each in received] == [False]

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_attempt_is_not_delivered_after_the_window_of_another_that_still_runs(
    tmp_path: Path, *, may_cancel: bool
) -> None:
    # Guards against a request that runs twice, further apart than servers deduplicate, as both are out.
    async def work() -> None:
        async with _slow_attempt(tmp_path, secondCopies=True, mayCancel=may_cancel) as attempt:
            release, respond_once_released = blocking_script()
            is_received = asyncio.Event()
            script = _notifying(is_received, respond_once_released)
            await attempt.announce(*[await ScriptedServer(script).start() for _ in range(2)])
            await within_timeout(attempt.send_others_until(is_received))
            await wait_for_metric(attempt.running, "app.upstream_requests_recalled", 1)
            await _assert_never_complete(attempt.slow_server)
            release.set()
            assert (await attempt.client.read_response()).status == 200

    run_async(work)


def test_attempts_stay_out_while_neither_can_have_begun(tmp_path: Path) -> None:
    # Guards against taking back an attempt although no server can have begun another one of its request.
    async def work() -> None:
        async with _slow_attempt(tmp_path, secondCopies=True, sendCap=2) as attempt:
            has_head, body_allowed = asyncio.Event(), asyncio.Event()
            await attempt.announce(
                *[await _PausedBodyServer(has_head, body_allowed).start() for _ in range(2)]
            )
            await within_timeout(attempt.send_others_until(has_head))
            await asyncio.sleep(3 * _WINDOW_US / 1e6)
            assert await read_metric(attempt.running, "app.upstream_requests_recalled") == 0
            body_allowed.set()
            assert (await attempt.client.read_response()).status == 200
            await wait_for_metric(attempt.running, "app.upstream_requests_recalled", 1)
            await _assert_never_complete(attempt.slow_server)

    run_async(work)


def test_attempt_is_not_delivered_after_an_early_error_of_its_server(tmp_path: Path) -> None:
    # Guards against a retry beside an attempt whose server responded before it had the complete request.
    async def work() -> None:
        async with _slow_attempt(tmp_path, secondCopies=False) as attempt:
            script, received = _reading_first_attempt(attempt)
            await attempt.announce(await ScriptedServer(script).start())
            await attempt.slow_server.send(ERROR_RESPONSE)
            assert (await attempt.client.read_response()).status == 200
            assert [each.endswith(_END) for each in received] == [False]

    run_async(work)
