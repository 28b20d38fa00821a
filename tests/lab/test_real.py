"""Real time: real sidecar processes on loopback sockets, and a judge that catches the broken ones."""

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
from worlds import KEYED, SAFE, UNSAFE, world

from tulipnotch.lab import results
from tulipnotch.lab.real import play
from tulipnotch.lab.real.overhead import FORWARDER_COMMAND, light_scenario, measure_cost
from tulipnotch.lab.scenario import Expectation

pytestmark = pytest.mark.alone

BROKEN = Path(__file__).parent / "broken_sidecar.py"
CRASH = [{"kind": "crash", "at_s": 0.5, "for_s": 0.8, "part": 0.4}]
DRAIN = [{"kind": "drain", "at_s": 0.5, "for_s": 0.5, "part": 0.4, "back_s": 30.0}]
NOTICES = {"add_notice_s": 0.2, "crash_notice_s": 1.0}


def command(defect: str) -> tuple[str, ...]:
    return (sys.executable, str(BROKEN), defect)


@pytest.mark.parametrize(
    ("defect", "rule", "words", "seconds", "changes"),
    [
        ("forgets", "answers", "got no response", 3.0, {}),
        ("invents", "answers", "that no server generated", 3.0, {}),
        ("doubles", "effects", "took effect again", 3.0, {"classes": [UNSAFE, SAFE]}),
        (
            "deaf",
            "drains",
            "ms after notice of its drain",
            3.0,
            {"faults": DRAIN, "classes": [{**SAFE, "deadline_ms": 3e3}]},
        ),
        # Two servers come back at 1.3 s, and the sidecars receive word of it after that; a server can be
        # pushed over for as long as it is cold, so the rest of the play is what a busy machine may take.
        # The load is such that all of it is far more than one server bears.
        (
            "rushes",
            "cold",
            "was overloaded while warming up",
            6.0,
            {"faults": CRASH, "classes": [SAFE, KEYED], "load": {"utilisation": 0.4}},
        ),
    ],
)
def test_a_sidecar_with_a_defect_is_caught_and_a_sound_one_is_not(
    defect: str, rule: str, words: str, seconds: float, changes: dict[str, Any]
) -> None:
    given = world(seconds=seconds, **{"load": {"utilisation": 0.25}, "discovery": NOTICES, **changes})
    run = play.run_seed(given, 1, command=command(defect))
    assert run.metrics[f"rules.{rule}"] > 0 and words in run.violations[rule][0], run.violations
    if rule in ("drains", "cold"):  # the others' worlds are those of the runs below
        sound = play.run_seed(given, 1, command=command("none"))
        assert sound.metrics["rules.broken"] == 0, sound.violations


def test_one_scenario_in_both_times_asks_the_same_and_agrees(tmp_path: Path) -> None:
    path = tmp_path / "both.toml"
    path.write_text(
        'name = "both"\nextends = "calm"\nseconds = 6.0\nwarmup_s = 1.0\nexpect = ["rules.broken = 0"]\n'
        '[[faults]]\nkind = "restart"\nat_s = 3.0\nfor_s = 1.0\npart = 0.25\n'
    )
    found = {}
    for kind in ("virtual", "real"):
        done = subprocess.run(
            [sys.executable, "-c", "from tulipnotch.cli import main; main()", "lab", "run", str(path),
             "--time", kind, "--out", str(tmp_path / kind), "--json"],
            capture_output=True, text=True, check=False,
        )  # fmt: skip
        assert done.returncode == 0, done.stdout + done.stderr
        told = json.loads(done.stdout)
        assert Path(told["report"]).read_text().count("<svg") == 4
        found[kind] = told["metrics"]
    virtual, real = found["virtual"], found["real"]
    assert virtual["requests"] == real["requests"] > 500
    assert real["worth"] == pytest.approx(virtual["worth"], abs=0.03)
    assert real["attempts_per_request"] == pytest.approx(virtual["attempts_per_request"], abs=0.05)
    assert real["latency.p50_ms"] == pytest.approx(virtual["latency.p50_ms"], rel=0.5)


def test_a_generator_that_ran_late_makes_the_run_not_valid() -> None:
    given = world(expect=["rules.broken = 0"])
    late = {"p50": 0.1, "p99": play.MAX_LATENESS_MS + 1.0, "max": 99.0}
    left: dict[str, Any] = {"records": [], "ended": [], "late": late}
    seen: dict[str, Any] = {"records": [], "counts": {}, "timeline": [], "rows": {}, "choked_us": 0}
    run = play._build_run(given, 1, 1.0, left, seen, [], "")
    assert "late at its 99th percentile" in run.invalid
    result = results.Result(
        scenario="x", about="", time="real", policy="module", seconds=1.0, warmup_s=0.0, runs=[run]
    )
    assert Expectation.parse("rules.broken = 0").holds(run.metrics)
    assert not result.holds
    late["p99"] = play.MAX_LATENESS_MS
    assert play._build_run(given, 1, 1.0, left, seen, [], "").invalid == ""


def test_a_sidecar_that_ends_by_itself_is_a_fault(tmp_path: Path) -> None:
    with pytest.raises(play.PlatformError, match="sidecar 0 exited with 3: this is the end"):
        play.run_seed(
            world(), 1, command=(sys.executable, "-c", "import sys; print('this is the end'); sys.exit(3)")
        )


def test_up_serves_until_ctrl_c_and_leaves_nothing_behind() -> None:
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
    assert len(children) >= 6  # four sidecars, the stand-ins, the clients
    os.kill(process.pid, signal.SIGINT)
    out, err = process.communicate(timeout=60)
    assert (
        process.returncode == 0 and out.endswith("all processes have stopped\n") and "Traceback" not in err
    ), err
    patience = time.monotonic() + 20.0
    while left := [each for each in children if Path(f"/proc/{each}").exists()]:
        assert time.monotonic() < patience, left
        time.sleep(0.01)


def test_the_forwarder_serves_and_its_cost_is_seen() -> None:
    cost = measure_cost(light_scenario(100.0, 1.5), 1, FORWARDER_COMMAND)
    assert cost.requests > 80
    assert cost.cpu_us >= 0.0
    assert cost.p50_ms > 0.5
