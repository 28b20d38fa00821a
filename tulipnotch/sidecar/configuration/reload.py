"""Replaces the configuration of a running sidecar with the present content of its file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from tulipnotch.sidecar.configuration.configuration import Config, load_config
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.control.telemetry import Telemetry
from tulipnotch.sidecar.logs import Log


class ReloadableSidecar(Protocol):
    """The part of a sidecar that a reload uses."""

    @property
    def config(self) -> Config:
        """The configuration in force."""
        ...

    @property
    def telemetry(self) -> Telemetry:
        """The telemetry, which counts reloads."""
        ...

    def reload(self, config: Config) -> None:
        """Applies a valid configuration, as far as that is possible without a restart."""
        ...


def reload_configuration(sidecar: ReloadableSidecar, environ: Mapping[str, str], log: Log) -> None:
    """Reads the configuration again and applies it; if it is invalid, the previous one stays in force."""
    try:
        config = load_config(environ, sidecar.config)
    except ConfigError as error:
        sidecar.telemetry.configuration_rejected()
        log("reload_rejected", fault=str(error))
    else:
        sidecar.telemetry.configuration_reloaded()
        sidecar.reload(config)
