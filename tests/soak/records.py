"""What the soak's ends saw, on one clock: the monotonic clock of the machine, in seconds."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum, unique


def now() -> float:
    """The one clock of all records."""
    return time.monotonic()


@unique
class Effect(Enum):
    """What a class says of a second run; the values are those of the settings."""

    SAFE = "read_like"
    KEYED = "idempotency_key"
    UNSAFE = "non_idempotent"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, as clients use it."""

    name: str
    effect: Effect
    deadline_s: float
    aim_s: float
    group: str = "cell"
    memory_s: float = 0.0

    @property
    def settings(self) -> dict[str, object]:
        """Its entry of `lanes`."""
        return {
            "name": self.name,
            "giveUpUs": int(self.deadline_s * 1e6),
            "promiseUs": int(self.aim_s * 1e6),
            "repeat": self.effect.value,
            "group": self.group,
            "memorySpanUs": int(self.memory_s * 1e6),
        }


@dataclass(slots=True)
class Try:
    """A request on one connection; `sidecar` is the number of its process's place."""

    request: str
    kind: RequestClass
    sidecar: int
    timeout_s: float
    is_first_on_connection: bool
    sent_at: float = 0.0  # when its last byte was written; 0: never
    left_at: float = 0.0  # when its client closed; 0: it stayed
    ended_at: float = 0.0  # when its answer was whole, or its connection ended
    status: int = 0  # of its whole answer; 0: none
    is_own_answer: bool = True
    had_part: bool = False  # whether a part of an answer came
    is_resent: bool = False  # whether its client sent it again on another connection


@dataclass(slots=True)
class Arrival:
    """An attempt as it came to the proxy before a server; times are those of its first and last byte."""

    request: str
    server: str
    zone: str
    cell: int
    first_at: float
    whole_at: float = 0.0  # 0: never
    told_s: float = 0.0
    ran: bool = False  # whether the server behind it began it
    out_until: float = 0.0  # when its connection was ended from either side, or it was answered; 0: not yet


@dataclass(slots=True)
class Life:
    """One process of a sidecar."""

    sidecar: int
    pid: int
    started_at: float
    ready_at: float = 0.0
    told_to_stop_at: float = 0.0
    killed_at: float = 0.0
    ended_at: float = 0.0
    exit_code: int | None = None
    log: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Announced:
    """A change that was written to a sidecar: from then on a server may get nothing, or was started anew."""

    sidecar: int
    server: str
    at: float


@dataclass(slots=True)
class Records:
    """Everything."""

    tries: list[Try] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    withdrawn: list[Announced] = field(default_factory=list)  # drains and ends
    held_up: list[tuple[int, float, float]] = field(default_factory=list)  # sidecar, from, to: it stood still
    reloads: list[tuple[int, float]] = field(default_factory=list)  # sidecar, when: discovery may have moved
    lost_news: list[tuple[int, float]] = field(
        default_factory=list
    )  # sidecar, when its connections were reset
