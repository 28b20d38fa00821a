"""Pins the settings format of the simulator and `BALANCER_CONFIG`: keys, enumerated words, error paths."""

from __future__ import annotations

import json
from typing import Any

import pytest
from outside import CONFIGURATION, check_files, parse_wire_settings, with_value

MINIMAL_SETTINGS: dict[str, Any] = {
    "lanes": [{"name": "look", "giveUpUs": 2_000_000, "group": "zone"}],
    "realms": [{"name": "acme"}],
}
# Paths of all keys, grouped by the type of the value.
INTEGER_PATHS = """
lanes[0].giveUpUs lanes[0].promiseUs lanes[0].memorySpanUs me groupSize quantumUs
bounds.sendCap bounds.maxRetryAfterUs bounds.dialTimeoutUs bounds.idleCloseUs bounds.streamsPerConn
bounds.maxOpen bounds.cpuUsPerS
guarantees.answerSlackUs guarantees.askWithinUs guarantees.drainGraceUs guarantees.coldUs
guarantees.fallUs guarantees.letGoInUs
""".split()
NUMBER_PATHS = """
lanes[0].worth lanes[0].lateValue lanes[0].aimStretch realms[0].portion realms[0].quotaRps
overShareWorth bounds.cpuUsPerRequest guarantees.coldFrom guarantees.fallMultiple
prices.crossZone prices.probe prices.peer prices.waste prices.handshake prices.connection
prices.discovery prices.lateFail
goal.whole goal.worstWindow goal.worstClass goal.worstTenant goal.tail goal.tailSlack
""".split()
BOOLEAN_PATHS = """
lanes[0].streaming bounds.secondCopies bounds.mayCancel bounds.probing bounds.mayTell bounds.retryAfter
guarantees.lateShedding clientHabits.marksRetry domain.warmKeys
""".split()
STRING_PATHS = ["lanes[0].name", "realms[0].name", "zone"]
LIST_PATHS = ["report.columns", "kinds"]
WORDS: list[tuple[str, list[str]]] = [
    ("lanes[0].repeat", ["read_like", "idempotency_key", "non_idempotent"]),
    ("lanes[0].group", ["all", "zone", "cell"]),
    ("discovery", ["pushed", "on_request"]),
    ("weights", ["silent", "nominal", "rough", "live"]),
    ("worthBy", ["request", "work"]),
    ("report.source", ["piggyback", "pull", "silent"]),
]
# Each path with two values that must result in different settings.
KEYS: list[tuple[str, Any, Any]] = [
    *((path, 2, 3) for path in INTEGER_PATHS),
    *((path, 0.25, 0.75) for path in NUMBER_PATHS),
    *((path, True, False) for path in BOOLEAN_PATHS),
    *((path, "east", "west") for path in STRING_PATHS),
    *((path, ["queue"], ["util"]) for path in LIST_PATHS),
    *((path, words[0], words[1]) for path, words in WORDS),
]
PARENT_PATHS = [
    "",
    "lanes[0].",
    "realms[0].",
    "report.",
    "clientHabits.",
    "domain.",
    "bounds.",
    "guarantees.",
    "prices.",
    "goal.",
]
# Sections that are named by the error if the whole section has the wrong type.
SECTIONS = ["lanes", "realms", "report", "bounds", "guarantees", "prices", "goal", "clientHabits", "domain"]
# Values that are rejected for another reason than their type, or because they are null.
REJECTED_VALUES: list[tuple[str, Any]] = [
    ("bounds.sendCap", 0),
    ("lanes[0].giveUpUs", 0),
    ("lanes[0].giveUpUs", None),
    ("lanes[0].name", None),
    ("lanes[0].repeat", "never"),
    ("guarantees.coldFrom", 1.5),
    ("lanes", []),
    ("lanes", [{"name": "look", "giveUpUs": 2_000_000}] * 2),
    ("realms", [{"name": "acme"}] * 2),
]
WRONG_TYPE_VALUE = {"nonsense": True}  # An object, which is the wrong type for every key in `KEYS`.


@pytest.mark.parametrize(("path", "value", "other_value"), KEYS, ids=[each[0] for each in KEYS])
def test_wire_key_changes_the_parsed_settings(path: str, value: Any, other_value: Any) -> None:
    assert parse_wire_settings(with_value(MINIMAL_SETTINGS, path, value)) != parse_wire_settings(
        with_value(MINIMAL_SETTINGS, path, other_value)
    )


@pytest.mark.parametrize(("path", "words"), WORDS, ids=[each[0] for each in WORDS])
def test_wire_words_result_in_different_settings(path: str, words: list[str]) -> None:
    parsed = [parse_wire_settings(with_value(MINIMAL_SETTINGS, path, word)) for word in words]
    assert all(value != other_value for index, value in enumerate(parsed) for other_value in parsed[:index])


@pytest.mark.parametrize("parent_path", PARENT_PATHS)
def test_unknown_wire_key_is_ignored(parent_path: str) -> None:
    assert parse_wire_settings(
        with_value(MINIMAL_SETTINGS, f"{parent_path}newKey", 7)
    ) == parse_wire_settings(MINIMAL_SETTINGS)


@pytest.fixture(scope="module")
def reported_keys(tmp_path_factory: pytest.TempPathFactory) -> list[set[str]]:
    """Runs `tulipnotch check` once on a configuration for each invalid value; returns the reported keys."""
    invalid_values = [
        *((path, WRONG_TYPE_VALUE) for path, _, _ in KEYS),
        *((path, "nonsense") for path in SECTIONS),
        *REJECTED_VALUES,
    ]
    settings = [with_value(MINIMAL_SETTINGS, path, value) for path, value in invalid_values]
    texts = [json.dumps({**CONFIGURATION, "settings": each}) for each in (*settings, MINIMAL_SETTINGS)]
    return [set(each) for each in check_files(tmp_path_factory.mktemp("checked"), texts, ".json")]


@pytest.mark.parametrize(("index", "path"), list(enumerate(each[0] for each in KEYS)))
def test_check_reports_wire_path_of_value_with_wrong_type(
    index: int, path: str, reported_keys: list[set[str]]
) -> None:
    assert reported_keys[index] == {f"settings.{path}"}


@pytest.mark.parametrize(("index", "path"), list(enumerate(SECTIONS)))
def test_check_reports_wire_path_of_section_with_wrong_type(
    index: int, path: str, reported_keys: list[set[str]]
) -> None:
    assert f"settings.{path}" in reported_keys[len(KEYS) + index]


@pytest.mark.parametrize(("index", "path"), list(enumerate(each[0] for each in REJECTED_VALUES)))
def test_check_reports_wire_path_of_rejected_value(
    index: int, path: str, reported_keys: list[set[str]]
) -> None:
    assert reported_keys[len(KEYS) + len(SECTIONS) + index] == {f"settings.{path}"}


def test_check_accepts_valid_settings(reported_keys: list[set[str]]) -> None:
    assert reported_keys[-1] == set()
