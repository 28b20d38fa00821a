"""Effects of a service level: on the balancer, at the control endpoint and in the operator file."""

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
from tulipnotch.settings.operator import load_operator_file
from tulipnotch.sidecar.service_level_monitor import ServiceLevels

CLASS_REJECTED = ServiceLevelChanged(frozenset({"look"}), frozenset({"look"}))
OVER_QUOTA_REJECTED = ServiceLevelChanged(frozenset({"look"}), frozenset())
FULL_SERVICE = ServiceLevelChanged(frozenset(), frozenset())
WITH_RETRY_AFTER = {"retry_after": True, "max_retry_after_us": 2_000 * MS}


def count_admitted(driver: BalancerDriver, name: str, tenant: str | None, count: int) -> int:
    """Returns how many of these requests, one every 20 ms and each responded to after 10 ms, are admitted."""
    admitted = 0
    for _ in range(count):
        request, driver._next_request = driver._next_request, driver._next_request + 1
        driver.handle(RequestArrived(request, name, tenant, None, 2_000 * MS, None))
        driver.advance(10 * MS)
        if driver.started_attempts(request):
            admitted += 1
            driver.end_attempt(request)
        driver.advance(10 * MS)
    return admitted


def test_level_rejects_only_its_class_at_once() -> None:
    driver = BalancerDriver(make_settings(limits=WITH_RETRY_AFTER))
    driver.update_endpoints(endpoint_names(6))
    driver.handle(CLASS_REJECTED)
    assert count_admitted(driver, "look", None, 50) == 0
    assert count_admitted(driver, "pay", None, 50) == 50
    retry_after_us = [each.retry_after_us for each in driver.actions_of_type(RejectRequest)]
    assert len(retry_after_us) == 50
    assert len(set(retry_after_us)) > 40
    assert all(1_000 * MS <= each <= 2_000 * MS for each in retry_after_us)
    driver.handle(FULL_SERVICE)
    assert count_admitted(driver, "look", None, 50) == 50


def test_level_rejects_traffic_over_quota_first() -> None:
    tenants = [{"name": "big", "weight": 0.5}, {"name": "small", "weight": 0.5}]
    driver = BalancerDriver(
        make_settings(
            classes=[IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS], tenants=tenants, limits=WITH_RETRY_AFTER
        )
    )
    driver.update_endpoints(endpoint_names(6))
    for _ in range(40):
        count_admitted(driver, "look", "big", 9)
        count_admitted(driver, "look", "small", 1)
    driver.handle(OVER_QUOTA_REJECTED)
    admitted = {"big": 0, "small": 0}
    for _ in range(40):
        admitted["big"] += count_admitted(driver, "look", "big", 9)
        admitted["small"] += count_admitted(driver, "look", "small", 1)
    assert admitted["small"] == 40
    # The quota of "big" is half of the total rate; its demand is nine tenths of that rate.
    assert 0.4 < admitted["big"] / 360 < 0.7
    assert count_admitted(driver, "pay", "big", 20) == 20


def utilization_under_a_level(driver: BalancerDriver) -> float:
    """Returns the utilization under a level, long after the cause that shrank the limit has gone."""
    driver.update_endpoints(endpoint_names(6))
    count_admitted(driver, "look", None, 100)
    driver.balancer._components.concurrency_limit.limit = 0.2
    driver.handle(CLASS_REJECTED)
    for _ in range(60):
        count_admitted(driver, "look", None, 10)
        count_admitted(driver, "pay", None, 2)
    return driver.balancer.pressure().utilization


def test_concurrency_limit_grows_under_a_level() -> None:
    assert utilization_under_a_level(BalancerDriver()) < 0.6


def test_utilization_stays_high_under_a_level_unless_the_limit_grows(monkeypatch: pytest.MonkeyPatch) -> None:
    never_rejected = property(lambda _: False, lambda *_: None)
    monkeypatch.setattr(ConcurrencyLimit, "has_rejected", never_rejected, raising=False)
    assert utilization_under_a_level(BalancerDriver()) > 0.6


def test_pressure_ignores_requests_without_endpoints() -> None:
    driver = BalancerDriver()
    # Without an endpoint list all are rejected, but not by the limit.
    count_admitted(driver, "look", None, 50)
    assert driver.balancer.pressure().rejected == 0
    assert len(driver.actions_of_type(RejectRequest)) == 50


def test_level_is_shown_at_control_endpoint_and_in_log(monkeypatch: pytest.MonkeyPatch) -> None:
    async def observe_level() -> None:
        monkeypatch.setattr("tulipnotch.sidecar.service_level_monitor.OBSERVATION_INTERVAL_US", 10_000)
        change = levels.ServiceLevelTransition(
            "full", "shut", 41_000_000, "too much", ServiceLevelChanged(frozenset(), frozenset({"check"}))
        )
        transitions = [change]
        monkeypatch.setattr(
            levels.ServiceLevelController,
            "observe_pressure",
            lambda *_: transitions.pop() if transitions else None,
        )
        service_levels = ServiceLevels(levels.standard_levels("check"), 30_000_000)
        async with sidecar_harness(OK_RESPONSE, service_levels=service_levels) as harness:
            await wait_until(
                lambda: any("service level shut, was full for 41 s: too much" in each for each in harness.log)
            )
            client = await harness.connect()
            assert (await client.send_request()).status == 503
            assert (await client.send_request("lodge")).status == 200
            commands = harness.sidecar.command_handlers()
            assert "app.level=0" in commands["telemetry"]()
            assert "app.level_changes=0" in commands["telemetry"]()
            assert commands["level"]() == ["full for 0 s; refused 0.0%, wanted 0% of the window"]

    run_async(observe_level)


VALID_LEVELS = """
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
    ("change", "expected_error"),
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
def test_operator_file_errors_name_line_of_invalid_level(
    change: tuple[str, str], expected_error: str, tmp_path: Path
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(VALID_LEVELS)
    assert [each.name for each in load_operator_file(path).overload.levels] == ["spare", "orders-only"]
    path.write_text(VALID_LEVELS.replace(*change))
    with pytest.raises(InvalidFileError, match=r".") as error:
        load_operator_file(path)
    assert expected_error in str(error.value)


def test_start_fails_when_level_names_unknown_class(tmp_path: Path) -> None:
    stderr = run_expecting_failure(tmp_path, json.dumps(VALID_CONFIG), VALID_LEVELS.replace("check", "chek"))
    assert "overload.levels[0]: no class 'chek'; known are check, amend, lodge" in stderr
