"""Time to ready of each start that a folder of logs tells of.

    python -m benchmarks.ready LOGS [--json]

LOGS is a folder with the logs of sidecars, in any depth, as text or JSON lines; whatever else stands in it
is skipped.  One row a folder and one for all: how many processes became ready, the median, the ninetieth in
a hundred and the longest time from the program's first line to ready (ms), all starts and restarts (each
start of a name in a folder but its first) apart, and how many waited for a list in vain.  A process that
wrote something and never said that it serves is named.  Exit codes: 0, or 1 if there is no start in LOGS.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tulipnotch.lab.recorder import at_rank
from tulipnotch.sidecar.logs import EVENTS


def _pattern(event: str, **forms: str) -> re.Pattern[str]:
    """The event's line for people, anywhere in a line; fields are words unless `forms` says more."""
    pieces = re.split(r"\{(\w+)[^}]*\}", EVENTS[event].text)
    return re.compile(
        "".join(
            f"(?P<{each}>{forms.get(each, r'[^ ]+')})" if place % 2 else re.escape(each)
            for place, each in enumerate(pieces)
        )
    )


_SERVING = _pattern("serving", after_ms=r"\d+")
_TEXT = {
    "control_endpoint_listening": _pattern("control_endpoint_listening"),
    "endpoint_list_stale": _pattern("endpoint_list_stale"),
    "discovery_failed": _pattern("discovery_failed", fault=".+"),
}


@dataclass(frozen=True, slots=True)
class Start:
    """One process that became ready."""

    folder: str
    name: str
    after_ms: int
    waited_in_vain: bool


@dataclass(frozen=True, slots=True)
class Read:
    """What a folder of logs tells."""

    starts: list[Start]  # in the order of their files' last change, and of their lines
    never_ready: list[str]  # logs of processes that wrote something else only


@dataclass(frozen=True, slots=True)
class Figures:
    """Of some starts; times in ms, None where there is no start."""

    count: int
    p50: int | None
    p90: int | None
    longest: int | None
    waited_in_vain: int

    @staticmethod
    def of(starts: Sequence[Start]) -> Figures:
        times = sorted(each.after_ms for each in starts)
        waited = sum(each.waited_in_vain for each in starts)
        if not times:
            return Figures(0, None, None, None, waited)
        return Figures(len(times), at_rank(times, 0.5), at_rank(times, 0.9), times[-1], waited)


def event_of(line: str) -> tuple[str, dict[str, Any]] | None:
    """The event of a line of our log and its fields, whatever stands before it; None: none that counts."""
    place = line.find("{")
    if place >= 0:
        try:
            given = json.loads(line[place:])
        except (ValueError, RecursionError):
            given = None
        if isinstance(given, dict) and given.get("event") in EVENTS:
            return given["event"], given
    told = _SERVING.search(line)
    if told is not None:
        return "serving", {**told.groupdict(), "after_ms": int(told["after_ms"])}
    return next(((event, {}) for event, form in _TEXT.items() if form.search(line)), None)


def starts_in(lines: Iterator[str], folder: str) -> tuple[list[Start], bool]:
    """The starts of one log, and whether the last process in it began and never became ready."""
    starts: list[Start] = []
    begun = waited = False
    for line in lines:
        found = event_of(line)
        if found is None:
            continue
        event, fields = found
        if event == "serving":
            after_ms = fields.get("after_ms")
            if isinstance(after_ms, int):
                starts.append(Start(folder, str(fields.get("name")), after_ms, waited))
            begun = waited = False
        elif event == "endpoint_list_stale":  # written by a start only
            begun = waited = True
        elif event == "control_endpoint_listening" or not starts:
            begun = True
    return starts, begun


def read(root: Path) -> Read:
    """Every log below this folder; what is no text is read as far as it is."""
    starts: list[Start] = []
    never_ready: list[str] = []
    files = [each for each in root.rglob("*") if each.is_file()]
    for path in sorted(files, key=lambda each: (each.stat().st_mtime_ns, str(each))):
        folder = str(path.parent.relative_to(root))
        with path.open(encoding="utf-8", errors="replace") as lines:
            found, is_unready = starts_in(iter(lines), folder)
        starts += found
        if is_unready:
            never_ready.append(str(path.relative_to(root)))
    return Read(starts, never_ready)


def restarts(starts: Sequence[Start]) -> list[Start]:
    """Each start of a name in a folder but the first."""
    seen: set[tuple[str, str]] = set()
    again = []
    for each in starts:
        if (each.folder, each.name) in seen:
            again.append(each)
        seen.add((each.folder, each.name))
    return again


def rows(told: Read) -> dict[str, dict[str, Figures]]:
    """The figures of each folder, and of all as `all`: of all `starts`, and of the `restarts` among them."""
    by_folder: dict[str, list[Start]] = {}
    for each in told.starts:
        by_folder.setdefault(each.folder, []).append(each)
    again = restarts(told.starts)
    table = {
        folder: {
            "starts": Figures.of(starts),
            "restarts": Figures.of([each for each in again if each.folder == folder]),
        }
        for folder, starts in sorted(by_folder.items())
    }
    return {**table, "all": {"starts": Figures.of(told.starts), "restarts": Figures.of(again)}}


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.ready",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("logs", type=Path, metavar="LOGS")
    parser.add_argument("--json", action="store_true", help="one object, in place of the table")
    given = parser.parse_args(arguments)
    told = read(given.logs)
    table = rows(told)
    if given.json:
        whole = {
            "folders": {
                folder: {
                    kind: {name: getattr(each, name) for name in Figures.__dataclass_fields__}
                    for kind, each in kinds.items()
                }
                for folder, kinds in table.items()
            },
            "never_ready": told.never_ready,
        }
        print(json.dumps(whole))
    else:
        print(f"{'folder':30} {'':8} count    p50    p90 longest  waited in vain   (ms)")
        for folder, kinds in table.items():
            for kind, each in kinds.items():
                times = " ".join("     -" if at is None else f"{at:6}" for at in (each.p50, each.p90))
                longest = "-" if each.longest is None else each.longest
                print(f"{folder:30} {kind:8} {each.count:5} {times} {longest:>7} {each.waited_in_vain:15}")
        if told.never_ready:
            print(f"never ready: {', '.join(told.never_ready)}")
    return 0 if told.starts else 1


if __name__ == "__main__":
    sys.exit(main())
