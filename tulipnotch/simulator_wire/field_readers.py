"""Reads the fields of messages of the simulator's protocol as typed values."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from tulipnotch.load_balancing.events import EndpointDescription
from tulipnotch.simulator_wire.names import ENDPOINT_STATES

_MIN_ENDPOINT_FIELDS = 6
_STARTED_AT_POSITION = 6  # the field at this position of an endpoint may be absent

_Value = TypeVar("_Value")


class WireError(Exception):
    """A line that violates the simulator's protocol.

    Attributes:
        problem: What is wrong with it.
    """

    def __init__(self, problem: str) -> None:
        """Creates an error whose text is the problem."""
        super().__init__(problem)
        self.problem = problem


def read_integer(value: object) -> int:
    """Reads an integer; a boolean is not one."""
    if type(value) is not int:
        raise WireError(f"must be an integer, got {value!r:.60}")
    return value


def read_string(value: object) -> str:
    """Reads a string."""
    if type(value) is not str:
        raise WireError(f"must be a string, got {value!r:.60}")
    return value


def read_boolean(value: object) -> bool:
    """Reads a boolean."""
    if type(value) is not bool:
        raise WireError(f"must be true or false, got {value!r:.60}")
    return value


def read_number(value: object) -> int | float:
    """Reads a number; a boolean is not one."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"must be a number, got {value!r:.60}")
    return value


def read_optional_integer(value: object) -> int | None:
    """Reads an integer or null."""
    return None if value is None else read_integer(value)


def read_choice(value: object, choices: Mapping[str, _Value]) -> _Value:
    """Reads one of the keys of `choices`, and returns the value that it maps to."""
    if not isinstance(value, str) or value not in choices:
        raise WireError(f"unknown value {value!r:.60}")
    return choices[value]


def read_report(value: object) -> Mapping[str, float] | None:
    """Reads a load report or null."""
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireError("a load report must be an object")
    for number in value.values():
        read_number(number)
    return value


def read_payload(value: object) -> bytes:
    """Reads bytes that are written as hexadecimal digits."""
    try:
        return bytes.fromhex(read_string(value))
    except ValueError:
        raise WireError("must be a string of hexadecimal digits") from None


def read_endpoint(entry: object) -> EndpointDescription:
    """Reads an entry of an endpoint list."""
    if not isinstance(entry, list) or len(entry) < _MIN_ENDPOINT_FIELDS:
        raise WireError(
            f"an entry of an endpoint list must be an array of at least {_MIN_ENDPOINT_FIELDS} fields"
        )
    started_at = None
    if len(entry) > _STARTED_AT_POSITION:
        started_at = read_optional_integer(entry[_STARTED_AT_POSITION])
    name, zone, machine_type, cell, state, nominal_capacity = entry[:_MIN_ENDPOINT_FIELDS]
    return EndpointDescription(
        name=read_string(name),
        zone=read_string(zone),
        machine_type=read_string(machine_type),
        cell=read_integer(cell),
        state=read_choice(state, ENDPOINT_STATES),
        nominal_capacity=float(read_number(nominal_capacity)),
        started_at=started_at or None,
    )
