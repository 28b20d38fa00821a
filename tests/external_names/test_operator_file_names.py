"""Pins the operator file: each key and enumerated word, its effect in the program, and what is rejected."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from outside import check_files, operator_option_values
from running import ROOT

LEVEL_TABLE = '[[overload.levels]]\nname = "spare"\nover_share = ["look"]\n'
# Table, key, a valid value in TOML, the value that the program parses from it, and an invalid value.
# The parsed value does not occur in the program's defaults.
KEYS: list[tuple[str, str, str, Any, str]] = [
    ("log", "lines_per_s", "17.5", 17.5, "0.0"),
    ("log", "lines_at_once", "17.5", 17.5, "0.5"),
    ("log", "requests", "true", True, "1"),
    ("door", "most_connections", "17", 17, "0"),
    ("door", "line_timeout_s", "17.5", 17.5, "0.0"),
    ("door", "linger_s", "17.5", 17.5, "0.0"),
    ("clients", "header_timeout_s", "17.5", 17.5, "0.0"),
    ("clients", "stall_s", "17.5", 17.5, "0.0"),
    ("clients", "reading_s", "17.5", 17.5, "0.0"),
    ("clients", "idle_timeout_s", "17.5", 17.5, "0.0"),
    ("overload", "hold_s", "77.5", 77_500_000, "1.0"),
    ("overload.levels", "name", '"odd"', "odd", '"Full Stop"'),
    ("overload.levels", "over_share", '["odd"]', "odd", "[1]"),
    ("overload.levels", "closed", '["odd"]', "odd", "[1]"),
    ("overload.levels", "enter_refused", "0.175", 0.175, "2.0"),
    ("overload.levels", "enter_s", "77.5", 77_500_000, "1.0"),
    ("overload.levels", "leave_fill", "0.175", 0.175, "2.0"),
    ("overload.levels", "leave_s", "77.5", 77_500_000, "1.0"),
]
TABLES = ["log", "door", "clients", "overload", "overload.levels"]
IDS = [f"{each[0]}.{each[1]}" for each in KEYS]


def file_text(table: str, key: str, value: str) -> str:
    if table == "overload.levels":
        level_lines = [line for line in LEVEL_TABLE.splitlines() if not line.startswith(f"{key} =")]
        return "\n".join([*level_lines, f"{key} = {value}", ""])
    return f"[{table}]\n{key} = {value}\n" + LEVEL_TABLE


def fault_key(table: str, key: str) -> str:
    return f"overload.levels[0].{key}" if table == "overload.levels" else f"{table}.{key}"


@pytest.fixture(scope="module")
def reported_faults(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, str]]:
    """Checks at once: files with valid values, with invalid values, and with an unknown key in each table."""
    texts = [
        *(file_text(table, key, valid_value) for table, key, valid_value, _, _ in KEYS),
        *(file_text(table, key, invalid_value) for table, key, _, _, invalid_value in KEYS),
        *(file_text(table, "nothing", "1") for table in TABLES),
        "nothing = 1\n",
    ]
    return check_files(tmp_path_factory.mktemp("checked"), texts, ".toml")


@pytest.mark.parametrize(("index", "name"), list(enumerate(IDS)), ids=IDS)
def test_check_accepts_key_and_names_it_if_its_value_is_invalid(
    index: int, name: str, reported_faults: list[dict[str, str]]
) -> None:
    table, key = KEYS[index][:2]
    assert reported_faults[index] == {}
    assert {each.partition("[0]")[0] for each in reported_faults[len(KEYS) + index]} <= {
        fault_key(table, key),
        "overload.levels",
    }
    assert any(each.startswith(fault_key(table, key)) for each in reported_faults[len(KEYS) + index])


@pytest.mark.parametrize(("index", "table"), list(enumerate(TABLES)))
def test_check_rejects_unknown_key(index: int, table: str, reported_faults: list[dict[str, str]]) -> None:
    ((key, text),) = reported_faults[2 * len(KEYS) + index].items()
    assert key == fault_key(table, "nothing")
    assert text.startswith("unknown key; known are ")


def test_check_rejects_unknown_table(reported_faults: list[dict[str, str]]) -> None:
    assert reported_faults[-1].keys() == {"nothing"}


@pytest.mark.parametrize(("table", "key", "valid_value", "parsed", "invalid_value"), KEYS, ids=IDS)
def test_operator_file_key_reaches_the_program(
    table: str, key: str, valid_value: str, parsed: Any, invalid_value: str, tmp_path: Path
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(LEVEL_TABLE)
    before = operator_option_values(file)
    file.write_text(file_text(table, key, valid_value))
    after = operator_option_values(file)
    changed = [
        value for value, value_before in zip(after, before, strict=False) if repr(value) != repr(value_before)
    ]
    assert repr(parsed) in map(repr, changed)
    assert parsed not in [each for each in before if each is not False]


def test_check_rejects_full_as_name_of_a_level(tmp_path: Path) -> None:
    (faults,) = check_files(tmp_path, [LEVEL_TABLE.replace("spare", "full")], ".toml")
    assert faults.keys() == {"overload.levels[0].name"}


def test_log_format_is_text_or_json(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    option_values = []
    for log_format in ("text", "json"):
        file.write_text(f'[log]\nformat = "{log_format}"\n')
        option_values.append(operator_option_values(file))
    file.write_text("")
    assert operator_option_values(file) == option_values[0] != option_values[1]
    assert check_files(tmp_path, ['[log]\nformat = "yaml"\n'], ".toml")[0].keys() == {"log.format"}


def test_example_file_has_all_keys_with_their_defaults() -> None:
    assert tomllib.loads((ROOT / "deploy" / "operator.toml").read_text()) == {
        "log": {"format": "text", "lines_per_s": 20.0, "lines_at_once": 200.0, "requests": False},
        "door": {"most_connections": 16, "line_timeout_s": 5.0, "linger_s": 0.5},
        "clients": {"header_timeout_s": 2.7, "stall_s": 2.0, "reading_s": 20.0, "idle_timeout_s": 5.0},
        "overload": {"hold_s": 30.0, "levels": []},
    }
