"""Limits on what clients may use of the sidecar."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on clients' connections; times are in seconds.

    `header_timeout_s`, `stall_s`, `reading_s` and `idle_timeout_s` are also keys of the operator file.
    """

    # Time for a complete request head, from connecting or, for further requests, from their first byte.
    header_timeout_s: float = 2.7
    # A body has no total time limit.  It times out if no byte is received for `stall_s`, or fewer than
    # `least_in_trickle` bytes within a window of `trickle_s`.
    stall_s: float = 2.0
    trickle_s: float = 4.0
    least_in_trickle: int = 16 << 10
    reading_s: float = 20.0  # how long a client may read nothing of its response
    idle_timeout_s: float = 5.0  # how long a connection may be idle after a response
    leaving_s: float = 0.5  # idle timeout while the sidecar is draining, also before the first byte
    greeting_s: float = 0.25  # how long a new client may send nothing before it is evicted ahead of idle ones
    linger_s: float = 0.5  # how long the client may take to close after the sidecar has closed its side
    sweep_s: float = 0.1  # interval between checks of all these times
    most_bytes: int = 4 << 20  # maximum of buffered request bytes, over all connections
