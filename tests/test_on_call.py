"""Every log line that the module writes stands on the on-call page, and the module keeps its stated size."""

from __future__ import annotations

import re
from pathlib import Path

from tulipnotch.decisions.interface import Outcome
from tulipnotch.sidecar.logs import EVENTS
from tulipnotch.sidecar.telemetry import Telemetry

ROOT = Path(__file__).parent.parent
MODULE = (ROOT / "tulipnotch" / "decisions" / "balancer.py").read_text(encoding="utf-8")


def test_every_log_line_stands_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    written = re.findall(r'Note\("(\w+)", ', MODULE)
    assert sorted(set(written)) == ["ejected", "readmitted"]
    assert MODULE.count("Note(") == len(written)
    for word in written:
        assert word in EVENTS and f"`{word} SERVER" in page
    reasons = ["silent", "spoilt", *(each.value for each in Outcome if each.name in _ejecting())]
    for reason in reasons:
        assert f"`ejected S: {reason}`" in page


def _ejecting() -> list[str]:
    """The outcomes that `_judge` takes for failures."""
    judged = MODULE[MODULE.index("def _judge") : MODULE.index("def _eject")]
    listed = re.search(r"elif outcome in \((.*?)\)", judged)
    assert listed is not None
    return re.findall(r"Outcome\.(\w+)", listed[1])


def test_the_module_keeps_its_stated_size() -> None:
    lines = MODULE.splitlines()
    assert sum(1 for line in lines if line.strip()) <= 1_200
    assert max(len(line) for line in lines) <= 110


def test_every_event_and_message_of_the_sidecar_stands_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    folder = ROOT / "tulipnotch" / "sidecar"
    source = "".join(each.read_text(encoding="utf-8") for each in folder.glob("*.py"))
    written = set(re.findall(r'\b_?log\(\s*"(\w+)"', source))
    assert written | {"ejected", "readmitted", "left_out"} == EVENTS.keys()
    for name, form in EVENTS.items():
        assert f"| `{name}` |" in page, name
        fixed = max(re.split(r"\{[^}]*\}", form.text), key=len).strip(" :")
        assert fixed and fixed in page, form.text
    for text in re.findall(r'print\(f"(tulipnotch: [^"]*)"', source):
        assert max(re.split(r"\{[^}]*\}", text), key=len).strip(" :") in page, text


def test_every_figure_of_the_operators_door_stands_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
    rows = [each.split("|")[1] for each in page.splitlines() if each.startswith("| `app.")]
    shown = set(re.findall(r"`(?:app)?\.([\w.]+)`", " ".join(rows)))
    source = (ROOT / "tulipnotch" / "sidecar" / "sidecar.py").read_text(encoding="utf-8")
    gauges = dict.fromkeys(
        re.findall(r'"(\w+)": \w', source[source.index("gauges = {") :].split("return")[0]), 0
    )
    kept = [each.partition("=")[0].removeprefix("app.") for each in Telemetry(["C"]).lines(gauges)]
    first = "downstream_requests.C."  # the page gives the ends after the first by themselves
    assert {each if each == f"{first}completed" else each.removeprefix(first) for each in kept} == shown
