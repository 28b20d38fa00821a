"""All connections of clients by state, their limits in number and memory, and which of them is evicted."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from itertools import chain, islice

from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import ConnectionState, DownstreamConnection
from tulipnotch.sidecar.requests.invariants import CloseReason


class ConnectionTable:
    """The connections of one server, in the order in which each came to its state."""

    def __init__(self, limits: ClientLimits) -> None:
        """Begin with no connection, and with no room for one until `max_connections` is set."""
        self._limits = limits
        self.max_connections = 0  # set by whoever knows how many descriptors there are
        self.last_opened = 0.0  # the last connection, in the event loop's time (s)
        self.buffered_bytes = 0  # of requests, over all connections
        self._by_state: dict[ConnectionState, dict[DownstreamConnection, None]] = {
            state: {} for state in ConnectionState
        }

    def __len__(self) -> int:
        """Return the number of connections."""
        return sum(len(connections) for connections in self._by_state.values())

    def __iter__(self) -> Iterator[DownstreamConnection]:
        """Iterate over all connections; none may change its state meanwhile."""
        return chain.from_iterable(self._by_state.values())

    def in_state(self, state: ConnectionState) -> list[DownstreamConnection]:
        """Return a copy of the connections in a state, the oldest first."""
        return list(self._by_state[state])

    def add(self, connection: DownstreamConnection) -> None:
        """Add a connection, and evict one if there are too many; abort it if none can be evicted."""
        self.last_opened = connection.state_since = asyncio.get_running_loop().time()
        if len(self) >= self.max_connections and not self.evict():
            connection.state = ConnectionState.CLOSING
            connection.abort(CloseReason.CONNECTION_LIMIT)
            return
        self._by_state[ConnectionState.CONNECTED][connection] = None

    def move(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Put a connection into another state; in the same one nothing changes."""
        previous = connection.state
        if state is previous:
            return
        self._by_state[previous].pop(connection, None)
        self._by_state[state][connection] = None
        connection.state = state
        # The time for the first head runs from the connection on, not from its first byte.
        if previous is not ConnectionState.CONNECTED or state is not ConnectionState.READING:
            connection.state_since = asyncio.get_running_loop().time()
        if state in (ConnectionState.IDLE, ConnectionState.CLOSING):
            self._release(connection)

    def add_buffered(self, connection: DownstreamConnection, nbytes: int) -> None:
        """Count bytes that are buffered for requests; above the limit, abandon the oldest incomplete ones."""
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
        """Forget a connection that has ended."""
        self._by_state[connection.state].pop(connection, None)
        self._release(connection)

    def _release(self, connection: DownstreamConnection) -> None:
        self.buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    def evict(self) -> bool:
        """Abort the connection whose loss matters least, never one with a pending response.

        Returns:
            Whether there was one.
        """
        evicted = next(self._evictable(), None)
        if evicted is None:
            return False
        self._by_state[evicted.state].pop(evicted)
        evicted.abort(CloseReason.CONNECTION_LIMIT)
        return True

    def _evictable(self) -> Iterator[DownstreamConnection]:
        """Yield the connections that may be evicted, the first ones first."""
        by_state = self._by_state
        yield from (each for each in by_state[ConnectionState.CLOSING] if not each.has_unsent_output)
        # Without a request for some time.  A client that has just connected comes later: its request may be
        # on the way, and it would stay without a response.
        greeted_until = asyncio.get_running_loop().time() - self._limits.greeting_s
        for oldest in islice(by_state[ConnectionState.CONNECTED], 1):
            if oldest.state_since <= greeted_until and oldest.can_close_safely:
                yield oldest
        yield from (each for each in by_state[ConnectionState.IDLE] if each.can_close_safely)
        yield from (each for each in by_state[ConnectionState.CONNECTED] if each.can_close_safely)
        # Not if the last byte of the request may have come.
        yield from (each for each in by_state[ConnectionState.READING] if not each.has_unread_input)
