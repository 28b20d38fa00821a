"""Client of the control endpoint: sends one command, returns its complete response."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterable

from tulipnotch.sidecar.addresses import Address

_MAX_RESPONSE_BYTES = 1 << 20
_READ_BYTES = 1 << 16
_MIN_TIMEOUT_S = 0.001  # a socket with a timeout of 0 would not block at all


class ControlProtocolError(OSError):
    """Whatever listens at the address does not follow the protocol of a control endpoint."""


def send_command(address: Address, command: str, timeout_s: float) -> list[str]:
    """Sends one command to a control endpoint and blocks until the response is complete.

    Args:
        address: Where the control endpoint listens.
        command: The command's name.
        timeout_s: Bound on the whole exchange, in seconds.

    Returns:
        The lines of the response; the first one begins with `+OK` or `-ERR`.

    Raises:
        ControlProtocolError: The response has no status line or is too large.
        OSError: The connection failed, or the response was not complete in time.
    """
    deadline = time.monotonic() + timeout_s
    with socket.create_connection(address, timeout_s) as connection:
        connection.sendall(f"{command}\n".encode())
        response = _read_until_closed(connection, deadline)
    lines = response.decode("utf-8", "replace").splitlines()
    if not lines or not lines[0].startswith(("+OK", "-ERR")):
        raise ControlProtocolError("the response is not that of a control endpoint")
    return lines


def _read_until_closed(connection: socket.socket, deadline: float) -> bytes:
    """Reads until the server closes; `deadline` is in seconds of the monotonic clock."""
    response = bytearray()
    while len(response) <= _MAX_RESPONSE_BYTES:
        connection.settimeout(max(deadline - time.monotonic(), _MIN_TIMEOUT_S))
        received = connection.recv(_READ_BYTES)
        if not received:
            return bytes(response)
        response += received
    raise ControlProtocolError(f"the response exceeds {_MAX_RESPONSE_BYTES} bytes")


def parse_metrics(lines: Iterable[str]) -> dict[str, int]:
    """Returns the metrics of a `telemetry` response by name."""
    pairs = (line.partition("=") for line in lines if "=" in line)
    return {name: int(value) for name, _, value in pairs}
