"""Fault soak: runs a fleet of sidecars under overlapping faults and reports violations of the rules.

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

from soak.faults import FAULTS
from soak.fleet import DRAIN_GRACE_S, Fleet, SoakOptions
from soak.records import now
from soak.recovery import check_recovery
from soak.rule_checker import Rule, RuleChecker, Violation
from soak.shim import ControlWord

_FAULT_FREE_START_S = 1.0  # Time under load before the first fault.
_SCHEDULE_INTERVAL_S = 0.2  # Longest interval between two checks of the number of active faults.


@dataclass(frozen=True, slots=True)
class RunResult:
    """Violations and statistics of one run."""

    options: SoakOptions
    violations: Sequence[Violation]
    responses: Counter[int]  # Number of client attempts by status; 0 means no complete response.
    failed_system_calls: int  # Number of faults that the shim injected into system calls.
    process_count: int
    max_loop_delay_s: float  # Of the process that runs the clients and servers.
    peak_memory_mb: float  # Of the processes of one sidecar together.
    fault_names: Sequence[str]  # Names of the faults, in the order of their starts.
    duration_s: float

    @property
    def client_attempts(self) -> int:
        """The number of requests that clients sent; a retry counts as another one."""
        return self.responses.total()

    def __str__(self) -> str:
        counts = " ".join(f"{status}:{count}" for status, count in sorted(self.responses.items()))
        return (
            f"seed {self.options.seed}: {len(self.violations)} violations, "
            f"{self.client_attempts} requests ({counts}), {self.process_count} processes, "
            f"{self.failed_system_calls} failed system calls, {self.peak_memory_mb:.0f} MB at most, "
            f"{self.duration_s:.1f} s, loop delayed by {self.max_loop_delay_s:.2f} s at most; "
            f"{', '.join(self.fault_names)}"
        )


class _FaultSchedule:
    """Keeps two or three faults active at a time; owns their tasks until all have ended."""

    def __init__(self, fleet: Fleet, options: SoakOptions) -> None:
        self._fleet, self._options = fleet, options
        self._rng = random.Random(options.seed + 1)
        self.fault_names: list[str] = []
        self.violations: list[Violation] = []

    async def run(self) -> None:
        """Starts faults during the fault phase and returns when all have ended."""
        ends_at = now() + self._options.fault_phase_s
        active_faults: set[asyncio.Task[None]] = set()
        while now() < ends_at:
            while len(active_faults) < self._rng.choice([2, 3]):
                name = self._rng.choice(self._options.fault_names or tuple(FAULTS))
                self.fault_names.append(name)
                active_faults.add(asyncio.ensure_future(self._inject(name)))
            _, active_faults = await asyncio.wait(
                active_faults, timeout=_SCHEDULE_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
        if active_faults:
            await asyncio.wait(active_faults)

    async def _inject(self, name: str) -> None:
        try:
            await FAULTS[name](self._fleet, random.Random(self._rng.getrandbits(32)))
        except TimeoutError:
            self.violations.append(
                Violation(Rule.PROCESS, f"a sidecar was not ready in time during the fault {name}")
            )


async def run_soak(options: SoakOptions) -> RunResult:
    """Runs once; all processes, servers and clients have ended when this returns."""
    started_at = now()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        fleet = Fleet(options, Path(folder))
        schedule = _FaultSchedule(fleet, options)
        try:
            await fleet.start()
            recovery_violations = await _run_phases(fleet, options, schedule)
        finally:
            await fleet.close()
    checker = RuleChecker(fleet.records, DRAIN_GRACE_S, allows_hedging=fleet.allows_hedging)
    return RunResult(
        options,
        violations=[*checker.violations(), *schedule.violations, *recovery_violations],
        responses=Counter(attempt.status for attempt in fleet.records.client_attempts),
        failed_system_calls=sum(sidecar.shim.read_word(ControlWord.INJECTED) for sidecar in fleet.sidecars),
        process_count=len(fleet.records.processes),
        max_loop_delay_s=max(
            (stall.ended_at - stall.started_at for stall in fleet.records.stalls), default=0.0
        ),
        peak_memory_mb=max(peak.resident_mb for peak in fleet.records.memory_peaks),
        fault_names=schedule.fault_names,
        duration_s=now() - started_at,
    )


async def _run_phases(fleet: Fleet, options: SoakOptions, schedule: _FaultSchedule) -> list[Violation]:
    load_tasks = [
        asyncio.ensure_future(generator.run(options.requests_per_s)) for generator in fleet.load_generators
    ]
    crowd_tasks = fleet.start_crowd(_FAULT_FREE_START_S + options.fault_phase_s)
    await asyncio.sleep(_FAULT_FREE_START_S)
    await schedule.run()
    await asyncio.gather(*crowd_tasks)
    for load_task in load_tasks:
        load_task.cancel()
    await asyncio.gather(*(generator.wait_for_requests() for generator in fleet.load_generators))
    return await check_recovery(fleet)


@click.command(help=(__doc__ or "").partition("\n")[0])
@click.option("--seed", "first_seed", type=int, default=1, show_default=True, help="First seed.")
@click.option("--seeds", type=int, default=1, show_default=True, help="Number of seeds.")
@click.option("--sidecars", type=int, default=10, show_default=True, help="Number of sidecars in the fleet.")
@click.option(
    "--seconds",
    type=float,
    default=8.0,
    show_default=True,
    help="Duration of the phase in which faults begin, in seconds.",
)
@click.option("--only", default="", help="Comma-separated names of the faults to choose from; default: all.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(path_type=Path),
    help="File to which one JSON line is appended for each run.",
)
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
    """Runs all seeds; exits with 1 if a rule was violated."""
    names = tuple(name for name in only.split(",") if name)
    has_violations = False
    for seed in range(first_seed, first_seed + seeds):
        options = SoakOptions(seed, sidecars, fault_phase_s=seconds, fault_names=names)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            result = runner.run(run_soak(options))
        click.echo(result)
        for violation in result.violations:
            click.echo(f"    {violation}")
        has_violations = has_violations or bool(result.violations)
        if json_file is not None:
            _append_json(json_file, result)
    context.exit(1 if has_violations else 0)


def _append_json(path: Path, result: RunResult) -> None:
    line = {
        "seed": result.options.seed,
        "violations": [str(violation) for violation in result.violations],
        "faults": list(result.fault_names),
    }
    with path.open("a") as file:
        file.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    main(prog_name="python -m soak.run")
