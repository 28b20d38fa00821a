"""The log: its rate limit, and its events in both formats."""

from __future__ import annotations

import io
import json

import pytest

from tulipnotch.sidecar.logs import EVENTS, LineLog, LogFormat, LogLimits, Severity

LIMITS = LogLimits(lines_per_s=1.0, burst_lines=3.0)


def _exceed_rate_limit(log_format: LogFormat) -> list[str]:
    """Logs ten events, of which the limit drops seven, and one more a second later; returns all lines."""
    now = [0.0]
    stream = io.StringIO()
    log = LineLog(log_format, LIMITS, stream, lambda: now[0])
    for number in range(10):
        log("readmitted", server=f"s-{number}")
    assert stream.getvalue().count("\n") == 3
    now[0] = 1.0
    log("ejected", server="s-1", reason="two\nlines")
    return stream.getvalue().splitlines()


def test_text_log_drops_and_counts_lines_above_its_limit() -> None:
    lines = _exceed_rate_limit(LogFormat.TEXT)
    assert lines[3:] == ["dropped 7 log lines", "ejected s-1: two lines"]


def test_json_log_drops_and_counts_lines_above_its_limit() -> None:
    events = [json.loads(each) for each in _exceed_rate_limit(LogFormat.JSON)[3:]]
    assert [(each["event"], each["level"]) for each in events] == [
        ("log_lines_dropped", "warning"),
        ("ejected", "warning"),
    ]
    assert events[0]["count"] == 7
    assert events[1]["reason"] == "two\nlines"


@pytest.mark.parametrize("log_format", list(LogFormat))
def test_log_raises_for_an_event_that_is_unknown(log_format: LogFormat) -> None:
    with pytest.raises(KeyError):
        LineLog(log_format, stream=io.StringIO())("unknown_event")


def test_severities_are_those_that_json_lines_may_contain() -> None:
    assert {each.value for each in Severity} == {"info", "warning", "error"}
    assert all(template.severity in ("info", "warning", "error") for template in EVENTS.values())
