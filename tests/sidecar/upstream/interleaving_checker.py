"""The rules that each interleaving is checked against.

They are implemented from the specification alone (WIRE, rule 2; PROTOCOL, "has it run?"), independently of
the sidecar, and use only what is visible on the network.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from interleaving_cases import SERVERS, WINDOW_US, Case
from virtual_network import (
    MS,
    REJECTED,
    START_TIME_US,
    Exchange,
)


@dataclass
class WrittenAttempt:
    """An attempt whose last byte was accepted by the network at `written_at` (us)."""

    exchange: Exchange
    written_at: int
    server: str
    zone: str
    cell: int

    @property
    def waited_for(self) -> str:
        """What delayed its last byte."""
        if self.exchange.was_blocked:
            return "the network"
        return "a new connection" if self.exchange.index == 0 else "an idle connection"

    @property
    def is_proven_unexecuted(self) -> bool:
        """Whether its response proves that it was not executed.

        On a connection with an earlier request, a response proves nothing: it does not identify its request.
        """
        return self.exchange.index == 0 and self.exchange.first_response == REJECTED

    @property
    def is_in_flight(self) -> bool:
        """Whether its server has not responded and the sidecar has not closed the connection."""
        return self.exchange.own_response is None and not self.exchange.connection.has_shut_down_sending

    def __str__(self) -> str:
        return f"{self.server} at {(self.written_at - START_TIME_US) / MS:g} ms"


class RequestRuleChecker:
    """Checks the network traffic of one request."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.allows_hedging = case.allows_hedging  # changes with a reload of the settings
        self.written: list[WrittenAttempt] = []
        self.responses: list[tuple[int, int]] = []  # time (us) and status of each response
        self.disconnected_at: int | None = None
        # Whether the event loop has not read the disconnect yet.  Data in the loop's buffer is then written
        # without asking the sidecar, so it is not checked.
        self.is_disconnect_unread = False
        # Each violated rule, and `waited_for` of the attempt that violates it.
        self.violations: list[tuple[str, str]] = []

    def attempt_written(self, exchange: Exchange) -> None:
        """Checks an attempt whose last byte was just accepted by the network."""
        assert exchange.completed_at is not None
        new = WrittenAttempt(exchange, exchange.completed_at, *SERVERS[exchange.connection.host])
        for text in self._find_violations(new):
            self.violations.append((text, new.waited_for))
        self.written.append(new)

    def _find_violations(self, new: WrittenAttempt) -> Iterator[str]:
        exchange = new.exchange
        if self.disconnected_at is not None and not (self.is_disconnect_unread and exchange.was_buffered):
            yield "an attempt starts after the client has disconnected"
        if self.responses:
            yield "an attempt starts after the final response"
        if len(self.written) >= self._case.max_attempts:
            yield "more attempts start than are allowed"
        if not self.allows_hedging and any(each.is_in_flight for each in self.written):
            yield "two attempts are in flight, without hedging"
        possibly_executed = [each for each in self.written if not each.is_proven_unexecuted]
        if not possibly_executed or self._case.idempotency == "idempotent":
            return
        if self._case.idempotency == "non-idempotent":
            yield "non-idempotent: an attempt starts though one before it may have executed"
            return
        if new.written_at >= possibly_executed[0].written_at + WINDOW_US:
            yield "keyed: an attempt starts outside the window"
        if self._case.deduplication_scope == "zone" and any(
            each.zone != new.zone for each in possibly_executed
        ):
            yield "keyed: an attempt starts in another zone"
        if self._case.deduplication_scope == "cell" and any(
            each.cell != new.cell for each in possibly_executed
        ):
            yield "keyed: an attempt starts in another cell"

    def response_written(self, now: int, status: int) -> None:
        """Checks a response that is written to the client."""
        if self.responses:
            self.violations.append(("a second final response", ""))
        self.responses.append((now, status))
        may_have_executed = any(not each.is_proven_unexecuted for each in self.written)
        is_harmless = self._case.idempotency == "idempotent" or (
            self._case.idempotency == "keyed" and self._case.deduplication_scope == "all"
        )
        if status in (429, 503) and may_have_executed and not is_harmless:
            self.violations.append(("a rejection though an attempt may have executed", ""))

    def all_ended(self, due_at: int | None) -> None:
        """Checks the end of the request: a response was due at `due_at` (us; None if it was incomplete)."""
        if due_at is None or self.disconnected_at is not None:
            return
        if not self.responses:
            self.violations.append(("no final response", ""))
        elif self.responses[0][0] > due_at:
            self.violations.append(("the final response is late", ""))
