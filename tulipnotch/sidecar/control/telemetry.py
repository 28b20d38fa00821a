"""Figures of one process: plain counters, kept where a thing happens, and one renderer."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, unique

from tulipnotch.load_balancing.outcomes import Outcome, TerminationReason
from tulipnotch.sidecar.requests.invariants import CloseReason

_OVERDUE = "overdue"  # in place of an outcome: the attempt before has none yet
_MAX_OPEN = "max_open"  # in place of a reason: as many requests are open as the settings allow
_RETRIED_AFTER = [each.value for each in Outcome if each not in (Outcome.DELIVERED, Outcome.CLIENT_ERROR)]


@unique
class Result(Enum):
    """How a request ended, for its client."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


class Telemetry:
    """Counts from the start of the process; nothing here decides anything."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._ended: dict[str, dict[Result, int]] = {}
        self.upstream_requests = 0  # attempts written whole to servers
        self.upstream_requests_withheld = 0  # attempts not written whole, since their clients had gone
        self._retries = dict.fromkeys([_OVERDUE, *_RETRIED_AFTER], 0)
        self._refusals = dict.fromkeys([_MAX_OPEN, *(each.value for each in TerminationReason)], 0)
        self._failures = dict.fromkeys([each.value for each in TerminationReason], 0)
        self._client_closes = dict.fromkeys((each.value for each in CloseReason), 0)
        self.config_reloads = 0
        self.config_reload_errors = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Show these classes from now on, with zeros until something is counted.

        A class that the settings no longer name stays: its requests under way still end.
        """
        for each in classes:
            self._ended.setdefault(each, dict.fromkeys(Result, 0))

    def request_ended(self, service_class: str, result: Result) -> None:
        """A request has its final answer."""
        self._ended[service_class][result] += 1

    def attempt_written(self) -> None:
        self.upstream_requests += 1

    def attempt_withheld(self) -> None:
        self.upstream_requests_withheld += 1

    def request_retried(self, after: Outcome | None) -> None:
        """A request goes to a further server, after this outcome or (None) while it waits for one."""
        self._retries[_OVERDUE if after is None else after.value] += 1

    def request_rejected(self, reason: TerminationReason | None) -> None:
        """A request is refused, for this reason or (None) for as many as are open."""
        self._refusals[_MAX_OPEN if reason is None else reason.value] += 1

    def connection_closed(self, reason: CloseReason) -> None:
        """A client's connection has ended."""
        self._client_closes[reason.value] += 1

    def request_failed(self, reason: TerminationReason) -> None:
        """A request is answered as failed."""
        self._failures[reason.value] += 1

    def lines(self, gauges: Mapping[str, int]) -> list[str]:
        """All figures, one a line, after the gauges that their owners have read just now."""
        figures = {
            f"downstream_requests.{_word(name)}.{result.value}": count
            for name, counts in self._ended.items()
            for result, count in counts.items()
        }
        figures["upstream_requests"] = self.upstream_requests
        figures["upstream_requests_withheld"] = self.upstream_requests_withheld
        figures["config_reloads"] = self.config_reloads
        figures["config_reload_errors"] = self.config_reload_errors
        for name, counts in (
            ("client_closes", self._client_closes),
            ("retries", self._retries),
            ("refusals", self._refusals),
            ("failures", self._failures),
        ):
            figures |= {f"{name}.{reason}": count for reason, count in counts.items()}
        return [f"app.{name}={value}" for name, value in (figures | dict(gauges)).items()]


def _word(name: str) -> str:
    """A class's name as part of a key; what would break the line or the key is masked."""
    return "".join(
        each if each.isascii() and each.isprintable() and each not in " =" else "_" for each in name
    )
