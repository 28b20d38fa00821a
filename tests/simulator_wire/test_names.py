"""The table of the names in the simulator's protocol, which is read in both directions."""

from __future__ import annotations

from typing import Any

import pytest

from tulipnotch.load_balancing.mapping_reader import ChoiceError, SettingsError
from tulipnotch.load_balancing.settings import (
    DiscoveryMode,
    Idempotency,
    NominalCapacityMeaning,
    ReportSource,
)
from tulipnotch.load_balancing.settings_reader import settings_from_mapping
from tulipnotch.simulator_wire import names
from tulipnotch.simulator_wire.names import settings_from_wire, settings_to_wire, to_wire_path

INTERNAL_SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "look", "deadline_us": 9_000, "idempotency": "idempotent", "deduplication_scope": "all"},
        {"name": "amend", "deadline_us": 8_000, "idempotency": "idempotent_with_key"},
        {"name": "pay", "deadline_us": 7_000, "idempotency": "non_idempotent"},
    ],
    "tenants": [{"name": "acme", "weight": 0.5, "quota_per_s": 3.0}],
    "zone": "east",
    "discovery_mode": "polled",
    "nominal_capacity": "unspecified",
    "report": {"source": "health_checks", "columns": ["util"]},
    "limits": {"max_attempts": 4, "may_cancel": True},
    "rules": {"initial_capacity": 0.3},
    "cost_weights": {"late_failure": 0.25},
    "objective_weights": {"tail": 0.125},
    "client_habits": {"mark_retries": True},
    "domain": {"has_key_affinity": True},
}


def test_settings_from_wire_reads_what_settings_to_wire_returns() -> None:
    assert settings_from_wire(settings_to_wire(INTERNAL_SETTINGS)) == settings_from_mapping(INTERNAL_SETTINGS)


def test_settings_to_wire_translates_keys_and_values() -> None:
    wire_settings = settings_to_wire(INTERNAL_SETTINGS)
    idempotency_values = [each["repeat"] for each in wire_settings["lanes"]]
    assert idempotency_values == ["read_like", "idempotency_key", "non_idempotent"]
    assert (wire_settings["discovery"], wire_settings["weights"]) == ("on_request", "silent")
    assert wire_settings["report"] == {"source": "pull", "columns": ["util"]}


def test_settings_to_wire_raises_when_a_name_is_unknown() -> None:
    with pytest.raises(KeyError, match="unknown_name"):
        settings_to_wire({**INTERNAL_SETTINGS, "unknown_name": 1})


@pytest.mark.parametrize(
    ("choices", "name"),
    [
        (Idempotency, "idempotency"),
        (DiscoveryMode, "discovery_mode"),
        (NominalCapacityMeaning, "nominal_capacity"),
        (ReportSource, "source"),
    ],
)
def test_value_table_is_reversible(choices: Any, name: str) -> None:
    wire_values = [names._value_to_wire(name, each.value) for each in choices]
    assert len(set(wire_values)) == len(wire_values)
    assert [names._value_from_wire(name, each) for each in wire_values] == [each.value for each in choices]


@pytest.mark.parametrize("section", ["_TOP_LEVEL_KEYS", *names._SECTION_KEYS])
def test_key_table_is_reversible(section: str) -> None:
    keys = names._SECTION_KEYS.get(section, names._TOP_LEVEL_KEYS)
    assert len(set(keys.values())) == len(keys)


@pytest.mark.parametrize(
    ("path", "wire_path"),
    [
        ("classes[3].deadline_us", "lanes[3].giveUpUs"),
        ("limits.max_attempts", "bounds.sendCap"),
        ("instance_count", "groupSize"),
        ("settings", "settings"),
    ],
)
def test_to_wire_path_translates_each_key(path: str, wire_path: str) -> None:
    assert to_wire_path(path) == wire_path


def test_settings_from_wire_names_the_wire_key_and_values_when_a_value_is_unknown() -> None:
    with pytest.raises(ChoiceError) as raised:
        settings_from_wire({"lanes": [{"name": "a", "giveUpUs": 1, "repeat": "maybe"}]})
    assert raised.value.path == "lanes[0].repeat"
    assert raised.value.choices == ("read_like", "idempotency_key", "non_idempotent")
    assert str(raised.value) == (
        "lanes[0].repeat: must be one of read_like, idempotency_key, non_idempotent, got 'maybe'"
    )


def test_settings_from_wire_collects_errors_with_wire_keys_when_a_list_is_given() -> None:
    errors: list[SettingsError] = []
    wire_settings = {
        "lanes": [{"name": "a", "giveUpUs": 0}],
        "bounds": {"sendCap": "x"},
        "report": {"source": "x"},
    }
    settings_from_wire(wire_settings, errors)
    assert [each.path for each in errors] == ["lanes[0].giveUpUs", "report.source", "bounds.sendCap"]


def test_settings_from_wire_raises_when_the_settings_are_not_an_object() -> None:
    with pytest.raises(SettingsError, match="settings: must be an object"):
        settings_from_wire([])
