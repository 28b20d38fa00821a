"""The simulator's wire, as lines in and lines out."""

from __future__ import annotations

import json
from enum import Enum
from typing import Any

import pytest
from outside import ACTIONS, adapter, adapter_text, decisions

BOOT: dict[str, Any] = {
    "bounds": {"sendCap": 3, "retryAfter": True, "maxRetryAfterUs": 2_000_000},
    "discovery": "on_request",
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"},
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"},
        {"name": "flow", "giveUpUs": 2_000_000, "repeat": "read_like", "streaming": True},
    ],
    "realms": [{"name": "acme"}],
}
BEGIN: list[Any] = ["BEGIN", "sidecar-1", 7, BOOT]
TARGETS: list[Any] = ["TARGETS", "sidecar-1", "cached", 0, 1]


def page(*servers: str, state: str = "ready", number: int = 0) -> list[Any]:
    return ["PAGE", number, [[each, "east", "box", 0, state, 1, None] for each in servers]]


def work(number: int, name: str = "look") -> list[Any]:
    return ["WORK_ITEM", "sidecar-1", number, name, 0, None, 900_000, None, 0]


def targets(reply: list[list[Any]]) -> set[str]:
    return {each[3] for each in reply if each[0] == "ASSIGN"}


def test_empty_batch_is_answered_by_done_in_literal_bytes() -> None:
    assert adapter_text('["FRAME",8412250]\n["COMMIT"]\n') == (0, '["DONE"]\n', "")


def test_first_batch_asks_for_changes_and_a_timer() -> None:
    first, second, third = adapter([BEGIN, page("10.0.0.1:80"), TARGETS])
    assert first == ["FOLLOW", "sidecar-1", True]
    assert second[:2] == ["REMIND", "sidecar-1"]
    assert type(second[2]) is int
    assert type(second[3]) is str
    assert third == ["DONE"]


def test_request_is_assigned_with_a_clock_time() -> None:
    reply = adapter([BEGIN, page("10.0.0.1:80"), TARGETS], [work(5)])
    (assigned,) = [each for each in reply if each[0] == "ASSIGN"]
    assert assigned[:4] == ["ASSIGN", "sidecar-1", 5, "10.0.0.1:80"]
    assert len(assigned) == 5
    assert 1_005_000 < assigned[4] <= 1_905_000


def test_request_without_a_server_is_refused_with_advice() -> None:
    (refused,) = [each for each in adapter([BEGIN, work(4)]) if each[0] == "NOT_NOW"]
    assert refused[:3] == ["NOT_NOW", "sidecar-1", 4]
    assert 0 < refused[3] <= 2_000_000


@pytest.mark.parametrize(
    ("verdict", "answer"),
    [
        ("delivered", None),
        ("app_error", "SURRENDER"),
        ("shed", "NOT_NOW"),
        ("expired", "SURRENDER"),
        ("dial_failed", "NOT_NOW"),
        ("dropped", "SURRENDER"),
        ("revoked", "SURRENDER"),
        ("unused", "NOT_NOW"),
    ],
)
def test_verdict_tells_whether_a_request_may_have_run(verdict: str, answer: str | None) -> None:
    start: list[list[list[Any]]] = [[BEGIN, page("10.0.0.1:80"), TARGETS], [work(5, "pay")]]
    end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", verdict, 18_500, verdict == "delivered", None]
    reply = adapter(*start, [end])[len(adapter(*start)) :]
    assert [each[:3] for each in reply if each[0] != "REMIND"] == [
        *([[answer, "sidecar-1", 5]] if answer else []),
        ["DONE"],
    ]


# Each event with the values that the decisions get, in the order in which an event has them.
EVENTS: list[tuple[str, list[Any]]] = [
    (
        '["WORK_ITEM","sidecar-1",5,"look","acme",77,240000,12000,1]',
        [5, "look", "acme", 77, 240_000, 12_000, False, False, False],
    ),
    (
        '["WORK_ITEM","sidecar-1",5,"look",0,null,240000,12000,2]',
        [5, "look", None, None, 240_000, None, True, False, False],
    ),
    (
        '["WORK_ITEM","sidecar-1",5,"look",null,null,240000,null,4]',
        [5, "look", None, None, 240_000, None, False, True, False],
    ),
    ('["FIRST","sidecar-1",5,1,400,"10.0.0.1:80"]', [5, 1, "10.0.0.1:80", 400]),
    (
        '["ATTEMPT_END","sidecar-1",5,1,"10.0.0.1:80","delivered",400,true,{"util":0.5}]',
        [5, 1, "10.0.0.1:80", 400, True, {"util": 0.5}, True, True],
    ),
    ('["CLIENT_GONE","sidecar-1",5]', [5]),
    ('["WAKE","sidecar-1","sweep"]', ["sweep"]),
    (
        '["SAMPLED","sidecar-1",400,"delivered","10.0.0.1:80",{"queue":2}]',
        ["10.0.0.1:80", 400, {"queue": 2}],
    ),
    ('["SAMPLED","sidecar-1",400,"shed","10.0.0.1:80",null]', ["10.0.0.1:80", 400, None]),
    ('["MEMO","sidecar-1",3,"68692037"]', [3, b"hi 7"]),
    ('["TARGETS","sidecar-1","failed",0,0]', [0]),
]


@pytest.mark.parametrize(("line", "values"), EVENTS, ids=[each[0].split('"')[1] for each in EVENTS])
def test_event_reaches_the_decisions(line: str, values: list[Any], monkeypatch: pytest.MonkeyPatch) -> None:
    heard = decisions(monkeypatch, lambda values: []).heard
    adapter([BEGIN, json.loads(line)])
    assert [[each for each in event if not isinstance(each, Enum)] for event in heard] == [values]


def test_list_entry_reaches_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    heard = decisions(monkeypatch, lambda values: []).heard
    entry = ["10.0.0.1:80", "east", "box", 6, "ready", 1.5, 6_100_000]
    adapter([BEGIN, ["PAGE", 15, [entry]], ["TARGETS", "sidecar-1", "full", 15, 41]])
    ((_, server, zone, kind, cell, _, nominal, started, version),) = heard
    assert (server, zone, kind, cell, nominal) == ("10.0.0.1:80", "east", "box", 6, 1.5)
    assert (started, version) == (6_100_000, 41)


# Each verdict with the word of its figure, as in `app.retries.full`.
VERDICTS = {
    "delivered": "delivered",
    "app_error": "error",
    "shed": "full",
    "expired": "expired",
    "dial_failed": "dial_failed",
    "dropped": "dropped",
    "revoked": "cancelled",
    "unused": "unsent",
}


@pytest.mark.parametrize(("verdict", "figure"), VERDICTS.items())
def test_verdict_is_the_same_of_an_attempt_and_of_a_probe(
    verdict: str, figure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    heard = decisions(monkeypatch, lambda values: []).heard
    ended = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", verdict, 400, False, None]
    adapter([BEGIN, ended, ["SAMPLED", "sidecar-1", 400, verdict, "10.0.0.1:80"]])
    assert [[each.value for each in event if isinstance(each, Enum)] for event in heard] == [[figure]] * 2


def test_kinds_of_lists_are_told_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    heard = decisions(monkeypatch, lambda values: []).heard
    hows = ["delta", "full", "cached", "failed"]
    adapter([BEGIN, page("10.0.0.1:80"), *(["TARGETS", "sidecar-1", how, 0, 1] for how in hows)])
    assert len({event[0] for event in heard}) == 4


def test_full_list_removes_what_it_leaves_out_and_a_delta_does_not() -> None:
    both = [BEGIN, page("10.0.0.1:80", "10.0.0.2:80"), TARGETS]
    news = page("10.0.0.3:80", number=1)
    requests = [work(number) for number in range(30)]
    whole = adapter(both, [news, ["TARGETS", "sidecar-1", "full", 1, 2], *requests])
    assert targets(whole) == {"10.0.0.3:80"}
    change = adapter(both, [news, ["TARGETS", "sidecar-1", "delta", 1, 2], *requests])
    assert targets(change) >= {"10.0.0.1:80", "10.0.0.2:80"}
    failed = adapter(both, [["TARGETS", "sidecar-1", "failed", 0, 0], *requests])
    assert targets(failed) == {"10.0.0.1:80", "10.0.0.2:80"}


@pytest.mark.parametrize(("state", "is_used"), [("ready", True), ("draining", False), ("gone", False)])
def test_state_tells_whether_a_server_is_used(state: str, is_used: bool) -> None:
    told = [page("10.0.0.1:80", state=state), ["TARGETS", "sidecar-1", "delta", 0, 2]]
    both = [BEGIN, page("10.0.0.1:80", "10.0.0.2:80"), TARGETS]
    reply = adapter(both, told, [work(number) for number in range(30)])
    assert ("10.0.0.1:80" in targets(reply)) == is_used
    assert "10.0.0.2:80" in targets(reply)


def test_exit_forgets_an_instance() -> None:
    lines = [["FRAME", 1], BEGIN, ["EXIT", "sidecar-1"], ["WAKE", "sidecar-1", "x"]]
    code, out, err = adapter_text("".join(json.dumps(each) + "\n" for each in lines))
    assert (code, out) == (2, "")
    assert err.startswith("line 4: ")
    assert err.count("\n") == 1


# Each action, its values in the simulator's order, and its line.
LINES: list[tuple[str, tuple[Any, ...], str]] = [
    ("ASSIGN", (5, "10.0.0.1:80", 8_492_250), '["ASSIGN","sidecar-1",5,"10.0.0.1:80",8492250]'),
    ("NOT_NOW", (5, 61_787), '["NOT_NOW","sidecar-1",5,61787]'),
    ("SURRENDER", (5,), '["SURRENDER","sidecar-1",5]'),
    ("ABORT_ATTEMPT", (5, 1), '["ABORT_ATTEMPT","sidecar-1",5,1]'),
    ("REMIND", (500_000, "sweep"), '["REMIND","sidecar-1",500000,"sweep"]'),
    ("CHECK", ("10.0.0.1:80",), '["CHECK","sidecar-1","10.0.0.1:80"]'),
    ("SHUT_IDLE", ("10.0.0.1:80",), '["SHUT_IDLE","sidecar-1","10.0.0.1:80"]'),
    ("POST", (2, b"hi 7"), '["POST","sidecar-1",2,"68692037"]'),
    ("POST", (None, b"hi 7"), '["POST","sidecar-1",-1,"68692037"]'),
    ("FOLLOW", (True,), '["FOLLOW","sidecar-1",true]'),
    ("FOLLOW", (False,), '["FOLLOW","sidecar-1",false]'),
    ("REFRESH", (), '["REFRESH","sidecar-1"]'),
    ("REMARK", ("ejected", "10.0.0.1:80", "slow"), '["REMARK","sidecar-1","ejected 10.0.0.1:80: slow"]'),
]
STIR = f'["FRAME",1]\n{json.dumps(BEGIN)}\n["WAKE","sidecar-1","x"]\n["COMMIT"]\n'


@pytest.mark.parametrize(("name", "values", "line"), LINES, ids=[each[2].split('"')[1] for each in LINES])
def test_action_is_written(
    name: str, values: tuple[Any, ...], line: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    decisions(monkeypatch, lambda heard: [ACTIONS[name](*values)])
    assert adapter_text(STIR) == (0, f'{line}\n["DONE"]\n', "")


def test_defect_of_the_decisions_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    decisions(monkeypatch, lambda heard: [1 // 0])
    code, out, err = adapter_text(STIR)
    first, second = out.splitlines()
    assert (code, second, err) == (0, '["DONE"]', "")
    assert json.loads(first)[:2] == ["INTERNAL_ERROR", "sidecar-1"]
    assert "ZeroDivisionError" in json.loads(first)[2]
