"""Compares a new configuration file with the one in force: no key may disappear at a reload.

A key that is missing was probably truncated or forgotten, and neither a default nor the previous value may
hide that.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from tulipnotch.sidecar.configuration.errors import ConfigError

# The cached endpoint list: keys of one list do not have to be in the next.
_NOT_COMPARED = "known"


def check_no_key_missing(new: object, previous: object, path: str = "") -> None:
    """Checks that a value of the new file has all keys that the file in force has there.

    Args:
        new: The value in the new file.
        previous: The value in the file that is in force.
        path: Where both stand in their files; empty for the file itself.

    Raises:
        ConfigError: A key is missing or null, or an object was replaced by something else.
    """
    if isinstance(previous, Mapping):
        _check_object(new, previous, path)
    elif isinstance(previous, list) and isinstance(new, list):
        _check_list(new, previous, path)


def _check_object(new: object, previous: Mapping[str, Any], path: str) -> None:
    if not isinstance(new, Mapping):
        raise ConfigError(path, "must be an object")
    for key, value in previous.items():
        if value is None:
            continue
        key_path = f"{path}.{key}" if path else key
        if new.get(key) is None:
            raise ConfigError(key_path, "the key is missing; the file in force has it")
        if key_path != _NOT_COMPARED:
            check_no_key_missing(new[key], value, key_path)


def _check_list(new: list[Any], previous: list[Any], path: str) -> None:
    """Checks that each new object has the keys that all objects of the previous list have."""
    objects = [each for each in previous if isinstance(each, Mapping)]
    if not objects:
        return
    common_keys = [key for key in objects[0] if all(key in each for each in objects)]
    for index, each in enumerate(new):
        check_no_key_missing(each, dict.fromkeys(common_keys, ...), f"{path}[{index}]")
