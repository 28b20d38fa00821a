"""Time to ready of each start that a folder of logs records.

    python -m benchmarks.ready LOGS [--json]

LOGS is a folder with the logs of sidecars, in any depth, as text or JSON lines; other files in it are
skipped.  The report has one row for each folder and one for all: how many processes became ready, the median,
the 90th percentile and the longest time from the program's first line to ready (ms), and how many waited in
vain for an endpoint list.  Starts and restarts (each start of a name in a folder except its first) are listed
separately.  A log whose last process wrote something and never became ready is named.  Exit codes: 0, or 1 if
there is no start in LOGS.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from tulipnotch.lab.recorder import value_at_rank
from tulipnotch.sidecar.logs import EVENTS


def _event_pattern(event: str, **field_patterns: str) -> re.Pattern[str]:
    """Returns a pattern of the event's text form; a field without a pattern of its own is one word."""
    pieces = re.split(r"\{(\w+)[^}]*\}", EVENTS[event].text)
    return re.compile(
        "".join(
            f"(?P<{piece}>{field_patterns.get(piece, r'[^ ]+')})" if index % 2 else re.escape(piece)
            for index, piece in enumerate(pieces)
        )
    )


_SERVING_PATTERN = _event_pattern("serving", after_ms=r"\d+")
_EVENT_PATTERNS = {
    "control_endpoint_listening": _event_pattern("control_endpoint_listening"),
    "endpoint_list_stale": _event_pattern("endpoint_list_stale"),
    "discovery_failed": _event_pattern("discovery_failed", fault=".+"),
    "discovery_call_ended": _event_pattern("discovery_call_ended"),
}


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One event of a sidecar's log, and the fields that its line contains."""

    name: str
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Start:
    """One process that became ready, `ready_after_ms` after its first line."""

    folder: str
    name: str
    ready_after_ms: int
    waited_in_vain: bool  # whether it waited for an endpoint list that did not come


@dataclass(frozen=True, slots=True)
class LogSummary:
    """The starts of one log, and whether its last process started and never became ready."""

    starts: Sequence[Start]
    is_last_unready: bool


@dataclass(frozen=True, slots=True)
class FolderSummary:
    """The starts in a folder, in the order of their files' last change and of their lines."""

    starts: Sequence[Start]
    never_ready: Sequence[str]  # logs whose last process did not become ready


@dataclass(frozen=True, slots=True)
class StartStatistics:
    """Statistics of some starts; times in milliseconds, None where there is no start."""

    count: int
    p50_ms: int | None
    p90_ms: int | None
    max_ms: int | None
    waited_in_vain: int

    @classmethod
    def from_starts(cls, starts: Iterable[Start]) -> StartStatistics:
        """Summarizes these starts."""
        starts = list(starts)
        waited = sum(start.waited_in_vain for start in starts)
        times_ms = sorted(start.ready_after_ms for start in starts)
        if not times_ms:
            return cls(0, None, None, None, waited)
        return cls(
            len(times_ms), value_at_rank(times_ms, 0.5), value_at_rank(times_ms, 0.9), times_ms[-1], waited
        )

    def to_json(self) -> dict[str, int | None]:
        """Returns the statistics under the keys of the JSON report."""
        return {
            "count": self.count,
            "p50": self.p50_ms,
            "p90": self.p90_ms,
            "longest": self.max_ms,
            "waited_in_vain": self.waited_in_vain,
        }


Report = Mapping[str, Mapping[str, StartStatistics]]  # keyed by folder, then by "starts" and "restarts"


def parse_event(line: str) -> LogEvent | None:
    """Returns the event of a log line, also after a prefix; None if the line has no event used here."""
    json_event = _parse_json_event(line)
    if json_event is not None:
        return json_event
    serving = _SERVING_PATTERN.search(line)
    if serving is not None:
        return LogEvent("serving", {**serving.groupdict(), "after_ms": int(serving["after_ms"])})
    names = (name for name, pattern in _EVENT_PATTERNS.items() if pattern.search(line))
    return next((LogEvent(name, {}) for name in names), None)


def _parse_json_event(line: str) -> LogEvent | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except (ValueError, RecursionError):
        return None
    if isinstance(fields, dict) and fields.get("event") in EVENTS:
        return LogEvent(fields["event"], fields)
    return None


def summarize_log(lines: Iterable[str], folder: str) -> LogSummary:
    """Finds the starts in the lines of one log of `folder`."""
    starts: list[Start] = []
    is_starting = has_waited = False
    for line in lines:
        event = parse_event(line)
        if event is None:
            continue
        if event.name == "serving":
            ready_after_ms = event.fields.get("after_ms")
            if isinstance(ready_after_ms, int):
                starts.append(Start(folder, str(event.fields.get("name")), ready_after_ms, has_waited))
            is_starting = has_waited = False
        elif event.name == "endpoint_list_stale":  # this event is written only during a start
            is_starting = has_waited = True
        elif event.name == "control_endpoint_listening" or not starts:
            is_starting = True
    return LogSummary(starts, is_starting)


def summarize_folder(root: Path) -> FolderSummary:
    """Reads every file below `root`; bytes that are not UTF-8 are replaced."""
    starts: list[Start] = []
    never_ready: list[str] = []
    files = [path for path in root.rglob("*") if path.is_file()]
    for path in sorted(files, key=lambda path: (path.stat().st_mtime_ns, str(path))):
        with path.open(encoding="utf-8", errors="replace") as lines:
            log = summarize_log(lines, str(path.parent.relative_to(root)))
        starts += log.starts
        if log.is_last_unready:
            never_ready.append(str(path.relative_to(root)))
    return FolderSummary(starts, never_ready)


def find_restarts(starts: Iterable[Start]) -> list[Start]:
    """Returns each start of a name in a folder except the first."""
    seen: set[tuple[str, str]] = set()
    restarts = []
    for start in starts:
        if (start.folder, start.name) in seen:
            restarts.append(start)
        seen.add((start.folder, start.name))
    return restarts


def build_report(starts: Sequence[Start]) -> Report:
    """Returns statistics of all `starts` and of the `restarts` among them, for each folder and for `all`."""
    restarts = find_restarts(starts)
    report = {
        folder: {
            "starts": StartStatistics.from_starts(start for start in starts if start.folder == folder),
            "restarts": StartStatistics.from_starts(start for start in restarts if start.folder == folder),
        }
        for folder in sorted({start.folder for start in starts})
    }
    total = {
        "starts": StartStatistics.from_starts(starts),
        "restarts": StartStatistics.from_starts(restarts),
    }
    return {**report, "all": total}


def _print_json(report: Report, never_ready: Sequence[str]) -> None:
    folders = {
        folder: {group: statistics.to_json() for group, statistics in groups.items()}
        for folder, groups in report.items()
    }
    click.echo(json.dumps({"folders": folders, "never_ready": never_ready}))


def _print_table(report: Report, never_ready: Sequence[str]) -> None:
    click.echo(f"{'folder':30} {'':8} count    p50    p90 longest  waited in vain   (ms)")
    for folder, groups in report.items():
        for group, statistics in groups.items():
            p50, p90, longest = (
                "-" if time_ms is None else str(time_ms)
                for time_ms in (statistics.p50_ms, statistics.p90_ms, statistics.max_ms)
            )
            click.echo(
                f"{folder:30} {group:8} {statistics.count:5} {p50:>6} {p90:>6} {longest:>7}"
                f" {statistics.waited_in_vain:15}"
            )
    if never_ready:
        click.echo(f"never ready: {', '.join(never_ready)}")


@click.command(help=__doc__, context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("logs", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of the table.")
@click.pass_context
def main(context: click.Context, *, logs: Path, as_json: bool) -> None:
    """Prints the report of a folder; exits with 1 if there is no start in it."""
    summary = summarize_folder(logs)
    print_report = _print_json if as_json else _print_table
    print_report(build_report(summary.starts), summary.never_ready)
    context.exit(0 if summary.starts else 1)


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.ready")
