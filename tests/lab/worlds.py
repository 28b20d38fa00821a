"""Small worlds for tests."""

from __future__ import annotations

from typing import Any

import msgspec

from tulipnotch.lab.scenario import Scenario

SAFE = {"name": "look", "work_ms": 20.0, "aim_ms": 400.0, "deadline_ms": 1_000.0}
UNSAFE = {**SAFE, "name": "lodge", "repeat": "unsafe"}
KEYED = {**SAFE, "name": "amend", "repeat": "keyed", "group": "zone"}


def world(seconds: float = 6.0, **changes: Any) -> Scenario:
    """A quiet world of six servers and two sidecars; tables that are given are merged."""
    given: dict[str, Any] = {
        "name": "test",
        "seconds": seconds,
        "warmup_s": 0.5,
        "fleet": {"servers": 6, "sidecars": 2, "kinds": [{"name": "k", "cores": 2}]},
        "load": {"utilisation": 0.4},
        "classes": [SAFE, UNSAFE, KEYED],
    }
    for key, value in changes.items():
        given[key] = {**given.get(key, {}), **value} if isinstance(value, dict) else value
    return msgspec.convert(given, Scenario)
