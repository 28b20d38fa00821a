"""Checks at a reload that the new configuration file has every key of the file in force.

A missing key was probably forgotten or lost with a truncated part of the file, and neither a default nor the
previous value may hide that.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from tulipnotch.sidecar.configuration.errors import ConfigError

# The key of the cached endpoint list: a new list need not have the keys of the previous one.
_UNCHECKED_KEY = "known"


def check_no_key_missing(new: object, previous: object, path: str = "") -> None:
    """Checks that a value of the new file has all keys that the file in force has there.

    Args:
        new: The value in the new file.
        previous: The value in the file in force.
        path: The path of both values in their files; empty for the files themselves.

    Raises:
        ConfigError: A key is missing or null, or an object was replaced by a value that is not an object.
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
        if key_path != _UNCHECKED_KEY:
            check_no_key_missing(new[key], value, key_path)


def _check_list(new: list[Any], previous: list[Any], path: str) -> None:
    """Checks that each new object has the keys that all objects of the previous list have."""
    previous_objects = [item for item in previous if isinstance(item, Mapping)]
    if not previous_objects:
        return
    common_keys = [key for key in previous_objects[0] if all(key in item for item in previous_objects)]
    for index, item in enumerate(new):
        # `...` is neither None nor a container: each key is required, but its value is not compared.
        check_no_key_missing(item, dict.fromkeys(common_keys, ...), f"{path}[{index}]")
