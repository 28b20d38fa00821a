"""The log of one process: events with a fixed name and fixed fields, one a line on standard error.

`EVENTS` is the whole list, and the page for staff on call explains each.  Text for people is the default;
JSON lines, by structlog, are written where the operator file asks for them (imported then, and only then).
"""

from __future__ import annotations

import string
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any, Protocol, TextIO, cast

from tulipnotch.sidecar.log_stream import LogStream


class Log(Protocol):
    """Writes one event: its name in `EVENTS`, and that event's fields, no more and no fewer."""

    def __call__(self, event: str, /, **fields: object) -> None: ...


@dataclass(frozen=True, slots=True)
class EventForm:
    """How bad an event is, and its line for people; the names in braces are its fields."""

    level: str
    text: str

    @property
    def fields(self) -> frozenset[str]:
        return frozenset(name for _, name, _, _ in string.Formatter().parse(self.text) if name)


EVENTS: Mapping[str, EventForm] = {
    "serving": EventForm("info", "{name} serves on {address}, {after_ms} ms after its start"),
    "door_open": EventForm("info", "operators are heard on {address}"),
    "draining": EventForm("info", "draining"),
    "drained": EventForm("info", "drained"),
    "no_fresh_list": EventForm("warning", "no fresh list in {waited_s:g} s: going by the known one"),
    "no_list": EventForm("warning", "no list from discovery: {fault}; the one in force stays"),
    "reloaded": EventForm("info", "reloaded: discovery at {discovery}{waits}"),
    "reload_refused": EventForm("error", "reload: the old configuration stays in force: {fault}"),
    "ejected": EventForm("warning", "ejected {server}: {reason}"),
    "readmitted": EventForm("info", "readmitted {server}"),
    "level": EventForm("warning", "level {now}, was {before} for {held_s:g} s: {reason}"),
    "message_unsent": EventForm("warning", "a message to other sidecars could not be sent"),
    "invariant_broken": EventForm("error", "invariant broken: {invariant}: {about}"),
    "internal_error": EventForm("error", "internal error: {where}: {fault}"),
    "request_taken": EventForm("info", "request {request}: taken, {kind}, {left_ms} ms left"),
    "attempt_begun": EventForm("info", "request {request}: attempt {number} to {server}, after {after}"),
    "attempt_written": EventForm("info", "request {request}: attempt {number} written"),
    "attempt_ended": EventForm("info", "request {request}: attempt {number} ended, {outcome}"),
    "request_ended": EventForm("info", "request {request}: answered with {status}"),
    "connection_closed": EventForm("info", "a client's connection closed, {reason}"),
    "phase_changed": EventForm("info", "now {phase}"),
    "left_out": EventForm("warning", "left out {count} lines"),
}


def line(event: str, fields: Mapping[str, Any]) -> str:
    """The event as one line for people; what would break the line is folded.  KeyError: no such event."""
    return EVENTS[event].text.format_map(fields).replace("\n", " ")


@unique
class Format(Enum):
    """How events are written."""

    TEXT = "text"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class LogLimits:
    """How much may be written: a log must not fill a disk."""

    lines_per_s: float = 20.0
    lines_at_once: float = 200.0


class LineStream(Protocol):
    """Takes lines, or raises OSError."""

    def write(self, text: str, /) -> int: ...

    def flush(self) -> None: ...


class LineLog:
    """Writes events to a stream, not more than so many a second; what was left out is counted and said.

    A line that the stream does not take is left out too: no event ends, and nobody waits, for want of a log.
    """

    def __init__(
        self,
        form: Format = Format.TEXT,
        limits: LogLimits | None = None,
        stream: LineStream | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits or LogLimits()
        self._stream = stream or LogStream()
        self._clock = clock
        self._write = self._write_text if form is Format.TEXT else _json_writer(self._stream)
        self._allowance = self._limits.lines_at_once
        self._at = clock()
        self._left_out = 0

    def __call__(self, event: str, /, **fields: object) -> None:
        now = self._clock()
        earned = (now - self._at) * self._limits.lines_per_s
        self._allowance = min(self._allowance + earned, self._limits.lines_at_once)
        self._at = now
        if self._allowance < 1.0:
            self._left_out += 1
            return
        self._allowance -= 1.0
        try:
            if self._left_out:
                self._write("left_out", {"count": self._left_out})
                self._left_out = 0
            self._write(event, fields)
        except OSError:
            self._left_out += 1

    def _write_text(self, event: str, fields: Mapping[str, object]) -> None:
        self._stream.write(line(event, fields) + "\n")
        self._stream.flush()


def _json_writer(stream: LineStream) -> Callable[[str, Mapping[str, object]], None]:
    import structlog

    logger = structlog.wrap_logger(
        structlog.WriteLogger(cast(TextIO, stream)),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.BoundLogger,
    )

    def write(event: str, fields: Mapping[str, object]) -> None:
        getattr(logger, EVENTS[event].level)(event, **fields)

    return write
