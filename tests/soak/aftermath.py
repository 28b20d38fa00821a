"""What each sidecar must show after all faults: it serves, has nothing pending and holds few descriptors."""

from __future__ import annotations

import asyncio

from soak.records import SidecarEvent, now
from soak.rule_checker import Rule, Violation
from soak.sidecars import Place
from soak.world import CLASSES, World

_RECOVERY_S = 8.0  # within which each sidecar serves again
_REQUIRED_SUCCESSES = 20  # in a row
_REQUEST_INTERVAL_S = 0.02
_RELOAD_S = 0.2  # from SIGHUP to the first request
_SETTLING_S = 2.0  # from the last response until nothing may be pending
_MAX_DESCRIPTORS = 120  # at rest: far more than the few clients and servers need


async def check_aftermath(world: World) -> list[Violation]:
    """End all faults, check each sidecar, and stop its process."""
    for place in world.places:
        _end_faults(world, place)
    await asyncio.sleep(_RELOAD_S)
    recoveries = await asyncio.gather(*(_recovery_fault(world, place) for place in world.places))
    faults = [fault for fault in recoveries if fault]
    await asyncio.sleep(_SETTLING_S)
    for place in world.places:
        faults += await _resting_faults(place)
    await asyncio.gather(*(place.stop() for place in world.places))
    return [Violation(Rule.AFTERMATH, fault) for fault in faults]


def _end_faults(world: World, place: Place) -> None:
    place.shim.end_faults()
    place.reads_log.set()
    place.configure(settings=world.settings(place))
    world.records.reloads.append(SidecarEvent(place.number, now()))
    place.reload()


async def _recovery_fault(world: World, place: Place) -> str:
    """Send requests until enough in a row are served; the fault, if that does not happen in time."""
    application = world.applications[place.number]
    started_at, successes, requests = now(), 0, 0
    while successes < _REQUIRED_SUCCESSES:
        if now() > started_at + _RECOVERY_S:
            figures = {name: count for name, count in (await place.figures()).items() if count}
            return f"n{place.number} serves {successes} in a row after {requests}: {figures}"
        attempts_before = len(world.records.client_attempts)
        await application.begin(CLASSES[0])
        requests += 1
        new_attempts = world.records.client_attempts[attempts_before:]
        own = [attempt for attempt in new_attempts if attempt.sidecar == place.number]
        successes = successes + 1 if own and own[-1].status == 200 else 0
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    return ""


async def _resting_faults(place: Place) -> list[str]:
    name = f"n{place.number}"
    try:
        figures = await place.figures()
    except (OSError, TimeoutError) as error:
        return [f"{name} does not respond on its control endpoint: {error!r}"]
    faults = []
    if figures["pending"]:
        faults.append(f"{name} has {figures['pending']} requests pending")
    if figures["invariant_violations"]:
        faults.append(f"{name} counts {figures['invariant_violations']} violations")
    if place.descriptors() > _MAX_DESCRIPTORS:
        faults.append(f"{name} holds {place.descriptors()} descriptors")
    return faults
