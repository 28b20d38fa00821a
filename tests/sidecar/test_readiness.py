"""Time to ready: bounded waits of a start while discovery is unavailable, and the report on logged starts."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import time
from dataclasses import dataclass
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from loopback import HOST, endpoint_entry, run_async, within_timeout
from running import VALID_CONFIG, start_process
from unavailable_discovery import DISCOVERY_FAULTS, UnavailableDiscovery

from benchmarks import ready
from tulipnotch.sidecar import logs
from tulipnotch.sidecar.downstream.listener import bind_and_listen

ALLOWANCE_S = 1.0  # for a busy machine, added to the expected waits
MAX_START_S = 10.0  # within which nine in ten restarted processes have to be ready


@dataclass(frozen=True, slots=True)
class StartLog:
    """Times of one start, taken from the log of the process."""

    elapsed_s: float  # from the event `control_endpoint_listening` to the event `serving`
    waits_s: list[float]  # durations of the waits that ended without an endpoint list
    after_ms: int  # time since the start of the process, as the event `serving` reports it


async def _start(config: Path, listener: socket.socket | None) -> StartLog:
    environ = {} if listener is None else {"BALANCER_INHERITED_FD": str(listener.fileno())}
    process = await start_process(config, () if listener is None else (listener.fileno(),), **environ)
    try:
        assert process.stderr is not None
        waits_s: list[float] = []
        listening_at = 0.0
        while True:
            log_line = (await within_timeout(process.stderr.readline())).decode()
            assert log_line, "the process ended"
            event = ready.parse_event(log_line)
            assert event is not None, log_line
            if event.name == "control_endpoint_listening":
                listening_at = time.monotonic()
            elif event.name == "endpoint_list_stale":
                waits_s.append(float(re.findall(r"in ([0-9.]+) s", log_line)[0]))
            elif event.name == "serving":
                return StartLog(time.monotonic() - listening_at, waits_s, event.fields["after_ms"])
    finally:
        process.kill()
        await process.wait()


@pytest.mark.alone
@pytest.mark.parametrize(
    ("mode", "has_cached_servers", "takes_over", "waits_s"),
    [
        ("on_request", True, False, {"refused": [], "503": [], "hung": []}),
        ("on_request", False, False, {"refused": [1.0], "503": [1.0], "hung": [1.0]}),
        ("pushed", True, False, {"refused": [], "503": [5.0], "hung": [5.0]}),
        ("pushed", False, False, {"refused": [1.0], "503": [5.0], "hung": [5.0]}),
        ("on_request", True, True, {"refused": [3.0], "503": [3.0], "hung": [3.0]}),
        ("pushed", True, True, {"refused": [5.0], "503": [5.0], "hung": [5.0]}),
    ],
    ids=["polled", "polled-uncached", "pushed", "pushed-uncached", "takeover", "takeover-pushed"],
)
def test_restart_is_ready_within_its_waits_while_discovery_is_unreachable(
    *, mode: str, has_cached_servers: bool, takes_over: bool, waits_s: dict[str, list[float]], tmp_path: Path
) -> None:
    async def start_once(discovery_fault: str) -> None:
        discovery = UnavailableDiscovery(discovery_fault)
        await discovery.start_unavailable()
        servers = [endpoint_entry("s-1", f"{HOST}:9")] if has_cached_servers else []
        config = tmp_path / f"{discovery_fault}.json"
        content = {
            **VALID_CONFIG,
            "discovery": f"{HOST}:{discovery.port}",
            "known": {"version": 1, "full": True, "servers": servers},
            "settings": {**VALID_CONFIG["settings"], "discovery": mode},
        }
        config.write_text(json.dumps(content))
        try:
            with bind_and_listen((HOST, 0)) as listener:
                start_log = await _start(config, listener if takes_over else None)
        finally:
            discovery.stop()
        assert start_log.waits_s == waits_s[discovery_fault]
        assert start_log.elapsed_s < sum(waits_s[discovery_fault]) + ALLOWANCE_S
        assert start_log.after_ms < 1_000 * MAX_START_S
        assert start_log.after_ms >= 1_000 * sum(waits_s[discovery_fault])

    async def work() -> None:
        await asyncio.gather(*(start_once(each) for each in DISCOVERY_FAULTS))

    run_async(work)


def _serving_line(name: str, after_ms: int) -> str:
    return logs.format_event("serving", {"name": name, "address": "127.0.0.1:80", "after_ms": after_ms})


def _endpoint_list_stale_line() -> str:
    return logs.format_event("endpoint_list_stale", {"waited_s": 1.0})


def _run_report(logs_folder: Path, *options: str) -> Result:
    return CliRunner(catch_exceptions=False).invoke(ready.main, [str(logs_folder), *options])


def test_ready_report_finds_starts_and_restarts_in_text_and_json_logs(tmp_path: Path) -> None:
    roll, herd = tmp_path / "roll+mass", tmp_path / "herd+mass" / "n"
    roll.mkdir()
    herd.mkdir(parents=True)
    first_starts = [_serving_line(f"n{number}", 100 + number) for number in range(20)]
    restarts = [
        _endpoint_list_stale_line(),
        _serving_line("n3", 1_400),
        "draining",
        "drained",
        _serving_line("n3", 300),
    ]
    (roll / "sidecars.log").write_text("\n".join([*first_starts, *restarts, "something else {"]))
    common_keys = {"level": "info", "at": "2026-01-01T00:00:00Z"}
    listening = {"event": "control_endpoint_listening", "address": "127.0.0.1:81", **common_keys}
    serving = {"event": "serving", "name": "n1", "address": "127.0.0.1:80", "after_ms": 250, **common_keys}
    (herd / "n1.err").write_text(
        "\n".join(["12.5 " + json.dumps(listening), json.dumps(serving), "null", "{}", "[1"])
    )
    (herd / "n2.err").write_text(json.dumps(listening) + "\n")
    (herd / "core").write_bytes(b"\xff\x00{" * 100)
    json_report = _run_report(tmp_path, "--json")
    assert json_report.exit_code == 0, json_report.output
    report = json.loads(json_report.stdout)
    assert report["never_ready"] == ["herd+mass/n/n2.err"]
    assert report["folders"]["roll+mass"] == {
        "starts": {"count": 22, "p50": 111, "p90": 119, "longest": 1_400, "waited_in_vain": 1},
        "restarts": {"count": 2, "p50": 1_400, "p90": 1_400, "longest": 1_400, "waited_in_vain": 1},
    }
    assert report["folders"]["herd+mass/n"]["starts"]["longest"] == 250
    assert report["folders"]["herd+mass/n"]["restarts"]["count"] == 0
    assert report["folders"]["all"]["starts"]["count"] == 23
    table = _run_report(tmp_path)
    assert table.exit_code == 0, table.output
    assert "never ready: herd+mass/n/n2.err" in table.stdout


def test_ready_report_exits_with_an_error_when_a_folder_has_no_start(tmp_path: Path) -> None:
    assert _run_report(tmp_path).exit_code == 1
