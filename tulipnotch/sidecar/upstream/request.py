"""One request to one server, and the interface of its observer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.http1.response_fault import ResponseFault
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.exchange import ResponseConsumer


class RequestObserver(Protocol):
    """Decides on the writes of a request, and is notified of its progress."""

    @property
    def streams_responses(self) -> bool:
        """Whether a response that is too large to be buffered is streamed; if not, it counts as malformed."""
        ...

    def check_still_needed(self) -> bool:
        """Returns whether the request still has to be sent; may cancel the request within this call."""
        ...

    def write_deadline(self) -> int:
        """Returns the clock time (us) from which the last byte must not be written; NEVER: no limit."""
        ...

    def send_deadline(self) -> int:
        """Returns the clock time (us) by which the kernel must have sent the last byte; NEVER: no limit.

        Called only while the kernel has not sent it.
        """
        ...

    def request_written(self, request: UpstreamRequest) -> None:
        """Called right after the last byte was written; from now on, the server may execute the request."""
        ...

    def request_recalled(self, _request: UpstreamRequest) -> None:
        """Called as a written request is given up of which the kernel has not sent all."""
        ...

    def response_began(self) -> None:
        """Called once when a part of a response was received, but not all of it."""
        ...

    def response_stalled(self, *, has_head: bool) -> bool:
        """Called when a response has stalled; returns whether to wait for its rest.

        `has_head` tells whether its head is complete, which is that of a 200 then.
        """
        ...

    def response_started(self, head: Response, connection: UpstreamConnection) -> ResponseConsumer | None:
        """Called when a response has started that is too large to be buffered.

        Returns:
            The consumer of its body, or None to fail the request.
        """
        ...

    def request_ended(self, outcome: Outcome, response: Response | None) -> None:
        """Called exactly once, with the outcome; never from within `start_request` or `cancel_request`."""
        ...


class BackgroundRequestObserver:
    """Observes a request that no client waits for, such as a health check; ignores all progress."""

    streams_responses = False

    def check_still_needed(self) -> bool:
        """Returns True: no client can withdraw the request."""
        return True

    def write_deadline(self) -> int:
        """Returns NEVER: the request has no effect, so a late execution does no harm."""
        return NEVER

    def send_deadline(self) -> int:
        """Returns NEVER, as `write_deadline`."""
        return NEVER

    def request_written(self, request: UpstreamRequest) -> None:
        """Does nothing."""

    def request_recalled(self, _request: UpstreamRequest) -> None:
        """Does nothing."""

    def response_began(self) -> None:
        """Does nothing."""

    def response_stalled(self, *, has_head: bool) -> bool:  # noqa: ARG002 - nothing is streamed
        """Returns False: the response counts as malformed."""
        return False

    def response_started(self, _head: Response, _connection: UpstreamConnection) -> ResponseConsumer | None:
        """Returns None: the response is not streamed."""
        return None

    def request_ended(self, outcome: Outcome, response: Response | None) -> None:
        """Does nothing."""


class UpstreamRequest:
    """One request to one endpoint, from its start to its outcome; all times are clock times (us)."""

    __slots__ = (
        "build_message",
        "connection",
        "deadline",
        "endpoint",
        "has_ended",
        "is_response_certain",
        "last_write_allowed_at",
        "observer",
        "timeout_started_at",
        "timer",
    )

    def __init__(
        self, endpoint: str, deadline: int, build_message: Callable[[int], Request], observer: RequestObserver
    ) -> None:
        """Creates a request; `build_message` is called with the remaining time (us) when writing begins."""
        self.endpoint = endpoint
        self.deadline = deadline
        self.build_message = build_message
        self.observer = observer
        self.has_ended = False
        self.last_write_allowed_at = 0  # time of the last check that allowed a write
        # When the timeout that the head announces began; None before that, as for an incomplete body.
        self.timeout_started_at: int | None = None
        self.is_response_certain = True  # whether the response can only be to this request
        self.connection: UpstreamConnection | None = None  # set when writing begins
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_unwritten(self) -> bool:
        """Whether the last byte is not written yet, so that no server can have executed the request."""
        return self.connection is None or self.connection.is_unwritten

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether it is written and in flight, and the kernel has not sent all of it."""
        return not self.has_ended and self.connection is not None and self.connection.has_unsent_request

    def pass_on_response(self) -> bool:
        """Streams its response from now on if that may be long and has begun; returns whether it does."""
        return not self.has_ended and self.connection is not None and self.connection.pass_on_response()

    @property
    def response_fault(self) -> ResponseFault | None:
        """Why its response was malformed; None if it was not, or if there was none."""
        return None if self.connection is None else self.connection.response_fault
