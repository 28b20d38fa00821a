"""An exchange of a request and its response: who observes it, its phases, and how it can fail."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.unwritten_request import UnwrittenRequest


@unique
class ExchangeFailure(Enum):
    """Why an exchange has no response."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    CONNECTION_LOST = "broken"  # it broke or ended after that
    MALFORMED_RESPONSE = "spoilt"  # the response is not HTTP, is ambiguous, too large or has no end


class ResponseConsumer(Protocol):
    """Receives the body of a streamed response."""

    def write_body(self, piece: bytes) -> None:
        """Take a further part of the body."""
        ...


class ExchangeObserver(Protocol):
    """Whoever an exchange is made for: asked before writes, and notified of its progress."""

    @property
    def streams_responses(self) -> bool:
        """Whether a response too large to be buffered is streamed; if not, it is malformed."""
        ...

    def may_write(self) -> bool:
        """Whether a further part of the request may be written, in the instant in which it would be.

        Not asked for what is written within `start_exchange`, which its caller has decided on.  Whoever
        returns False has closed the connection.
        """
        ...

    def request_written(self) -> None:
        """The last byte is written in this instant, so that a server may begin to execute the request."""
        ...

    def response_started(self, head: Response) -> ResponseConsumer | None:
        """A response has started that is too large to be buffered.

        Returns:
            Who consumes its body; None: nobody, and the exchange fails.
        """
        ...

    def exchange_ended(self, result: Response | ExchangeFailure) -> None:
        """The exchange has ended; called exactly once, unless the connection is closed by `close` before."""
        ...


@dataclass(slots=True, eq=False)
class Writing:
    """A part of the request is not written yet."""

    observer: ExchangeObserver
    request: UnwrittenRequest
    retry_timer: asyncio.TimerHandle | None = None  # until the last byte is offered to the kernel again


@dataclass(slots=True, eq=False)
class AwaitingResponse:
    """The request is written; its response is buffered as far as it was received."""

    observer: ExchangeObserver


@dataclass(slots=True, eq=False)
class Streaming:
    """The request is written, and its response is passed on as it is received."""

    observer: ExchangeObserver
    consumer: ResponseConsumer


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection can never be used again."""

    is_unwritten: bool  # whether its last request was not written completely


Exchange = Writing | AwaitingResponse | Streaming
