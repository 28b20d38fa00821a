"""Check after all faults: each sidecar serves again, has no pending requests and few open descriptors."""

from __future__ import annotations

import asyncio

from soak.fleet import Fleet
from soak.records import SidecarEvent, now
from soak.rule_checker import Rule, Violation
from soak.sidecars import ManagedSidecar

_RECOVERY_TIMEOUT_S = 8.0  # Each sidecar must serve again within this time.
_REQUIRED_SUCCESSES = 20  # Consecutive responses with status 200 that count as recovered.
_REQUEST_INTERVAL_S = 0.02
_RELOAD_DELAY_S = 0.2  # Time between SIGHUP and the first request.
_IDLE_DELAY_S = 2.0  # Time after the last response within which a sidecar must have become idle.
_MAX_DESCRIPTORS = 120  # Limit for an idle sidecar, far above what its few clients and servers need.


async def check_recovery(fleet: Fleet) -> list[Violation]:
    """Ends all faults, checks that each sidecar recovers and becomes idle, and stops its process."""
    for sidecar in fleet.sidecars:
        _end_faults(fleet, sidecar)
    await asyncio.sleep(_RELOAD_DELAY_S)
    recovery_details = await asyncio.gather(*(_check_recovery(fleet, sidecar) for sidecar in fleet.sidecars))
    details = [detail for detail in recovery_details if detail]
    await asyncio.sleep(_IDLE_DELAY_S)
    for sidecar in fleet.sidecars:
        details += await _check_idle_state(sidecar)
    await asyncio.gather(*(sidecar.stop() for sidecar in fleet.sidecars))
    return [Violation(Rule.RECOVERY, detail) for detail in details]


def _end_faults(fleet: Fleet, sidecar: ManagedSidecar) -> None:
    sidecar.shim.end_faults()
    sidecar.log_reading_enabled.set()
    sidecar.update_configuration(settings=fleet.make_settings(sidecar))
    fleet.records.reloads.append(SidecarEvent(sidecar.number, now()))
    sidecar.signal_reload()


async def _check_recovery(fleet: Fleet, sidecar: ManagedSidecar) -> str:
    """Sends requests until enough consecutive ones succeed; returns a violation if they do not in time."""
    load_generator = fleet.load_generators[sidecar.number]
    started_at, consecutive_successes, request_count = now(), 0, 0
    while consecutive_successes < _REQUIRED_SUCCESSES:
        if now() > started_at + _RECOVERY_TIMEOUT_S:
            telemetry = {name: count for name, count in (await sidecar.read_telemetry()).items() if count}
            return (
                f"n{sidecar.number} has {consecutive_successes} consecutive successes "
                f"after {request_count} requests: {telemetry}"
            )
        attempt_count_before = len(fleet.records.client_attempts)
        await load_generator.start_request(fleet.classes[0])
        request_count += 1
        new_attempts = fleet.records.client_attempts[attempt_count_before:]
        sidecar_attempts = [attempt for attempt in new_attempts if attempt.sidecar_number == sidecar.number]
        consecutive_successes = (
            consecutive_successes + 1 if sidecar_attempts and sidecar_attempts[-1].status == 200 else 0
        )
        await asyncio.sleep(_REQUEST_INTERVAL_S)
    return ""


async def _check_idle_state(sidecar: ManagedSidecar) -> list[str]:
    name = f"n{sidecar.number}"
    try:
        telemetry = await sidecar.read_telemetry()
    except (OSError, TimeoutError) as error:
        return [f"{name}: no response from the control endpoint: {error!r}"]
    details = []
    if telemetry["pending"]:
        details.append(f"{name} has {telemetry['pending']} pending requests")
    if telemetry["invariant_violations"]:
        details.append(f"{name} reports {telemetry['invariant_violations']} invariant violations")
    if sidecar.count_descriptors() > _MAX_DESCRIPTORS:
        details.append(f"{name} has {sidecar.count_descriptors()} open descriptors")
    return details
