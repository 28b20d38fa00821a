"""The wire: what it accepts, what it complains of, and that it adds nothing of its own."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as how
from hypothesis import strategies as st

from tulipnotch.simulator_wire.adapter import run_adapter
from tulipnotch.simulator_wire.names import settings_from_wire

SETTINGS: dict[str, Any] = {
    "bounds": {"sendCap": 3, "secondCopies": True, "mayCancel": True, "streamsPerConn": 1},
    "discovery": "on_request",
    "guarantees": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_000_000},
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like", "group": "all"}
    ],
    "report": {"source": "piggyback", "columns": ["util"]},
    "something_new": [1, 2],
}
PAGE = [
    "PAGE",
    0,
    [["10.0.0.1:80", "east", "box", 0, "ready", 1, None], ["10.0.0.2:80", "east", "box", 0, "ready", 1]],
]


def start_instance(who: str = "sidecar-1", given_settings: Any = None) -> list[list[Any]]:
    return [
        ["BEGIN", who, 7, SETTINGS if given_settings is None else given_settings],
        PAGE,
        ["TARGETS", who, "cached", 0, 1],
    ]


def play(*batches: list[list[Any]]) -> tuple[int, list[list[Any]], str]:
    lines = []
    for index, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * index], *batch, ["COMMIT"]]
    return play_text("".join(json.dumps(each) + "\n" for each in lines))


def play_text(text: str) -> tuple[int, list[list[Any]], str]:
    output, err = io.StringIO(), io.StringIO()
    code = run_adapter(io.StringIO(text), output, err)
    return code, [json.loads(each) for each in output.getvalue().splitlines()], err.getvalue()


def test_adapter_replies_done_to_empty_batch() -> None:
    assert play([]) == (0, [["DONE"]], "")


def test_adapter_starts_attempt_for_request() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", 0, None, 900_000, 12_000, 1, "a field to come"]
    code, reply, _ = play(start_instance(), [work])
    sends = [each for each in reply if each[0] == "ASSIGN"]
    assert code == 0
    assert len(sends) == 1
    assert sends[0][1:3] == ["sidecar-1", 5]
    assert sends[0][3] in ("10.0.0.1:80", "10.0.0.2:80")


def test_adapter_restarts_stopped_instance_within_a_batch() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", None, None, 900_000, None, 0]
    end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", "delivered", 100, True, {"util": 0.5}]
    code, reply, _ = play(start_instance(), [work, ["EXIT", "sidecar-1"], *start_instance()], [end])
    assert code == 0
    assert [each[0] for each in reply].count("FOLLOW") == 2


def test_adapter_uses_latest_endpoint_list_of_a_number() -> None:
    other = ["PAGE", 0, [["10.0.0.9:80", "east", "box", 0, "ready", 1, None]]]
    work = [["WORK_ITEM", f"sidecar-{n}", n, "look", None, None, 900_000, None, 0] for n in (1, 2)]
    batch = [
        *start_instance(),
        ["BEGIN", "sidecar-2", 8, SETTINGS],
        other,
        ["TARGETS", "sidecar-2", "cached", 0, 1],
        *work,
    ]
    _, reply, _ = play(batch)
    targets = {each[1]: each[3] for each in reply if each[0] == "ASSIGN"}
    assert targets["sidecar-2"] == "10.0.0.9:80"
    assert targets["sidecar-1"] != "10.0.0.9:80"


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("nonsense", "not valid JSON"),
        ("[" * 100_000, "not valid JSON"),
        ("{}", "array"),
        ("[]", "array"),
        ('["NEWS","sidecar-1"]', "unknown message"),
        ('["FRAME"]', "inside a batch"),
        ('["WORK_ITEM","sidecar-1",5]', "needs 8 fields"),
        ('["WAKE","sidecar-9","x"]', "has not been started"),
        ('["CLIENT_GONE","sidecar-1","five"]', "must be an integer"),
        ('["TARGETS","sidecar-1","rumour",0,1]', "unknown value"),
        ('["TARGETS","sidecar-1","full",9,1]', "has not been sent"),
        ('["ATTEMPT_END","sidecar-1",5,0,"a:1","lost",1,true,null]', "unknown value"),
        ('["PAGE",0,[["a:1"]]]', "at least 6"),
        ('["MEMO","sidecar-1",0,"xyz"]', "hex"),
        ('["BEGIN","sidecar-2",1,{"lanes":[]}]', "settings: lanes: "),
        ('["BEGIN","sidecar-2",1,{"lanes":[{"name":"a","giveUpUs":-1}]}]', "settings: lanes[0].giveUpUs: "),
    ],
)
def test_adapter_ends_with_line_and_problem_of_invalid_input(line: str, complaint: str) -> None:
    good = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *start_instance()))
    code, _, err = play_text(good + line + "\n")
    assert code != 0
    assert err.startswith("line 5: ")
    assert complaint in err
    assert err.count("\n") == 1


@how(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.text(max_size=30),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
                ),
            ).map(json.dumps),
            st.tuples(
                st.sampled_from(
                    ["WORK_ITEM", "ATTEMPT_END", "TARGETS", "PAGE", "BEGIN", "WAKE", "FIRST", "SAMPLED"]
                ),
                st.lists(
                    st.sampled_from(
                        ["sidecar-1", "look", "full", "delivered", 0, 1, -5, 2**70, None, True, 1.5, {}, []]
                    ),
                    max_size=9,
                ),
            ).map(lambda each: json.dumps([each[0], *each[1]])),
        ),
        max_size=5,
    )
)
def test_adapter_survives_any_line(lines: list[str]) -> None:
    start = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *start_instance()))
    body = "".join(each.replace("\n", " ").replace("\r", " ") + "\n" for each in lines)
    code, _, err = play_text(start + body + '["COMMIT"]\n')
    assert (code == 0) == (err == "")


def test_adapter_output_is_independent_of_hash_seed() -> None:
    script = [["FRAME", 1_000_000], *start_instance(), ["COMMIT"]]
    for number in range(60):
        work = ["WORK_ITEM", "sidecar-1", number, "look", None, None, 900_000, None, 0]
        script += [["FRAME", 1_000_000 + 5_000 * number], work, ["COMMIT"]]
    text = "".join(json.dumps(each) + "\n" for each in script)
    replies = [
        subprocess.run(
            [sys.executable, "-m", "tulipnotch.simulator_wire.adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent.parent,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert replies[0] == replies[1]
    assert replies[0].count("ASSIGN") >= 5
    assert replies[0].count("ASSIGN") + replies[0].count("NOT_NOW") == 60


def _guarded(guarantees: dict[str, Any]) -> Any:
    return {**SETTINGS, "guarantees": {**SETTINGS["guarantees"], **guarantees}, "lanes": [
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"}
    ]}  # fmt: skip


@pytest.mark.parametrize(("late", "expected"), [(True, "SURRENDER"), (False, "ASSIGN"), (None, "ASSIGN")])
def test_adapter_applies_late_shedding(*, late: bool | None, expected: str) -> None:
    given_settings = _guarded({} if late is None else {"lateShedding": late})
    work = ["WORK_ITEM", "sidecar-1", 5, "pay", None, None, 900_000, None, 0]
    _, reply, _ = play(start_instance(given_settings=given_settings), [work])
    server = next(each[3] for each in reply if each[0] == "ASSIGN")
    shed = ["ATTEMPT_END", "sidecar-1", 5, 0, server, "shed", 900, False, None]
    _, replies, _ = play(start_instance(given_settings=given_settings), [work], [shed])
    assert expected in [each[0] for each in replies[len(reply) :]]


def test_adapter_applies_rule_on_idle_connections() -> None:
    drain = ["PAGE", 1, [["10.0.0.1:80", "east", "box", 0, "draining", 1]]]
    update = [drain, ["TARGETS", "sidecar-1", "delta", 1, 2]]
    _, reply, _ = play(start_instance(given_settings=_guarded({"letGoInUs": 500_000})), update)
    assert ["SHUT_IDLE", "sidecar-1", "10.0.0.1:80"] in reply
    _, reply, _ = play(start_instance(given_settings=_guarded({})), update)
    assert "SHUT_IDLE" not in [each[0] for each in reply]


def test_settings_from_wire_reads_every_setting() -> None:
    given = settings_from_wire(
        {
            **SETTINGS,
            "bounds": {"maxOpen": 9, "cpuUsPerS": 8, "cpuUsPerRequest": 0.5},
            "guarantees": {"letGoInUs": 7, "lateShedding": True, "drainGraceUs": 50_000, "fallMultiple": 1.5},
            "prices": {"lateFail": 0.05, "discovery": 0.01, "connection": 0.02, "handshake": 0.03},
            "goal": {"whole": 0.5, "tail": 0.2, "tailSlack": 0.02, "worstTenant": 0.1, "worstWindow": 0.2},
            "kinds": ["a", "b"],
            "clientHabits": {"marksRetry": True},
            "domain": {"warmKeys": True},
        }
    )
    assert (given.limits.max_open_requests, given.limits.cpu_us_per_s, given.limits.cpu_us_per_request) == (
        9,
        8,
        0.5,
    )
    assert given.rules.close_idle_within_us == 7
    assert given.rules.overloaded_may_have_run
    assert given.rules.drain_grace_us == 50_000
    assert given.rules.overload_multiple == 1.5
    assert given.cost_weights.late_failure == 0.05
    assert given.cost_weights.discovery == 0.01
    assert given.cost_weights.connection == 0.02
    assert given.cost_weights.handshake == 0.03
    assert given.objective_weights.tail == 0.2
    assert given.objective_weights.tail_slack == 0.02
    assert given.objective_weights.worst_tenant == 0.1
    assert given.machine_types == ("a", "b")
    assert given.clients_mark_retries
    assert given.has_key_affinity
