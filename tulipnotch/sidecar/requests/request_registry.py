"""The open requests of this process, and the request ids that a further request must not use."""

from __future__ import annotations

from collections.abc import Iterator

from tulipnotch.load_balancing.retries.idempotency_rule import is_safe_to_resend
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest
from tulipnotch.sidecar.requests.open_request import OpenRequest
from tulipnotch.sidecar.requests.possibly_executed import PossiblyExecutedRequests


class RequestRegistry:
    """Owns the open requests, the ids with a pending response, and the ids of possibly executed requests."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._open: dict[int, OpenRequest] = {}
        self._pending_ids: set[bytes] = set()  # ids of requests whose response has not ended
        self._possibly_executed = PossiblyExecutedRequests()
        self._next_number = 1
        # Clock time (us) by which all requests must have a response; None: no limit.
        self.respond_by: int | None = None

    def __len__(self) -> int:
        """Returns the number of open requests: those with a pending response or an attempt in flight."""
        return len(self._open)

    def __iter__(self) -> Iterator[OpenRequest]:
        """Iterates over a copy of the open requests, oldest first."""
        return iter(list(self._open.values()))

    def add(self, client: DownstreamConnection, incoming: IncomingRequest) -> OpenRequest:
        """Adds a request that has arrived; its response is pending from now on."""
        request = OpenRequest(self._next_number, client, incoming)
        self._next_number += 1
        self._open[request.number] = request
        self._pending_ids.add(incoming.request_id)
        return request

    def get(self, number: int) -> OpenRequest | None:
        """Returns the open request with this number, or None if it has ended."""
        return self._open.get(number)

    def require(self, number: int) -> OpenRequest:
        """Returns the open request with this number; raises KeyError if it has ended."""
        return self._open[number]

    def is_responded(self, number: int) -> bool:
        """Returns whether the response has started, or the client has disconnected."""
        request = self._open.get(number)
        return request is None or not request.is_waiting

    def remove_if_ended(self, request: OpenRequest) -> None:
        """Removes a request if its response and all of its attempts have ended."""
        if request.has_ended:
            self._open.pop(request.number, None)

    def limit_remaining_time(self, remaining_us: int, now: int) -> int:
        """Returns the remaining time (us) that a client allows, limited to the time until `respond_by`."""
        if self.respond_by is None:
            return remaining_us
        return max(min(remaining_us, self.respond_by - now), 1)

    @property
    def pending_complete_request_count(self) -> int:
        """The number of completely received requests with a pending response."""
        return sum(
            request.incoming.body.is_complete and request.has_pending_response
            for request in self._open.values()
        )

    # Ids

    @property
    def pending_response_count(self) -> int:
        """The number of requests with a pending response."""
        return len(self._pending_ids)

    def is_id_in_use(self, request_id: bytes) -> bool:
        """Returns whether the response to a request with this id is pending."""
        return request_id in self._pending_ids

    def response_ended(self, request: OpenRequest) -> None:
        """Releases the request's id, since nothing more is written to its client."""
        self._pending_ids.discard(request.incoming.request_id)

    def may_have_executed(self, request_id: bytes, now: int) -> bool:
        """Returns whether a request with this id may have been executed, and must not be executed again."""
        return self._possibly_executed.contains(request_id, now)

    def retain_if_possibly_executed(self, request: OpenRequest, now: int) -> None:
        """Rejects a request's id from now on if the request may have been executed and must not run twice.

        Args:
            request: A request whose client has disconnected.
            now: Clock time (us).
        """
        service_class = request.incoming.service_class
        if is_safe_to_resend(service_class) or all(each.is_unwritten for each in request.upstream_requests):
            return
        self._possibly_executed.add(request.incoming.request_id, now, now + service_class.deadline_us)
