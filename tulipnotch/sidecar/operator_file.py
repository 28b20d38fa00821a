"""Options of the sidecar from the operator file, which `tulipnotch.settings.operator` reads and validates."""

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
    # Not imported at run time: it imports msgspec, which a sidecar without an operator file does not need.
    from tulipnotch.settings.operator import OperatorFile, OverloadTable

OPERATOR_FILE_VARIABLE = "BALANCER_OPERATOR"  # environment variable with the path of the operator file


@dataclass(frozen=True, slots=True)
class OperatorOptions:
    """Options that operators may set; the defaults apply without an operator file."""

    log: Log = field(default_factory=LineLog)
    control_limits: ControlLimits = field(default_factory=ControlLimits)
    client_limits: Mapping[str, float] = field(default_factory=dict)  # overrides of fields of `ClientLimits`
    service_levels: ServiceLevels | None = None
    traces_requests: bool = False  # whether events of each request are logged


def load_operator_options(path: str | None, config: Config) -> OperatorOptions:
    """Reads the operator file, or returns the defaults if `path` is None or empty.

    Raises:
        ConfigError: The file is invalid or names service classes that `config` does not have, or a package
            that is needed to read it is not installed.
    """
    if not path:
        return OperatorOptions()
    try:
        from tulipnotch.settings import check, operator

        options = _build_options(operator.load_operator_file(Path(path)))
    except ImportError as error:
        raise ConfigError(
            OPERATOR_FILE_VARIABLE, f"{error.name} is not installed; it comes with tulipnotch[operator]"
        ) from None
    except check.InvalidFileError as error:
        raise ConfigError(OPERATOR_FILE_VARIABLE, str(error)) from None
    faults = _find_unknown_classes(options.service_levels, config)
    if faults:
        raise ConfigError(OPERATOR_FILE_VARIABLE, "; ".join(faults))
    return options


def _build_options(operator_file: OperatorFile) -> OperatorOptions:
    import msgspec

    return OperatorOptions(
        log=LineLog(
            LogFormat(operator_file.log.format),
            LogLimits(operator_file.log.lines_per_s, operator_file.log.burst_lines),
        ),
        control_limits=ControlLimits(**msgspec.structs.asdict(operator_file.control)),
        client_limits=msgspec.structs.asdict(operator_file.clients),
        service_levels=_build_service_levels(operator_file.overload),
        traces_requests=operator_file.log.traces_requests,
    )


def _build_service_levels(overload: OverloadTable) -> ServiceLevels | None:
    if not overload.levels:
        return None
    levels = tuple(
        ServiceLevel(
            level.name,
            ServiceLevelChanged(frozenset(level.over_quota_classes), frozenset(level.rejected_classes)),
            level.enter_rejected_fraction,
            _to_microseconds(level.enter_s),
            level.leave_fill,
            _to_microseconds(level.leave_s),
        )
        for level in overload.levels
    )
    return ServiceLevels(levels, _to_microseconds(overload.hold_s))


def _to_microseconds(seconds: float) -> int:
    return int(seconds * 1e6)


def _find_unknown_classes(levels: ServiceLevels | None, config: Config) -> list[str]:
    """Returns a fault for each service class that a level names and the configuration does not have."""
    known = [each.name for each in config.settings.classes]
    return [
        f"overload.levels[{index}]: no class {name!r}; known are {', '.join(known)}"
        for index, level in enumerate(levels.levels if levels else ())
        for name in sorted((level.effect.over_quota_classes | level.effect.rejected_classes) - set(known))
    ]
