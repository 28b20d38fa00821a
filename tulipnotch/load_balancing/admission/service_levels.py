"""Service levels: takes observations of pressure, returns changes of level; uses no clock and no sockets.

A level is entered if the fraction of requests that the concurrency limit rejects stays above a threshold, and
left if the load that the level rejects would fit into the limit again. The two conditions use different
measurements: under a level the limit rejects little, because the level itself has removed the load, so a
single measurement would leave the level at once and enter it again. Hysteresis, a minimum time between
changes, and a leave time that doubles when a level was left too early keep a load near a threshold from
changing the level repeatedly.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.events import ServiceLevelChanged

OBSERVATION_INTERVAL_US = 1_000_000
MIN_HOLD_US = 30_000_000
MIN_OFFERED = 50  # requests within `enter_us`; with fewer, the rejected fraction is mostly random variation
EARLY_RETURN_HOLDS = 4  # a level that is entered again within this many minimum times was left too early
MAX_LEAVE_FACTOR = 8  # the leave time is at most this many times the configured one
# After a longer gap the process was suspended, and earlier observations are dropped.
MAX_OBSERVATION_GAP_INTERVALS = 3
FULL_SERVICE = "full"
_FULL_SERVICE_EFFECT = ServiceLevelChanged(frozenset(), frozenset())


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A service level: its effect, and the conditions to enter and leave it.

    Times are in microseconds, fractions are from 0 to 1.
    """

    name: str
    effect: ServiceLevelChanged
    # Entered if the limit rejected more than this fraction of the requests checked by it, over `enter_us`.
    enter_rejected_fraction: float
    enter_us: int
    # Left if the load, with what the level rejects, would use less than this fraction of the limit, and the
    # limit rejected at most half of `enter_rejected_fraction`, both over `leave_us`.
    leave_utilization: float
    leave_us: int


@dataclass(frozen=True, slots=True)
class ServiceLevelTransition:
    """A change of level, with its effect on admission and its reason."""

    previous: str
    current: str
    previous_duration_us: int
    reason: str
    effect: ServiceLevelChanged


class _Observation(NamedTuple):
    observed_at: int
    duration_us: int
    offered: int
    rejected: int
    utilization: float


class _Summary(NamedTuple):
    """Totals and means of the observations in a time span."""

    rejected_fraction: float
    offered: int
    mean_utilization: float


class ServiceLevelController:
    """Decides which service level applies; call `observe_pressure` about every second."""

    def __init__(self, levels: tuple[ServiceLevel, ...], hold_us: int, started_at: int) -> None:
        """Starts at full service.

        Args:
            levels: The levels, in the order in which they are entered.
            hold_us: The minimum time between changes; at least `MIN_HOLD_US` applies.
            started_at: Clock time now, in microseconds.
        """
        self._levels = levels
        self._hold_us = max(hold_us, MIN_HOLD_US)
        self._index = 0  # number of the current level, from 1; 0: full service
        self._entered_at = started_at
        self._changes = 0
        self._last_sample: tuple[int, Pressure] | None = None
        # Observations since the last change, going back `_retain_us` at most.
        self._observations: deque[_Observation] = deque()
        self._leave_factor = 1
        # Clock time at which each level was last left, keyed by index in `levels`.
        self._left_at: dict[int, int] = {}
        longest_us = max((max(each.enter_us, MAX_LEAVE_FACTOR * each.leave_us) for each in levels), default=0)
        self._retain_us = longest_us + 2 * OBSERVATION_INTERVAL_US

    @property
    def index(self) -> int:
        """Number of the current level, from 1; 0: full service."""
        return self._index

    @property
    def changes(self) -> int:
        """How often the level has changed since the start."""
        return self._changes

    @property
    def name(self) -> str:
        """Name of the current level."""
        return self._levels[self._index - 1].name if self._index else FULL_SERVICE

    def describe(self, now: int) -> str:
        """Describes the level for operators: its name, its duration, and the state of the concurrency limit.

        In the text, "refused" is the fraction that the limit rejected, "the window" is the limit, and
        "wanted" is the fraction of it that all requests together would use.
        """
        recent = self._summarize(now, max((each.enter_us for each in self._levels), default=0))
        duration_s = (now - self._entered_at) / 1e6
        return (
            f"{self.name} for {duration_s:.0f} s; "
            f"refused {recent.rejected_fraction:.1%}, wanted {recent.mean_utilization:.0%} of the window"
        )

    def observe_pressure(self, now: int, pressure: Pressure) -> ServiceLevelTransition | None:
        """Records an observation; returns the change of level that it causes, if any.

        Ignores observations that come sooner than `OBSERVATION_INTERVAL_US` after the last one.
        """
        if not self._record_observation(now, pressure):
            return None
        if self._changes and now - self._entered_at < self._hold_us:
            return None
        if self._index < len(self._levels):
            reason = self._enter_reason(now, self._levels[self._index])
            if reason is not None:
                return self._enter_next_level(now, reason)
        if self._index:
            reason = self._leave_reason(now, self._levels[self._index - 1])
            if reason is not None:
                return self._leave_level(now, reason)
        return None

    def _record_observation(self, now: int, pressure: Pressure) -> bool:
        """Records an observation; returns whether there is a new one to decide by."""
        if self._last_sample is None:
            self._last_sample = now, pressure
            return False
        last_at, last_pressure = self._last_sample
        elapsed_us = now - last_at
        if elapsed_us < OBSERVATION_INTERVAL_US:
            return False
        self._last_sample = now, pressure
        if elapsed_us > MAX_OBSERVATION_GAP_INTERVALS * OBSERVATION_INTERVAL_US:
            self._observations.clear()
            return False
        offered = pressure.offered - last_pressure.offered
        rejected = pressure.rejected - last_pressure.rejected
        self._observations.append(_Observation(now, elapsed_us, offered, rejected, pressure.utilization))
        while self._observations[0].observed_at < now - self._retain_us:
            self._observations.popleft()
        return True

    def _covers_span(self, span_us: int) -> bool:
        """Returns whether the observations since the last change cover a span of this length."""
        return sum(each.duration_us for each in self._observations) >= span_us

    def _summarize(self, now: int, span_us: int) -> _Summary:
        """Summarizes the observations in the last `span_us` microseconds."""
        recent = [each for each in self._observations if each.observed_at > now - span_us]
        offered = sum(each.offered for each in recent)
        rejected = sum(each.rejected for each in recent)
        duration_us = sum(each.duration_us for each in recent)
        weighted = sum(each.utilization * each.duration_us for each in recent)
        return _Summary(rejected / max(offered, 1), offered, weighted / max(duration_us, 1))

    def _enter_reason(self, now: int, level: ServiceLevel) -> str | None:
        """Returns why this level should be entered; None if it should not."""
        if not self._covers_span(level.enter_us):
            return None
        recent = self._summarize(now, level.enter_us)
        if recent.offered < MIN_OFFERED or recent.rejected_fraction <= level.enter_rejected_fraction:
            return None
        span_s = level.enter_us / 1e6
        return (
            f"{recent.rejected_fraction:.1%} rejected over {span_s:g} s, "
            f"above {level.enter_rejected_fraction:.1%}"
        )

    def _leave_reason(self, now: int, level: ServiceLevel) -> str | None:
        """Returns why this level should be left; None if it should not."""
        span_us = level.leave_us * self._leave_factor
        if not self._covers_span(span_us):
            return None
        recent = self._summarize(now, span_us)
        if recent.mean_utilization >= level.leave_utilization:
            return None
        if recent.rejected_fraction > level.enter_rejected_fraction / 2:
            return None
        return (
            f"all requests together would use {recent.mean_utilization:.0%} of the window, "
            f"below {level.leave_utilization:.0%}"
        )

    def _enter_next_level(self, now: int, reason: str) -> ServiceLevelTransition:
        left_at = self._left_at.get(self._index)
        early_return_us = EARLY_RETURN_HOLDS * self._hold_us * self._leave_factor
        if left_at is not None and now - left_at < early_return_us:
            self._leave_factor = min(2 * self._leave_factor, MAX_LEAVE_FACTOR)
        else:
            self._leave_factor = 1
        return self._change_level(now, self._index + 1, reason)

    def _leave_level(self, now: int, reason: str) -> ServiceLevelTransition:
        self._left_at[self._index - 1] = now
        return self._change_level(now, self._index - 1, reason)

    def _change_level(self, now: int, index: int, reason: str) -> ServiceLevelTransition:
        previous, duration_us = self.name, now - self._entered_at
        self._index, self._entered_at = index, now
        self._changes += 1
        self._observations.clear()
        effect = self._levels[index - 1].effect if index else _FULL_SERVICE_EFFECT
        return ServiceLevelTransition(previous, self.name, duration_us, reason, effect)


def standard_levels(lowest_priority_class: str) -> tuple[ServiceLevel, ...]:
    """Returns the standard levels: the first rejects the class's traffic over quota, the second all of it."""
    rejected = frozenset((lowest_priority_class,))
    return (
        ServiceLevel("spare", ServiceLevelChanged(rejected, frozenset()), 0.10, 20_000_000, 0.6, 30_000_000),
        ServiceLevel(
            "orders-only", ServiceLevelChanged(rejected, rejected), 0.30, 30_000_000, 0.6, 30_000_000
        ),
    )
