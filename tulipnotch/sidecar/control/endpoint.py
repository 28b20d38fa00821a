"""Control endpoint: operators send one line with a command and receive one response.

It listens on an address of its own and holds no state of the sidecar: each command is a handler that it is
given.  A command runs as soon as its line is complete, so connections that never complete one delay nobody.
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
    """What connections to the control endpoint may use."""

    max_line_bytes: int = 256  # of a command, including its line end
    line_timeout_s: float = 5.0  # from accepting the connection to the command's line end
    linger_s: float = 0.5  # from the response until the connection is aborted if the client has not closed it
    max_connections: int = 16


class ControlEndpointError(Exception):
    """Base class of the control endpoint's errors."""


class CommandRejectedError(ControlEndpointError):
    """A command cannot be carried out; the message is the reason in its `-ERR` response."""


class NotListeningError(ControlEndpointError):
    """The control endpoint was asked for its port before it listened."""


CommandHandler = Callable[[], Sequence[str]]
"""Returns the text after `+OK`, followed by further lines; may raise CommandRejectedError."""


class ControlEndpoint:
    """Owns the listener and its connections, which never exceed the limits."""

    def __init__(self, commands: Mapping[str, CommandHandler], limits: ControlLimits | None = None) -> None:
        """Creates an endpoint that does not listen yet; `commands` maps each name to its handler."""
        self._commands = commands
        self.limits = limits or ControlLimits()
        self._connections: dict[_ControlConnection, None] = {}  # ordered by age, the oldest first
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Binds the address and accepts connections.

        Raises:
            OSError: The address cannot be bound.
        """
        self.accept_from(bind_and_listen(address))

    def accept_from(self, listener: socket.socket) -> None:
        """Accepts connections from a socket that already listens, and owns it from now on."""
        self._acceptor = Acceptor(listener, lambda _: _ControlConnection(self))

    @property
    def port(self) -> int:
        """The port that the endpoint listens on.

        Raises:
            NotListeningError: It does not listen yet.
        """
        if self._acceptor is None:
            raise NotListeningError("the control endpoint does not listen yet")
        return self._acceptor.port

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return len(self._connections)

    def close(self) -> None:
        """Closes the listener and aborts all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self._connections):
            connection.abort()

    def respond(self, line: bytes) -> bytes:
        """Carries out the command on this line, given without its line end; returns the complete response."""
        try:
            name = line.decode("ascii").strip()
            status, *lines = self._handler(name)()
        except UnicodeDecodeError:
            return _error_response("a call is one line of ASCII")
        except CommandRejectedError as rejection:
            return _error_response(str(rejection))
        return "".join(f"{each}\n" for each in (f"+OK {status}".rstrip(), *lines)).encode()

    def _handler(self, name: str) -> CommandHandler:
        if not name:
            raise CommandRejectedError("empty call")
        handler = self._commands.get(name)
        if handler is None:
            raise CommandRejectedError(f"unknown call; known are {', '.join(self._commands)}")
        return handler

    def connection_opened(self, connection: _ControlConnection) -> None:
        """Registers a connection; aborts the oldest one if there would be too many."""
        if len(self._connections) >= self.limits.max_connections:
            next(iter(self._connections)).abort()
        self._connections[connection] = None

    def connection_closed(self, connection: _ControlConnection) -> None:
        """Removes a connection that has ended; does nothing for one that is already removed."""
        self._connections.pop(connection, None)


def _error_response(reason: str) -> bytes:
    return f"-ERR {reason}\n".encode()


class _ControlConnection(asyncio.Protocol):
    """One connection to the control endpoint, which carries one command."""

    def __init__(self, endpoint: ControlEndpoint) -> None:
        self._endpoint = endpoint
        self._transport: asyncio.Transport  # set by `connection_made`, before any other call
        self._received = b""  # of the command's line
        self._has_responded = False
        self._timer: asyncio.TimerHandle | None = None

    def abort(self) -> None:
        """Closes the connection at once and discards what was not sent."""
        self._endpoint.connection_closed(self)
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the time that the command's line may take."""
        # uvloop's transports do not derive from those of asyncio, so that an isinstance check would fail.
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.connection_opened(self)
        self._start_timer(self._endpoint.limits.line_timeout_s, self._line_timed_out)

    def data_received(self, data: bytes) -> None:
        """Responds once the line is complete; discards whatever follows the first command."""
        if self._has_responded:
            return
        self._received += data
        line, line_end, _ = self._received.partition(b"\n")
        if len(line) >= self._endpoint.limits.max_line_bytes:
            self._respond(_error_response("the line is too long"))
        elif line_end:
            self._respond(self._endpoint.respond(line))

    def eof_received(self) -> bool:
        """Rejects a line without its end, since a truncated command may be another one's name."""
        if not self._has_responded:
            self._respond(_error_response("the line has no end" if self._received else "empty call"))
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """Removes the connection from the endpoint."""
        if self._timer is not None:
            self._timer.cancel()
        self._endpoint.connection_closed(self)

    def _line_timed_out(self) -> None:
        self._respond(_error_response("the line did not end in time"))

    def _respond(self, response: bytes) -> None:
        """Sends the response and closes the sending side only.

        The client closes the connection: a close from this side with unread bytes would reset it, and with
        it the response.
        """
        self._has_responded = True
        self._received = b""
        if self._transport.is_closing():
            return
        self._transport.write(response)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._start_timer(self._endpoint.limits.linger_s, self.abort)

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)
