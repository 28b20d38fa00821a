"""Whether an attempt may start: the rules that every attempt has to pass, whatever the components decide."""

from __future__ import annotations

from tulipnotch.load_balancing.components import Components
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.requests import Request
from tulipnotch.load_balancing.retries import idempotency_rule


def is_attempt_permitted(components: Components, request: Request, endpoint: Endpoint) -> bool:
    """Returns whether all rules permit an attempt of a request at an endpoint now."""
    context = components.context
    limits = context.settings.limits
    if request.is_responded or context.now >= request.respond_by:
        return False  # rule 1: no attempt after the final response, or too late for one in time
    if len(request.attempts) >= limits.max_attempts:
        return False
    if not limits.hedged_requests and request.has_pending_attempt:
        return False  # rule 2: no duplicate effects; hedged requests need permission
    if context.now >= components.retries.retry_deadline(request):
        return False  # rule 2: too late for another execution
    if not idempotency_rule.is_in_deduplication_scope(request.service_class, endpoint, request.attempts):
        return False  # rule 2: this endpoint would not deduplicate earlier attempts
    if endpoint.state is not EndpointState.READY:
        return False  # rule 3: ready endpoints only, from the update on; the drain grace is not used
    return components.slow_start.has_budget(endpoint, request.work)  # rule 4: warm-up budget
