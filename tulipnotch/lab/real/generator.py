"""The clients: an open-loop load generator in a process of its own.

Every first try has an intended time that was drawn ahead, and it is sent then whatever became of the others.
Latency counts from that time; how late the sends really were is recorded beside it, and a run whose generator
was late is marked as not valid.
"""

from __future__ import annotations

import asyncio
import gc
import heapq
import os
import signal
import time
from collections.abc import Iterator
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any, cast

import httptools
import uvloop

from tulipnotch.lab.load import Ask, Ending, arrivals, comes_again, rates, stream, try_wait_us
from tulipnotch.lab.real.backend import Record, target
from tulipnotch.lab.recorder import histogram
from tulipnotch.lab.scenario import Scenario

Address = tuple[str, int]
_OPEN_AHEAD = 8  # connections to each sidecar before the first request
_MOST_CONNECTIONS = 400  # to each sidecar


@dataclass(frozen=True, slots=True)
class Ended:
    """What came of an ask: its last answer, at this time."""

    ask: Ask
    how: Ending
    at: int


class Generator:
    """All clients of all sidecars."""

    def __init__(
        self, given: Scenario, seed: int, capacity: float, sidecars: list[Address], keeps: bool
    ) -> None:
        self.given, self._keeps = given, keeps
        self.records: list[Record] = []
        self.ended: list[Ended] = []
        self.lateness = histogram()
        self.places = {kind.name: place for place, kind in enumerate(given.classes)}
        per_sidecar = [
            arrivals(given, seed, place, rate) for place, rate in enumerate(rates(given, seed, capacity))
        ]
        asks: Iterator[Ask] = heapq.merge(*per_sidecar, key=lambda ask: (ask.at, ask.number))
        # Drawn ahead where they will be judged, as they come where they go on for good.
        self._asks = iter(list(asks)) if keeps else asks
        self._next = next(self._asks, None)
        self._chance = stream(seed, "clients").random
        self._pools = [Pool(self, address) for address in sidecars]
        self._next_request = 0
        self._due: list[tuple[int, int, Ask]] = []  # retries
        self._open = 0
        self._t0_ns = 0
        self._timer: asyncio.TimerHandle | None = None

    async def warm_up(self) -> None:
        """Open connections before the first request, as clients that were there all along have them."""
        await asyncio.gather(*(pool.open() for pool in self._pools for _ in range(_OPEN_AHEAD)))

    def now(self) -> int:
        return (time.monotonic_ns() - self._t0_ns) // 1_000

    async def play(self, t0_ns: int, until_stopped: asyncio.Event) -> None:
        """Send everything; return when the last answer is there or its time is over."""
        self._t0_ns = t0_ns
        self._loop = asyncio.get_running_loop()
        self._pump()
        last = self.given.seconds + max(each.deadline_ms for each in self.given.classes) / 1e3 + 0.5
        while self.now() < last * 1e6 and not until_stopped.is_set():
            if self._next is None and not self._due and not self._open:
                break
            await asyncio.sleep(0.05)
        if self._timer is not None:
            self._timer.cancel()
        for pool in self._pools:
            pool.close()

    @property
    def done(self) -> float:
        return min(max(self.now() / 1e6 / self.given.seconds, 0.0), 1.0)

    # Sending

    def _pump(self) -> None:
        """Send all that is due, and wake for the next."""
        now = self.now()
        while self._next is not None and self._next.at <= now:
            ask, self._next = self._next, next(self._asks, None)
            self.lateness.record_value(max(now - ask.at, 1))
            self._try(ask)
            now = self.now()
        while self._due and self._due[0][0] <= now:
            self._try(heapq.heappop(self._due)[2])
        times = [self._next.at] if self._next is not None else []
        if self._due:
            times.append(self._due[0][0])
        if times or self._open:
            wait_us = max(min(times) - self.now(), 0) if times else 50_000
            # Timers tick in whole milliseconds: the last one is spent in turns of the loop.
            self._timer = self._loop.call_later(max(wait_us - 1_000, 0) / 1e6, self._pump)

    def _try(self, ask: Ask) -> None:
        now = self.now()
        self._next_request += 1
        ask.tries += 1
        wait = try_wait_us(ask, now, self.given.clients)
        one = Try(self, ask, self._next_request, now, now + wait)
        self._open += 1
        self._pools[ask.sidecar].send(one)

    def over(self, one: Try, how: Ending, retry_after_us: int) -> None:
        self._open -= 1
        now = self.now()
        again = comes_again(one.ask, how, retry_after_us, now, self.given.clients, self._chance)
        if again is None:
            self.ended.append(Ended(one.ask, how, now))
            if not self._keeps:
                self.ended.clear()
                self.records.clear()
            return
        heapq.heappush(self._due, (again, one.request, one.ask))
        if self._timer is None or self._timer.when() > self._loop.time() + (again - now) / 1e6:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_later(max(again - now - 1_000, 0) / 1e6, self._pump)


class Try:
    """One request on the wire."""

    def __init__(self, owner: Generator, ask: Ask, request: int, now: int, until: int) -> None:
        self.owner, self.ask, self.request, self.until = owner, ask, request, until
        self._place = owner.places[ask.kind.name]
        self.is_over = False
        self.resent = False
        self.connection: ClientSide | None = None
        loop = owner._loop
        slack = owner.given.rules.slack_ms / 1e3
        self._timer = loop.call_later(max(until - now, 0) / 1e6 + slack, self._time_out)
        self._leaves = None
        if ask.leaves_after_us and ask.tries == 1:
            self._leaves = loop.call_later(ask.leaves_after_us / 1e6, self._leave)

    def message(self, now: int) -> bytes:
        """The request, as clients word it."""
        ask = self.ask
        is_write = ask.kind.repeat != "safe"
        head = (
            f"{'POST' if is_write else 'GET'} {target(self._place, ask.work_us, ask.key)} HTTP/1.1\r\n"
            f"Host: origin.svc\r\nRequest-Id: {self.request:016x}\r\nRequest-Class: {ask.kind.name}\r\n"
            f"Request-Timeout: {max(self.until - now, 1_000) / 1e6:.3f}\r\n"
        )
        if ask.tenant is not None:
            head += f"Tenant: {ask.tenant}\r\n"
        if ask.kind.repeat == "keyed":
            head += f"Idempotency-Key: {self.request:032x}\r\n"
        if is_write:
            return (head + "Content-Length: 5\r\n\r\norder").encode()
        return (head + "\r\n").encode()

    def taken(self, now: int) -> None:
        """It goes out on a connection that the sidecar's machine accepted."""
        if not self.resent:
            self.owner.records.append(
                (now, "taken", self.request, self.ask.sidecar, self._place, max(self.until - now, 0))
            )

    def answer(self, status: int, body: bytes, retry_after_us: int) -> None:
        if self.is_over:
            return
        how = Ending.SERVED if status == 200 else Ending.REFUSED if status in (429, 503) else Ending.FAILED
        now = self.owner.now()
        self.owner.records.append((now, "answered", self.request, how is Ending.REFUSED))
        if how is Ending.SERVED and body != b"%d" % self.request:
            self.owner.records.append((now, "wrong", self.request))
            how = Ending.FAILED
        self._end(Ending.FAILED if how is Ending.SERVED and now > self.until else how, retry_after_us)

    def unreachable(self) -> None:
        """No connection could be had: it was never taken."""
        if not self.is_over:
            self._end(Ending.REFUSED, 0)

    def broken(self) -> None:
        """Its connection ended without an answer."""
        if not self.is_over:
            self._end(Ending.FAILED, 0)

    def _time_out(self) -> None:
        if not self.is_over:
            self._drop()
            self._end(Ending.FAILED, 0)

    def _leave(self) -> None:
        if not self.is_over:
            self.owner.records.append((self.owner.now(), "excused", self.request))
            self._drop()
            self._end(Ending.GONE, 0)

    def _drop(self) -> None:
        if self.connection is not None:
            self.connection.drop()

    def _end(self, how: Ending, retry_after_us: int) -> None:
        self.is_over = True
        self._timer.cancel()
        if self._leaves is not None:
            self._leaves.cancel()
        self.owner.over(self, how, retry_after_us)


class Pool:
    """The clients' connections to one sidecar: one request at a time on each, more when all are busy."""

    def __init__(self, owner: Generator, address: Address) -> None:
        self.owner, self.address = owner, address
        self.idle: list[ClientSide] = []
        self.all: set[ClientSide] = set()
        self._opening = 0

    async def open(self) -> ClientSide | None:
        self._opening += 1
        try:
            _, side = await asyncio.get_running_loop().create_connection(
                lambda: ClientSide(self), *self.address
            )
        except OSError:
            return None
        finally:
            self._opening -= 1
        self.idle.append(side)
        return side

    def send(self, one: Try, fresh: bool = False) -> None:
        while self.idle and not fresh:
            side = self.idle.pop()
            if side.is_open:
                side.send(one)
                return
        if len(self.all) + self._opening >= _MOST_CONNECTIONS:
            one.unreachable()
            return
        task = asyncio.get_running_loop().create_task(self._open_and_send(one))
        task.add_done_callback(lambda done: done.exception())

    async def _open_and_send(self, one: Try) -> None:
        side = await self.open()
        if side is None or not side.is_open:
            one.unreachable()
            return
        if side in self.idle:
            self.idle.remove(side)
        if one.is_over:
            self.idle.append(side)
        else:
            side.send(one)

    def close(self) -> None:
        for side in list(self.all):
            side.drop()


class ClientSide(asyncio.Protocol):
    """One connection of the application."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._one: Try | None = None
        self._answers = 0
        self._heard_any = False
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._retry_after_us = 0
        self._closes = False
        self.is_open = False

    def send(self, one: Try) -> None:
        assert self._transport is not None
        self._one, one.connection = one, self
        self._heard_any = False
        now = self._pool.owner.now()
        one.taken(now)  # noted before the write: a server may begin it before this process runs on
        self._transport.write(one.message(now))

    def drop(self) -> None:
        """The client goes away."""
        self._one = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True
        self._pool.all.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._pool.all.discard(self)
        one, self._one = self._one, None
        if one is None:
            return
        if self._answers and not self._heard_any and not one.resent:
            # Its close crossed a request that it had not read: sent once more, on a new connection.
            one.resent = True
            self._pool.send(one, fresh=True)
        else:
            one.broken()

    def data_received(self, data: bytes) -> None:
        self._heard_any = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.abort()

    def on_message_begin(self) -> None:
        self._body, self._retry_after_us, self._closes = b"", 0, False

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"retry-after":
            self._retry_after_us = int(float(value) * 1e6)
        elif lower == b"connection":
            self._closes = value.strip().lower() == b"close"

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        one, self._one = self._one, None
        self._answers += 1
        if self._closes:
            self.is_open = False
            if self._transport is not None:
                self._transport.close()
        else:
            self._parser = httptools.HttpResponseParser(self)
            self._pool.idle.append(self)
        if one is not None:
            one.answer(status, self._body, self._retry_after_us)


async def _serve(generator: Generator, pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    await generator.warm_up()
    pipe.send("warm")
    stopped = asyncio.Event()
    begun: asyncio.Future[int] = loop.create_future()

    def ordered() -> None:
        try:
            order = pipe.recv()
        except EOFError:
            stopped.set()
            if not begun.done():
                begun.set_result(time.monotonic_ns())
            return
        if order[0] == "start":
            begun.set_result(order[1])
        elif order[0] == "look":
            pipe.send(generator.done)
        else:
            stopped.set()

    loop.add_reader(pipe.fileno(), ordered)
    os.set_blocking(pipe.fileno(), True)  # the loop made it non-blocking, and long messages go through it
    gc.freeze()  # what was drawn ahead stays; collections need not look at it, and make nobody late
    await generator.play(await begun, stopped)
    loop.remove_reader(pipe.fileno())


def main(
    given: Scenario, seed: int, capacity: float, sidecars: list[Address], keeps: bool, pipe: Connection
) -> None:
    """The process: it plays the load once and, where it keeps it, sends back what became of it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is for the parent
    generator = Generator(given, seed, capacity, sidecars, keeps)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(generator, pipe))
    late = {
        name: round(generator.lateness.get_value_at_percentile(part) / 1e3, 3)
        for name, part in (("p50", 50.0), ("p99", 99.0), ("max", 100.0))
    }
    left: dict[str, Any] = {"records": generator.records, "ended": generator.ended, "late": late}
    try:
        pipe.send(("done", left))
    except BrokenPipeError:
        pass
