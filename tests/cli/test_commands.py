"""The command line, as users and scripts call it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import click
import pytest
from click.testing import CliRunner, Result
from loopback import HOST, OK_RESPONSE, run_async, within_timeout
from running import ROOT, VALID_CONFIG, run_expecting_failure, sidecar_with_server

from tulipnotch.cli.root import LazyGroup, root

COMMAND = (sys.executable, "-c", "from tulipnotch.cli import main; main()")


def invoke(*arguments: str) -> Result:
    """Runs the command with these arguments in this process."""
    return CliRunner().invoke(root, list(arguments))


def _command_paths(group: click.Command, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    if not isinstance(group, click.Group):
        return [path]
    context = click.Context(group)
    paths = [path] if path else []
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        assert command is not None
        paths += _command_paths(command, (*path, name))
    return paths


def test_help_of_every_subcommand_has_examples_and_exit_codes() -> None:
    paths = _command_paths(root)
    assert {("ctl",), ("check",), ("run",)} <= set(paths)
    for path in paths:
        result = invoke(*path, "--help")
        assert result.exit_code == 0
        assert "Examples:" in result.output, path
        assert "Exit codes:" in result.output, path


def test_subcommand_that_is_not_installed_is_reported_on_one_line() -> None:
    group = LazyGroup("x", locations={"missing": ("nowhere_to_be_found", "missing")})
    result = CliRunner().invoke(group, ["missing"])
    assert result.exit_code == 1
    assert result.output.count("\n") == 1
    assert "nowhere_to_be_found, which is not installed" in result.output


def test_run_imports_no_library_of_the_command_line_or_the_laboratory() -> None:
    # Whatever `run` imports counts against the memory limit of small machines.
    script = (
        "import sys; import tulipnotch.sidecar.__main__, tulipnotch.cli; "
        "print(*(m for m in ('click','rich','msgspec','structlog','numpy','matplotlib','jinja2',"
        "'tulipnotch.lab','tulipnotch.settings') if m in sys.modules))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True, cwd=ROOT
    )
    assert completed.stdout == "\n"


def test_run_replaces_its_process_with_a_sidecar_that_reads_the_given_files(tmp_path: Path) -> None:
    config, operator = tmp_path / "config.json", tmp_path / "operator.toml"
    config.write_text(json.dumps(VALID_CONFIG))
    operator.write_text('[log]\nformat = "json"\n')
    process = subprocess.Popen(
        [*COMMAND, "run", "--config", str(config), "--operator", str(operator)],
        stderr=subprocess.PIPE, text=True, cwd=ROOT, env=dict(os.environ),
    )  # fmt: skip
    assert process.stderr is not None
    timeout = threading.Timer(60, process.kill)
    timeout.start()
    events = [json.loads(process.stderr.readline())]
    while events[-1]["event"] != "serving":
        events.append(json.loads(process.stderr.readline()))
    process.send_signal(signal.SIGTERM)
    later_events = [json.loads(each) for each in process.stderr]
    timeout.cancel()
    assert process.wait(20) == 0
    assert {each["event"] for each in events} == {
        "control_endpoint_listening", "serving", "endpoint_list_stale", "discovery_failed",
    }  # fmt: skip
    assert events[-1].keys() == {"event", "level", "at", "name", "address", "after_ms"}
    # The process has neither a cached nor a fresh endpoint list, so it waits; `after_ms` includes the wait.
    (waited_s,) = [each["waited_s"] for each in events if each["event"] == "endpoint_list_stale"]
    assert events[-1]["after_ms"] >= 1_000 * waited_s
    assert [each["event"] for each in later_events] == ["draining", "drained"]
    process.stderr.close()


def test_start_fails_with_all_faults_of_an_invalid_operator_file_on_one_line(tmp_path: Path) -> None:
    stderr = run_expecting_failure(
        tmp_path, json.dumps(VALID_CONFIG), '[log]\nformat = "yaml"\nlines_pers = 3\n'
    )
    assert stderr.startswith("tulipnotch: config: BALANCER_OPERATOR: ")
    assert "line 2: log.format" in stderr
    assert "line 3: log.lines_pers" in stderr


def test_check_reports_every_fault_of_a_configuration_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    settings: dict[str, Any] = {
        "lanes": [{"name": "look", "giveUpUs": -1, "repeat": "sometimes"}, {"name": "look", "giveUpUs": 5}],
        "bounds": {"sendCap": 0, "retryAfter": "yes"},
    }
    invalid_config = {
        **VALID_CONFIG,
        "listen": "localhost:80",
        "seed": "xyz",
        "limits": {"sockets": 3},
        "settings": settings,
    }
    path.write_text(json.dumps(invalid_config, indent=1))
    result = invoke("check", str(path), "--json")
    assert result.exit_code == 2
    faults = json.loads(result.output)["faults"]
    assert {each["key"] for each in faults} == {
        "listen", "seed", "limits.sockets", "settings.bounds.retryAfter", "settings.lanes",
        "settings.lanes[0].giveUpUs", "settings.lanes[0].repeat", "settings.bounds.sendCap",
    }  # fmt: skip
    lines = path.read_text().splitlines()
    for each in faults:
        last_key = each["key"].rpartition(".")[2].partition("[")[0]
        assert f'"{last_key}"' in lines[each["line"] - 1], each


def test_check_accepts_a_valid_configuration_and_the_deployed_operator_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID_CONFIG))
    result = invoke("check", str(path), str(ROOT / "deploy" / "operator.toml"))
    assert (result.exit_code, result.output.count(": a good ")) == (0, 2)


@pytest.mark.parametrize("text", ["", "{", "[1]", '{"a": NaN}', '{"a": 1, "a": 2}'])
def test_check_reports_one_fault_for_a_file_that_is_not_a_json_object(text: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    result = invoke("check", str(path))
    assert (result.exit_code, result.output.count("\n")) == (2, 1)
    assert result.output.startswith(f"{path}: ")


def test_ctl_prints_the_response_and_exits_with_the_code_of_its_status(tmp_path: Path) -> None:
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            address = f"{HOST}:{running.control_port}"

            async def ctl(*arguments: str) -> tuple[int, str]:
                process = await asyncio.create_subprocess_exec(
                    *COMMAND, "ctl", address, *arguments, stdout=-1, stderr=-2, cwd=ROOT
                )
                output, _ = await within_timeout(process.communicate())
                assert process.returncode is not None
                return process.returncode, output.decode()

            assert (await (await running.connect()).send_request("lodge")).status == 200
            assert await ctl("readyz") == (0, "+OK ready\n")
            code, output = await ctl("telemetry", "--json")
            assert code == 0
            assert json.loads(output)["figures"]["app.downstream_requests.lodge.completed"] == 1
            assert (await ctl("evacuate"))[0] == 0
            assert await ctl("readyz", "--json") == (1, '{"ok": false, "text": "evacuating"}\n')
            running.process.kill()
            await running.process.wait()
            code, output = await ctl("readyz")
            assert code == 3
            assert output.startswith(f"{address} did not respond: ")
            assert output.count("\n") == 1

    run_async(work)


def test_ctl_rejects_an_address_that_is_not_numeric() -> None:
    result = invoke("ctl", "localhost:80", "readyz")
    assert result.exit_code == 2
    assert "address:port is needed" in result.output
