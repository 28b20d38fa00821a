"""One run of the soak: a fleet, faults that overlap, and the violations that were found.

cd tests && ../.venv/bin/python -m soak.run --seed 1 --seeds 20
"""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import click
import uvloop

from soak.aftermath import check_aftermath
from soak.faults import FAULTS
from soak.records import now
from soak.rule_checker import Rule, RuleChecker, Violation
from soak.shim import Word
from soak.world import DRAIN_GRACE_S, Plan, World

_QUIET_S = 1.0  # before the first fault
_CHOICE_INTERVAL_S = 0.2  # at most, between two looks at how many faults are active


@dataclass(frozen=True, slots=True)
class RunResult:
    """How a run ended."""

    plan: Plan
    violations: Sequence[Violation]
    responses: Counter[int]  # client attempts by status; 0: none
    failed_calls: int  # system calls that the shim made fail
    processes: int
    faults: Sequence[str]  # names, in the order in which they began
    duration_s: float

    @property
    def client_attempts(self) -> int:
        """How many requests clients sent, a retried one once for each connection."""
        return self.responses.total()

    def __str__(self) -> str:
        counts = " ".join(f"{status}:{count}" for status, count in sorted(self.responses.items()))
        return (
            f"seed {self.plan.seed}: {len(self.violations)} violations, "
            f"{self.client_attempts} requests ({counts}), {self.processes} processes, "
            f"{self.failed_calls} calls failed, {self.duration_s:.1f} s; {', '.join(self.faults)}"
        )


class _FaultSchedule:
    """Keeps two or three faults active at any time; owns their tasks until all have ended."""

    def __init__(self, world: World, plan: Plan) -> None:
        self._world, self._plan = world, plan
        self._random = random.Random(plan.seed + 1)
        self.names: list[str] = []
        self.violations: list[Violation] = []

    async def run(self) -> None:
        """Begin faults for the seconds of the plan, and return when all have ended."""
        ends_at = now() + self._plan.seconds
        active: set[asyncio.Task[None]] = set()
        while now() < ends_at:
            while len(active) < self._random.choice([2, 3]):
                name = self._random.choice(self._plan.only or tuple(FAULTS))
                self.names.append(name)
                active.add(asyncio.ensure_future(self._inject(name)))
            _, active = await asyncio.wait(
                active, timeout=_CHOICE_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
        if active:
            await asyncio.wait(active)

    async def _inject(self, name: str) -> None:
        try:
            await FAULTS[name](self._world, random.Random(self._random.getrandbits(32)))
        except TimeoutError:
            self.violations.append(Violation(Rule.PROCESS, f"not ready in time, in {name}"))


async def run_soak(plan: Plan) -> RunResult:
    """Run once; everything that was started has ended when this returns."""
    started_at = now()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        world = World(plan, Path(folder))
        schedule = _FaultSchedule(world, plan)
        try:
            await world.start()
            aftermath = await _play(world, plan, schedule)
        finally:
            await world.close()
    checker = RuleChecker(world.records, DRAIN_GRACE_S, allows_hedging=world.allows_hedging)
    return RunResult(
        plan,
        violations=[*checker.violations(), *schedule.violations, *aftermath],
        responses=Counter(attempt.status for attempt in world.records.client_attempts),
        failed_calls=sum(place.shim.get(Word.INJECTED) for place in world.places),
        processes=len(world.records.processes),
        faults=schedule.names,
        duration_s=now() - started_at,
    )


async def _play(world: World, plan: Plan, schedule: _FaultSchedule) -> list[Violation]:
    loads = [asyncio.ensure_future(client.run(plan.requests_per_s)) for client in world.applications]
    await asyncio.sleep(_QUIET_S)
    await schedule.run()
    for load in loads:
        load.cancel()
    await asyncio.gather(*(client.settle() for client in world.applications))
    return await check_aftermath(world)


@click.command(help=(__doc__ or "").partition("\n")[0])
@click.option("--seed", "first_seed", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=int, default=1, show_default=True, help="How many.")
@click.option("--sidecars", type=int, default=10, show_default=True, help="Processes in the fleet.")
@click.option("--seconds", type=float, default=8.0, show_default=True, help="During which faults begin.")
@click.option("--only", default="", help="Faults to choose from, with commas between them.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Add one line for each run to it.")
@click.pass_context
def main(
    context: click.Context,
    *,
    first_seed: int,
    seeds: int,
    sidecars: int,
    seconds: float,
    only: str,
    json_file: Path | None,
) -> None:
    """Run the seeds; exit with 1 if a rule was violated."""
    names = tuple(name for name in only.split(",") if name)
    has_violations = False
    for seed in range(first_seed, first_seed + seeds):
        plan = Plan(seed, sidecars, seconds=seconds, only=names)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            result = runner.run(run_soak(plan))
        click.echo(result)
        for violation in result.violations:
            click.echo(f"    {violation}")
        has_violations = has_violations or bool(result.violations)
        if json_file is not None:
            _append_json(json_file, result)
    context.exit(1 if has_violations else 0)


def _append_json(path: Path, result: RunResult) -> None:
    line = {
        "seed": result.plan.seed,
        "violations": [str(violation) for violation in result.violations],
        "faults": list(result.faults),
    }
    with path.open("a") as file:
        file.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    main(prog_name="python -m soak.run")
