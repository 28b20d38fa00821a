"""The endpoint list as discovery writes it, and the records that it is decoded to.

The keys and states of discovery's JSON are mapped to this package's terms here and nowhere else.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from tulipnotch.load_balancing.events import (
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
)
from tulipnotch.sidecar.addresses import Address, parse_address

_STATES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}


class DiscoveryError(Exception):
    """Base class of this package's errors."""


class DiscoveryFormatError(DiscoveryError, ValueError):
    """What came is not an endpoint list.

    Attributes:
        field: The key that is at fault; empty for the document itself.
        problem: What is wrong with it.
    """

    def __init__(self, field: str, problem: str) -> None:
        """Compose the error's text from both parts."""
        super().__init__(f"{field}: {problem}" if field else problem)
        self.field = field
        self.problem = problem


class DiscoveredEndpoint(NamedTuple):
    """One endpoint of the list, with the address at which it can be reached."""

    description: EndpointDescription
    address: Address | None  # None: it was removed


class DiscoveryResponse(NamedTuple):
    """One response of discovery: the complete list, or the endpoints that changed since a version."""

    version: int
    is_complete: bool
    endpoints: tuple[DiscoveredEndpoint, ...]

    def to_event(self, kind: EndpointUpdateKind | None = None) -> EndpointsUpdated:
        """Return the event for the balancer; `kind` replaces the kind that follows from the response."""
        if kind is None:
            kind = EndpointUpdateKind.COMPLETE if self.is_complete else EndpointUpdateKind.DELTA
        return EndpointsUpdated(kind, [endpoint.description for endpoint in self.endpoints], self.version)


def parse_endpoint_list(document: object) -> DiscoveryResponse:
    """Decode a response of discovery.

    Args:
        document: The JSON document, already decoded.

    Raises:
        DiscoveryFormatError: If it is not an endpoint list.
        ValueError: If an address is malformed.
    """
    if not isinstance(document, dict):
        raise DiscoveryFormatError("", "an object is needed")
    version, is_complete, servers = document.get("version"), document.get("full"), document.get("servers")
    if type(version) is not int or version < 0:
        raise DiscoveryFormatError("version", f"a whole number is needed, not {version!r:.60}")
    if not isinstance(is_complete, bool):
        raise DiscoveryFormatError("full", f"true or false is needed, not {is_complete!r:.60}")
    if not isinstance(servers, list):
        raise DiscoveryFormatError("servers", f"a list is needed, not {servers!r:.60}")
    return DiscoveryResponse(version, is_complete, tuple(map(_parse_endpoint, servers)))


def _parse_endpoint(entry: object) -> DiscoveredEndpoint:
    if not isinstance(entry, dict):
        raise DiscoveryFormatError("servers", "an object is needed for each")
    name = entry.get("id")
    if not isinstance(name, str) or not name:
        raise DiscoveryFormatError("servers", f"an id is needed, not {name!r:.60}")
    try:
        state = _STATES[entry["state"]]
    except (KeyError, TypeError):
        problem = f"unknown state {entry.get('state')!r:.60} of {name:.60}"
        raise DiscoveryFormatError("servers", problem) from None
    address = None if state is EndpointState.REMOVED else parse_address(entry.get("addr"))
    started_ms = _number(entry, "started_ms", 0)
    description = EndpointDescription(
        name=name,
        zone=_text(entry, "zone"),
        machine_type=_text(entry, "kind"),
        cell=int(_number(entry, "cell", 0)),
        state=state,
        nominal_capacity=_number(entry, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return DiscoveredEndpoint(description, address)


def _text(entry: dict[str, Any], key: str) -> str:
    value = entry.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise DiscoveryFormatError("servers", f"{key}: a text is needed, not {value!r:.60}")
    return value


def _number(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 2**53:
        raise DiscoveryFormatError("servers", f"{key}: a number is needed, not {value!r:.60}")
    return value
