"""Replaces the configuration of a running sidecar by the file as it is now."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from tulipnotch.sidecar.configuration.configuration import Config, load_config
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.control.telemetry import Telemetry
from tulipnotch.sidecar.logs import Log


class ReloadableSidecar(Protocol):
    """A sidecar as a reload uses it."""

    @property
    def config(self) -> Config:
        """The configuration in force."""
        ...

    @property
    def telemetry(self) -> Telemetry:
        """Where reloads are counted."""
        ...

    def reload(self, config: Config) -> None:
        """Applies a valid configuration, as far as that is possible without a restart."""
        ...


def reload_configuration(sidecar: ReloadableSidecar, environ: Mapping[str, str], log: Log) -> None:
    """Reads the complete configuration again and applies it; an invalid one leaves the previous in force."""
    try:
        config = load_config(environ, sidecar.config)
    except ConfigError as error:
        sidecar.telemetry.configuration_rejected()
        log("reload_rejected", fault=str(error))
    else:
        sidecar.telemetry.configuration_reloaded()
        sidecar.reload(config)
