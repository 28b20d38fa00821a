"""Client of the control endpoint: sends one command and returns its complete response."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterable

from tulipnotch.sidecar.addresses import Address

_MAX_RESPONSE_BYTES = 1 << 20
_READ_BYTES = 1 << 16
_MIN_TIMEOUT_S = 0.001  # a timeout of 0 would make the socket non-blocking


class ControlProtocolError(OSError):
    """The peer does not follow the protocol of the control endpoint."""


def send_command(address: Address, command: str, timeout_s: float) -> list[str]:
    """Sends one command to a control endpoint and blocks until the response is complete.

    Args:
        address: Where the control endpoint listens.
        command: The command's name.
        timeout_s: Timeout of the whole exchange, in seconds.

    Returns:
        The lines of the response; the first one begins with `+OK` or `-ERR`.

    Raises:
        ControlProtocolError: The response does not begin with a status line, or is too large.
        OSError: The connection failed, or the response was not complete in time.
    """
    deadline = time.monotonic() + timeout_s
    with socket.create_connection(address, timeout_s) as connection:
        connection.sendall(f"{command}\n".encode())
        response = _read_until_closed(connection, deadline)
    lines = response.decode("utf-8", "replace").splitlines()
    if not lines or not lines[0].startswith(("+OK", "-ERR")):
        raise ControlProtocolError("the response does not begin with +OK or -ERR")
    return lines


def _read_until_closed(connection: socket.socket, deadline: float) -> bytes:
    """Reads until the peer closes the connection; `deadline` is in seconds of the monotonic clock."""
    response = bytearray()
    while len(response) <= _MAX_RESPONSE_BYTES:
        connection.settimeout(max(deadline - time.monotonic(), _MIN_TIMEOUT_S))
        received = connection.recv(_READ_BYTES)
        if not received:
            return bytes(response)
        response += received
    raise ControlProtocolError(f"the response exceeds {_MAX_RESPONSE_BYTES} bytes")


def parse_metrics(lines: Iterable[str]) -> dict[str, int]:
    """Returns the metrics in the lines of a `telemetry` response, keyed by name."""
    pairs = (line.partition("=") for line in lines if "=" in line)
    return {name: int(value) for name, _, value in pairs}
