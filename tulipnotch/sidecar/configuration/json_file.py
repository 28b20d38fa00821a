"""Reads the JSON file of the configuration, more strictly than the JSON library does by default."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NoReturn

from tulipnotch.sidecar.configuration.errors import ConfigError

CONFIG_FILE_VARIABLE = "BALANCER_CONFIG"  # environment variable that holds the path of the file


def read_json_object(path: str) -> dict[str, Any]:
    """Reads a file that contains one JSON object.

    Raises:
        ConfigError: The file cannot be read, is not JSON, has a duplicate key or a number that is not finite.
    """
    try:
        document = json.loads(
            Path(path).read_bytes(),
            parse_constant=_reject_constant,
            object_pairs_hook=_build_object_without_duplicates,
        )
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(CONFIG_FILE_VARIABLE, f"cannot read {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(CONFIG_FILE_VARIABLE, "the file must contain a JSON object")
    return document


def _reject_constant(text: str) -> NoReturn:
    """Rejects NaN and infinities, which are not JSON but accepted by Python's parser."""
    raise ConfigError(CONFIG_FILE_VARIABLE, f"{text} is not a finite number")


def _build_object_without_duplicates(pairs: Sequence[tuple[str, Any]]) -> dict[str, Any]:
    json_object = dict(pairs)
    if len(json_object) < len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ConfigError(duplicate, "duplicate key in one object")
    return json_object
