"""How an attempt ends, and why a request ends without a response from a server."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    SERVER_ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "expired"
    CONNECT_FAILED = "dial_failed"
    CONNECTION_LOST = "dropped"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"
    MALFORMED_RESPONSE = "spoilt"  # an answer came that can't be used; nothing is said of the server's health
    CLIENT_ERROR = "rejected"  # the server is well and found fault with the request


@unique
class TerminationReason(Enum):
    """Why a request is given up."""

    ADMISSION = "admission"  # the concurrency limit or the service level kept it out
    NO_ENDPOINT = "no_server"  # no server may have it now
    NO_RETRY = "no_retry"  # an attempt ended, and no further one is permitted
    DEADLINE = "deadline"  # its time is up
    CLIENT_ERROR = "at_fault"  # a server found fault with it, as the next one would
