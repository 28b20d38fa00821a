"""Log of one process: events with fixed names and fixed fields, one event per line on standard error.

`EVENTS` lists all events; `docs/on-call.md` explains each.  The default format is human-readable text.  If
the operator file selects JSON, structlog writes the lines; structlog is imported only in that case.
"""

from __future__ import annotations

import string
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Any, Protocol, TextIO, cast

from tulipnotch.sidecar.log_stream import LogStream


class Log(Protocol):
    """Writes events."""

    def __call__(self, event: str, /, **fields: object) -> None:
        """Writes one event, given its name in `EVENTS` and exactly that event's fields."""
        ...


@unique
class Severity(StrEnum):
    """Severity of an event; the values are written to JSON lines."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class EventTemplate:
    """Severity of an event, and its text with the names of its fields in braces."""

    severity: Severity
    text: str

    @property
    def field_names(self) -> frozenset[str]:
        """Names of the event's fields."""
        return frozenset(name for _, name, _, _ in string.Formatter().parse(self.text) if name)


def _info(text: str) -> EventTemplate:
    return EventTemplate(Severity.INFO, text)


def _warning(text: str) -> EventTemplate:
    return EventTemplate(Severity.WARNING, text)


def _error(text: str) -> EventTemplate:
    return EventTemplate(Severity.ERROR, text)


EVENTS: Mapping[str, EventTemplate] = {
    "serving": _info("{name} serves on {address}, {after_ms} ms after its start"),
    "control_endpoint_listening": _info("control endpoint listens on {address}"),
    "draining": _info("draining"),
    "drained": _info("drained"),
    "endpoint_list_stale": _warning("no fresh endpoint list within {waited_s:g} s, using the cached one"),
    "sibling_unresponsive": _warning(
        "another process of this sidecar does not answer: for {rejected_s:g} s, requests that must not be "
        "executed twice are rejected"
    ),
    "handover_unavailable": _warning("nothing is shared with other processes of this sidecar: {fault}"),
    "discovery_failed": _warning("discovery failed: {fault}; the endpoint list in force stays"),
    "endpoint_list_applied": _info(
        "endpoint list applied: version {version}, {changes} changes, from {source}, "
        "{call_age_ms} ms after the call began"
    ),
    "endpoint_list_discarded": _info(
        "endpoint list discarded: version {version}, {reason}; version {in_force} is in force"
    ),
    "discovery_call_ended": _info(
        "call to discovery ended: {kind}, {reason}; {bytes} bytes of a response had come"
    ),
    "reloaded": _info("reloaded: discovery at {discovery}{waits}"),
    "reload_rejected": _error("reload rejected, the previous configuration stays in force: {fault}"),
    "ejected": _warning("ejected {server}: {reason}"),
    "readmitted": _info("readmitted {server}"),
    "response_malformed": _warning("malformed response of {server}: {fault}; request {request}"),
    "response_stalled": _info("response of {server} has stalled; request {request} waits for the rest"),
    "memory_high": _warning(
        "resident memory {resident_mb} MB of {limit_mb} MB: {request_kb} KB of requests, "
        "{response_kb} KB of responses, {clients} client connections, {servers} server connections"
    ),
    "event_loop_delayed": _warning(
        "event loop delayed by {delay_ms} ms: {clients} client connections, {servers} server connections"
    ),
    "service_level_changed": _warning(
        "service level {now}, was {before} for {previous_duration_s:g} s: {reason}"
    ),
    "peer_message_not_sent": _warning("a message to other sidecars could not be sent"),
    "invariant_broken": _error("invariant broken: {invariant}: {about}"),
    "internal_error": _error("internal error: {where}: {fault}"),
    "request_received": _info("request {request}: received, {kind}, {left_ms} ms left"),
    "attempt_started": _info("request {request}: attempt {number} to {server} started, after {after}"),
    "attempt_written": _info("request {request}: attempt {number} written"),
    "attempt_recalled": _info("request {request}: attempt {number} given up with bytes unsent"),
    "attempt_ended": _info("request {request}: attempt {number} ended, {outcome}"),
    "request_ended": _info("request {request}: ended with status {status}"),
    "connection_closed": _info("client connection closed, {reason}"),
    "phase_changed": _info("phase {phase}"),
    "log_lines_dropped": _warning("dropped {count} log lines"),
}


def format_event(event: str, fields: Mapping[str, Any]) -> str:
    """Returns an event as one line of text; line feeds in its fields become spaces.

    Raises:
        KeyError: `EVENTS` has no such event, or a field is missing.
    """
    return EVENTS[event].text.format_map(fields).replace("\n", " ")


@unique
class LogFormat(StrEnum):
    """Output format of the log; the values are those of the operator file."""

    TEXT = "text"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Rate limit of the log, which keeps it from filling the disk."""

    lines_per_s: float = 20.0
    burst_lines: float = 200.0


class LineStream(Protocol):
    """Destination of log lines; both methods raise OSError on failure."""

    def write(self, text: str, /) -> int:
        """Writes a line that includes its line end; returns the number of characters."""
        ...

    def flush(self) -> None:
        """Writes all buffered lines."""
        ...


class LineLog:
    """Writes events to a stream up to a rate limit; drops and counts the rest, and logs their number later.

    A line that the stream does not accept is dropped too: the process neither fails nor waits because of it.
    """

    def __init__(
        self,
        log_format: LogFormat = LogFormat.TEXT,
        limits: LogLimits | None = None,
        stream: LineStream | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a log with a full token bucket; `clock` is monotonic and returns seconds."""
        self._limits = limits or LogLimits()
        self._stream = stream or LogStream()
        self._clock = clock
        self._write = self._write_text if log_format is LogFormat.TEXT else _json_writer(self._stream)
        self._tokens = self._limits.burst_lines
        self._refilled_at = clock()
        self._dropped_lines = 0  # since the last line that was written

    def __call__(self, event: str, /, **fields: object) -> None:
        """Writes one event, or drops it; see `Log`."""
        if not self._take_token():
            self._dropped_lines += 1
            return
        try:
            if self._dropped_lines:
                self._write("log_lines_dropped", {"count": self._dropped_lines})
                self._dropped_lines = 0
            self._write(event, fields)
        except OSError:
            self._dropped_lines += 1

    def _take_token(self) -> bool:
        """Refills the token bucket and takes one token; returns False if the bucket is empty."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._limits.lines_per_s
        self._tokens = min(self._tokens + refill, self._limits.burst_lines)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write_text(self, event: str, fields: Mapping[str, object]) -> None:
        self._stream.write(format_event(event, fields) + "\n")
        self._stream.flush()


def _json_writer(stream: LineStream) -> Callable[[str, Mapping[str, object]], None]:
    """Returns a function that writes an event to `stream` as one JSON object on one line."""
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
        getattr(logger, EVENTS[event].severity)(event, **fields)

    return write
