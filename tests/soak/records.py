"""Records of the clients, servers and processes of a soak run, with times in seconds of one clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field, replace
from enum import Enum, unique


def now() -> float:
    """Returns the time of the machine's monotonic clock, which all records use, in seconds."""
    return time.monotonic()


@unique
class Idempotency(Enum):
    """Whether a request may be executed more than once; the values are those of the settings."""

    IDEMPOTENT = "read_like"
    IDEMPOTENT_WITH_KEY = "idempotency_key"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A service class; `deduplication_scope` is the set of servers that share idempotency keys."""

    name: str
    idempotency: Idempotency
    deadline_s: float
    latency_objective_s: float
    deduplication_scope: str = "cell"
    deduplication_window_s: float = 0.0

    def scaled(self, factor: float) -> RequestClass:
        """Returns the class with its times multiplied by `factor`."""
        return replace(
            self,
            deadline_s=self.deadline_s * factor,
            latency_objective_s=self.latency_objective_s * factor,
            deduplication_window_s=self.deduplication_window_s * factor,
        )

    @property
    def settings_entry(self) -> dict[str, object]:
        """The entry of this class in `lanes` of the settings."""
        return {
            "name": self.name,
            "giveUpUs": int(self.deadline_s * 1e6),
            "promiseUs": int(self.latency_objective_s * 1e6),
            "repeat": self.idempotency.value,
            "group": self.deduplication_scope,
            "memorySpanUs": int(self.deduplication_window_s * 1e6),
        }


@dataclass(slots=True)
class ClientAttempt:
    """A request as sent on one client connection to the sidecar `sidecar_number`; times are 0 if unset."""

    request_id: str
    request_class: RequestClass
    sidecar_number: int
    timeout_s: float
    is_first_on_connection: bool
    started_at: float = 0.0  # Time at which its first byte was written.
    sent_at: float = 0.0  # Time at which its last byte was written.
    disconnected_at: float = 0.0  # Time at which the client closed the connection before a complete response.
    ended_at: float = 0.0  # Time at which the response was complete or the connection was lost.
    status: int = 0  # Status of the complete response; 0 if there is none.
    is_own_response: bool = True  # False if a response with status 200 has the id of another request.
    received_id: str = ""  # The request id in a response with status 200.
    has_partial_response: bool = False  # True once the headers of a response were received.
    is_retried: bool = False  # True if the client decided to send the request again on a new connection.
    is_slow: bool = False  # True if its server takes long to respond.


@dataclass(slots=True)
class ServerAttempt:
    """An attempt as received by the proxy in front of a server; times are 0 if unset."""

    request_id: str
    server: str
    zone: str
    cell: int
    first_byte_received_at: float
    completed_at: float = 0.0  # Time at which its last byte was received.
    announced_timeout_s: float = 0.0
    is_executed: bool = False  # True if it was complete and not rejected, so that it counts as executed.
    ended_at: float = 0.0  # Time of the response, or of the end of the connection.
    is_body_delayed: bool = False  # True if the server wrote the head of its response, and the body later.
    is_body_lost: bool = False  # True if the sidecar had closed the connection before that body was written.
    is_id_reused: bool = False  # True if it is for an `IdReuse`, not for the request that had the id first.


@dataclass(slots=True)
class IdReuse:
    """A request with the id of another one that is open, or whose client has just disconnected."""

    original: ClientAttempt
    sent_at: float = 0.0  # Time at which its last byte was written; 0 if it could not be sent.
    ended_at: float = 0.0  # Time at which the response was complete or the connection was lost.
    status: int = 0  # Status of the complete response; 0 if there is none.


@dataclass(frozen=True, slots=True)
class DuplicateResponse:
    """A response that a server sent a second time, `delay_s` after the first time."""

    request_id: str
    sent_at: float
    delay_s: float


@dataclass(slots=True)
class ProcessRecord:
    """One process of a sidecar; times are 0 if the event did not happen."""

    sidecar_number: int
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
    """An endpoint list update that was written to a sidecar and withdraws a server."""

    sidecar_number: int
    server: str
    written_at: float
    connection_opened_at: float  # Time at which the connection was opened that it was written to.


@dataclass(frozen=True, slots=True)
class Pause:
    """A period during which the process of a sidecar was suspended by SIGSTOP."""

    sidecar_number: int
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Stall:
    """A period during which the event loop of the clients and servers, in this process, did not run."""

    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class MemoryPeak:
    """The highest resident memory of all processes of one sidecar together."""

    sidecar_number: int
    resident_mb: float
    limit_mb: int


@dataclass(frozen=True, slots=True)
class SidecarEvent:
    """An event that affected one sidecar."""

    sidecar_number: int
    occurred_at: float


@dataclass(slots=True)
class Records:
    """All records of one run."""

    client_attempts: list[ClientAttempt] = field(default_factory=list)
    server_attempts: list[ServerAttempt] = field(default_factory=list)
    id_reuses: list[IdReuse] = field(default_factory=list)
    duplicates: list[DuplicateResponse] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    memory_peaks: list[MemoryPeak] = field(default_factory=list)
    reloads: list[SidecarEvent] = field(default_factory=list)  # The address of discovery may have changed.
    is_discovery_pushed: bool = False  # What discovery has then counts for each process from its start.
    discovery_resets: list[SidecarEvent] = field(default_factory=list)  # Resets of connections to discovery.
