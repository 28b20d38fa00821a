"""Decides what a response of discovery changes in the endpoint list in force.

Pure: no clock, no I/O.  Calls overlap and end in any order, so each response is judged by what was in force
when its call started and by what is in force now:

* A list of the same source is applied if its version is higher.  A lower one is late, unless it is lower than
  what was in force when its call started: then discovery was restarted and counts its versions anew.  If
  another list was applied since that start, it can't be told which of the two is older.
* A source is one discovery server until it is restarted.  Versions of two sources can't be compared, so the
  list of a later source replaces that of an earlier one.
* A response of an earlier source, or one whose age can't be told, may be older or newer than the list in
  force.  It makes no endpoint ready, but what it withdraws is withdrawn until the source in force has sent
  its complete list once more.
"""

from __future__ import annotations

from enum import Enum, auto, unique
from typing import NamedTuple

from tulipnotch.load_balancing.events import EndpointDescription, EndpointState
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveredEndpoint, DiscoveryResponse


@unique
class Verdict(Enum):
    """What is done with a response."""

    APPLY = auto()
    APPLY_RESTARTED = auto()  # from a discovery server that counts its versions anew
    WITHDRAW = auto()  # older or newer than the list in force: only what it withdraws is applied
    STALE = auto()  # older than the list in force
    KNOWN = auto()  # has the version in force, which was applied after the call had started


class CallOrigin(NamedTuple):
    """What was in force when a call started."""

    source: int  # number of the discovery server that is called
    version: int | None  # version in force; None if it is that of another source
    revision: int  # number of lists that had been applied


class EndpointListState:
    """The version and the source of the list in force, and which endpoints it has as ready."""

    def __init__(self, cached: DiscoveryResponse) -> None:
        """Starts with the list that was cached before the start, as if from the first source."""
        self._source = 0
        self._source_in_force = 0
        self._version = cached.version
        self._revision = 0
        self._needs_complete_list = False
        self._ready = _ready_names(cached)
        self._previous_ready: frozenset[str] = frozenset()  # when the source in force was replaced

    @property
    def version(self) -> int | None:
        """The version in force; None if it is that of another source than the one that is called now."""
        return self._version if self._source_in_force == self._source else None

    @property
    def version_in_force(self) -> int:
        """The version in force, of whichever source."""
        return self._version

    @property
    def needs_complete_list(self) -> bool:
        """Whether the complete list has to be requested, since the one in force may lack changes."""
        return self._needs_complete_list

    def change_source(self) -> None:
        """Calls another discovery server from now on."""
        self._source += 1
        self._needs_complete_list = False

    def start_call(self) -> CallOrigin:
        """Returns what is in force as a call starts."""
        return CallOrigin(self._source, self.version, self._revision)

    def is_of_current_source(self, origin: CallOrigin) -> bool:
        """Returns whether this call was made to the discovery server that is called now."""
        return origin.source == self._source

    def is_newer(self, version: int) -> bool:
        """Returns whether this version is newer than the one in force; False if they can't be compared."""
        return self.version is not None and version > self._version

    def judge(self, origin: CallOrigin, response: DiscoveryResponse) -> Verdict:
        """Returns what is to be done with a response to a call that started as `origin` describes."""
        if origin.source != self._source_in_force:
            return Verdict.APPLY if origin.source > self._source_in_force else Verdict.WITHDRAW
        if response.version > self._version:
            return Verdict.APPLY
        if response.version == self._version:
            return Verdict.APPLY if origin.revision == self._revision else Verdict.KNOWN
        if origin.version is not None and response.version < origin.version:
            return Verdict.APPLY_RESTARTED if origin.revision == self._revision else Verdict.WITHDRAW
        return Verdict.STALE

    def apply(self, origin: CallOrigin, response: DiscoveryResponse) -> None:
        """Makes a list of the source in force, or of a later one, the list in force."""
        if origin.source > self._source_in_force:
            self._source_in_force = origin.source
            self._previous_ready = frozenset(self._ready)
        self._set_list(response)

    def apply_restarted(self, response: DiscoveryResponse) -> None:
        """Makes the list of a restarted discovery server the one in force, whatever its version."""
        self._source += 1
        self._source_in_force = self._source
        self._previous_ready = frozenset(self._ready)
        self._needs_complete_list = True  # changes since the version of the earlier source may be missing
        self._set_list(response)

    def apply_from_sibling(self, response: DiscoveryResponse) -> None:
        """Makes the newer list of another process, from the same source, the one in force."""
        self._set_list(response)

    def withdrawals(self, response: DiscoveryResponse) -> tuple[DiscoveredEndpoint, ...]:
        """Returns the endpoints that are ready now, and that a response of unknown age withdraws.

        What a complete list doesn't name is removed; endpoints that an earlier source never had are not
        concerned.
        """
        withdrawn = [
            each
            for each in response.endpoints
            if each.description.state is not EndpointState.READY and each.description.name in self._ready
        ]
        if response.is_complete:
            listed = {each.description.name for each in response.endpoints}
            removed = (self._previous_ready & self._ready) - listed
            withdrawn += [
                DiscoveredEndpoint(EndpointDescription(name=name, state=EndpointState.REMOVED), None)
                for name in sorted(removed)
            ]
        return tuple(withdrawn)

    def withdraw(self, endpoints: tuple[DiscoveredEndpoint, ...]) -> None:
        """Withdraws endpoints until the next complete list, which has to be requested."""
        self._ready -= {each.description.name for each in endpoints}
        self._needs_complete_list = True
        self._revision += 1

    def _set_list(self, response: DiscoveryResponse) -> None:
        self._version = response.version
        self._revision += 1
        if response.is_complete:
            self._ready = _ready_names(response)
            self._needs_complete_list = False
            return
        for each in response.endpoints:
            if each.description.state is EndpointState.READY:
                self._ready.add(each.description.name)
            else:
                self._ready.discard(each.description.name)


def _ready_names(response: DiscoveryResponse) -> set[str]:
    return {
        each.description.name for each in response.endpoints if each.description.state is EndpointState.READY
    }
