"""What a sidecar is told at its start: the JSON configuration, and the environment for what it leaves out."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tulipnotch.load_balancing import Settings
from tulipnotch.load_balancing.mapping_reader import ROOT, SettingsError
from tulipnotch.sidecar.discovery.client import DiscoveryResponse, parse_listing
from tulipnotch.sidecar.upstream.connection import Address, parse_address
from tulipnotch.simulator_wire.names import settings_from_wire

_DEFAULT_SOCKETS = 1_024
_DEFAULT_MEMORY_MB = 64


class ConfigError(Exception):
    """The configuration can't be used; the text begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class Config:
    """A sidecar's configuration."""

    name: str
    listen: Address
    control: Address | None  # the operators' door; None: there is none
    discovery: Address
    settings: Settings
    seed: int
    sockets: int
    memory_mb: int
    known: DiscoveryResponse
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    file: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)  # as it was read


def load(environ: Mapping[str, str], before: Config | None = None) -> Config:
    """Read the file that `BALANCER_CONFIG` names; raise ConfigError on nonsense.

    Where a configuration is in force already, every key of its file must be in this one too: what is missing
    was cut off or forgotten, and neither the default nor the old value may hide that.
    """
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: the path of the configuration is needed")
    given = read_object(path)
    if before is not None:
        _no_key_missing(given, before.file, "")
    return parse(with_environment(given, environ), given)


def read_object(path: str) -> dict[str, Any]:
    """Read a file that holds one JSON object; raise ConfigError where it doesn't."""
    try:
        given = json.loads(
            Path(path).read_bytes(), parse_constant=_no_number, object_pairs_hook=_without_doubles
        )
    except ConfigError:
        raise
    except (OSError, ValueError, RecursionError) as fault:
        raise ConfigError(f"BALANCER_CONFIG: {path} can't be read: {fault}") from None
    if not isinstance(given, dict):
        raise ConfigError("BALANCER_CONFIG: the file must hold an object")
    return given


def with_environment(given: Mapping[str, Any], environ: Mapping[str, str]) -> dict[str, Any]:
    """The file's keys, and the environment's for what it leaves out."""
    from_environment = {
        key: environ[f"BALANCER_{key.upper()}"]
        for key in ("name", "listen", "discovery", "control")
        if f"BALANCER_{key.upper()}" in environ
    }
    return {**from_environment, **given}


def _no_number(text: str) -> None:
    raise ConfigError(f"BALANCER_CONFIG: {text} is no number that can be used")


def _without_doubles(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    given = dict(pairs)
    if len(given) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ConfigError(f"{twice}: the key stands twice in one object")
    return given


def _no_key_missing(given: object, before: object, path: str) -> None:
    if isinstance(before, Mapping):
        if not isinstance(given, Mapping):
            raise ConfigError(f"{path}: an object is needed")
        for key, value in before.items():
            name = f"{path}.{key}" if path else key
            if value is None:
                continue
            if given.get(key) is None:
                raise ConfigError(f"{name}: the key is missing; the file in force has it")
            if name != "known":  # an old list says nothing of a new one
                _no_key_missing(given[key], value, name)
    elif isinstance(before, list) and isinstance(given, list):
        objects = [each for each in before if isinstance(each, Mapping)]
        common = {key: ... for key in objects[0] if all(key in each for each in objects)} if objects else None
        for index, each in enumerate(given):
            if common is not None:
                _no_key_missing(each, common, f"{path}[{index}]")


def parse(given: Mapping[str, Any], file: Mapping[str, Any] | None = None) -> Config:
    """Check a configuration; raise ConfigError, naming the key, on nonsense."""
    return Config(**{name: read() for name, read in _parts(given).items()}, file=file or {})


def faults_of(given: Mapping[str, Any]) -> list[str]:
    """All that `parse` would find wrong, each text beginning with its key."""
    faults: list[str] = []
    for read in _parts(given, faults).values():
        try:
            read()
        except ConfigError as fault:
            faults.append(str(fault))
    return faults


def _parts(given: Mapping[str, Any], faults: list[str] | None = None) -> dict[str, Callable[[], Any]]:
    """How each part of a configuration is read, by the name of its field."""
    return {
        "settings": lambda: _settings(given.get("settings"), faults),
        "name": lambda: _text(given, "name"),
        "listen": lambda: _address("listen", given.get("listen")),
        "control": lambda: _optional_address("control", given.get("control")),
        "discovery": lambda: _address("discovery", given.get("discovery")),
        "seed": lambda: _seed(given.get("seed")),
        "sockets": lambda: _limit(given.get("limits"), "sockets", 64, _DEFAULT_SOCKETS),
        "memory_mb": lambda: _limit(given.get("limits"), "memory_mb", 16, _DEFAULT_MEMORY_MB),
        "known": lambda: _known(given.get("known")),
        "peer_listen": lambda: _optional_address("peer_listen", given.get("peer_listen")),
        "peers": lambda: _peers(given.get("peers")),
        "peers_all": lambda: _optional_address("peers_all", given.get("peers_all")),
    }


def _settings(given: object, faults: list[str] | None) -> Settings:
    found: list[SettingsError] | None = None if faults is None else []
    try:
        settings = settings_from_wire(given, found)
    except SettingsError as error:
        raise ConfigError(_in_file(error)) from None
    if faults is not None and found is not None:
        faults += [_in_file(each) for each in found]
    if settings.limits.max_attempts < 1:
        raise ConfigError("settings.bounds.sendCap: a number of attempts above 0 is needed")
    return settings


def _in_file(error: SettingsError) -> str:
    """The error with the path of its key in the file."""
    return str(error) if error.path == ROOT else f"settings.{error}"


def _known(given: object) -> DiscoveryResponse:
    try:
        return parse_listing(given) if given is not None else DiscoveryResponse(0, True, ())
    except ValueError as nonsense:
        raise ConfigError(f"known: {nonsense}") from None


def _peers(given: object) -> tuple[Address, ...]:
    if not given:
        return ()
    if not isinstance(given, list):
        raise ConfigError("peers: a list of addresses is needed")
    return tuple(_address(f"peers[{index}]", each) for index, each in enumerate(given))


def _text(given: Mapping[str, Any], key: str) -> str:
    value = given.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: a text is needed, not {value!r:.60}")
    return value


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as nonsense:
        raise ConfigError(f"{key}: {nonsense}") from None


def _optional_address(key: str, value: object) -> Address | None:
    return None if value in (None, "") else _address(key, value)


def _seed(value: object) -> int:
    if type(value) is int and value >= 0:
        return value
    try:
        return int(value, 16)  # type: ignore[call-overload, no-any-return]
    except (TypeError, ValueError):
        raise ConfigError(f"seed: hexadecimal digits are needed, not {value!r:.60}") from None


def _limit(limits: object, key: str, least: int, default: int) -> int:
    if limits is None:
        return default
    if not isinstance(limits, Mapping):
        raise ConfigError("limits: an object is needed")
    value = limits.get(key, default)
    if type(value) is not int or value < least:
        raise ConfigError(f"limits.{key}: a whole number from {least} is needed, not {value!r:.60}")
    return value
