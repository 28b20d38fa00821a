"""Order servers in a process of their own, some milliseconds of whose second answers matter.

It polls without waiting, so that its times are exact to some hundredths of a millisecond.  The network
between a sidecar and each server takes `ONE_WAY_S` in each direction.

    python late_servers.py SERVERS SHARE SEED

prints the addresses as one line of JSON.  SHARE of the answers get a second copy, `SECOND_AFTER_S` later, if
nothing further has arrived on the connection until then.  On SIGTERM it prints its record and ends.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import selectors
import signal
import socket
import sys
import time
from collections.abc import Callable

ONE_WAY_S = 0.0005
WORK_S = 0.004
SECOND_AFTER_S = (0.006, 0.012)
_RUN_S = 100.0  # it ends by itself after this time


class _Connection:
    """One connection of a sidecar."""

    def __init__(self, owner: _Servers, plain_socket: socket.socket) -> None:
        self.owner = owner
        self.socket = plain_socket
        self.received = b""
        self.arrived_requests = 0

    def arrive(self, data: bytes) -> None:
        """Takes bytes that have passed the network; begins each whole request (GET, without a body)."""
        self.received += data
        while b"\r\n\r\n" in self.received:
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            self.arrived_requests += 1
            lines = head.decode("latin-1").split("\r\n")[1:]
            headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines}
            self.owner.at(WORK_S, lambda made_for=headers["request-id"]: self.answer(made_for))

    def answer(self, request_id: str) -> None:
        """Answers a request, and perhaps plans a second copy."""
        body = f"made for {request_id}\n".encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self.send(answer)
        rng = self.owner.rng
        if rng.random() < self.owner.share:
            after_s = rng.uniform(*SECOND_AFTER_S)
            count = self.arrived_requests
            self.owner.at(after_s, lambda: self.send_again(answer, count, request_id, after_s))

    def send_again(self, answer: bytes, count: int, request_id: str, after_s: float) -> None:
        """Sends a second copy, if nothing else waits on the connection."""
        if self.arrived_requests == count and self.socket.fileno() >= 0:
            self.owner.record.append(f"second answer to {request_id} after {after_s * 1e3:.2f} ms")
            self.send(answer)

    def send(self, data: bytes) -> None:
        """Sends bytes, which pass the network first."""
        self.owner.at(ONE_WAY_S, lambda: self.deliver(data))

    def deliver(self, data: bytes) -> None:
        """Hands bytes to the sidecar's machine."""
        try:
            self.socket.send(data)
        except OSError:
            self.owner.close(self)


class _Servers:
    """All servers, their connections, and the actions that are due at some time."""

    def __init__(self, count: int, share: float, seed: int) -> None:
        self.share = share
        self.rng = random.Random(seed)
        self.record: list[str] = []
        self.addresses: list[str] = []
        self._selector = selectors.DefaultSelector()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.has_ended = False
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0), backlog=512)
            listener.settimeout(0.0)
            self._selector.register(listener, selectors.EVENT_READ, None)
            self.addresses.append(f"127.0.0.1:{listener.getsockname()[1]}")

    def at(self, after_s: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._due, (time.monotonic() + after_s, next(self._numbers), action))

    def close(self, connection: _Connection) -> None:
        """Closes a connection."""
        if connection.socket.fileno() >= 0:
            self._selector.unregister(connection.socket)
            connection.socket.close()

    def run(self) -> None:
        """Serves until SIGTERM."""
        end = time.monotonic() + _RUN_S
        while not self.has_ended and time.monotonic() < end:
            while self._due and self._due[0][0] <= time.monotonic():
                heapq.heappop(self._due)[2]()
            for key, _ in self._selector.select(0):
                self._readable(key.fileobj, key.data)

    def _readable(self, plain_socket: socket.socket, connection: _Connection | None) -> None:
        if connection is None:
            accepted, _ = plain_socket.accept()
            accepted.settimeout(0.0)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(accepted, selectors.EVENT_READ, _Connection(self, accepted))
            return
        try:
            data = plain_socket.recv(65_536)
        except OSError:
            data = b""
        if data:
            self.at(ONE_WAY_S, lambda: connection.arrive(data))
        else:
            self.close(connection)


def main() -> None:
    """Runs the servers."""
    servers = _Servers(int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3]))

    def end(_number: int, _frame: object) -> None:
        servers.has_ended = True

    signal.signal(signal.SIGTERM, end)
    print(json.dumps(servers.addresses), flush=True)
    servers.run()
    print(json.dumps(servers.record), flush=True)


if __name__ == "__main__":
    main()
