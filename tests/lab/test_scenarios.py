"""Scenario files are validated, those of the package are valid, and a run depends on its seed alone."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from small_scenarios import make_scenario

from tulipnotch.cli.root import root
from tulipnotch.lab import faults, load, play, scenario
from tulipnotch.lab.load import RequestOutcome
from tulipnotch.settings.check import InvalidFileError

SHORT_SCENARIO = (
    'name = "short"\nextends = "calm"\nseconds = 4.0\nwarmup_s = 0.5\nexpect = ["rules.broken = 0"]\n'
)


def write_scenario(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "scenario.toml"
    path.write_text(text)
    return path


def test_load_reports_all_faults_with_their_lines(tmp_path: Path) -> None:
    text = (
        'name = "bad name"\nextends = "calm"\nseconds = 10.0\n'
        'expect = [\n  "worth > 0.5",\n  "worht > 0.5",\n  "worth is 3",\n]\n'
        '[fleet]\nservrs = 3\n[[faults]]\nkind = "crush"\nat_s = 1.0\n'
    )
    with pytest.raises(InvalidFileError) as raised:
        scenario.load(write_scenario(tmp_path, text))
    faults_found = [str(each) for each in raised.value.faults]
    assert faults_found[0].startswith("line 1: name: ")
    assert faults_found[1] == "line 10: fleet.servrs: unknown key; did you mean servers?"
    assert faults_found[2].startswith("line 12: faults[0].kind: invalid enum value 'crush'")
    inconsistent = text.replace("bad name", "good").replace("servrs", "servers").replace("crush", "cut")
    with pytest.raises(InvalidFileError) as raised:
        scenario.load(write_scenario(tmp_path, inconsistent.replace("at_s = 1.0", "at_s = 99.0")))
    faults_found = [str(each) for each in raised.value.faults]
    assert any("worht is not a metric; did you mean worth?" in each for each in faults_found)
    assert any("is not an expectation" in each for each in faults_found)
    assert any("faults[0].at_s: must be before the end of the run" in each for each in faults_found)
    assert any("faults[0].zone: nothing is not a zone" in each for each in faults_found)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('extends = "clam"\n', "did you mean calm?"),
        ('extends = "calm"\nseconds = 1.0\nwarmup_s = 1.0\n', "warmup_s: must be less than seconds"),
        ('extends = "calm"\n[load]\nrate = 5.0\nutilisation = 0.5\n', "exactly one of utilisation and rate"),
        ('extends = "calm"\n[load]\nfactors = [[5.0, 1.0], [2.0, 3.0]]\n', "the seconds must increase"),
    ],
)
def test_load_rejects_inconsistent_keys(text: str, fault: str, tmp_path: Path) -> None:
    with pytest.raises(InvalidFileError, match=fault.replace("?", r"\?")):
        scenario.load(write_scenario(tmp_path, 'name = "x"\n' + text))


def test_shipped_scenarios_are_valid_and_at_least_twelve() -> None:
    shipped = scenario.shipped()
    assert len(shipped) >= 12
    for name, path in shipped.items():
        loaded = scenario.load(path)
        assert (loaded.name, bool(loaded.about), bool(loaded.expect)) == (name, True, True)
        assert faults.plan_fault_events(loaded, 1) == faults.plan_fault_events(loaded, 1)


def test_metric_names_are_those_of_a_run() -> None:
    loaded = make_scenario(seconds=2.0, tenants=[{"name": "t"}])
    assert play.run_seed(loaded, "module", 1).metrics.keys() == scenario.metric_names(loaded)


def test_run_of_same_seed_has_same_bytes_in_any_process(tmp_path: Path) -> None:
    path = write_scenario(tmp_path, SHORT_SCENARIO + '[[faults]]\nkind = "crash"\nat_s = 1.0\nfor_s = 1.0\n')
    folders = [tmp_path / "1", tmp_path / "2"]
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", "from tulipnotch.cli import main; main()", "lab", "run", str(path),
             "--seeds", "2", "--quiet", "--out", str(out), "--processes", out.name],
            stdout=subprocess.DEVNULL, env={**os.environ, "PYTHONHASHSEED": out.name},
        )
        for out in folders
    ]  # fmt: skip
    assert [each.wait(100) for each in runs] == [0, 0]
    outputs = [((out / "result.json").read_bytes(), (out / "report.html").read_bytes()) for out in folders]
    assert outputs[0] == outputs[1]
    assert outputs[0][0].count(b'"seed": ') == 2
    assert b"<svg" in outputs[0][1]


def test_run_exits_with_1_if_expectation_fails_and_with_2_on_invalid_file(tmp_path: Path) -> None:
    path = write_scenario(tmp_path, SHORT_SCENARIO.replace("rules.broken = 0", "worth > 2"))
    result = CliRunner().invoke(root, ["lab", "run", str(path), "--out", str(tmp_path / "out"), "--json"])
    assert result.exit_code == 1
    assert json.loads(result.stdout)["verdicts"][0]["holds"] is False
    assert CliRunner().invoke(root, ["lab", "run", "no-such"]).exit_code == 2
    assert CliRunner().invoke(root, ["check", str(path)]).output.endswith("a good scenario\n")


# The load


def test_generate_arrivals_repeats_for_same_seed_and_follows_rate() -> None:
    loaded = make_scenario(
        seconds=200.0, load={"shape": "wave", "swing": 0.5, "factors": [[0.0, 1.0], [100.0, 2.0]]}
    )
    arrivals = list(load.generate_arrivals(loaded, 3, 0, 50.0))
    repeated = list(load.generate_arrivals(loaded, 3, 0, 50.0))
    assert [(a.intended_at, a.key, a.work_us) for a in arrivals] == [
        (a.intended_at, a.key, a.work_us) for a in repeated
    ]
    early_count = sum(each.intended_at < 100_000_000 for each in arrivals)
    assert early_count == pytest.approx(5_000, rel=0.05)
    assert len(arrivals) - early_count == pytest.approx(10_000, rel=0.05)


@pytest.mark.parametrize("dist", ["lognormal", "exponential", "pareto", "constant"])
def test_sample_work_us_has_mean_of_class(dist: str) -> None:
    service_class = make_scenario(
        classes=[{"name": "x", "work_ms": 50.0, "work_cv": 0.8, "dist": dist}]
    ).classes[0]
    rng = load.random_stream(1, dist)
    mean_us = sum(load.sample_work_us(service_class, rng) for _ in range(40_000)) / 40_000
    assert mean_us == pytest.approx(50_000.0, rel=0.03)


def test_next_retry_at_allows_only_harmless_retries() -> None:
    loaded = make_scenario()
    for class_index, outcome, is_retried in (
        (0, RequestOutcome.FAILED, True), (0, RequestOutcome.REJECTED, True),
        (0, RequestOutcome.SERVED, False), (1, RequestOutcome.FAILED, False),
        (1, RequestOutcome.REJECTED, True), (1, RequestOutcome.DISCONNECTED, False),
    ):  # fmt: skip
        client_request = load.ClientRequest(
            1, 0, 0, loaded.classes[class_index], None, 1, 1.0, 0, True, try_count=1
        )
        retry_at = load.next_retry_at(client_request, outcome, 0, 1_000, loaded.clients, lambda: 0.5)
        assert (retry_at is not None) is is_retried
    client_request = load.ClientRequest(1, 0, 0, loaded.classes[0], None, 1, 1.0, 0, True, try_count=1)
    assert (
        load.next_retry_at(
            client_request, RequestOutcome.REJECTED, 300_000, 1_000, loaded.clients, lambda: 0.0
        )
        == 301_000
    )
    client_request.try_count = loaded.clients.retries + 1
    assert (
        load.next_retry_at(client_request, RequestOutcome.REJECTED, 0, 1_000, loaded.clients, lambda: 0.5)
        is None
    )
