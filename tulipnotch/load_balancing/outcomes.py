"""How an attempt ends, and why a request ends without a response from a server."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended.  Logs and telemetry show the values."""

    DELIVERED = "delivered"
    SERVER_ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "expired"
    CONNECT_FAILED = "dial_failed"
    CONNECTION_LOST = "dropped"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"
    MALFORMED_RESPONSE = "spoilt"  # a response that can't be used; it says nothing of the server's health
    CLIENT_ERROR = "rejected"  # the server is healthy and rejected the request as invalid


@unique
class TerminationReason(Enum):
    """Why a request ends without a response from a server.  Logs and telemetry show the values."""

    ADMISSION = "admission"  # rejected by the concurrency limit or the service level
    NO_ENDPOINT = "no_server"  # no endpoint is eligible
    NO_RETRY = "no_retry"  # an attempt ended, and no further one is permitted
    DEADLINE = "deadline"  # its deadline is reached
    CLIENT_ERROR = "at_fault"  # a server rejected it as invalid, as the next one would
