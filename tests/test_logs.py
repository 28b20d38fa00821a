"""The log: bounded, and the same events in both forms."""

from __future__ import annotations

import io
import json

import pytest

from tulipnotch.sidecar.logs import EVENTS, Format, LineLog, LogLimits


@pytest.mark.parametrize("form", list(Format))
def test_too_many_lines_are_left_out_and_counted(form: Format) -> None:
    now = [0.0]
    out = io.StringIO()
    log = LineLog(form, LogLimits(lines_per_s=1.0, lines_at_once=3.0), out, lambda: now[0])
    for number in range(10):
        log("readmitted", server=f"s-{number}")
    assert out.getvalue().count("\n") == 3
    now[0] = 1.0
    log("ejected", server="s-1", reason="two\nlines")
    lines = out.getvalue().splitlines()
    if form is Format.TEXT:
        assert lines[3:] == ["left out 7 lines", "ejected s-1: two lines"]
    else:
        events = [json.loads(each) for each in lines[3:]]
        assert [(each["event"], each["level"]) for each in events] == [
            ("left_out", "warning"),
            ("ejected", "warning"),
        ]
        assert events[0]["count"] == 7 and events[1]["reason"] == "two\nlines"


def test_an_event_that_is_not_listed_is_a_defect() -> None:
    with pytest.raises(KeyError):
        LineLog(stream=io.StringIO())("surprise")
    assert all(form.level in ("info", "warning", "error") for form in EVENTS.values())
