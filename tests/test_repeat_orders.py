"""No double effects, in every order of the steps of one request: the real sidecar, in virtual time.

The steps: the request arrives (whole, or but for its last byte); the last byte of its body comes; a dial
comes up, comes up with a network that holds back what is written, or is refused; the network takes what it
held back (and may hold back the rest once more); a server answers 200, or 503 with `Not-Started`, or a late
copy of an earlier answer comes; a connection is reset; time passes (past the aim, so that overdue attempts
get a further one; past the window for repeats, with an event loop that runs late, so that the next step comes
before its timers; past the dial time-out); a reload; the client leaves.

What is bounded:

- One request, up to `DEPTH` steps in any order.  Then servers are silent and what is late still comes, in one
  order: the window passes, the body ends, dials come up, the network takes all, and the deadline passes.
- One reload an order: a change of the class that would loosen what is under way (which one depends on the
  case), or second copies turned off.
- An order ends where a rule breaks.  It is cut off where it comes to a state that an earlier one came to with
  as many steps left: the same time, and the same told by each connection, each dial and the client.
- Once nothing is owed, only steps that may still bring a last byte are played.
- Four starts (see `orders.Start`), one seed of the balancer for each.  Late copies come only of answers on
  connections of the start; a connection carries the judged request once at most.
- Requests arrive but for their last byte where they are unsafe, or keyed by zone with two attempts, and in
  two of the starts: a body that passes through goes to one server at a time.  The network holds back half of
  what is written first, and all that follows, and only on new connections.
- The client's leaving is read by the event loop after the next step, or before time passes.
- No other traffic: an attempt counts as overdue by its own time alone.
- Not played: lists that change, writes that fail at once, answers in pieces, drains.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any, cast
from unittest import mock

import pytest
from orders import Breach, Case, Explored, Start, explore
from virtual_network import Connection

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.pool import UpstreamPool
from tulipnotch.sidecar.upstream.request import UpstreamRequest
from tulipnotch.sidecar.upstream.request_exchange import RequestExchange

DEPTH = 4

# How many orders are played at least, over all starts.
CASES = {
    Case("safe", "all", 2): 600,
    Case("safe", "all", 3): 1_000,
    Case("safe", "all", 3, second_copies=False): 400,
    Case("keyed", "all", 2): 1_250,
    Case("keyed", "all", 3): 1_800,
    Case("keyed", "all", 3, second_copies=False): 980,
    Case("keyed", "zone", 2): 2_100,
    Case("keyed", "zone", 3): 1_800,
    Case("keyed", "zone", 3, second_copies=False): 980,
    Case("keyed", "cell", 2): 1_300,
    Case("keyed", "cell", 3): 1_800,
    Case("keyed", "cell", 3, second_copies=False): 980,
    Case("unsafe", "all", 2): 1_000,
    Case("unsafe", "all", 3): 1_100,
}


@pytest.mark.parametrize("case", CASES, ids=str)
def test_no_order_of_steps_has_a_double_effect(case: Case) -> None:
    explored = Explored()
    for start in Start:
        explored.add(explore(case, start, DEPTH))
    if explored.breaches:
        pytest.fail(f"{case}, {explored.orders} orders:\n{explored}", pytrace=False)
    assert explored.orders >= CASES[case]


# Planted defects: what keeps the rule is left out in one place, and all else stays.

_OUTSIDE = "keyed: an attempt begins outside the window"
_RAN = "unsafe: an attempt begins though one before it may have run"


@contextmanager
def _no_bound_on_a_connection(is_new: bool) -> Iterator[None]:
    """A connection that was waited for is put to use with no look at the bound.

    The gate that is passed by: `WriteGate.may_write`, asked in `UpstreamPool._use_connection`.
    """
    put_to_use = UpstreamPool._use_connection

    def without_bound(
        self: UpstreamPool, call: UpstreamRequest, server: Any, connection: UpstreamConnection
    ) -> bool:
        bound = call.observer.latest_start
        has_carried = bool(cast(Connection, connection._transport).exchanges)
        if has_carried is not is_new:
            call.observer.latest_start = lambda: NEVER  # type: ignore[method-assign]
        try:
            return put_to_use(self, call, server, connection)
        finally:
            call.observer.latest_start = bound  # type: ignore[method-assign]

    with mock.patch.object(UpstreamPool, "_use_connection", without_bound):
        yield


@contextmanager
def _no_bound_on_a_held_back_last_byte() -> Iterator[None]:
    """What is left of a request is written with no look at the bound once the network has room.

    The gate that is passed by: `may_write`, which `UpstreamConnection` asks before each further write.
    """
    with mock.patch.object(RequestExchange, "may_write", lambda exchange: True):
        yield


@contextmanager
def _trust_in_every_answer() -> Iterator[None]:
    """An answer counts as this request's own also on a connection that has carried others."""
    with mock.patch.object(UpstreamConnection, "is_response_certain", True):
        yield


@pytest.mark.parametrize(
    "defect, case, start, text, way",
    [
        (
            lambda: _no_bound_on_a_connection(is_new=True),
            Case("keyed", "all", 2),
            Start.COLD,
            _OUTSIDE,
            "a dial",
        ),
        (
            lambda: _no_bound_on_a_connection(is_new=False),
            Case("keyed", "all", 2),
            Start.RESTING,
            _OUTSIDE,
            "a connection at rest",
        ),
        (
            _no_bound_on_a_held_back_last_byte,
            Case("keyed", "all", 2),
            Start.COLD,
            _OUTSIDE,
            "the network",
        ),
        (
            _trust_in_every_answer,
            Case("unsafe", "all", 2),
            Start.RESTED,
            _RAN,
            "a connection at rest",
        ),
    ],
    ids=["a dial", "a connection at rest", "the network", "a stray answer"],
)
def test_a_planted_defect_is_found(
    defect: Callable[[], AbstractContextManager[None]], case: Case, start: Start, text: str, way: str
) -> None:
    def is_sought(breach: Breach) -> bool:
        return (breach.text, breach.way) == (text, way)

    assert not explore(case, start, DEPTH).breaches
    with defect():
        assert any(map(is_sought, explore(case, start, DEPTH, is_sought).breaches.values()))
