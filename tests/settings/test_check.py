"""The checker of files: all faults, each with its key, its line and a hint."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
import pytest

from tulipnotch.settings.check import InvalidFileError, read_toml, toml_lines
from tulipnotch.settings.operator import OperatorFile, load
from tulipnotch.sidecar.control.endpoint import ControlLimits
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.logs import LogLimits

EXAMPLE = Path(__file__).parents[2] / "deploy" / "operator.toml"


def faults(text: str, tmp_path: Path) -> list[str]:
    path = tmp_path / "file.toml"
    path.write_text(text)
    with pytest.raises(InvalidFileError) as bad:
        read_toml(path, OperatorFile)
    return [str(each) for each in bad.value.faults]


def test_all_faults_are_named_in_the_order_of_the_file(tmp_path: Path) -> None:
    text = (
        'doors = 1\n[log]\nformat = "yaml"\n\nlines_at_once = "many"\n[clients]\nstall_s = -1.0\nidle = 3\n'
    )
    told = faults(text, tmp_path)
    assert [each.partition(": ")[0] for each in told] == ["line 1", "line 3", "line 5", "line 7", "line 8"]
    assert told[0] == "line 1: doors: is no key here; did you mean door?"
    assert "log.format: invalid enum value 'yaml'" in told[1]
    assert "log.lines_at_once" in told[2] and "float" in told[2]
    assert "> 0" in told[3]
    assert "known are" in told[4] or "did you mean" in told[4]


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("[log\n", "line 1"),
        ("a = 1\na = 2\n", "line 2"),
        ("log = 5\n", "a table is needed"),
        ("x =\n", "line 1"),
    ],
)
def test_a_file_that_is_not_toml_or_not_a_table_names_its_line(text: str, told: str, tmp_path: Path) -> None:
    first, *rest = faults(text, tmp_path)
    assert told in first and not rest


def test_bytes_that_are_no_text_and_files_that_are_none_are_faults(tmp_path: Path) -> None:
    path = tmp_path / "file.toml"
    path.write_bytes(b"a = 1\nb = '\xff'\n")
    with pytest.raises(InvalidFileError, match="line 2: is not UTF-8"):
        read_toml(path, OperatorFile)
    with pytest.raises(InvalidFileError, match="can't be read: No such file"):
        read_toml(tmp_path / "none.toml", OperatorFile)


def test_the_example_shows_every_key_with_its_default() -> None:
    assert load(EXAMPLE) == OperatorFile()
    given = tomllib.loads(EXAMPLE.read_text())
    assert given == msgspec.json.decode(msgspec.json.encode(OperatorFile()))


def test_the_defaults_are_those_of_the_sidecar_without_a_file() -> None:
    given = OperatorFile()
    assert LogLimits(given.log.lines_per_s, given.log.lines_at_once) == LogLimits()
    assert ControlLimits(**msgspec.structs.asdict(given.door)) == ControlLimits()
    assert ClientLimits(**msgspec.structs.asdict(given.clients)) == ClientLimits()


def test_lines_of_arrays_of_tables_are_counted() -> None:
    text = "[[a]]\nx = 1\n[a.b]\ny = 2\n[[a]]\n# x = 0\nx = 3\n"
    lines = toml_lines(text)
    assert (lines["a[0].x"], lines["a[1].x"], lines["a[1]"]) == (2, 7, 5)
