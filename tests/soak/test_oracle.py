"""The soak's oracle, on records that are made up: each rule is found broken, what is allowed is let pass."""

from __future__ import annotations

from typing import Any

import pytest

from soak.oracle import Oracle
from soak.play import CLASSES
from soak.records import Announced, Arrival, Life, Records, Try

_LOOK, _AMEND, _STORE, _PAY = CLASSES
_GRACE_S = 0.4
_SENT = 100.0


def _try(request: str = "r", kind: Any = _LOOK, **given: Any) -> Try:
    made = Try(request, kind, 0, 0.5, False, sent_at=_SENT, ended_at=_SENT + 0.1, status=200, had_part=True)
    for name, value in given.items():
        setattr(made, name, value)
    return made


def _arrival(at: float = 0.01, request: str = "r", **given: Any) -> Arrival:
    made = Arrival(request, "s-1", "a", 1, _SENT + at, _SENT + at, 0.4, ran=True, out_until=_SENT + at + 0.02)
    for name, value in given.items():
        setattr(made, name, value)
    return made


def _life(**given: Any) -> Life:
    made = Life(0, 1, 1.0, ready_at=2.0)
    for name, value in given.items():
        setattr(made, name, value)
    return made


def _breaches(records: Records, *, second_copies: bool = True) -> list[str]:
    if not records.lives:
        records.lives.append(_life())
    found = Oracle(records, _GRACE_S, second_copies=second_copies).breaches()
    return [each.partition(":")[0] for each in found]


_FINE: list[Records] = [
    Records(tries=[_try()], arrivals=[_arrival()]),
    Records(tries=[_try(status=503)], arrivals=[_arrival(ran=False)]),
    Records(tries=[_try(status=503)], arrivals=[_arrival()]),  # safe to repeat: refused though it ran
    Records(tries=[_try(kind=_AMEND)], arrivals=[_arrival(), _arrival(0.3)]),  # in its window and cell
    Records(tries=[_try(kind=_STORE)], arrivals=[_arrival(), _arrival(0.3, cell=2)]),
    Records(tries=[_try(status=0, ended_at=0.0, left_at=_SENT + 0.1)], arrivals=[_arrival()]),
    Records(tries=[_try(status=0)], arrivals=[]),  # an answer that its client can tell is not whole
    Records(
        tries=[_try(status=0, had_part=False)],
        lives=[_life(killed_at=_SENT + 0.05, exit_code=-9)],
    ),
    Records(
        tries=[_try()],
        arrivals=[_arrival(0.01 + _GRACE_S)],
        withdrawn=[Announced(0, "s-1", _SENT)],
    ),
]


@pytest.mark.parametrize("records", _FINE)
def test_what_is_allowed_is_let_pass(records: Records) -> None:
    assert _breaches(records) == []


@pytest.mark.parametrize(
    ("records", "rule"),
    [
        (Records(tries=[_try(status=0, had_part=False)]), "answer"),
        (Records(tries=[_try(status=0, had_part=False, ended_at=0.0, left_at=_SENT + 3.0)]), "answer"),
        (Records(tries=[_try(ended_at=_SENT + 1.5)]), "answer"),
        (Records(tries=[_try(is_own_answer=False)]), "answer"),
        (
            Records(tries=[_try(status=0, had_part=False, is_resent=True)], arrivals=[_arrival()]),
            "answer",
        ),
        (Records(tries=[_try(kind=_PAY)], arrivals=[_arrival(), _arrival(0.1)]), "effect"),
        (Records(tries=[_try(kind=_PAY, status=503)], arrivals=[_arrival()]), "effect"),
        (Records(tries=[_try(kind=_AMEND)], arrivals=[_arrival(), _arrival(0.1, cell=2)]), "effect"),
        (
            Records(tries=[_try(kind=_AMEND, timeout_s=2.0)], arrivals=[_arrival(), _arrival(0.9)]),
            "effect",
        ),
        (Records(tries=[_try(kind=_AMEND, status=503)], arrivals=[_arrival()]), "effect"),
        (
            Records(
                tries=[_try(status=0, ended_at=0.0, left_at=_SENT + 0.1, had_part=False)],
                arrivals=[_arrival(0.6, told_s=0.0)],
            ),
            "left",
        ),
        (Records(tries=[_try()], arrivals=[_arrival(told_s=1.0)]), "deadline"),
        (
            Records(
                tries=[_try()],
                arrivals=[_arrival(0.3 + _GRACE_S, told_s=0.0)],
                withdrawn=[Announced(0, "s-1", _SENT)],
            ),
            "drain",
        ),
        (Records(lives=[_life(exit_code=1)]), "process"),
        (Records(lives=[_life(exit_code=-15, told_to_stop_at=5.0)]), "process"),
        (Records(lives=[_life(exit_code=-9, told_to_stop_at=5.0, killed_at=9.0)]), "process"),
        (Records(lives=[_life(ready_at=0.0)]), "process"),
        (Records(lives=[_life(ready_at=12.0)]), "process"),
        (Records(lives=[_life(log=["invariant broken: sent_in_time: r"])]), "process"),
    ],
)
def test_each_rule_is_found_broken(records: Records, rule: str) -> None:
    assert set(_breaches(records)) == {rule}


def test_two_copies_at_once_are_found_where_the_settings_forbid_them() -> None:
    records = Records(tries=[_try()], arrivals=[_arrival(out_until=_SENT + 0.5), _arrival(0.1)])
    assert _breaches(records, second_copies=True) == []
    assert _breaches(records, second_copies=False) == ["effect"]
