"""Division of the process's file descriptors and memory among client, server and operator connections."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Protocol

from tulipnotch.sidecar.configuration.configuration import Config
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.response_budget import ResponseBudget

RESERVED_DESCRIPTORS = 32  # for everything except connections of clients, servers and operators
# Minimum fraction of all descriptors for clients and servers, however many operators may connect.
_MIN_TRAFFIC_FRACTION = 0.25
_DOWNSTREAM_FRACTION = 0.5  # clients' fraction of the descriptors for clients and servers
# The limit for servers is multiplied by this while a second process of this sidecar may be running.
_SHARED_UPSTREAM_FRACTION = 0.5
# For each MB of the memory limit: connections may use a quarter of it, at 4 KiB for an idle connection.
_CONNECTIONS_PER_MB = (1 << 20) // 4 // 4_096
_REQUEST_FRACTION = 1 / 8  # of the memory limit: what pending requests may use
_RESPONSE_FRACTION = 1 / 6  # likewise, for responses that no client has accepted yet
_IDLE_PROCESS_MB = 28  # memory of a process without connections
_LEFT_FACTOR = 2.0  # a buffer may use this many times its fraction of what an idle process leaves
_MIN_BUFFER_BYTES = 256 << 10
# The memory for responses is multiplied by this while a second process of this sidecar may be running.
_SHARED_RESPONSE_FRACTION = 0.5


class LimitedConnections(Protocol):
    """Owns connections, of which there are never more than `max_connections`."""

    max_connections: int


def create_client_limits(config: Config, overrides: Mapping[str, Any] | None = None) -> ClientLimits:
    """Returns the default limits for clients under this configuration, with `overrides` applied."""
    limits = ClientLimits(most_bytes=_buffer_bytes(config.memory_mb, _REQUEST_FRACTION))
    return replace(limits, **(overrides or {}))


def _buffer_bytes(memory_mb: int, fraction: float) -> int:
    """Returns the bytes for one kind of buffer: a fraction of the limit, less where little is left of it."""
    left_mb = memory_mb - _IDLE_PROCESS_MB
    share_mb = min(memory_mb * fraction, left_mb * fraction * _LEFT_FACTOR)
    return max(int(share_mb * (1 << 20)), _MIN_BUFFER_BYTES)


def limit_control_connections(descriptors: int, requested: int) -> int:
    """Returns how many of the requested operator connections this number of descriptors allows."""
    return min(requested, descriptors - int(_MIN_TRAFFIC_FRACTION * descriptors) - RESERVED_DESCRIPTORS)


class DescriptorBudget:
    """Divides descriptors and memory, and sets `max_connections` downstream and upstream accordingly."""

    def __init__(
        self,
        config: Config,
        control_connections: int,
        downstream: LimitedConnections,
        upstream: LimitedConnections,
        response_budget: ResponseBudget,
    ) -> None:
        """Divides the descriptors and the memory that the configuration allows."""
        self._descriptors = config.sockets
        self._memory_mb = config.memory_mb
        self._control_connections = control_connections
        self._downstream = downstream
        self._upstream = upstream
        self._response_budget = response_budget
        self._is_shared = False  # whether a second process of this sidecar may be running
        self._update_limits()

    def set_descriptors(self, descriptors: int) -> None:
        """Changes the total number of descriptors and divides it again."""
        self._descriptors = descriptors
        self._update_limits()

    def set_shared(self, *, is_shared: bool) -> None:
        """Sets whether a second process of this sidecar may be running, and divides again."""
        self._is_shared = is_shared
        self._update_limits()

    def _update_limits(self) -> None:
        connections = max(
            self._descriptors - RESERVED_DESCRIPTORS - self._control_connections,
            int(_MIN_TRAFFIC_FRACTION * self._descriptors),
        )
        connections = min(connections, self._memory_mb * _CONNECTIONS_PER_MB)
        downstream = int(connections * _DOWNSTREAM_FRACTION)
        self._downstream.max_connections = downstream
        # A client connects to one of the two processes, so the downstream limit stays as it is; a server
        # accepts connections from both.
        self._upstream.max_connections = int(
            (connections - downstream) * (_SHARED_UPSTREAM_FRACTION if self._is_shared else 1.0)
        )
        response_bytes = _buffer_bytes(self._memory_mb, _RESPONSE_FRACTION)
        self._response_budget.set_limits(
            int(response_bytes * (_SHARED_RESPONSE_FRACTION if self._is_shared else 1.0)), downstream
        )
