"""The cases of the interleavings: service classes, deployments, initial states and durations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cache
from typing import Any

from virtual_network import (
    MS,
)

from tulipnotch.sidecar.configuration.configuration import Config, parse_config

LATENCY_OBJECTIVE_US = 100 * MS
WINDOW_US = 200 * MS
CONNECT_TIMEOUT_US = 500 * MS
DEADLINE_US = 1_000 * MS
TIMER_SLACK_US = 50 * MS  # allowed delay of every timeout

# Durations by which a step advances the clock.  An attempt is hedged after at most 1.5 latency objectives.
PAST_OBJECTIVE_US = 160 * MS
PAST_WINDOW_US = 210 * MS
PAST_CONNECT_TIMEOUT_US = 510 * MS

WRITABLE_DELAY_US = 5 * MS  # within this time the sidecar notices that the network accepts more data
REUSE_DELAY_US = 10 * MS  # the delay before a connection is reused
# Long enough for an attempt hedged at PAST_OBJECTIVE_US to start past its WINDOW_US.
LONG_REUSE_DELAY_US = 450 * MS

REQUEST_ID = "0000000000000001"  # id of the request that is checked
BUFFERED_BYTES = 8  # buffer limit of a body; it is small so that short bodies are streamed

# Server id, zone and cell, keyed by host.  Each cell is in one zone.
SERVERS = {
    "10.0.0.1": ("s-0", "a", 1),
    "10.0.0.2": ("s-1", "a", 1),
    "10.0.0.3": ("s-2", "a", 1),
    "10.0.0.4": ("s-3", "a", 2),
    "10.0.0.5": ("s-4", "b", 3),
}


@dataclass(frozen=True)
class Case:
    """A service class, and the limits of the deployment."""

    idempotency: str  # idempotent, keyed or non-idempotent
    deduplication_scope: str = "all"
    max_attempts: int = 2
    allows_hedging: bool = True

    def __str__(self) -> str:
        scope = f"-{self.deduplication_scope}" if self.idempotency == "keyed" else ""
        return (
            f"{self.idempotency}{scope}-{self.max_attempts}-"
            f"{'hedging' if self.allows_hedging else 'no-hedging'}"
        )


class Start(Enum):
    """The sidecar's connections before the request arrives.

    The balancer's seed is chosen to reach this state.  Attempt 0 always goes to a server whose cell has two
    other servers.
    """

    UNCONNECTED = "no connections"
    REUSABLE = "attempt 0 finds a connection on which an earlier request was rejected"
    REUSE_DELAYED = "attempt 0 waits for the reuse delay of a connection, a further one connects"
    REUSABLE_LATER = "attempt 0 connects, a further one finds a connection"

    @property
    def has_connections(self) -> bool:
        """Whether two servers have a connection from an earlier request."""
        return self is not Start.UNCONNECTED

    @property
    def reuse_delay_us(self) -> int:
        """The delay (us) before a connection is reused."""
        return LONG_REUSE_DELAY_US if self is Start.REUSE_DELAYED else REUSE_DELAY_US


_IDEMPOTENCY_CLASSES = {
    "idempotent": "read_like",
    "keyed": "idempotency_key",
    "non-idempotent": "non_idempotent",
}


@cache
def create_config(
    case: Case,
    seed: int,
    *,
    idempotency: str = "",
    deduplication_scope: str = "",
    window_us: int = WINDOW_US,
    allows_hedging: bool = True,
) -> Config:
    request_class: dict[str, Any] = {
        "name": "work",
        "giveUpUs": DEADLINE_US,
        "promiseUs": LATENCY_OBJECTIVE_US,
        "repeat": _IDEMPOTENCY_CLASSES[idempotency or case.idempotency],
        "group": deduplication_scope or case.deduplication_scope,
        "memorySpanUs": window_us,
    }
    values = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": seed,
        "known": {
            "version": 1,
            "full": True,
            "servers": [
                {"id": name, "addr": f"{host}:80", "zone": zone, "kind": "", "cell": cell, "state": "active"}
                for host, (name, zone, cell) in SERVERS.items()
            ],
        },
        "settings": {
            "lanes": [request_class, {**request_class, "name": "before", "repeat": "read_like"}],
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "pushed",
            "bounds": {
                "sendCap": case.max_attempts,
                "secondCopies": case.allows_hedging and allows_hedging,
                "mayCancel": True,
                "dialTimeoutUs": CONNECT_TIMEOUT_US,
                "idleCloseUs": 20_000_000,
            },
        },
    }
    return parse_config(values, values)
