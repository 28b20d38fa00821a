"""Guards against double effects, in every interleaving of the events of one request in virtual time.

The sidecar is real; its event loop and network are simulated.  The steps: the request arrives (complete, or
without its last byte); the last byte of its body is received; a connection is established, is established on
a network that blocks what is written, or is refused; the network accepts what it blocked (and may block the
rest again); a server responds 200, or 503 with `Not-Started`, or a late duplicate of an earlier response is
received; a connection is reset; time passes (past the latency objective, so that attempts are hedged; past
the deduplication window, with an event loop that is delayed, so that the next step happens before its timers;
past the connect timeout); the settings are reloaded; the client disconnects.

The exploration is limited as follows:

- One request, with up to `DEPTH` steps in any order.  After these, servers are unresponsive and the late
  events follow in one order: the deduplication window passes, the body is completed, connections are
  established, the network accepts all data, and the deadline passes.
- One reload in an interleaving: a change of the class that would relax the retry rules of the request (which
  one depends on the case), or hedging turned off.
- An interleaving ends when a rule is violated.  It is cut off in a state that an earlier one has reached with
  at least as many remaining steps: the same time, and the same history of each connection, each dial and the
  client.
- Once no response is pending, only steps that may still write a last byte are applied.
- Four initial states (see `interleaving_cases.Start`), with one seed of the balancer for each.  There are
  late duplicates only of responses on connections of the initial state; a connection carries the checked
  request at most once.
- Requests arrive without their last byte only in two of the initial states, and only if they are
  non-idempotent, or deduplicated by zone with two attempts: a streamed body is sent to one server at a time.
- The network blocks half of the first write and all further data, and only on new connections.
- The client's disconnect is read by the event loop after the next step, or before time passes.
- There is no other traffic: an attempt is hedged only because of its own duration.
- Not covered: changes of the endpoint list, writes that fail immediately, responses in parts, drains.
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

# The minimum number of interleavings that are applied, over all initial states.
CASES = {
    Case("idempotent", "all", 2): 600,
    Case("idempotent", "all", 3): 1_000,
    Case("idempotent", "all", 3, allows_hedging=False): 400,
    Case("keyed", "all", 2): 1_250,
    Case("keyed", "all", 3): 1_800,
    Case("keyed", "all", 3, allows_hedging=False): 980,
    Case("keyed", "zone", 2): 2_100,
    Case("keyed", "zone", 3): 1_800,
    Case("keyed", "zone", 3, allows_hedging=False): 980,
    Case("keyed", "cell", 2): 1_300,
    Case("keyed", "cell", 3): 1_800,
    Case("keyed", "cell", 3, allows_hedging=False): 980,
    Case("non-idempotent", "all", 2): 1_000,
    Case("non-idempotent", "all", 3): 1_100,
}


@pytest.mark.parametrize("case", CASES, ids=str)
def test_interleavings_never_violate_retry_rules(case: Case) -> None:
    explored = Exploration()
    for start in Start:
        explored.add(explore(case, start, DEPTH))
    if explored.violations:
        pytest.fail(f"{case}, {explored.interleavings} interleavings:\n{explored}", pytrace=False)
    assert explored.interleavings >= CASES[case]


# Injected faults: one of the checks that enforce the rules is disabled.

_OUTSIDE_WINDOW = "keyed: an attempt starts outside the window"
_DOUBLE_EXECUTION = "non-idempotent: an attempt starts though one before it may have executed"


@contextmanager
def _no_write_deadline_after_waiting_for_connection(is_new: bool) -> Iterator[None]:
    """Uses a connection that a request has waited for without checking the write deadline.

    This bypasses the call of `WriteGate.may_write` in `UpstreamPool._use_connection`.
    """
    use_connection = UpstreamPool._use_connection

    def without_write_deadline(
        self: UpstreamPool, request: UpstreamRequest, endpoint: Any, connection: UpstreamConnection
    ) -> bool:
        write_deadline = request.observer.write_deadline
        has_exchanges = bool(cast(Connection, connection._transport).exchanges)
        if has_exchanges is not is_new:
            request.observer.write_deadline = lambda: NEVER  # type: ignore[method-assign]
        try:
            return use_connection(self, request, endpoint, connection)
        finally:
            request.observer.write_deadline = write_deadline  # type: ignore[method-assign]

    with mock.patch.object(UpstreamPool, "_use_connection", without_write_deadline):
        yield


@contextmanager
def _no_write_deadline_on_last_byte() -> Iterator[None]:
    """Writes the rest of a request without checking the write deadline, once the network accepts it.

    This bypasses `may_write`, which `UpstreamConnection` calls before each further write.
    """
    with mock.patch.object(RequestExchangeObserver, "may_write", lambda exchange: True):
        yield


@contextmanager
def _every_response_is_certain() -> Iterator[None]:
    """Attributes each response to the last request, even on a connection with earlier requests."""
    with mock.patch.object(UpstreamConnection, "is_response_certain", True):
        yield


@pytest.mark.parametrize(
    ("fault", "case", "start", "text", "waited_for"),
    [
        (
            lambda: _no_write_deadline_after_waiting_for_connection(is_new=True),
            Case("keyed", "all", 2),
            Start.UNCONNECTED,
            _OUTSIDE_WINDOW,
            "a new connection",
        ),
        (
            lambda: _no_write_deadline_after_waiting_for_connection(is_new=False),
            Case("keyed", "all", 2),
            Start.REUSE_DELAYED,
            _OUTSIDE_WINDOW,
            "an idle connection",
        ),
        (
            _no_write_deadline_on_last_byte,
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
def test_interleavings_violate_retry_rule_when_check_is_disabled(
    fault: Callable[[], AbstractContextManager[None]], case: Case, start: Start, text: str, waited_for: str
) -> None:
    def is_expected(violation: Violation) -> bool:
        return (violation.text, violation.waited_for) == (text, waited_for)

    assert not explore(case, start, DEPTH).violations
    with fault():
        assert any(map(is_expected, explore(case, start, DEPTH, is_expected).violations.values()))
