"""Rule 2, no double effects: until when and where an attempt may begin beside others that may have run.

Functions of a request's class and of its attempts, for every place that asks: the decision on a further
attempt, and the instant in which the last byte of one that was decided on earlier is about to leave.

A class that is safe to repeat has no bound.  One that is unsafe may begin only while nothing else may have
run.  A keyed one may begin in the same group of servers as whatever may have run, and only for as long as
these servers remember the first of its attempts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.settings import DeduplicationScope, Idempotency, ServiceClass


class Place(Protocol):
    """Where something runs, as the server list has it."""

    @property
    def zone(self) -> str: ...
    @property
    def cell(self) -> int: ...


class PriorAttempt(Place, Protocol):
    """An attempt of the same request, as far as it bounds another one."""

    @property
    def may_have_run(self) -> bool: ...
    @property
    def may_run_from(self) -> int: ...


def begin_by(kind: ServiceClass, clock_resolution_us: int, attempts: Iterable[PriorAttempt]) -> int:
    """Clock time from which on no attempt may begin beside these; NEVER: no bound, 0: not at all.

    One tick less than servers remember, since a clock may be read once a tick.
    """
    if kind.idempotency is Idempotency.IDEMPOTENT:
        return NEVER
    first = min((each.may_run_from for each in attempts if each.may_have_run), default=NEVER)
    if first == NEVER:
        return NEVER
    return (
        0
        if kind.idempotency is Idempotency.NON_IDEMPOTENT
        else first + kind.deduplication_window_us - clock_resolution_us
    )


def is_in_group(kind: ServiceClass, place: Place, attempts: Sequence[PriorAttempt]) -> bool:
    """Whether servers at this place drop repeats of whatever may have run in these attempts."""
    if (
        kind.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY
        or kind.deduplication_scope is DeduplicationScope.ALL
    ):
        return True
    ran = [each for each in attempts if each.may_have_run]
    if kind.deduplication_scope is DeduplicationScope.ZONE:
        return all(each.zone == place.zone for each in ran)
    return all(each.cell == place.cell for each in ran)


def may_run_anywhere_again(kind: ServiceClass) -> bool:
    """Whether a request that may have run may also go out as a new one, to any server."""
    return kind.idempotency is Idempotency.IDEMPOTENT or (
        kind.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and kind.deduplication_scope is DeduplicationScope.ALL
    )
