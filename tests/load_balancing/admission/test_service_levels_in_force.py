"""What a level keeps out: through the decisions, the operators' door and the operator file."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from helpers import IDEMPOTENT_CLASS, MS, NON_IDEMPOTENT_CLASS, BalancerDriver, endpoint_names, make_settings
from loopback import OK_RESPONSE, run_async, sidecar_harness, wait_until
from running import VALID_CONFIG, run_expecting_failure

from tulipnotch.load_balancing.actions import RejectRequest
from tulipnotch.load_balancing.admission import service_levels as levels
from tulipnotch.load_balancing.admission.concurrency_limit import ConcurrencyLimit
from tulipnotch.load_balancing.events import RequestArrived, ServiceLevelChanged
from tulipnotch.settings.check import InvalidFileError
from tulipnotch.settings.operator import load
from tulipnotch.sidecar.service_level_monitor import ServiceLevels

CLASS_REJECTED = ServiceLevelChanged(frozenset({"look"}), frozenset({"look"}))
OVER_QUOTA_REJECTED = ServiceLevelChanged(frozenset({"look"}), frozenset())
FULL = ServiceLevelChanged(frozenset(), frozenset())
WITH_RETRY_AFTER = {"retry_after": True, "max_retry_after_us": 2_000 * MS}


def serve(given: BalancerDriver, name: str, tenant: str | None, count: int) -> int:
    """How many of these requests, one every 20 ms and each answered after 10 ms, get through."""
    admitted = 0
    for _ in range(count):
        number, given._next_request = given._next_request, given._next_request + 1
        given.handle(RequestArrived(number, name, tenant, None, 2_000 * MS, None))
        given.advance(10 * MS)
        if given.started_attempts(number):
            admitted += 1
            given.end_attempt(number)
        given.advance(10 * MS)
    return admitted


def test_level_rejects_its_class_at_once_and_no_other() -> None:
    given = BalancerDriver(make_settings(limits=WITH_RETRY_AFTER))
    given.update_endpoints(endpoint_names(6))
    given.handle(CLASS_REJECTED)
    assert serve(given, "look", None, 50) == 0
    assert serve(given, "pay", None, 50) == 50
    waits = [each.retry_after_us for each in given.actions_of_type(RejectRequest)]
    assert len(waits) == 50
    assert len(set(waits)) > 40
    assert all(1_000 * MS <= each <= 2_000 * MS for each in waits)
    given.handle(FULL)
    assert serve(given, "look", None, 50) == 50


def test_level_rejects_traffic_over_quota_first() -> None:
    tenants = [{"name": "big", "weight": 0.5}, {"name": "small", "weight": 0.5}]
    given = BalancerDriver(
        make_settings(
            classes=[IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS], tenants=tenants, limits=WITH_RETRY_AFTER
        )
    )
    given.update_endpoints(endpoint_names(6))
    for _ in range(40):
        serve(given, "look", "big", 9)
        serve(given, "look", "small", 1)
    given.handle(OVER_QUOTA_REJECTED)
    admitted = {"big": 0, "small": 0}
    for _ in range(40):
        admitted["big"] += serve(given, "look", "big", 9)
        admitted["small"] += serve(given, "look", "small", 1)
    assert admitted["small"] == 40
    assert 0.4 < admitted["big"] / 360 < 0.7  # its share is half of all; it asks for nine tenths
    assert serve(given, "pay", "big", 20) == 20


def utilization_under_a_level(given: BalancerDriver) -> float:
    """How full the window would be with all that is asked for, long after the cause of its shrinking went."""
    given.update_endpoints(endpoint_names(6))
    serve(given, "look", None, 100)
    given.balancer._components.concurrency_limit.limit = 0.2
    given.handle(CLASS_REJECTED)
    for _ in range(60):
        serve(given, "look", None, 10)
        serve(given, "pay", None, 2)
    return given.balancer.pressure().utilization


def test_concurrency_limit_grows_under_a_level() -> None:
    assert utilization_under_a_level(BalancerDriver()) < 0.6


def test_level_is_never_left_unless_the_limit_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    never = property(lambda _: False, lambda *_: None)
    monkeypatch.setattr(ConcurrencyLimit, "has_rejected", never, raising=False)
    assert utilization_under_a_level(BalancerDriver()) > 0.6


def test_pressure_ignores_requests_without_endpoints() -> None:
    given = BalancerDriver()
    serve(given, "look", None, 50)  # there is no list yet: all are refused, and not by the window
    assert given.balancer.pressure().rejected == 0
    assert len(given.actions_of_type(RejectRequest)) == 50


def test_level_shows_at_control_endpoint_and_in_log(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.setattr("tulipnotch.sidecar.service_level_monitor.OBSERVATION_INTERVAL_US", 10_000)
        change = levels.ServiceLevelTransition(
            "full", "shut", 41_000_000, "too much", ServiceLevelChanged(frozenset(), frozenset({"check"}))
        )
        transitions = [change]
        monkeypatch.setattr(
            levels.ServiceLevelController, "observe", lambda *_: transitions.pop() if transitions else None
        )
        given = ServiceLevels(levels.standard("check"), 30_000_000)
        async with sidecar_harness(OK_RESPONSE, service_levels=given) as harness:
            await wait_until(
                lambda: any("service level shut, was full for 41 s: too much" in each for each in harness.log)
            )
            client = await harness.connect()
            assert (await client.send_request()).status == 503
            assert (await client.send_request("lodge")).status == 200
            calls = harness.sidecar.command_handlers()
            assert "app.level=0" in calls["telemetry"]()
            assert "app.level_changes=0" in calls["telemetry"]()
            assert calls["level"]() == ["full for 0 s; refused 0.0%, wanted 0% of the window"]

    run_async(work)


GOOD_LEVELS = """
[overload]
hold_s = 45
[[overload.levels]]
name = "spare"
over_share = ["check"]
[[overload.levels]]
name = "orders-only"
closed = ["check"]
enter_refused = 0.3
"""


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (("hold_s = 45", "hold_s = 5"), "line 3: overload.hold_s"),
        (('"spare"', '"full"'), "line 5: overload.levels[0].name: 'full' is reserved for full service"),
        (('over_share = ["check"]', ""), "overload.levels[0].over_share: a level must name classes"),
        (('"orders-only"', '"spare"'), "overload.levels: two levels have the same name"),
        (
            ('closed = ["check"]', 'closed = ["lodge"]'),
            "levels[1].over_share: must name all classes that 'spare'",
        ),
        (("0.3", "3.0"), "line 10: overload.levels[1].enter_refused"),
    ],
    ids=lambda each: each if isinstance(each, str) else "",
)
def test_level_file_errors_name_their_line(change: tuple[str, str], fault: str, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(GOOD_LEVELS)
    assert [each.name for each in load(path).overload.levels] == ["spare", "orders-only"]
    path.write_text(GOOD_LEVELS.replace(*change))
    with pytest.raises(InvalidFileError, match=r".") as found:
        load(path)
    assert fault in str(found.value)


def test_level_of_unknown_class_stops_the_start(tmp_path: Path) -> None:
    said = run_expecting_failure(tmp_path, json.dumps(VALID_CONFIG), GOOD_LEVELS.replace("check", "chek"))
    assert "overload.levels[0]: no class 'chek'; known are check, amend, lodge" in said
