"""The one response to each request: written at once, or streamed from an attempt to the client."""

from __future__ import annotations

from tulipnotch.load_balancing.actions import FailRequest, RejectRequest
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import Result
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

# Any other status is a failed request.
_RESULTS = {200: Result.COMPLETED, 429: Result.REJECTED, 503: Result.REJECTED}
_PASSED_BACK = (b"content-type", b"content-encoding")  # headers that describe the body


class ResponseSender:
    """Owns the transitions of each request's response state, and writes what follows from them."""

    def __init__(self, context: SidecarContext, registry: RequestRegistry) -> None:
        """Responds to the requests of this registry."""
        self._context = context
        self._registry = registry

    def stop_waiting(self, request: OpenRequest, state: ResponseState) -> DownstreamConnection | None:
        """Moves a request out of WaitingForResponse.

        Attempts that are not completely written are cancelled: a connection that is established later would
        send a request that nobody waits for, also where the settings forbid to cancel what a server may have
        begun to execute.

        Args:
            request: The request, in any state.
            state: Its state from now on, if its client has been waiting.

        Returns:
            The client that has been waiting, or None where none was.
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
        """The client disconnected; where a streamed response broke off before, only the state changes."""
        self.stop_waiting(request, DISCONNECTED)
        request.response = DISCONNECTED

    def respond(
        self, number: int, status: int, headers: Headers, body: bytes = b"", length: int | None = None
    ) -> None:
        """Writes the response of a request, unless it was written or has started before.

        Args:
            number: The request's number.
            status: The HTTP status.
            headers: Without those that frame the body.
            body: The complete body.
            length: The value of `content-length` where the response has no body but a length.
        """
        request = self._registry.get(number)
        if request is None:
            return
        client = self.stop_waiting(request, RESPONSE_ENDED)
        if client is not None:
            context = self._context
            context.telemetry.request_ended(request.incoming.class_name, _RESULTS.get(status, Result.FAILED))
            if context.trace is not None:
                context.trace.request_ended(request.name, status)
            client.send_response(status, headers, body, length)
        self._registry.remove_if_ended(request)

    def respond_with_server_response(self, number: int, response: Response) -> None:
        """Writes a server's complete response as that of a request."""
        self.respond(number, 200, _passed_back(response), response.body, response.length)

    def fail_request(self, action: FailRequest) -> None:
        """Responds that no attempt had a response: 504 where time ran out, else 502."""
        request = self._registry.get(action.request)
        self._context.telemetry.request_failed(action.reason)
        has_timed_out = request is not None and request.last_outcome in (None, Outcome.TIMED_OUT)
        self.respond(action.request, 504 if has_timed_out else 502, [])

    def reject_request(self, action: RejectRequest) -> None:
        """Responds 503: the request was not executed, and may be retried."""
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

    # Responses that are streamed

    def start_stream(
        self, request: OpenRequest, attempt: int, head: Response, source: UpstreamConnection
    ) -> DownstreamConnection | None:
        """Writes the head of a response that is streamed from an attempt.

        Returns:
            The client, which takes the body; None where it waits no more.
        """
        waiting = request.response
        if type(waiting) is not WaitingForResponse:
            return None
        client = waiting.client
        self.stop_waiting(request, StreamingResponse(client, attempt))
        if self._context.trace is not None:
            self._context.trace.request_ended(request.name, head.status)
        client.start_response(head.status, _passed_back(head), head.length, source)
        return client

    def end_stream(self, request: OpenRequest, outcome: Outcome) -> None:
        """Ends the response that is streamed; nothing happens where there is none any more."""
        streaming = request.response
        if type(streaming) is not StreamingResponse:
            return
        if outcome is Outcome.DELIVERED:
            self._stream_ended(request, Result.COMPLETED)
            streaming.client.finish_response()
        else:
            self._stream_ended(request, Result.FAILED)
            # Before the end of the response, so that the client sees that it is incomplete.
            streaming.client.abort(CloseReason.RESPONSE_INCOMPLETE)

    def cancel_stream(self, request: OpenRequest, streaming: StreamingResponse) -> None:
        """The client disconnected while its response was streamed: cancels the attempt that it came from."""
        self._stream_ended(request, Result.FAILED)
        self._context.upstream.cancel_request(request.upstream_requests[streaming.attempt])

    def _stream_ended(self, request: OpenRequest, result: Result) -> None:
        request.response = RESPONSE_ENDED
        self._registry.response_ended(request)
        self._context.telemetry.request_ended(request.incoming.class_name, result)


def _passed_back(response: Response) -> Headers:
    return [header for header in response.headers if header[0] in _PASSED_BACK]
