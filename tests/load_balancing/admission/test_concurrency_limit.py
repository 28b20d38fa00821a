"""An instance whose servers answered nothing for a while goes on trying, and soon serves when they answer."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest
from helpers import MS, SAFE, S, Stage, names, settings

from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.load_balancing.outcomes import Outcome

AIM_US = 300 * MS
DEADLINE_US = 1_500 * MS
ANSWER_US = 30 * MS
SERVERS = 6


@dataclass
class Traffic:
    """Requests at a steady rate, each answered after `ANSWER_US` or given up at its deadline."""

    every_us: int
    instance_count: int
    stage: Stage = field(init=False)
    asked: int = 0
    attempts: list[int] = field(default_factory=list)  # when each began
    _out: list[tuple[int, int, Outcome]] = field(default_factory=list)

    def __post_init__(self) -> None:
        kind = {**SAFE, "latency_objective_us": AIM_US, "deadline_us": DEADLINE_US}
        given = settings(classes=[kind], instance_count=self.instance_count, limits={"max_attempts": 1})
        self.stage = Stage(given)
        self.stage.servers(names(SERVERS))

    def run(self, span_us: int, outcome: Outcome) -> None:
        """Let requests come for so long, whose attempts all end like this."""
        takes = ANSWER_US if outcome is Outcome.DELIVERED else DEADLINE_US
        until = self.stage.now + span_us
        while self.stage.now < until:
            self._step(takes, outcome)

    def _step(self, takes: int, outcome: Outcome) -> None:
        stage, due = self.stage, self.stage.now + self.every_us
        while self._out and self._out[0][0] <= due:
            at, request, how = self._out.pop(0)
            stage.wait(max(at - stage.now, 0))
            stage.end(request, how)
        stage.wait(due - stage.now)
        self.asked += 1
        request = stage.request(remaining_us=DEADLINE_US)
        if stage.sends(request):
            self.attempts.append(stage.now)
            self._out.append((stage.now + takes, request, outcome))
            self._out.sort()

    def longest_rest(self, since: int) -> int:
        """The longest time without an attempt, from `since` to now."""
        times = [since, *(each for each in self.attempts if each > since), self.stage.now]
        return max(later - earlier for earlier, later in itertools.pairwise(times))


# An attempt that was given up on counts as in flight for a while more.
LONGEST_REST_US = 1.3 * DEADLINE_US + concurrency_limit.MAX_IDLE_OBJECTIVES * AIM_US


@pytest.mark.parametrize("instance_count", [1, SERVERS])
@pytest.mark.parametrize("every_ms", [20, 50, 100])
def test_concurrency_limit_admits_request_after_idle_time(every_ms: int, instance_count: int) -> None:
    traffic = Traffic(every_ms * MS, instance_count)
    traffic.run(5 * S, Outcome.DELIVERED)
    began = traffic.stage.now
    traffic.run(12 * S, Outcome.TIMED_OUT)
    assert traffic.longest_rest(began) <= LONGEST_REST_US + 2 * traffic.every_us
    began = traffic.stage.now
    traffic.run(5 * S, Outcome.DELIVERED)  # the servers answer again
    assert traffic.longest_rest(began) <= LONGEST_REST_US + 2 * traffic.every_us
    asked, attempts = traffic.asked, len(traffic.attempts)
    traffic.run(5 * S, Outcome.DELIVERED)
    assert len(traffic.attempts) - attempts >= 0.8 * (traffic.asked - asked)


def test_concurrency_limit_idles_longer_with_many_instances_per_endpoint() -> None:
    traffic = Traffic(50 * MS, 10 * SERVERS)
    traffic.run(5 * S, Outcome.DELIVERED)
    began = traffic.stage.now
    traffic.run(30 * S, Outcome.TIMED_OUT)
    assert (
        traffic.longest_rest(began) > LONGEST_REST_US + 4 * AIM_US
    )  # till the mean of what was in flight fades
