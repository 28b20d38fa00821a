"""Receives arrivals, completed bodies and disconnects from client connections, for the balancer."""

from __future__ import annotations

from tulipnotch.load_balancing.events import (
    ClientDisconnected,
    RequestArrived,
    RequestBodyCompleted,
    RequestTimedOut,
)
from tulipnotch.sidecar.control.telemetry import RequestResult
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.incoming_request import BadRequestError, IncomingRequest
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.invariants import CloseReason
from tulipnotch.sidecar.requests.open_request import OpenRequest, StreamingResponse, WaitingForResponse
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.requests.responses import ResponseSender
from tulipnotch.sidecar.requests.shared_ids import ClaimResult


class RequestReceiver:
    """Handles the events of client connections and their requests."""

    def __init__(
        self,
        context: SidecarContext,
        registry: RequestRegistry,
        responses: ResponseSender,
        events: EventQueue,
    ) -> None:
        """Adds requests to `registry`, and posts their events to `events`."""
        self._context = context
        self._registry = registry
        self._responses = responses
        self._events = events

    def request_received(self, connection: DownstreamConnection, incoming: IncomingRequest) -> int | None:
        """Accepts a request whose head was received, with the start of its body or all of it.

        Returns:
            The request's number if its response is pending; None if it was responded to within this call.

        Raises:
            BadRequestError: If the id is that of an open request, or of one that may have been executed.
        """
        context = self._context
        registry = self._registry
        now = context.clock.now()
        result = registry.claim_id(incoming, context.settings.limits.max_open_requests, now)
        if result is not ClaimResult.GRANTED:
            self._reject_claim(connection, incoming, result)
            return None
        incoming.remaining_us = registry.limit_remaining_time(incoming.remaining_us, now)
        request = registry.add(connection, incoming)
        is_body_incomplete = not incoming.body.is_complete
        if is_body_incomplete:
            incoming.body.on_complete = lambda: self._body_completed(request)
        if context.trace is not None:
            context.trace.request_accepted(request.id_for_logs, incoming.class_name, incoming.remaining_us)
        self._events.post(
            RequestArrived(
                request=request.number,
                service_class=incoming.class_name,
                tenant=incoming.tenant,
                key=incoming.affinity_key,
                remaining_us=incoming.remaining_us,
                cost_us=incoming.cost_us,
                client_retry=incoming.client_retry,
                is_write=incoming.method == b"POST",
                body_incomplete=is_body_incomplete,
            )
        )
        return request.number if request.is_waiting else None

    def _reject_claim(
        self, connection: DownstreamConnection, incoming: IncomingRequest, result: ClaimResult
    ) -> None:
        """Responds to a request whose id was not granted.

        Raises:
            BadRequestError: The id is that of another request.
        """
        telemetry = self._context.telemetry
        if result is ClaimResult.IN_USE:
            # Servers deduplicate requests by id, so an id that is in use is rejected.
            raise BadRequestError("request-id is that of an open request", 409)
        if result is ClaimResult.POSSIBLY_EXECUTED:
            raise BadRequestError("request-id is that of a request that may have run", 409)
        if result is ClaimResult.LIMIT_REACHED:
            telemetry.request_rejected(None)
            self.request_rejected(connection, incoming)
            return
        # Not 503, which would promise that the request was not executed under this id.
        telemetry.request_ended(incoming.class_name, RequestResult.FAILED)
        telemetry.request_id_unknown()
        connection.send_response(409, [], b"request-id may be that of a request that may have run")

    def request_rejected(self, connection: DownstreamConnection, incoming: IncomingRequest) -> None:
        """Rejects a request that the connection can't have sent on; a retry of its client is harmless."""
        self._context.telemetry.request_ended(incoming.class_name, RequestResult.REJECTED)
        connection.send_response(503, [], b"")

    def _body_completed(self, request: OpenRequest) -> None:
        """Starts the request's timeout, now that the last byte of its body was received.

        The client may have written that byte long before, while its body was not read.
        """
        waiting = request.response
        if type(waiting) is not WaitingForResponse:
            return
        now = request.body_completed_at = self._context.clock.now()
        client_remaining_us = request.incoming.remaining_us - int(waiting.client.upload_wait_s * 1e6)
        remaining_us = self._registry.limit_remaining_time(max(client_remaining_us, 1), now)
        for upstream_request in request.upstream_requests:
            self._context.upstream.set_deadline(upstream_request, now + remaining_us)
        self._events.post(RequestBodyCompleted(request.number, remaining_us))

    def upload_timed_out(self, number: int) -> None:
        """Ends a request whose server accepts its body too slowly for the client's timeout."""
        request = self._registry.get(number)
        if request is None or not request.is_waiting:
            return
        self._events.post(RequestTimedOut(number))
        for upstream_request in request.upstream_requests:
            self._context.upstream.time_out_request(upstream_request)

    def client_disconnected(self, number: int) -> None:
        """Handles a client that disconnected before the end of its response, or whose body was abandoned."""
        request = self._registry.get(number)
        if request is not None:
            if isinstance(request.response, StreamingResponse):
                self._responses.cancel_stream(request, request.response)
                return
            self._registry.retain_if_possibly_executed(request, self._context.clock.now())
            if self._context.trace is not None:
                self._context.trace.request_ended(request.id_for_logs, 0)
            self._responses.mark_disconnected(request)
        self._events.post(ClientDisconnected(number))
        if request is not None:
            self._registry.remove_if_ended(request)

    def connection_closed(self, reason: CloseReason) -> None:
        """Counts and logs the end of a client's connection."""
        self._context.telemetry.connection_closed(reason)
        if self._context.trace is not None:
            self._context.trace.connection_closed(reason)
