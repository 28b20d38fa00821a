"""Case 2: an order server hangs in the middle of a long request; its client is never answered."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins.client import Request  # noqa: E402 - found by the path above
from stand_ins.deployment import LATE_S, Deployment, run_case  # noqa: E402 - found by the path above
from stand_ins.order_server import OrderServer, ServerRequest  # noqa: E402 - found by the path above
from stand_ins.sidecar import CannotRunError  # noqa: E402 - found by the path above

SITE = "tool-hire"
SERVICE_CLASS = "check-out"
# Long enough that a server that does not read is noticed on the way, short enough that the client can write
# its last byte: buffers of the system hold the rest.  The page allows 32 MB.
BODY_BYTES = (4_600_000, 5_400_000, 6_200_000, 6_600_000, 7_000_000, 7_400_000, 7_800_000)
HANG_S = 10.0  # the brief: 5.8 to 22 s
HANG_AFTER_BYTES = 128 << 10
ROUNDS = 4
PATIENCE_S = 1.0  # how much longer than its time a client waits, to see that no answer comes


async def play(deployment: Deployment) -> list[str]:
    """Plays the case; returns one line for each request that was lost."""
    hung: list[OrderServer] = []
    held_up: set[str] = set()  # ids of the long requests whose server hangs

    def on_body(server: OrderServer, request: ServerRequest, size: int) -> None:
        if deployment.has_trouble and not hung and size >= HANG_AFTER_BYTES:
            hung.append(server)
            server.hang()
            asyncio.get_running_loop().call_later(HANG_S, server.recover)
        if server in hung:
            held_up.add(request.request_id)

    for server in deployment.servers:
        server.on_body = on_body
    await deployment.small_requests(SERVICE_CLASS, clients=3, each=30)
    long_requests: list[Request] = []

    async def upload(size: int) -> None:
        request = deployment.request(SERVICE_CLASS, bytes(size))
        long_requests.append(request)
        client = deployment.client()
        await client.send(request, request.timeout_s + LATE_S + PATIENCE_S)
        client.close()

    for _ in range(ROUNDS):
        await asyncio.gather(*(upload(size) for size in BODY_BYTES))
        await asyncio.sleep(0.2)
    if deployment.has_trouble and not any(
        each.request_id in held_up and each.sent_at is not None for each in long_requests
    ):
        raise CannotRunError("no client had written all of a request whose order server hung")
    return [line for each in deployment.requests if (line := loss_of(each))]


def loss_of(request: Request) -> str:
    """Returns how a request was lost; empty if its client got a final answer in time, or sent it in part."""
    if request.sent_at is None:
        return ""
    about = f"{request.request_id}: {len(request.body)} bytes, all written at {request.sent_at:.3f} s"
    if request.answered_at is None:
        return f"{about}, {request.timeout_s} s to wait: {request.end}"
    waited_s = request.answered_at - request.sent_at
    return f"{about}, answered after {waited_s:.3f} s" if waited_s > request.timeout_s + LATE_S else ""


if __name__ == "__main__":
    sys.exit(run_case(HERE, SITE, play))
