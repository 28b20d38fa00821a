"""Settings of small deployments, in the form of the sample on the wire page."""

from __future__ import annotations

from typing import Any


def service_class(name: str, repeat: str, deadline_ms: int, aim_ms: int, **other: Any) -> dict[str, Any]:
    """Returns one class of requests."""
    lane: dict[str, Any] = {
        "name": name,
        "repeat": repeat,
        "giveUpUs": deadline_ms * 1_000,
        "promiseUs": aim_ms * 1_000,
        "group": "all",
        "lateValue": 0.0,
        "memorySpanUs": 4_000_000,
        "streaming": False,
        "worth": 3.0,
    }
    return {**lane, **other}


CONSULTER = service_class("consulter", "read_like", 1_500, 600, memorySpanUs=5_000_000)
COMMANDER = service_class("commander", "idempotency_key", 2_000, 600, group="zone", worth=5.0)


def sfax_settings(lanes: list[dict[str, Any]] | None = None, **top_level: Any) -> dict[str, Any]:
    """Returns the settings of `sfax-repas` as the wire page shows them, with these keys changed."""
    settings: dict[str, Any] = {
        "bounds": {
            "cpuUsPerRequest": 10.0,
            "cpuUsPerS": 8000,
            "dialTimeoutUs": 250000,
            "idleCloseUs": 10000000,
            "maxOpen": 20000,
            "maxRetryAfterUs": 2000000,
            "mayCancel": True,
            "mayTell": False,
            "probing": True,
            "retryAfter": True,
            "secondCopies": True,
            "sendCap": 3,
            "streamsPerConn": 1,
        },
        "clientHabits": {"marksRetry": False},
        "discovery": "on_request",
        "domain": {"warmKeys": True},
        "family": "mesh",
        "goal": {"whole": 0.75, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.05},
        "groupSize": 4,
        "guarantees": {
            "answerSlackUs": 20000,
            "askWithinUs": 10000000,
            "coldFrom": 0.13,
            "coldUs": 22000000,
            "drainGraceUs": 250000,
            "fallMultiple": 2.5,
            "fallUs": 1000000,
        },
        "kinds": ["std-4c", "petit-3c"],
        "lanes": lanes or [CONSULTER, COMMANDER],
        "layers": ["commandes"],
        "me": 1,
        "overShareWorth": 0.05,
        "prices": {"connection": 0.0, "crossZone": 0.022, "discovery": 0.0, "handshake": 0.02, "probe": 0.01},
        "quantumUs": 5000,
        "realms": [{"name": "sfax-medina", "portion": 1.0, "quotaRps": 300.0}],
        "report": {"columns": ["queue"], "source": "pull"},
        "tier": 0,
        "weights": "silent",
        "worthBy": "request",
        "zone": "hotel-de-ville",
        "zones": ["hotel-de-ville", "depot-nord", "cuisine-centrale"],
    }
    return {**settings, **top_level}


def entry(address: str, state: str = "active", **other: Any) -> dict[str, Any]:
    """Returns what discovery says of one order server."""
    return {"addr": address, "zone": "hotel-de-ville", "kind": "std-4c", "state": state, **other}
