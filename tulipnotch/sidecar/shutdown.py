"""Graceful shutdown: each request that was read receives a response before the process ends."""

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

_NEW_CONNECTION_PERIOD_S = 0.4  # time after SIGTERM during which clients may still connect
_QUIET_PERIOD_S = 0.05  # time without a new connection after which the listener is closed
_MIN_KILL_DELAY_S = 0.7  # SIGKILL follows SIGTERM no earlier than the longest deadline plus this time
_MAX_DEADLINE_S = 3.0  # a longer deadline does not delay SIGKILL any further
_FINAL_WRITE_RESERVE_S = 0.1  # reserved before SIGKILL for writing the last responses
_MAX_SUSPENSION_S = 0.15  # a process may be suspended this long just before it writes them
_POLL_INTERVAL_S = 0.01  # interval of checks, in which the event loop also writes pending responses


class Shutdown:
    """Shuts down the downstream side: responds to all requests and closes all client connections."""

    def __init__(
        self,
        context: SidecarContext,
        downstream: DownstreamServer,
        budget: DescriptorBudget,
        registry: RequestRegistry,
        responses: ResponseSender,
    ) -> None:
        """Creates a shutdown that changes nothing before `run` is called."""
        self._context = context
        self._downstream = downstream
        self._budget = budget
        self._registry = registry
        self._responses = responses

    async def run(self, *, hands_over_listener: bool) -> None:
        """Responds to all requests that were read or still arrive, then returns.

        Args:
            hands_over_listener: Whether other processes have the listening socket open too.
        """
        started_at = asyncio.get_running_loop().time()
        deadlines_us = [each.deadline_us for each in self._context.settings.classes]
        kill_delay_s = min(max(deadlines_us) / 1e6, _MAX_DEADLINE_S) + _MIN_KILL_DELAY_S
        remaining_s = kill_delay_s - _FINAL_WRITE_RESERVE_S - _MAX_SUSPENSION_S
        self._registry.respond_by = self._context.clock.now() + int(remaining_s * 1e6)
        self._downstream.lifecycle.stop()
        if hands_over_listener:
            await self._hand_over_listener(started_at + remaining_s)
        else:
            await self._drain_connections(started_at, started_at + remaining_s)
        for request in self._registry:
            self._responses.respond(request.number, 504, [])  # the balancer did not end it in time
            self._responses.end_stream(request, Outcome.CANCELLED)
        await asyncio.sleep(0)
        pending = self._registry.pending_response_count
        self._context.invariants.check(
            Invariant.STOP_WITHOUT_PENDING_RESPONSE, str(pending), holds=not pending
        )

    async def _hand_over_listener(self, end_at: float) -> None:
        """Leaves new connections to the other processes that listen, and serves the open ones to their end.

        The downstream server closes idle connections after some time, not at once, so that few requests
        arrive on a connection that is just being closed.
        """
        self._downstream.stop_listening()
        self._budget.set_shared(is_shared=True)
        self._context.upstream.close_all_idle_connections()
        await _wait_until(lambda: self._downstream.has_no_connections, _POLL_INTERVAL_S, end_at)

    async def _drain_connections(self, started_at: float, end_at: float) -> None:
        """Accepts late connections, since no other process listens, then closes connections once idle."""
        loop = asyncio.get_running_loop()
        downstream = self._downstream
        downstream.close_idle()  # clients can reconnect, since new connections are still accepted
        await asyncio.sleep(_NEW_CONNECTION_PERIOD_S)
        await _wait_until(
            lambda: loop.time() >= downstream.last_opened_at + _QUIET_PERIOD_S,
            _QUIET_PERIOD_S / 2,
            started_at + _MIN_KILL_DELAY_S,
        )
        await _wait_until(downstream.accept_pending, _QUIET_PERIOD_S / 2, end_at)
        downstream.stop_listening()
        while (
            self._registry.pending_response_count or not downstream.has_no_connections
        ) and loop.time() < end_at:
            if not self._registry.pending_response_count:
                downstream.close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)


async def _wait_until(condition: Callable[[], bool], interval_s: float, end_at: float) -> None:
    """Returns once the condition holds, at the latest at `end_at`, a time of the event loop."""
    loop = asyncio.get_running_loop()
    # Polls, since nothing signals an empty accept queue; the event loop finishes writes in each interval.
    while not condition() and loop.time() < end_at:  # noqa: ASYNC110 - there is no event to wait for
        await asyncio.sleep(interval_s)
