"""The rule checker with synthetic records: it finds each violation and accepts allowed histories."""

from __future__ import annotations

from typing import Any

import pytest

from soak.fleet import CLASSES
from soak.records import (
    ClientAttempt,
    IdReuse,
    MemoryPeak,
    ProcessRecord,
    Records,
    ServerAttempt,
    Stall,
    Withdrawal,
)
from soak.rule_checker import Rule, RuleChecker

_LOOK, _AMEND, _STORE, _PAY = CLASSES
_DRAIN_GRACE_S = 0.4
_SENT_AT = 100.0
_BEFORE_START_AT = 0.5  # before the start of the process of `_process`


def _client_attempt(request_id: str = "r", request_class: Any = _LOOK, **fields: Any) -> ClientAttempt:
    record = ClientAttempt(
        request_id,
        request_class,
        0,
        0.5,
        is_first_on_connection=False,
        sent_at=_SENT_AT,
        ended_at=_SENT_AT + 0.1,
        status=200,
        has_partial_response=True,
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def _server_attempt(delay_s: float = 0.01, request_id: str = "r", **fields: Any) -> ServerAttempt:
    record = ServerAttempt(
        request_id,
        "s-1",
        "a",
        1,
        _SENT_AT + delay_s,
        _SENT_AT + delay_s,
        0.4,
        is_executed=True,
        ended_at=_SENT_AT + delay_s + 0.02,
    )
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def _process(**fields: Any) -> ProcessRecord:
    record = ProcessRecord(0, 1, 1.0, ready_at=2.0)
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def _violated_rules(records: Records, *, allows_hedging: bool = True) -> list[Rule]:
    if not records.processes:
        records.processes.append(_process())
    violations = RuleChecker(records, _DRAIN_GRACE_S, allows_hedging=allows_hedging).violations()
    return [violation.rule for violation in violations]


_ALLOWED: list[Records] = [
    Records(client_attempts=[_client_attempt()], server_attempts=[_server_attempt()]),
    Records(
        client_attempts=[_client_attempt(status=503)], server_attempts=[_server_attempt(is_executed=False)]
    ),
    Records(
        client_attempts=[_client_attempt(status=503)], server_attempts=[_server_attempt()]
    ),  # An idempotent request may be rejected after it was executed.
    Records(
        client_attempts=[_client_attempt(request_class=_AMEND)],
        server_attempts=[_server_attempt(), _server_attempt(0.3)],
    ),  # A request with a key may be executed again within its deduplication window and cell.
    Records(
        client_attempts=[_client_attempt(request_class=_STORE)],
        server_attempts=[_server_attempt(), _server_attempt(0.3, cell=2)],
    ),
    Records(
        client_attempts=[_client_attempt(status=0, ended_at=0.0, disconnected_at=_SENT_AT + 0.1)],
        server_attempts=[_server_attempt()],
    ),
    Records(
        client_attempts=[_client_attempt(status=0)], server_attempts=[]
    ),  # The client sees that the response is incomplete.
    Records(
        client_attempts=[_client_attempt(status=0, has_partial_response=False)],
        processes=[_process(killed_at=_SENT_AT + 0.05, exit_code=-9)],
    ),
    Records(
        client_attempts=[_client_attempt(ended_at=_SENT_AT + 1.5)],
        stalls=[Stall(_SENT_AT + 0.1, _SENT_AT + 0.5)],
    ),
    Records(
        client_attempts=[_client_attempt()],
        server_attempts=[_server_attempt(0.01 + _DRAIN_GRACE_S)],
        withdrawals=[Withdrawal(0, "s-1", _SENT_AT, _SENT_AT)],
    ),
    Records(
        client_attempts=[_client_attempt()],
        server_attempts=[_server_attempt(0.3 + _DRAIN_GRACE_S, announced_timeout_s=0.0)],
        withdrawals=[Withdrawal(0, "s-1", _SENT_AT, _BEFORE_START_AT)],
    ),  # Written to a connection of the previous process.
]


@pytest.mark.parametrize("records", _ALLOWED)
def test_rule_checker_accepts_allowed_history(records: Records) -> None:
    assert _violated_rules(records) == []


@pytest.mark.parametrize(
    ("records", "rule"),
    [
        (Records(client_attempts=[_client_attempt(status=0, has_partial_response=False)]), Rule.RESPONSE),
        (
            Records(
                client_attempts=[
                    _client_attempt(
                        status=0, has_partial_response=False, ended_at=0.0, disconnected_at=_SENT_AT + 3.0
                    )
                ]
            ),
            Rule.RESPONSE,
        ),
        (Records(client_attempts=[_client_attempt(ended_at=_SENT_AT + 1.5)]), Rule.RESPONSE),
        (Records(client_attempts=[_client_attempt(is_own_response=False)]), Rule.RESPONSE),
        (
            Records(
                client_attempts=[_client_attempt(status=0, has_partial_response=False, is_retried=True)],
                server_attempts=[_server_attempt()],
            ),
            Rule.RESPONSE,
        ),
        (
            Records(
                client_attempts=[_client_attempt(request_class=_PAY)],
                server_attempts=[_server_attempt(), _server_attempt(0.1)],
            ),
            Rule.EXECUTION,
        ),
        (
            Records(
                client_attempts=[_client_attempt(request_class=_PAY, status=503)],
                server_attempts=[_server_attempt()],
            ),
            Rule.EXECUTION,
        ),
        (
            Records(
                client_attempts=[_client_attempt(request_class=_AMEND)],
                server_attempts=[_server_attempt(), _server_attempt(0.1, cell=2)],
            ),
            Rule.EXECUTION,
        ),
        (
            Records(
                client_attempts=[_client_attempt(request_class=_AMEND, timeout_s=2.0)],
                server_attempts=[_server_attempt(), _server_attempt(0.9)],
            ),
            Rule.EXECUTION,
        ),
        (
            Records(
                client_attempts=[_client_attempt(request_class=_AMEND, status=503)],
                server_attempts=[_server_attempt()],
            ),
            Rule.EXECUTION,
        ),
        (
            Records(
                client_attempts=[
                    _client_attempt(
                        status=0, ended_at=0.0, disconnected_at=_SENT_AT + 0.1, has_partial_response=False
                    )
                ],
                server_attempts=[_server_attempt(0.6, announced_timeout_s=0.0)],
            ),
            Rule.DISCONNECT,
        ),
        (
            Records(
                client_attempts=[_client_attempt()],
                server_attempts=[_server_attempt(announced_timeout_s=1.0)],
            ),
            Rule.DEADLINE,
        ),
        (
            Records(
                client_attempts=[_client_attempt()],
                server_attempts=[_server_attempt(0.3 + _DRAIN_GRACE_S, announced_timeout_s=0.0)],
                withdrawals=[Withdrawal(0, "s-1", _SENT_AT, _SENT_AT)],
            ),
            Rule.DRAIN,
        ),
        (
            Records(
                client_attempts=[_client_attempt()],
                server_attempts=[_server_attempt(0.3 + _DRAIN_GRACE_S, announced_timeout_s=0.0)],
                withdrawals=[Withdrawal(0, "s-1", _SENT_AT, _BEFORE_START_AT)],
                is_discovery_pushed=True,
            ),
            Rule.DRAIN,
        ),
        (Records(processes=[_process(exit_code=1)]), Rule.PROCESS),
        (Records(processes=[_process(exit_code=-15, sigterm_at=5.0)]), Rule.PROCESS),
        (Records(processes=[_process(exit_code=-9, sigterm_at=5.0, killed_at=9.0)]), Rule.PROCESS),
        (
            Records(
                client_attempts=[_client_attempt(status=0, has_partial_response=False)],
                processes=[_process(sigterm_at=_SENT_AT - 0.8)],
            ),
            Rule.RESPONSE,
        ),  # A request on an open connection needs a response, however late after SIGTERM it comes.
        (
            Records(
                client_attempts=[_client_attempt(status=0, has_partial_response=False)],
                processes=[_process(sigterm_at=_SENT_AT - 2.0, killed_at=_SENT_AT + 0.05)],
            ),
            Rule.RESPONSE,
        ),
        (Records(memory_peaks=[MemoryPeak(0, 64.1, 64)]), Rule.MEMORY),
        (Records(processes=[_process(ready_at=0.0)]), Rule.PROCESS),
        (Records(processes=[_process(ready_at=12.0)]), Rule.PROCESS),
        (Records(processes=[_process(log=["invariant broken: sent_in_time: r"])]), Rule.PROCESS),
    ],
)
def test_rule_checker_finds_violation_of_each_rule(records: Records, rule: Rule) -> None:
    assert set(_violated_rules(records)) == {rule}


def test_rule_checker_finds_concurrent_attempts_where_hedging_is_not_allowed() -> None:
    records = Records(
        client_attempts=[_client_attempt()],
        server_attempts=[_server_attempt(ended_at=_SENT_AT + 0.5), _server_attempt(0.1)],
    )
    assert _violated_rules(records, allows_hedging=True) == []
    assert _violated_rules(records, allows_hedging=False) == [Rule.EXECUTION]


def _id_reuse(original: ClientAttempt, **fields: Any) -> Records:
    """Returns the records of a request whose id was used again 0.1 s after it was sent, and answered 409."""
    reuse = IdReuse(original, sent_at=_SENT_AT + 0.1, ended_at=_SENT_AT + 0.12, status=409)
    for name, value in fields.items():
        setattr(reuse, name, value)
    return Records(client_attempts=[original], server_attempts=[_server_attempt()], id_reuses=[reuse])


def _disconnected(request_class: Any) -> ClientAttempt:
    return _client_attempt(
        request_class=request_class, status=0, ended_at=0.0, disconnected_at=_SENT_AT + 0.1
    )


def test_rule_checker_accepts_reuse_of_an_id_that_was_served_before_its_request_was_complete() -> None:
    original = _client_attempt(
        request_class=_PAY, sent_at=_SENT_AT + 0.2, status=0, ended_at=0.0, disconnected_at=_SENT_AT + 0.5
    )
    records = _id_reuse(original, status=200)
    records.server_attempts = [_REUSED, _server_attempt(0.21)]
    assert _violated_rules(records) == []


_REUSED = _server_attempt(0.11, is_id_reused=True)


@pytest.mark.parametrize("request_class", [_LOOK, _AMEND, _PAY])
def test_rule_checker_finds_reuse_of_the_id_of_an_open_request(request_class: Any) -> None:
    original = _client_attempt(request_class=request_class, ended_at=_SENT_AT + 0.4)
    assert _violated_rules(_id_reuse(original)) == []
    assert _violated_rules(_id_reuse(original, status=200)) == [Rule.ID_REUSE]
    executed = _id_reuse(original)
    executed.server_attempts.append(_REUSED)
    assert _violated_rules(executed) == [Rule.ID_REUSE]


def test_rule_checker_accepts_reuse_of_an_id_whose_response_has_ended() -> None:
    records = _id_reuse(_client_attempt(ended_at=_SENT_AT + 0.1), status=200)
    records.server_attempts.append(_REUSED)
    assert _violated_rules(records) == []


@pytest.mark.parametrize(("request_class", "rules"), [(_LOOK, []), (_STORE, []), (_PAY, [Rule.ID_REUSE])])
def test_rule_checker_finds_reuse_of_the_id_of_a_disconnected_client(
    request_class: Any, rules: list[Rule]
) -> None:
    records = _id_reuse(_disconnected(request_class), status=200)
    records.server_attempts.append(_REUSED)
    assert _violated_rules(records) == rules
