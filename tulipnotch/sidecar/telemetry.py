"""Figures of one process: plain counters, kept where a thing happens, and one renderer."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, unique


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
        self.config_reloads = 0
        self.config_reload_errors = 0
        self.show(classes)

    def show(self, classes: Iterable[str]) -> None:
        """Show these classes from now on, with zeros until something is counted.

        A class that the settings no longer name stays: its requests under way still end.
        """
        for each in classes:
            self._ended.setdefault(each, dict.fromkeys(Result, 0))

    def ended(self, service_class: str, result: Result) -> None:
        """A request has its final answer."""
        self._ended[service_class][result] += 1

    def attempt_written(self) -> None:
        self.upstream_requests += 1

    def attempt_withheld(self) -> None:
        self.upstream_requests_withheld += 1

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
        return [f"app.{name}={value}" for name, value in (figures | dict(gauges)).items()]


def _word(name: str) -> str:
    """A class's name as part of a key; what would break the line or the key is masked."""
    return "".join(
        each if each.isascii() and each.isprintable() and each not in " =" else "_" for each in name
    )
