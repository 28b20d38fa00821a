"""Pins the control endpoint: each command, each form of response, and the name of each metric."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
from loopback import HOST, OK_RESPONSE, http_request, run_async, sidecar_harness, within_timeout
from outside import request_stop, run_control_command
from running import SidecarProcess, sidecar_with_server

TELEMETRY_NAMES = """
app.downstream_requests.check.completed app.downstream_requests.check.rejected
app.downstream_requests.check.failed
app.downstream_requests.amend.completed app.downstream_requests.amend.rejected
app.downstream_requests.amend.failed
app.downstream_requests.lodge.completed app.downstream_requests.lodge.rejected
app.downstream_requests.lodge.failed
app.upstream_requests app.upstream_requests_withheld app.upstream_requests_recalled
app.responses_stalled
app.request_ids_unknown
app.endpoint_lists_applied
app.config_reloads app.config_reload_errors
app.client_closes.client_left app.client_closes.answered app.client_closes.idle app.client_closes.silent
app.client_closes.rejected app.client_closes.unread app.client_closes.answer_broken
app.client_closes.lingered app.client_closes.no_room
app.retries.overdue app.retries.error app.retries.full app.retries.expired app.retries.dial_failed
app.retries.dropped app.retries.cancelled app.retries.unsent app.retries.spoilt
app.refusals.max_open app.refusals.admission app.refusals.no_server app.refusals.no_retry
app.refusals.deadline app.refusals.at_fault
app.failures.admission app.failures.no_server app.failures.no_retry app.failures.deadline
app.failures.at_fault
app.malformed_responses.invalid_http app.malformed_responses.head_too_large
app.malformed_responses.body_too_large
app.malformed_responses.too_many_interim app.malformed_responses.before_request
app.malformed_responses.stalled app.malformed_responses.not_awaited
app.endpoint_lists_discarded.stale app.endpoint_lists_discarded.known
app.endpoint_lists_discarded.incomparable
app.discovery_calls_ended.no_response app.discovery_calls_ended.too_many
app.discovery_calls_ended.shutdown
app.pending app.members app.members_unavailable app.invariant_violations
app.resident_bytes app.peak_resident_bytes app.request_buffer_bytes app.response_buffer_bytes
app.paused_uploads app.event_loop_delay_ms app.max_event_loop_delay_ms
""".split()
LEVELS_TABLE = """
[[overload.levels]]
name = "spare"
over_share = ["check"]
"""


async def read_telemetry(running: SidecarProcess) -> dict[str, str]:
    first, *lines, last = await running.send_command("telemetry")
    assert (first, last) == ("+OK", ".")
    assert all(re.fullmatch(r"app\.[a-z_.]+=[0-9]+", each) for each in lines)
    return dict(each.split("=") for each in lines)


def test_control_endpoint_commands_and_metrics_without_levels(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            assert await running.send_command("readyz") == ["+OK ready"]
            telemetry = await read_telemetry(running)
            assert list(telemetry) == TELEMETRY_NAMES
            # How late the event loop was depends on the machine.
            del telemetry["app.event_loop_delay_ms"], telemetry["app.max_event_loop_delay_ms"]
            assert {name for name, value in telemetry.items() if value != "0"} == {
                "app.members",
                "app.endpoint_lists_applied",
                "app.resident_bytes",
                "app.peak_resident_bytes",
            }
            client = await running.connect()
            assert (await client.send_request("lodge")).status == 200
            client.send(http_request("lodge", Connection="close", Request_Class="nobody"))
            assert (await client.read_response()).status == 400
            assert await within_timeout(client.reader.read()) == b""
            telemetry = await read_telemetry(running)
            assert telemetry["app.downstream_requests.lodge.completed"] == "1"
            assert telemetry["app.upstream_requests"] == telemetry["app.members"] == "1"
            assert await running.send_command("level") == ["-ERR no levels are set"]
            assert await running.send_command("evacuate") == ["+OK evacuating"]
            assert await running.send_command("readyz") == ["-ERR evacuating"]
            assert await running.send_command("activate") == ["+OK serving"]
            assert await running.send_command("readyz") == ["+OK ready"]
            assert await running.send_command("") == ["-ERR empty call"]
            assert await running.send_command("nobody") == [
                "-ERR unknown call; known are readyz, telemetry, level, evacuate, activate"
            ]
            assert await running.send_command("x" * 300) == ["-ERR the line is too long"]
            assert await running.send_command("\u00e9") == ["-ERR a call is one line of ASCII"]

    run_async(scenario)


def test_control_endpoint_commands_and_metrics_with_levels(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            assert list(await read_telemetry(running)) == [*TELEMETRY_NAMES, "app.level", "app.level_changes"]
            (response,) = await running.send_command("level")
            assert re.fullmatch(r"\+OK full for [0-9]+ s; refused 0\.0%, wanted 0% of the window", response)

    (tmp_path / "operator.toml").write_text(LEVELS_TABLE)
    monkeypatch.setenv("BALANCER_OPERATOR", str(tmp_path / "operator.toml"))
    run_async(scenario)


def test_control_commands_report_phase() -> None:
    async def scenario() -> None:
        async with sidecar_harness(OK_RESPONSE, started=False) as harness:
            assert run_control_command(harness, "readyz") == "-ERR starting"
            assert run_control_command(harness, "evacuate") == "+OK evacuating"
            assert run_control_command(harness, "activate") == "+OK starting"
            request_stop(harness)
            assert run_control_command(harness, "readyz") == "-ERR stopping"
            assert run_control_command(harness, "evacuate") == "+OK stopping"
            assert run_control_command(harness, "activate") == "-ERR stopping"

    run_async(scenario)


@pytest.mark.parametrize(
    ("incomplete_line", "response"), [(b"readyz", b"-ERR the line has no end\n"), (b"", b"-ERR empty call\n")]
)
def test_control_endpoint_rejects_line_without_end(
    incomplete_line: bytes, response: bytes, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            reader, writer = await asyncio.open_connection(HOST, running.control_port)
            writer.write(incomplete_line)
            writer.write_eof()
            assert await within_timeout(reader.read()) == response
            writer.close()

    run_async(scenario)
