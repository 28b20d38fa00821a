"""The operator file: what operators set for one installation, in addition to the platform's configuration.

`deploy/operator.toml` shows every key with its default.  `BALANCER_OPERATOR` names the file; without it the
defaults apply and nothing of this package is imported.  Where a key of the file differs from the name of its
field, `msgspec.field(name=...)` gives the key.
"""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from tulipnotch.settings.check import read_toml

Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)]
Fraction = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
ClassNames = tuple[Annotated[str, msgspec.Meta(min_length=1, max_length=128)], ...]

_FULL_SERVICE_NAME = "full"  # the name in the log for the state in which no level is in force


class LogTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[log]`: the format of the log and its rate limit."""

    format: Literal["text", "json"] = "text"
    lines_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=10_000.0)] = 20.0
    burst_lines: Annotated[float, msgspec.Meta(ge=1.0, le=100_000.0)] = msgspec.field(
        default=200.0, name="lines_at_once"
    )
    traces_requests: bool = msgspec.field(default=False, name="requests")


class ControlTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[door]`: limits on connections to the control endpoint."""

    max_connections: Annotated[int, msgspec.Meta(ge=1, le=256)] = msgspec.field(
        default=16, name="most_connections"
    )
    line_timeout_s: Seconds = 5.0
    linger_s: Seconds = 0.5


class ClientsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[clients]`: timeouts of client connections; the fields are named as in `ClientLimits`."""

    header_timeout_s: Seconds = 2.7
    stall_s: Seconds = 2.0
    reading_s: Seconds = 20.0
    idle_timeout_s: Seconds = 5.0


class LevelTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[overload.levels]]`: a level of reduced service; it rejects at least what the previous one does."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,31}$")]
    over_quota_classes: ClassNames = msgspec.field(default=(), name="over_share")
    rejected_classes: ClassNames = msgspec.field(default=(), name="closed")
    enter_rejected_fraction: Fraction = msgspec.field(default=0.1, name="enter_refused")
    enter_s: Annotated[float, msgspec.Meta(ge=5.0, le=600.0)] = 20.0
    leave_fill: Fraction = 0.6
    leave_s: Annotated[float, msgspec.Meta(ge=5.0, le=600.0)] = 30.0

    def __post_init__(self) -> None:
        """Validates the level alone; raises ValueError with a text of the form `key: problem`."""
        if self.name == _FULL_SERVICE_NAME:
            raise ValueError(f"name: {_FULL_SERVICE_NAME!r} is reserved for full service")
        if not self.over_quota_classes and not self.rejected_classes:
            raise ValueError("over_share: a level must name classes, here or in `closed`")


class OverloadTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[overload]`: levels of reduced service, ordered by severity; none by default."""

    hold_s: Annotated[float, msgspec.Meta(ge=30.0, le=3600.0)] = 30.0
    levels: Annotated[tuple[LevelTable, ...], msgspec.Meta(max_length=8)] = ()

    def __post_init__(self) -> None:
        """Validates the order of the levels; raises ValueError with a text of the form `key: problem`."""
        names = [level.name for level in self.levels]
        if len(set(names)) != len(names):
            raise ValueError("levels: two levels have the same name")
        for index, (previous, level) in enumerate(pairwise(self.levels), 1):
            if not set(previous.rejected_classes) <= set(level.rejected_classes):
                raise ValueError(
                    f"levels[{index}].closed: must name all classes that {previous.name!r} names"
                )
            restricted = {*level.over_quota_classes, *level.rejected_classes}
            if not set(previous.over_quota_classes) <= restricted:
                raise ValueError(
                    f"levels[{index}].over_share: must name all classes that {previous.name!r} names"
                )


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The top-level table of the operator file."""

    log: LogTable = LogTable()
    control: ControlTable = msgspec.field(default=ControlTable(), name="door")
    clients: ClientsTable = ClientsTable()
    overload: OverloadTable = OverloadTable()


def load_operator_file(path: Path) -> OperatorFile:
    """Reads and validates an operator file.

    Raises:
        InvalidFileError: The file cannot be read or is invalid; the error has all faults.
    """
    return read_toml(path, OperatorFile).value
