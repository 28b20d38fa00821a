"""Invariants of a running process: each is checked where it could be violated, and violations are counted.

`InvariantChecker` makes no decisions.  It compares each action with what was recorded at the sockets, not
with the state of the balancer, so that a bypassed check or a wrong state of the balancer shows as a count and
a log line.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.load_balancing.retries.idempotency_rule import is_safe_to_resend
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass


@unique
class Invariant(Enum):
    """Conditions that always hold; the values are written to the log."""

    # The last byte of an attempt is written only while its client waits, and before the request's deadline.
    CLIENT_WAITS_FOR_ATTEMPT = "sent_for_a_client"
    ATTEMPT_BEFORE_DEADLINE = "sent_in_time"
    # The first byte of an attempt is written only to an endpoint that the endpoint list reports as ready.
    ATTEMPT_TO_READY_ENDPOINT = "sent_to_ready"
    # No two attempts of a request are in flight where the settings forbid hedged requests.
    RETRY_WITHOUT_HEDGING = "repeated_alone"
    # A request that may have been executed is sent again only if it is idempotent or servers deduplicate it.
    RETRY_WITHIN_DEDUPLICATION = "repeated_in_bounds"
    # A request is rejected only if a retry by the client has no second effect.
    REJECTION_WITHOUT_EFFECT = "refused_unrun"
    # This process closes no client connection with a pending response.
    CLOSE_WITHOUT_PENDING_RESPONSE = "closed_unowed"
    # A process becomes ready only after a call to discovery, and stops only without pending responses.
    READY_AFTER_DISCOVERY = "served_listed"
    STOP_WITHOUT_PENDING_RESPONSE = "stopped_unowed"


@unique
class CloseReason(Enum):
    """Why a client's connection ended; the values are names in metrics and in the log."""

    CLIENT_DISCONNECTED = "client_left"
    RESPONDED = "answered"  # the response announced `connection: close`
    IDLE = "idle"  # idle for too long, or while the process drains
    NO_REQUEST = "silent"  # no request was received
    REJECTED = "rejected"  # the request can't be served, or its transfer stalled
    RESPONSE_UNREAD = "unread"  # the client stopped reading its response
    RESPONSE_INCOMPLETE = "answer_broken"  # a streamed response broke off before its end
    LINGER_TIMEOUT = "lingered"  # the client did not close its side in time after this process did
    CONNECTION_LIMIT = "no_room"  # the limit on connections was reached


# Reasons to close a connection with a pending response: the client disconnected, does not read the response,
# or notices that it is cut off.
_WITH_PENDING_RESPONSE = (
    CloseReason.CLIENT_DISCONNECTED,
    CloseReason.RESPONSE_UNREAD,
    CloseReason.RESPONSE_INCOMPLETE,
)


@dataclass(slots=True)
class WrittenAttempt:
    """An attempt whose last byte was written, as recorded at the socket."""

    zone: str
    cell: int
    written_at: int  # clock time (us)
    is_in_flight: bool = True  # whether its outcome is not known yet
    may_have_executed: bool = True


class InvariantChecker:
    """Counts and reports violations of the invariants of one process."""

    def __init__(self, on_violation: Callable[[Invariant, str], None] | None = None) -> None:
        """Starts without violations; `on_violation` is called with the invariant and the subject of each."""
        self.violation_counts = dict.fromkeys(Invariant, 0)
        self._on_violation = on_violation

    @property
    def violation_count(self) -> int:
        """The number of violations of all invariants."""
        return sum(self.violation_counts.values())

    def check(self, invariant: Invariant, subject: str | bytes, *, holds: bool) -> None:
        """Counts and reports a violation unless `holds`; `subject` is, for example, a request id."""
        if holds:
            return
        self.violation_counts[invariant] += 1
        if self._on_violation is not None:
            self._on_violation(invariant, subject if isinstance(subject, str) else subject.decode("latin-1"))

    def check_attempt(self, request_id: bytes, *, is_client_waiting: bool, now: int, deadline: int) -> None:
        """Checks an attempt whose last byte is written; times are clock times (us)."""
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
        """Checks a retry whose last byte is written; `earlier` are the attempts written before it."""
        has_no_concurrent_attempt = allows_hedging or not any(attempt.is_in_flight for attempt in earlier)
        self.check(Invariant.RETRY_WITHOUT_HEDGING, request_id, holds=has_no_concurrent_attempt)
        executed = [attempt for attempt in earlier if attempt.may_have_executed]
        is_harmless = _is_reexecution_harmless(service_class, written, executed)
        self.check(Invariant.RETRY_WITHIN_DEDUPLICATION, request_id, holds=is_harmless)

    def check_rejection(
        self, request_id: bytes, service_class: ServiceClass, attempts: Iterable[WrittenAttempt]
    ) -> None:
        """Checks a rejection, after which the client may retry its request."""
        has_no_effect = is_safe_to_resend(service_class) or not any(
            attempt.may_have_executed for attempt in attempts
        )
        self.check(Invariant.REJECTION_WITHOUT_EFFECT, request_id, holds=has_no_effect)

    def check_close(self, reason: CloseReason, *, has_pending_response: bool) -> None:
        """Checks the closing of a client's connection by this process."""
        holds = not has_pending_response or reason in _WITH_PENDING_RESPONSE
        self.check(Invariant.CLOSE_WITHOUT_PENDING_RESPONSE, reason.value, holds=holds)


def _is_reexecution_harmless(
    service_class: ServiceClass, written: WrittenAttempt, executed: list[WrittenAttempt]
) -> bool:
    """Returns whether one more execution has no second effect, by idempotency and deduplication."""
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
