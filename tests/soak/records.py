"""What the clients, servers and processes of a soak run record, on one clock, in seconds."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum, unique


def now() -> float:
    """The clock of all records: the monotonic clock of the machine, in seconds."""
    return time.monotonic()


@unique
class Idempotency(Enum):
    """Whether a request may be executed twice; the values are those of the settings."""

    IDEMPOTENT = "read_like"
    WITH_KEY = "idempotency_key"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, as clients use it; `key_scope` is where servers share idempotency keys."""

    name: str
    idempotency: Idempotency
    deadline_s: float
    latency_objective_s: float
    key_scope: str = "cell"
    deduplication_window_s: float = 0.0

    @property
    def settings(self) -> dict[str, object]:
        """Its entry of `lanes` in the settings."""
        return {
            "name": self.name,
            "giveUpUs": int(self.deadline_s * 1e6),
            "promiseUs": int(self.latency_objective_s * 1e6),
            "repeat": self.idempotency.value,
            "group": self.key_scope,
            "memorySpanUs": int(self.deduplication_window_s * 1e6),
        }


@dataclass(slots=True)
class ClientAttempt:
    """A request on one client connection; `sidecar` is the number of the sidecar that it was sent to."""

    request_id: str
    request_class: RequestClass
    sidecar: int
    timeout_s: float
    is_first_on_connection: bool
    sent_at: float = 0.0  # when its last byte was written; 0: never
    disconnected_at: float = 0.0  # when its client closed the connection; 0: it did not
    ended_at: float = 0.0  # when its response was complete, or its connection ended
    status: int = 0  # of its complete response; 0: none
    is_own_response: bool = True
    has_partial_response: bool = False  # whether at least a part of a response was received
    is_retried: bool = False  # whether its client may send it again on another connection


@dataclass(slots=True)
class ServerAttempt:
    """An attempt as the proxy in front of a server received it."""

    request_id: str
    server: str
    zone: str
    cell: int
    first_byte_at: float
    completed_at: float = 0.0  # when its last byte was received; 0: never
    announced_timeout_s: float = 0.0
    is_executed: bool = False  # whether the server behind the proxy began it
    ended_at: float = 0.0  # when either side ended its connection, or it was responded to; 0: not yet


@dataclass(slots=True)
class ProcessRecord:
    """One process of a sidecar; times are 0 where the event did not happen."""

    sidecar: int
    pid: int
    started_at: float
    ready_at: float = 0.0
    sigterm_at: float = 0.0
    killed_at: float = 0.0
    ended_at: float = 0.0
    exit_code: int | None = None
    log: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """A change written to a sidecar, by which a server is no longer active."""

    sidecar: int
    server: str
    at: float


@dataclass(frozen=True, slots=True)
class Pause:
    """The time in which the process of a sidecar was stopped by SIGSTOP."""

    sidecar: int
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class SidecarEvent:
    """Something that happened to a sidecar at one moment."""

    sidecar: int
    at: float


@dataclass(slots=True)
class Records:
    """Everything that was recorded in one run."""

    client_attempts: list[ClientAttempt] = field(default_factory=list)
    server_attempts: list[ServerAttempt] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    reloads: list[SidecarEvent] = field(default_factory=list)  # discovery may have moved
    discovery_resets: list[SidecarEvent] = field(default_factory=list)  # of the sidecar's connections
