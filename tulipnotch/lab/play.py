"""Runs a scenario in virtual time: one seed in this process, or several seeds in processes of their own."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from typing import Any

from tulipnotch.lab import results
from tulipnotch.lab.policies import POLICIES
from tulipnotch.lab.results import Result, Run
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.virtual import Simulation

OnProgress = Callable[[float], None]  # takes the fraction of all seeds that is done, 0 to 1


@dataclass(frozen=True, slots=True)
class SeedTask:
    """One seed in virtual time, as it is passed to a worker process."""

    scenario: Scenario
    policy: str
    seed: int


def run_seed(scenario: Scenario, policy: str, seed: int, on_progress: OnProgress | None = None) -> Run:
    """Runs one seed in this process."""
    simulation = Simulation(scenario, seed, POLICIES[policy])
    simulation.run(on_progress)
    return Run(
        seed=seed,
        metrics=simulation.recorder.metrics(simulation.history),
        violations={rule: each for rule, each in simulation.history.violations.items() if each},
        series=simulation.recorder.series.to_result(),
    )


def _run_task(task: SeedTask) -> Run:
    return run_seed(task.scenario, task.policy, task.seed)


def run_seeds(
    scenario: Scenario,
    policy: str,
    seeds: Sequence[int],
    processes: int,
    on_progress: OnProgress | None = None,
) -> Result:
    """Runs every seed in virtual time; several seeds run in up to this many processes."""
    tasks = [SeedTask(scenario, policy, seed) for seed in seeds]
    if len(tasks) == 1 or processes == 1:
        runs = []
        for index, task in enumerate(tasks):

            def on_seed_progress(done: float, seeds_done: int = index) -> None:
                if on_progress is not None:
                    on_progress((seeds_done + done) / len(tasks))

            runs.append(run_seed(task.scenario, task.policy, task.seed, on_seed_progress))
    else:
        # A forked process would inherit locks that threads of this process hold.
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(min(processes, len(tasks)), mp_context=context) as pool:
            futures = {pool.submit(_run_task, task): task.seed for task in tasks}
            for done, _ in enumerate(as_completed(futures), 1):
                if on_progress is not None:
                    on_progress(done / len(tasks))
            runs = sorted((each.result() for each in futures), key=lambda run: run.seed)
    return build_result(scenario, "virtual", policy, runs)


def build_result(scenario: Scenario, time: Any, policy: str, runs: list[Run]) -> Result:
    return Result(
        scenario=scenario.name, about=scenario.about, time=time, policy=policy, seconds=scenario.seconds,
        warmup_s=scenario.warmup_s, runs=runs, expectations=results.check_expectations(scenario, runs),
    )  # fmt: skip
