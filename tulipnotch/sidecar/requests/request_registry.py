"""The open requests of this process, and the request ids that a further request must not use."""

from __future__ import annotations

from collections.abc import Iterator

from tulipnotch.load_balancing.retries.idempotency_rule import is_safe_to_resend
from tulipnotch.load_balancing.settings import ServiceClass
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest
from tulipnotch.sidecar.requests.open_request import OpenRequest
from tulipnotch.sidecar.requests.possibly_executed import PossiblyExecutedRequests
from tulipnotch.sidecar.requests.shared_ids import ClaimResult, IdClaim, RetainedId, SharedIds

_GRANTED = ClaimResult.GRANTED  # found faster than by its class, for each request


class RequestRegistry:
    """Owns the open requests, the ids with a pending response, and the ids of possibly executed requests.

    Attributes:
        shared_ids: The ids of other processes of this sidecar; None while there is no other.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._open: dict[int, OpenRequest] = {}
        self._pending_ids: set[bytes] = set()  # ids of requests whose response has not ended
        self._possibly_executed = PossiblyExecutedRequests()
        self.shared_ids: SharedIds | None = None
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

    def claim_id(self, incoming: IncomingRequest, max_pending: int | None, now: int) -> ClaimResult:
        """Claims the id of a request that has arrived; if it is granted, the request has to be added.

        Args:
            incoming: The request.
            max_pending: Maximum number of pending responses; None: no limit.
            now: Clock time (us).
        """
        request_id = incoming.request_id
        if request_id in self._pending_ids:
            return ClaimResult.IN_USE
        if max_pending is not None and len(self._pending_ids) >= max_pending:
            return ClaimResult.LIMIT_REACHED
        if self._possibly_executed.contains(request_id, now):
            return ClaimResult.POSSIBLY_EXECUTED
        if self.shared_ids is None:
            return _GRANTED
        result = self.shared_ids.claim(_id_claim(incoming), max_pending)
        if result is ClaimResult.UNKNOWN and is_safe_to_resend(incoming.service_class):
            return ClaimResult.GRANTED  # even if another process has it, it may be executed twice
        return result

    def response_ended(self, request: OpenRequest) -> None:
        """Releases the request's id, since nothing more is written to its client."""
        self._pending_ids.discard(request.incoming.request_id)
        if self.shared_ids is not None:
            self.shared_ids.release(request.incoming.request_id)

    def claims(self) -> list[IdClaim]:
        """Returns the ids with a pending response."""
        return [_id_claim(each.incoming) for each in self._open.values() if each.has_pending_response]

    def retained_ids(self, now: int) -> list[RetainedId]:
        """Returns the ids of requests that may have been executed; `now` is a clock time (us)."""
        return self._possibly_executed.retained(now)

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
        if self.shared_ids is not None:
            self.shared_ids.retain(RetainedId(request.incoming.request_id, service_class.deadline_us))


def _id_claim(incoming: IncomingRequest) -> IdClaim:
    return IdClaim(incoming.request_id, _retention_us(incoming.service_class))


def _retention_us(service_class: ServiceClass) -> int:
    """Returns how long an id is rejected after its client has disconnected or its process has ended."""
    return 0 if is_safe_to_resend(service_class) else service_class.deadline_us
