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


def read_fields(given: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the value of each field of `Config` by its name, but for the file itself.

    Raises:
        ConfigError: A value is missing or invalid; it names the first one.
    """
    fields: dict[str, Any] = {"settings": _read_settings(given.get("settings"), None)}
    return fields | {name: read(given) for name, read in _READERS.items()}


def find_config_faults(given: Mapping[str, Any]) -> list[ConfigError]:
    """Returns an error for each value that is missing or invalid, not only for the first one."""
    faults: list[ConfigError] = []
    try:
        _read_settings(given.get("settings"), faults)
    except ConfigError as fault:
        faults.append(fault)
    for read in _READERS.values():
        try:
            read(given)
        except ConfigError as fault:
            faults.append(fault)
    return faults


def _read_settings(given: object, faults: list[ConfigError] | None) -> Settings:
    """Reads the settings; adds what is wrong to `faults` if that is given, and raises the first if not."""
    found: list[SettingsError] | None = None if faults is None else []
    try:
        settings = settings_from_wire(given, found)
    except SettingsError as error:
        raise _settings_error(error) from None
    if faults is not None and found is not None:
        faults += [_settings_error(each) for each in found]
    if settings.limits.max_attempts < 1:
        raise ConfigError("settings.bounds.sendCap", "must be an integer >= 1")
    return settings


def _settings_error(error: SettingsError) -> ConfigError:
    """Converts an error in the settings to one that names the key as the file does."""
    key = error.path if error.path == ROOT else f"settings.{error.path}"
    return ConfigError(key, error.problem)


def _read_cached_endpoints(given: Mapping[str, Any]) -> DiscoveryResponse:
    listing = given.get("known")
    try:
        return parse_endpoint_list(_NO_ENDPOINTS if listing is None else listing)
    except ValueError as error:
        raise ConfigError("known", str(error)) from None


def _read_peers(given: Mapping[str, Any]) -> tuple[Address, ...]:
    peers = given.get("peers")
    if not peers:
        return ()
    if not isinstance(peers, list):
        raise ConfigError("peers", "must be a list of addresses")
    return tuple(_address(f"peers[{index}]", each) for index, each in enumerate(peers))


def _read_name(given: Mapping[str, Any]) -> str:
    name = given.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name", f"must be a string that is not empty, got {name!r:.60}")
    return name


def _read_address(key: str) -> Callable[[Mapping[str, Any]], Address]:
    return lambda given: _address(key, given.get(key))


def _read_optional_address(key: str) -> Callable[[Mapping[str, Any]], Address | None]:
    return lambda given: None if given.get(key) in (None, "") else _address(key, given[key])


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigError(key, str(error)) from None


def _read_seed(given: Mapping[str, Any]) -> int:
    seed = given.get("seed")
    if type(seed) is int and seed >= 0:
        return seed
    try:
        if isinstance(seed, str):
            return int(seed, base=16)
    except ValueError:
        pass
    raise ConfigError("seed", f"must be a string of hexadecimal digits, got {seed!r:.60}")


def _read_limit(key: str, minimum: int, default: int) -> Callable[[Mapping[str, Any]], int]:
    def read(given: Mapping[str, Any]) -> int:
        limits = given.get("limits")
        if limits is None:
            return default
        if not isinstance(limits, Mapping):
            raise ConfigError("limits", "must be an object")
        value = limits.get(key, default)
        if type(value) is not int or value < minimum:
            raise ConfigError(f"limits.{key}", f"must be an integer >= {minimum}, got {value!r:.60}")
        return value

    return read


# How each field of `Config` is read from the file, but for the settings.
_READERS: Mapping[str, Callable[[Mapping[str, Any]], Any]] = {
    "name": _read_name,
    "listen": _read_address("listen"),
    "control": _read_optional_address("control"),
    "discovery": _read_address("discovery"),
    "seed": _read_seed,
    "sockets": _read_limit("sockets", _MIN_SOCKETS, _DEFAULT_SOCKETS),
    "memory_mb": _read_limit("memory_mb", _MIN_MEMORY_MB, _DEFAULT_MEMORY_MB),
    "known": _read_cached_endpoints,
    "peer_listen": _read_optional_address("peer_listen"),
    "peers": _read_peers,
    "peers_all": _read_optional_address("peers_all"),
}
