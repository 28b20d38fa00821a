"""Rule 2, no duplicate effects: until when and where an attempt may start if others may have been executed.

The functions depend only on a request's class and attempts. There are two callers: the decision to start
another attempt, and the check immediately before the last byte of an attempt is written.

An idempotent class has no restriction. Attempts of a non-idempotent class may start only while no other
attempt may have been executed. Attempts of a class that is idempotent with a key may start only in the
deduplication scope of all attempts that may have been executed, and only within the deduplication window of
the first of them.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass


class Locality(Protocol):
    """Where an endpoint or an attempt runs: its zone and cell in the endpoint list."""

    @property
    def zone(self) -> str:
        """Name of the zone."""

    @property
    def cell(self) -> int:
        """Number of the cell."""


class PriorAttempt(Locality, Protocol):
    """Another attempt of the same request, with the properties that restrict further attempts."""

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have executed the attempt."""

    @property
    def earliest_execution_at(self) -> int:
        """Earliest clock time at which a server may have begun to execute the attempt."""


def write_deadline(
    service_class: ServiceClass, clock_resolution_us: int, attempts: Iterable[PriorAttempt]
) -> int:
    """Returns the clock time from which no attempt may start in addition to these.

    NEVER: no bound; 0: no attempt may start at all. The bound is one clock tick less than the deduplication
    window, because the clock may be read only once a tick.
    """
    first_execution_at = min(
        (each.earliest_execution_at for each in attempts if each.may_have_run), default=NEVER
    )
    return execution_deadline(service_class, clock_resolution_us, first_execution_at)


def execution_deadline(service_class: ServiceClass, clock_resolution_us: int, first_execution_at: int) -> int:
    """Returns the clock time from which no further attempt may be executed.

    Args:
        service_class: The class of the request.
        clock_resolution_us: One tick of the clock.
        first_execution_at: Earliest clock time at which another attempt may have been; NEVER: none was.
    """
    if service_class.idempotency is Idempotency.IDEMPOTENT or first_execution_at == NEVER:
        return NEVER
    if service_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return 0
    return first_execution_at + service_class.deduplication_window_us - clock_resolution_us


def is_in_deduplication_scope(
    service_class: ServiceClass, locality: Locality, attempts: Sequence[PriorAttempt]
) -> bool:
    """Returns whether servers at this location deduplicate all attempts that may have been executed."""
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
    """Returns whether a request that may have been executed may be resent as a new one, to any endpoint."""
    return service_class.idempotency is Idempotency.IDEMPOTENT or (
        service_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and service_class.deduplication_scope is DeduplicationScope.ALL
    )
