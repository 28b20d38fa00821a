"""Every interleaving of the events of one request, applied to a real sidecar.

`explore` applies every interleaving of the steps of a `World` up to a depth, each from the start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import cache
from typing import Any, cast
from unittest import mock

from interleaving_cases import BUFFERED_BYTES, PAST_OBJECTIVE, PAST_WINDOW, SERVERS, Case, Start
from interleaving_world import World
from virtual_network import (
    REJECTED,
    Kernel,
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
    waited_for: str  # what the last byte that violates it waited for
    start: Start
    steps: list[str]

    def __str__(self) -> str:
        steps = "\n".join(f"    {number}. {each}" for number, each in enumerate(self.steps, 1))
        by = f" [its last byte waited for {self.waited_for}]" if self.waited_for else ""
        return f"{self.text}{by}\n  from the start '{self.start.value}':\n{steps}"


@dataclass
class Exploration:
    """What an exploration found."""

    interleavings: int = 0  # that were applied
    violations: dict[tuple[str, str], Violation] = field(default_factory=dict)

    def record(self, world: World) -> None:
        for text, waited_for in world.rule.violations:
            known = self.violations.get((text, waited_for))
            if known is None or len(world.steps) < len(known.steps):
                self.violations[(text, waited_for)] = Violation(
                    text, waited_for, world.start, list(world.steps)
                )

    def add(self, other: Exploration) -> None:
        """Merge what another exploration of the same case found."""
        self.interleavings += other.interleavings
        for key, violation in other.violations.items():
            known = self.violations.get(key)
            if known is None or len(violation.steps) < len(known.steps):
                self.violations[key] = violation

    def __str__(self) -> str:
        return "\n".join(f"- {each}" for each in self.violations.values())


@contextmanager
def _patched_program(reuse_delay_us: int) -> Iterator[None]:
    """Patch the clock, the socket calls and the constants of the program."""
    with ExitStack() as stack:
        stack.enter_context(mock.patch.object(clock.Clock, "now", _virtual_now))
        stack.enter_context(
            mock.patch.object(connection_module, "os", Kernel(lambda: _loop().network), create=True)
        )
        stack.enter_context(mock.patch.object(body, "MAX_BUFFERED_BODY_BYTES", BUFFERED_BYTES))
        stack.enter_context(mock.patch.object(pool_module, "_REUSE_DELAY_US", reuse_delay_us))
        # There is no other traffic: an attempt is hedged by its own time alone, also on several servers.
        stack.enter_context(mock.patch.object(attempt_timeouts, "MIN_OTHER_RESPONSES", 0))
        stack.enter_context(mock.patch.object(outlier_detection, "MAX_UNRESPONSIVE_FRACTION", 1.0))
        yield


def _virtual_now(self: clock.Clock) -> int:
    return _loop().now_us


def _loop() -> VirtualLoop:
    return cast(VirtualLoop, asyncio.get_running_loop())


@cache
def _find_seed(case: Case, start: Start) -> int:
    """The first seed that leads to the start."""
    for seed in range(500):
        world = World(case, start, seed)
        try:
            if _is_start(world):
                return seed
        finally:
            world.end()
    raise AssertionError(f"no seed leads to the start '{start.value}' for {case}")


def _is_start(world: World) -> bool:
    network, start = world.network, world.start
    connected = len(network.dials)  # as many as there are connections
    first = {each.host: each.exchanges[0].own_response for each in network.connections}
    world.do(world.choices()[0])
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
        if world.case.effect == "non-idempotent":
            world.do(world._dial_choices(connected)[2])
        else:
            world.do(world._time_passes("past the latency objective", PAST_OBJECTIVE))
        return len(network.dials) == connected + 1 and any(
            len(each.exchanges) > 1 for each in network.connections
        )
    world.do(world._time_passes("past the latency objective", PAST_OBJECTIVE))
    if world.case.effect != "non-idempotent" and len(network.dials) == connected:
        return False
    world.do(world._time_passes("past the window", PAST_WINDOW))
    world.do(world._time_passes("past the window", PAST_WINDOW))
    return [SERVERS[each.host][2] for each in network.connections if len(each.exchanges) > 1] == [1]


def explore(
    case: Case, start: Start, depth: int, stop_at: Callable[[Violation], bool] | None = None
) -> Exploration:
    """Apply every interleaving of up to `depth` steps.

    An interleaving ends where a rule is violated, and is cut off in a state that another one has reached
    with as many steps left.
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
    """Apply one interleaving; return which choice it took of how many, at each step."""
    world = World(case, start, seed)
    accepted: list[tuple[int, int]] = []
    is_cut = False
    try:
        while len(accepted) < depth and not world.rule.violations:
            if len(accepted) >= len(prefix):
                key = world.fingerprint()
                remaining_depth = depth - len(accepted)
                if seen.get(key, 0) >= remaining_depth:
                    is_cut = True
                    break
                seen[key] = remaining_depth
            choices = world.choices()
            if not choices:
                break
            index = prefix[len(accepted)] if len(accepted) < len(prefix) else 0
            accepted.append((index, len(choices)))
            world.do(choices[index])
        if not is_cut and not world.rule.violations:
            world.finish()
        explored.interleavings += 1
        explored.record(world)
    finally:
        world.end()
    return accepted
