"""Division of the descriptors and the memory of this process among clients, servers and operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Protocol

from tulipnotch.sidecar.configuration.configuration import Config
from tulipnotch.sidecar.downstream.client_limits import ClientLimits

RESERVED_DESCRIPTORS = 32  # for everything but clients, servers and operators
# Part of all descriptors that clients and servers have at least, however many operators may connect.
_MIN_TRAFFIC_FRACTION = 0.25
_DOWNSTREAM_FRACTION = 0.5  # clients' part of the descriptors of clients and servers
# Servers' part is multiplied by this while a second process of this sidecar may run.
_SHARED_FRACTION = 0.5
# For each MB of the memory limit: a quarter of it, at 4 KiB for an idle connection.
_CONNECTIONS_PER_MB = (1 << 20) // 4 // 4_096
_REQUEST_BYTES_PER_MB = (1 << 20) // 8  # for each MB of the memory limit: what pending requests may take


class LimitedConnections(Protocol):
    """An owner of connections that never has more than `max_connections` of them."""

    max_connections: int


def client_limits(config: Config, given: Mapping[str, Any] | None = None) -> ClientLimits:
    """Returns the default limits of clients under this configuration, with the given ones replaced."""
    limits = ClientLimits(most_bytes=config.memory_mb * _REQUEST_BYTES_PER_MB)
    return replace(limits, **(given or {}))


def max_control_connections(descriptors: int, wanted: int) -> int:
    """Returns how many of the wanted connections of operators the descriptors allow."""
    return min(wanted, descriptors - int(_MIN_TRAFFIC_FRACTION * descriptors) - RESERVED_DESCRIPTORS)


class DescriptorBudget:
    """Owns the division, and sets `max_connections` of the client side and of the server side by it."""

    def __init__(
        self,
        config: Config,
        control_connections: int,
        downstream: LimitedConnections,
        upstream: LimitedConnections,
    ) -> None:
        """Divides the descriptors and the memory that the configuration allows."""
        self._descriptors = config.sockets
        self._memory_mb = config.memory_mb
        self._control_connections = control_connections
        self._downstream = downstream
        self._upstream = upstream
        self._is_shared = False  # whether a second process of this sidecar may be running
        self._divide()

    def set_descriptors(self, descriptors: int) -> None:
        """Divides this number of descriptors from now on."""
        self._descriptors = descriptors
        self._divide()

    def set_shared(self, *, is_shared: bool) -> None:
        """Sets whether a second process of this sidecar may be running."""
        self._is_shared = is_shared
        self._divide()

    def _divide(self) -> None:
        connections = max(
            self._descriptors - RESERVED_DESCRIPTORS - self._control_connections,
            int(_MIN_TRAFFIC_FRACTION * self._descriptors),
        )
        connections = min(connections, self._memory_mb * _CONNECTIONS_PER_MB)
        downstream = int(connections * _DOWNSTREAM_FRACTION)
        self._downstream.max_connections = downstream
        # A client connects to one of the two processes, so its part is not divided; a server gets connections
        # of both.
        self._upstream.max_connections = int(
            (connections - downstream) * (_SHARED_FRACTION if self._is_shared else 1.0)
        )
