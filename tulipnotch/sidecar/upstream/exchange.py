"""An exchange of a request and its response on one connection: its states, observers and failures."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.unwritten_request import UnwrittenRequest


@unique
class ExchangeFailure(Enum):
    """Why an exchange ended without a usable response."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    CONNECTION_LOST = "broken"  # the connection broke or ended after the request's last byte was written
    MALFORMED_RESPONSE = "spoilt"  # the response is invalid or ambiguous HTTP, too large, or stalled


class ResponseConsumer(Protocol):
    """Receives the body of a streamed response."""

    def write_body(self, piece: bytes) -> None:
        """Accepts a further part of the body."""
        ...


class ExchangeObserver(Protocol):
    """Decides on the writes of an exchange, and is notified of its progress."""

    @property
    def streams_responses(self) -> bool:
        """Whether a response too large to be buffered is streamed; if not, it is malformed."""
        ...

    def may_write(self) -> bool:
        """Returns whether a further part of the request may be written now; called right before the write.

        It is not called for what is written within `start_exchange`, which its caller has decided on.  An
        implementation that returns False must have closed the connection.
        """
        ...

    def request_written(self) -> None:
        """Called right after the last byte was written; from now on, the server may execute the request."""
        ...

    def response_began(self) -> None:
        """Called once when a part of a response was received, but not all of it."""
        ...

    def response_stalled(self, *, has_head: bool) -> bool:
        """Called when a response that is not streamed has made no progress for the stall timeout.

        Args:
            has_head: Whether its head is complete; it is a 200 then.

        Returns:
            Whether to wait for the rest; if not, the response counts as malformed.
        """
        ...

    def response_started(self, head: Response) -> ResponseConsumer | None:
        """Called when a response is streamed from now on.

        Returns:
            The consumer of its body, or None to fail the exchange.
        """
        ...

    def exchange_ended(self, result: Response | ExchangeFailure) -> None:
        """Called once when the exchange has ended; not called if the connection was closed by `close`."""
        ...


@dataclass(slots=True, eq=False)
class Writing:
    """State: a part of the request is not written yet."""

    observer: ExchangeObserver
    request: UnwrittenRequest
    retry_timer: asyncio.TimerHandle | None = None  # runs until the next try to write the last byte


@dataclass(slots=True, eq=False)
class AwaitingResponse:
    """State: the request is written, and its response is buffered until it is complete."""

    observer: ExchangeObserver


@dataclass(slots=True, eq=False)
class Streaming:
    """State: the request is written, and its response is passed on as it is received."""

    observer: ExchangeObserver
    consumer: ResponseConsumer


@dataclass(frozen=True, slots=True)
class Closed:
    """State: the connection can never be used again."""

    is_unwritten: bool  # whether the last request was not written completely


Exchange = Writing | AwaitingResponse | Streaming
