"""The operators' door: one line in, one answer out, on an address of its own.

It owns no state: each call is a function that it was given.  Whoever holds a connection without a whole call
delays nobody, since a call is answered in the moment in which its line is read.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import cast

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.downstream.listener import Acceptor, bind


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """What callers may take; times in seconds."""

    most_line: int = 256  # bytes, its end included
    line_timeout_s: float = 5.0  # from the connection to the line's end
    linger_s: float = 0.5  # how long a caller may take to read its answer and close
    most_connections: int = 16


class CommandRejectedError(Exception):
    """A call can't be carried out; the text is the reason that its caller is told."""


CommandHandler = Callable[
    [], Sequence[str]
]  # gives what follows `+OK`: the rest of that line, and further lines


class ControlEndpoint:
    """The listener and its connections, never more than the limits allow."""

    def __init__(self, calls: Mapping[str, CommandHandler], limits: ControlLimits | None = None) -> None:
        self._calls = calls
        self.limits = limits or ControlLimits()
        self._connections: dict[_Caller, None] = {}  # the stalest first
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Open the door; raise OSError where the address can't be had."""
        self.take(bind(address))

    def take(self, listener: socket.socket) -> None:
        """Open the door on a socket that listens."""
        self._acceptor = Acceptor(listener, lambda _: _Caller(self))

    @property
    def port(self) -> int:
        assert self._acceptor is not None
        return self._acceptor.port

    @property
    def open_connections(self) -> int:
        return len(self._connections)

    def close(self) -> None:
        if self._acceptor is not None:
            self._acceptor.close()
        for each in list(self._connections):
            each.cut()

    def answer(self, line: bytes) -> bytes:
        """The whole answer to a call's line."""
        try:
            name = line.decode("ascii").strip()
            call = self._calls.get(name)
            if not name:
                raise CommandRejectedError("empty call")
            if call is None:
                raise CommandRejectedError(f"unknown call; known are {', '.join(self._calls)}")
            first, *more = call()
        except UnicodeDecodeError:
            return b"-ERR a call is one line of ASCII\n"
        except CommandRejectedError as reason:
            return f"-ERR {reason}\n".encode()
        return "".join(f"{each}\n" for each in (f"+OK {first}".rstrip(), *more)).encode()

    # What connections report

    def opened(self, caller: _Caller) -> None:
        if len(self._connections) >= self.limits.most_connections:
            next(iter(self._connections)).cut()
        self._connections[caller] = None

    def closed(self, caller: _Caller) -> None:
        self._connections.pop(caller, None)


class _Caller(asyncio.Protocol):
    """One connection of an operator: it carries one call."""

    def __init__(self, control: ControlEndpoint) -> None:
        self._control = control
        self._transport: asyncio.Transport | None = None
        self._line = b""
        self._answered = False
        self._timer: asyncio.TimerHandle | None = None

    def cut(self) -> None:
        self._control.closed(self)
        if self._transport is not None:
            self._transport.abort()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._control.opened(self)
        self._after(
            self._control.limits.line_timeout_s, lambda: self._answer(b"-ERR the line did not end in time\n")
        )

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return  # one call a connection: what follows it is dropped
        self._line += data
        line, end, _ = self._line.partition(b"\n")
        if len(line) >= self._control.limits.most_line:
            self._answer(b"-ERR the line is too long\n")
        elif end:
            self._answer(self._control.answer(line))

    def eof_received(self) -> bool:
        # Guards against carrying out what was cut off: only a line's end makes it a call.
        if not self._answered:
            self._answer(b"-ERR the line has no end\n" if self._line else b"-ERR empty call\n")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._control.closed(self)

    # The rest

    def _answer(self, answer: bytes) -> None:
        """Answer, end our side, and let the caller close: with bytes unread, a close resets the answer."""
        assert self._transport is not None
        self._answered = True
        self._line = b""
        if self._transport.is_closing():
            return
        self._transport.write(answer)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._after(self._control.limits.linger_s, self.cut)

    def _after(self, wait_s: float, what: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(wait_s, what)
