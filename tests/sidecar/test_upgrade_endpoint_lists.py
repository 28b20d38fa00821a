"""The endpoint list while two processes of one sidecar run: what one has received counts for both."""

from __future__ import annotations

import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from holding_discovery import VERSION_OF_DRAIN, HoldingDiscovery, list_json
from loopback import (
    OK_RESPONSE,
    ReceivedRequest,
    Script,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    http_request,
    listen,
    run_async,
    wait_until,
    within_timeout,
)
from running import VALID_CONFIG, SidecarProcess, running_sidecar, wait_for_metric
from upgrading import PartialRequest, stop_accepting

# A takeover waits for a list as long as a call for its response, so both waits may end before it serves.
_UNRESPONSIVE_DISCOVERY_LOG = "no fresh endpoint list|discovery failed: no response"
_REQUESTS = 20
_KNOWN_WITHIN_S = 0.3  # the drain grace of 0.25 s, and 0.05 s of slack


class Fleet:
    """Two servers, of which one can be drained, and the discovery of each process."""

    def __init__(self, folder: Path, discovery: ScriptedDiscovery | HoldingDiscovery) -> None:
        self._folder = folder
        self.requests_by_server: dict[str, int] = {"s-1": 0, "s-2": 0}
        self.listener = listen()
        self.discovery = discovery
        self._servers: list[ScriptedServer] = []

    async def start(self) -> None:
        for name in self.requests_by_server:
            self._servers.append(await ScriptedServer(self._script(name)).start())
        addresses = [each.address for each in self._servers]
        self.entries = [endpoint_entry(f"s-{number}", each) for number, each in enumerate(addresses, 1)]
        self.discovery.servers = list(self.entries)
        await self.discovery.start()

    def _script(self, name: str) -> Script:
        async def respond(_received: ReceivedRequest) -> bytes:
            self.requests_by_server[name] += 1
            return OK_RESPONSE

        return respond

    def stop(self) -> None:
        for each in (*self._servers, self.discovery):
            each.stop()
        self.listener.close()

    @asynccontextmanager
    async def process(self, allowed_log_pattern: str | None = None) -> AsyncIterator[SidecarProcess]:
        """Runs a process whose cached list has both servers as ready."""
        path = self._folder / "config.json"
        known = {"version": 1, "full": True, "servers": self.entries}
        path.write_text(json.dumps({**VALID_CONFIG, "discovery": self.discovery.address, "known": known}))
        async with running_sidecar(path, self._servers[0], self.listener, allowed_log_pattern) as running:
            yield running


@asynccontextmanager
async def running_fleet(
    folder: Path, discovery: ScriptedDiscovery | HoldingDiscovery
) -> AsyncIterator[Fleet]:
    fleet = Fleet(folder, discovery)
    await fleet.start()
    try:
        yield fleet
    finally:
        fleet.stop()


def announce_drain(fleet: Fleet, discovery: ScriptedDiscovery) -> None:
    """Announces to whoever watches that s-1 is draining."""
    discovery.announce({**fleet.entries[0], "state": "leaving"})


async def send_requests(process: SidecarProcess) -> None:
    for _ in range(_REQUESTS):
        client = await process.connect()
        assert (await client.send_request("check")).status == 200
        client.close()


async def wait_until_watching(fleet: Fleet, calls: int) -> None:
    await wait_until(lambda: len(fleet.discovery.received_requests) >= calls)


@pytest.mark.parametrize("is_old_killed", [False, True])
def test_new_process_starts_with_the_list_of_the_old_one_when_discovery_does_not_respond(
    tmp_path: Path, *, is_old_killed: bool
) -> None:
    # Guards against a new process that sends to a server which the old one knows to be draining.
    async def work() -> None:
        discovery = ScriptedDiscovery()
        async with running_fleet(tmp_path, discovery) as fleet, fleet.process() as old:
            await wait_until_watching(fleet, 2)
            announce_drain(fleet, discovery)
            await wait_for_metric(old, "app.members_unavailable", 1)
            discovery.stop_responding()
            async with fleet.process(_UNRESPONSIVE_DISCOVERY_LOG) as new:
                if is_old_killed:
                    old.process.kill()
                    await old.process.wait()
                else:
                    await stop_accepting(old)
                await send_requests(new)
                assert fleet.requests_by_server["s-1"] == 0

    run_async(work)


def test_process_receives_what_discovery_tells_the_other_one(tmp_path: Path) -> None:
    # Guards against a watch that is silent at one of the two processes only.
    async def work() -> None:
        discovery = ScriptedDiscovery()
        async with running_fleet(tmp_path, discovery) as fleet, fleet.process() as old:
            await wait_until_watching(fleet, 2)
            async with fleet.process() as new:
                await wait_until_watching(fleet, 4)
                discovery.stop_responding()  # to any later call
                announce_drain(fleet, discovery)  # answers one of the two watches
                for each in (old, new):
                    await wait_for_metric(each, "app.members_unavailable", 1)

    run_async(work)


@pytest.mark.parametrize("is_unread", [False, True], ids=["applied", "unread"])
def test_new_process_receives_what_discovery_tells_the_old_one_just_before_its_end(
    tmp_path: Path, *, is_unread: bool
) -> None:
    # Guards against a drain that is announced to the old process in its last 50 ms, and to no other.
    async def work() -> None:
        discovery = HoldingDiscovery()
        async with running_fleet(tmp_path, discovery) as fleet, fleet.process() as old:
            await discovery.wait_for_held(1)
            client = await old.connect()
            assert (await client.send_request("check")).status == 200  # the old process has accepted it
            async with fleet.process(_UNRESPONSIVE_DISCOVERY_LOG) as new:
                open_request = PartialRequest(client, http_request("check"))  # keeps the old process
                await stop_accepting(old)
                if is_unread:
                    old.process.send_signal(signal.SIGSTOP)
                discovery.write(0, list_json(VERSION_OF_DRAIN, {**fleet.entries[0], "state": "leaving"}))
                open_request.client.close()
                if is_unread:
                    old.process.send_signal(signal.SIGCONT)
                await within_timeout(old.process.wait())
                await wait_for_metric(new, "app.members_unavailable", 1, _KNOWN_WITHIN_S)

    run_async(work)
