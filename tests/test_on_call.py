"""The on-call page lists every log event and metric; modules of load balancing have a maximum size."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

from tulipnotch.load_balancing.health.outlier_detection import FAILURES, UNRESPONSIVE
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import Telemetry
from tulipnotch.sidecar.logs import EVENTS

ROOT = Path(__file__).parent.parent
DEPLOYED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
MODULES = {
    each.relative_to(ROOT).as_posix() for each in (ROOT / "tulipnotch" / "load_balancing").rglob("*.py")
}
SOURCES = {each: (ROOT / each).read_text(encoding="utf-8") for each in sorted(MODULES)}
MAX_MODULE_LINES = 300  # non-blank lines of a module of load balancing
MAX_LINE_LENGTH = 110


def test_on_call_page_has_every_event_of_load_balancing() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    source = "".join(text for name, text in SOURCES.items() if not name.endswith("/actions.py"))
    written = re.findall(r'LogEvent\("(\w+)", ', source)
    assert sorted(set(written)) == ["ejected", "readmitted"]
    assert source.count("LogEvent(") == len(written)
    for event in written:
        assert event in EVENTS
        assert f"`{event} SERVER" in page
    for reason in [UNRESPONSIVE, Outcome.MALFORMED_RESPONSE.value, *(each.value for each in FAILURES)]:
        assert f"`ejected S: {reason}`" in page


def test_on_call_page_has_every_reason_for_an_ejection() -> None:
    # All ejections go through `_eject`.  Their reasons are an unresponsive server, a malformed response, and
    # the outcomes that are failures.
    reasons = set(re.findall(r"\._eject\(endpoint, ([\w.]+)", "".join(SOURCES.values())))
    assert reasons == {"UNRESPONSIVE", "Outcome.MALFORMED_RESPONSE.value", "outcome.value"}
    detection = SOURCES["tulipnotch/load_balancing/health/outlier_detection.py"]
    (condition,) = re.findall(r"elif (.*):\n +self\._failed\(", detection)
    assert condition == "outcome in FAILURES"
    failing = detection[detection.index("def _failed") : detection.index("def eject_unresponsive")]
    assert detection.count("self._eject(endpoint, outcome.value)") == 1
    assert failing.count("self._eject(endpoint, outcome.value)") == 1


def test_modules_of_load_balancing_do_not_exceed_their_maximum_size() -> None:
    sizes = {name: sum(1 for line in text.splitlines() if line.strip()) for name, text in SOURCES.items()}
    assert [name for name, size in sizes.items() if size > MAX_MODULE_LINES] == []
    for name, text in SOURCES.items():
        assert max(len(line) for line in text.splitlines()) <= MAX_LINE_LENGTH, name


def test_deployment_names_every_module_of_load_balancing_once() -> None:
    node = [each for each in DEPLOYED["node"] if each.startswith("tulipnotch/load_balancing")]
    assert sorted([*DEPLOYED["policy"], *node]) == sorted(MODULES)
    assert all((ROOT / each).exists() for each in DEPLOYED["node"])


def test_on_call_page_has_every_event_and_message_of_the_sidecar() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    folder = ROOT / "tulipnotch" / "sidecar"
    source = "".join(each.read_text(encoding="utf-8") for each in folder.rglob("*.py"))
    written = set(re.findall(r'\b_?log\(\s*"(\w+)"', source))
    assert written | {"ejected", "readmitted", "log_lines_dropped"} == EVENTS.keys()
    for name, form in EVENTS.items():
        assert f"| `{name}` |" in page, name
        fixed = max(re.split(r"\{[^}]*\}", form.text), key=len).strip(" :")
        assert fixed, form.text
        assert fixed in page, form.text
    for text in re.findall(r'print\(f"(tulipnotch: [^"]*)"', source):
        assert max(re.split(r"\{[^}]*\}", text), key=len).strip(" :") in page, text


def test_on_call_page_has_every_metric_of_the_control_endpoint() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    rows = [each.split("|")[1] for each in page.splitlines() if each.startswith("| `app.")]
    documented = set(re.findall(r"`(?:app)?\.([\w.]+)`", " ".join(rows)))
    source = (ROOT / "tulipnotch" / "sidecar" / "control_commands.py").read_text(encoding="utf-8")
    gauges = dict.fromkeys(
        re.findall(r'"(\w+)": \w', source[source.index("gauges = {") :].split("return")[0]), 0
    )
    names = [each.partition("=")[0].removeprefix("app.") for each in Telemetry(["C"]).render_metrics(gauges)]
    prefix = "downstream_requests.C."  # the page gives this prefix only with the first metric of the class
    assert {
        each if each == f"{prefix}completed" else each.removeprefix(prefix) for each in names
    } == documented
