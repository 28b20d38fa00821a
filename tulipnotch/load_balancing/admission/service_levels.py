"""The ladder of service levels: readings in, at most one change out; no clock and no sockets.

A level is entered where the part that the window refuses stays above a bound, and left where what it keeps
out would fit again.  The two conditions look at different things on purpose: under a level little is refused
by the window, since the level itself took the load away, so that the same measure would leave at once and
enter again, all day.  Hysteresis, a least time between changes, and a patience that doubles when a level was
left too early keep a load that hovers at a threshold from moving it to and fro.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.events import ServiceLevelChanged

READ_EVERY_US = 1_000_000
LEAST_HOLD_US = 30_000_000
LEAST_ASKED = 50  # requests within the time to enter: who sees fewer can't tell a trend from chance
REGRET_HOLDS = 4  # a level entered again within so many least times was left too early
PATIENCE_MOST = 8  # the time to leave is at most this many times the set one
FULL_SERVICE = "full"
_NOTHING = ServiceLevelChanged(frozenset(), frozenset())


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A level, what it keeps out, and its two conditions; times in microseconds, parts from 0 to 1."""

    name: str
    effect: ServiceLevelChanged
    enter_refused: float  # entered when the window refused more than this part of what was let to it
    enter_us: int  # over so long
    leave_fill: float  # left when load and what the level keeps out would fill less than this of the window
    leave_us: int  # over so long, and the window refused less than half of `enter_refused` meanwhile


@dataclass(frozen=True, slots=True)
class ServiceLevelTransition:
    """The level from now on, what it means for the policy, and why."""

    previous: str
    current: str
    previous_duration_us: int
    reason: str
    effect: ServiceLevelChanged


@dataclass(frozen=True, slots=True)
class _Reading:
    at: int
    span: int
    asked: int
    refused: int
    fill: float


class ServiceLevelController:
    """Which level is in force.  Give it a reading about every second; it never looks at a clock."""

    def __init__(self, levels: tuple[ServiceLevel, ...], hold_us: int, began: int) -> None:
        self._levels = levels
        self._hold_us = max(hold_us, LEAST_HOLD_US)
        self._index = 0  # of the level in force, from 1; 0: full service
        self._since = began
        self._changes = 0
        self._last: tuple[int, Pressure] | None = None
        self._readings: deque[_Reading] = deque()  # since the last change, no more than the longest condition
        self._patience = 1
        self._left: dict[int, int] = {}  # when each level was last left
        longest = max((max(each.enter_us, PATIENCE_MOST * each.leave_us) for each in levels), default=0)
        self._keep_us = longest + 2 * READ_EVERY_US

    @property
    def index(self) -> int:
        return self._index

    @property
    def changes(self) -> int:
        """How often the level changed since the start."""
        return self._changes

    @property
    def name(self) -> str:
        return self._levels[self._index - 1].name if self._index else FULL_SERVICE

    def describe(self, now: int) -> str:
        """The level for people: its name, for how long, and what the window does."""
        refused, _, fill = self._over(now, max((each.enter_us for each in self._levels), default=0))
        held_s = (now - self._since) / 1e6
        return f"{self.name} for {held_s:.0f} s; refused {refused:.1%}, wanted {fill:.0%} of the window"

    def observe(self, now: int, pressure: Pressure) -> ServiceLevelTransition | None:
        """Take a reading; readings closer than the interval are left out, and gaps count as no news."""
        if self._last is None:
            self._last = now, pressure
            return None
        at, before = self._last
        if now - at < READ_EVERY_US:
            return None
        self._last = now, pressure
        asked = pressure.offered - before.offered
        refused = pressure.rejected - before.rejected
        if now - at > 3 * READ_EVERY_US:
            self._readings.clear()  # guards against a process that stood still: the past says nothing of now
            return None
        self._readings.append(_Reading(now, now - at, asked, refused, pressure.utilization))
        while self._readings[0].at < now - self._keep_us:
            self._readings.popleft()
        if self._changes and now - self._since < self._hold_us:
            return None
        if self._index < len(self._levels):
            reason = self._enters(now, self._levels[self._index])
            if reason is not None:
                return self._up(now, reason)
        if self._index:
            reason = self._leaves(now, self._levels[self._index - 1])
            if reason is not None:
                return self._down(now, reason)
        return None

    def _covers(self, span_us: int) -> bool:
        """Whether the readings since the last change go back so far."""
        return sum(each.span for each in self._readings) >= span_us

    def _over(self, now: int, span_us: int) -> tuple[float, int, float]:
        """Part refused, number asked and mean fill over this last span."""
        kept = [each for each in self._readings if each.at > now - span_us]
        asked = sum(each.asked for each in kept)
        refused = sum(each.refused for each in kept)
        fill = sum(each.fill * each.span for each in kept) / max(sum(each.span for each in kept), 1)
        return refused / max(asked, 1), asked, fill

    def _enters(self, now: int, level: ServiceLevel) -> str | None:
        """Why this level is to be entered; None: it is not."""
        if not self._covers(level.enter_us):
            return None
        refused, asked, _ = self._over(now, level.enter_us)
        if asked < LEAST_ASKED or refused <= level.enter_refused:
            return None
        return f"{refused:.1%} refused over {level.enter_us / 1e6:g} s, above {level.enter_refused:.1%}"

    def _leaves(self, now: int, level: ServiceLevel) -> str | None:
        """Why this level is to be left; None: it is not."""
        span = level.leave_us * self._patience
        if not self._covers(span):
            return None
        refused, _, fill = self._over(now, span)
        if fill >= level.leave_fill or refused > level.enter_refused / 2:
            return None
        return f"all of it would fill {fill:.0%} of the window, under {level.leave_fill:.0%}"

    def _up(self, now: int, reason: str) -> ServiceLevelTransition:
        left = self._left.get(self._index)
        if left is not None and now - left < REGRET_HOLDS * self._hold_us * self._patience:
            self._patience = min(2 * self._patience, PATIENCE_MOST)
        else:
            self._patience = 1
        return self._turn(now, self._index + 1, reason)

    def _down(self, now: int, reason: str) -> ServiceLevelTransition:
        self._left[self._index - 1] = now
        return self._turn(now, self._index - 1, reason)

    def _turn(self, now: int, index: int, reason: str) -> ServiceLevelTransition:
        before, held = self.name, now - self._since
        self._index, self._since = index, now
        self._changes += 1
        self._readings.clear()
        bars = self._levels[index - 1].effect if index else _NOTHING
        return ServiceLevelTransition(before, self.name, held, reason, bars)


def standard(least_worthy: str) -> tuple[ServiceLevel, ...]:
    """The levels that staff asked for: first that class's traffic over its share goes, then all of it."""
    kept_out = frozenset((least_worthy,))
    return (
        ServiceLevel("spare", ServiceLevelChanged(kept_out, frozenset()), 0.10, 20_000_000, 0.6, 30_000_000),
        ServiceLevel(
            "orders-only", ServiceLevelChanged(kept_out, kept_out), 0.30, 30_000_000, 0.6, 30_000_000
        ),
    )
