"""Decodes and encodes the endpoint list that discovery sends as JSON.

The keys and states of the JSON are mapped to the terms of this project here and nowhere else.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from tulipnotch.load_balancing.events import (
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
)
from tulipnotch.sidecar.addresses import Address, format_address, parse_address

_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}

_STATE_NAMES = {state: name for name, state in _STATES.items()}

_MAX_BYTES = 4 << 20  # longest response that any memory limit allows
# Bytes of a response, and of the memory that decoding it may take, for each MB of the memory limit.
_BYTES_PER_MB = (1 << 20) // 32
_DECODED_BYTES_PER_MB = (1 << 20) // 8
# Memory of a decoded list or object, and of any other decoded value with its place in one.
_CONTAINER_BYTES = 150
_VALUE_BYTES = 100


class DiscoveryError(Exception):
    """Base class of the errors of this package."""


class DiscoveryFormatError(DiscoveryError, ValueError):
    """A document that is not an endpoint list.

    Attributes:
        field: The key with the invalid value; empty for the document itself.
        problem: What is wrong with the value.
    """

    def __init__(self, field: str, problem: str) -> None:
        """Creates an error whose text begins with the field, if there is one."""
        super().__init__(f"{field}: {problem}" if field else problem)
        self.field = field
        self.problem = problem


class EndpointListLimits(NamedTuple):
    """Limits on one response of discovery."""

    max_bytes: int
    max_decoded_bytes: int  # estimate of the memory that the decoded document takes

    @classmethod
    def for_memory(cls, memory_mb: int) -> EndpointListLimits:
        """Returns the limits of a process with this memory limit."""
        return cls(min(memory_mb * _BYTES_PER_MB, _MAX_BYTES), memory_mb * _DECODED_BYTES_PER_MB)


class DiscoveredEndpoint(NamedTuple):
    """One endpoint of the list, and the address at which it can be reached."""

    description: EndpointDescription
    address: Address | None  # None: the endpoint was removed


class DiscoveryResponse(NamedTuple):
    """One response of discovery: the complete list, or the endpoints that changed since a version."""

    version: int
    is_complete: bool
    endpoints: tuple[DiscoveredEndpoint, ...]

    def to_event(self, kind: EndpointUpdateKind | None = None) -> EndpointsUpdated:
        """Returns the event for the balancer; `kind` replaces the kind that follows from `is_complete`."""
        if kind is None:
            kind = EndpointUpdateKind.COMPLETE if self.is_complete else EndpointUpdateKind.DELTA
        return EndpointsUpdated(kind, [endpoint.description for endpoint in self.endpoints], self.version)


def decode_endpoint_list(body: bytes, limits: EndpointListLimits) -> DiscoveryResponse:
    """Decodes the body of a response.

    Raises:
        DiscoveryFormatError: It is not an endpoint list, or decoding it would take too much memory.
    """
    containers = body.count(b"[") + body.count(b"{")
    decoded_bytes = len(body) + _CONTAINER_BYTES * containers + _VALUE_BYTES * body.count(b",")
    if decoded_bytes > limits.max_decoded_bytes:
        raise DiscoveryFormatError("", f"decoding it takes {decoded_bytes} bytes, too many")
    try:
        return parse_endpoint_list(json.loads(body))
    except (ValueError, RecursionError) as error:
        problem = str(error)
    # Raised here, since the traceback of the first error refers to the whole document.
    raise DiscoveryFormatError("", problem)


def parse_endpoint_list(document: object) -> DiscoveryResponse:
    """Converts a JSON document to the response of discovery that it describes.

    Args:
        document: The JSON document, already decoded.

    Raises:
        DiscoveryFormatError: It is not an endpoint list.
        ValueError: An address is malformed.
    """
    if not isinstance(document, dict):
        raise DiscoveryFormatError("", "the endpoint list must be a JSON object")
    version, is_complete, servers = document.get("version"), document.get("full"), document.get("servers")
    if type(version) is not int or version < 0:
        raise DiscoveryFormatError("version", f"an integer >= 0 is needed, not {version!r:.60}")
    if not isinstance(is_complete, bool):
        raise DiscoveryFormatError("full", f"true or false is needed, not {is_complete!r:.60}")
    if not isinstance(servers, list):
        raise DiscoveryFormatError("servers", f"a list is needed, not {servers!r:.60}")
    return DiscoveryResponse(version, is_complete, tuple(map(_parse_endpoint, servers)))


def encode_endpoint_list(response: DiscoveryResponse) -> bytes:
    """Returns the body of a response, in the form in which discovery sends it."""
    servers = [_endpoint_entry(each) for each in response.endpoints]
    document = {"version": response.version, "full": response.is_complete, "servers": servers}
    return json.dumps(document).encode()


def _endpoint_entry(endpoint: DiscoveredEndpoint) -> dict[str, Any]:
    description = endpoint.description
    return {
        "id": description.name,
        "addr": None if endpoint.address is None else format_address(endpoint.address),
        "zone": description.zone,
        "kind": description.machine_type,
        "cell": description.cell,
        "state": _STATE_NAMES[description.state],
        "weight": description.nominal_capacity,
        "started_ms": (description.started_at or 0) / 1_000,
    }


def _parse_endpoint(entry: object) -> DiscoveredEndpoint:
    if not isinstance(entry, dict):
        raise DiscoveryFormatError("servers", "each server must be a JSON object")
    name = entry.get("id")
    if not isinstance(name, str) or not name:
        raise DiscoveryFormatError("servers", f"an id is needed, not {name!r:.60}")
    try:
        state = _STATES[entry["state"]]
    except (KeyError, TypeError):
        problem = f"unknown state {entry.get('state')!r:.60} of {name:.60}"
        raise DiscoveryFormatError("servers", problem) from None
    address = None if state is EndpointState.REMOVED else parse_address(entry.get("addr"))
    started_ms = _read_number(entry, "started_ms", 0)
    description = EndpointDescription(
        name=name,
        zone=_read_string(entry, "zone"),
        machine_type=_read_string(entry, "kind"),
        cell=int(_read_number(entry, "cell", 0)),
        state=state,
        nominal_capacity=_read_number(entry, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return DiscoveredEndpoint(description, address)


def _read_string(entry: dict[str, Any], key: str) -> str:
    value = entry.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise DiscoveryFormatError("servers", f"{key}: a string is needed, not {value!r:.60}")
    return value


def _read_number(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise DiscoveryFormatError(
            "servers", f"{key}: a number >= 0 and < 2**53 is needed, not {value!r:.60}"
        )
    return value
