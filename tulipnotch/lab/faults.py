"""The time line of a run: what is done to which server or sidecar, and when.  The same in both times."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.lab.load import stream
from tulipnotch.lab.scenario import FaultLine, Scenario
from tulipnotch.lab.server import Job, OrderServer


@unique
class Deed(Enum):
    """One thing that is done at one moment."""

    CRASH = "crash"
    START = "start"
    HANG = "hang"
    UNHANG = "unhang"
    FAIL = "fail"  # with the part of requests that fail; 0: it is well
    SLOW = "slow"  # with the factor; 1: it is well
    GARBLE = "garble"  # with the part of answers that are spoilt
    DRAIN = "drain"
    DIRECTORY_DOWN = "directory_down"
    DIRECTORY_UP = "directory_up"
    CUT = "cut"  # one zone from all others
    JOIN = "join"
    RESTART = "restart"  # a sidecar


@dataclass(frozen=True, slots=True)
class Incident:
    """A deed at a time (microseconds from the start) to a server or sidecar, by its place."""

    at: int
    deed: Deed
    target: int = -1
    value: float = 0.0
    zone: str = ""


def plan(given: Scenario, seed: int) -> list[Incident]:
    """All incidents in the order of time."""
    found: list[Incident] = []
    for index, fault in enumerate(given.faults):
        chance = stream(seed, "fault", index)
        found += _of(fault, given, chance)
    return sorted(found, key=lambda each: each.at)


def strike(server: OrderServer, incident: Incident, now: int) -> list[Job]:
    """Do to a server what leaves its process and its place in the list alone; give the jobs that begin."""
    match incident.deed:
        case Deed.HANG:
            server.hang(now)
        case Deed.UNHANG:
            return server.unhang(now)
        case Deed.FAIL:
            server.fails = incident.value
        case Deed.SLOW:
            server.slowed = incident.value
        case Deed.GARBLE:
            server.spoils = incident.value
    return []


_WHILE = {
    "crash": (Deed.CRASH, Deed.START, 0.0),
    "hang": (Deed.HANG, Deed.UNHANG, 0.0),
    "fast_errors": (Deed.FAIL, Deed.FAIL, 0.0),
    "slow": (Deed.SLOW, Deed.SLOW, 1.0),
    "garble": (Deed.GARBLE, Deed.GARBLE, 0.0),
}


def _of(fault: FaultLine, given: Scenario, chance: random.Random) -> list[Incident]:
    begin, span = int(fault.at_s * 1e6), int(fault.for_s * 1e6)
    servers = _some(range(given.fleet.servers), fault.part, chance)
    if fault.kind in _WHILE:
        first, last, well = _WHILE[fault.kind]
        return [
            each
            for server in servers
            for each in (
                Incident(begin, first, server, fault.size),
                Incident(begin + span, last, server, well),
            )
        ]
    if fault.kind in ("drain", "release"):
        back = int(fault.back_s * 1e6)
        longest = int(max(each.deadline_ms for each in given.classes) * 1e3)
        found = []
        for place, server in enumerate(servers):
            at = begin + (span * place // len(servers) if fault.kind == "drain" else 0)
            # It finishes what it has within the longest deadline, then ends; a new process follows.
            ends = at + int(given.discovery.drain_notice_s * 1e6) + longest
            found += [Incident(at, Deed.DRAIN, server), Incident(ends, Deed.CRASH, server)]
            found.append(Incident(ends + back, Deed.START, server))
        return found
    if fault.kind == "discovery_down":
        return [Incident(begin, Deed.DIRECTORY_DOWN), Incident(begin + span, Deed.DIRECTORY_UP)]
    if fault.kind == "cut":
        return [
            Incident(begin, Deed.CUT, zone=fault.zone),
            Incident(begin + span, Deed.JOIN, zone=fault.zone),
        ]
    if fault.kind == "restart":
        sidecars = _some(range(given.fleet.sidecars), fault.part, chance)
        return [
            Incident(begin + span * place // len(sidecars), Deed.RESTART, sidecar)
            for place, sidecar in enumerate(sidecars)
        ]
    return []  # heavy_tail is the load's


def _some(places: Sequence[int], part: float, chance: random.Random) -> list[int]:
    return chance.sample(places, min(max(round(part * len(places)), 1), len(places)))
