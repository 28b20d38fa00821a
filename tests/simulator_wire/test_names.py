"""The table of the wire's names, read in both directions."""

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

PLAIN: dict[str, Any] = {
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


def test_settings_to_wire_is_read_back_by_settings_from_wire() -> None:
    assert settings_from_wire(settings_to_wire(PLAIN)) == settings_from_mapping(PLAIN)


def test_settings_to_wire_writes_values_of_the_wire() -> None:
    written = settings_to_wire(PLAIN)
    repeats = [each["repeat"] for each in written["lanes"]]
    assert repeats == ["read_like", "idempotency_key", "non_idempotent"]
    assert (written["discovery"], written["weights"]) == ("on_request", "silent")
    assert written["report"] == {"source": "pull", "columns": ["util"]}


def test_settings_to_wire_rejects_unknown_name() -> None:
    with pytest.raises(KeyError, match="news"):
        settings_to_wire({**PLAIN, "news": 1})


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
    written = [names._value_to_wire(name, each.value) for each in choices]
    assert len(set(written)) == len(written)
    assert [names._value_from_wire(name, each) for each in written] == [each.value for each in choices]


@pytest.mark.parametrize("section", ["_TOP_LEVEL_KEYS", *names._SECTION_KEYS])
def test_key_table_is_reversible(section: str) -> None:
    keys = names._SECTION_KEYS.get(section, names._TOP_LEVEL_KEYS)
    assert len(set(keys.values())) == len(keys)


@pytest.mark.parametrize(
    ("path", "on_wire"),
    [
        ("classes[3].deadline_us", "lanes[3].giveUpUs"),
        ("limits.max_attempts", "bounds.sendCap"),
        ("instance_count", "groupSize"),
        ("settings", "settings"),
    ],
)
def test_wire_path_names_keys_of_the_wire(path: str, on_wire: str) -> None:
    assert to_wire_path(path) == on_wire


def test_settings_from_wire_error_names_key_and_values_of_the_wire() -> None:
    with pytest.raises(ChoiceError) as error:
        settings_from_wire({"lanes": [{"name": "a", "giveUpUs": 1, "repeat": "maybe"}]})
    assert error.value.path == "lanes[0].repeat"
    assert error.value.choices == ("read_like", "idempotency_key", "non_idempotent")
    assert str(error.value) == (
        "lanes[0].repeat: must be one of read_like, idempotency_key, non_idempotent, got 'maybe'"
    )


def test_settings_from_wire_collects_errors_under_keys_of_the_wire() -> None:
    errors: list[SettingsError] = []
    given = {"lanes": [{"name": "a", "giveUpUs": 0}], "bounds": {"sendCap": "x"}, "report": {"source": "x"}}
    settings_from_wire(given, errors)
    assert [each.path for each in errors] == ["lanes[0].giveUpUs", "report.source", "bounds.sendCap"]


def test_settings_from_wire_rejects_what_is_no_object() -> None:
    with pytest.raises(SettingsError, match="settings: must be an object"):
        settings_from_wire([])
