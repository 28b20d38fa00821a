"""Startup: opens or takes over the listener, and waits for an endpoint list that is recent enough."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from tulipnotch.load_balancing.settings import DiscoveryMode
from tulipnotch.sidecar.control.lifecycle import Phase
from tulipnotch.sidecar.descriptor_budget import DescriptorBudget
from tulipnotch.sidecar.downstream.listener import listen, wait_until_no_process_accepts
from tulipnotch.sidecar.downstream.server import DownstreamServer
from tulipnotch.sidecar.logs import Log

_ENDPOINT_LIST_TIMEOUT_S = 1.0  # maximum wait for discovery at a start without any cached endpoint
_PUSHED_LIST_TIMEOUT_S = 5.0  # maximum wait where lists are pushed; a start may take 6 s
_TAKEOVER_TIMEOUT_S = 3.0  # maximum wait for discovery at a takeover; the previous process serves meanwhile
# A connection that stays in the accept queue this long shows that the previous process accepts no more.
_UNACCEPTED_AFTER_S = 0.25
_TAKEOVER_OVERLAP_S = 5.0  # time after a takeover by which the previous process has ended


class Siblings(Protocol):
    """The other processes of this sidecar."""

    @property
    def settled(self) -> asyncio.Event:
        """Set once there is none, or this process shares its state with them."""
        ...

    def begin_accepting(self) -> None:
        """Has to be called before this process accepts clients."""
        ...


class Startup:
    """Starts listening as soon as clients can be served."""

    def __init__(
        self,
        log: Log,
        downstream: DownstreamServer,
        budget: DescriptorBudget,
        discovery_settled: asyncio.Event,
        endpoints_received: asyncio.Event,
    ) -> None:
        """Creates a startup that waits for two events of discovery.

        Args:
            log: Receives an event if no endpoint list arrives in time.
            downstream: Accepts connections from the listener.
            budget: Shares the descriptors with the previous process during a takeover.
            discovery_settled: Set when discovery has responded, or refuses connections since it is down.
            endpoints_received: Set when discovery has sent an endpoint list.
        """
        self._log = log
        self._downstream = downstream
        self._budget = budget
        self._discovery_settled = discovery_settled
        self._endpoints_received = endpoints_received
        self._has_timed_out = False  # whether a wait for discovery has timed out

    async def listen(self, reserved: socket.socket, discovery_mode: DiscoveryMode) -> None:
        """Listens on an address that no other process serves.

        Without a takeover, a cached endpoint list is sufficient: while this process waited for a fresh one,
        no other would serve the clients, and a release that kills most sidecars at once leaves discovery with
        a long queue.  It is not sufficient if lists are pushed: all that the discovery agent has counts as
        announced from the start, also while it rejects or delays calls.  An agent that is down has announced
        nothing, and the wait is bounded, so that discovery does not keep this process from serving.

        Args:
            reserved: A bound socket that does not listen yet.
            discovery_mode: Whether endpoint lists are pushed or polled.
        """
        if discovery_mode is DiscoveryMode.PUSHED:
            # Does not listen yet: connections that the kernel accepts are lost if the start is cancelled.
            await self._wait_for(self._discovery_settled, _PUSHED_LIST_TIMEOUT_S)
        listen(reserved, self._downstream.max_connections)
        self._downstream.listen(reserved)

    async def wait_for_endpoints(self) -> None:
        """Waits for an endpoint list, without which no request can be served, for a bounded time."""
        if not self._has_timed_out:
            await self._wait_for(self._endpoints_received, _ENDPOINT_LIST_TIMEOUT_S)

    @property
    def has_discovery_result(self) -> bool:
        """Whether discovery was called, and has responded, is down or has not responded in time."""
        return self._has_timed_out or self._endpoints_received.is_set() or self._discovery_settled.is_set()

    async def take_over(
        self, inherited: socket.socket, siblings: Siblings, discovery_mode: DiscoveryMode
    ) -> None:
        """Accepts connections from an inherited listener once a fresh endpoint list has arrived.

        The previous process serves meanwhile, and shares its state with this one.  If it was killed,
        connections wait in the accept queue; the cached endpoint list is sufficient to serve them, unless
        lists are pushed (see `listen`).
        """
        is_pushed = discovery_mode is DiscoveryMode.PUSHED
        self._budget.set_shared(is_shared=True)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        prepared_task = loop.create_task(self._wait_until_prepared(siblings))
        unaccepted_task = loop.create_task(self._wait_until_needed(inherited, is_pushed=is_pushed))
        try:
            await asyncio.wait(
                (prepared_task, unaccepted_task),
                timeout=_PUSHED_LIST_TIMEOUT_S if is_pushed else _TAKEOVER_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            prepared_task.cancel()
            unaccepted_task.cancel()
        if not self._endpoints_received.is_set():
            self._has_timed_out = True
            self._log("endpoint_list_stale", waited_s=round(loop.time() - started_at, 1))
        siblings.begin_accepting()
        self._downstream.listen(inherited)
        loop.call_later(_TAKEOVER_OVERLAP_S, self._end_takeover)

    async def _wait_until_needed(self, inherited: socket.socket, *, is_pushed: bool) -> None:
        """Waits until no other process accepts connections, and the cached endpoint list may be used."""
        await wait_until_no_process_accepts(inherited, _UNACCEPTED_AFTER_S)
        if is_pushed:
            await self._discovery_settled.wait()

    async def _wait_until_prepared(self, siblings: Siblings) -> None:
        await siblings.settled.wait()
        await self._endpoints_received.wait()

    def _end_takeover(self) -> None:
        """Assigns all descriptors to this process, since the previous one has ended by now."""
        if self._downstream.lifecycle.phase is not Phase.STOPPING:
            self._budget.set_shared(is_shared=False)

    async def _wait_for(self, event: asyncio.Event, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            self._has_timed_out = True
            self._log("endpoint_list_stale", waited_s=timeout_s)
