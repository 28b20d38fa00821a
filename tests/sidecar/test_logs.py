"""The log: its rate limit, and the same events in both formats."""

from __future__ import annotations

import io
import json

import pytest

from tulipnotch.sidecar.logs import EVENTS, LineLog, LogFormat, LogLimits, Severity

LIMITS = LogLimits(lines_per_s=1.0, burst_lines=3.0)


def _lines_of_an_overflow(log_format: LogFormat) -> list[str]:
    """The lines of a log that drops seven events, then has another one a second later."""
    now = [0.0]
    stream = io.StringIO()
    log = LineLog(log_format, LIMITS, stream, lambda: now[0])
    for number in range(10):
        log("readmitted", server=f"s-{number}")
    assert stream.getvalue().count("\n") == 3
    now[0] = 1.0
    log("ejected", server="s-1", reason="two\nlines")
    return stream.getvalue().splitlines()


def test_text_log_drops_and_counts_lines_over_its_limit() -> None:
    lines = _lines_of_an_overflow(LogFormat.TEXT)
    assert lines[3:] == ["dropped 7 log lines", "ejected s-1: two lines"]


def test_json_log_drops_and_counts_lines_over_its_limit() -> None:
    events = [json.loads(each) for each in _lines_of_an_overflow(LogFormat.JSON)[3:]]
    assert [(each["event"], each["level"]) for each in events] == [
        ("log_lines_dropped", "warning"),
        ("ejected", "warning"),
    ]
    assert events[0]["count"] == 7
    assert events[1]["reason"] == "two\nlines"


@pytest.mark.parametrize("log_format", list(LogFormat))
def test_log_raises_for_an_event_that_is_not_listed(log_format: LogFormat) -> None:
    with pytest.raises(KeyError):
        LineLog(log_format, stream=io.StringIO())("surprise")


def test_severities_are_those_that_operators_know() -> None:
    assert {each.value for each in Severity} == {"info", "warning", "error"}
    assert all(form.severity in ("info", "warning", "error") for form in EVENTS.values())
