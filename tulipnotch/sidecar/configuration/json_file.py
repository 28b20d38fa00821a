"""Reads the JSON file of the configuration, more strictly than the JSON library does by default."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NoReturn

from tulipnotch.sidecar.configuration.errors import ConfigError

CONFIG_VARIABLE = "BALANCER_CONFIG"  # of the environment; it holds the path of the file


def read_json_object(path: str) -> dict[str, Any]:
    """Reads a file that holds one JSON object.

    Raises:
        ConfigError: The file cannot be read, is not JSON, repeats a key or holds a number that is not finite.
    """
    try:
        given = json.loads(
            Path(path).read_bytes(),
            parse_constant=_reject_constant,
            object_pairs_hook=_object_without_duplicates,
        )
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(CONFIG_VARIABLE, f"cannot read {path}: {error}") from None
    if not isinstance(given, dict):
        raise ConfigError(CONFIG_VARIABLE, "the file must hold a JSON object")
    return given


def _reject_constant(text: str) -> NoReturn:
    """Rejects NaN and infinities, which JSON does not have but Python's parser accepts."""
    raise ConfigError(CONFIG_VARIABLE, f"{text} is not a finite number")


def _object_without_duplicates(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    given = dict(pairs)
    if len(given) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ConfigError(duplicate, "duplicate key in one object")
    return given
