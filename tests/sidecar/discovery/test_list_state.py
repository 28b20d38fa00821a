"""Which of two lists that overlap is applied, decided without I/O."""

from __future__ import annotations

from tulipnotch.load_balancing.events import EndpointDescription, EndpointState
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveredEndpoint, DiscoveryResponse
from tulipnotch.sidecar.discovery.list_state import EndpointListState, Verdict

READY, DRAINING = EndpointState.READY, EndpointState.DRAINING


def make_list(version: int, *, is_complete: bool = True, **states: EndpointState) -> DiscoveryResponse:
    endpoints = (
        DiscoveredEndpoint(EndpointDescription(name=name, state=state), ("127.0.0.1", 9))
        for name, state in states.items()
    )
    return DiscoveryResponse(version, is_complete, tuple(endpoints))


def state_of(response: DiscoveryResponse, name: str) -> EndpointState:
    (state,) = [each.description.state for each in response.endpoints if each.description.name == name]
    return state


def test_judge_discards_a_lower_version_when_it_was_in_force_at_the_start_of_its_call() -> None:
    state = EndpointListState(make_list(45, a=READY))
    early = state.start_call()
    state.apply(state.start_call(), make_list(46, a=DRAINING))
    assert state.judge(early, make_list(45, is_complete=False)) is Verdict.STALE
    assert state.judge(early, make_list(46, a=DRAINING)) is Verdict.KNOWN
    assert state.judge(early, make_list(47, a=READY)) is Verdict.APPLY


def test_judge_recognizes_a_restart_by_a_version_below_that_at_the_start_of_the_call() -> None:
    state = EndpointListState(make_list(45, a=READY))
    early = state.start_call()
    assert state.judge(early, make_list(3)) is Verdict.APPLY_RESTARTED
    state.apply(state.start_call(), make_list(46, a=READY))
    assert state.judge(early, make_list(3)) is Verdict.WITHDRAW


def test_delta_of_a_restarted_discovery_is_followed_by_a_complete_list() -> None:
    state = EndpointListState(make_list(45, a=READY))
    state.apply_restarted(state.start_call(), make_list(3, is_complete=False))
    assert state.needs_complete_list
    state.apply(state.start_call(), make_list(3, a=READY))
    assert not state.needs_complete_list


def test_later_source_replaces_the_list_and_an_earlier_one_only_withdraws() -> None:
    state = EndpointListState(make_list(45, a=READY, b=READY))
    early = state.start_call()
    state.change_source()
    assert state.version is None
    late = state.start_call()
    assert state.judge(late, make_list(7, a=READY, b=READY, c=READY)) is Verdict.APPLY
    state.apply(late, make_list(7, a=READY, b=READY, c=READY))
    from_earlier = make_list(50, a=READY)
    assert state.judge(early, from_earlier) is Verdict.WITHDRAW
    withdrawn = state.withdraw(early, from_earlier)
    assert [each.description.name for each in withdrawn] == ["b"]  # the earlier source never had c
    assert state.needs_complete_list


def test_withdrawn_endpoint_becomes_ready_only_by_a_call_that_started_after_its_withdrawal() -> None:
    state = EndpointListState(make_list(45, a=READY))
    early = state.start_call()
    state.change_source()
    late = state.start_call()
    state.apply(early, make_list(46, a=DRAINING))
    assert state_of(state.apply(late, make_list(45, a=READY)), "a") is DRAINING
    assert state.needs_complete_list
    assert state_of(state.apply(state.start_call(), make_list(46, a=READY)), "a") is READY
    assert not state.needs_complete_list
