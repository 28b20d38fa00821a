"""Validation of files that people write: all faults are reported, with their keys, lines and suggestions."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
import pytest

from tulipnotch.settings.check import InvalidFileError, read_toml
from tulipnotch.settings.operator import OperatorFile, load_operator_file
from tulipnotch.settings.source_lines import locate_json_keys, locate_toml_keys
from tulipnotch.sidecar.control.endpoint import ControlLimits
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.logs import LogLimits

OPERATOR_EXAMPLE = Path(__file__).parents[2] / "deploy" / "operator.toml"


def operator_file_faults(text: str, tmp_path: Path) -> list[str]:
    """Returns the faults of an operator file with this text."""
    path = tmp_path / "file.toml"
    path.write_text(text)
    with pytest.raises(InvalidFileError) as raised:
        read_toml(path, OperatorFile)
    return [str(each) for each in raised.value.faults]


def test_read_toml_reports_all_faults_in_file_order_when_there_are_several(tmp_path: Path) -> None:
    text = (
        'doors = 1\n[log]\nformat = "yaml"\n\nlines_at_once = "many"\n[clients]\nstall_s = -1.0\nidle = 3\n'
    )
    faults = operator_file_faults(text, tmp_path)
    assert [each.partition(": ")[0] for each in faults] == ["line 1", "line 3", "line 5", "line 7", "line 8"]
    assert faults[0] == "line 1: doors: unknown key; did you mean door?"
    assert "log.format: invalid enum value 'yaml'" in faults[1]
    assert "log.lines_at_once" in faults[2]
    assert "float" in faults[2]
    assert "> 0" in faults[3]
    assert "known are" in faults[4] or "did you mean" in faults[4]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[log\n", "line 1"),
        ("a = 1\na = 2\n", "line 2"),
        ("log = 5\n", "must be a table, got 5"),
        ("x =\n", "line 1"),
    ],
)
def test_read_toml_reports_one_fault_when_toml_is_invalid_or_a_table_is_a_value(
    text: str, expected: str, tmp_path: Path
) -> None:
    first, *others = operator_file_faults(text, tmp_path)
    assert expected in first
    assert not others


def test_read_toml_reports_the_file_when_it_is_not_utf8_or_cannot_be_read(tmp_path: Path) -> None:
    path = tmp_path / "file.toml"
    path.write_bytes(b"a = 1\nb = '\xff'\n")
    with pytest.raises(InvalidFileError, match="line 2: is not UTF-8"):
        read_toml(path, OperatorFile)
    with pytest.raises(InvalidFileError, match="cannot be read: No such file"):
        read_toml(tmp_path / "none.toml", OperatorFile)


def test_operator_example_has_every_key_with_its_default() -> None:
    assert load_operator_file(OPERATOR_EXAMPLE) == OperatorFile()
    example = tomllib.loads(OPERATOR_EXAMPLE.read_text())
    assert example == msgspec.json.decode(msgspec.json.encode(OperatorFile()))


def test_operator_file_defaults_equal_those_of_the_sidecar_when_there_is_no_file() -> None:
    defaults = OperatorFile()
    assert LogLimits(defaults.log.lines_per_s, defaults.log.burst_lines) == LogLimits()
    assert ControlLimits(**msgspec.structs.asdict(defaults.control)) == ControlLimits()
    assert ClientLimits(**msgspec.structs.asdict(defaults.clients)) == ClientLimits()


def test_locate_toml_keys_finds_lines_when_keys_are_in_arrays_of_tables() -> None:
    text = "[[a]]\nx = 1\n[a.b]\ny = 2\n[[a]]\n# x = 0\nx = 3\n"
    lines = locate_toml_keys(text)
    assert (lines["a[0].x"], lines["a[1].x"], lines["a[1]"]) == (2, 7, 5)


def test_locate_json_keys_finds_lines_when_arrays_and_objects_are_nested() -> None:
    text = '{"a": [1, {"b": "x,}"},\n {"b": 2}],\n "c": {"d\\"": null}}'
    assert locate_json_keys(text) == {"a": 1, "a[1].b": 1, "a[2].b": 2, "c": 3, 'c.d"': 3}
