"""Explores every interleaving of the events of one request, applied to a real sidecar.

`explore` applies every sequence of steps of a `Simulation` up to a maximum length.  Each sequence begins with
a new simulation.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import cache
from typing import Any, cast
from unittest import mock

from interleaving_cases import BUFFERED_BYTES, PAST_OBJECTIVE_US, PAST_WINDOW_US, SERVERS, Case, Start
from interleaving_simulation import Simulation
from virtual_network import (
    REJECTED,
    FakeOs,
    VirtualLoop,
)

from tulipnotch.load_balancing.health import outlier_detection
from tulipnotch.load_balancing.retries import attempt_timeouts
from tulipnotch.sidecar import clock
from tulipnotch.sidecar.http1 import body
from tulipnotch.sidecar.upstream import connection as connection_module
from tulipnotch.sidecar.upstream import pool as pool_module


@dataclass
class Violation:
    """A violated rule, and the shortest interleaving that leads to it."""

    text: str
    waited_for: str  # what delayed the last byte of the attempt that violates it; empty if no attempt does
    start: Start
    steps: list[str]

    def __str__(self) -> str:
        steps = "\n".join(f"    {number}. {each}" for number, each in enumerate(self.steps, 1))
        cause = f" [its last byte waited for {self.waited_for}]" if self.waited_for else ""
        return f"{self.text}{cause}\n  from the start '{self.start.value}':\n{steps}"


@dataclass
class Exploration:
    """The result of an exploration."""

    interleavings: int = 0  # the number of interleavings that were applied
    violations: dict[tuple[str, str], Violation] = field(default_factory=dict)

    def record(self, simulation: Simulation) -> None:
        for text, waited_for in simulation.checker.violations:
            known = self.violations.get((text, waited_for))
            if known is None or len(simulation.steps) < len(known.steps):
                self.violations[(text, waited_for)] = Violation(
                    text, waited_for, simulation.start, list(simulation.steps)
                )

    def add(self, other: Exploration) -> None:
        """Merges the result of another exploration of the same case."""
        self.interleavings += other.interleavings
        for key, violation in other.violations.items():
            known = self.violations.get(key)
            if known is None or len(violation.steps) < len(known.steps):
                self.violations[key] = violation

    def __str__(self) -> str:
        return "\n".join(f"- {each}" for each in self.violations.values())


@contextmanager
def _patched_program(reuse_delay_us: int) -> Iterator[None]:
    """Patches the clock, the socket calls and the constants of the sidecar."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(clock.Clock, "now", _virtual_now))
        stack.enter_context(
            mock.patch.object(connection_module, "os", FakeOs(lambda: _loop().network), create=True)
        )
        stack.enter_context(mock.patch.object(body, "MAX_BUFFERED_BODY_BYTES", BUFFERED_BYTES))
        stack.enter_context(mock.patch.object(pool_module, "_REUSE_DELAY_US", reuse_delay_us))
        # There is no other traffic: an attempt is hedged only because of its own duration, on any number of
        # servers.
        stack.enter_context(mock.patch.object(attempt_timeouts, "MIN_OTHER_RESPONSES", 0))
        stack.enter_context(mock.patch.object(outlier_detection, "MAX_UNRESPONSIVE_FRACTION", 1.0))
        yield


def _virtual_now(self: clock.Clock) -> int:
    return _loop().now_us


def _loop() -> VirtualLoop:
    return cast(VirtualLoop, asyncio.get_running_loop())


@cache
def _find_seed(case: Case, start: Start) -> int:
    """Returns the first seed of the balancer for which the case reaches the start."""
    for seed in range(500):
        simulation = Simulation(case, start, seed)
        try:
            if _reaches_start(simulation):
                return seed
        finally:
            simulation.close()
    raise AssertionError(f"no seed reaches the start '{start.value}' for {case}")


def _reaches_start(simulation: Simulation) -> bool:
    network, start = simulation.network, simulation.start
    connected = len(network.dials)  # each of these dials has a connection
    first = {each.host: each.exchanges[0].own_response for each in network.connections}
    simulation.apply(simulation.possible_steps()[0])
    new = network.dials[connected:]
    used = [each for each in network.connections if len(each.exchanges) > 1]
    if start in (Start.UNCONNECTED, Start.REUSABLE_LATER):
        if not new or SERVERS[new[0].host][2] != 1:
            return False
    elif start is Start.REUSABLE:
        return bool(used) and first[used[0].host] == REJECTED and SERVERS[used[0].host][2] == 1
    elif new:
        return False
    if start is Start.UNCONNECTED:
        return True
    if start is Start.REUSABLE_LATER:
        if simulation.case.idempotency == "non-idempotent":
            simulation.apply(simulation._dial_steps(connected)[2])
        else:
            simulation.apply(simulation._advance_step("past the latency objective", PAST_OBJECTIVE_US))
        return len(network.dials) == connected + 1 and any(
            len(each.exchanges) > 1 for each in network.connections
        )
    simulation.apply(simulation._advance_step("past the latency objective", PAST_OBJECTIVE_US))
    if simulation.case.idempotency != "non-idempotent" and len(network.dials) == connected:
        return False
    simulation.apply(simulation._advance_step("past the window", PAST_WINDOW_US))
    simulation.apply(simulation._advance_step("past the window", PAST_WINDOW_US))
    return [SERVERS[each.host][2] for each in network.connections if len(each.exchanges) > 1] == [1]


def explore(
    case: Case, start: Start, depth: int, stop_at: Callable[[Violation], bool] | None = None
) -> Exploration:
    """Applies every interleaving of up to `depth` steps.

    An interleaving ends when a rule is violated.  It is cut off in a state that another interleaving has
    reached with at least as many remaining steps.
    """
    explored = Exploration()
    seen: dict[tuple[Any, ...], int] = {}
    prefix: list[int] = []
    with _patched_program(start.reuse_delay_us):
        seed = _find_seed(case, start)
        while True:
            accepted = _apply(case, start, seed, depth, prefix, seen, explored)
            if stop_at is not None and any(map(stop_at, explored.violations.values())):
                return explored
            while accepted and accepted[-1][0] + 1 == accepted[-1][1]:
                accepted.pop()
            if not accepted:
                return explored
            prefix = [index for index, _ in accepted]
            prefix[-1] += 1


def _apply(
    case: Case,
    start: Start,
    seed: int,
    depth: int,
    prefix: list[int],
    seen: dict[tuple[Any, ...], int],
    explored: Exploration,
) -> list[tuple[int, int]]:
    """Applies one interleaving; returns, for each step, its index and the number of possible steps."""
    simulation = Simulation(case, start, seed)
    accepted: list[tuple[int, int]] = []
    is_cut = False
    try:
        while len(accepted) < depth and not simulation.checker.violations:
            if len(accepted) >= len(prefix):
                key = simulation.fingerprint()
                remaining_depth = depth - len(accepted)
                if seen.get(key, 0) >= remaining_depth:
                    is_cut = True
                    break
                seen[key] = remaining_depth
            possible_steps = simulation.possible_steps()
            if not possible_steps:
                break
            index = prefix[len(accepted)] if len(accepted) < len(prefix) else 0
            accepted.append((index, len(possible_steps)))
            simulation.apply(possible_steps[index])
        if not is_cut and not simulation.checker.violations:
            simulation.finish()
        explored.interleavings += 1
        explored.record(simulation)
    finally:
        simulation.close()
    return accepted
