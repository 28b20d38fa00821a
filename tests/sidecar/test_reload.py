"""New settings at SIGHUP: the whole file is checked, then it is taken at once, or nothing changes."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from helpers import IDEMPOTENT_CLASS, BalancerDriver, endpoint_names, make_settings
from loopback import (
    OK_RESPONSE,
    SERVICE_CLASSES,
    blocking_script,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)
from running import VALID_CONFIG, sidecar_with_server

from tulipnotch.load_balancing.events import SettingsChanged
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.configuration.configuration import Config, ConfigError, load_config, parse_config

FULL: dict[str, Any] = {
    **VALID_CONFIG,
    "settings": {
        **VALID_CONFIG["settings"],
        "lanes": [{"worth": 1.0, "lateValue": 0.0, "streaming": False, **each} for each in SERVICE_CLASSES],
        "bounds": {"sendCap": 3, "maxOpen": 100, "dialTimeoutUs": 250_000, "retryAfter": True},
        "guarantees": {"coldFrom": 0.2, "coldUs": 10_000_000},
        "realms": [{"name": "acme", "portion": 1.0, "quotaRps": 5.0}],
    },
}


def read(text: str, folder: Path, before: Config | None) -> Config:
    path = folder / "config.json"
    path.write_text(text)
    return load_config({"BALANCER_CONFIG": str(path)}, before)


def key_paths(given: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    items = enumerate(given) if isinstance(given, list) else given.items()
    for key, value in items:
        if isinstance(key, str):
            yield (*path, key)
        if (
            isinstance(value, (dict, list))
            and key != "known"
            and value
            and (isinstance(value, dict) or isinstance(value[0], dict))
        ):
            yield from key_paths(value, (*path, key))


def _common(path: tuple[str | int, ...]) -> bool:
    """Whether all classes have the key; what only some have, others may leave out."""
    return not (len(path) == 4 and path[1] == "lanes") or all(
        path[3] in each for each in FULL["settings"]["lanes"]
    )


@pytest.mark.parametrize("path", [each for each in key_paths(FULL) if _common(each)], ids=str)
def test_reload_is_rejected_when_the_file_lacks_a_key_of_the_one_in_force(
    path: tuple[str | int, ...], tmp_path: Path
) -> None:
    # Guards against a default, or the environment, that hides what was cut off.
    before = read(json.dumps(FULL), tmp_path, None)
    for value in (..., None):
        given = copy.deepcopy(FULL)
        at: Any = given
        for key in path[:-1]:
            at = at[key]
        if value is None:
            at[path[-1]] = None
        else:
            del at[path[-1]]
        with pytest.raises(ConfigError) as complaint:
            read(json.dumps(given), tmp_path, before)
        assert "".join(f"[{key}]" if type(key) is int else f".{key}" for key in path)[1:] in str(
            complaint.value
        )


@pytest.mark.parametrize(
    "text", ["", " ", "{", "[]", "null", "7", json.dumps(FULL)[:-1], json.dumps(FULL)[:200]]
)
def test_reload_is_rejected_when_the_file_is_empty_or_truncated(text: str, tmp_path: Path) -> None:
    before = read(json.dumps(FULL), tmp_path, None)
    with pytest.raises(ConfigError, match=r"^BALANCER_CONFIG: "):
        read(text, tmp_path, before)


@pytest.mark.parametrize(
    "value", ["NaN", "Infinity", "-Infinity", "1e999", "true", "0", "-5", '"3"', "[]", "null"]
)
@pytest.mark.parametrize("key", ["giveUpUs", "promiseUs", "sendCap"])
def test_reload_is_rejected_when_a_figure_is_no_positive_number(key: str, value: str, tmp_path: Path) -> None:
    before = read(json.dumps(FULL), tmp_path, None)
    given = copy.deepcopy(FULL)
    at = given["settings"]["bounds"] if key == "sendCap" else given["settings"]["lanes"][1]
    at[key] = "HERE"
    for in_force in (before, None):  # at the start as well, but for a null, which counts as absent there
        if value == "null" and in_force is None:
            continue
        with pytest.raises(ConfigError) as complaint:
            read(json.dumps(given).replace('"HERE"', value), tmp_path, in_force)
        assert key in str(complaint.value) or str(complaint.value).startswith("BALANCER_CONFIG: ")


def test_reload_is_rejected_when_a_key_is_duplicated(tmp_path: Path) -> None:
    text = json.dumps(FULL)[:-1] + ', "seed": "1"}'
    with pytest.raises(ConfigError, match=r"^seed: "):
        read(text, tmp_path, None)


def test_reload_accepts_a_further_class(tmp_path: Path) -> None:
    before = read(json.dumps(FULL), tmp_path, None)
    given = copy.deepcopy(FULL)
    given["settings"]["lanes"] = [{**FULL["settings"]["lanes"][0], "name": "new"}]
    assert [each.name for each in read(json.dumps(given), tmp_path, before).settings.classes] == ["new"]


# The decisions


def test_reload_limits_every_later_attempt_when_fewer_are_allowed() -> None:
    before = make_settings(limits={"max_attempts": 3})
    driver = BalancerDriver(before)
    driver.update_endpoints(endpoint_names(5))
    first, second = driver.receive_request("look"), driver.receive_request("look")
    driver.end_attempt(first, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(first)) == 2
    driver.handle(SettingsChanged(make_settings(limits={"max_attempts": 2})))
    driver.end_attempt(first, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(first)) == 2  # it was allowed three when it came
    driver.end_attempt(second, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(second)) == 2


def test_request_retains_its_class_when_a_reload_changes_it() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    under_way = driver.receive_request("look")
    driver.handle(
        SettingsChanged(make_settings(classes=[{**IDEMPOTENT_CLASS, "idempotency": "non_idempotent"}]))
    )
    later = driver.receive_request("look")
    for each in (under_way, later):
        driver.end_attempt(each, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(under_way)) == 2
    assert len(driver.started_attempts(later)) == 1


def test_balancer_retains_nothing_of_classes_that_a_reload_removes() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    for round_ in range(20):
        name = f"look-{round_}"
        driver.handle(SettingsChanged(make_settings(classes=[{**IDEMPOTENT_CLASS, "name": name}])))
        driver.run_traffic(5, service_class=name)
        request = driver.receive_request(name)
        if driver.started_attempts(request):  # full answers make it refuse some, sooner or later
            driver.end_attempt(request, Outcome.OVERLOADED)
    balancer = driver.balancer
    parts = balancer._components
    kept = [kind for kind, _ in parts.admission._demand._traffic]
    kept += [kind for kind, _ in parts.latency.expected_us]
    kept += list(parts.class_costs._means)
    kept += [kind for server in balancer._context.endpoints.values() for kind in server.back_offs]
    assert set(kept) <= {"look-19"}


# The sidecar


def changed(config: Config, **what: Any) -> Config:
    given = copy.deepcopy(dict(config.file))
    given["settings"].update(what)
    return parse_config(given, given)


def test_reload_applies_settings_to_every_component(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tulipnotch.sidecar.downstream.server._CLASS_RETENTION_S", 0.05)

    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            sidecar = harness.sidecar
            client = await harness.connect()
            client.send(http_request("check"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            new = {**SERVICE_CLASSES[0], "name": "new", "giveUpUs": 1_000_000}
            bounds = {"sendCap": 1, "maxOpen": 1, "dialTimeoutUs": 123_000, "idleCloseUs": 1_000_000}
            sidecar.reload(changed(sidecar.config, lanes=[new], bounds=bounds))
            shown = sidecar.command_handlers()["telemetry"]()
            assert "app.downstream_requests.new.rejected=0" in shown
            assert (await harness.send_request("new")).status == 503  # one may be open, and one is
            release.set()
            assert (await client.read_response()).status == 200
            assert (await harness.send_request("new", timeout="9")).status == 200
            assert float(harness.received_requests[-1].headers["request-timeout"]) <= 1.0
            assert sidecar._upstream._timeouts.connect_s == 0.123
            assert sidecar._upstream._timeouts.response_stall_s == 0.4 * 0.75  # of the aim of the only class
            await asyncio.sleep(0.1)
            assert (await harness.send_request("check")).status == 400  # it vanished, and has faded
            assert "app.downstream_requests.check.completed=1" in sidecar.command_handlers()["telemetry"]()

    run_async(work)


def test_request_is_accepted_when_its_class_was_just_removed() -> None:
    # Guards against failing what was on its way when the file changed.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            harness.sidecar.reload(
                changed(harness.sidecar.config, lanes=[{**SERVICE_CLASSES[0], "name": "new"}])
            )
            assert [(await harness.send_request(kind)).status for kind in ("check", "new")] == [200, 200]

    run_async(work)


@pytest.mark.parametrize("ahead", [False, True], ids=["at rest", "behind an open request"])
def test_request_is_accepted_when_its_class_is_removed_after_its_first_byte(
    *, ahead: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards slow clients: a head may take longer than a class that vanished is taken.
    monkeypatch.setattr("tulipnotch.sidecar.downstream.server._CLASS_RETENTION_S", 0.05)

    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold, OK_RESPONSE) as harness:
            frontend = harness.sidecar.downstream
            slow, raw = await harness.connect(), http_request("check")
            if ahead:
                slow.send(http_request("check"))
                await wait_until(lambda: len(harness.received_requests) == 1)
            else:
                release.set()
            slow.send(raw[:40])
            await wait_until(lambda: any(each._reader.is_mid_message for each in frontend.connections()))
            harness.sidecar.reload(
                changed(harness.sidecar.config, lanes=[{**SERVICE_CLASSES[0], "name": "new"}])
            )
            await wait_until(lambda: set(frontend.classes) == {"new"})
            release.set()
            if ahead:
                assert (await slow.read_response()).status == 200
            slow.send(raw[40:])
            assert (await slow.read_response()).status == 200
            assert (await slow.send_request("check")).status == 400  # this one began after it had vanished

    run_async(work)


def test_process_reloads_valid_files_and_rejects_invalid_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            good = json.loads(running.config_path.read_text())

            async def hup(text: str) -> str:
                running.config_path.write_text(text)
                running.process.send_signal(signal.SIGHUP)
                return await running.read_log_line()

            bad = copy.deepcopy(good)
            bad["settings"]["lanes"][0]["giveUpUs"] = 0
            bad["discovery"] = "127.0.0.1:1"
            said = await hup(json.dumps(bad))
            assert said.startswith(
                "reload rejected, the previous configuration stays in force: settings.lanes[0].giveUpUs"
            )
            del bad["discovery"]
            assert "force: discovery: the key is missing" in await hup(json.dumps(bad))
            good["settings"]["lanes"] = [{**SERVICE_CLASSES[0], "name": "new"}]
            assert (await hup(json.dumps(good))).startswith("reloaded: ")
            assert (await (await running.connect()).send_request("new")).status == 200
            figures = await running.send_command("telemetry")
            assert "app.config_reloads=1" in figures
            assert "app.config_reload_errors=2" in figures
            assert "app.downstream_requests.new.completed=1" in figures
            running.process.send_signal(signal.SIGTERM)
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)
