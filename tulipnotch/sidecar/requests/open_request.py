"""What the sidecar keeps of a request that was taken, until it is answered and its attempts have ended."""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest
from tulipnotch.sidecar.requests.invariants import WrittenAttempt
from tulipnotch.sidecar.upstream.request import UpstreamRequest


class OpenRequest:
    """A request with its client, its calls and what became of them."""

    __slots__ = (
        "calls",
        "client",
        "has_left",
        "incoming",
        "last_outcome",
        "out",
        "reading",
        "streamed",
        "whole_at",
        "written",
    )

    def __init__(self, client: DownstreamConnection, incoming: IncomingRequest) -> None:
        self.client: DownstreamConnection | None = (
            client  # None: it has its answer, or the first part of it, or left
        )
        self.has_left = False  # whether the client went before it had an answer, or its body was given up
        self.reading: DownstreamConnection | None = None  # who an answer is being passed on to
        self.streamed: int | None = None  # by which attempt
        self.whole_at = 0  # when the last byte of a request came that had to pass through
        self.incoming = incoming
        self.calls: list[UpstreamRequest] = []
        self.written: dict[int, WrittenAttempt] = {}  # by number: those whose last byte has left
        self.out = 0
        self.last_outcome: Outcome | None = None

    @property
    def name(self) -> str:
        """The id that its client gave it, for records."""
        return self.incoming.request_id.decode("latin-1")

    @property
    def is_over(self) -> bool:
        """Whether nothing is owed for it any more, and nothing is out."""
        return self.client is None and self.reading is None and self.out == 0


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Which attempt something is about; `sent_at` is a clock time in microseconds."""

    request: int
    number: int
    server: str
    sent_at: int
