"""The operators' door of a running process: each call, each form of answer, each figure."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest
from loopback import HOST, OK, play, request, soon, stage
from outside import door, stop
from running import Program, program

FIGURES = """
app.downstream_requests.check.completed app.downstream_requests.check.rejected
app.downstream_requests.check.failed
app.downstream_requests.amend.completed app.downstream_requests.amend.rejected
app.downstream_requests.amend.failed
app.downstream_requests.lodge.completed app.downstream_requests.lodge.rejected
app.downstream_requests.lodge.failed
app.upstream_requests app.upstream_requests_withheld
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
app.pending app.members app.members_unavailable app.invariant_violations
""".split()
LEVELS = """
[[overload.levels]]
name = "spare"
over_share = ["check"]
"""


async def figures(running: Program) -> dict[str, str]:
    first, *lines, last = await running.call("telemetry")
    assert (first, last) == ("+OK", ".")
    assert all(re.fullmatch(r"app\.[a-z_.]+=[0-9]+", each) for each in lines)
    return dict(each.split("=") for each in lines)


def test_calls_and_figures_without_levels(tmp_path: Path) -> None:
    async def work() -> None:
        async with program(OK, tmp_path) as running:
            assert await running.call("readyz") == ["+OK ready"]
            told = await figures(running)
            assert list(told) == FIGURES
            assert {name for name, value in told.items() if value != "0"} == {"app.members"}
            client = await running.client()
            assert (await client.ask("lodge")).status == 200
            client.send(request("lodge", Connection="close", Request_Class="nobody"))
            assert (await client.answer()).status == 400
            assert await soon(client.reader.read()) == b""
            told = await figures(running)
            assert told["app.downstream_requests.lodge.completed"] == "1"
            assert told["app.upstream_requests"] == told["app.members"] == "1"
            assert await running.call("level") == ["-ERR no levels are set"]
            assert await running.call("evacuate") == ["+OK evacuating"]
            assert await running.call("readyz") == ["-ERR evacuating"]
            assert await running.call("activate") == ["+OK serving"]
            assert await running.call("readyz") == ["+OK ready"]
            assert await running.call("") == ["-ERR empty call"]
            assert await running.call("nobody") == [
                "-ERR unknown call; known are readyz, telemetry, level, evacuate, activate"
            ]
            assert await running.call("x" * 300) == ["-ERR the line is too long"]
            assert await running.call("\u00e9") == ["-ERR a call is one line of ASCII"]

    play(work)


def test_calls_and_figures_with_levels(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        async with program(OK, tmp_path) as running:
            assert list(await figures(running)) == [*FIGURES, "app.level", "app.level_changes"]
            (told,) = await running.call("level")
            assert re.fullmatch(r"\+OK full for [0-9]+ s; refused 0\.0%, wanted 0% of the window", told)

    (tmp_path / "operator.toml").write_text(LEVELS)
    monkeypatch.setenv("BALANCER_OPERATOR", str(tmp_path / "operator.toml"))
    play(work)


def test_phases_are_told() -> None:
    async def work() -> None:
        async with stage(OK, started=False) as scene:
            assert door(scene, "readyz") == "-ERR starting"
            assert door(scene, "evacuate") == "+OK evacuating"
            assert door(scene, "activate") == "+OK starting"
            stop(scene)
            assert door(scene, "readyz") == "-ERR stopping"
            assert door(scene, "evacuate") == "+OK stopping"
            assert door(scene, "activate") == "-ERR stopping"

    play(work)


@pytest.mark.parametrize(
    ("part", "answer"), [(b"readyz", b"-ERR the line has no end\n"), (b"", b"-ERR empty call\n")]
)
def test_call_without_an_end_is_none(part: bytes, answer: bytes, tmp_path: Path) -> None:
    async def work() -> None:
        async with program(OK, tmp_path) as running:
            reader, writer = await asyncio.open_connection(HOST, running.control_port)
            writer.write(part)
            writer.write_eof()
            assert await soon(reader.read()) == answer
            writer.close()

    play(work)
