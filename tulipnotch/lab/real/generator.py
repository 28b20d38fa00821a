"""An open-loop load generator, which simulates all clients in a process of its own.

Each first try is sent at a time that was sampled in advance, whatever happens to other requests, and latency
counts from that time.  The lateness of the sends is recorded as well; a run whose generator was late is
marked as invalid.
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

from tulipnotch.lab.load import (
    ClientRequest,
    RequestOutcome,
    arrival_rates_per_s,
    generate_arrivals,
    next_retry_at,
    random_stream,
    try_timeout_us,
)
from tulipnotch.lab.real.backend import Record, request_target
from tulipnotch.lab.recorder import new_latency_histogram
from tulipnotch.lab.scenario import Scenario

Address = tuple[str, int]
_INITIAL_CONNECTIONS = 8  # opened to each sidecar before the first request
_MAX_CONNECTIONS = 400  # to each sidecar


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """The outcome of a request, and when its last try ended (microseconds from the start)."""

    client_request: ClientRequest
    outcome: RequestOutcome
    ended_at: int


class LoadGenerator:
    """All clients of all sidecars, and the records of what they observed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        capacity: float,
        sidecars: list[Address],
        keeps_records: bool,
    ) -> None:
        self.scenario, self._keeps_records = scenario, keeps_records
        self.records: list[Record] = []
        self.ended: list[EndedRequest] = []
        self.lateness = new_latency_histogram()
        self.class_indices = {
            service_class.name: index for index, service_class in enumerate(scenario.classes)
        }
        arrivals_by_sidecar = [
            generate_arrivals(scenario, seed, index, rate_per_s)
            for index, rate_per_s in enumerate(arrival_rates_per_s(scenario, seed, capacity))
        ]
        arrivals: Iterator[ClientRequest] = heapq.merge(
            *arrivals_by_sidecar,
            key=lambda client_request: (client_request.intended_at, client_request.number),
        )
        # Sampled in advance for a run with records, and one by one for a run without an end.
        self._arrivals = iter(list(arrivals)) if keeps_records else arrivals
        self._next_arrival = next(self._arrivals, None)
        self._sample_uniform = random_stream(seed, "clients").random
        self._pools = [ConnectionPool(self, address) for address in sidecars]
        self._last_request = 0
        self._due_retries: list[tuple[int, int, ClientRequest]] = []  # heap of time, last try and request
        self._in_flight = 0
        self._t0_ns = 0
        self._timer: asyncio.TimerHandle | None = None

    async def warm_up(self) -> None:
        """Opens connections before the first request, as clients that have run for long have them."""
        await asyncio.gather(*(pool.open() for pool in self._pools for _ in range(_INITIAL_CONNECTIONS)))

    def now(self) -> int:
        return (time.monotonic_ns() - self._t0_ns) // 1_000

    async def run(self, t0_ns: int, stopped: asyncio.Event) -> None:
        """Sends all requests; returns when the last of them has ended, or at the latest possible deadline."""
        self._t0_ns = t0_ns
        self._loop = asyncio.get_running_loop()
        self._send_due()
        end_s = self.scenario.seconds + max(each.deadline_ms for each in self.scenario.classes) / 1e3 + 0.5
        while self.now() < end_s * 1e6 and not stopped.is_set():
            if self._next_arrival is None and not self._due_retries and not self._in_flight:
                break
            await asyncio.sleep(0.05)
        if self._timer is not None:
            self._timer.cancel()
        for pool in self._pools:
            pool.close()

    @property
    def progress(self) -> float:
        return min(max(self.now() / 1e6 / self.scenario.seconds, 0.0), 1.0)

    # Sending

    def _send_due(self) -> None:
        """Sends all tries that are due, and schedules the next call."""
        now = self.now()
        while self._next_arrival is not None and self._next_arrival.intended_at <= now:
            client_request, self._next_arrival = self._next_arrival, next(self._arrivals, None)
            self.lateness.record_value(max(now - client_request.intended_at, 1))
            self._send_try(client_request)
            now = self.now()
        while self._due_retries and self._due_retries[0][0] <= now:
            self._send_try(heapq.heappop(self._due_retries)[2])
        due_times = [self._next_arrival.intended_at] if self._next_arrival is not None else []
        if self._due_retries:
            due_times.append(self._due_retries[0][0])
        if due_times or self._in_flight:
            delay_us = max(min(due_times) - self.now(), 0) if due_times else 50_000
            # Timers have a resolution of 1 ms; the last millisecond is spent in turns of the event loop.
            self._timer = self._loop.call_later(max(delay_us - 1_000, 0) / 1e6, self._send_due)

    def _send_try(self, client_request: ClientRequest) -> None:
        now = self.now()
        self._last_request += 1
        client_request.try_count += 1
        timeout_us = try_timeout_us(client_request, now, self.scenario.clients)
        client_try = ClientTry(self, client_request, self._last_request, now, now + timeout_us)
        self._in_flight += 1
        self._pools[client_request.sidecar].send(client_try)

    def try_ended(self, client_try: ClientTry, outcome: RequestOutcome, retry_after_us: int) -> None:
        """Schedules a retry, or records the end of the request."""
        self._in_flight -= 1
        now = self.now()
        retry_at = next_retry_at(
            client_try.client_request,
            outcome,
            retry_after_us,
            now,
            self.scenario.clients,
            self._sample_uniform,
        )
        if retry_at is None:
            self.ended.append(EndedRequest(client_try.client_request, outcome, now))
            if not self._keeps_records:
                self.ended.clear()
                self.records.clear()
            return
        heapq.heappush(self._due_retries, (retry_at, client_try.request, client_try.client_request))
        if self._timer is None or self._timer.when() > self._loop.time() + (retry_at - now) / 1e6:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_later(max(retry_at - now - 1_000, 0) / 1e6, self._send_due)


class ClientTry:
    """One try of a client, from its start to its end."""

    def __init__(
        self,
        generator: LoadGenerator,
        client_request: ClientRequest,
        request: int,
        now: int,
        deadline: int,
    ) -> None:
        self.generator, self.client_request, self.request, self.deadline = (
            generator,
            client_request,
            request,
            deadline,
        )
        self._class_index = generator.class_indices[client_request.service_class.name]
        self.has_ended = False
        self.is_resent = False
        self.connection: ClientConnection | None = None
        loop = generator._loop
        slack_s = generator.scenario.rules.slack_ms / 1e3
        self._timer = loop.call_later(max(deadline - now, 0) / 1e6 + slack_s, self._time_out)
        self._disconnect_timer = None
        if client_request.disconnects_after_us and client_request.try_count == 1:
            self._disconnect_timer = loop.call_later(
                client_request.disconnects_after_us / 1e6, self._disconnect
            )

    def message(self, now: int) -> bytes:
        """Returns the HTTP request."""
        client_request = self.client_request
        is_write = client_request.service_class.repeat != "safe"
        head = (
            f"{'POST' if is_write else 'GET'} "
            f"{request_target(self._class_index, client_request.work_us, client_request.key)} HTTP/1.1\r\n"
            f"Host: origin.svc\r\nRequest-Id: {self.request:016x}\r\n"
            f"Request-Class: {client_request.service_class.name}\r\n"
            f"Request-Timeout: {max(self.deadline - now, 1_000) / 1e6:.3f}\r\n"
        )
        if client_request.tenant is not None:
            head += f"Tenant: {client_request.tenant}\r\n"
        if client_request.service_class.repeat == "keyed":
            head += f"Idempotency-Key: {self.request:032x}\r\n"
        if is_write:
            return (head + "Content-Length: 5\r\n\r\norder").encode()
        return (head + "\r\n").encode()

    def record_sent(self, now: int) -> None:
        """Records the send on an established connection; a send on a second connection is not recorded."""
        if not self.is_resent:
            self.generator.records.append(
                (
                    now,
                    "taken",
                    self.request,
                    self.client_request.sidecar,
                    self._class_index,
                    max(self.deadline - now, 0),
                )
            )

    def response_received(self, status: int, body: bytes, retry_after_us: int) -> None:
        if self.has_ended:
            return
        outcome = (
            RequestOutcome.SERVED
            if status == 200
            else RequestOutcome.REJECTED
            if status in (429, 503)
            else RequestOutcome.FAILED
        )
        now = self.generator.now()
        self.generator.records.append((now, "answered", self.request, outcome is RequestOutcome.REJECTED))
        if outcome is RequestOutcome.SERVED and body != b"%d" % self.request:
            self.generator.records.append((now, "wrong", self.request))
            outcome = RequestOutcome.FAILED
        self._end(
            RequestOutcome.FAILED if outcome is RequestOutcome.SERVED and now > self.deadline else outcome,
            retry_after_us,
        )

    def connect_failed(self) -> None:
        """Ends the try as rejected, because it was not sent on any connection."""
        if not self.has_ended:
            self._end(RequestOutcome.REJECTED, 0)

    def connection_lost(self) -> None:
        """Ends the try as failed, because its connection closed without a response."""
        if not self.has_ended:
            self._end(RequestOutcome.FAILED, 0)

    def _time_out(self) -> None:
        if not self.has_ended:
            self._abort_connection()
            self._end(RequestOutcome.FAILED, 0)

    def _disconnect(self) -> None:
        if not self.has_ended:
            self.generator.records.append((self.generator.now(), "excused", self.request))
            self._abort_connection()
            self._end(RequestOutcome.DISCONNECTED, 0)

    def _abort_connection(self) -> None:
        if self.connection is not None:
            self.connection.abort()

    def _end(self, outcome: RequestOutcome, retry_after_us: int) -> None:
        self.has_ended = True
        self._timer.cancel()
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
        self.generator.try_ended(self, outcome, retry_after_us)


class ConnectionPool:
    """The clients' connections to one sidecar, each with at most one request at a time."""

    def __init__(self, generator: LoadGenerator, address: Address) -> None:
        self.generator, self.address = generator, address
        self.idle: list[ClientConnection] = []
        self.all: set[ClientConnection] = set()
        self._connecting = 0

    async def open(self) -> ClientConnection | None:
        """Opens an idle connection; returns None if that fails."""
        self._connecting += 1
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(self), *self.address
            )
        except OSError:
            return None
        finally:
            self._connecting -= 1
        self.idle.append(connection)
        return connection

    def send(self, client_try: ClientTry, needs_new_connection: bool = False) -> None:
        """Sends a try on an idle connection, or on a new one."""
        while self.idle and not needs_new_connection:
            connection = self.idle.pop()
            if connection.is_open:
                connection.send(client_try)
                return
        if len(self.all) + self._connecting >= _MAX_CONNECTIONS:
            client_try.connect_failed()
            return
        task = asyncio.get_running_loop().create_task(self._open_and_send(client_try))
        task.add_done_callback(lambda done: done.exception())

    async def _open_and_send(self, client_try: ClientTry) -> None:
        connection = await self.open()
        if connection is None or not connection.is_open:
            client_try.connect_failed()
            return
        if connection in self.idle:
            self.idle.remove(connection)
        if client_try.has_ended:
            self.idle.append(connection)
        else:
            connection.send(client_try)

    def close(self) -> None:
        for connection in list(self.all):
            connection.abort()


class ClientConnection(asyncio.Protocol):
    """One connection of a client to its sidecar."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._try: ClientTry | None = None
        self._responses = 0
        self._has_received = False  # whether any bytes came since the last send
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._retry_after_us = 0
        self._must_close = False
        self.is_open = False

    def send(self, client_try: ClientTry) -> None:
        assert self._transport is not None
        self._try, client_try.connection = client_try, self
        self._has_received = False
        now = self._pool.generator.now()
        # Recorded before the write, because a server may execute the request before this process continues.
        client_try.record_sent(now)
        self._transport.write(client_try.message(now))

    def abort(self) -> None:
        """Closes the connection; its try, if any, is not notified."""
        self._try = None
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True
        self._pool.all.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._pool.all.discard(self)
        client_try, self._try = self._try, None
        if client_try is None:
            return
        if self._responses and not self._has_received and not client_try.is_resent:
            # The sidecar closed the reused connection before it read the request, which is therefore sent
            # once more, on a new connection.
            client_try.is_resent = True
            self._pool.send(client_try, needs_new_connection=True)
        else:
            client_try.connection_lost()

    def data_received(self, data: bytes) -> None:
        self._has_received = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._transport is not None:
                self._transport.abort()

    def on_message_begin(self) -> None:
        self._body, self._retry_after_us, self._must_close = b"", 0, False

    def on_header(self, name: bytes, value: bytes) -> None:
        lower_name = name.lower()
        if lower_name == b"retry-after":
            self._retry_after_us = int(float(value) * 1e6)
        elif lower_name == b"connection":
            self._must_close = value.strip().lower() == b"close"

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200:
            return
        client_try, self._try = self._try, None
        self._responses += 1
        if self._must_close:
            self.is_open = False
            if self._transport is not None:
                self._transport.close()
        else:
            self._parser = httptools.HttpResponseParser(self)
            self._pool.idle.append(self)
        if client_try is not None:
            client_try.response_received(status, self._body, self._retry_after_us)


async def _serve(generator: LoadGenerator, pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    await generator.warm_up()
    pipe.send("warm")
    stopped = asyncio.Event()
    started: asyncio.Future[int] = loop.create_future()

    def receive_command() -> None:
        try:
            command = pipe.recv()
        except EOFError:  # the parent process has ended
            stopped.set()
            if not started.done():
                started.set_result(time.monotonic_ns())
            return
        if command[0] == "start":
            started.set_result(command[1])
        elif command[0] == "look":
            pipe.send(generator.progress)
        else:
            stopped.set()

    loop.add_reader(pipe.fileno(), receive_command)
    os.set_blocking(pipe.fileno(), True)  # the event loop made it non-blocking, which fails for long messages
    gc.freeze()  # garbage collections skip the arrivals sampled in advance, and so do not delay sends
    await generator.run(await started, stopped)
    loop.remove_reader(pipe.fileno())


def main(
    scenario: Scenario,
    seed: int,
    capacity: float,
    sidecars: list[Address],
    keeps_records: bool,
    pipe: Connection,
) -> None:
    """Runs the process, which sends the load once and then its records to the parent process.

    Args:
        scenario: The scenario.
        seed: The seed of the run.
        capacity: The capacity of the warm fleet, in seconds of work on a standard core a second.
        sidecars: The addresses of the sidecars.
        keeps_records: Whether records are kept for a history check.
        pipe: The pipe to the parent process.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process handles Ctrl-C
    generator = LoadGenerator(scenario, seed, capacity, sidecars, keeps_records)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(generator, pipe))
    lateness_ms = {
        name: round(generator.lateness.get_value_at_percentile(percentile) / 1e3, 3)
        for name, percentile in (("p50", 50.0), ("p99", 99.0), ("max", 100.0))
    }
    results: dict[str, Any] = {
        "records": generator.records,
        "ended": generator.ended,
        "late": lateness_ms,
    }
    try:
        pipe.send(("done", results))
    except BrokenPipeError:
        pass
