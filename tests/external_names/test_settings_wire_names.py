"""The settings as the simulator and `BALANCER_CONFIG` word them: each key, each word, each fault's path."""

from __future__ import annotations

import json
from typing import Any

import pytest
from outside import CONFIGURATION, faults, put, settings_of_wire

LEAST: dict[str, Any] = {
    "lanes": [{"name": "look", "giveUpUs": 2_000_000, "group": "zone"}],
    "realms": [{"name": "acme"}],
}
# Paths of all keys, by what they hold.
WHOLES = """
lanes[0].giveUpUs lanes[0].promiseUs lanes[0].memorySpanUs me groupSize quantumUs
bounds.sendCap bounds.maxRetryAfterUs bounds.dialTimeoutUs bounds.idleCloseUs bounds.streamsPerConn
bounds.maxOpen bounds.cpuUsPerS
guarantees.answerSlackUs guarantees.askWithinUs guarantees.drainGraceUs guarantees.coldUs
guarantees.fallUs guarantees.letGoInUs
""".split()
NUMBERS = """
lanes[0].worth lanes[0].lateValue lanes[0].aimStretch realms[0].portion realms[0].quotaRps
overShareWorth bounds.cpuUsPerRequest guarantees.coldFrom guarantees.fallMultiple
prices.crossZone prices.probe prices.peer prices.waste prices.handshake prices.connection
prices.discovery prices.lateFail
goal.whole goal.worstWindow goal.worstClass goal.worstTenant goal.tail goal.tailSlack
""".split()
FLAGS = """
lanes[0].streaming bounds.secondCopies bounds.mayCancel bounds.probing bounds.mayTell bounds.retryAfter
guarantees.lateShedding clientHabits.marksRetry domain.warmKeys
""".split()
TEXTS = ["lanes[0].name", "realms[0].name", "zone"]
LISTS = ["report.columns", "kinds"]
WORDS: list[tuple[str, list[str]]] = [
    ("lanes[0].repeat", ["read_like", "idempotency_key", "non_idempotent"]),
    ("lanes[0].group", ["all", "zone", "cell"]),
    ("discovery", ["pushed", "on_request"]),
    ("weights", ["silent", "nominal", "rough", "live"]),
    ("worthBy", ["request", "work"]),
    ("report.source", ["piggyback", "pull", "silent"]),
]
# Each path with two values that are to be told apart.
KEYS: list[tuple[str, Any, Any]] = [
    *((path, 2, 3) for path in WHOLES),
    *((path, 0.25, 0.75) for path in NUMBERS),
    *((path, True, False) for path in FLAGS),
    *((path, "east", "west") for path in TEXTS),
    *((path, ["queue"], ["util"]) for path in LISTS),
    *((path, words[0], words[1]) for path, words in WORDS),
]
LEVELS = [
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
# What is named where a whole part is nonsense.
PARTS = ["lanes", "realms", "report", "bounds", "guarantees", "prices", "goal", "clientHabits", "domain"]
# Values in bounds of their type that are refused all the same.
REFUSED: list[tuple[str, Any]] = [
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
NONSENSE = {"nonsense": True}  # of the right type for no key


@pytest.mark.parametrize(("path", "one", "other"), KEYS, ids=[each[0] for each in KEYS])
def test_wire_key_reaches_the_decisions(path: str, one: Any, other: Any) -> None:
    assert settings_of_wire(put(LEAST, path, one)) != settings_of_wire(put(LEAST, path, other))


@pytest.mark.parametrize(("path", "words"), WORDS, ids=[each[0] for each in WORDS])
def test_wire_words_are_told_apart(path: str, words: list[str]) -> None:
    read = [settings_of_wire(put(LEAST, path, word)) for word in words]
    assert all(one != other for place, one in enumerate(read) for other in read[:place])


@pytest.mark.parametrize("level", LEVELS)
def test_unknown_wire_key_is_passed_over(level: str) -> None:
    assert settings_of_wire(put(LEAST, f"{level}newKey", 7)) == settings_of_wire(LEAST)


@pytest.fixture(scope="module")
def named(tmp_path_factory: pytest.TempPathFactory) -> list[set[str]]:
    """The keys at fault of one configuration for each row below, all from one call of `tulipnotch check`."""
    broken = [
        *((path, NONSENSE) for path, _, _ in KEYS),
        *((path, "nonsense") for path in PARTS),
        *REFUSED,
    ]
    settings = [put(LEAST, path, value) for path, value in broken]
    texts = [json.dumps({**CONFIGURATION, "settings": each}) for each in (*settings, LEAST)]
    return [set(each) for each in faults(tmp_path_factory.mktemp("named"), texts, ".json")]


@pytest.mark.parametrize(("place", "path"), list(enumerate(each[0] for each in KEYS)))
def test_fault_of_a_value_names_the_wire_path(place: int, path: str, named: list[set[str]]) -> None:
    assert named[place] == {f"settings.{path}"}


@pytest.mark.parametrize(("place", "path"), list(enumerate(PARTS)))
def test_fault_of_a_part_names_the_wire_path(place: int, path: str, named: list[set[str]]) -> None:
    assert f"settings.{path}" in named[len(KEYS) + place]


@pytest.mark.parametrize(("place", "path"), list(enumerate(each[0] for each in REFUSED)))
def test_fault_of_a_refused_value_names_the_wire_path(place: int, path: str, named: list[set[str]]) -> None:
    assert named[len(KEYS) + len(PARTS) + place] == {f"settings.{path}"}


def test_good_settings_have_no_fault(named: list[set[str]]) -> None:
    assert named[-1] == set()
