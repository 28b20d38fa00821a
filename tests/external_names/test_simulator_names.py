"""Pins the simulator's wire protocol, as input and output lines of the adapter."""

from __future__ import annotations

import json
from enum import Enum
from typing import Any

import pytest
from outside import ACTIONS_BY_WIRE_NAME, install_recording_balancer, run_adapter_batches, run_adapter_on_text

SETTINGS: dict[str, Any] = {
    "bounds": {"sendCap": 3, "retryAfter": True, "maxRetryAfterUs": 2_000_000},
    "discovery": "on_request",
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "repeat": "read_like"},
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"},
        {"name": "flow", "giveUpUs": 2_000_000, "repeat": "read_like", "streaming": True},
    ],
    "realms": [{"name": "acme"}],
}
BEGIN: list[Any] = ["BEGIN", "sidecar-1", 7, SETTINGS]
TARGETS: list[Any] = ["TARGETS", "sidecar-1", "cached", 0, 1]


def endpoint_list(*servers: str, state: str = "ready", number: int = 0) -> list[Any]:
    return ["PAGE", number, [[each, "east", "box", 0, state, 1, None] for each in servers]]


def work_item(number: int, name: str = "look") -> list[Any]:
    return ["WORK_ITEM", "sidecar-1", number, name, 0, None, 900_000, None, 0]


def assigned_endpoints(reply: list[list[Any]]) -> set[str]:
    return {each[3] for each in reply if each[0] == "ASSIGN"}


def test_adapter_responds_to_empty_batch_with_done() -> None:
    assert run_adapter_on_text('["FRAME",8412250]\n["COMMIT"]\n') == (0, '["DONE"]\n', "")


def test_adapter_subscribes_and_sets_a_timer_in_the_first_batch() -> None:
    first, second, third = run_adapter_batches([BEGIN, endpoint_list("10.0.0.1:80"), TARGETS])
    assert first == ["FOLLOW", "sidecar-1", True]
    assert second[:2] == ["REMIND", "sidecar-1"]
    assert type(second[2]) is int
    assert type(second[3]) is str
    assert third == ["DONE"]


def test_adapter_assigns_request_with_a_deadline() -> None:
    reply = run_adapter_batches([BEGIN, endpoint_list("10.0.0.1:80"), TARGETS], [work_item(5)])
    (assigned,) = [each for each in reply if each[0] == "ASSIGN"]
    assert assigned[:4] == ["ASSIGN", "sidecar-1", 5, "10.0.0.1:80"]
    assert len(assigned) == 5
    assert 1_005_000 < assigned[4] <= 1_905_000


def test_adapter_rejects_request_with_retry_delay_if_there_is_no_server() -> None:
    (rejection,) = [each for each in run_adapter_batches([BEGIN, work_item(4)]) if each[0] == "NOT_NOW"]
    assert rejection[:3] == ["NOT_NOW", "sidecar-1", 4]
    assert 0 < rejection[3] <= 2_000_000


@pytest.mark.parametrize(
    ("verdict", "expected_reply"),
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
def test_verdict_decides_whether_non_idempotent_request_is_rejected_or_failed(
    verdict: str, expected_reply: str | None
) -> None:
    start: list[list[list[Any]]] = [[BEGIN, endpoint_list("10.0.0.1:80"), TARGETS], [work_item(5, "pay")]]
    end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", verdict, 18_500, verdict == "delivered", None]
    reply = run_adapter_batches(*start, [end])[len(run_adapter_batches(*start)) :]
    assert [each[:3] for each in reply if each[0] != "REMIND"] == [
        *([[expected_reply, "sidecar-1", 5]] if expected_reply else []),
        ["DONE"],
    ]


# Each event line with the values that the balancer receives, in the order of the event's fields.
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
def test_event_reaches_the_balancer(line: str, values: list[Any], monkeypatch: pytest.MonkeyPatch) -> None:
    received_events = install_recording_balancer(monkeypatch, lambda values: []).received_events
    run_adapter_batches([BEGIN, json.loads(line)])
    assert [[each for each in event if not isinstance(each, Enum)] for event in received_events] == [values]


def test_endpoint_list_entry_reaches_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    received_events = install_recording_balancer(monkeypatch, lambda values: []).received_events
    entry = ["10.0.0.1:80", "east", "box", 6, "ready", 1.5, 6_100_000]
    run_adapter_batches([BEGIN, ["PAGE", 15, [entry]], ["TARGETS", "sidecar-1", "full", 15, 41]])
    ((_, server, zone, machine_type, cell, _, weight, started_us, version),) = received_events
    assert (server, zone, machine_type, cell, weight) == ("10.0.0.1:80", "east", "box", 6, 1.5)
    assert (started_us, version) == (6_100_000, 41)


# Each verdict on the wire with the name of its outcome, which metrics use as in `app.retries.full`.
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


@pytest.mark.parametrize(("verdict", "outcome"), VERDICTS.items())
def test_verdict_has_the_same_outcome_for_attempt_and_health_check(
    verdict: str, outcome: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    received_events = install_recording_balancer(monkeypatch, lambda values: []).received_events
    ended = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", verdict, 400, False, None]
    run_adapter_batches([BEGIN, ended, ["SAMPLED", "sidecar-1", 400, verdict, "10.0.0.1:80"]])
    assert [[each.value for each in event if isinstance(each, Enum)] for event in received_events] == [
        [outcome]
    ] * 2


def test_endpoint_list_kinds_result_in_different_events(monkeypatch: pytest.MonkeyPatch) -> None:
    received_events = install_recording_balancer(monkeypatch, lambda values: []).received_events
    update_kinds = ["delta", "full", "cached", "failed"]
    run_adapter_batches(
        [
            BEGIN,
            endpoint_list("10.0.0.1:80"),
            *(["TARGETS", "sidecar-1", update_kind, 0, 1] for update_kind in update_kinds),
        ]
    )
    assert len({event[0] for event in received_events}) == 4


def test_complete_list_removes_unlisted_servers_and_delta_keeps_them() -> None:
    initial_batch = [BEGIN, endpoint_list("10.0.0.1:80", "10.0.0.2:80"), TARGETS]
    added = endpoint_list("10.0.0.3:80", number=1)
    requests = [work_item(number) for number in range(30)]
    complete_list_reply = run_adapter_batches(
        initial_batch, [added, ["TARGETS", "sidecar-1", "full", 1, 2], *requests]
    )
    assert assigned_endpoints(complete_list_reply) == {"10.0.0.3:80"}
    delta_reply = run_adapter_batches(
        initial_batch, [added, ["TARGETS", "sidecar-1", "delta", 1, 2], *requests]
    )
    assert assigned_endpoints(delta_reply) >= {"10.0.0.1:80", "10.0.0.2:80"}
    failed_update_reply = run_adapter_batches(
        initial_batch, [["TARGETS", "sidecar-1", "failed", 0, 0], *requests]
    )
    assert assigned_endpoints(failed_update_reply) == {"10.0.0.1:80", "10.0.0.2:80"}


@pytest.mark.parametrize(("state", "is_used"), [("ready", True), ("draining", False), ("gone", False)])
def test_endpoint_state_decides_whether_server_is_used(state: str, is_used: bool) -> None:
    update = [endpoint_list("10.0.0.1:80", state=state), ["TARGETS", "sidecar-1", "delta", 0, 2]]
    initial_batch = [BEGIN, endpoint_list("10.0.0.1:80", "10.0.0.2:80"), TARGETS]
    reply = run_adapter_batches(initial_batch, update, [work_item(number) for number in range(30)])
    assert ("10.0.0.1:80" in assigned_endpoints(reply)) == is_used
    assert "10.0.0.2:80" in assigned_endpoints(reply)


def test_adapter_rejects_event_of_an_instance_after_its_exit() -> None:
    lines = [["FRAME", 1], BEGIN, ["EXIT", "sidecar-1"], ["WAKE", "sidecar-1", "x"]]
    code, output, errors = run_adapter_on_text("".join(json.dumps(each) + "\n" for each in lines))
    assert (code, output) == (2, "")
    assert errors.startswith("line 4: ")
    assert errors.count("\n") == 1


# Each action, its values in the order of the wire, and its line.
ACTION_LINES: list[tuple[str, tuple[Any, ...], str]] = [
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
TRIGGER = f'["FRAME",1]\n{json.dumps(BEGIN)}\n["WAKE","sidecar-1","x"]\n["COMMIT"]\n'


@pytest.mark.parametrize(
    ("name", "values", "line"), ACTION_LINES, ids=[each[2].split('"')[1] for each in ACTION_LINES]
)
def test_adapter_writes_action(
    name: str, values: tuple[Any, ...], line: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    install_recording_balancer(monkeypatch, lambda _values: [ACTIONS_BY_WIRE_NAME[name](*values)])
    assert run_adapter_on_text(TRIGGER) == (0, f'{line}\n["DONE"]\n', "")


def test_adapter_writes_internal_error_of_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    install_recording_balancer(monkeypatch, lambda values: [1 // 0])
    code, output, errors = run_adapter_on_text(TRIGGER)
    first, second = output.splitlines()
    assert (code, second, errors) == (0, '["DONE"]', "")
    assert json.loads(first)[:2] == ["INTERNAL_ERROR", "sidecar-1"]
    assert "ZeroDivisionError" in json.loads(first)[2]
