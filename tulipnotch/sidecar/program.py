"""The program of one sidecar: its files, its signals and its exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from tulipnotch.load_balancing.admission.service_levels import ServiceLevel
from tulipnotch.load_balancing.events import ServiceLevelChanged
from tulipnotch.sidecar import BEGAN
from tulipnotch.sidecar.configuration.configuration import Config, ConfigError, load
from tulipnotch.sidecar.control.endpoint import ControlEndpoint, ControlLimits
from tulipnotch.sidecar.descriptor_budget import client_limits
from tulipnotch.sidecar.downstream.listener import adopt, listen, reserve_soon
from tulipnotch.sidecar.logs import Format, LineLog, Log, LogLimits
from tulipnotch.sidecar.requests.trace import Trace
from tulipnotch.sidecar.service_level_monitor import ServiceLevels
from tulipnotch.sidecar.sidecar import Sidecar

if TYPE_CHECKING:
    from tulipnotch.settings.operator import OverloadTable  # msgspec is imported only for an operator file

_INHERITED = "BALANCER_INHERITED_FD"
_OPERATOR = "BALANCER_OPERATOR"


@dataclass(frozen=True, slots=True)
class Installation:
    """What the operator file sets; without a file, the defaults."""

    log: Log = field(default_factory=LineLog)
    door: ControlLimits = field(default_factory=ControlLimits)
    clients: Mapping[str, float] = field(default_factory=dict)  # of ClientLimits, by name
    levels: ServiceLevels | None = None
    traces_requests: bool = False  # whether the log tells the life of each request


def installation(path: str | None) -> Installation:
    """Read the operator file, if one is named; raise ConfigError with all of its faults."""
    if not path:
        return Installation()
    try:
        import msgspec

        from tulipnotch.settings import check, operator

        given = operator.load(Path(path))
        form = Format(given.log.format)
        limits = LogLimits(given.log.lines_per_s, given.log.lines_at_once)
        return Installation(
            LineLog(form, limits),
            ControlLimits(**msgspec.structs.asdict(given.door)),
            msgspec.structs.asdict(given.clients),
            _levels(given.overload),
            given.log.requests,
        )
    except ImportError as missing:
        raise ConfigError(
            f"{_OPERATOR}: {missing.name} is not installed; it comes with tulipnotch[operator]"
        ) from None
    except check.InvalidFileError as bad:
        raise ConfigError(f"{_OPERATOR}: {bad}") from None


def _levels(given: OverloadTable) -> ServiceLevels | None:
    levels = tuple(
        ServiceLevel(
            each.name,
            ServiceLevelChanged(frozenset(each.over_share), frozenset(each.closed)),
            each.enter_refused,
            int(each.enter_s * 1e6),
            each.leave_fill,
            int(each.leave_s * 1e6),
        )
        for each in given.levels
    )
    return ServiceLevels(levels, int(given.hold_s * 1e6)) if levels else None


def faults_of_levels(levels: ServiceLevels | None, config: Config) -> list[str]:
    """What the operator file's levels name that the configuration does not have."""
    known = [each.name for each in config.settings.classes]
    return [
        f"overload.levels[{place}]: no class {name!r}; known are {', '.join(known)}"
        for place, each in enumerate(levels.levels if levels else ())
        for name in sorted((each.effect.over_quota_classes | each.effect.rejected_classes) - set(known))
    ]


def reload(sidecar: Sidecar, log: Log) -> None:
    """Read the configuration anew, the whole of it; one that can't be used leaves the old one in force."""
    try:
        config = load(os.environ, sidecar.config)
    except ConfigError as fault:
        sidecar.telemetry.config_reload_errors += 1
        log("reload_refused", fault=str(fault))
    else:
        sidecar.telemetry.config_reloads += 1
        sidecar.reload(config)


async def serve(config: Config, inherited: socket.socket | None, place: Installation) -> None:
    """Run until SIGTERM or SIGINT, then drain; SIGHUP reads the configuration anew."""
    log = place.log
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.set_exception_handler(
        lambda _, what: log("internal_error", where=what["message"], fault=repr(what.get("exception")))
    )
    sidecar = Sidecar(
        config,
        log,
        client_limits(config, place.clients),
        place.levels,
        place.door.most_connections,
        Trace(log) if place.traces_requests else None,
    )
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar, log)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one may have come while the program loaded
    control = ControlEndpoint(sidecar.calls(), replace(place.door, most_connections=sidecar.operators))
    if config.control is not None:
        reserved = await reserve_soon(config.control)
        listen(reserved)
        control.take(reserved)
        log("door_open", address=f"{config.control[0]}:{control.port}")
    starting = asyncio.ensure_future(sidecar.start(inherited))
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()  # raises what went wrong
        address = f"{config.listen[0]}:{sidecar.frontend.port}"
        log("serving", name=config.name, address=address, after_ms=int((time.monotonic() - BEGAN) * 1e3))
        gc.freeze()  # what is there now stays: collections need not look at it
        await stopping
    else:
        starting.cancel()  # told to stop while it waits for a list
    log("draining")
    await sidecar.drain()
    control.close()
    log("drained")


def run() -> int:
    """Run one sidecar as the environment tells, and give the exit code of its process."""
    try:
        config = load(os.environ)
        place = installation(os.environ.get(_OPERATOR))
        strange = faults_of_levels(place.levels, config)
        if strange:
            raise ConfigError(f"{_OPERATOR}: {'; '.join(strange)}")
    except ConfigError as fault:
        print(f"tulipnotch: config: {fault}".replace("\n", " "), file=sys.stderr)
        return 2
    descriptor = os.environ.get(_INHERITED)
    try:
        inherited = adopt(descriptor) if descriptor else None
    except ValueError as fault:
        print(f"tulipnotch: {_INHERITED}: {fault}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, inherited, place))
    except OSError as fault:
        print(f"tulipnotch: can't listen: {fault}", file=sys.stderr)
        return 1
    return 0
