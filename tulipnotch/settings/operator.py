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
    requests: bool = False


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


Bar = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
ClassNames = tuple[Annotated[str, msgspec.Meta(min_length=1, max_length=128)], ...]


class LevelTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[overload.levels]]`: a level of reduced service; it keeps out what the one before does, and more."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,31}$")]
    over_share: ClassNames = ()
    closed: ClassNames = ()
    enter_refused: Bar = 0.1
    enter_s: Annotated[float, msgspec.Meta(ge=5.0, le=600.0)] = 20.0
    leave_fill: Bar = 0.6
    leave_s: Annotated[float, msgspec.Meta(ge=5.0, le=600.0)] = 30.0

    def __post_init__(self) -> None:
        if self.name == "full":
            raise ValueError("name: `full` is full service; a level needs another name")
        if not self.over_share and not self.closed:
            raise ValueError(
                "over_share: a level that keeps nothing out is none; name classes here or in `closed`"
            )


class OverloadTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[overload]`: levels of reduced service, the mildest first; none by default."""

    hold_s: Annotated[float, msgspec.Meta(ge=30.0, le=3600.0)] = 30.0
    levels: Annotated[tuple[LevelTable, ...], msgspec.Meta(max_length=8)] = ()

    def __post_init__(self) -> None:
        names = [each.name for each in self.levels]
        if len(set(names)) != len(names):
            raise ValueError("levels: a name stands twice")
        for place, (milder, each) in enumerate(zip(self.levels, self.levels[1:], strict=False), 1):
            if not set(milder.closed) <= set(each.closed):
                raise ValueError(f"levels[{place}].closed: must name all that {milder.name!r} names")
            if not set(milder.over_share) <= {*each.over_share, *each.closed}:
                raise ValueError(f"levels[{place}].over_share: must name all that {milder.name!r} names")


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: LogTable = LogTable()
    door: DoorTable = DoorTable()
    clients: ClientsTable = ClientsTable()
    overload: OverloadTable = OverloadTable()


def load(path: Path) -> OperatorFile:
    """Read and check the file; raise `check.BadFile` with all that is wrong with it."""
    return read_toml(path, OperatorFile).value
