"""The model is right: it agrees with queueing theory, and its servers do what the page says."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from side_by_side import side_by_side
from worlds import world

from tulipnotch.lab import fleet
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import ClientRequest
from tulipnotch.lab.policies import POLICIES
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import AdmissionResult, Job, JobState, OrderServer
from tulipnotch.lab.virtual import PolicyFactory, Simulation

QUIET = {
    "network": dict.fromkeys(("same_ms", "cross_ms", "client_ms", "handshake_work_ms"), 0.0)
    | {"handshake_rtts": 0},
    "clients": {"retries": 0, "try_share": 1.0},
    "warmup_s": 20.0,
}  # fmt: skip
PATIENT = {"name": "x", "work_ms": 100.0, "dist": "exponential", "aim_ms": 9e5, "deadline_ms": 9e5}


class WorkRecordingSimulation(Simulation):
    """A simulation that records the work of all arrivals."""

    def __init__(self, given: Scenario, seed: int, make_policy: PolicyFactory) -> None:
        super().__init__(given, seed, make_policy)
        self.work_us: list[float] = []

    def _arrive(self, client_request: ClientRequest, arrivals: Any) -> None:
        self.work_us.append(client_request.work_us)
        super()._arrive(client_request, arrivals)


def mean_wait(given: Scenario, policy: str, seed: int) -> tuple[float, float]:
    """In units of the mean work, and the load as it was drawn, in parts of the capacity.

    Theory is asked about the load that came, not the one that was meant: that takes most of the chance out.
    """
    run = WorkRecordingSimulation(given, seed, POLICIES[policy])
    run.run()
    work_us = math.fsum(run.work_us) / len(run.work_us)
    busy = work_us * len(run.work_us) / (given.seconds * 1e6 * run.capacity)
    assert run.recorder.total.request_count == run.recorder.latency.get_total_count() > 0
    return run.recorder.latency.get_mean_value() / work_us - 1.0, busy


def erlang_c(servers: int, load: float) -> float:
    """The chance to wait in M/M/c with this load in erlangs (Erlang, 1917)."""
    blocked = 1.0
    for count in range(1, servers + 1):
        blocked = load * blocked / (count + load * blocked)
    return blocked / (1.0 - load / servers * (1.0 - blocked))


@pytest.mark.xdist_group("queueing theory")
def test_waiting_times_agree_with_erlang_c() -> None:
    cores = 4
    given = world(
        seconds=3_000.0, classes=[PATIENT], load={"utilisation": 0.7},
        fleet={"servers": 1, "sidecars": 1, "queue_per_core": 1_000_000,
               "kinds": [{"name": "k", "cores": cores}]}, **QUIET,
    )  # fmt: skip
    runs = side_by_side(mean_wait, [(given, "random", seed) for seed in (1, 2, 3)])
    expected = [erlang_c(cores, cores * busy) / (cores * (1.0 - busy)) for _, busy in runs]
    assert sum(wait for wait, _ in runs) == pytest.approx(sum(expected), rel=0.03)


@pytest.mark.xdist_group("queueing theory")
def test_two_choices_agree_with_the_mean_field() -> None:
    # Mitzenmacher's limit: the mean time is the sum of busy ** (2 ** i - 2) over i from 1.
    given = world(
        seconds=120.0, classes=[PATIENT], load={"utilisation": 0.8},
        fleet={"servers": 200, "sidecars": 1, "queue_per_core": 1_000_000,
               "kinds": [{"name": "k", "cores": 1}]}, **QUIET,
    )  # fmt: skip
    short = msgspec.structs.replace(given, seconds=40.0)
    (wait, busy), (at_random, _) = side_by_side(mean_wait, [(given, "least-of-2", 1), (short, "random", 1)])
    assert wait == pytest.approx(sum(busy ** (2**i - 2) for i in range(2, 12)), rel=0.03)
    # Random choice is M/M/1 at each server, and far from it: the test tells policies apart.
    assert at_random > 2.0 * wait


# One server by itself


def server(**fleet_changes: Any) -> OrderServer:
    given = world(fleet={"servers": 1, "kinds": [{"name": "k", "cores": 2}], **fleet_changes})
    found = fleet.build_servers(given, 1, HistoryChecker(given))[0]
    found._on_job_started = lambda *_: False
    return found


def job(number: int = 1, work_us: float = 100_000.0, key: int | None = None) -> Job:
    return Job(number, 0, work_us, 20_000.0, key)


def test_a_full_room_turns_away_unseen_and_a_cancelled_place_is_free_again() -> None:
    one = server(queue_per_core=1)
    jobs = [job(number) for number in range(6)]
    verdicts = [one.receive_job(0, each, 1.0)[0] for each in jobs]
    assert verdicts == [AdmissionResult.ACCEPTED] * 4 + [AdmissionResult.REJECTED] * 2
    one.cancel_job(10, jobs[2])
    assert one.receive_job(10, job(7), 1.0)[0] is AdmissionResult.ACCEPTED
    begun = one.finish_job(100_000, jobs[0])
    assert begun == [jobs[3]]
    assert jobs[2].state is JobState.ENDED


def test_a_crowded_server_chokes_and_gets_well_only_when_it_rests() -> None:
    choke = {"at": 2.0, "over_s": 1.0, "slower": 3.0, "rest_s": 1.0, "below": 0.5, "most_s": 60.0}
    one = server(choke=choke)
    jobs = [job(number) for number in range(7)]  # two run, five wait: more than two a core
    for each in jobs:
        one.receive_job(0, each, 1.0)
    one.finish_job(999_999, jobs[0])  # four wait, which is not more than two a core: it starts anew
    assert not one.is_overloaded
    late = [job(number) for number in range(10, 13)]
    for each in late:
        one.receive_job(1_000_000, each, 1.0)
    one.receive_job(1_999_999, job(20), 1.0)
    assert not one.is_overloaded
    one.receive_job(2_000_000, job(21), 1.0)
    assert one.is_overloaded
    assert one.current_speed(2_000_000) == pytest.approx(one.speed / 3.0)
    for each in [*one._running, *one._queue]:
        one.cancel_job(3_000_000, each)
    busy = job(30)
    one.receive_job(3_500_000, busy, 1.0)  # one of two slots busy is not below half: no rest
    one.finish_job(3_800_000, busy)
    one.reported_queue(4_799_999)
    assert one.is_overloaded
    one.reported_queue(4_800_000)
    assert not one.is_overloaded
    assert one.overloaded_us == 2_800_000


def test_a_cold_server_warms_evenly_and_falls_over_when_pushed() -> None:
    one = server(cold_from=0.2, cold_s=10.0, cold_spread=0.0, fall_multiple=2.0, fall_s=1.0)
    fallen: list[dict[int, float]] = []
    one.on_warm_up_failed = lambda server, started_at, by: fallen.append(by)
    one.crash(0)
    one.start(1_000_000)
    warmths = [one.warm_up_factor(1_000_000 + s * 1_000_000) for s in (0, 5, 10, 99)]
    assert warmths == pytest.approx([0.2, 0.6, 1.0, 1.0])
    # 2 cores at a fifth, twice that for a second: 0.8 s of work, and three mean requests (20 ms) for chance.
    for number in range(43):
        one.receive_job(1_000_000, job(number), 1.0)
    assert not one.has_failed_warm_up
    one.receive_job(1_000_000, job(50), 1.0)
    assert one.has_failed_warm_up
    assert fallen[0][0] == pytest.approx(44 * 20_000)
    assert one.receive_job(1_000_001, job(51), 1.0)[0] is AdmissionResult.NO_RESPONSE


def test_a_key_met_lately_costs_less() -> None:
    one = server(affinity={"gain": 0.5, "span_s": 2.0, "keys_per_core": 1})
    spans = []
    for now, key in ((0, 1), (200_000, 1), (400_000, 2), (600_000, 3), (800_000, 1), (3_000_000, 1)):
        each = job(key=key)
        one.receive_job(now, each, 1.0)
        spans.append(each.finishes_at - now)
        one.finish_job(each.finishes_at, each)
    # Known; forgotten for two newer keys; known, but too long ago.
    assert spans == [100_000, 50_000, 100_000, 100_000, 100_000, 100_000]


def test_what_a_hanging_server_swallowed_is_lost_and_a_crash_names_all_it_had() -> None:
    one = server()
    first, second = job(1), job(2)
    one.receive_job(0, first, 1.0)
    one.hang(10)
    assert one.receive_job(20, second, 1.0) == (AdmissionResult.NO_RESPONSE, [])
    one.resume(30)
    assert second.state is JobState.ENDED
    assert first.state is JobState.RUNNING
    assert one.crash(40) == [first]
    assert not one.is_up
