"""The simulation agrees with queueing theory, and the model of a server behaves as documented."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from process_pool import run_in_processes
from small_scenarios import make_scenario

from tulipnotch.lab import fleet
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import ClientRequest
from tulipnotch.lab.policies import POLICIES
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import AdmissionResult, Job, JobState, OrderServer
from tulipnotch.lab.virtual import PolicyFactory, Simulation

NO_DELAYS = {
    "network": dict.fromkeys(("same_ms", "cross_ms", "client_ms", "handshake_work_ms"), 0.0)
    | {"handshake_rtts": 0},
    "clients": {"retries": 0, "try_share": 1.0},
    "warmup_s": 20.0,
}  # fmt: skip
LONG_DEADLINE_CLASS = {
    "name": "x",
    "work_ms": 100.0,
    "dist": "exponential",
    "aim_ms": 9e5,
    "deadline_ms": 9e5,
}


class WorkRecordingSimulation(Simulation):
    """A simulation that records the work of all arrivals."""

    def __init__(self, scenario: Scenario, seed: int, make_policy: PolicyFactory) -> None:
        super().__init__(scenario, seed, make_policy)
        self.work_us: list[float] = []

    def _arrive(self, client_request: ClientRequest, arrivals: Any) -> None:
        self.work_us.append(client_request.work_us)
        super()._arrive(client_request, arrivals)


def mean_wait(scenario: Scenario, policy: str, seed: int) -> tuple[float, float]:
    """Returns the mean wait in units of the mean work, and the utilisation that the sampled arrivals cause.

    Theory is evaluated for the sampled utilisation, not the configured one, which removes most of the random
    error.
    """
    simulation = WorkRecordingSimulation(scenario, seed, POLICIES[policy])
    simulation.run()
    work_us = math.fsum(simulation.work_us) / len(simulation.work_us)
    utilisation = work_us * len(simulation.work_us) / (scenario.seconds * 1e6 * simulation.capacity)
    assert simulation.recorder.total.request_count == simulation.recorder.latency.get_total_count() > 0
    return simulation.recorder.latency.get_mean_value() / work_us - 1.0, utilisation


def erlang_c(servers: int, load: float) -> float:
    """Returns the probability of waiting in M/M/c with this load in erlangs (Erlang, 1917)."""
    blocking_probability = 1.0
    for count in range(1, servers + 1):
        blocking_probability = load * blocking_probability / (count + load * blocking_probability)
    return blocking_probability / (1.0 - load / servers * (1.0 - blocking_probability))


@pytest.mark.xdist_group("queueing theory")
def test_simulation_waiting_times_agree_with_erlang_c() -> None:
    cores = 4
    scenario = make_scenario(
        seconds=3_000.0, classes=[LONG_DEADLINE_CLASS], load={"utilisation": 0.7},
        fleet={"servers": 1, "sidecars": 1, "queue_per_core": 1_000_000,
               "kinds": [{"name": "k", "cores": cores}]}, **NO_DELAYS,
    )  # fmt: skip
    runs = run_in_processes(mean_wait, [(scenario, "random", seed) for seed in (1, 2, 3)])
    expected = [
        erlang_c(cores, cores * utilisation) / (cores * (1.0 - utilisation)) for _, utilisation in runs
    ]
    assert sum(wait for wait, _ in runs) == pytest.approx(sum(expected), rel=0.03)


@pytest.mark.xdist_group("queueing theory")
def test_simulation_waiting_times_of_two_choices_agree_with_mean_field_limit() -> None:
    # Mitzenmacher's limit: the mean time is the sum of utilisation ** (2 ** i - 2) over i from 1.
    scenario = make_scenario(
        seconds=120.0, classes=[LONG_DEADLINE_CLASS], load={"utilisation": 0.8},
        fleet={"servers": 200, "sidecars": 1, "queue_per_core": 1_000_000,
               "kinds": [{"name": "k", "cores": 1}]}, **NO_DELAYS,
    )  # fmt: skip
    short_scenario = msgspec.structs.replace(scenario, seconds=40.0)
    (wait, utilisation), (random_wait, _) = run_in_processes(
        mean_wait, [(scenario, "least-of-2", 1), (short_scenario, "random", 1)]
    )
    assert wait == pytest.approx(sum(utilisation ** (2**i - 2) for i in range(2, 12)), rel=0.03)
    # With random choice each server is M/M/1 and waits are much longer: the test distinguishes policies.
    assert random_wait > 2.0 * wait


# One server without a simulation


def make_server(**fleet_changes: Any) -> OrderServer:
    scenario = make_scenario(fleet={"servers": 1, "kinds": [{"name": "k", "cores": 2}], **fleet_changes})
    server = fleet.build_servers(scenario, 1, HistoryChecker(scenario))[0]
    server._on_job_started = lambda *_: False
    return server


def make_job(number: int = 1, work_us: float = 100_000.0, key: int | None = None) -> Job:
    return Job(number, 0, work_us, 20_000.0, key)


def test_server_rejects_jobs_with_full_queue_until_one_is_cancelled() -> None:
    server = make_server(queue_per_core=1)
    jobs = [make_job(number) for number in range(6)]
    results = [server.receive_job(0, each, 1.0)[0] for each in jobs]
    assert results == [AdmissionResult.ACCEPTED] * 4 + [AdmissionResult.REJECTED] * 2
    server.cancel_job(10, jobs[2])
    assert server.receive_job(10, make_job(7), 1.0)[0] is AdmissionResult.ACCEPTED
    started = server.finish_job(100_000, jobs[0])
    assert started == [jobs[3]]
    assert jobs[2].state is JobState.ENDED


def test_server_with_long_queue_is_overloaded_until_lightly_used() -> None:
    overload = {"at": 2.0, "over_s": 1.0, "slower": 3.0, "rest_s": 1.0, "below": 0.5, "most_s": 60.0}
    server = make_server(choke=overload)
    # Two run and five wait, which is more than two for each core.
    jobs = [make_job(number) for number in range(7)]
    for each in jobs:
        server.receive_job(0, each, 1.0)
    # Four wait, which is not more than two for each core, so the queue does not count as long any more.
    server.finish_job(999_999, jobs[0])
    assert not server.is_overloaded
    later_jobs = [make_job(number) for number in range(10, 13)]
    for each in later_jobs:
        server.receive_job(1_000_000, each, 1.0)
    server.receive_job(1_999_999, make_job(20), 1.0)
    assert not server.is_overloaded
    server.receive_job(2_000_000, make_job(21), 1.0)
    assert server.is_overloaded
    assert server.current_speed(2_000_000) == pytest.approx(server.speed / 3.0)
    for each in [*server._running, *server._queue]:
        server.cancel_job(3_000_000, each)
    running_job = make_job(30)
    # One busy core of two is not below half, so the cores are not lightly used.
    server.receive_job(3_500_000, running_job, 1.0)
    server.finish_job(3_800_000, running_job)
    server.reported_queue(4_799_999)
    assert server.is_overloaded
    server.reported_queue(4_800_000)
    assert not server.is_overloaded
    assert server.overloaded_us == 2_800_000


def test_server_warms_up_linearly_and_fails_if_overloaded_meanwhile() -> None:
    server = make_server(cold_from=0.2, cold_s=10.0, cold_spread=0.0, fall_multiple=2.0, fall_s=1.0)
    failures: list[dict[int, float]] = []
    server.on_warm_up_failed = lambda server, started_at, work_by_sidecar: failures.append(work_by_sidecar)
    server.crash(0)
    server.start(1_000_000)
    factors = [server.warm_up_factor(1_000_000 + s * 1_000_000) for s in (0, 5, 10, 99)]
    assert factors == pytest.approx([0.2, 0.6, 1.0, 1.0])
    # It bears twice the capacity of 2 cores at a fifth for a second (0.8 s of work), and a tolerance of three
    # mean requests (20 ms each).
    for number in range(43):
        server.receive_job(1_000_000, make_job(number), 1.0)
    assert not server.has_failed_warm_up
    server.receive_job(1_000_000, make_job(50), 1.0)
    assert server.has_failed_warm_up
    assert failures[0][0] == pytest.approx(44 * 20_000)
    assert server.receive_job(1_000_001, make_job(51), 1.0)[0] is AdmissionResult.NO_RESPONSE


def test_server_needs_less_work_for_recently_used_key() -> None:
    server = make_server(affinity={"gain": 0.5, "span_s": 2.0, "keys_per_core": 1})
    durations_us = []
    for now, key in ((0, 1), (200_000, 1), (400_000, 2), (600_000, 3), (800_000, 1), (3_000_000, 1)):
        each = make_job(key=key)
        server.receive_job(now, each, 1.0)
        durations_us.append(each.finishes_at - now)
        server.finish_job(each.finishes_at, each)
    # The second use of key 1 is recent; two newer keys displaced it before its third; its fourth is too late.
    assert durations_us == [100_000, 50_000, 100_000, 100_000, 100_000, 100_000]


def test_server_loses_jobs_accepted_while_hanging_and_crash_returns_running_ones() -> None:
    server = make_server()
    first, second = make_job(1), make_job(2)
    server.receive_job(0, first, 1.0)
    server.hang(10)
    assert server.receive_job(20, second, 1.0) == (AdmissionResult.NO_RESPONSE, [])
    server.resume(30)
    assert second.state is JobState.ENDED
    assert first.state is JobState.RUNNING
    assert server.crash(40) == [first]
    assert not server.is_up
