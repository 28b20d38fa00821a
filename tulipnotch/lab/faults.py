"""Fault injection: which fault events happen to which server or sidecar, and when; the same in both times."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.lab.load import random_stream
from tulipnotch.lab.scenario import FaultSpec, Scenario
from tulipnotch.lab.server import Job, OrderServer


@unique
class FaultAction(Enum):
    """What a fault event does; the values are part of the timeline of result files."""

    CRASH = "crash"
    START = "start"
    HANG = "hang"
    RESUME = "unhang"
    FAIL_REQUESTS = "fail"  # the event's value is the fraction of requests that fail; 0 ends the fault
    SLOW_DOWN = "slow"  # the event's value is the factor; 1 ends the fault
    CORRUPT_RESPONSES = "garble"  # the event's value is the fraction of malformed responses; 0 ends the fault
    DRAIN = "drain"
    DISCOVERY_DOWN = "directory_down"
    DISCOVERY_UP = "directory_up"
    PARTITION_ZONE = "cut"  # separates one zone from all others
    HEAL_PARTITION = "join"
    RESTART_SIDECAR = "restart"


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One action of a fault at one time.

    Attributes:
        at: When, microseconds from the start.
        action: What happens.
        target: The index of the server, or of the sidecar for `RESTART_SIDECAR`; -1 if there is none.
        value: The fraction or factor of the action, if it has one.
        zone: The zone that is separated or joined again.
    """

    at: int
    action: FaultAction
    target: int = -1
    value: float = 0.0
    zone: str = ""


def plan_fault_events(scenario: Scenario, seed: int) -> list[FaultEvent]:
    """Returns the events of all faults of the scenario in the order of time."""
    events: list[FaultEvent] = []
    for index, fault in enumerate(scenario.faults):
        rng = random_stream(seed, "fault", index)
        events += _events_of_fault(fault, scenario, rng)
    return sorted(events, key=lambda event: event.at)


def apply_to_server(server: OrderServer, event: FaultEvent, now: int) -> list[Job]:
    """Applies an event that neither ends the server's process nor changes the endpoint list.

    Returns:
        The jobs that start because of it.
    """
    match event.action:
        case FaultAction.HANG:
            server.hang(now)
        case FaultAction.RESUME:
            return server.resume(now)
        case FaultAction.FAIL_REQUESTS:
            server.error_fraction = event.value
        case FaultAction.SLOW_DOWN:
            server.slowdown = event.value
        case FaultAction.CORRUPT_RESPONSES:
            server.malformed_fraction = event.value
    return []


# Keyed by kind of fault: the actions that start and end it, and the value of the event that ends it.
_START_AND_END_ACTIONS = {
    "crash": (FaultAction.CRASH, FaultAction.START, 0.0),
    "hang": (FaultAction.HANG, FaultAction.RESUME, 0.0),
    "fast_errors": (FaultAction.FAIL_REQUESTS, FaultAction.FAIL_REQUESTS, 0.0),
    "slow": (FaultAction.SLOW_DOWN, FaultAction.SLOW_DOWN, 1.0),
    "garble": (FaultAction.CORRUPT_RESPONSES, FaultAction.CORRUPT_RESPONSES, 0.0),
}


def _events_of_fault(fault: FaultSpec, scenario: Scenario, rng: random.Random) -> list[FaultEvent]:
    start, duration_us = int(fault.at_s * 1e6), int(fault.for_s * 1e6)
    servers = _sample_targets(range(scenario.fleet.servers), fault.part, rng)
    if fault.kind in _START_AND_END_ACTIONS:
        start_action, end_action, end_value = _START_AND_END_ACTIONS[fault.kind]
        return [
            event
            for server in servers
            for event in (
                FaultEvent(start, start_action, server, fault.size),
                FaultEvent(start + duration_us, end_action, server, end_value),
            )
        ]
    if fault.kind in ("drain", "release"):
        downtime_us = int(fault.back_s * 1e6)
        max_deadline_us = int(max(each.deadline_ms for each in scenario.classes) * 1e3)
        events = []
        for index, server in enumerate(servers):
            drain_at = start + (duration_us * index // len(servers) if fault.kind == "drain" else 0)
            # The server finishes its requests within the longest deadline; then its process ends, and a new
            # one starts after the downtime.
            stop_at = drain_at + int(scenario.discovery.drain_notice_s * 1e6) + max_deadline_us
            events += [
                FaultEvent(drain_at, FaultAction.DRAIN, server),
                FaultEvent(stop_at, FaultAction.CRASH, server),
            ]
            events.append(FaultEvent(stop_at + downtime_us, FaultAction.START, server))
        return events
    if fault.kind == "discovery_down":
        return [
            FaultEvent(start, FaultAction.DISCOVERY_DOWN),
            FaultEvent(start + duration_us, FaultAction.DISCOVERY_UP),
        ]
    if fault.kind == "cut":
        return [
            FaultEvent(start, FaultAction.PARTITION_ZONE, zone=fault.zone),
            FaultEvent(start + duration_us, FaultAction.HEAL_PARTITION, zone=fault.zone),
        ]
    if fault.kind == "restart":
        sidecars = _sample_targets(range(scenario.fleet.sidecars), fault.part, rng)
        return [
            FaultEvent(start + duration_us * index // len(sidecars), FaultAction.RESTART_SIDECAR, sidecar)
            for index, sidecar in enumerate(sidecars)
        ]
    return []  # `heavy_tail` changes the work of requests and is part of the load


def _sample_targets(indices: Sequence[int], fraction: float, rng: random.Random) -> list[int]:
    """Samples this fraction of the indices, at least one."""
    return rng.sample(indices, min(max(round(fraction * len(indices)), 1), len(indices)))
