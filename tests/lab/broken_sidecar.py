"""Runs a sidecar with the defect that its first argument names; `none` runs it without one."""

from __future__ import annotations

import sys
from typing import Any

from tulipnotch.load_balancing.events import EndpointState, RequestArrived
from tulipnotch.load_balancing.selection.best_of_k import Selection
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart
from tulipnotch.sidecar.__main__ import main
from tulipnotch.sidecar.discovery import endpoint_list_codec
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.requests.responses import ResponseSender
from tulipnotch.sidecar.upstream.pool import UpstreamPool
from tulipnotch.sidecar.upstream.request import BackgroundRequestObserver, UpstreamRequest


def lose_requests() -> None:
    """Does not respond to one request in twenty."""
    post = EventQueue.post

    def broken(self: EventQueue, event: Any) -> None:
        if not (isinstance(event, RequestArrived) and event.request % 20 == 0):
            post(self, event)

    EventQueue.post = broken  # type: ignore[method-assign]


def invent_responses() -> None:
    """Responds to one request in twenty with a body that no server generated."""
    respond = ResponseSender.respond

    def broken(
        self: ResponseSender, request: int, status: int, headers: Any, body: bytes = b"", *arguments: Any
    ) -> None:
        respond(self, request, status, headers, b"invented" if request % 20 == 0 else body, *arguments)

    ResponseSender.respond = broken  # type: ignore[method-assign,assignment]


def duplicate_attempts() -> None:
    """Sends every attempt twice."""
    start = UpstreamPool.start_request

    def broken(self: UpstreamPool, request: UpstreamRequest) -> None:
        start(self, request)
        start(
            self,
            UpstreamRequest(
                request.endpoint, request.deadline, request.build_message, BackgroundRequestObserver()
            ),
        )

    UpstreamPool.start_request = broken  # type: ignore[method-assign]


def ignore_draining() -> None:
    """Treats draining endpoints as ready."""
    endpoint_list_codec._STATES["leaving"] = EndpointState.READY


def prefer_newest() -> None:
    """Sends all requests to the endpoint that started last, without a warm-up budget."""
    choose = Selection.choose_endpoint

    def broken(self: Selection, request: Any) -> Any:
        started = [each for each in self._context.ready_endpoints if each.started_at]
        newest = max(started, key=lambda each: each.started_at or 0, default=None)
        return newest if newest is not None else choose(self, request)

    Selection.choose_endpoint = broken  # type: ignore[method-assign]
    SlowStart.has_budget = lambda *_: True  # type: ignore[method-assign]


if __name__ == "__main__":
    if sys.argv[1] != "none":
        globals()[sys.argv[1]]()
    sys.exit(main())
