"""The caller's end of the operators' door: one call, its whole answer, and the figures in it."""

from __future__ import annotations

import socket
import time

from tulipnotch.sidecar.addresses import Address

_MOST_BYTES = 1 << 20  # of an answer


def ask(address: Address, call: str, timeout: float) -> list[str]:
    """The lines of the door's answer; OSError if it does not come whole in time."""
    until = time.monotonic() + timeout
    answer = b""
    with socket.create_connection(address, timeout) as connection:
        connection.sendall(f"{call}\n".encode())
        while True:
            connection.settimeout(max(until - time.monotonic(), 0.001))
            piece = connection.recv(1 << 16)
            if not piece:
                break
            answer += piece
            if len(answer) > _MOST_BYTES:
                raise OSError("the answer has no end")
    lines = answer.decode("utf-8", "replace").splitlines()
    if not lines or not lines[0].startswith(("+OK", "-ERR")):
        raise OSError("this is not an operators' door")
    return lines


def figures(lines: list[str]) -> dict[str, int]:
    """The figures of a `telemetry` answer by name."""
    pairs = (line.partition("=") for line in lines if "=" in line)
    return {name: int(value) for name, _, value in pairs}
