"""The configuration of a sidecar: a JSON file, and environment variables for keys that the file omits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tulipnotch.load_balancing import Settings
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.configuration.completeness import check_no_key_missing
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.configuration.json_file import CONFIG_VARIABLE, read_json_object
from tulipnotch.sidecar.configuration.validation import read_fields
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse

__all__ = ["Config", "ConfigError", "load_config", "parse_config", "with_environment"]

_KEYS_FROM_ENVIRONMENT = ("name", "listen", "discovery", "control")


@dataclass(frozen=True, slots=True)
class Config:
    """A valid configuration."""

    name: str
    listen: Address
    control: Address | None  # of the control endpoint; None: there is none
    discovery: Address
    settings: Settings
    seed: int
    sockets: int  # descriptors that the process may open
    memory_mb: int
    known: DiscoveryResponse  # the endpoint list that the platform has cached from earlier
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    file: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)  # as it was read


def load_config(environ: Mapping[str, str], in_force: Config | None = None) -> Config:
    """Reads the file that `BALANCER_CONFIG` names.

    Args:
        environ: The environment of the process.
        in_force: The configuration to be replaced, if any; the new file must have every key of its file.

    Raises:
        ConfigError: The configuration cannot be used.
    """
    path = environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(CONFIG_VARIABLE, "the path of the configuration file is missing")
    given = read_json_object(path)
    if in_force is not None:
        check_no_key_missing(given, in_force.file)
    return parse_config(with_environment(given, environ), given)


def parse_config(given: Mapping[str, Any], file: Mapping[str, Any] | None = None) -> Config:
    """Validates a configuration that has been read; `file` is the object of its file.

    Raises:
        ConfigError: A value is missing or invalid.
    """
    return Config(**read_fields(given), file=file or {})


def with_environment(given: Mapping[str, Any], environ: Mapping[str, str]) -> dict[str, Any]:
    """Returns the keys of the file, and those of the environment that the file omits."""
    variables = {key: f"BALANCER_{key.upper()}" for key in _KEYS_FROM_ENVIRONMENT}
    from_environment = {key: environ[name] for key, name in variables.items() if name in environ}
    return {**from_environment, **given}
