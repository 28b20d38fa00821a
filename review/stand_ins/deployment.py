"""A small deployment: one sidecar by the deploy file, discovery, and the order servers of a site."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stand_ins.client import Client, Request, new_request
from stand_ins.discovery import Discovery
from stand_ins.order_server import OrderServer
from stand_ins.record import Record
from stand_ins.sidecar import CannotRunError, Sidecar
from stand_ins.site import load_site, settings_of

HOST = "127.0.0.1"
_REVIEW = Path(__file__).resolve().parents[1]
# The page on fleets: "Up to half a second after its time it only earns nothing"; the protocol's page: "every
# time limit is 50 ms longer".
LATE_S = 0.5 + 0.05
_RULE_HELD, _RULE_BROKEN, _CANNOT_RUN = 0, 1, 2


class Deployment:
    """The parts of a run, and the requests that its clients have sent."""

    def __init__(self, record: Record, site_name: str, link_delay_ms: float | None = None) -> None:
        """Creates the order servers of a site, as many as it has at least; nothing runs before `start`.

        `link_delay_ms`: one way, between the sidecar and each order server; None: there is no proxy.
        """
        self.record = record
        self._link_delay_ms = link_delay_ms
        self._link: asyncio.subprocess.Process | None = None
        site = load_site(site_name)
        self.settings: dict[str, Any] = settings_of(site)
        zones, cells = self.settings["zones"], 3
        self.servers = [
            OrderServer(record, f"s-{number}", zones[number % len(zones)], number // cells)
            for number in range(site["scale"]["servers"][0])
        ]
        self.lanes = {each["name"]: each for each in self.settings["lanes"]}
        self.requests: list[Request] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._sidecar: Sidecar | None = None
        self._clients = 0

    async def start(self) -> None:
        """Starts everything; returns once the sidecar is ready."""
        for server in self.servers:
            await server.start(HOST)
        if self._link_delay_ms is not None:
            await self._start_link(self._link_delay_ms)
        discovery = Discovery(HOST)
        discovery.entries = [server.entry for server in self.servers]
        await discovery.start()
        self._sidecar = Sidecar(HOST, self.settings, discovery.address, discovery.complete_list())
        await self._sidecar.start(self.record)

    async def _start_link(self, delay_ms: float) -> None:
        ports = [str(server.port) for server in self.servers]
        self._link = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stand_ins.link",
            HOST,
            str(delay_ms),
            *ports,
            cwd=_REVIEW,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        if self._link.stdout is not None:
            announced = (await self._link.stdout.readline()).split()
            for server, port in zip(self.servers, announced, strict=True):
                server.announced_port = int(port)

    async def stop(self) -> None:
        """Ends all processes that were started."""
        if self._sidecar is not None:
            await self._sidecar.stop()
        if self._link is not None:
            self._link.kill()
            await self._link.wait()

    @property
    def port(self) -> int:
        """Where the sidecar listens for clients."""
        if self._sidecar is None:
            raise CannotRunError("the sidecar was not started")
        return self._sidecar.port

    def client(self) -> Client:
        """Returns a new client."""
        self._clients += 1
        return Client(self.record, f"client-{self._clients}", (HOST, self.port))

    def request(self, service_class: str, body: bytes = b"") -> Request:
        """Returns a new request of a class, with the whole deadline of the class as its time."""
        lane = self.lanes[service_class]
        request = new_request(service_class, lane["giveUpUs"] / 1e6, lane["repeat"], body)
        self.requests.append(request)
        return request

    async def small_requests(self, service_class: str, clients: int, each: int) -> None:
        """Sends some small requests, as in quiet service, and waits for their answers."""

        async def work() -> None:
            client = self.client()
            for _ in range(each):
                await client.send(self.request(service_class, b"small"), 10.0)
                await asyncio.sleep(0.02)
            client.close()

        await asyncio.gather(*(work() for _ in range(clients)))


def run_case(
    folder: Path,
    site_name: str,
    play: Callable[[Deployment], Awaitable[list[str]]],
    link_delay_ms: float | None = None,
    configure: Callable[[Deployment], None] | None = None,
) -> int:
    """Plays a case, which returns what breaks the rule; returns the exit code of its script.

    `configure` may change the order servers before anything is started.
    """
    record = Record(folder / "record.txt")
    deployment = Deployment(record, site_name, link_delay_ms)
    if configure is not None:
        configure(deployment)
    record.write("case", f"site {site_name}, trouble {'on' if deployment.has_trouble else 'off'}")

    async def work() -> list[str]:
        try:
            await deployment.start()
            return await play(deployment)
        finally:
            await deployment.stop()

    # A script that is told to end removes what it has started, as it does at its own end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        breaks = asyncio.run(asyncio.wait_for(work(), 110.0))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write("case", f"COULD NOT RUN: {error or type(error).__name__}")
        print(f"could not run: {error or type(error).__name__}", file=sys.stderr)
        return _CANNOT_RUN
    for line in breaks:
        record.write("check", f"BROKEN: {line}")
        print(line)
    record.write("check", f"the rule {'was broken' if breaks else 'held'}")
    print(f"{len(breaks)} breaks of the rule in {len(deployment.requests)} requests")
    record.close()
    return _RULE_BROKEN if breaks else _RULE_HELD
