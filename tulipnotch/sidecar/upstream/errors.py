"""Errors of the servers' side."""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome


class UpstreamError(Exception):
    """Base of all errors of this package."""


class ConnectionNotIdleError(UpstreamError):
    """An exchange was started on a connection that is not connected, in use or closed."""


class ConnectError(UpstreamError):
    """A connection could not be established.

    Attributes:
        outcome: CONNECT_FAILED; NOT_SENT where this machine, not the server, lacked a resource.
    """

    def __init__(self, outcome: Outcome) -> None:
        """Keep the outcome of the request that waits for the connection."""
        super().__init__(outcome.value)
        self.outcome = outcome
