"""A request, from its arrival until its response and all of its attempts have ended."""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest
from tulipnotch.sidecar.requests.invariants import WrittenAttempt
from tulipnotch.sidecar.upstream.request import UpstreamRequest

# The states are plain classes, since each dataclass adds about a millisecond to the start of the process.


class WaitingForResponse:
    """State: the client waits, and no part of a response was written to it."""

    __slots__ = ("client",)

    def __init__(self, client: DownstreamConnection) -> None:
        """Stores the connection of the waiting client."""
        self.client = client


class StreamingResponse:
    """State: the response of one attempt is being streamed to the client."""

    __slots__ = ("attempt", "client")

    def __init__(self, client: DownstreamConnection, attempt: int) -> None:
        """Stores the client's connection and the number of the attempt."""
        self.client = client
        self.attempt = attempt


class ResponseEnded:
    """State: the response was written completely, or a streamed response broke off."""

    __slots__ = ()


class Disconnected:
    """State: the client disconnected before the end of its response, or its body was rejected midway."""

    __slots__ = ()


RESPONSE_ENDED = ResponseEnded()
DISCONNECTED = Disconnected()

# Transitions: WaitingForResponse -> StreamingResponse -> ResponseEnded.  A buffered response skips the second
# state.  Disconnected may follow WaitingForResponse, or ResponseEnded if a streamed response broke off.
ResponseState = WaitingForResponse | StreamingResponse | ResponseEnded | Disconnected


class OpenRequest:
    """A request, the state of its response, and its attempts."""

    __slots__ = (
        "body_completed_at",
        "incoming",
        "last_outcome",
        "number",
        "open_attempt_count",
        "response",
        "upstream_requests",
        "written_attempts",
    )

    def __init__(self, number: int, client: DownstreamConnection, incoming: IncomingRequest) -> None:
        """Creates a request without attempts; `number` is unique in this process."""
        self.number = number
        self.incoming = incoming
        self.response: ResponseState = WaitingForResponse(client)
        # Clock time (us) at which the last byte of an incomplete body was received; 0 if it was not received
        # yet, or if the body was complete on arrival.
        self.body_completed_at = 0
        self.upstream_requests: list[UpstreamRequest] = []  # indexed by attempt number
        self.written_attempts: list[WrittenAttempt] = []  # attempts whose last byte was written
        self.open_attempt_count = 0
        self.last_outcome: Outcome | None = None  # outcome of the attempt that ended last

    @property
    def id_for_logs(self) -> str:
        """The client's request id as text, for log lines."""
        return self.incoming.request_id.decode("latin-1")

    @property
    def is_waiting(self) -> bool:
        """Whether the client waits and no part of a response was written."""
        return type(self.response) is WaitingForResponse

    @property
    def has_pending_response(self) -> bool:
        """Whether a response, or the rest of one, still has to be written to the client."""
        return type(self.response) in (WaitingForResponse, StreamingResponse)

    @property
    def has_ended(self) -> bool:
        """Whether no response is pending and no attempt is in flight."""
        return not (self.open_attempt_count or type(self.response) in (WaitingForResponse, StreamingResponse))
