"""Graceful shutdown: every request that was read gets its response before the process ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.descriptor_budget import DescriptorBudget
from tulipnotch.sidecar.downstream.server import DownstreamServer
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.invariants import Invariant
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.requests.responses import ResponseSender

_NEW_CONNECTIONS_S = 0.4  # how long after SIGTERM clients may go on connecting
_QUIET_PERIOD_S = 0.05  # how long none must have connected before the listener closes
_KILL_DELAY_S = 0.7  # SIGKILL comes no sooner after SIGTERM than this and the longest deadline
_MAX_DEADLINE_S = 3.0  # a longer deadline counts as this
_FINAL_WRITE_S = 0.1  # before SIGKILL, reserved for writing the last responses
_POLL_INTERVAL_S = 0.01  # also gives the event loop time to write what is pending


class Shutdown:
    """Ends the service of clients."""

    def __init__(
        self,
        context: SidecarContext,
        downstream: DownstreamServer,
        budget: DescriptorBudget,
        registry: RequestRegistry,
        responses: ResponseSender,
    ) -> None:
        """Nothing changes before `run` is called."""
        self._context = context
        self._downstream = downstream
        self._budget = budget
        self._registry = registry
        self._responses = responses

    async def run(self, *, hands_over_listener: bool) -> None:
        """Responds to all requests that were read or are still coming, then returns.

        Args:
            hands_over_listener: Whether other processes hold the listening socket too.
        """
        started_at = asyncio.get_running_loop().time()
        deadlines_us = [each.deadline_us for each in self._context.settings.classes]
        remaining_s = min(max(deadlines_us) / 1e6, _MAX_DEADLINE_S) + _KILL_DELAY_S - _FINAL_WRITE_S
        self._registry.respond_by = self._context.clock.now() + int(remaining_s * 1e6)
        self._downstream.lifecycle.stop()
        if hands_over_listener:
            await self._hand_over_listener(started_at + remaining_s)
        else:
            await self._drain_connections(started_at, started_at + remaining_s)
        for request in self._registry:
            self._responses.respond(request.number, 504, [])  # the balancer has not ended it in time
            self._responses.end_stream(request, Outcome.CANCELLED)
        await asyncio.sleep(0)
        pending = self._registry.pending_response_count
        self._context.invariants.check(
            Invariant.STOP_WITHOUT_PENDING_RESPONSE, str(pending), holds=not pending
        )

    async def _hand_over_listener(self, until: float) -> None:
        """Leaves new connections to whoever else holds the listening socket, and finishes the open ones.

        Idle ones are closed by the downstream server, after a while, so that few requests meet a closed one.
        """
        self._downstream.stop_listening()
        self._budget.set_shared(is_shared=True)
        self._context.upstream.close_all_idle_connections()
        await _poll(lambda: self._downstream.has_no_connections, _POLL_INTERVAL_S, until)

    async def _drain_connections(self, started_at: float, until: float) -> None:
        """Accepts what clients still send, since nobody else listens, then closes what is idle."""
        loop = asyncio.get_running_loop()
        downstream = self._downstream
        downstream.close_idle()  # while new connections are still accepted
        await asyncio.sleep(_NEW_CONNECTIONS_S)
        await _poll(
            lambda: loop.time() >= downstream.last_opened_at + _QUIET_PERIOD_S,
            _QUIET_PERIOD_S / 2,
            started_at + _KILL_DELAY_S,
        )
        await _poll(downstream.accept_pending, _QUIET_PERIOD_S / 2, until)
        downstream.stop_listening()
        while (
            self._registry.pending_response_count or not downstream.has_no_connections
        ) and loop.time() < until:
            if not self._registry.pending_response_count:
                downstream.close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)


async def _poll(condition: Callable[[], bool], interval_s: float, until: float) -> None:
    """Returns once the condition holds, or at this time of the event loop."""
    loop = asyncio.get_running_loop()
    # Nothing reports an empty listen queue, and the interval lets the event loop finish writes.
    while not condition() and loop.time() < until:  # noqa: ASYNC110 - there is no event to wait for
        await asyncio.sleep(interval_s)
