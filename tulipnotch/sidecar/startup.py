"""Startup: opens or takes over the listener, and waits for an endpoint list that is recent enough."""

from __future__ import annotations

import asyncio
import socket

from tulipnotch.load_balancing.settings import DiscoveryMode
from tulipnotch.sidecar.control.lifecycle import Phase
from tulipnotch.sidecar.descriptor_budget import DescriptorBudget
from tulipnotch.sidecar.downstream.listener import listen, wait_until_no_process_accepts
from tulipnotch.sidecar.downstream.server import DownstreamServer
from tulipnotch.sidecar.logs import Log

_ENDPOINT_LIST_TIMEOUT_S = 1.0  # how long a start without a cached endpoint list waits for one
_TAKEOVER_TIMEOUT_S = 3.0  # the same where the previous process serves meanwhile
# Connections that have waited for so long show that the previous process does not accept them any more.
_UNSERVED_AFTER_S = 0.25
_TAKEOVER_OVERLAP_S = 5.0  # from being ready after a takeover: the previous process has ended by then


class Startup:
    """Listens for clients as soon as they can be served."""

    def __init__(
        self,
        log: Log,
        downstream: DownstreamServer,
        budget: DescriptorBudget,
        first_call_ended: asyncio.Event,
        endpoints_received: asyncio.Event,
    ) -> None:
        """Waits for two events of discovery.

        Args:
            log: Takes the event that no endpoint list came in time.
            downstream: Accepts from the listener.
            budget: Divides the descriptors with the previous process at a takeover.
            first_call_ended: Set when the first call to discovery has ended in any way.
            endpoints_received: Set when discovery has sent an endpoint list.
        """
        self._log = log
        self._downstream = downstream
        self._budget = budget
        self._first_call_ended = first_call_ended
        self._endpoints_received = endpoints_received
        self._has_timed_out = False  # whether a wait for discovery did

    async def listen(self, reserved: socket.socket, discovery_mode: DiscoveryMode) -> None:
        """Listens on an address that no other process serves.

        The cached endpoint list is sufficient here: clients would wait with nobody to serve them, and a
        release that kills most sidecars at once leaves discovery with a long queue.  It is not sufficient
        where lists are pushed: all that the agent has counts as announced from the first moment on.

        Args:
            reserved: A bound socket that does not listen yet.
            discovery_mode: How endpoint lists come.
        """
        if discovery_mode is DiscoveryMode.PUSHED:
            # Nothing listens meanwhile: what the kernel accepts is lost if the start is cancelled.
            await self._wait(self._first_call_ended, _ENDPOINT_LIST_TIMEOUT_S)
        listen(reserved, self._downstream.max_connections)
        self._downstream.listen(reserved)

    async def wait_for_endpoints(self) -> None:
        """Waits for an endpoint list for a bounded time: without one no request can be served."""
        await self._wait(self._endpoints_received, _ENDPOINT_LIST_TIMEOUT_S)

    @property
    def has_discovery_result(self) -> bool:
        """Whether discovery was called, and has responded, failed or exceeded the time allowed."""
        return self._has_timed_out or self._endpoints_received.is_set() or self._first_call_ended.is_set()

    async def take_over(self, inherited: socket.socket) -> None:
        """Accepts from an inherited listener once there is a fresh endpoint list.

        The previous process serves while this one waits.  Where that was killed, requests wait on the socket,
        and the cached endpoint list is sufficient for them.
        """
        self._budget.set_shared(is_shared=True)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        fresh = loop.create_task(self._endpoints_received.wait())
        unserved = loop.create_task(wait_until_no_process_accepts(inherited, _UNSERVED_AFTER_S))
        try:
            await asyncio.wait(
                (fresh, unserved), timeout=_TAKEOVER_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            fresh.cancel()
            unserved.cancel()
        if not self._endpoints_received.is_set():
            self._has_timed_out = True
            self._log("endpoint_list_stale", waited_s=round(loop.time() - started_at, 1))
        self._downstream.listen(inherited)
        loop.call_later(_TAKEOVER_OVERLAP_S, self._end_takeover)

    def _end_takeover(self) -> None:
        """The previous process has ended by now: all descriptors are for this one."""
        if self._downstream.lifecycle.phase is not Phase.STOPPING:
            self._budget.set_shared(is_shared=False)

    async def _wait(self, received: asyncio.Event, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await received.wait()
        except TimeoutError:
            self._has_timed_out = True
            self._log("endpoint_list_stale", waited_s=timeout_s)
