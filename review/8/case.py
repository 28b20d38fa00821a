"""A request with the `Upgrade` header of an HTTP/1.1 client that could also speak HTTP/2."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2.case import Case, NotRunError, run_case
from standins_2.discovery import Discovery
from standins_2.http import encode_request, read_message
from standins_2.servers import OrderServer
from standins_2.settings import entry, sfax_settings
from standins_2.sidecars import Sidecar

_CONNECTIONS = 8  # on half of them the next request follows at once, on the others after a rest
_REQUESTS = 4  # on each connection, one after the other
_REST_S = 0.1
_TIMEOUT_S = 1.2
_LATE_S = 0.5  # an answer up to this long after its time only earns nothing
_SLACK_S = 0.05  # by which each time limit is longer on sockets
_UPGRADE = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2-Settings": "AAEAAEAAAAIAAAAB"}


def _request(request_id: str, more_headers: dict[str, str]) -> bytes:
    headers = {
        "Host": "origin.svc",
        "Request-Id": request_id,
        "Request-Class": "consulter",
        "Tenant": "sfax-medina",
        "Request-Timeout": f"{_TIMEOUT_S:.3f}",
    }
    return encode_request("GET", f"/api/{request_id}", headers | more_headers)


async def _second_answer(reader: asyncio.StreamReader) -> bytes:
    """Returns what comes on a connection on which no request is open; nothing is due there."""
    try:
        async with asyncio.timeout(_REST_S):
            return await reader.read(64)
    except TimeoutError:
        return b""


async def _client(case: Case, sidecar: Sidecar, number: int) -> list[str]:
    """Sends some requests on one connection, each after the answer to the one before; returns the breaks."""
    record = case.record
    breaks = []
    reader, writer = await asyncio.open_connection(*sidecar.host_and_port)
    for index in range(_REQUESTS):
        request_id = f"{number:04x}{index:012x}"
        record.add("sent", request_id)
        writer.write(_request(request_id, _UPGRADE if case.has_trouble and index == 0 else {}))
        try:
            async with asyncio.timeout(_TIMEOUT_S + _LATE_S + _SLACK_S):
                answer = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            # A close that crosses an unread request is allowed, so this alone is no break.
            record.add("unanswered", request_id, repr(error))
            break
        record.add("answered", request_id, answer.status, answer.body, answer.headers)
        if 400 <= answer.status < 500:
            breaks.append(f"{request_id}, a sound request, got a {answer.status} that was not made for it")
        elif answer.status == 200 and answer.body != f"made for {request_id}\n".encode():
            breaks.append(f"{request_id} got the answer of another request")
        if number % 2 and (more := await _second_answer(reader)):
            record.add("second-answer", request_id, more)
            breaks.append(f"{request_id} got a second final answer: {more[:20]!r}")
            break
    writer.close()
    return breaks


async def play(case: Case) -> list[str]:
    """Plays the case; returns the breaks of the rule."""
    record = case.record
    discovery = Discovery(record)
    address = await discovery.listen()
    servers = [OrderServer(f"s-{number}", record) for number in range(9)]
    for server in servers:
        await server.start()
        await discovery.change(server.name, **entry(server.address))
    sidecar = Sidecar(case.folder, record, sfax_settings(), address)
    sidecar.config["known"] = discovery.document()
    try:
        await sidecar.start()
        if not await sidecar.wait_until_ready():
            raise NotRunError("the sidecar is not ready")
        found = await asyncio.gather(*(_client(case, sidecar, number) for number in range(_CONNECTIONS)))
        return [each for breaks in found for each in breaks]
    finally:
        await sidecar.kill()
        discovery.close()
        for server in servers:
            server.close()


if __name__ == "__main__":
    run_case(__file__, play)
