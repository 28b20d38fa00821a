"""Plays a scenario: one seed or many, one process for each, with progress."""

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
from tulipnotch.lab.virtual import World

Progress = Callable[[float], None]  # the part of all seeds that is done, 0 to 1


@dataclass(frozen=True, slots=True)
class Job:
    """One seed in virtual time, as it goes to a process of its own."""

    given: Scenario
    policy: str
    seed: int


def in_virtual_time(given: Scenario, policy: str, seed: int, progress: Progress | None = None) -> Run:
    """Play one seed in this process."""
    world = World(given, seed, POLICIES[policy])
    world.run(progress)
    return Run(
        seed=seed,
        metrics=world.recorder.metrics(world.history),
        violations={rule: each for rule, each in world.history.violations.items() if each},
        series=world.recorder.series.to_result(),
    )


def _job(job: Job) -> Run:
    return in_virtual_time(job.given, job.policy, job.seed)


def all_seeds(
    given: Scenario, policy: str, seeds: Sequence[int], processes: int, progress: Progress | None = None
) -> Result:
    """Play every seed in virtual time, on several cores where there are several seeds."""
    jobs = [Job(given, policy, seed) for seed in seeds]
    if len(jobs) == 1 or processes == 1:
        runs = []
        for place, job in enumerate(jobs):

            def part(done: float, before: int = place) -> None:
                if progress is not None:
                    progress((before + done) / len(jobs))

            runs.append(in_virtual_time(job.given, job.policy, job.seed, part))
    else:
        context = multiprocessing.get_context("spawn")  # a fork would carry the parent's threads' locks
        with ProcessPoolExecutor(min(processes, len(jobs)), mp_context=context) as pool:
            waiting = {pool.submit(_job, job): job.seed for job in jobs}
            for done, _ in enumerate(as_completed(waiting), 1):
                if progress is not None:
                    progress(done / len(jobs))
            runs = sorted((each.result() for each in waiting), key=lambda run: run.seed)
    return gather(given, "virtual", policy, runs)


def gather(given: Scenario, time: Any, policy: str, runs: list[Run]) -> Result:
    return Result(
        scenario=given.name, about=given.about, time=time, policy=policy, seconds=given.seconds,
        warmup_s=given.warmup_s, runs=runs, expectations=results.check_expectations(given, runs),
    )  # fmt: skip
