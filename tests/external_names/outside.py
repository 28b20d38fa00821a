"""Adapter between these tests and the program; the tests themselves import nothing from it.

The tests state the names that others rely on as literals.  A rename inside the program changes only this
module and none of those literals, so nothing here returns a name of the program.
"""

from __future__ import annotations

import asyncio
import dataclasses
import io
import json
import re
import subprocess
import sys
from collections.abc import Callable, Iterable
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, SidecarHarness
from running import ROOT

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogEvent,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    Subscribe,
)
from tulipnotch.load_balancing.settings_reader import settings_from_mapping
from tulipnotch.sidecar.configuration.configuration import parse_config
from tulipnotch.sidecar.control.endpoint import CommandRejectedError
from tulipnotch.sidecar.discovery.peers import PeerMessenger
from tulipnotch.sidecar.downstream.listener import bind_and_listen
from tulipnotch.sidecar.operator_file import load_operator_options
from tulipnotch.simulator_wire.adapter import run_adapter
from tulipnotch.simulator_wire.names import settings_from_wire

PACKAGE = "tulipnotch"
_BALANCER_OF_SIDECAR = "tulipnotch.sidecar.sidecar.Balancer"
_BALANCER_OF_ADAPTER = "tulipnotch.simulator_wire.adapter.Balancer"
COMMAND_LINE = (sys.executable, "-c", "from tulipnotch.cli import main; main()")

# Actions keyed by the name on the simulator's wire; each takes its values in the order of the wire.
ACTIONS_BY_WIRE_NAME: dict[str, Callable[..., Any]] = {
    "ASSIGN": StartAttempt,
    "NOT_NOW": RejectRequest,
    "SURRENDER": FailRequest,
    "ABORT_ATTEMPT": CancelAttempt,
    "REMIND": SetTimer,
    "CHECK": StartHealthCheck,
    "SHUT_IDLE": CloseIdleConnections,
    "POST": SendPeerMessage,
    "FOLLOW": Subscribe,
    "REFRESH": FetchEndpoints,
    "REMARK": LogEvent,
}


def parse_wire_settings(mapping: object) -> object:
    """Converts settings from the simulator's format to those of the balancer; ValueError if invalid."""
    return settings_from_wire(mapping)


def parse_plain_settings(mapping: dict[str, Any]) -> object:
    """Converts settings from the program's own format to those of the balancer; ValueError if invalid."""
    return settings_from_mapping(mapping)


def with_value(mapping: dict[str, Any], path: str, value: object) -> dict[str, Any]:
    """Returns a copy of `mapping` with a value at a path such as `lanes[0].name`; adds missing parents."""
    copy: dict[str, Any] = json.loads(json.dumps(mapping))
    node: Any = copy
    *parents, last = [int(each) if each.isdigit() else each for each in re.findall(r"\w+", path)]
    for each, following in pairwise([*parents, last]):
        container: Any = [{}] if isinstance(following, int) else {}
        node = node[each] if isinstance(each, int) else node.setdefault(each, container)
    node[last] = value
    return copy


def configuration_values(mapping: dict[str, Any]) -> list[Any]:
    """Parses a configuration and returns all values of the result, in the order of its fields."""
    return field_values(parse_config(mapping))


# The simulator's adapter


def run_adapter_batches(*batches: Iterable[list[Any]]) -> list[list[Any]]:
    """Runs the adapter on batches that are 5 ms apart, asserts that it succeeds, and returns its output."""
    lines: list[list[Any]] = []
    for number, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * number], *batch, ["COMMIT"]]
    code, output, errors = run_adapter_on_text("".join(json.dumps(each) + "\n" for each in lines))
    assert (code, errors) == (0, "")
    return [json.loads(each) for each in output.splitlines()]


def run_adapter_on_text(text: str) -> tuple[int, str, str]:
    """Runs the adapter on this input; returns its exit code, standard output and standard error."""
    output, errors = io.StringIO(), io.StringIO()
    return run_adapter(io.StringIO(text), output, errors), output.getvalue(), errors.getvalue()


# The balancer, recorded or replaced


class RecordingBalancer:
    """Replaces the balancer: records the events and responds by `decide`, or else by the real balancer."""

    def __init__(self, decide: Callable[[list[Any]], list[Any]] | None) -> None:
        self.received_events: list[list[Any]] = []  # Field values of each event, in the order of the fields.
        self._decide = decide
        self._balancer: Any = None

    def __call__(self, settings: Any, seed: int) -> RecordingBalancer:
        self._balancer = Balancer(settings, seed)
        return self

    def handle(self, now: int, event: Any) -> Any:
        values = field_values(event)
        self.received_events.append(values)
        return self._balancer.handle(now, event) if self._decide is None else self._decide(values)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._balancer, name)

    def has_received_value(self, value: object) -> bool:
        """Returns whether any event contained this value, with the same type."""
        return any(repr(value) == repr(each) for event in self.received_events for each in event)

    def events_with_value(self, value: object) -> list[list[Any]]:
        """Returns the events that contained this value, with the same type."""
        return [event for event in self.received_events if any(repr(value) == repr(each) for each in event)]


def install_recording_balancer(
    monkeypatch: pytest.MonkeyPatch, decide: Callable[[list[Any]], list[Any]] | None = None
) -> RecordingBalancer:
    """Installs a recording balancer in sidecars and in the adapter; `decide` replaces its decisions."""
    balancer = RecordingBalancer(decide)
    monkeypatch.setattr(_BALANCER_OF_SIDECAR, balancer)
    monkeypatch.setattr(_BALANCER_OF_ADAPTER, balancer)
    return balancer


def field_values(value_tree: Any) -> list[Any]:
    """Returns all values in nested dataclasses and collections as a flat list, without the field names."""
    if dataclasses.is_dataclass(value_tree):
        return [
            value
            for each in dataclasses.fields(value_tree)
            for value in field_values(getattr(value_tree, each.name))
        ]
    if isinstance(value_tree, (list, tuple, set, frozenset)):
        return [value for each in value_tree for value in field_values(each)]
    return [value_tree]


# The sidecar


def run_control_command(harness: SidecarHarness, command: str) -> str:
    """Runs a control command in a sidecar in this process; returns the first line of the response."""
    try:
        return f"+OK {harness.sidecar.command_handlers()[command]()[0]}"
    except CommandRejectedError as reason:
        return f"-ERR {reason}"


def telemetry_lines(harness: SidecarHarness) -> list[str]:
    """Returns the lines of the telemetry command of a sidecar in this process."""
    return list(harness.sidecar.command_handlers()["telemetry"]())


def start_listening(harness: SidecarHarness) -> None:
    """Makes a sidecar in this process accept connections before it is ready."""
    harness.sidecar.downstream.listen(bind_and_listen((HOST, 0)))


def request_stop(harness: SidecarHarness) -> None:
    """Requests a sidecar in this process to stop, without waiting for it."""
    harness.sidecar.lifecycle.stop()


def operator_option_values(path: Path) -> list[Any]:
    """Returns all option values that the program reads from an operator file, in the order of its fields."""
    classes = [{"name": name, "giveUpUs": 2_000_000} for name in ("look", "odd")]
    options = load_operator_options(
        str(path), parse_config(with_value(CONFIGURATION, "settings.lanes", classes))
    )
    log = [vars(options.log)["_limits"], vars(options.log)["_write"].__qualname__]
    other_options = [getattr(options, each.name) for each in dataclasses.fields(options)][1:]
    return [
        value
        for each in (*log, *other_options)
        for value in field_values(list(each.items()) if hasattr(each, "items") else each)
    ]


class PeerEndpoint:
    """A sidecar's messenger for datagrams between sidecars, with a queue of the received messages."""

    def __init__(
        self, addresses: tuple[tuple[str, int], ...], broadcast_address: tuple[str, int] | None
    ) -> None:
        self.received_messages: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        self._own_address = addresses[0]
        self._messenger = PeerMessenger(
            addresses,
            broadcast_address,
            0,
            lambda sender, payload: self.received_messages.put_nowait((sender, payload)),
        )

    async def __aenter__(self) -> PeerEndpoint:
        await self._messenger.listen(self._own_address)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._messenger.close()

    def send(self, receiver: int | None, payload: bytes) -> bool:
        return self._messenger.send(receiver, payload)


# Processes


def run_command_line(*arguments: str, **environ: str) -> subprocess.CompletedProcess[str]:
    """Runs the command line in a separate process."""
    return _run_process([*COMMAND_LINE, *arguments], environ)


def run_failing_sidecar(**environ: str) -> subprocess.CompletedProcess[str]:
    """Runs `python -m tulipnotch.sidecar` in an environment in which it must fail to start."""
    return _run_process([sys.executable, "-m", "tulipnotch.sidecar"], environ)


def _run_process(command: list[str], environ: dict[str, str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=60, check=False
    )


def check_files(folder: Path, texts: list[str], suffix: str) -> list[dict[str, str]]:
    """Writes these files and runs `tulipnotch check` on all of them once.

    Returns:
        For each file, the text of each reported fault, by its key.
    """
    paths = [folder / f"{number}{suffix}" for number in range(len(texts))]
    for path, text in zip(paths, texts, strict=True):
        path.write_text(text)
    report_lines = run_command_line("check", "--json", *map(str, paths)).stdout.splitlines()
    assert len(report_lines) == len(texts)
    return [{each["key"]: each["text"] for each in json.loads(line)["faults"]} for line in report_lines]


CONFIGURATION: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:0",
    "control": f"{HOST}:0",
    "discovery": f"{HOST}:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"version": 1, "full": True, "servers": []},
    "settings": {"lanes": [{"name": "look", "giveUpUs": 2_000_000}]},
}
