"""Scenario files: checked whole; the shipped ones are good, and a run is a function of its seed."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from worlds import world

from tulipnotch.cli.root import root
from tulipnotch.lab import faults, load, play, scenario
from tulipnotch.lab.load import RequestOutcome
from tulipnotch.settings.check import InvalidFileError

SHORT = 'name = "short"\nextends = "calm"\nseconds = 4.0\nwarmup_s = 0.5\nexpect = ["rules.broken = 0"]\n'


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "scenario.toml"
    path.write_text(text)
    return path


def test_all_faults_of_a_scenario_are_named_with_their_lines(tmp_path: Path) -> None:
    text = (
        'name = "bad name"\nextends = "calm"\nseconds = 10.0\n'
        'expect = [\n  "worth > 0.5",\n  "worht > 0.5",\n  "worth is 3",\n]\n'
        '[fleet]\nservrs = 3\n[[faults]]\nkind = "crush"\nat_s = 1.0\n'
    )
    with pytest.raises(InvalidFileError) as bad:
        scenario.load(write(tmp_path, text))
    told = [str(each) for each in bad.value.faults]
    assert told[0].startswith("line 1: name: ")
    assert told[1] == "line 10: fleet.servrs: unknown key; did you mean servers?"
    assert told[2].startswith("line 12: faults[0].kind: invalid enum value 'crush'")
    across = text.replace("bad name", "good").replace("servrs", "servers").replace("crush", "cut")
    with pytest.raises(InvalidFileError) as bad:
        scenario.load(write(tmp_path, across.replace("at_s = 1.0", "at_s = 99.0")))
    told = [str(each) for each in bad.value.faults]
    assert any("worht is not a metric; did you mean worth?" in each for each in told)
    assert any("is not an expectation" in each for each in told)
    assert any("faults[0].at_s: must be before the end of the run" in each for each in told)
    assert any("faults[0].zone: nothing is not a zone" in each for each in told)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ('extends = "clam"\n', "did you mean calm?"),
        ('extends = "calm"\nseconds = 1.0\nwarmup_s = 1.0\n', "warmup_s: must be less than seconds"),
        ('extends = "calm"\n[load]\nrate = 5.0\nutilisation = 0.5\n', "exactly one of utilisation and rate"),
        ('extends = "calm"\n[load]\nfactors = [[5.0, 1.0], [2.0, 3.0]]\n', "the seconds must increase"),
    ],
)
def test_nonsense_across_keys_is_a_fault(text: str, told: str, tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match=told.replace("?", r"\?")):
        scenario.load(write(tmp_path, 'name = "x"\n' + text))


def test_at_least_twelve_scenarios_are_shipped_and_every_one_is_good() -> None:
    shipped = scenario.shipped()
    assert len(shipped) >= 12
    for name, path in shipped.items():
        given = scenario.load(path)
        assert (given.name, bool(given.about), bool(given.expect)) == (name, True, True)
        assert faults.plan_fault_events(given, 1) == faults.plan_fault_events(given, 1)


def test_metrics_that_may_be_expected_are_those_that_a_run_yields() -> None:
    given = world(seconds=2.0, tenants=[{"name": "t"}])
    assert play.run_seed(given, "module", 1).metrics.keys() == scenario.metric_names(given)


def test_the_same_seed_gives_the_same_bytes_in_any_process(tmp_path: Path) -> None:
    path = write(tmp_path, SHORT + '[[faults]]\nkind = "crash"\nat_s = 1.0\nfor_s = 1.0\n')
    outs = [tmp_path / "1", tmp_path / "2"]
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", "from tulipnotch.cli import main; main()", "lab", "run", str(path),
             "--seeds", "2", "--quiet", "--out", str(out), "--processes", out.name],
            stdout=subprocess.DEVNULL, env={**os.environ, "PYTHONHASHSEED": out.name},
        )
        for out in outs
    ]  # fmt: skip
    assert [each.wait(100) for each in runs] == [0, 0]
    told = [((out / "result.json").read_bytes(), (out / "report.html").read_bytes()) for out in outs]
    assert told[0] == told[1]
    assert told[0][0].count(b'"seed": ') == 2
    assert b"<svg" in told[0][1]


def test_a_run_ends_with_1_if_an_expectation_fails_and_with_2_on_a_bad_file(tmp_path: Path) -> None:
    path = write(tmp_path, SHORT.replace("rules.broken = 0", "worth > 2"))
    told = CliRunner().invoke(root, ["lab", "run", str(path), "--out", str(tmp_path / "out"), "--json"])
    assert told.exit_code == 1
    assert json.loads(told.stdout)["verdicts"][0]["holds"] is False
    assert CliRunner().invoke(root, ["lab", "run", "no-such"]).exit_code == 2
    assert CliRunner().invoke(root, ["check", str(path)]).output.endswith("a good scenario\n")


# Load


def test_arrivals_do_not_depend_on_what_becomes_of_them_and_keep_their_rate() -> None:
    given = world(seconds=200.0, load={"shape": "wave", "swing": 0.5, "factors": [[0.0, 1.0], [100.0, 2.0]]})
    asks = list(load.generate_arrivals(given, 3, 0, 50.0))
    again = list(load.generate_arrivals(given, 3, 0, 50.0))
    assert [(a.intended_at, a.key, a.work_us) for a in asks] == [
        (a.intended_at, a.key, a.work_us) for a in again
    ]
    early = sum(each.intended_at < 100_000_000 for each in asks)
    assert early == pytest.approx(5_000, rel=0.05)
    assert len(asks) - early == pytest.approx(10_000, rel=0.05)


@pytest.mark.parametrize("dist", ["lognormal", "exponential", "pareto", "constant"])
def test_work_has_the_mean_that_the_scenario_says(dist: str) -> None:
    kind = world(classes=[{"name": "x", "work_ms": 50.0, "work_cv": 0.8, "dist": dist}]).classes[0]
    chance = load.random_stream(1, dist)
    mean = sum(load.draw_work_us(kind, chance) for _ in range(40_000)) / 40_000
    assert mean == pytest.approx(50_000.0, rel=0.03)


def test_clients_come_again_only_where_that_is_harmless() -> None:
    given = world()
    for class_index, outcome, is_retried in (
        (0, RequestOutcome.FAILED, True), (0, RequestOutcome.REJECTED, True),
        (0, RequestOutcome.SERVED, False), (1, RequestOutcome.FAILED, False),
        (1, RequestOutcome.REJECTED, True), (1, RequestOutcome.DISCONNECTED, False),
    ):  # fmt: skip
        client_request = load.ClientRequest(
            1, 0, 0, given.classes[class_index], None, 1, 1.0, 0, True, try_count=1
        )
        retry_at = load.next_retry_at(client_request, outcome, 0, 1_000, given.clients, lambda: 0.5)
        assert (retry_at is not None) is is_retried
    client_request = load.ClientRequest(1, 0, 0, given.classes[0], None, 1, 1.0, 0, True, try_count=1)
    assert (
        load.next_retry_at(
            client_request, RequestOutcome.REJECTED, 300_000, 1_000, given.clients, lambda: 0.0
        )
        == 301_000
    )
    client_request.try_count = given.clients.retries + 1
    assert (
        load.next_retry_at(client_request, RequestOutcome.REJECTED, 0, 1_000, given.clients, lambda: 0.5)
        is None
    )
