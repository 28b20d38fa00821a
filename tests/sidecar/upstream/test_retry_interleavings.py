"""No double effects, in every interleaving of the events of one request: the real sidecar, in virtual time.

The steps: the request arrives (complete, or without its last byte); the last byte of its body is received; a
connection is established, is established on a network that blocks what is written, or is refused; the network
accepts what it blocked (and may block the rest again); a server responds 200, or 503 with `Not-Started`, or a
late duplicate of an earlier response is received; a connection is reset; time passes (past the latency
objective, so that attempts are hedged; past the deduplication window, with an event loop that is delayed, so
that the next step happens before its timers; past the connect timeout); a reload; the client disconnects.

What is bounded:

- One request, up to `DEPTH` steps in any order.  Then servers are unresponsive and late events follow in one
  order: the window passes, the body ends, connections are established, the network accepts all, and the
  deadline passes.
- One reload in an interleaving: a change of the class that would relax the bounds of the request (which one
  depends on the case), or hedging turned off.
- An interleaving ends where a rule is violated.  It is cut off in a state that an earlier one has reached
  with as many steps left: the same time, and the same history of each connection, each dial and the client.
- Once nothing is pending, only steps that may still write a last byte are applied.
- Four starts (see `interleaving_cases.Start`), one seed of the balancer for each.  Late duplicates exist
  only of responses on connections of the start; a connection carries the checked request once at most.
- Requests arrive without their last byte where they are non-idempotent, or keyed by zone with two attempts,
  and in two of the starts: a streamed body is sent to one server at a time.  The network blocks half of what
  is written first, and all that follows, and only on new connections.
- The client's disconnection is read by the event loop after the next step, or before time passes.
- No other traffic: an attempt is hedged by its own time alone.
- Not covered: lists that change, writes that fail at once, responses in parts, drains.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any, cast
from unittest import mock

import pytest
from event_interleavings import Exploration, Violation, explore
from interleaving_cases import Case, Start
from virtual_network import Connection

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.pool import UpstreamPool
from tulipnotch.sidecar.upstream.request import UpstreamRequest
from tulipnotch.sidecar.upstream.request_exchange import RequestExchangeObserver

DEPTH = 4

# The minimum of interleavings that are applied, over all starts.
CASES = {
    Case("idempotent", "all", 2): 600,
    Case("idempotent", "all", 3): 1_000,
    Case("idempotent", "all", 3, hedging=False): 400,
    Case("keyed", "all", 2): 1_250,
    Case("keyed", "all", 3): 1_800,
    Case("keyed", "all", 3, hedging=False): 980,
    Case("keyed", "zone", 2): 2_100,
    Case("keyed", "zone", 3): 1_800,
    Case("keyed", "zone", 3, hedging=False): 980,
    Case("keyed", "cell", 2): 1_300,
    Case("keyed", "cell", 3): 1_800,
    Case("keyed", "cell", 3, hedging=False): 980,
    Case("non-idempotent", "all", 2): 1_000,
    Case("non-idempotent", "all", 3): 1_100,
}


@pytest.mark.parametrize("case", CASES, ids=str)
def test_interleavings_have_no_double_effect(case: Case) -> None:
    explored = Exploration()
    for start in Start:
        explored.add(explore(case, start, DEPTH))
    if explored.violations:
        pytest.fail(f"{case}, {explored.interleavings} interleavings:\n{explored}", pytrace=False)
    assert explored.interleavings >= CASES[case]


# Planted faults: what enforces the rule is left out in one place.

_OUTSIDE_WINDOW = "keyed: an attempt starts outside the window"
_DOUBLE_EXECUTION = "non-idempotent: an attempt starts though one before it may have executed"


@contextmanager
def _no_bound_after_waiting_for_connection(is_new: bool) -> Iterator[None]:
    """A connection that was waited for is used without a check of the bound.

    The gate that is bypassed: `WriteGate.may_write`, asked in `UpstreamPool._use_connection`.
    """
    put_to_use = UpstreamPool._use_connection

    def without_bound(
        self: UpstreamPool, call: UpstreamRequest, server: Any, connection: UpstreamConnection
    ) -> bool:
        bound = call.observer.write_deadline
        has_carried = bool(cast(Connection, connection._transport).exchanges)
        if has_carried is not is_new:
            call.observer.write_deadline = lambda: NEVER  # type: ignore[method-assign]
        try:
            return put_to_use(self, call, server, connection)
        finally:
            call.observer.write_deadline = bound  # type: ignore[method-assign]

    with mock.patch.object(UpstreamPool, "_use_connection", without_bound):
        yield


@contextmanager
def _no_bound_on_last_byte() -> Iterator[None]:
    """The rest of a request is written without a check of the bound once the network accepts it.

    The gate that is bypassed: `may_write`, which `UpstreamConnection` asks before each further write.
    """
    with mock.patch.object(RequestExchangeObserver, "may_write", lambda exchange: True):
        yield


@contextmanager
def _every_response_is_certain() -> Iterator[None]:
    """A response counts as this request's own also on a connection that has carried others."""
    with mock.patch.object(UpstreamConnection, "is_response_certain", True):
        yield


@pytest.mark.parametrize(
    ("fault", "case", "start", "text", "waited_for"),
    [
        (
            lambda: _no_bound_after_waiting_for_connection(is_new=True),
            Case("keyed", "all", 2),
            Start.UNCONNECTED,
            _OUTSIDE_WINDOW,
            "a new connection",
        ),
        (
            lambda: _no_bound_after_waiting_for_connection(is_new=False),
            Case("keyed", "all", 2),
            Start.REUSE_DELAYED,
            _OUTSIDE_WINDOW,
            "an idle connection",
        ),
        (
            _no_bound_on_last_byte,
            Case("keyed", "all", 2),
            Start.UNCONNECTED,
            _OUTSIDE_WINDOW,
            "the network",
        ),
        (
            _every_response_is_certain,
            Case("non-idempotent", "all", 2),
            Start.REUSABLE,
            _DOUBLE_EXECUTION,
            "an idle connection",
        ),
    ],
    ids=["new connection", "idle connection", "network", "duplicate response"],
)
def test_interleavings_reveal_planted_fault(
    fault: Callable[[], AbstractContextManager[None]], case: Case, start: Start, text: str, waited_for: str
) -> None:
    def is_expected(violation: Violation) -> bool:
        return (violation.text, violation.waited_for) == (text, waited_for)

    assert not explore(case, start, DEPTH).violations
    with fault():
        assert any(map(is_expected, explore(case, start, DEPTH, is_expected).violations.values()))
