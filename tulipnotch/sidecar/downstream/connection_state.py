"""The states of a client's connection."""

from __future__ import annotations

from enum import Enum, unique


@unique
class ConnectionState(Enum):
    """State of a client's connection."""

    CLOSING = "closing"  # the last response was sent, or what is left of it is being sent
    CONNECTED = "connected"  # no byte was received yet
    IDLE = "idle"  # every request that was received has its response
    READING = "reading"  # a request was received in part and is not forwarded yet
    STREAMING_BODY = "streaming body"  # a request was received in part, and its body is forwarded as it comes
    AWAITING_RESPONSE = "awaiting response"  # the request is complete; such a connection is never evicted
