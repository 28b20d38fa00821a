"""What one client may take of the sidecar."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on clients' connections; times are in seconds.

    `header_timeout_s`, `stall_s`, `reading_s` and `idle_timeout_s` are keys of the operator file too.
    """

    # From the connection, or the first byte of a further request, to its complete head.
    header_timeout_s: float = 2.7
    # A body is limited by its progress: without a byte for so long, or with too few in a longer time.
    stall_s: float = 2.0
    trickle_s: float = 4.0
    least_in_trickle: int = 16 << 10
    reading_s: float = 20.0  # how long a client may read nothing of its response
    idle_timeout_s: float = 5.0  # after a response
    leaving_s: float = 0.5  # idle, or before the first byte, while the sidecar is draining
    greeting_s: float = 0.25  # after the connection, before a client without a request may be evicted
    linger_s: float = 0.5  # from our end of the connection to the client's
    sweep_s: float = 0.1  # how often the times are checked
    most_bytes: int = 4 << 20  # of requests that are buffered, over all connections
