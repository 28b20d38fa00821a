"""Validates the values of a configuration file and converts them to the types that the sidecar uses."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from tulipnotch.load_balancing import Settings
from tulipnotch.load_balancing.mapping_reader import ROOT, SettingsError
from tulipnotch.sidecar.addresses import Address, parse_address
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse, parse_endpoint_list
from tulipnotch.simulator_wire.names import settings_from_wire

_DEFAULT_SOCKETS = 1_024
_MIN_SOCKETS = 64
_DEFAULT_MEMORY_MB = 64
_MIN_MEMORY_MB = 16
_NO_ENDPOINTS: Mapping[str, Any] = {"version": 0, "full": True, "servers": []}


def read_config_fields(raw: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the value of each field of `Config` by its name, except for `file`.

    Raises:
        ConfigError: A value is missing or invalid; the error names the first one.
    """
    fields: dict[str, Any] = {"settings": _read_settings(raw.get("settings"), None)}
    return fields | {name: read(raw) for name, read in _READERS.items()}


def find_config_faults(raw: Mapping[str, Any]) -> list[ConfigError]:
    """Returns an error for each value that is missing or invalid, not only for the first one."""
    faults: list[ConfigError] = []
    try:
        _read_settings(raw.get("settings"), faults)
    except ConfigError as fault:
        faults.append(fault)
    for read in _READERS.values():
        try:
            read(raw)
        except ConfigError as fault:
            faults.append(fault)
    return faults


def _read_settings(raw: object, faults: list[ConfigError] | None) -> Settings:
    """Reads the settings; appends their errors to `faults` if that is given, and raises the first if not."""
    errors: list[SettingsError] | None = None if faults is None else []
    try:
        settings = settings_from_wire(raw, errors)
    except SettingsError as error:
        raise _to_config_error(error) from None
    if faults is not None and errors is not None:
        faults += [_to_config_error(each) for each in errors]
    if settings.limits.max_attempts < 1:
        raise ConfigError("settings.bounds.sendCap", "must be an integer >= 1")
    return settings


def _to_config_error(error: SettingsError) -> ConfigError:
    """Converts an error in the settings to one with the path of the key in the file."""
    key = error.path if error.path == ROOT else f"settings.{error.path}"
    return ConfigError(key, error.problem)


def _read_cached_endpoint_list(raw: Mapping[str, Any]) -> DiscoveryResponse:
    endpoint_list = raw.get("known")
    try:
        return parse_endpoint_list(_NO_ENDPOINTS if endpoint_list is None else endpoint_list)
    except ValueError as error:
        raise ConfigError("known", str(error)) from None


def _read_peers(raw: Mapping[str, Any]) -> tuple[Address, ...]:
    peers = raw.get("peers")
    if not peers:
        return ()
    if not isinstance(peers, list):
        raise ConfigError("peers", "must be a list of addresses")
    return tuple(_parse_address(f"peers[{index}]", peer) for index, peer in enumerate(peers))


def _read_name(raw: Mapping[str, Any]) -> str:
    name = raw.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name", f"must be a non-empty string, got {name!r:.60}")
    return name


def _address_reader(key: str) -> Callable[[Mapping[str, Any]], Address]:
    return lambda raw: _parse_address(key, raw.get(key))


def _optional_address_reader(key: str) -> Callable[[Mapping[str, Any]], Address | None]:
    return lambda raw: None if raw.get(key) in (None, "") else _parse_address(key, raw[key])


def _parse_address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigError(key, str(error)) from None


def _read_seed(raw: Mapping[str, Any]) -> int:
    seed = raw.get("seed")
    if type(seed) is int and seed >= 0:
        return seed
    try:
        if isinstance(seed, str):
            return int(seed, base=16)
    except ValueError:
        pass
    raise ConfigError("seed", f"must be a string of hexadecimal digits or an integer >= 0, got {seed!r:.60}")


def _limit_reader(key: str, minimum: int, default: int) -> Callable[[Mapping[str, Any]], int]:
    def read(raw: Mapping[str, Any]) -> int:
        limits = raw.get("limits")
        if limits is None:
            return default
        if not isinstance(limits, Mapping):
            raise ConfigError("limits", "must be an object")
        value = limits.get(key, default)
        if type(value) is not int or value < minimum:
            raise ConfigError(f"limits.{key}", f"must be an integer >= {minimum}, got {value!r:.60}")
        return value

    return read


# The function that reads each field of `Config` from the file, except for the settings and the file itself.
_READERS: Mapping[str, Callable[[Mapping[str, Any]], Any]] = {
    "name": _read_name,
    "listen": _address_reader("listen"),
    "control": _optional_address_reader("control"),
    "discovery": _address_reader("discovery"),
    "seed": _read_seed,
    "sockets": _limit_reader("sockets", _MIN_SOCKETS, _DEFAULT_SOCKETS),
    "memory_mb": _limit_reader("memory_mb", _MIN_MEMORY_MB, _DEFAULT_MEMORY_MB),
    "known": _read_cached_endpoint_list,
    "peer_listen": _optional_address_reader("peer_listen"),
    "peers": _read_peers,
    "peers_all": _optional_address_reader("peers_all"),
}
