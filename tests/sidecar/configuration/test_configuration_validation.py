"""Configuration files that are invalid: the key and the text of each fault."""

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
        ({"name": ""}, "name: must be a string that is not empty, got ''"),
        ({"seed": -1}, "seed: must be a string of hexadecimal digits, got -1"),
        ({"seed": "xyz"}, "seed: must be a string of hexadecimal digits, got 'xyz'"),
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
def test_parse_names_the_key_and_the_constraint_for_an_invalid_value(
    changes: dict[str, Any], text: str
) -> None:
    with pytest.raises(ConfigError) as error:
        parse_config({**VALID_CONFIG, **changes})
    assert str(error.value) == text
    assert text == f"{error.value.key}: {error.value.problem}"


def test_find_faults_reports_the_faults_that_parse_would_raise_one_by_one() -> None:
    given = {**VALID_CONFIG, "name": "", "seed": "xyz", "limits": {"sockets": 3, "memory_mb": 3}}
    keys = [each.key for each in find_config_faults(given)]
    assert keys == ["name", "seed", "limits.sockets", "limits.memory_mb"]
    assert find_config_faults(VALID_CONFIG) == []


@pytest.mark.parametrize(("sockets", "memory_mb"), [(64, 16), (1_024, 192)])
def test_parse_accepts_the_minimum_limits_and_others(sockets: int, memory_mb: int) -> None:
    config = parse_config({**VALID_CONFIG, "limits": {"sockets": sockets, "memory_mb": memory_mb}})
    assert (config.sockets, config.memory_mb) == (sockets, memory_mb)


def test_parse_uses_defaults_for_limits_and_cached_endpoints_that_are_omitted() -> None:
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
        ("[]", "BALANCER_CONFIG: the file must hold a JSON object"),
    ],
)
def test_read_object_rejects_what_json_does_not_allow(text: str, error: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    with pytest.raises(ConfigError) as raised:
        read_json_object(str(path))
    assert str(raised.value) == error


def test_load_uses_the_environment_only_for_keys_that_the_file_omits(tmp_path: Path) -> None:
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
def test_check_no_key_missing_names_the_key_that_disappeared(new: Any, previous: Any, key: str) -> None:
    with pytest.raises(ConfigError) as error:
        check_no_key_missing(new, previous)
    assert error.value.key == key


@pytest.mark.parametrize(
    ("new", "previous"),
    [
        ({"a": 2, "b": 1}, {"a": 1}),
        ({}, {"a": None}),
        ({"a": [{"b": 2}]}, {"a": [{"b": 1}, {"b": 1, "c": 1}]}),  # `c` is not in all of them
        ({"known": {}}, {"known": {"version": 1}}),
    ],
)
def test_check_no_key_missing_accepts_other_differences(new: Any, previous: Any) -> None:
    check_no_key_missing(new, previous)
