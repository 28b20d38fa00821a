"""Case 1: attempts that the sidecar has given up still reach an order server; requests run twice."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins.deployment import Deployment, run_case  # noqa: E402 - found by the path above
from stand_ins.order_server import OrderServer, ServerRequest  # noqa: E402 - found by the path above
from stand_ins.record import Record  # noqa: E402 - found by the path above

SITE = "tool-hire"
SERVICE_CLASS = "check-out"  # keyed: the order servers of one zone drop a repeat for 300 ms
BODY_BYTES = 60_000  # the page: up to 32 MB
READING_PACE = 64_000.0  # bytes a second; the page names this pace for long bodies
RECEIVE_BUFFER_BYTES = 4_096  # so that what an order server has not read waits at the sidecar's machine
SLACK_S = 0.05  # the protocol's page: "every time limit is 50 ms longer"
CLIENTS = 12
THINK_S = 0.03
QUIET_S = 4.0  # before each time in which one order server reads slowly
SLOW_S = 6.0
SLOW_TIMES = 3
PATIENCE_S = 5.0
SEED = 3


class RepeatMemory:
    """What the order servers of one zone remember together: when each request was run first."""

    def __init__(self, record: Record, span_s: float) -> None:
        """Remembers each request for `span_s`."""
        self._record, self._span_s = record, span_s
        self._ran_at: dict[tuple[str, str], float] = {}
        self.runs: dict[str, list[tuple[float, str, str]]] = {}  # by id: time, order server, zone

    def may_run(self, server: OrderServer, request: ServerRequest) -> bool:
        """Returns whether a request is run now; if not, it is a repeat of one that this zone remembers."""
        now, memory_key = self._record.now(), (server.zone, request.headers["idempotency-key"])
        ran_at = self._ran_at.get(memory_key)
        if ran_at is not None and now - ran_at <= self._span_s:
            return False
        self._ran_at[memory_key] = now
        self.runs.setdefault(request.request_id, []).append((now, server.name, server.zone))
        return True


async def play(deployment: Deployment) -> list[str]:
    """Plays the case; returns one line for each request that was run twice."""
    loop = asyncio.get_running_loop()
    generator = random.Random(SEED)
    window_s = deployment.lanes[SERVICE_CLASS]["memorySpanUs"] / 1e6
    memory = RepeatMemory(deployment.record, window_s + SLACK_S)
    for server in deployment.servers:
        server.may_run = memory.may_run
    ends_at = loop.time() + SLOW_TIMES * (QUIET_S + SLOW_S)

    async def work() -> None:
        client = deployment.client()
        while loop.time() < ends_at:
            await client.send(deployment.request(SERVICE_CLASS, bytes(BODY_BYTES)), PATIENCE_S)
            await asyncio.sleep(generator.expovariate(1.0 / THINK_S))
        client.close()

    async def trouble() -> None:
        slow: list[OrderServer] = []
        for _ in range(SLOW_TIMES):
            await asyncio.sleep(QUIET_S)
            # The one that has run most of those that were not slow yet, since it gets requests for sure.
            others = [each for each in deployment.servers if each not in slow]
            server = max(others, key=lambda each: len(each.ran))
            slow.append(server)
            if deployment.has_trouble:
                server.reading_pace = READING_PACE
                server.record.write(server.name, f"reads {READING_PACE:.0f} bytes a second")
            await asyncio.sleep(SLOW_S)
            server.reading_pace = None

    await asyncio.gather(trouble(), *(work() for _ in range(CLIENTS)))
    await asyncio.sleep(2.0)  # until everything on the way has been read
    served = {each.request_id for each in deployment.requests if each.status == 200}
    return [
        f"{request_id}: run at {', '.join(f'{at:.3f} s by {name} ({zone})' for at, name, zone in runs)};"
        f" its client {'was served once' if request_id in served else 'was not served'}"
        for request_id, runs in memory.runs.items()
        if len(runs) > 1
    ]


def configure(deployment: Deployment) -> None:
    """Makes the order servers take little ahead of what they read."""
    for server in deployment.servers:
        server.receive_buffer_bytes = RECEIVE_BUFFER_BYTES


if __name__ == "__main__":
    sys.exit(run_case(HERE, SITE, play, configure=configure))
