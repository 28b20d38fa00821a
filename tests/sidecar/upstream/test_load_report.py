"""Parsing of load reports in server responses."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.load_report import parse_load_report


def _read(text: bytes) -> dict[str, float] | None:
    return parse_load_report(Response(200, [(b"server-load", text)], b""), ("qps", "util"))


def test_load_report_has_the_columns_of_the_settings_only() -> None:
    assert _read(b"TEXT qps=7, util=0.61, queue=2") == {"qps": 7.0, "util": 0.61}


@pytest.mark.parametrize("text", [b"TEXT util=nan, qps=inf", b"TEXT util=-0.5, qps=1e300", b"\xff=,,=;util"])
def test_load_report_is_none_when_no_value_is_valid(text: bytes) -> None:
    assert _read(text) is None


def test_load_report_is_none_when_header_is_missing() -> None:
    assert parse_load_report(Response(200, [], b""), ("qps",)) is None


def test_load_report_is_read_from_body_only_when_asked_for() -> None:
    response = Response(200, [], b"util=0.5")
    assert parse_load_report(response, ("util",), in_body=True) == {"util": 0.5}
    assert parse_load_report(response, ("util",)) is None
