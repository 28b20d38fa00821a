"""A network link: a proxy in front of each order server, which delays all bytes by the same short time.

Runs as a process of its own, since its times are shorter than the ticks of an event loop:

    python -m stand_ins.link HOST DELAY_MS PORT...

It writes the port of the proxy in front of each of the given ports to standard output, and ends with its
standard input.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time

_READ_BYTES = 64 << 10


def _relay(source: socket.socket, target: socket.socket, delay_s: float) -> None:
    """Passes on what `source` sends, each part after the delay, and its end."""
    try:
        while data := source.recv(_READ_BYTES):
            time.sleep(delay_s)
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        for each in (source, target):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)


def _accept(listener: socket.socket, target: tuple[str, int], delay_s: float) -> None:
    while True:
        client, _ = listener.accept()
        try:
            server = socket.create_connection(target)
        except OSError:
            client.close()
            continue
        for each in (client, server):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for pair in ((client, server), (server, client)):
            threading.Thread(target=_relay, args=(*pair, delay_s), daemon=True).start()


def main() -> None:
    """Runs the proxies until standard input ends."""
    host, delay_s = sys.argv[1], float(sys.argv[2]) / 1_000
    ports = []
    for port in sys.argv[3:]:
        listener = socket.create_server((host, 0))
        ports.append(str(listener.getsockname()[1]))
        threading.Thread(target=_accept, args=(listener, (host, int(port)), delay_s), daemon=True).start()
    print(" ".join(ports), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
