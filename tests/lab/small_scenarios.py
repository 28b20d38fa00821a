"""Small scenarios for tests."""

from __future__ import annotations

from typing import Any

import msgspec

from tulipnotch.lab.scenario import Scenario

IDEMPOTENT_CLASS = {"name": "look", "work_ms": 20.0, "aim_ms": 400.0, "deadline_ms": 1_000.0}
NON_IDEMPOTENT_CLASS = {**IDEMPOTENT_CLASS, "name": "lodge", "repeat": "unsafe"}
KEYED_CLASS = {**IDEMPOTENT_CLASS, "name": "amend", "repeat": "keyed", "group": "zone"}


def make_scenario(seconds: float = 6.0, **changes: Any) -> Scenario:
    """Returns a scenario of six servers and two sidecars at moderate load; tables in `changes` are merged."""
    tables: dict[str, Any] = {
        "name": "test",
        "seconds": seconds,
        "warmup_s": 0.5,
        "fleet": {"servers": 6, "sidecars": 2, "kinds": [{"name": "k", "cores": 2}]},
        "load": {"utilisation": 0.4},
        "classes": [IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, KEYED_CLASS],
    }
    for key, value in changes.items():
        tables[key] = {**tables.get(key, {}), **value} if isinstance(value, dict) else value
    return msgspec.convert(tables, Scenario)
