"""A wall clock that is behind: start times of servers in the future are treated as the current time."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest
from helpers import MS, START_US, BalancerDriver, S, endpoint_names, make_settings
from loopback import (
    HOST,
    OK_RESPONSE,
    SERVICE_CLASSES,
    Client,
    ScriptedServer,
    endpoint_entry,
    run_async,
    within_timeout,
)
from running import VALID_CONFIG, start_process
from soak.shim import ControlWord, FaultShim, compile_shim

from tulipnotch.load_balancing.events import EndpointDescription

_HOUR_S = 3_600
_WARM_UP_S = 0.5


@pytest.mark.parametrize("ahead_s", [1, _HOUR_S])
def test_slow_start_begins_now_when_the_start_time_is_in_the_future(ahead_s: int) -> None:
    settings = make_settings()
    warm_up_us = settings.rules.warm_up_us
    driver = BalancerDriver(settings)
    driver.update_endpoints(
        [
            EndpointDescription(each, zone="east", started_at=START_US + ahead_s * S)
            for each in endpoint_names(4)
        ]
    )
    slow_start = driver.balancer._components.slow_start
    servers = list(driver.balancer._context.endpoints.values())
    assert all(slow_start.is_warming_up(each) for each in servers)
    driver.advance(warm_up_us + 1 * MS)
    driver.receive_request()
    assert not any(slow_start.is_warming_up(each) for each in servers)


def test_readmitted_server_does_not_warm_up_again_when_its_start_time_is_in_the_future() -> None:
    settings = make_settings()
    driver = BalancerDriver(settings)
    driver.update_endpoints(
        [
            EndpointDescription(each, zone="east", started_at=START_US + _HOUR_S * S)
            for each in endpoint_names(4)
        ]
    )
    driver.advance(settings.rules.warm_up_us + 1 * MS)
    driver.receive_request()
    outliers = driver.balancer._components.outlier_detection
    server = next(iter(driver.balancer._context.endpoints.values()))
    outliers._eject(server, "error")
    outliers.readmit(server)
    assert not driver.balancer._components.slow_start.is_warming_up(server)


def test_process_serves_normally_when_its_clock_is_an_hour_behind(tmp_path: Path) -> None:
    async def work() -> None:
        server = await ScriptedServer(OK_RESPONSE).start()
        entry = endpoint_entry("s-1", server.address, started_ms=time.time_ns() // 1_000_000)
        guarantees = {
            "coldUs": int(_WARM_UP_S * 1e6),
            "coldFrom": 0.1,
            "fallMultiple": 1.0,
            "fallUs": 500_000,
        }
        content: dict[str, Any] = {
            **VALID_CONFIG,
            "known": {"version": 1, "full": True, "servers": [entry]},
            "settings": {
                "lanes": SERVICE_CLASSES,
                "discovery": "on_request",
                "guarantees": guarantees,
                "groupSize": 8,
            },
        }
        config = tmp_path / "config.json"
        config.write_text(json.dumps(content))
        shim = FaultShim(compile_shim(tmp_path), tmp_path / "words")
        shim.write_word(ControlWord.WALL_OFFSET_NS, -_HOUR_S * 10**9)
        process = await start_process(config, **shim.environment)
        try:
            assert process.stderr is not None
            while b"serves on" not in (log_line := await within_timeout(process.stderr.readline())):
                assert log_line
            port = int(log_line.split(b":")[1].split(b",")[0])
            client = Client(*await asyncio.open_connection(HOST, port))
            consecutive_successes = 0
            async with asyncio.timeout(10 * _WARM_UP_S):
                while consecutive_successes < 50:
                    consecutive_successes = (
                        consecutive_successes + 1 if (await client.send_request("check")).status == 200 else 0
                    )
            client.close()
        finally:
            process.kill()
            await process.wait()
            server.stop()

    run_async(work)
