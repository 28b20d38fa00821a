"""Parsing of load reports in server responses."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.load_report import parse_load_report


def _parse_header(header_value: bytes) -> dict[str, float] | None:
    return parse_load_report(Response(200, [(b"server-load", header_value)], b""), ("qps", "util"))


def test_parse_load_report_returns_only_columns_of_settings() -> None:
    assert _parse_header(b"TEXT qps=7, util=0.61, queue=2") == {"qps": 7.0, "util": 0.61}


@pytest.mark.parametrize(
    "header_value", [b"TEXT util=nan, qps=inf", b"TEXT util=-0.5, qps=1e300", b"\xff=,,=;util"]
)
def test_parse_load_report_returns_none_when_no_value_is_valid(header_value: bytes) -> None:
    assert _parse_header(header_value) is None


def test_parse_load_report_returns_none_when_header_is_missing() -> None:
    assert parse_load_report(Response(200, [], b""), ("qps",)) is None


def test_parse_load_report_reads_body_only_when_in_body_is_set() -> None:
    response = Response(200, [], b"util=0.5")
    assert parse_load_report(response, ("util",), in_body=True) == {"util": 0.5}
    assert parse_load_report(response, ("util",)) is None
