"""Validation of configuration files: which values are rejected, and with which key and text."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from running import VALID_CONFIG

from tulipnotch.sidecar.configuration.completeness import check_no_key_missing
from tulipnotch.sidecar.configuration.configuration import load_config, parse_config
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.configuration.json_file import read_json_object
from tulipnotch.sidecar.configuration.validation import find_config_faults


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"name": ""}, "name: must be a non-empty string, got ''"),
        ({"seed": -1}, "seed: must be a string of hexadecimal digits or an integer >= 0, got -1"),
        ({"seed": "xyz"}, "seed: must be a string of hexadecimal digits or an integer >= 0, got 'xyz'"),
        ({"limits": {"sockets": 3}}, "limits.sockets: must be an integer >= 64, got 3"),
        ({"limits": {"memory_mb": 16.5}}, "limits.memory_mb: must be an integer >= 16, got 16.5"),
        ({"limits": []}, "limits: must be an object"),
        ({"peers": "127.0.0.1:1"}, "peers: must be a list of addresses"),
        (
            {"settings": {**VALID_CONFIG["settings"], "bounds": {"sendCap": 0}}},
            "settings.bounds.sendCap: must be an integer >= 1",
        ),
    ],
)
def test_parse_config_names_the_key_and_the_constraint_when_a_value_is_invalid(
    changes: dict[str, Any], text: str
) -> None:
    with pytest.raises(ConfigError) as raised:
        parse_config({**VALID_CONFIG, **changes})
    assert str(raised.value) == text
    assert text == f"{raised.value.key}: {raised.value.problem}"


def test_find_config_faults_reports_all_faults_when_several_values_are_invalid() -> None:
    raw = {**VALID_CONFIG, "name": "", "seed": "xyz", "limits": {"sockets": 3, "memory_mb": 3}}
    keys = [each.key for each in find_config_faults(raw)]
    assert keys == ["name", "seed", "limits.sockets", "limits.memory_mb"]
    assert find_config_faults(VALID_CONFIG) == []


@pytest.mark.parametrize(("sockets", "memory_mb"), [(64, 16), (1_024, 192)])
def test_parse_config_accepts_limits_at_and_above_the_minimum(sockets: int, memory_mb: int) -> None:
    config = parse_config({**VALID_CONFIG, "limits": {"sockets": sockets, "memory_mb": memory_mb}})
    assert (config.sockets, config.memory_mb) == (sockets, memory_mb)


def test_parse_config_uses_defaults_when_limits_and_cached_endpoints_are_omitted() -> None:
    config = parse_config(
        {key: value for key, value in VALID_CONFIG.items() if key not in ("limits", "known")}
    )
    assert (config.sockets, config.memory_mb) == (1_024, 64)
    assert (config.known.version, config.known.endpoints) == (0, ())


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ('{"seed": 1, "seed": 2}', "seed: duplicate key in one object"),
        ('{"seed": NaN}', "BALANCER_CONFIG: NaN is not a finite number"),
        ("[]", "BALANCER_CONFIG: the file must contain a JSON object"),
    ],
)
def test_read_json_object_rejects_the_file_when_its_content_is_invalid(
    text: str, error: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    with pytest.raises(ConfigError) as raised:
        read_json_object(str(path))
    assert str(raised.value) == error


def test_load_config_uses_environment_variables_only_when_the_file_omits_the_key(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({key: value for key, value in VALID_CONFIG.items() if key != "listen"}))
    config = load_config(
        {"BALANCER_CONFIG": str(path), "BALANCER_LISTEN": "127.0.0.1:81", "BALANCER_NAME": "another"}
    )
    assert (config.name, config.listen) == ("n0", ("127.0.0.1", 81))


@pytest.mark.parametrize(
    ("new", "previous", "key"),
    [
        ({}, {"a": 1}, "a"),
        ({"a": None}, {"a": 1}, "a"),
        ({"a": {}}, {"a": {"b": 1}}, "a.b"),
        ({"a": 1}, {"a": {"b": 1}}, "a"),
        ({"a": [{"b": 1}, {}]}, {"a": [{"b": 1}]}, "a[1].b"),
    ],
)
def test_check_no_key_missing_names_the_key_when_it_is_missing(new: Any, previous: Any, key: str) -> None:
    with pytest.raises(ConfigError) as raised:
        check_no_key_missing(new, previous)
    assert raised.value.key == key


@pytest.mark.parametrize(
    ("new", "previous"),
    [
        ({"a": 2, "b": 1}, {"a": 1}),
        ({}, {"a": None}),
        ({"a": [{"b": 2}]}, {"a": [{"b": 1}, {"b": 1, "c": 1}]}),  # `c` is not in all previous objects
        ({"known": {}}, {"known": {"version": 1}}),
    ],
)
def test_check_no_key_missing_accepts_the_file_when_only_values_or_optional_keys_differ(
    new: Any, previous: Any
) -> None:
    check_no_key_missing(new, previous)
