"""One request to one server, and who is notified of what becomes of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.exchange import ResponseConsumer


class RequestObserver(Protocol):
    """Whoever a request is sent for: asked before each write, and notified of its progress."""

    @property
    def streams_responses(self) -> bool:
        """Whether a response too large to be buffered is passed on; if not, it is malformed."""
        ...

    def check_still_wanted(self) -> bool:
        """Whether the request is still to be sent; it may be cancelled within this call."""
        ...

    def write_deadline(self) -> int:
        """Clock time (us) from which on the last byte may not be written any more; NEVER: no bound."""
        ...

    def request_written(self, request: UpstreamRequest) -> None:
        """The last byte is written in this instant, so that a server may begin to execute the request."""
        ...

    def response_started(self, head: Response, connection: UpstreamConnection) -> ResponseConsumer | None:
        """A response has started that is too large to be buffered; returns who consumes it, or None."""
        ...

    def request_ended(self, outcome: Outcome, response: Response | None) -> None:
        """The request has its outcome; called exactly once, never from within `start` or `cancel`."""
        ...


class BackgroundRequestObserver:
    """Observes a request that no client waits for, such as a health check."""

    streams_responses = False

    def check_still_wanted(self) -> bool:
        """Always, since the request is sent for its own sake."""
        return True

    def write_deadline(self) -> int:
        """There is no bound: the request has no effect."""
        return NEVER

    def request_written(self, request: UpstreamRequest) -> None:
        """Ignored."""

    def response_started(self, _head: Response, _connection: UpstreamConnection) -> ResponseConsumer | None:
        """Ignored: the response is short."""
        return None

    def request_ended(self, outcome: Outcome, response: Response | None) -> None:
        """Ignored."""


class UpstreamRequest:
    """One request to one endpoint, from its start to its outcome; times are clock times (us)."""

    __slots__ = (
        "build_message",
        "connection",
        "deadline",
        "endpoint",
        "has_ended",
        "is_response_certain",
        "last_write_allowed_at",
        "observer",
        "timeout_runs_from",
        "timer",
    )

    def __init__(
        self, endpoint: str, deadline: int, build_message: Callable[[int], Request], observer: RequestObserver
    ) -> None:
        """`build_message` is given the time that is left, in microseconds."""
        self.endpoint = endpoint
        self.deadline = deadline
        self.build_message = build_message
        self.observer = observer
        self.has_ended = False
        self.last_write_allowed_at = 0  # when a write was last allowed
        self.timeout_runs_from: int | None = None  # from when on the time that its head announces passes
        self.is_response_certain = True  # whether a response can belong to no other request
        self.connection: UpstreamConnection | None = None  # once it is being written
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_unwritten(self) -> bool:
        """Whether the last byte was not written, so that no server can have begun to execute it."""
        return self.connection is None or self.connection.is_unwritten
