"""Discovery polling: when discovery is polled."""

from __future__ import annotations

import itertools

from helpers import MS, S, Stage, names, settings

from tulipnotch.load_balancing.actions import FetchEndpoints, Subscribe
from tulipnotch.load_balancing.events import EndpointsUpdated, EndpointUpdateKind


def test_discovery_polling_subscribes_at_first_event() -> None:
    stage = Stage()
    stage.servers(names(2), EndpointUpdateKind.CACHED)
    assert stage.said(Subscribe) == [Subscribe(is_subscribed=True)]


def test_discovery_polling_sends_nothing_where_changes_are_pushed() -> None:
    stage = Stage(settings(discovery_mode="pushed"))
    stage.servers(names(2), EndpointUpdateKind.CACHED)
    stage.wait(60 * S)
    stage.request()
    assert stage.said(Subscribe) == []
    assert stage.said(FetchEndpoints) == []


def test_discovery_polling_backs_off_after_failed_polls() -> None:
    stage = Stage()
    polled_at = []
    stage.servers(names(2), EndpointUpdateKind.CACHED)
    for _ in range(12):
        polled_at.append(stage.now)
        count = len(stage.said(Subscribe))
        stage.play(EndpointsUpdated(EndpointUpdateKind.FAILED))
        while len(stage.said(Subscribe)) == count:
            stage.wait(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(polled_at)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_discovery_polling_repeats_poll_when_no_response_comes() -> None:
    stage = Stage()
    stage.servers(names(2), EndpointUpdateKind.CACHED)
    stage.wait(10 * S)
    times = [at for at, each in stage.log if isinstance(each, Subscribe)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))
