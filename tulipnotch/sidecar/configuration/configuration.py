"""The configuration of a sidecar: a JSON file, with environment variables for keys that the file omits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from tulipnotch.load_balancing import Settings
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.configuration.completeness import check_no_key_missing
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.configuration.json_file import CONFIG_FILE_VARIABLE, read_json_object
from tulipnotch.sidecar.configuration.validation import read_config_fields
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse

__all__ = ["Config", "ConfigError", "load_config", "parse_config", "with_environment"]

_KEYS_FROM_ENVIRONMENT = ("name", "listen", "discovery", "control")


@dataclass(frozen=True, slots=True)
class Config:
    """A valid configuration."""

    name: str
    listen: Address
    control: Address | None  # address of the control endpoint; None: there is no such endpoint
    discovery: Address
    settings: Settings
    seed: int
    sockets: int  # how many file descriptors the process may open
    memory_mb: int
    known: DiscoveryResponse  # the endpoint list that the platform cached before the start
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    # The file's object as it was read; a reload compares the keys of the new file with it.
    file: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)


def load_config(environ: Mapping[str, str], current: Config | None = None) -> Config:
    """Reads and validates the file that `BALANCER_CONFIG` names.

    Args:
        environ: The environment of the process.
        current: The configuration that is replaced, if any; the new file must have every key of its file.

    Raises:
        ConfigError: The file cannot be read, or the configuration is invalid.
    """
    path = environ.get(CONFIG_FILE_VARIABLE)
    if not path:
        raise ConfigError(CONFIG_FILE_VARIABLE, "must be set to the path of the configuration file")
    raw = read_json_object(path)
    if current is not None:
        check_no_key_missing(raw, current.file)
    return parse_config(with_environment(raw, environ), raw)


def parse_config(raw: Mapping[str, Any], file: Mapping[str, Any] | None = None) -> Config:
    """Validates a configuration that was read; `file` is the object of its file, without the environment.

    Raises:
        ConfigError: A value is missing or invalid.
    """
    return Config(**read_config_fields(raw), file=file or {})


def with_environment(raw: Mapping[str, Any], environ: Mapping[str, str]) -> dict[str, Any]:
    """Returns the keys of the file, and those from environment variables that the file omits."""
    variables = {key: f"BALANCER_{key.upper()}" for key in _KEYS_FROM_ENVIRONMENT}
    from_environment = {key: environ[name] for key, name in variables.items() if name in environ}
    return {**from_environment, **raw}
