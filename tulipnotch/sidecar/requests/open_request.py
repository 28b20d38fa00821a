"""A request from its arrival until its response and all of its attempts have ended."""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest
from tulipnotch.sidecar.requests.invariants import WrittenAttempt
from tulipnotch.sidecar.upstream.request import UpstreamRequest

# The states are plain classes: each dataclass would take about a millisecond of every start.


class WaitingForResponse:
    """The client waits, and no part of a response was written to it."""

    __slots__ = ("client",)

    def __init__(self, client: DownstreamConnection) -> None:
        """This client waits."""
        self.client = client


class StreamingResponse:
    """The response of one attempt is passed on to the client piece by piece."""

    __slots__ = ("attempt", "client")

    def __init__(self, client: DownstreamConnection, attempt: int) -> None:
        """The attempt is given by its number."""
        self.client = client
        self.attempt = attempt


class ResponseEnded:
    """The client has its response, or a response that was streamed broke off."""

    __slots__ = ()


class Disconnected:
    """The client disconnected before its response had ended, or its request body was rejected midway."""

    __slots__ = ()


RESPONSE_ENDED = ResponseEnded()
DISCONNECTED = Disconnected()

# WaitingForResponse -> StreamingResponse -> ResponseEnded; a buffered response leaves the second one out.
# Disconnected may follow WaitingForResponse, and ResponseEnded where a streamed response broke off.
ResponseState = WaitingForResponse | StreamingResponse | ResponseEnded | Disconnected


class OpenRequest:
    """A request, the state of its response, and its attempts."""

    __slots__ = (
        "body_completed_at",
        "incoming",
        "last_outcome",
        "number",
        "open_attempts",
        "response",
        "upstream_requests",
        "written_attempts",
    )

    def __init__(self, number: int, client: DownstreamConnection, incoming: IncomingRequest) -> None:
        """The request has no attempts yet; `number` tells it from all others of this process."""
        self.number = number
        self.incoming = incoming
        self.response: ResponseState = WaitingForResponse(client)
        # Clock time (us) of the last byte of a body that is streamed; 0: not yet, or it was there at arrival.
        self.body_completed_at = 0
        self.upstream_requests: list[UpstreamRequest] = []  # one for each attempt, by number
        self.written_attempts: list[WrittenAttempt] = []  # those whose last byte was written
        self.open_attempts = 0
        self.last_outcome: Outcome | None = None  # of the attempt that ended last

    @property
    def name(self) -> str:
        """The id that its client gave it, for logs."""
        return self.incoming.request_id.decode("latin-1")

    @property
    def is_waiting(self) -> bool:
        """Whether the client waits for a response of which no part was written."""
        return type(self.response) is WaitingForResponse

    @property
    def has_pending_response(self) -> bool:
        """Whether a response, or the rest of one, is still to be written to the client."""
        return type(self.response) in (WaitingForResponse, StreamingResponse)

    @property
    def has_ended(self) -> bool:
        """Whether no response is pending and no attempt is in flight."""
        return not (self.open_attempts or type(self.response) in (WaitingForResponse, StreamingResponse))
