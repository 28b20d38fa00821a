"""The rule that each interleaving is checked against.

It is written from the specification alone (WIRE, rule 2; PROTOCOL, "has it run?"), and sees only what the
network saw.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from interleaving_cases import SERVERS, WINDOW, Case
from virtual_network import (
    MS,
    OPENED_AT,
    REJECTED,
    Exchange,
)


@dataclass
class WrittenAttempt:
    """An attempt whose last byte was accepted by the network."""

    exchange: Exchange
    at: int
    server: str
    zone: str
    cell: int

    @property
    def waited_for(self) -> str:
        """What its last byte waited for."""
        if self.exchange.was_blocked:
            return "the network"
        return "a new connection" if self.exchange.index == 0 else "an idle connection"

    @property
    def is_proven_unexecuted(self) -> bool:
        """Whether its response proves that it was not executed.

        On a connection that carried an earlier request it proves nothing: nothing in it names its request.
        """
        return self.exchange.index == 0 and self.exchange.first_response == REJECTED

    @property
    def is_in_flight(self) -> bool:
        """Whether its server may still execute it on an open connection."""
        return self.exchange.own_response is None and not self.exchange.connection.has_shut_down_sending

    def __str__(self) -> str:
        return f"{self.server} at {(self.at - OPENED_AT) / MS:g} ms"


class Rule:
    """Checks what the network saw of one request."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.hedging = case.hedging  # as of now: settings may be read again
        self.written: list[WrittenAttempt] = []
        self.responses: list[tuple[int, int]] = []  # when, and with which status
        self.disconnected_at: int | None = None
        # Whether the loop has not read that yet.  What the loop buffers then is written without asking the
        # program, so it is not checked.
        self.is_disconnect_unread = False
        self.violations: list[tuple[str, str]] = []  # what is violated, and what its last byte waited for

    def on_completed(self, exchange: Exchange) -> None:
        """The network accepted the last byte of an attempt."""
        assert exchange.completed_at is not None
        new = WrittenAttempt(exchange, exchange.completed_at, *SERVERS[exchange.connection.host])
        for text in self._violations_of(new):
            self.violations.append((text, new.waited_for))
        self.written.append(new)

    def _violations_of(self, new: WrittenAttempt) -> Iterator[str]:
        exchange = new.exchange
        if self.disconnected_at is not None and not (self.is_disconnect_unread and exchange.was_buffered):
            yield "an attempt starts after the client has disconnected"
        if self.responses:
            yield "an attempt starts after the final response"
        if len(self.written) >= self._case.attempts:
            yield "more attempts start than are allowed"
        if not self.hedging and any(each.is_in_flight for each in self.written):
            yield "two attempts are in flight, without hedging"
        possibly_executed = [each for each in self.written if not each.is_proven_unexecuted]
        if not possibly_executed or self._case.effect == "idempotent":
            return
        if self._case.effect == "non-idempotent":
            yield "non-idempotent: an attempt starts though one before it may have executed"
            return
        if new.at >= possibly_executed[0].at + WINDOW:
            yield "keyed: an attempt starts outside the window"
        if self._case.group == "zone" and any(each.zone != new.zone for each in possibly_executed):
            yield "keyed: an attempt starts in another zone"
        if self._case.group == "cell" and any(each.cell != new.cell for each in possibly_executed):
            yield "keyed: an attempt starts in another cell"

    def on_response(self, now: int, status: int) -> None:
        """A response is written to the client."""
        if self.responses:
            self.violations.append(("a second final response", ""))
        self.responses.append((now, status))
        may_have_run = any(not each.is_proven_unexecuted for each in self.written)
        is_harmless = self._case.effect == "idempotent" or (
            self._case.effect == "keyed" and self._case.group == "all"
        )
        if status in (429, 503) and may_have_run and not is_harmless:
            self.violations.append(("a rejection though an attempt may have executed", ""))

    def on_end(self, due: int | None) -> None:
        """All has ended; `due` is when the request was to be responded to, if its last byte was received."""
        if due is None or self.disconnected_at is not None:
            return
        if not self.responses:
            self.violations.append(("no final response", ""))
        elif self.responses[0][0] > due:
            self.violations.append(("the final response is late", ""))
