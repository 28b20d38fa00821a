"""The cases of the interleavings: classes of requests, deployments and starts, and their times (us)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cache
from typing import Any

from virtual_network import (
    MS,
)

from tulipnotch.sidecar.configuration.configuration import Config, parse_config

LATENCY_OBJECTIVE = 100 * MS
WINDOW = 200 * MS
CONNECT_TIMEOUT = 500 * MS
DEADLINE = 1_000 * MS
SLACK = 50 * MS  # of every time limit on sockets

# How far time passes at once.  An attempt is hedged after 1.5 latency objectives at the latest.
PAST_OBJECTIVE = 160 * MS
PAST_WINDOW = 210 * MS
PAST_CONNECT_TIMEOUT = 510 * MS

NOTIFIED_LATE = 5 * MS  # within which the program has seen that the network accepts more
REUSE_DELAY = 10 * MS  # the delay before a connection is reused
LONG_REUSE_DELAY = 450 * MS  # so long that an attempt hedged at PAST_OBJECTIVE would start past its WINDOW

REQUEST_ID = "0000000000000001"  # of the request that is checked
BUFFERED_BYTES = 8  # of a body that the sidecar buffers, so that small bodies are streamed

# By host: id, zone, cell.  No cell reaches into two zones.
SERVERS = {
    "10.0.0.1": ("s-0", "a", 1),
    "10.0.0.2": ("s-1", "a", 1),
    "10.0.0.3": ("s-2", "a", 1),
    "10.0.0.4": ("s-3", "a", 2),
    "10.0.0.5": ("s-4", "b", 3),
}


@dataclass(frozen=True)
class Case:
    """A class of requests, and what the deployment permits."""

    effect: str  # idempotent, keyed or non-idempotent
    group: str = "all"
    attempts: int = 2
    hedging: bool = True

    def __str__(self) -> str:
        group = f"-{self.group}" if self.effect == "keyed" else ""
        return f"{self.effect}{group}-{self.attempts}-{'hedging' if self.hedging else 'no-hedging'}"


class Start(Enum):
    """What the sidecar has before the request arrives; the balancer's seed is chosen so that it holds.

    Attempt 0 always goes to a server that shares its cell with two others.
    """

    UNCONNECTED = "no connections"
    REUSABLE = "attempt 0 finds a connection on which an earlier request was rejected"
    REUSE_DELAYED = "attempt 0 waits for the reuse delay of a connection, a further one connects"
    REUSABLE_LATER = "attempt 0 connects, a further one finds a connection"

    @property
    def has_connections(self) -> bool:
        """Whether two servers have a connection that carried an earlier request."""
        return self is not Start.UNCONNECTED

    @property
    def reuse_delay_us(self) -> int:
        """The delay before a connection is reused."""
        return LONG_REUSE_DELAY if self is Start.REUSE_DELAYED else REUSE_DELAY


_EFFECTS = {"idempotent": "read_like", "keyed": "idempotency_key", "non-idempotent": "non_idempotent"}


@cache
def config_for(
    case: Case, seed: int, *, effect: str = "", group: str = "", window_us: int = WINDOW, hedging: bool = True
) -> Config:
    request_class: dict[str, Any] = {
        "name": "work",
        "giveUpUs": DEADLINE,
        "promiseUs": LATENCY_OBJECTIVE,
        "repeat": _EFFECTS[effect or case.effect],
        "group": group or case.group,
        "memorySpanUs": window_us,
    }
    given = {
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
                "sendCap": case.attempts,
                "secondCopies": case.hedging and hedging,
                "mayCancel": True,
                "dialTimeoutUs": CONNECT_TIMEOUT,
                "idleCloseUs": 20_000_000,
            },
        },
    }
    return parse_config(given, given)
