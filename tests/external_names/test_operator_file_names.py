"""The operator file: each key and word, that it reaches the program, and what is turned down."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from outside import faults, set_by_operator
from running import ROOT

LEVEL = '[[overload.levels]]\nname = "spare"\nover_share = ["look"]\n'
# Table, key, a good value in TOML, what the program then has and has not without it, a bad value.
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


def text(table: str, key: str, value: str) -> str:
    if table == "overload.levels":
        kept = [line for line in LEVEL.splitlines() if not line.startswith(f"{key} =")]
        return "\n".join([*kept, f"{key} = {value}", ""])
    return f"[{table}]\n{key} = {value}\n" + LEVEL


def path(table: str, key: str) -> str:
    return f"overload.levels[0].{key}" if table == "overload.levels" else f"{table}.{key}"


@pytest.fixture(scope="module")
def found(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, str]]:
    """The faults of each good file, of each bad one, and of each table with an unknown key, in one call."""
    texts = [
        *(text(table, key, good) for table, key, good, _, _ in KEYS),
        *(text(table, key, bad) for table, key, _, _, bad in KEYS),
        *(text(table, "nothing", "1") for table in TABLES),
        "nothing = 1\n",
    ]
    return faults(tmp_path_factory.mktemp("found"), texts, ".toml")


@pytest.mark.parametrize(("place", "name"), list(enumerate(IDS)), ids=IDS)
def test_key_is_known_and_its_fault_named(place: int, name: str, found: list[dict[str, str]]) -> None:
    table, key = KEYS[place][:2]
    assert found[place] == {}
    assert {each.partition("[0]")[0] for each in found[len(KEYS) + place]} <= {
        path(table, key),
        "overload.levels",
    }
    assert any(each.startswith(path(table, key)) for each in found[len(KEYS) + place])


@pytest.mark.parametrize(("place", "table"), list(enumerate(TABLES)))
def test_unknown_key_is_turned_down(place: int, table: str, found: list[dict[str, str]]) -> None:
    ((key, told),) = found[2 * len(KEYS) + place].items()
    assert key == path(table, "nothing")
    assert told.startswith("unknown key; known are ")


def test_unknown_table_is_turned_down(found: list[dict[str, str]]) -> None:
    assert found[-1].keys() == {"nothing"}


@pytest.mark.parametrize(("table", "key", "good", "made", "bad"), KEYS, ids=IDS)
def test_key_reaches_the_program(
    table: str, key: str, good: str, made: Any, bad: str, tmp_path: Path
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(LEVEL)
    before = set_by_operator(file)
    file.write_text(text(table, key, good))
    after = set_by_operator(file)
    changed = [one for one, other in zip(after, before, strict=False) if repr(one) != repr(other)]
    assert repr(made) in map(repr, changed)
    assert made not in [each for each in before if each is not False]


def test_full_is_no_name_of_a_level(tmp_path: Path) -> None:
    (told,) = faults(tmp_path, [LEVEL.replace("spare", "full")], ".toml")
    assert told.keys() == {"overload.levels[0].name"}


def test_formats_of_the_log_are_two(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    told = []
    for form in ("text", "json"):
        file.write_text(f'[log]\nformat = "{form}"\n')
        told.append(set_by_operator(file))
    file.write_text("")
    assert set_by_operator(file) == told[0] != told[1]
    assert faults(tmp_path, ['[log]\nformat = "yaml"\n'], ".toml")[0].keys() == {"log.format"}


def test_example_holds_these_keys_and_defaults() -> None:
    assert tomllib.loads((ROOT / "deploy" / "operator.toml").read_text()) == {
        "log": {"format": "text", "lines_per_s": 20.0, "lines_at_once": 200.0, "requests": False},
        "door": {"most_connections": 16, "line_timeout_s": 5.0, "linger_s": 0.5},
        "clients": {"header_timeout_s": 2.7, "stall_s": 2.0, "reading_s": 20.0, "idle_timeout_s": 5.0},
        "overload": {"hold_s": 30.0, "levels": []},
    }
