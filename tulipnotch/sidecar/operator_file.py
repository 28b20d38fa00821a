"""Options of one sidecar from the operator file, which `tulipnotch.settings.operator` reads and validates."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from tulipnotch.load_balancing.admission.service_levels import ServiceLevel
from tulipnotch.load_balancing.events import ServiceLevelChanged
from tulipnotch.sidecar.configuration.configuration import Config, ConfigError
from tulipnotch.sidecar.control.endpoint import ControlLimits
from tulipnotch.sidecar.logs import LineLog, Log, LogFormat, LogLimits
from tulipnotch.sidecar.service_level_monitor import ServiceLevels

if TYPE_CHECKING:
    from tulipnotch.settings.operator import OperatorFile, OverloadTable  # msgspec is not imported by default

OPERATOR_VARIABLE = "BALANCER_OPERATOR"  # of the environment; it holds the path of the file


@dataclass(frozen=True, slots=True)
class OperatorOptions:
    """What operators may set; without an operator file, the defaults."""

    log: Log = field(default_factory=LineLog)
    control_limits: ControlLimits = field(default_factory=ControlLimits)
    client_limits: Mapping[str, float] = field(default_factory=dict)  # some fields of `ClientLimits`
    service_levels: ServiceLevels | None = None
    traces_requests: bool = False  # whether the log has events for each request


def load_operator_options(path: str | None, config: Config) -> OperatorOptions:
    """Reads the operator file, or returns the defaults if `path` is None or empty.

    Raises:
        ConfigError: The file is invalid, names service classes that `config` does not have, or the packages
            that read it are not installed.
    """
    if not path:
        return OperatorOptions()
    try:
        from tulipnotch.settings import check, operator

        options = _options(operator.load_operator_file(Path(path)))
    except ImportError as error:
        raise ConfigError(
            OPERATOR_VARIABLE, f"{error.name} is not installed; it comes with tulipnotch[operator]"
        ) from None
    except check.InvalidFileError as error:
        raise ConfigError(OPERATOR_VARIABLE, str(error)) from None
    faults = _unknown_classes(options.service_levels, config)
    if faults:
        raise ConfigError(OPERATOR_VARIABLE, "; ".join(faults))
    return options


def _options(given: OperatorFile) -> OperatorOptions:
    import msgspec

    return OperatorOptions(
        log=LineLog(LogFormat(given.log.format), LogLimits(given.log.lines_per_s, given.log.burst_lines)),
        control_limits=ControlLimits(**msgspec.structs.asdict(given.control)),
        client_limits=msgspec.structs.asdict(given.clients),
        service_levels=_service_levels(given.overload),
        traces_requests=given.log.traces_requests,
    )


def _service_levels(given: OverloadTable) -> ServiceLevels | None:
    if not given.levels:
        return None
    levels = tuple(
        ServiceLevel(
            level.name,
            ServiceLevelChanged(frozenset(level.over_quota_classes), frozenset(level.rejected_classes)),
            level.enter_rejected_fraction,
            _microseconds(level.enter_s),
            level.leave_fill,
            _microseconds(level.leave_s),
        )
        for level in given.levels
    )
    return ServiceLevels(levels, _microseconds(given.hold_s))


def _microseconds(seconds: float) -> int:
    return int(seconds * 1e6)


def _unknown_classes(levels: ServiceLevels | None, config: Config) -> list[str]:
    """Returns a fault for each class that a service level names and the configuration does not have."""
    known = [each.name for each in config.settings.classes]
    return [
        f"overload.levels[{index}]: no class {name!r}; known are {', '.join(known)}"
        for index, level in enumerate(levels.levels if levels else ())
        for name in sorted((level.effect.over_quota_classes | level.effect.rejected_classes) - set(known))
    ]
