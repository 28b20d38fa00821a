"""Decides what a response of discovery changes in the endpoint list in force.

Pure: no clock, no I/O.  Calls overlap and end in any order, so each response is judged by what was in force
when its call started and by what is in force now:

* A list of the same source is applied if its version is higher.  A lower one is late, unless it is lower than
  what was in force when its call started: then discovery was restarted and counts its versions anew.  If
  another list was applied since that start, it can't be told which of the two is older.
* A source is one discovery server until it is restarted.  Versions of two sources can't be compared, so the
  list of a later source replaces that of an earlier one.
* Where versions can't be compared, a withdrawal counts more than the contrary: a response of an earlier
  source makes no endpoint ready, but what it withdraws is withdrawn; and an endpoint that was withdrawn
  becomes ready by another source only if its call started after that.  The complete list is then requested
  once more.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum, auto, unique
from typing import NamedTuple

from tulipnotch.load_balancing.events import EndpointDescription, EndpointState
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveredEndpoint, DiscoveryResponse

_MAX_WITHDRAWALS = 8_192  # more than a list may have; of older ones, no call is outstanding


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


class _Withdrawal(NamedTuple):
    """When an endpoint that is not ready was withdrawn."""

    revision: int
    source: int


class EndpointListState:
    """The version and the source of the list in force, and which endpoints it has as ready."""

    def __init__(self, cached: DiscoveryResponse) -> None:
        """Starts with the list that was cached before the start, as if from the first source."""
        self._source = 0
        self._source_in_force = 0
        self._restarted_source: int | None = None  # number of the source in force before its restart
        self._version = cached.version
        self._revision = 0
        self._needs_complete_list = False
        self._ready = _ready_names(cached)
        self._withdrawals: dict[str, _Withdrawal] = {}  # keyed by name, the latest last
        self._previous_names: frozenset[str] = frozenset()  # known when the source in force was replaced

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
        is_unchanged = origin.revision == self._revision  # whether nothing was applied since the call started
        is_of_source_in_force = origin.source == self._source_in_force
        if origin.source > self._source_in_force:
            return Verdict.APPLY
        if not is_of_source_in_force and not self._is_of_restarted(origin, response):
            return Verdict.WITHDRAW
        if response.version > self._version:
            return Verdict.APPLY
        if response.version == self._version:
            return Verdict.APPLY if is_unchanged else Verdict.KNOWN
        if not is_of_source_in_force or origin.version is None:
            return Verdict.WITHDRAW
        if _is_restart(origin, response):
            return Verdict.APPLY_RESTARTED if is_unchanged else Verdict.WITHDRAW
        return Verdict.STALE

    def _is_of_restarted(self, origin: CallOrigin, response: DiscoveryResponse) -> bool:
        """Returns whether a call that started before discovery was restarted got its response after it."""
        return origin.source == self._restarted_source and _is_restart(origin, response)

    def apply(self, origin: CallOrigin, response: DiscoveryResponse) -> DiscoveryResponse:
        """Makes a list of the source in force, or of a later one, the list in force.

        Returns:
            The list without the endpoints as ready that were withdrawn after the call had started.
        """
        if origin.source > self._source_in_force:
            self._restarted_source = None
            self._replace_source_in_force(origin.source)
        return self._set_list(origin, response)

    def apply_restarted(self, origin: CallOrigin, response: DiscoveryResponse) -> DiscoveryResponse:
        """Makes the list of a restarted discovery server the one in force, whatever its version.

        Returns:
            See `apply`.
        """
        self._restarted_source = self._source_in_force
        self._source += 1
        self._replace_source_in_force(self._source)
        applied = self._set_list(origin, response)
        # Changes since the version of the earlier source may be missing in a delta.
        self._needs_complete_list = self._needs_complete_list or not response.is_complete
        return applied

    def apply_from_sibling(self, response: DiscoveryResponse) -> None:
        """Makes the newer list of another process, from the same source, the one in force."""
        self._set_list(self.start_call(), response)

    def withdraw(self, origin: CallOrigin, response: DiscoveryResponse) -> tuple[DiscoveredEndpoint, ...]:
        """Withdraws, until the next complete list, what a response of unknown age withdraws.

        What a complete list doesn't name is removed; endpoints that an earlier source never had are not
        concerned.

        Returns:
            The endpoints that were ready until now.
        """
        withdrawn = [each for each in response.endpoints if not _is_ready(each)]
        if response.is_complete:
            listed = {each.description.name for each in response.endpoints}
            known = self._known_names()
            if origin.source < self._source_in_force:
                known &= self._previous_names
            withdrawn += [
                DiscoveredEndpoint(EndpointDescription(name=name, state=EndpointState.REMOVED), None)
                for name in sorted(known - listed)
            ]
        if not withdrawn:
            return ()
        self._revision += 1
        self._record_withdrawals({each.description.name for each in withdrawn}, origin.source)
        were_ready = tuple(each for each in withdrawn if each.description.name in self._ready)
        if were_ready:
            self._ready -= {each.description.name for each in were_ready}
            self._needs_complete_list = True
        return were_ready

    def _replace_source_in_force(self, source: int) -> None:
        self._source_in_force = source
        self._previous_names = frozenset(self._known_names())

    def _known_names(self) -> set[str]:
        """Returns the names of the endpoints that are ready, and of those that were withdrawn."""
        return self._ready | self._withdrawals.keys()

    def _set_list(self, origin: CallOrigin, response: DiscoveryResponse) -> DiscoveryResponse:
        endpoints = tuple(self._without_withdrawn(origin, each) for each in response.endpoints)
        applied = response._replace(endpoints=endpoints)
        ready = _ready_names(applied)
        withdrawn = {each.description.name for each in endpoints} - ready
        if response.is_complete:
            withdrawn |= self._known_names() - ready
            self._ready = ready
            self._needs_complete_list = False
        else:
            self._ready |= ready
            self._ready -= withdrawn
        if endpoints != response.endpoints:
            self._needs_complete_list = True
        self._version = response.version
        self._revision += 1
        for name in ready:
            self._withdrawals.pop(name, None)
        self._record_withdrawals(withdrawn, self._source_in_force)
        return applied

    def _without_withdrawn(self, origin: CallOrigin, endpoint: DiscoveredEndpoint) -> DiscoveredEndpoint:
        """Returns the endpoint as draining if it is not known whether it is ready by now."""
        withdrawal = self._withdrawals.get(endpoint.description.name)
        if withdrawal is None or not _is_ready(endpoint):
            return endpoint
        if origin.revision >= withdrawal.revision or origin.source == withdrawal.source:
            return endpoint
        return endpoint._replace(description=replace(endpoint.description, state=EndpointState.DRAINING))

    def _record_withdrawals(self, names: set[str], source: int) -> None:
        for name in names:
            self._withdrawals.pop(name, None)
            self._withdrawals[name] = _Withdrawal(self._revision, source)
        while len(self._withdrawals) > _MAX_WITHDRAWALS:
            del self._withdrawals[next(iter(self._withdrawals))]


def _is_restart(origin: CallOrigin, response: DiscoveryResponse) -> bool:
    """Returns whether discovery counts anew: the version is lower than at the start of the call."""
    return origin.version is not None and response.version < origin.version


def _is_ready(endpoint: DiscoveredEndpoint) -> bool:
    return endpoint.description.state is EndpointState.READY


def _ready_names(response: DiscoveryResponse) -> set[str]:
    return {each.description.name for each in response.endpoints if _is_ready(each)}
