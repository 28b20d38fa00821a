"""All client connections by state, the limits on their number and memory, and the choice of one to evict."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import chain, islice

from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.connection_state import ConnectionState
from tulipnotch.sidecar.requests.invariants import CloseReason


class ConnectionTable:
    """The connections of one server by state, ordered by the time at which each entered its state."""

    def __init__(self, limits: ClientLimits) -> None:
        """Creates an empty table, which accepts no connection until `max_connections` is set."""
        self._limits = limits
        self.max_connections = 0  # set by the owner of the descriptor budget
        self.last_opened_at = 0.0  # when the last connection was added, in the event loop's time (s)
        self.buffered_bytes = 0  # buffered for requests, over all connections
        self._by_state: dict[ConnectionState, dict[DownstreamConnection, None]] = {
            state: {} for state in ConnectionState
        }

    def __len__(self) -> int:
        """Returns the number of connections."""
        return sum(len(connections) for connections in self._by_state.values())

    def __iter__(self) -> Iterator[DownstreamConnection]:
        """Iterates over all connections; none may change its state during the iteration."""
        return chain.from_iterable(self._by_state.values())

    def connections_in_state(self, state: ConnectionState) -> list[DownstreamConnection]:
        """Returns a copy of the connections in a state, the one that entered it first at the front."""
        return list(self._by_state[state])

    def add(self, connection: DownstreamConnection) -> None:
        """Adds a connection; at the limit, evicts another one, or aborts this one if none can be evicted."""
        self.last_opened_at = connection.state_since = asyncio.get_running_loop().time()
        if len(self) >= self.max_connections and not self.evict():
            connection.state = ConnectionState.CLOSING
            connection.abort(CloseReason.CONNECTION_LIMIT)
            return
        self._by_state[ConnectionState.CONNECTED][connection] = None

    def set_state(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Sets the state of a connection; does nothing if it is in that state already."""
        previous = connection.state
        if state is previous:
            return
        self._by_state[previous].pop(connection, None)
        self._by_state[state][connection] = None
        connection.state = state
        # The time for the head of the first request runs from connecting, not from the request's first byte.
        if previous is not ConnectionState.CONNECTED or state is not ConnectionState.READING:
            connection.state_since = asyncio.get_running_loop().time()
        if state in (ConnectionState.IDLE, ConnectionState.CLOSING):
            self._release_buffered_bytes(connection)

    def add_buffered_bytes(self, connection: DownstreamConnection, nbytes: int) -> None:
        """Counts bytes buffered for requests; above the limit, abandons the oldest incomplete requests."""
        connection.buffered_bytes += nbytes
        self.buffered_bytes += nbytes
        while self.buffered_bytes > self._limits.most_bytes:
            incomplete = chain(
                self._by_state[ConnectionState.READING], self._by_state[ConnectionState.STREAMING_BODY]
            )
            oldest = next(incomplete, None)
            if oldest is None:
                return
            oldest.abandon_request(503)

    def remove(self, connection: DownstreamConnection) -> None:
        """Removes a connection that has ended."""
        self._by_state[connection.state].pop(connection, None)
        self._release_buffered_bytes(connection)

    def _release_buffered_bytes(self, connection: DownstreamConnection) -> None:
        self.buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    def evict(self) -> bool:
        """Aborts the connection whose loss does the least harm, but never one with a pending response.

        Returns:
            Whether a connection could be evicted.
        """
        evicted = next(self._eviction_candidates(), None)
        if evicted is None:
            return False
        self._by_state[evicted.state].pop(evicted)
        evicted.abort(CloseReason.CONNECTION_LIMIT)
        return True

    def _eviction_candidates(self) -> Iterator[DownstreamConnection]:
        """Yields the connections that may be evicted, in the order in which they should be."""
        by_state = self._by_state
        yield from (each for each in by_state[ConnectionState.CLOSING] if not each.has_unsent_output)
        # Next is the client that has been connected longest without sending a byte, provided that this is at
        # least `greeting_s`.  Clients that have just connected come later, since a request of theirs may be
        # in transit and would get no response.
        connected_before = asyncio.get_running_loop().time() - self._limits.greeting_s
        for oldest in islice(by_state[ConnectionState.CONNECTED], 1):
            if oldest.state_since <= connected_before and oldest.can_close_safely:
                yield oldest
        yield from (each for each in by_state[ConnectionState.IDLE] if each.can_close_safely)
        yield from (each for each in by_state[ConnectionState.CONNECTED] if each.can_close_safely)
        # Excludes connections with unread input, which may be the last byte of their request.
        yield from (each for each in by_state[ConnectionState.READING] if not each.has_unread_input)
