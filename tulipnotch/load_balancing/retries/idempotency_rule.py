"""Rule 2, no double effects: until when and where an attempt may start while others may have been executed.

Functions of a request's class and of its attempts, for both callers: the decision on a further attempt, and
the instant in which the last byte of an attempt that was chosen earlier is about to be written.

An idempotent class has no bound.  A non-idempotent one may begin only while no other attempt may have run.
One that is idempotent with a key may begin in the deduplication scope of whatever may have run, and only
within the deduplication window of the first of these attempts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass


class Locality(Protocol):
    """Where something runs, by the endpoint list."""

    @property
    def zone(self) -> str:
        """The zone's name."""

    @property
    def cell(self) -> int:
        """The cell's number."""


class PriorAttempt(Locality, Protocol):
    """An attempt of the same request, as far as it bounds another one."""

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have executed it."""

    @property
    def earliest_execution_at(self) -> int:
        """The earliest clock time at which a server may have begun it."""


def write_deadline(
    service_class: ServiceClass, clock_resolution_us: int, attempts: Iterable[PriorAttempt]
) -> int:
    """Clock time from which on no attempt may start concurrently with these; NEVER: no bound, 0: not at all.

    One clock tick less than the deduplication window, since a clock may be read once a tick.
    """
    if service_class.idempotency is Idempotency.IDEMPOTENT:
        return NEVER
    first_execution_at = min(
        (each.earliest_execution_at for each in attempts if each.may_have_run), default=NEVER
    )
    if first_execution_at == NEVER:
        return NEVER
    if service_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return 0
    return first_execution_at + service_class.deduplication_window_us - clock_resolution_us


def is_in_deduplication_scope(
    service_class: ServiceClass, locality: Locality, attempts: Sequence[PriorAttempt]
) -> bool:
    """Whether servers at this locality deduplicate whatever may have run in these attempts."""
    if (
        service_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
        or service_class.deduplication_scope is DeduplicationScope.ALL
    ):
        return True
    possibly_executed = [each for each in attempts if each.may_have_run]
    if service_class.deduplication_scope is DeduplicationScope.ZONE:
        return all(each.zone == locality.zone for each in possibly_executed)
    return all(each.cell == locality.cell for each in possibly_executed)


def is_safe_to_resend(service_class: ServiceClass) -> bool:
    """Whether a request that may have run may also be sent as a new one, to any endpoint."""
    return service_class.idempotency is Idempotency.IDEMPOTENT or (
        service_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and service_class.deduplication_scope is DeduplicationScope.ALL
    )
