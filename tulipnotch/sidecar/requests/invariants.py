"""The rules as invariants of a running process: checked where each could be broken, and counted.

`Guard` decides nothing.  It looks at what is done from what was recorded on sockets, not from what the
decisions believe, so that a gate that was gone round, or a belief that is wrong, shows as a count and a line
of the log.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.load_balancing.retries.idempotency_rule import may_run_anywhere_again
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass


@unique
class Invariant(Enum):
    """What always holds."""

    CLIENT_WAITS_FOR_ATTEMPT = "sent_for_a_client"  # a last byte leaves only while its client waits
    ATTEMPT_BEFORE_DEADLINE = "sent_in_time"  # and before the request's time is up
    ATTEMPT_TO_READY_ENDPOINT = (
        "sent_to_ready"  # a first byte goes only to a server that the list calls ready
    )
    RETRY_WITHOUT_HEDGING = "repeated_alone"  # no second copy is out where the settings forbid it
    RETRY_WITHIN_DEDUPLICATION = (
        "repeated_in_bounds"  # what may have run runs again only where repeats are dropped
    )
    REJECTION_WITHOUT_EFFECT = "refused_unrun"  # a refusal promises that trying again has no double effect
    CLOSE_WITHOUT_PENDING_RESPONSE = (
        "closed_unowed"  # no connection is ended from this side while an answer is owed on it
    )
    READY_AFTER_DISCOVERY = "served_listed"  # a process is ready only once it has looked for a list
    STOP_WITHOUT_PENDING_RESPONSE = "stopped_unowed"  # and ends only with every answer given


@unique
class CloseReason(Enum):
    """Why a client's connection ended."""

    CLIENT_LEFT = "client_left"
    ANSWERED = "answered"  # the answer said that the connection closes
    IDLE = "idle"  # at rest for too long, or the process is being emptied
    SILENT = "silent"  # no request came on it
    REJECTED = "rejected"  # what came can't be served, or stopped coming
    UNREAD = "unread"  # the client takes no more of its answer
    ANSWER_BROKEN = "answer_broken"  # an answer that passed through broke off
    LINGERED = "lingered"  # the client went on after our end
    NO_ROOM = "no_room"


# Ends with an answer still owed: its client has gone, takes none of it, or can tell that it is not whole.
_OWES_NOTHING_MORE = (CloseReason.CLIENT_LEFT, CloseReason.UNREAD, CloseReason.ANSWER_BROKEN)


@dataclass(slots=True)
class WrittenAttempt:
    """An attempt whose last byte has left, as sockets show it; times are clock times in microseconds."""

    zone: str
    cell: int
    written_at: int
    is_in_flight: bool = True  # whether its outcome is not known yet
    may_have_run: bool = True


class InvariantChecker:
    """The invariants of one process, and how often each was broken."""

    def __init__(self, on_broken: Callable[[Invariant, str], None] | None = None) -> None:
        self.broken = dict.fromkeys(Invariant, 0)
        self._on_broken = on_broken

    @property
    def violations(self) -> int:
        """How often any of them was broken."""
        return sum(self.broken.values())

    def check(self, holds: bool, invariant: Invariant, about: str | bytes) -> None:
        """Count and report this one unless it holds; `about` names the request, server or connection."""
        if holds:
            return
        self.broken[invariant] += 1
        if self._on_broken is not None:
            self._on_broken(invariant, about if isinstance(about, str) else about.decode("latin-1"))

    def check_attempt(self, request: bytes, *, is_waited_for: bool, now: int, until: int) -> None:
        """A request's last byte leaves for a server."""
        self.check(is_waited_for, Invariant.CLIENT_WAITS_FOR_ATTEMPT, request)
        self.check(now < until, Invariant.ATTEMPT_BEFORE_DEADLINE, request)

    def check_retry(
        self,
        request: bytes,
        kind: ServiceClass,
        new: WrittenAttempt,
        before: Iterable[WrittenAttempt],
        *,
        second_copies: bool,
    ) -> None:
        """A request's last byte leaves for a further server."""
        before = list(before)
        is_alone = second_copies or not any(each.is_in_flight for each in before)
        self.check(is_alone, Invariant.RETRY_WITHOUT_HEDGING, request)
        ran = [each for each in before if each.may_have_run]
        self.check(_may_run_beside(kind, new, ran), Invariant.RETRY_WITHIN_DEDUPLICATION, request)

    def check_rejection(self, request: bytes, kind: ServiceClass, attempts: Iterable[WrittenAttempt]) -> None:
        """A client is told that trying again does no harm."""
        is_harmless = may_run_anywhere_again(kind) or not any(each.may_have_run for each in attempts)
        self.check(is_harmless, Invariant.REJECTION_WITHOUT_EFFECT, request)

    def check_close(self, reason: CloseReason, *, is_owed: bool) -> None:
        """A client's connection is ended from this side."""
        holds = not is_owed or reason in _OWES_NOTHING_MORE
        self.check(holds, Invariant.CLOSE_WITHOUT_PENDING_RESPONSE, reason.value)


def _may_run_beside(kind: ServiceClass, new: WrittenAttempt, ran: list[WrittenAttempt]) -> bool:
    """Whether running once more has no further effect, by the class's own words."""
    if not ran or kind.idempotency is Idempotency.IDEMPOTENT:
        return True
    if kind.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    if new.written_at >= min(each.written_at for each in ran) + kind.deduplication_window_us:
        return False
    if kind.deduplication_scope is DeduplicationScope.ZONE:
        return all(each.zone == new.zone for each in ran)
    return kind.deduplication_scope is DeduplicationScope.ALL or all(each.cell == new.cell for each in ran)
