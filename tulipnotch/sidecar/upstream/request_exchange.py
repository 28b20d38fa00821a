"""The observer that maps the end of an exchange to the outcome of its request."""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.exchange import ExchangeFailure, ResponseConsumer
from tulipnotch.sidecar.upstream.request import UpstreamRequest
from tulipnotch.sidecar.upstream.write_gate import WriteGate

_FAILURE_OUTCOMES = {
    ExchangeFailure.UNWRITTEN: Outcome.CONNECT_FAILED,
    ExchangeFailure.CONNECTION_LOST: Outcome.CONNECTION_LOST,
    ExchangeFailure.MALFORMED_RESPONSE: Outcome.MALFORMED_RESPONSE,
}


class RequestExchangeObserver:
    """Observes the exchange of one `UpstreamRequest`, and ends the request with it."""

    __slots__ = ("_connection", "_gate", "_request")

    def __init__(self, gate: WriteGate, request: UpstreamRequest, connection: UpstreamConnection) -> None:
        """Observes `request` on `connection`; `gate` decides on each write."""
        self._gate = gate
        self._request = request
        self._connection = connection

    @property
    def streams_responses(self) -> bool:
        """Whether a response that is too large to be buffered is streamed."""
        return self._request.observer.streams_responses

    def may_write(self) -> bool:
        """Returns whether a further part of the request may be written now."""
        return self._gate.may_write(self._request)

    def request_written(self) -> None:
        """Notifies the request's observer."""
        self._request.observer.request_written(self._request)

    def response_began(self) -> None:
        """Notifies the request's observer."""
        self._request.observer.response_began()

    def response_stalled(self, *, has_head: bool) -> bool:
        """Returns whether the request's observer waits for the rest."""
        return self._request.observer.response_stalled(has_head=has_head)

    def response_started(self, head: Response) -> ResponseConsumer | None:
        """Returns the response's consumer; from now on, the stall timeout applies instead of the deadline."""
        if self._request.timer is not None:
            self._request.timer.cancel()
        return self._request.observer.response_started(head, self._connection)

    def exchange_ended(self, result: Response | ExchangeFailure) -> None:
        """Ends the request with the outcome of its exchange."""
        request = self._request
        request.is_response_certain = self._connection.is_response_certain or request.is_unwritten
        self._gate.end_request(
            request, outcome_of_exchange(result), result if isinstance(result, Response) else None
        )


def outcome_of_exchange(result: Response | ExchangeFailure) -> Outcome:
    """Returns the request's outcome for the result of its exchange."""
    if isinstance(result, ExchangeFailure):
        return _FAILURE_OUTCOMES[result]
    if result.status == 200:
        return Outcome.DELIVERED
    if result.status in (503, 504) and result.header_values(b"not-started") == {b"1"}:
        return Outcome.OVERLOADED
    if 400 <= result.status < 500:
        return Outcome.CLIENT_ERROR
    return Outcome.SERVER_ERROR
