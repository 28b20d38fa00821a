"""What the client of discovery reports about each list that it receives and each call that it ends."""

from __future__ import annotations

from enum import StrEnum, unique
from typing import NamedTuple


@unique
class CallKind(StrEnum):
    """Why a call was made; the values are written to the log."""

    WATCH = "watch"
    HEDGE = "hedge"
    FETCH = "fetch"
    REFRESH = "refresh"  # requests the complete list, since the one in force may lack changes


@unique
class DiscardReason(StrEnum):
    """Why a list was not applied; the values are written to the log and are parts of metric names."""

    STALE = "stale"  # the list in force is newer
    KNOWN = "known"  # its version was applied after its call had started
    INCOMPARABLE = "incomparable"  # of a previous discovery or of unknown age, and it withdraws nothing


@unique
class EndReason(StrEnum):
    """Why a call was ended before its response; the values are written to the log and to metric names."""

    NO_RESPONSE = "no_response"  # there was none long after its timeout
    TOO_MANY = "too_many"  # as many calls were outstanding as are allowed
    SHUTDOWN = "shutdown"


class ListApplied(NamedTuple):
    """An endpoint list, or a part of one, was applied."""

    version: int
    change_count: int
    kind: CallKind
    call_age_s: float  # time since the call started


class ListDiscarded(NamedTuple):
    """An endpoint list was not applied."""

    version: int
    version_in_force: int
    reason: DiscardReason


class CallEnded(NamedTuple):
    """A call was ended by this process."""

    kind: CallKind
    reason: EndReason
    has_response_bytes: bool  # whether bytes of a response had arrived


DiscoveryEvent = ListApplied | ListDiscarded | CallEnded
