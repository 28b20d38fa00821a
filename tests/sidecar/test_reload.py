"""Reload at SIGHUP: the whole file is validated first; then all of it is applied, or nothing changes."""

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

FULL_CONFIG: dict[str, Any] = {
    **VALID_CONFIG,
    "settings": {
        **VALID_CONFIG["settings"],
        "lanes": [{"worth": 1.0, "lateValue": 0.0, "streaming": False, **each} for each in SERVICE_CLASSES],
        "bounds": {"sendCap": 3, "maxOpen": 100, "dialTimeoutUs": 250_000, "retryAfter": True},
        "guarantees": {"coldFrom": 0.2, "coldUs": 10_000_000},
        "realms": [{"name": "acme", "portion": 1.0, "quotaRps": 5.0}],
    },
}


def write_and_load(text: str, folder: Path, current: Config | None) -> Config:
    path = folder / "config.json"
    path.write_text(text)
    return load_config({"BALANCER_CONFIG": str(path)}, current)


def key_paths(content: Any, path: tuple[str | int, ...] = ()) -> Iterator[tuple[str | int, ...]]:
    items = enumerate(content) if isinstance(content, list) else content.items()
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


def _is_required(path: tuple[str | int, ...]) -> bool:
    """Returns whether the key must not be omitted; a key that only some classes have is optional."""
    return not (len(path) == 4 and path[1] == "lanes") or all(
        path[3] in each for each in FULL_CONFIG["settings"]["lanes"]
    )


@pytest.mark.parametrize("path", [each for each in key_paths(FULL_CONFIG) if _is_required(each)], ids=str)
def test_reload_is_rejected_when_the_file_lacks_a_key_of_the_one_in_force(
    path: tuple[str | int, ...], tmp_path: Path
) -> None:
    # Guards against a truncated file whose missing keys are silently replaced by defaults or the environment.
    current = write_and_load(json.dumps(FULL_CONFIG), tmp_path, None)
    for value in (..., None):
        content = copy.deepcopy(FULL_CONFIG)
        parent: Any = content
        for key in path[:-1]:
            parent = parent[key]
        if value is None:
            parent[path[-1]] = None
        else:
            del parent[path[-1]]
        with pytest.raises(ConfigError) as raised:
            write_and_load(json.dumps(content), tmp_path, current)
        assert "".join(f"[{key}]" if type(key) is int else f".{key}" for key in path)[1:] in str(raised.value)


@pytest.mark.parametrize(
    "text", ["", " ", "{", "[]", "null", "7", json.dumps(FULL_CONFIG)[:-1], json.dumps(FULL_CONFIG)[:200]]
)
def test_reload_is_rejected_when_the_file_is_empty_or_truncated(text: str, tmp_path: Path) -> None:
    current = write_and_load(json.dumps(FULL_CONFIG), tmp_path, None)
    with pytest.raises(ConfigError, match=r"^BALANCER_CONFIG: "):
        write_and_load(text, tmp_path, current)


@pytest.mark.parametrize(
    "value", ["NaN", "Infinity", "-Infinity", "1e999", "true", "0", "-5", '"3"', "[]", "null"]
)
@pytest.mark.parametrize("key", ["giveUpUs", "promiseUs", "sendCap"])
def test_reload_is_rejected_when_a_value_is_not_a_positive_number(
    key: str, value: str, tmp_path: Path
) -> None:
    current = write_and_load(json.dumps(FULL_CONFIG), tmp_path, None)
    content = copy.deepcopy(FULL_CONFIG)
    parent = content["settings"]["bounds"] if key == "sendCap" else content["settings"]["lanes"][1]
    parent[key] = "HERE"
    for previous in (current, None):  # None: at the start, where null means that the key is absent
        if value == "null" and previous is None:
            continue
        with pytest.raises(ConfigError) as raised:
            write_and_load(json.dumps(content).replace('"HERE"', value), tmp_path, previous)
        assert key in str(raised.value) or str(raised.value).startswith("BALANCER_CONFIG: ")


def test_reload_is_rejected_when_a_key_is_duplicated(tmp_path: Path) -> None:
    text = json.dumps(FULL_CONFIG)[:-1] + ', "seed": "1"}'
    with pytest.raises(ConfigError, match=r"^seed: "):
        write_and_load(text, tmp_path, None)


def test_reload_accepts_an_additional_class(tmp_path: Path) -> None:
    current = write_and_load(json.dumps(FULL_CONFIG), tmp_path, None)
    content = copy.deepcopy(FULL_CONFIG)
    content["settings"]["lanes"] = [{**FULL_CONFIG["settings"]["lanes"][0], "name": "new"}]
    assert [
        each.name for each in write_and_load(json.dumps(content), tmp_path, current).settings.classes
    ] == ["new"]


# Load balancing


def test_reload_limits_every_later_attempt_when_fewer_are_allowed() -> None:
    current = make_settings(limits={"max_attempts": 3})
    driver = BalancerDriver(current)
    driver.update_endpoints(endpoint_names(5))
    first, second = driver.receive_request("look"), driver.receive_request("look")
    driver.end_attempt(first, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(first)) == 2
    driver.handle(SettingsChanged(make_settings(limits={"max_attempts": 2})))
    driver.end_attempt(first, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(first)) == 2  # three were allowed when the request arrived
    driver.end_attempt(second, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(second)) == 2


def test_request_retains_its_class_when_a_reload_changes_it() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    earlier = driver.receive_request("look")
    driver.handle(
        SettingsChanged(make_settings(classes=[{**IDEMPOTENT_CLASS, "idempotency": "non_idempotent"}]))
    )
    later = driver.receive_request("look")
    for each in (earlier, later):
        driver.end_attempt(each, Outcome.SERVER_ERROR)
    assert len(driver.started_attempts(earlier)) == 2
    assert len(driver.started_attempts(later)) == 1


def test_balancer_retains_nothing_of_classes_that_a_reload_removes() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    for round_ in range(20):
        name = f"look-{round_}"
        driver.handle(SettingsChanged(make_settings(classes=[{**IDEMPOTENT_CLASS, "name": name}])))
        driver.run_traffic(5, service_class=name)
        request = driver.receive_request(name)
        if driver.started_attempts(request):  # after overloaded attempts, some requests are rejected
            driver.end_attempt(request, Outcome.OVERLOADED)
    balancer = driver.balancer
    components = balancer._components
    retained = [service_class for service_class, _ in components.admission._demand._traffic]
    retained += [service_class for service_class, _ in components.latency.expected_us]
    retained += list(components.class_costs._means)
    retained += [
        service_class for server in balancer._context.endpoints.values() for service_class in server.back_offs
    ]
    assert set(retained) <= {"look-19"}


# The sidecar


def with_settings(config: Config, **settings: Any) -> Config:
    content = copy.deepcopy(dict(config.file))
    content["settings"].update(settings)
    return parse_config(content, content)


def test_reload_applies_settings_to_every_component(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tulipnotch.sidecar.downstream.server._CLASS_RETENTION_S", 0.05)

    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            sidecar = harness.sidecar
            client = await harness.connect()
            client.send(http_request("check"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            new_class = {**SERVICE_CLASSES[0], "name": "new", "giveUpUs": 1_000_000}
            bounds = {"sendCap": 1, "maxOpen": 1, "dialTimeoutUs": 123_000, "idleCloseUs": 1_000_000}
            sidecar.reload(with_settings(sidecar.config, lanes=[new_class], bounds=bounds))
            metrics = sidecar.command_handlers()["telemetry"]()
            assert "app.downstream_requests.new.rejected=0" in metrics
            assert (await harness.send_request("new")).status == 503  # the one request allowed is open
            release.set()
            assert (await client.read_response()).status == 200
            assert (await harness.send_request("new", timeout="9")).status == 200
            assert float(harness.received_requests[-1].headers["request-timeout"]) <= 1.0
            assert sidecar._upstream._timeouts.connect_s == 0.123
            # 0.75 s is the latency objective of the only class.
            assert sidecar._upstream._timeouts.response_stall_s == 0.4 * 0.75
            await asyncio.sleep(0.1)
            assert (await harness.send_request("check")).status == 400  # it is no longer retained
            assert "app.downstream_requests.check.completed=1" in sidecar.command_handlers()["telemetry"]()

    run_async(work)


def test_request_is_accepted_when_its_class_was_just_removed() -> None:
    # Guards against failing requests that were in transit when the file changed.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            harness.sidecar.reload(
                with_settings(harness.sidecar.config, lanes=[{**SERVICE_CLASSES[0], "name": "new"}])
            )
            assert [(await harness.send_request(each)).status for each in ("check", "new")] == [200, 200]

    run_async(work)


@pytest.mark.parametrize("is_pipelined", [False, True], ids=["idle connection", "behind an open request"])
def test_request_is_accepted_when_its_class_is_removed_after_its_first_byte(
    *, is_pipelined: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against failing slow clients: a head may take longer to arrive than a removed class is accepted.
    monkeypatch.setattr("tulipnotch.sidecar.downstream.server._CLASS_RETENTION_S", 0.05)

    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold, OK_RESPONSE) as harness:
            downstream = harness.sidecar.downstream
            slow_client, request = await harness.connect(), http_request("check")
            if is_pipelined:
                slow_client.send(http_request("check"))
                await wait_until(lambda: len(harness.received_requests) == 1)
            else:
                release.set()
            slow_client.send(request[:40])
            await wait_until(lambda: any(each._reader.is_mid_message for each in downstream.connections()))
            harness.sidecar.reload(
                with_settings(harness.sidecar.config, lanes=[{**SERVICE_CLASSES[0], "name": "new"}])
            )
            await wait_until(lambda: set(downstream.classes) == {"new"})
            release.set()
            if is_pipelined:
                assert (await slow_client.read_response()).status == 200
            slow_client.send(request[40:])
            assert (await slow_client.read_response()).status == 200
            assert (await slow_client.send_request("check")).status == 400  # sent after the removal

    run_async(work)


def test_process_reloads_valid_files_and_rejects_invalid_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            valid = json.loads(running.config_path.read_text())

            async def reload_with(text: str) -> str:
                running.config_path.write_text(text)
                running.process.send_signal(signal.SIGHUP)
                return await running.read_log_line()

            invalid = copy.deepcopy(valid)
            invalid["settings"]["lanes"][0]["giveUpUs"] = 0
            invalid["discovery"] = "127.0.0.1:1"
            log_line = await reload_with(json.dumps(invalid))
            assert log_line.startswith(
                "reload rejected, the previous configuration stays in force: settings.lanes[0].giveUpUs"
            )
            del invalid["discovery"]
            assert "force: discovery: the key is missing" in await reload_with(json.dumps(invalid))
            valid["settings"]["lanes"] = [{**SERVICE_CLASSES[0], "name": "new"}]
            assert (await reload_with(json.dumps(valid))).startswith("reloaded: ")
            assert (await (await running.connect()).send_request("new")).status == 200
            metrics = await running.send_command("telemetry")
            assert "app.config_reloads=1" in metrics
            assert "app.config_reload_errors=2" in metrics
            assert "app.downstream_requests.new.completed=1" in metrics
            running.process.send_signal(signal.SIGTERM)
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)
