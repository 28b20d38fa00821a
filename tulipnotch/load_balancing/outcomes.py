"""How an attempt ends, and why a request ends without a response from a server."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    EXPIRED = "expired"
    DIAL_FAILED = "dial_failed"
    DROPPED = "dropped"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    SPOILT = "spoilt"  # an answer came that can't be used; nothing is said of the server's health
    REJECTED = "rejected"  # the server is well and found fault with the request


@unique
class Reason(Enum):
    """Why a request is given up."""

    ADMISSION = "admission"  # the concurrency limit or the service level kept it out
    NO_SERVER = "no_server"  # no server may have it now
    NO_RETRY = "no_retry"  # an attempt ended, and no further one is permitted
    DEADLINE = "deadline"  # its time is up
    AT_FAULT = "at_fault"  # a server found fault with it, as the next one would
