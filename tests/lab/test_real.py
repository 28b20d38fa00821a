"""Runs in real time with sidecars on loopback sockets; the history checker finds broken sidecars."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from small_scenarios import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, make_scenario

from tulipnotch.lab import results
from tulipnotch.lab.real import play
from tulipnotch.lab.real.overhead import FORWARDER_COMMAND, light_scenario, measure_cost
from tulipnotch.lab.scenario import Expectation

pytestmark = pytest.mark.alone

BROKEN_SIDECAR = Path(__file__).parent / "broken_sidecar.py"
CRASH = [{"kind": "crash", "at_s": 0.5, "for_s": 0.8, "part": 0.4}]
DRAIN = [{"kind": "drain", "at_s": 0.5, "for_s": 0.5, "part": 0.4, "back_s": 30.0}]
DISCOVERY_DELAYS = {"add_notice_s": 0.2, "crash_notice_s": 1.0}


def sidecar_command(defect: str) -> tuple[str, ...]:
    return (sys.executable, str(BROKEN_SIDECAR), defect)


@pytest.mark.parametrize(
    ("defect", "rule", "text", "seconds", "changes"),
    [
        ("lose_requests", "answers", "got no response", 3.0, {}),
        ("invent_responses", "answers", "that no server generated", 3.0, {}),
        (
            "duplicate_attempts",
            "effects",
            "took effect again",
            3.0,
            {"classes": [NON_IDEMPOTENT_CLASS, IDEMPOTENT_CLASS]},
        ),
        (
            "ignore_draining",
            "drains",
            "ms after notice of its drain",
            3.0,
            {"faults": DRAIN, "classes": [{**IDEMPOTENT_CLASS, "deadline_ms": 3e3}]},
        ),
        # Two servers restart at 1.3 s, and the sidecars are notified after that.  A server can be overloaded
        # for as long as it warms up, so a busy machine may take the rest of the run.  The whole load is far
        # more than one server bears.
        (
            "prefer_newest",
            "cold",
            "was overloaded while warming up",
            6.0,
            {"faults": CRASH, "classes": [IDEMPOTENT_CLASS, KEYED_CLASS], "load": {"utilisation": 0.4}},
        ),
    ],
)
def test_history_checker_finds_violations_of_broken_sidecar_only(
    defect: str, rule: str, text: str, seconds: float, changes: dict[str, Any]
) -> None:
    scenario = make_scenario(
        seconds=seconds, **{"load": {"utilisation": 0.25}, "discovery": DISCOVERY_DELAYS, **changes}
    )
    run = play.run_seed(scenario, 1, command=sidecar_command(defect))
    assert run.metrics[f"rules.{rule}"] > 0 and text in run.violations[rule][0], run.violations
    if rule in ("drains", "cold"):  # tests below run the scenarios of the other rules without a defect
        correct = play.run_seed(scenario, 1, command=sidecar_command("none"))
        assert correct.metrics["rules.broken"] == 0, correct.violations


def test_virtual_and_real_time_have_same_requests_and_similar_metrics(tmp_path: Path) -> None:
    path = tmp_path / "both.toml"
    path.write_text(
        'name = "both"\nextends = "calm"\nseconds = 6.0\nwarmup_s = 1.0\nexpect = ["rules.broken = 0"]\n'
        '[[faults]]\nkind = "restart"\nat_s = 3.0\nfor_s = 1.0\npart = 0.25\n'
    )
    metrics = {}
    for time_mode in ("virtual", "real"):
        completed = subprocess.run(
            [sys.executable, "-c", "from tulipnotch.cli import main; main()", "lab", "run", str(path),
             "--time", time_mode, "--out", str(tmp_path / time_mode), "--json"],
            capture_output=True, text=True, check=False,
        )  # fmt: skip
        assert completed.returncode == 0, completed.stdout + completed.stderr
        summary = json.loads(completed.stdout)
        assert Path(summary["report"]).read_text().count("<svg") == 4
        metrics[time_mode] = summary["metrics"]
    virtual, real = metrics["virtual"], metrics["real"]
    assert virtual["requests"] == real["requests"] > 500
    assert real["worth"] == pytest.approx(virtual["worth"], abs=0.03)
    assert real["attempts_per_request"] == pytest.approx(virtual["attempts_per_request"], abs=0.05)
    assert real["latency.p50_ms"] == pytest.approx(virtual["latency.p50_ms"], rel=0.5)


def test_run_is_invalid_if_load_generator_was_late() -> None:
    scenario = make_scenario(expect=["rules.broken = 0"])
    lateness_ms = {"p50": 0.1, "p99": play.MAX_LATENESS_MS + 1.0, "max": 99.0}
    load_results: dict[str, Any] = {"records": [], "ended": [], "late": lateness_ms}
    observations: dict[str, Any] = {"records": [], "counts": {}, "timeline": [], "rows": {}, "choked_us": 0}
    run = play._build_run(scenario, 1, 1.0, load_results, observations, [], "")
    assert "late at its 99th percentile" in run.invalid
    result = results.Result(
        scenario="x", about="", time="real", policy="module", seconds=1.0, warmup_s=0.0, runs=[run]
    )
    assert Expectation.parse("rules.broken = 0").holds(run.metrics)
    assert not result.holds
    lateness_ms["p99"] = play.MAX_LATENESS_MS
    assert play._build_run(scenario, 1, 1.0, load_results, observations, [], "").invalid == ""


def test_run_fails_if_sidecar_exits_at_start(tmp_path: Path) -> None:
    with pytest.raises(play.PlatformError, match="sidecar 0 exited with 3: this is the end"):
        play.run_seed(
            make_scenario(),
            1,
            command=(sys.executable, "-c", "import sys; print('this is the end'); sys.exit(3)"),
        )


def test_up_serves_until_ctrl_c_and_stops_all_processes() -> None:
    process = subprocess.Popen(
        [sys.executable, "-c", "from tulipnotch.cli import main; main()", "lab", "up", "calm"],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True,
    )  # fmt: skip
    assert process.stdout is not None
    rows = []
    for line in process.stdout:
        if line.startswith("{"):
            rows.append(json.loads(line))
            if sum(each["completed"] for each in rows[-1]["sidecars"].values()) > 20:
                break
    assert len(rows) < 60
    folder = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    children = [int(each) for each in folder.read_text().split()]
    assert len(children) >= 6  # four sidecars, the test servers, the load generator
    os.kill(process.pid, signal.SIGINT)
    out, err = process.communicate(timeout=60)
    assert (
        process.returncode == 0 and out.endswith("all processes have stopped\n") and "Traceback" not in err
    ), err
    deadline = time.monotonic() + 20.0
    while remaining := [each for each in children if Path(f"/proc/{each}").exists()]:
        assert time.monotonic() < deadline, remaining
        time.sleep(0.01)


def test_cost_of_forwarder_is_measured() -> None:
    cost = measure_cost(light_scenario(100.0, 1.5), 1, FORWARDER_COMMAND)
    assert cost.requests > 80
    assert cost.cpu_us >= 0.0
    assert cost.p50_ms > 0.5
