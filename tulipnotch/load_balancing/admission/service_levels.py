"""Service levels: observations of pressure in, at most one change of level out; no clock and no sockets.

A level is entered where the part of requests that the concurrency limit rejects stays above a bound, and left
where the load that the level rejects would fit into the limit again.  The two conditions use different
measures: under a level the limit rejects little, since the level itself has removed the load, so that a
single measure would leave at once and enter again.  Hysteresis, a minimum time between changes, and a leave
time that doubles when a level was left too early prevent a load near a threshold from changing the level
repeatedly.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.events import ServiceLevelChanged

OBSERVATION_INTERVAL_US = 1_000_000
MIN_HOLD_US = 30_000_000
MIN_OFFERED = 50  # requests within the time to enter: with fewer, a trend can't be told from chance
EARLY_RETURN_HOLDS = 4  # a level entered again within so many minimum times was left too early
MAX_LEAVE_FACTOR = 8  # the time to leave is at most this many times the configured one
MAX_OBSERVATION_GAP_INTERVALS = (
    3  # intervals; after a longer gap the process stood still, and earlier ones are void
)
FULL_SERVICE = "full"
_FULL_SERVICE_EFFECT = ServiceLevelChanged(frozenset(), frozenset())


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A level, what it rejects, and its two conditions; times in microseconds, parts from 0 to 1."""

    name: str
    effect: ServiceLevelChanged
    enter_rejected_fraction: float  # entered when the limit rejected more than this part of what reached it
    enter_us: int  # over so long
    leave_utilization: (
        float  # left when load and what the level rejects would use less than this of the limit
    )
    leave_us: int  # over so long, while the limit rejected less than half of `enter_rejected_fraction`


@dataclass(frozen=True, slots=True)
class ServiceLevelTransition:
    """The level from now on, its effect on admission, and the reason."""

    previous: str
    current: str
    previous_duration_us: int
    reason: str
    effect: ServiceLevelChanged


class _Observation(NamedTuple):
    at: int
    duration_us: int
    offered: int
    rejected: int
    utilization: float


class _Summary(NamedTuple):
    """Observations over a span of time."""

    rejected_part: float
    offered: int
    mean_utilization: float


class ServiceLevelController:
    """Which level is in force.  Call `observe_pressure` about every second; it reads no clock."""

    def __init__(self, levels: tuple[ServiceLevel, ...], hold_us: int, started_at: int) -> None:
        """Begin at full service.

        Args:
            levels: The levels, from the first that is entered.
            hold_us: The minimum time between changes; at least `MIN_HOLD_US` applies.
            started_at: Clock time now, in microseconds.
        """
        self._levels = levels
        self._hold_us = max(hold_us, MIN_HOLD_US)
        self._index = 0  # of the level in force, from 1; 0: full service
        self._entered_at = started_at
        self._changes = 0
        self._last: tuple[int, Pressure] | None = None
        self._observations: deque[_Observation] = deque()  # since the last change, no more than `_retain_us`
        self._leave_factor = 1
        self._left_at: dict[int, int] = {}  # when each level was last left
        longest = max((max(each.enter_us, MAX_LEAVE_FACTOR * each.leave_us) for each in levels), default=0)
        self._retain_us = longest + 2 * OBSERVATION_INTERVAL_US

    @property
    def index(self) -> int:
        """The number of the level in force, from 1; 0: full service."""
        return self._index

    @property
    def changes(self) -> int:
        """How often the level changed since the start."""
        return self._changes

    @property
    def name(self) -> str:
        """The name of the level in force."""
        return self._levels[self._index - 1].name if self._index else FULL_SERVICE

    def describe(self, now: int) -> str:
        """The level for operators: its name, for how long, and the state of the concurrency limit."""
        recent = self._summary(now, max((each.enter_us for each in self._levels), default=0))
        duration_s = (now - self._entered_at) / 1e6
        return (
            f"{self.name} for {duration_s:.0f} s; "
            f"refused {recent.rejected_part:.1%}, wanted {recent.mean_utilization:.0%} of the window"
        )

    def observe_pressure(self, now: int, pressure: Pressure) -> ServiceLevelTransition | None:
        """Take an observation; return the change of level that it causes, if any.

        Observations closer than the interval are ignored.
        """
        if not self._record(now, pressure):
            return None
        if self._changes and now - self._entered_at < self._hold_us:
            return None
        if self._index < len(self._levels):
            reason = self._enter_reason(now, self._levels[self._index])
            if reason is not None:
                return self._enter_next(now, reason)
        if self._index:
            reason = self._leave_reason(now, self._levels[self._index - 1])
            if reason is not None:
                return self._leave(now, reason)
        return None

    def _record(self, now: int, pressure: Pressure) -> bool:
        """Record an observation; return whether there is a new one to decide by."""
        if self._last is None:
            self._last = now, pressure
            return False
        last_at, last = self._last
        elapsed_us = now - last_at
        if elapsed_us < OBSERVATION_INTERVAL_US:
            return False
        self._last = now, pressure
        if elapsed_us > MAX_OBSERVATION_GAP_INTERVALS * OBSERVATION_INTERVAL_US:
            self._observations.clear()
            return False
        offered = pressure.offered - last.offered
        rejected = pressure.rejected - last.rejected
        self._observations.append(_Observation(now, elapsed_us, offered, rejected, pressure.utilization))
        while self._observations[0].at < now - self._retain_us:
            self._observations.popleft()
        return True

    def _covers(self, span_us: int) -> bool:
        """Whether the observations since the last change reach back so far."""
        return sum(each.duration_us for each in self._observations) >= span_us

    def _summary(self, now: int, span_us: int) -> _Summary:
        """The observations over this last span."""
        recent = [each for each in self._observations if each.at > now - span_us]
        offered = sum(each.offered for each in recent)
        rejected = sum(each.rejected for each in recent)
        duration_us = sum(each.duration_us for each in recent)
        weighted = sum(each.utilization * each.duration_us for each in recent)
        return _Summary(rejected / max(offered, 1), offered, weighted / max(duration_us, 1))

    def _enter_reason(self, now: int, level: ServiceLevel) -> str | None:
        """Why this level is to be entered; None: it is not."""
        if not self._covers(level.enter_us):
            return None
        recent = self._summary(now, level.enter_us)
        if recent.offered < MIN_OFFERED or recent.rejected_part <= level.enter_rejected_fraction:
            return None
        span_s = level.enter_us / 1e6
        return (
            f"{recent.rejected_part:.1%} refused over {span_s:g} s, above {level.enter_rejected_fraction:.1%}"
        )

    def _leave_reason(self, now: int, level: ServiceLevel) -> str | None:
        """Why this level is to be left; None: it is not."""
        span_us = level.leave_us * self._leave_factor
        if not self._covers(span_us):
            return None
        recent = self._summary(now, span_us)
        if recent.mean_utilization >= level.leave_utilization:
            return None
        if recent.rejected_part > level.enter_rejected_fraction / 2:
            return None
        return (
            f"all of it would fill {recent.mean_utilization:.0%} of the window, "
            f"under {level.leave_utilization:.0%}"
        )

    def _enter_next(self, now: int, reason: str) -> ServiceLevelTransition:
        left_at = self._left_at.get(self._index)
        early_return_us = EARLY_RETURN_HOLDS * self._hold_us * self._leave_factor
        if left_at is not None and now - left_at < early_return_us:
            self._leave_factor = min(2 * self._leave_factor, MAX_LEAVE_FACTOR)
        else:
            self._leave_factor = 1
        return self._change(now, self._index + 1, reason)

    def _leave(self, now: int, reason: str) -> ServiceLevelTransition:
        self._left_at[self._index - 1] = now
        return self._change(now, self._index - 1, reason)

    def _change(self, now: int, index: int, reason: str) -> ServiceLevelTransition:
        previous, duration_us = self.name, now - self._entered_at
        self._index, self._entered_at = index, now
        self._changes += 1
        self._observations.clear()
        effect = self._levels[index - 1].effect if index else _FULL_SERVICE_EFFECT
        return ServiceLevelTransition(previous, self.name, duration_us, reason, effect)


def standard_levels(lowest_priority_class: str) -> tuple[ServiceLevel, ...]:
    """The standard levels: that class's traffic over its quota is rejected first, then all of it."""
    rejected = frozenset((lowest_priority_class,))
    return (
        ServiceLevel("spare", ServiceLevelChanged(rejected, frozenset()), 0.10, 20_000_000, 0.6, 30_000_000),
        ServiceLevel(
            "orders-only", ServiceLevelChanged(rejected, rejected), 0.30, 30_000_000, 0.6, 30_000_000
        ),
    )
