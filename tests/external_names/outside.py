"""The only door from these tests to the program: whoever renames inside it adapts this module, and no pin.

The tests beside it hold what others rely on as literals, so nothing here hands out a name of the program.
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
COMMAND = (sys.executable, "-c", "from tulipnotch.cli import main; main()")

# The actions by the simulator's names, each built of the values in the simulator's order.
ACTIONS: dict[str, Callable[..., Any]] = {
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


def settings_of_wire(given: object) -> object:
    """Settings as the decisions get them, of the simulator's form; ValueError on nonsense."""
    return settings_from_wire(given)


def settings_of_plain(given: dict[str, Any]) -> object:
    """Settings as the decisions get them, of the program's own form; ValueError on nonsense."""
    return settings_from_mapping(given)


def put(given: dict[str, Any], path: str, value: object) -> dict[str, Any]:
    """A copy of `given` with the value at a path such as `lanes[0].name`; what is missing on it is made."""
    copy: dict[str, Any] = json.loads(json.dumps(given))
    place: Any = copy
    *way, last = [int(each) if each.isdigit() else each for each in re.findall(r"\w+", path)]
    for each, following in pairwise([*way, last]):
        empty: Any = [{}] if isinstance(following, int) else {}
        place = place[each] if isinstance(each, int) else place.setdefault(each, empty)
    place[last] = value
    return copy


def configuration(given: dict[str, Any]) -> list[Any]:
    """All values of a configuration as the program gets them, by place."""
    return plain(parse_config(given))


# The simulator's adapter


def adapter(*batches: Iterable[list[Any]]) -> list[list[Any]]:
    """Play batches through the adapter, one frame each 5 ms; give the replies, which must have no fault."""
    lines: list[list[Any]] = []
    for number, batch in enumerate(batches):
        lines += [["FRAME", 1_000_000 + 5_000 * number], *batch, ["COMMIT"]]
    code, out, err = adapter_text("".join(json.dumps(each) + "\n" for each in lines))
    assert (code, err) == (0, "")
    return [json.loads(each) for each in out.splitlines()]


def adapter_text(text: str) -> tuple[int, str, str]:
    """Exit code, standard output and standard error of the adapter for this input."""
    out, err = io.StringIO(), io.StringIO()
    return run_adapter(io.StringIO(text), out, err), out.getvalue(), err.getvalue()


# The decisions, heard or replaced


class Decisions:
    """Stands in for the decisions: keeps what it hears, and answers by a script or as they do."""

    def __init__(self, script: Callable[[list[Any]], list[Any]] | None) -> None:
        self.heard: list[list[Any]] = []  # of each event, its values by place
        self._script = script
        self._real: Any = None

    def __call__(self, settings: Any, seed: int) -> Decisions:
        self._real = Balancer(settings, seed)
        return self

    def handle(self, now: int, event: Any) -> Any:
        values = plain(event)
        self.heard.append(values)
        return self._real.handle(now, event) if self._script is None else self._script(values)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)

    def hears(self, value: object) -> bool:
        """Whether any event carried this value, of the same type."""
        return any(repr(value) == repr(each) for event in self.heard for each in event)

    def of(self, value: object) -> list[list[Any]]:
        """The events that carried this value."""
        return [event for event in self.heard if any(repr(value) == repr(each) for each in event)]


def decisions(
    monkeypatch: pytest.MonkeyPatch, script: Callable[[list[Any]], list[Any]] | None = None
) -> Decisions:
    """Hear what the decisions hear, in sidecars and in the adapter; with a script, decide in their place."""
    stand_in = Decisions(script)
    monkeypatch.setattr(_BALANCER_OF_SIDECAR, stand_in)
    monkeypatch.setattr(_BALANCER_OF_ADAPTER, stand_in)
    return stand_in


def plain(thing: Any) -> list[Any]:
    """All values in a dataclass by place, without their names."""
    if dataclasses.is_dataclass(thing):
        return [value for each in dataclasses.fields(thing) for value in plain(getattr(thing, each.name))]
    if isinstance(thing, (list, tuple, set, frozenset)):
        return [value for each in thing for value in plain(each)]
    return [thing]


# The sidecar


def door(harness: SidecarHarness, call: str) -> str:
    """What an operator would be told by a sidecar in this process: the answer's first line."""
    try:
        return f"+OK {harness.sidecar.command_handlers()[call]()[0]}"
    except CommandRejectedError as reason:
        return f"-ERR {reason}"


def figures(harness: SidecarHarness) -> list[str]:
    """The figures of a sidecar in this process, as an operator gets them."""
    return list(harness.sidecar.command_handlers()["telemetry"]())


def listen(harness: SidecarHarness) -> None:
    """Let a sidecar in this process take clients before it is ready."""
    harness.sidecar.downstream.listen(bind_and_listen((HOST, 0)))


def stop(harness: SidecarHarness) -> None:
    """Let a sidecar in this process be told to end, without waiting for it."""
    harness.sidecar.lifecycle.stop()


def set_by_operator(path: Path) -> list[Any]:
    """All values that an operator file sets in the program, by place."""
    classes = [{"name": name, "giveUpUs": 2_000_000} for name in ("look", "odd")]
    place = load_operator_options(str(path), parse_config(put(CONFIGURATION, "settings.lanes", classes)))
    log = [vars(place.log)["_limits"], vars(place.log)["_write"].__qualname__]
    rest = [getattr(place, each.name) for each in dataclasses.fields(place)][1:]
    return [
        value
        for each in (*log, *rest)
        for value in plain(list(each.items()) if hasattr(each, "items") else each)
    ]


class Peer:
    """A sidecar's end of the datagrams between sidecars."""

    def __init__(self, addresses: tuple[tuple[str, int], ...], everyone: tuple[str, int] | None) -> None:
        self.heard: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        self._own = addresses[0]
        self._end = PeerMessenger(addresses, everyone, 0, lambda by, what: self.heard.put_nowait((by, what)))

    async def __aenter__(self) -> Peer:
        await self._end.listen(self._own)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._end.close()

    def tell(self, receiver: int | None, payload: bytes) -> bool:
        return self._end.send(receiver, payload)


# Processes


def command(*arguments: str, **environ: str) -> subprocess.CompletedProcess[str]:
    """Call the command line in a process of its own."""
    return _called([*COMMAND, *arguments], environ)


def sidecar_in_vain(**environ: str) -> subprocess.CompletedProcess[str]:
    """Start `python -m tulipnotch.sidecar` where it must end by itself."""
    return _called([sys.executable, "-m", "tulipnotch.sidecar"], environ)


def _called(call: list[str], environ: dict[str, str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        call, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=60, check=False
    )


def faults(folder: Path, texts: list[str], suffix: str) -> list[dict[str, str]]:
    """The faults that `tulipnotch check` finds in each of these files, in one call: key to text."""
    paths = [folder / f"{number}{suffix}" for number in range(len(texts))]
    for path, text in zip(paths, texts, strict=True):
        path.write_text(text)
    told = command("check", "--json", *map(str, paths)).stdout.splitlines()
    assert len(told) == len(texts)
    return [{each["key"]: each["text"] for each in json.loads(line)["faults"]} for line in told]


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
