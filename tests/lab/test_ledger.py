"""The judge can fail: for each rule a broken policy or sidecar is caught, and a sound one is not."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest
from worlds import KEYED, SAFE, UNSAFE, world

from tulipnotch.lab.ledger import Ledger
from tulipnotch.lab.policies import LeastOfTwo
from tulipnotch.lab.scenario import ServiceClass
from tulipnotch.lab.virtual import VirtualSidecar, World
from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import Action, FailRequest, RejectRequest
from tulipnotch.load_balancing.events import EndpointsUpdated, Event, RequestArrived
from tulipnotch.load_balancing.settings import Settings

CRASHES = [{"kind": "crash", "at_s": 2.0, "for_s": 2.0, "part": 0.4}]
DRAINS = [{"kind": "drain", "at_s": 1.0, "for_s": 3.0, "part": 1.0, "back_s": 0.5}]


def played(make: Any, seed: int = 1, **changes: Any) -> Ledger:
    run = World(world(**changes), seed, make)
    run.run()
    return run.ledger


def module(settings: Settings, seed: int, _: World) -> Balancer:
    return Balancer(settings, seed)


@pytest.mark.parametrize("faults", [CRASHES, DRAINS, [{"kind": "hang", "at_s": 2.0, "for_s": 3.0}]])
def test_the_module_keeps_the_rules_through_faults(faults: list[dict[str, Any]]) -> None:
    ledger = played(module, faults=faults)
    assert ledger.broken == 0, ledger.breaches


class _Forgets(LeastOfTwo):
    """Now and then it answers nobody."""

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        if isinstance(event, RequestArrived) and event.request % 50 == 0:
            return []
        return super().handle(now, event)


class _AnswersTwice(LeastOfTwo):
    """It refuses twice what it also sends."""

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        actions = list(super().handle(now, event))
        if isinstance(event, RequestArrived) and event.request % 50 == 0:
            actions += [RejectRequest(event.request)] * 2
        return actions


class _SendsAgain(LeastOfTwo):
    """It repeats whatever failed, wherever."""

    def _allowed(self, held: Any) -> list[str]:
        tried = {name for name, _ in held.sent}
        return [name for name in self.ready if name not in tried]


class _RefusesWhatRan(LeastOfTwo):
    """It calls harmless what may have run."""

    def _give_up(self, request: int) -> list[Action]:
        return [
            RejectRequest(request) if isinstance(each, FailRequest) else each
            for each in super()._give_up(request)
        ]


class _FavoursTheNewest(LeastOfTwo):
    """It sends all to whoever started last: its counter is the emptiest."""

    newest: str | None = None

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        if isinstance(event, EndpointsUpdated):
            started = [each for each in event.endpoints if each.started_at]
            if started:
                self.newest = max(started, key=lambda each: each.started_at or 0).name
        return super().handle(now, event)

    def choose(self, names: Sequence[str]) -> str:
        return self.newest if self.newest is not None and self.newest in names else super().choose(names)


@pytest.mark.parametrize(
    ("broken", "rule", "changes"),
    [
        (_Forgets, "answers", {}),
        (_AnswersTwice, "answers", {}),
        (_SendsAgain, "effects", {"classes": [UNSAFE], "faults": CRASHES}),
        (_SendsAgain, "effects", {"classes": [KEYED], "faults": CRASHES}),
        (_RefusesWhatRan, "effects", {"classes": [UNSAFE], "faults": CRASHES}),
        (_FavoursTheNewest, "cold", {"classes": [SAFE], "faults": CRASHES, "load": {"utilisation": 0.6}}),
    ],
    ids=lambda each: each.__name__ if isinstance(each, type) else None,
)
def test_a_policy_that_breaks_a_rule_is_caught(broken: Any, rule: str, changes: dict[str, Any]) -> None:
    sound = played(LeastOfTwo, **changes)
    assert sound.counts[rule] == 0, sound.breaches
    ledger = played(broken, **changes)
    assert ledger.counts[rule] > 0
    assert all(not count for name, count in ledger.counts.items() if name not in (rule, "effects"))


def test_a_sidecar_that_is_deaf_to_drains_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    assert played(LeastOfTwo, faults=DRAINS).counts["drains"] == 0
    heard = VirtualSidecar.listed

    def deaf(self: Any, kind: Any, lines: Any, version: int, life: int) -> None:
        heard(self, kind, [each for each in lines if each.state.value == "active"], version, life)

    monkeypatch.setattr(VirtualSidecar, "listed", deaf)
    ledger = played(LeastOfTwo, faults=DRAINS)
    assert ledger.counts["drains"] > 0
    assert "after it was told" in ledger.breaches["drains"][0]


def test_a_sidecar_that_never_asks_counts_as_told() -> None:
    class Hermit(LeastOfTwo):
        def __init__(self, *given: Any) -> None:
            super().__init__(*given)
            self._begun = True

    drains = [{"kind": "drain", "at_s": 1.0, "for_s": 1.0, "part": 0.4, "back_s": 30.0}]
    rules = {"ask_within_s": 2.0}
    slow = [{**SAFE, "deadline_ms": 5_000.0}]  # so that a server that leaves stays up for long
    assert played(LeastOfTwo, faults=drains, rules=rules, classes=slow).counts["drains"] == 0
    ledger = played(Hermit, faults=drains, rules=rules, classes=slow)
    assert ledger.counts["drains"] > 0
    assert "had not asked for too long" in ledger.breaches["drains"][0]


# The ledger by itself: the edges of its figures


def _ledger(**changes: Any) -> tuple[Ledger, ServiceClass]:
    given = world(classes=[{**KEYED, "window_ms": 4_000.0}], **changes)
    return Ledger(given), given.classes[0]


def test_an_answer_in_the_slack_is_in_time_and_one_beyond_is_not() -> None:
    ledger, kind = _ledger()
    for request, late_us in ((1, 50_000), (2, 50_001)):
        ledger.taken(request, 0, kind, 0, 1_000_000)
        ledger.answered(request, 1_000_000 + late_us)
    ledger.close(10_000_000)
    assert ledger.counts["answers"] == 1
    assert "request 2" in ledger.breaches["answers"][0]


def test_repeats_of_a_keyed_request_are_dropped_in_its_zone_and_window_only() -> None:
    ledger, kind = _ledger()
    ledger.taken(1, 0, kind, 0, 9_000_000)
    assert not ledger.begun(1, "a", 0, 0)
    assert ledger.begun(1, "a", 1, 4_000_000)
    assert ledger.counts["effects"] == 0
    assert not ledger.begun(1, "a", 1, 4_000_001)
    assert not ledger.begun(1, "b", 1, 5_000)
    assert ledger.counts["effects"] == 2


def test_what_nobody_sent_has_no_business_running() -> None:
    ledger, _ = _ledger()
    ledger.begun(9, "a", 0, 0)
    ledger.answered(9, 5)
    assert (ledger.counts["effects"], ledger.counts["answers"]) == (1, 1)


def test_a_cold_server_counts_only_if_two_thirds_came_from_who_was_told() -> None:
    for told, breaches in (((0,), 0), ((0, 1), 1)):
        ledger, _ = _ledger()
        for sidecar in told:
            ledger.told(sidecar, "s", False, 500, 600)
        ledger.fell("s", 500, {0: 1.0, 1: 1.0, 2: 1.0})
        assert ledger.counts["cold"] == breaches


def test_a_restart_of_the_server_ends_its_drain() -> None:
    ledger, _ = _ledger()
    ledger.told(0, "s", True, None, 0)
    ledger.sent(0, "s", 300_000)
    assert ledger.counts["drains"] == 0
    ledger.sent(0, "s", 300_001)
    assert ledger.counts["drains"] == 1
    ledger.told(0, "s", False, 400_000, 400_000)
    ledger.sent(0, "s", 900_000)
    assert ledger.counts["drains"] == 1


def test_nothing_is_owed_by_a_sidecar_that_was_killed() -> None:
    ledger, kind = _ledger()
    ledger.taken(1, 0, kind, 0, 1_000)
    ledger.taken(2, 1, kind, 0, 1_000)
    ledger.killed(0)
    ledger.taken(3, 0, kind, 10, 1_000)  # written before its client noticed
    ledger.back(0)
    ledger.taken(4, 0, kind, 20, 1_000)
    ledger.close(10_000_000)
    assert ledger.breaches["answers"] == [f"request {number} was never answered" for number in (2, 4)]
