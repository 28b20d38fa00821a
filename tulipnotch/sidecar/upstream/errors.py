"""Errors of connections to servers."""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome


class UpstreamError(Exception):
    """Base of all errors of this package."""


class ConnectionNotIdleError(UpstreamError):
    """An exchange was started on a connection that is not connected yet, is in use or is closed."""


class ConnectError(UpstreamError):
    """A connection could not be established.

    Attributes:
        outcome: NOT_SENT if a resource of this machine was exhausted, which is no fault of the server;
            otherwise CONNECT_FAILED.
    """

    def __init__(self, outcome: Outcome) -> None:
        """Stores the outcome of the request that waits for the connection."""
        super().__init__(outcome.value)
        self.outcome = outcome
