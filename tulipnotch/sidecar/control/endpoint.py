"""Control endpoint: an operator sends a command on one line and receives one response.

The endpoint listens on its own address and holds no state of the sidecar: it is given a handler for each
command.  A command runs once its line is complete, so a connection that never completes one delays no other.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import cast

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.downstream.listener import Acceptor, bind_and_listen


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """Limits on connections to the control endpoint."""

    max_line_bytes: int = 256  # maximum length of a command's line, including its line end
    line_timeout_s: float = 5.0  # time from accepting a connection to the end of the command's line
    linger_s: float = 0.5  # time from the response until the connection is aborted if still open
    max_connections: int = 16


class ControlEndpointError(Exception):
    """Base class of the errors of the control endpoint."""


class CommandRejectedError(ControlEndpointError):
    """A command cannot be executed; the message is the reason in the `-ERR` response."""


class NotListeningError(ControlEndpointError):
    """The port of the control endpoint was requested before the endpoint listened."""


CommandHandler = Callable[[], Sequence[str]]
"""Returns the text after `+OK`, then the further lines of the response; may raise CommandRejectedError."""


class ControlEndpoint:
    """Owns the listener and its connections, and enforces the limits on them."""

    def __init__(self, commands: Mapping[str, CommandHandler], limits: ControlLimits | None = None) -> None:
        """Creates an endpoint that does not listen yet; `commands` maps each name to its handler."""
        self._commands = commands
        self.limits = limits or ControlLimits()
        self._connections: dict[_ControlConnection, None] = {}  # in the order in which they were opened
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Binds the address and accepts connections.

        Raises:
            OSError: The address cannot be bound.
        """
        self.accept_from(bind_and_listen(address))

    def accept_from(self, listener: socket.socket) -> None:
        """Accepts connections from a socket that already listens, and takes ownership of it."""
        self._acceptor = Acceptor(listener, lambda _: _ControlConnection(self))

    @property
    def port(self) -> int:
        """The port that the endpoint listens on.

        Raises:
            NotListeningError: The endpoint does not listen yet.
        """
        if self._acceptor is None:
            raise NotListeningError("the control endpoint does not listen yet")
        return self._acceptor.port

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def close(self) -> None:
        """Closes the listener and aborts all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self._connections):
            connection.abort()

    def execute_command_line(self, line: bytes) -> bytes:
        """Executes the command on a line, given without its line end; returns the complete response."""
        try:
            name = line.decode("ascii").strip()
            status, *lines = self._find_handler(name)()
        except UnicodeDecodeError:
            return _error_response("a call is one line of ASCII")
        except CommandRejectedError as rejection:
            return _error_response(str(rejection))
        return "".join(f"{each}\n" for each in (f"+OK {status}".rstrip(), *lines)).encode()

    def _find_handler(self, name: str) -> CommandHandler:
        if not name:
            raise CommandRejectedError("empty call")
        handler = self._commands.get(name)
        if handler is None:
            raise CommandRejectedError(f"unknown call; known are {', '.join(self._commands)}")
        return handler

    def add_connection(self, connection: _ControlConnection) -> None:
        """Adds a new connection; aborts the oldest one if there are too many."""
        if len(self._connections) >= self.limits.max_connections:
            next(iter(self._connections)).abort()
        self._connections[connection] = None

    def remove_connection(self, connection: _ControlConnection) -> None:
        """Removes a connection that has ended; does nothing if it was removed already."""
        self._connections.pop(connection, None)


def _error_response(reason: str) -> bytes:
    return f"-ERR {reason}\n".encode()


class _ControlConnection(asyncio.Protocol):
    """One connection to the control endpoint, which carries one command."""

    def __init__(self, endpoint: ControlEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport  # set by `connection_made`, before any other call
        self._received = b""  # received part of the command's line
        self._has_responded = False
        self._timer: asyncio.TimerHandle | None = None

    def abort(self) -> None:
        """Closes the connection at once and discards unsent data."""
        self._endpoint.remove_connection(self)
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the timeout of the command's line."""
        # uvloop's transports do not derive from those of asyncio, so an isinstance check would fail.
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.add_connection(self)
        self._restart_timer(self._endpoint.limits.line_timeout_s, self._line_timed_out)

    def data_received(self, data: bytes) -> None:
        """Responds once the line is complete; discards all data after the first command."""
        if self._has_responded:
            return
        self._received += data
        line, line_end, _ = self._received.partition(b"\n")
        if len(line) >= self._endpoint.limits.max_line_bytes:
            self._send_response(_error_response("the line is too long"))
        elif line_end:
            self._send_response(self._endpoint.execute_command_line(line))

    def eof_received(self) -> bool:
        """Rejects a line without its end, since a truncated command may be the name of another command."""
        if not self._has_responded:
            self._send_response(_error_response("the line has no end" if self._received else "empty call"))
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """Removes the connection from the endpoint."""
        if self._timer is not None:
            self._timer.cancel()
        self._endpoint.remove_connection(self)

    def _line_timed_out(self) -> None:
        self._send_response(_error_response("the line did not end in time"))

    def _send_response(self, response: bytes) -> None:
        """Sends the response and closes the sending side only; it is the client that closes the connection.

        Closing a socket that has unread bytes resets the connection, and the client may lose the response.
        """
        self._has_responded = True
        self._received = b""
        if self._transport.is_closing():
            return
        self._transport.write(response)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._restart_timer(self._endpoint.limits.linger_s, self.abort)

    def _restart_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)
