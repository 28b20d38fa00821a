"""How an attempt ends, and why a request ends without a response from a server."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"  # the client was served
    SERVER_ERROR = "error"  # the server responded with an error, and may have executed the request
    OVERLOADED = "full"  # the server rejected it unread: 503 or 504 with `Not-Started: 1`
    TIMED_OUT = "expired"  # no response before its deadline; the server may still execute it
    CONNECT_FAILED = "dial_failed"  # not connected, or not completely written, before its deadline
    CONNECTION_LOST = "dropped"  # the connection broke after the request's last byte
    CANCELLED = "cancelled"  # cancelled by this side after the last byte; the server may execute it
    NOT_SENT = "unsent"  # withdrawn by this side before the last byte, so it was never executed
    MALFORMED_RESPONSE = (
        "spoilt"  # a response that is invalid, stalled or too large; only several in a row eject
    )
    CLIENT_ERROR = "rejected"  # the server is healthy and rejected the request as invalid


@unique
class TerminationReason(Enum):
    """Why a request ends without a response from a server."""

    ADMISSION = "admission"  # rejected by the concurrency limit or the service level
    NO_ENDPOINT = "no_server"  # no endpoint is eligible
    NO_RETRY = "no_retry"  # an attempt ended, and no further one is permitted
    DEADLINE = "deadline"  # its deadline is reached
    CLIENT_ERROR = "at_fault"  # a server rejected it as invalid, as the next one would
