"""The rules as invariants of a running process: checked where each could be broken, and counted.

`InvariantChecker` decides nothing.  It checks what is done against what was recorded on sockets, not against
the state of the balancer, so that a bypassed check or a wrong state there shows as a count and a log line.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.load_balancing.retries.idempotency_rule import is_safe_to_resend
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass


@unique
class Invariant(Enum):
    """What always holds; the values are those of the log."""

    # The last byte of an attempt is written only while its client waits, and before the request's deadline.
    CLIENT_WAITS_FOR_ATTEMPT = "sent_for_a_client"
    ATTEMPT_BEFORE_DEADLINE = "sent_in_time"
    # The first byte of an attempt is written only to an endpoint that is ready by the endpoint list.
    ATTEMPT_TO_READY_ENDPOINT = "sent_to_ready"
    # No two attempts of a request are in flight where the settings forbid hedged requests.
    RETRY_WITHOUT_HEDGING = "repeated_alone"
    # What may have been executed is executed once more only where servers deduplicate it.
    RETRY_WITHIN_DEDUPLICATION = "repeated_in_bounds"
    # A rejection says that a retry has no double effect.
    REJECTION_WITHOUT_EFFECT = "refused_unrun"
    # This side ends no connection with a pending response.
    CLOSE_WITHOUT_PENDING_RESPONSE = "closed_unowed"
    # A process is ready only after it has called discovery, and ends only without pending responses.
    READY_AFTER_DISCOVERY = "served_listed"
    STOP_WITHOUT_PENDING_RESPONSE = "stopped_unowed"


@unique
class CloseReason(Enum):
    """Why a client's connection ended; the values are those of the figures and of the log."""

    CLIENT_DISCONNECTED = "client_left"
    RESPONDED = "answered"  # the response announced `connection: close`
    IDLE = "idle"  # for too long, or while the process drains
    NO_REQUEST = "silent"  # no request came on it
    REJECTED = "rejected"  # what came can't be served, or stopped coming
    RESPONSE_UNREAD = "unread"  # the client reads no more of its response
    RESPONSE_INCOMPLETE = "answer_broken"  # a streamed response broke off
    LINGER_TIMEOUT = "lingered"  # the client did not close after this side had
    CONNECTION_LIMIT = "no_room"  # the limit on connections is reached


# Allowed with a pending response: its client has left, reads none of it, or sees that it is incomplete.
_WITH_PENDING_RESPONSE = (
    CloseReason.CLIENT_DISCONNECTED,
    CloseReason.RESPONSE_UNREAD,
    CloseReason.RESPONSE_INCOMPLETE,
)


@dataclass(slots=True)
class WrittenAttempt:
    """An attempt whose last byte was written, as recorded on sockets."""

    zone: str
    cell: int
    written_at: int  # clock time (us)
    is_in_flight: bool = True  # whether its outcome is not known yet
    may_have_executed: bool = True


class InvariantChecker:
    """Counts and reports how often each invariant of one process was broken."""

    def __init__(self, on_violation: Callable[[Invariant, str], None] | None = None) -> None:
        """`on_violation` is called with what the broken invariant is about."""
        self.violation_counts = dict.fromkeys(Invariant, 0)
        self._on_violation = on_violation

    @property
    def violation_count(self) -> int:
        """How often any of them was broken."""
        return sum(self.violation_counts.values())

    def check(self, invariant: Invariant, about: str | bytes, *, holds: bool) -> None:
        """Counts and reports an invariant unless it holds; `about` names what it was broken for."""
        if holds:
            return
        self.violation_counts[invariant] += 1
        if self._on_violation is not None:
            self._on_violation(invariant, about if isinstance(about, str) else about.decode("latin-1"))

    def check_attempt(self, request_id: bytes, *, is_client_waiting: bool, now: int, deadline: int) -> None:
        """The last byte of an attempt is written; times are clock times (us)."""
        self.check(Invariant.CLIENT_WAITS_FOR_ATTEMPT, request_id, holds=is_client_waiting)
        self.check(Invariant.ATTEMPT_BEFORE_DEADLINE, request_id, holds=now < deadline)

    def check_retry(
        self,
        request_id: bytes,
        service_class: ServiceClass,
        written: WrittenAttempt,
        earlier: Sequence[WrittenAttempt],
        *,
        allows_hedging: bool,
    ) -> None:
        """The last byte of a further attempt is written; `earlier` are the written ones before it."""
        is_alone = allows_hedging or not any(attempt.is_in_flight for attempt in earlier)
        self.check(Invariant.RETRY_WITHOUT_HEDGING, request_id, holds=is_alone)
        executed = [attempt for attempt in earlier if attempt.may_have_executed]
        is_deduplicated = _may_execute_beside(service_class, written, executed)
        self.check(Invariant.RETRY_WITHIN_DEDUPLICATION, request_id, holds=is_deduplicated)

    def check_rejection(
        self, request_id: bytes, service_class: ServiceClass, attempts: Iterable[WrittenAttempt]
    ) -> None:
        """A request is rejected, so that its client may retry it."""
        has_no_effect = is_safe_to_resend(service_class) or not any(
            attempt.may_have_executed for attempt in attempts
        )
        self.check(Invariant.REJECTION_WITHOUT_EFFECT, request_id, holds=has_no_effect)

    def check_close(self, reason: CloseReason, *, has_pending_response: bool) -> None:
        """This side ends a client's connection."""
        holds = not has_pending_response or reason in _WITH_PENDING_RESPONSE
        self.check(Invariant.CLOSE_WITHOUT_PENDING_RESPONSE, reason.value, holds=holds)


def _may_execute_beside(
    service_class: ServiceClass, written: WrittenAttempt, executed: list[WrittenAttempt]
) -> bool:
    """Whether one more execution has no further effect, by the class's idempotency and deduplication."""
    if not executed or service_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if service_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    first_written_at = min(attempt.written_at for attempt in executed)
    if written.written_at >= first_written_at + service_class.deduplication_window_us:
        return False
    scope = service_class.deduplication_scope
    if scope is DeduplicationScope.ZONE:
        return all(attempt.zone == written.zone for attempt in executed)
    return scope is DeduplicationScope.ALL or all(attempt.cell == written.cell for attempt in executed)
