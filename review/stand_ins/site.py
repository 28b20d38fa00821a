"""Translates a site file of `deploy/sites` to the settings in the configuration of a sidecar."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
_DISCOVERY = {"ask": "on_request", "push": "pushed"}
_REPORTS = {"answers": "piggyback", "probe": "pull", "none": "silent"}


def load_site(name: str) -> dict[str, Any]:
    """Returns the content of a site file."""
    return tomllib.loads((ROOT / "deploy" / "sites" / f"{name}.toml").read_text())


def _middle(value: Any) -> float:
    """Returns the middle of a range, or the value itself if it is a number."""
    return sum(value) / len(value) if isinstance(value, list) else value


def _lane(each: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": each["name"],
        "giveUpUs": int(each["deadline_ms"] * 1_000),
        "promiseUs": int(each["aim_ms"] * 1_000),
        "worth": float(each["worth"]),
        "lateValue": float(each.get("late_worth", 0)),
        "repeat": _EFFECTS[each["effect"]],
        "group": each.get("group", "all"),
        "memorySpanUs": int(each.get("window_ms", 0) * 1_000),
        "streaming": False,
    }


def settings_of(site: dict[str, Any], instances: int = 1) -> dict[str, Any]:
    """Returns the settings of the first sidecar of a deployment, with the names of the simulator's wire."""
    allow, rules, tier = site["allow"], site["rules"], site["tier"][0]
    conn, kind, report = tier["conn"], tier["kind"], tier["report"]
    zones = site["net"]["zones"]
    return {
        "bounds": {
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": int(_middle(allow["cpu_ms_per_s"]) * 1_000),
            "dialTimeoutUs": int(_middle(conn["connect_timeout_ms"]) * 1_000),
            "idleCloseUs": int(_middle(conn["idle_s"]) * 1_000_000),
            "maxOpen": 20_000,
            "maxRetryAfterUs": int(site["clients"].get("max_retry_after_ms", 2_000) * 1_000),
            "mayCancel": allow["cancel"],
            "mayTell": False,
            "probing": allow["probes"],
            "retryAfter": allow["retry_after"],
            "secondCopies": allow["second_copies"],
            "sendCap": int(allow["max_attempts"]),
            "streamsPerConn": 1,
        },
        "clientHabits": {"marksRetry": site["clients"]["marks_retry"]},
        "discovery": _DISCOVERY[site["discovery"]["mode"]],
        "domain": {"warmKeys": False},
        "family": site["family"],
        "goal": {"whole": 1.0, "worstClass": 0.0, "worstTenant": 0.0, "worstWindow": 0.0},
        "groupSize": instances,
        "guarantees": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "coldFrom": min(each["cold_from"][0] for each in kind),
            "coldUs": int(max(each["cold_s"][1] for each in kind) * 1_000_000),
            "drainGraceUs": int(rules["drain_grace_ms"] * 1_000),
            "fallMultiple": float(rules["fall_multiple"]),
            "fallUs": int(rules["fall_ms"] * 1_000),
        },
        "kinds": [each["name"] for each in kind],
        "lanes": [_lane(each) for each in site["class"]],
        "layers": [tier["name"]],
        "me": 0,
        "overShareWorth": float(site["load"]["over_share_worth"]),
        "prices": {"crossZone": 0.0, "handshake": 0.0, "probe": 0.0, "waste": 0.0, "lateFail": 0.0},
        "quantumUs": int(site["day"]["tick_ms"] * 1_000),
        "realms": [],
        "report": {"columns": report.get("fields", []), "source": _REPORTS[report["how"]]},
        "tier": 0,
        "weights": "silent",
        "worthBy": site["load"]["worth_by"],
        "zone": zones[0],
        "zones": zones,
    }
