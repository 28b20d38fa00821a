"""Writes the one response to each request: buffered, or streamed from an attempt to the client."""

from __future__ import annotations

from tulipnotch.load_balancing.actions import FailRequest, RejectRequest
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import RequestResult
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.http1.messages import Headers, Response
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.invariants import CloseReason
from tulipnotch.sidecar.requests.open_request import (
    DISCONNECTED,
    RESPONSE_ENDED,
    OpenRequest,
    ResponseState,
    StreamingResponse,
    WaitingForResponse,
)
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.upstream.connection import UpstreamConnection

# The result that is counted for each status of a response; any other status counts as FAILED.
_RESULTS = {200: RequestResult.COMPLETED, 429: RequestResult.REJECTED, 503: RequestResult.REJECTED}
# Headers of a server's response that are forwarded to the client, since they describe the body.
_FORWARDED_HEADERS = (b"content-type", b"content-encoding")


class ResponseSender:
    """Owns the transitions of each request's response state, and writes responses to clients."""

    def __init__(self, context: SidecarContext, registry: RequestRegistry) -> None:
        """Responds to the requests in `registry`."""
        self._context = context
        self._registry = registry

    def stop_waiting(self, request: OpenRequest, state: ResponseState) -> DownstreamConnection | None:
        """Moves a request out of WaitingForResponse.

        Attempts that are not completely written are cancelled, even where the settings forbid cancelling what
        a server may have begun to execute: otherwise a connection that is established later would be used to
        send a request that no client waits for.

        Args:
            request: The request, in any state.
            state: The new state, if the request is in WaitingForResponse.

        Returns:
            The connection of the client that has been waiting, or None if no client was.
        """
        waiting = request.response
        if type(waiting) is not WaitingForResponse:
            return None
        request.response = state
        request.incoming.body.on_complete = None
        if type(state) is not StreamingResponse:
            self._registry.response_ended(request)
        for upstream_request in request.upstream_requests:
            self._context.upstream.cancel_if_unwritten(upstream_request)
        return waiting.client

    def mark_disconnected(self, request: OpenRequest) -> None:
        """Records that the client disconnected, possibly after its streamed response broke off."""
        self.stop_waiting(request, DISCONNECTED)
        request.response = DISCONNECTED

    def respond(
        self, number: int, status: int, headers: Headers, body: bytes = b"", length: int | None = None
    ) -> None:
        """Writes the response to a request, unless its response has started before.

        Args:
            number: The request's number.
            status: The HTTP status.
            headers: The headers, without those that frame the body.
            body: The complete body.
            length: The value of `content-length` if the response has a length but no body (HEAD).
        """
        request = self._registry.get(number)
        if request is None:
            return
        client = self.stop_waiting(request, RESPONSE_ENDED)
        if client is not None:
            context = self._context
            context.telemetry.request_ended(
                request.incoming.class_name, _RESULTS.get(status, RequestResult.FAILED)
            )
            if context.trace is not None:
                context.trace.request_ended(request.id_for_logs, status)
            client.send_response(status, headers, body, length)
        self._registry.remove_if_ended(request)

    def respond_with_server_response(self, number: int, response: Response) -> None:
        """Writes a server's complete response as the response to a request."""
        self.respond(number, 200, _forwarded_headers(response), response.body, response.length)

    def fail_request(self, action: FailRequest) -> None:
        """Responds 504 if time ran out (no attempt has ended, or the last one timed out), otherwise 502."""
        request = self._registry.get(action.request)
        self._context.telemetry.request_failed(action.reason)
        has_timed_out = request is not None and request.last_outcome in (None, Outcome.TIMED_OUT)
        self.respond(action.request, 504 if has_timed_out else 502, [])

    def reject_request(self, action: RejectRequest) -> None:
        """Responds 503, after which the client may retry: a retry has no second effect."""
        request = self._registry.get(action.request)
        context = self._context
        context.telemetry.request_rejected(action.reason)
        if request is not None:
            context.invariants.check_rejection(
                request.incoming.request_id, request.incoming.service_class, request.written_attempts
            )
        headers: Headers = []
        if action.retry_after_us > 0 and context.settings.limits.retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after_us / 1e6)))
        self.respond(action.request, 503, headers)

    # Streamed responses

    def start_stream(
        self, request: OpenRequest, attempt: int, head: Response, source: UpstreamConnection
    ) -> DownstreamConnection | None:
        """Writes the head of a response that is streamed from an attempt.

        Returns:
            The client's connection, which consumes the body, or None if the client waits no longer.
        """
        waiting = request.response
        if type(waiting) is not WaitingForResponse:
            return None
        client = waiting.client
        self.stop_waiting(request, StreamingResponse(client, attempt))
        if self._context.trace is not None:
            self._context.trace.request_ended(request.id_for_logs, head.status)
        client.start_response(head.status, _forwarded_headers(head), head.length, source)
        return client

    def end_stream(self, request: OpenRequest, outcome: Outcome) -> None:
        """Ends a streamed response with the outcome of its attempt, unless it has already ended."""
        streaming = request.response
        if type(streaming) is not StreamingResponse:
            return
        if outcome is Outcome.DELIVERED:
            self._record_stream_end(request, RequestResult.COMPLETED)
            streaming.client.finish_response()
        else:
            self._record_stream_end(request, RequestResult.FAILED)
            # The connection is closed before the response's end, so that the client sees that it is cut off.
            streaming.client.abort(CloseReason.RESPONSE_INCOMPLETE)

    def cancel_stream(self, request: OpenRequest, streaming: StreamingResponse) -> None:
        """Cancels the attempt whose response was streamed to a client that has disconnected."""
        self._record_stream_end(request, RequestResult.FAILED)
        self._context.upstream.cancel_request(request.upstream_requests[streaming.attempt])

    def _record_stream_end(self, request: OpenRequest, result: RequestResult) -> None:
        request.response = RESPONSE_ENDED
        self._registry.response_ended(request)
        self._context.telemetry.request_ended(request.incoming.class_name, result)


def _forwarded_headers(response: Response) -> Headers:
    return [header for header in response.headers if header[0] in _FORWARDED_HEADERS]
