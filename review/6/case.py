"""An upgrade under load, while a bad client sends the id of another client's open request."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.case import Case, NotRunError, run_case
from standins_2.discovery import Discovery
from standins_2.http import Message, encode_request, encode_response, read_message
from standins_2.servers import OrderServer, body_for
from standins_2.settings import entry, service_class, sfax_settings
from standins_2.sidecars import Sidecar, free_address

_SERVERS = 9
_CLIENTS = 6
_WORK_S = 0.7  # some requests cost 6.9 to 30 times the usual work of 47 to 85 ms
_TIMEOUT_S = 2.0
_YES_WITHIN_S = 6.0  # a new process must say yes within this time


async def _work(_server: OrderServer, request: Message, writer: asyncio.StreamWriter) -> None:
    is_costly = request.headers["request-id"].startswith("c")
    await asyncio.sleep(_WORK_S if is_costly else 0.02)
    writer.write(encode_response(200, body_for(request)))


def _request(request_id: str) -> bytes:
    headers = {
        "Host": "origin.svc",
        "Request-Id": request_id,
        "Request-Class": "encaisser",
        "Tenant": "sfax-medina",
        "Request-Timeout": f"{_TIMEOUT_S:.3f}",
    }
    return encode_request("POST", f"/api/{request_id}", headers, b"order")


class _Client:
    """A client with one connection, one request at a time."""

    def __init__(self, case: Case, sidecar: Sidecar, name: str) -> None:
        self._record = case.record
        self._address = sidecar.host_and_port
        self._name = name
        self._pair: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def exchange(self, request_id: str) -> int:
        """Sends a request on its connection; returns the status of the answer, 0 if none came."""
        try:
            self._pair = self._pair or await asyncio.open_connection(*self._address)
            reader, writer = self._pair
            self._record.add("sent", self._name, request_id)
            writer.write(_request(request_id))
            async with asyncio.timeout(_TIMEOUT_S + 0.55):
                status = (await read_message(reader)).status
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            self._record.add("unanswered", self._name, request_id, repr(error))
            return 0
        self._record.add("answered", self._name, request_id, status)
        return status

    def close(self) -> None:
        """Closes its connection."""
        if self._pair is not None:
            self._pair[1].close()


async def _upgrade(case: Case, old: Sidecar) -> Sidecar:
    """Starts a new process at the same listening socket; returns it once it has said yes."""
    folder = case.folder / "new"
    folder.mkdir()
    new = Sidecar(folder, case.record, old.config["settings"], old.config["discovery"])
    new.config |= {**old.config, "control": free_address()}
    new.listen, new.inherited = old.listen, old.inherited
    await new.start()
    if not await new.wait_until_door_says_ready(_YES_WITHIN_S):
        await new.kill()
        raise NotRunError("the new process doesn't say yes")
    return new


async def _play_clients(case: Case, old: Sidecar) -> list[int]:
    """Plays usual and bad clients, and SIGTERM to the old process; returns what the bad ones got."""
    usual = [_Client(case, old, f"usual-{number}") for number in range(_CLIENTS)]
    bad = [_Client(case, old, f"bad-{number}") for number in range(_CLIENTS)]
    await asyncio.gather(*(client.exchange(f"a{number:015x}") for number, client in enumerate(usual)))
    new: Sidecar | None = None
    try:
        if case.has_trouble:
            new = await _upgrade(case, old)
        ids = [f"c{number:015x}" for number in range(_CLIENTS)]
        pairs = zip(usual, ids, strict=True)
        open_requests = [asyncio.create_task(client.exchange(request_id)) for client, request_id in pairs]
        await asyncio.sleep(0.05)
        if new is not None:
            old.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.15)
        statuses = await asyncio.gather(
            *(client.exchange(request_id) for client, request_id in zip(bad, ids, strict=True))
        )
        await asyncio.gather(*open_requests)
        return list(statuses)
    finally:
        for client in usual + bad:
            client.close()
        if new is not None:
            await new.kill()


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    record = case.record
    discovery = Discovery(record)
    address = await discovery.listen()
    servers = [OrderServer(f"s-{number}", record, _work) for number in range(_SERVERS)]
    for server in servers:
        await server.start()
        await discovery.change(server.name, **entry(server.address))
    lanes = [service_class("encaisser", "non_idempotent", 2_000, 600, worth=5.0)]
    old = Sidecar(case.folder, record, sfax_settings(lanes), address)
    old.inherited = socket.create_server(old.host_and_port, backlog=512)
    old.config |= {"known": discovery.document(), "control": free_address()}
    try:
        await old.start()
        if not await old.wait_until_door_says_ready(30.0):
            raise NotRunError("the sidecar is not ready")
        statuses = await _play_clients(case, old)
        breaks = []
        runs = [request.headers["request-id"] for server in servers for _, request in server.runs]
        for request_id in sorted(set(runs)):
            if runs.count(request_id) > 1:
                breaks.append(
                    f"{request_id}, of a class unsafe to repeat, ran {runs.count(request_id)} times"
                )
        breaks += [f"bad-{number} was served" for number, status in enumerate(statuses) if status == 200]
        return breaks
    finally:
        await old.kill()
        old.inherited.close()
        discovery.close()
        for server in servers:
            server.close()


if __name__ == "__main__":
    run_case(__file__, play)
