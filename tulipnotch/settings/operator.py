"""The operator file: what staff set for one installation, beside what the platform tells.

`deploy/operator.toml` shows every key with its default.  `BALANCER_OPERATOR` names the file; without it the
defaults hold and nothing of this package is imported.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from tulipnotch.settings.check import read_toml

Positive = Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]


class LogTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: how events are written, and how many."""

    format: Literal["text", "json"] = "text"
    lines_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=10_000.0)] = 20.0
    lines_at_once: Annotated[float, msgspec.Meta(ge=1.0, le=100_000.0)] = 200.0


class DoorTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[door]`: what callers of the operators' door may take."""

    most_connections: Annotated[int, msgspec.Meta(ge=1, le=256)] = 16
    line_timeout_s: Positive = 5.0
    linger_s: Positive = 0.5


class ClientsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[clients]`: how long one client's connection may rest, read and send."""

    header_timeout_s: Positive = 2.7
    stall_s: Positive = 2.0
    reading_s: Positive = 20.0
    idle_timeout_s: Positive = 5.0


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: LogTable = LogTable()
    door: DoorTable = DoorTable()
    clients: ClientsTable = ClientsTable()


def load(path: Path) -> OperatorFile:
    """Read and check the file; raise `check.BadFile` with all that is wrong with it."""
    return read_toml(path, OperatorFile).value
