"""The adapter of the simulator's protocol: which input it accepts, and which actions it writes."""

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
from hypothesis import settings as hypothesis_settings
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
ENDPOINT_LIST = [
    "PAGE",
    0,
    [["10.0.0.1:80", "east", "box", 0, "ready", 1, None], ["10.0.0.2:80", "east", "box", 0, "ready", 1]],
]


def instance_start_messages(instance: str = "sidecar-1", wire_settings: Any = None) -> list[list[Any]]:
    return [
        ["BEGIN", instance, 7, SETTINGS if wire_settings is None else wire_settings],
        ENDPOINT_LIST,
        ["TARGETS", instance, "cached", 0, 1],
    ]


def run_batches(*batches: list[list[Any]]) -> tuple[int, list[list[Any]], str]:
    lines = []
    for index, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * index], *batch, ["COMMIT"]]
    return run_text("".join(json.dumps(each) + "\n" for each in lines))


def run_text(text: str) -> tuple[int, list[list[Any]], str]:
    output, err = io.StringIO(), io.StringIO()
    code = run_adapter(io.StringIO(text), output, err)
    return code, [json.loads(each) for each in output.getvalue().splitlines()], err.getvalue()


def test_adapter_replies_done_when_the_batch_is_empty() -> None:
    assert run_batches([]) == (0, [["DONE"]], "")


def test_adapter_starts_an_attempt_when_a_request_arrives() -> None:
    arrival = ["WORK_ITEM", "sidecar-1", 5, "look", 0, None, 900_000, 12_000, 1, "an additional field"]
    code, reply, _ = run_batches(instance_start_messages(), [arrival])
    started_attempts = [each for each in reply if each[0] == "ASSIGN"]
    assert code == 0
    assert len(started_attempts) == 1
    assert started_attempts[0][1:3] == ["sidecar-1", 5]
    assert started_attempts[0][3] in ("10.0.0.1:80", "10.0.0.2:80")


def test_adapter_restarts_an_instance_when_it_was_stopped_in_the_same_batch() -> None:
    arrival = ["WORK_ITEM", "sidecar-1", 5, "look", None, None, 900_000, None, 0]
    attempt_end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", "delivered", 100, True, {"util": 0.5}]
    code, reply, _ = run_batches(
        instance_start_messages(), [arrival, ["EXIT", "sidecar-1"], *instance_start_messages()], [attempt_end]
    )
    assert code == 0
    assert [each[0] for each in reply].count("FOLLOW") == 2


def test_adapter_uses_the_latest_endpoint_list_when_its_number_is_reused() -> None:
    replacement = ["PAGE", 0, [["10.0.0.9:80", "east", "box", 0, "ready", 1, None]]]
    arrivals = [["WORK_ITEM", f"sidecar-{n}", n, "look", None, None, 900_000, None, 0] for n in (1, 2)]
    batch = [
        *instance_start_messages(),
        ["BEGIN", "sidecar-2", 8, SETTINGS],
        replacement,
        ["TARGETS", "sidecar-2", "cached", 0, 1],
        *arrivals,
    ]
    _, reply, _ = run_batches(batch)
    endpoints = {each[1]: each[3] for each in reply if each[0] == "ASSIGN"}
    assert endpoints["sidecar-2"] == "10.0.0.9:80"
    assert endpoints["sidecar-1"] != "10.0.0.9:80"


@pytest.mark.parametrize(
    ("line", "problem"),
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
def test_adapter_exits_with_line_number_and_problem_when_a_line_is_invalid(line: str, problem: str) -> None:
    valid_lines = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *instance_start_messages()))
    code, _, err = run_text(valid_lines + line + "\n")
    assert code != 0
    assert err.startswith("line 5: ")
    assert problem in err
    assert err.count("\n") == 1


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
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
def test_adapter_raises_nothing_when_lines_are_arbitrary(lines: list[str]) -> None:
    valid_lines = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *instance_start_messages()))
    arbitrary_lines = "".join(each.replace("\n", " ").replace("\r", " ") + "\n" for each in lines)
    code, _, err = run_text(valid_lines + arbitrary_lines + '["COMMIT"]\n')
    assert (code == 0) == (err == "")


def test_adapter_output_is_the_same_when_the_hash_seed_differs() -> None:
    messages = [["FRAME", 1_000_000], *instance_start_messages(), ["COMMIT"]]
    for number in range(60):
        arrival = ["WORK_ITEM", "sidecar-1", number, "look", None, None, 900_000, None, 0]
        messages += [["FRAME", 1_000_000 + 5_000 * number], arrival, ["COMMIT"]]
    text = "".join(json.dumps(each) + "\n" for each in messages)
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


def _settings_with_rules(rules: dict[str, Any]) -> Any:
    return {**SETTINGS, "guarantees": {**SETTINGS["guarantees"], **rules}, "lanes": [
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"}
    ]}  # fmt: skip


@pytest.mark.parametrize(
    ("late_shedding", "expected"), [(True, "SURRENDER"), (False, "ASSIGN"), (None, "ASSIGN")]
)
def test_adapter_retries_a_rejected_request_unless_late_shedding_is_set(
    *, late_shedding: bool | None, expected: str
) -> None:
    wire_settings = _settings_with_rules({} if late_shedding is None else {"lateShedding": late_shedding})
    arrival = ["WORK_ITEM", "sidecar-1", 5, "pay", None, None, 900_000, None, 0]
    _, reply, _ = run_batches(instance_start_messages(wire_settings=wire_settings), [arrival])
    server = next(each[3] for each in reply if each[0] == "ASSIGN")
    rejection = ["ATTEMPT_END", "sidecar-1", 5, 0, server, "shed", 900, False, None]
    _, replies, _ = run_batches(instance_start_messages(wire_settings=wire_settings), [arrival], [rejection])
    assert expected in [each[0] for each in replies[len(reply) :]]


def test_adapter_closes_idle_connections_when_a_rule_limits_their_time() -> None:
    drain = ["PAGE", 1, [["10.0.0.1:80", "east", "box", 0, "draining", 1]]]
    update = [drain, ["TARGETS", "sidecar-1", "delta", 1, 2]]
    _, reply, _ = run_batches(
        instance_start_messages(wire_settings=_settings_with_rules({"letGoInUs": 500_000})), update
    )
    assert ["SHUT_IDLE", "sidecar-1", "10.0.0.1:80"] in reply
    _, reply, _ = run_batches(instance_start_messages(wire_settings=_settings_with_rules({})), update)
    assert "SHUT_IDLE" not in [each[0] for each in reply]


def test_settings_from_wire_reads_every_setting_when_all_are_given() -> None:
    settings = settings_from_wire(
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
    assert (
        settings.limits.max_open_requests,
        settings.limits.cpu_us_per_s,
        settings.limits.cpu_us_per_request,
    ) == (
        9,
        8,
        0.5,
    )
    assert settings.rules.close_idle_within_us == 7
    assert settings.rules.overloaded_may_have_run
    assert settings.rules.drain_grace_us == 50_000
    assert settings.rules.overload_multiple == 1.5
    assert settings.cost_weights.late_failure == 0.05
    assert settings.cost_weights.discovery == 0.01
    assert settings.cost_weights.connection == 0.02
    assert settings.cost_weights.handshake == 0.03
    assert settings.objective_weights.tail == 0.2
    assert settings.objective_weights.tail_slack == 0.02
    assert settings.objective_weights.worst_tenant == 0.1
    assert settings.machine_types == ("a", "b")
    assert settings.clients_mark_retries
    assert settings.has_key_affinity
