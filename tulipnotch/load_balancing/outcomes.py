"""How attempts end, and why requests end without a response from a server."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"  # the response was delivered to the client
    SERVER_ERROR = "error"  # the server responded with an error, and may have executed the request
    OVERLOADED = "full"  # the server rejected it without reading it: 503 or 504 with `Not-Started: 1`
    TIMED_OUT = "expired"  # no response before the deadline; the server may still execute it
    CONNECT_FAILED = "dial_failed"  # not connected, or not completely written, before the deadline
    CONNECTION_LOST = "dropped"  # the connection was lost after the request's last byte was written
    # Cancelled by the sidecar after the last byte was written; the server may execute it.
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"  # withdrawn by the sidecar before the last byte was written, so it was never executed
    # The response is invalid, stalled or too large; only several in a row eject an endpoint.
    MALFORMED_RESPONSE = "spoilt"
    CLIENT_ERROR = "rejected"  # a healthy server rejected the request as invalid


@unique
class TerminationReason(Enum):
    """Why a request ends without a response from a server."""

    ADMISSION = "admission"  # rejected by the concurrency limit or the service level
    NO_ENDPOINT = "no_server"  # no endpoint was eligible
    NO_RETRY = "no_retry"  # an attempt failed, and no retry was permitted
    DEADLINE = "deadline"  # the request's deadline was reached
    CLIENT_ERROR = "at_fault"  # a server rejected it as invalid, and any other server would do the same
