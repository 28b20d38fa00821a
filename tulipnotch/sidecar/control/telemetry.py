"""Metrics of one process: the counters, and the names under which operators see them.

The metric names are part of the control endpoint's protocol and are used by dashboards, so they do not change
with the names in the code.  The mapping between the two is defined in this module only.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum, unique

from tulipnotch.load_balancing.outcomes import Outcome, TerminationReason
from tulipnotch.sidecar.discovery.call_events import DiscardReason, EndReason
from tulipnotch.sidecar.http1.response_fault import ResponseFault
from tulipnotch.sidecar.requests.invariants import CloseReason

OUTCOME_NAMES: Mapping[Outcome, str] = {
    Outcome.DELIVERED: "delivered",
    Outcome.SERVER_ERROR: "error",
    Outcome.OVERLOADED: "full",
    Outcome.TIMED_OUT: "expired",
    Outcome.CONNECT_FAILED: "dial_failed",
    Outcome.CONNECTION_LOST: "dropped",
    Outcome.CANCELLED: "cancelled",
    Outcome.NOT_SENT: "unsent",
    Outcome.MALFORMED_RESPONSE: "spoilt",
    Outcome.CLIENT_ERROR: "rejected",
}
TERMINATION_REASON_NAMES: Mapping[TerminationReason, str] = {
    TerminationReason.ADMISSION: "admission",
    TerminationReason.NO_ENDPOINT: "no_server",
    TerminationReason.NO_RETRY: "no_retry",
    TerminationReason.DEADLINE: "deadline",
    TerminationReason.CLIENT_ERROR: "at_fault",
}
CLOSE_REASON_NAMES: Mapping[CloseReason, str] = {
    CloseReason.CLIENT_DISCONNECTED: "client_left",
    CloseReason.RESPONDED: "answered",
    CloseReason.IDLE: "idle",
    CloseReason.NO_REQUEST: "silent",
    CloseReason.REJECTED: "rejected",
    CloseReason.RESPONSE_UNREAD: "unread",
    CloseReason.RESPONSE_INCOMPLETE: "answer_broken",
    CloseReason.LINGER_TIMEOUT: "lingered",
    CloseReason.CONNECTION_LIMIT: "no_room",
}
# Used instead of an outcome if the previous attempt is still in flight and has none.
_IN_FLIGHT_NAME = "overdue"
# Used instead of a termination reason if the maximum number of requests was open.
_MAX_OPEN_REQUESTS_NAME = "max_open"

_FINAL_OUTCOMES = (Outcome.DELIVERED, Outcome.CLIENT_ERROR)  # outcomes that no retry follows


@unique
class RequestResult(StrEnum):
    """Result of a request from its client's point of view; the values are parts of metric names."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


class Telemetry:
    """Counts events from the start of the process; the counters influence no decision."""

    def __init__(self, classes: Iterable[str]) -> None:
        """Creates all counters with the value 0; `classes` are the names of the service classes."""
        self._results: dict[str, dict[RequestResult, int]] = {}  # keyed by the name of the service class
        self._attempts_written = 0
        self._attempts_withheld = 0
        self._attempts_recalled = 0
        self._responses_stalled = 0
        self._request_ids_unknown = 0
        self._retries: dict[Outcome | None, int] = {
            None: 0,
            **{outcome: 0 for outcome in OUTCOME_NAMES if outcome not in _FINAL_OUTCOMES},
        }
        self._rejections: dict[TerminationReason | None, int] = {
            None: 0,
            **dict.fromkeys(TERMINATION_REASON_NAMES, 0),
        }
        self._failures = dict.fromkeys(TERMINATION_REASON_NAMES, 0)
        self._closes = dict.fromkeys(CLOSE_REASON_NAMES, 0)
        self._malformed_responses = dict.fromkeys(ResponseFault, 0)
        self._lists_applied = 0
        self._lists_discarded = dict.fromkeys(DiscardReason, 0)
        self._discovery_calls_ended = dict.fromkeys(EndReason, 0)
        self._reloads = 0
        self._reload_errors = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Adds counters for the service classes with these names, unless they exist.

        Counters of a class that the settings no longer have are kept, as requests of it may still be open.
        """
        for name in classes:
            self._results.setdefault(name, dict.fromkeys(RequestResult, 0))

    def request_ended(self, service_class: str, result: RequestResult) -> None:
        """Counts a request that has ended, by its service class and result."""
        self._results[service_class][result] += 1

    def attempt_written(self) -> None:
        """Counts an attempt whose request was written completely to a server."""
        self._attempts_written += 1

    def attempt_withheld(self) -> None:
        """Counts an attempt whose request was not written completely because its client had disconnected."""
        self._attempts_withheld += 1

    def attempt_recalled(self) -> None:
        """Counts an attempt that was written completely and given up before the kernel had sent all of it."""
        self._attempts_recalled += 1

    def response_stalled(self) -> None:
        """Counts a response that has stalled and is still waited for."""
        self._responses_stalled += 1

    def request_id_unknown(self) -> None:
        """Counts a request that was rejected because another process may have used its id."""
        self._request_ids_unknown += 1

    def request_retried(self, after: Outcome | None) -> None:
        """Counts a retry by the outcome of the previous attempt; None if that attempt is still in flight."""
        self._retries[after] += 1

    def request_rejected(self, reason: TerminationReason | None) -> None:
        """Counts a rejected request by its reason; None if the maximum number of requests was open."""
        self._rejections[reason] += 1

    def request_failed(self, reason: TerminationReason) -> None:
        """Counts a request whose final response is an error, by its reason."""
        self._failures[reason] += 1

    def connection_closed(self, reason: CloseReason) -> None:
        """Counts a client connection that has ended, by its reason."""
        self._closes[reason] += 1

    def response_malformed(self, fault: ResponseFault) -> None:
        """Counts a response of a server that was malformed, by its fault."""
        self._malformed_responses[fault] += 1

    def endpoint_list_applied(self) -> None:
        """Counts an endpoint list, or a part of one, that was applied."""
        self._lists_applied += 1

    def endpoint_list_discarded(self, reason: DiscardReason) -> None:
        """Counts an endpoint list that was not applied, by its reason."""
        self._lists_discarded[reason] += 1

    def discovery_call_ended(self, reason: EndReason) -> None:
        """Counts a call to discovery that this process has ended, by its reason."""
        self._discovery_calls_ended[reason] += 1

    def configuration_reloaded(self) -> None:
        """Counts a configuration that was applied at a reload."""
        self._reloads += 1

    def configuration_rejected(self) -> None:
        """Counts a configuration that was rejected at a reload."""
        self._reload_errors += 1

    def render_metrics(self, gauges: Mapping[str, int]) -> list[str]:
        """Returns a line for each metric: the counters, then `gauges`, whose values are current."""
        metrics = {
            f"downstream_requests.{_sanitize_name_part(name)}.{result}": count
            for name, counts in self._results.items()
            for result, count in counts.items()
        }
        metrics |= {
            "upstream_requests": self._attempts_written,
            "upstream_requests_withheld": self._attempts_withheld,
            "upstream_requests_recalled": self._attempts_recalled,
            "responses_stalled": self._responses_stalled,
            "request_ids_unknown": self._request_ids_unknown,
            "endpoint_lists_applied": self._lists_applied,
            "config_reloads": self._reloads,
            "config_reload_errors": self._reload_errors,
        }
        for reason, count in self._closes.items():
            metrics[f"client_closes.{CLOSE_REASON_NAMES[reason]}"] = count
        for outcome, count in self._retries.items():
            metrics[f"retries.{retry_cause_name(outcome)}"] = count
        for cause, count in self._rejections.items():
            name = _MAX_OPEN_REQUESTS_NAME if cause is None else TERMINATION_REASON_NAMES[cause]
            metrics[f"refusals.{name}"] = count
        for cause, count in self._failures.items():
            metrics[f"failures.{TERMINATION_REASON_NAMES[cause]}"] = count
        for fault, count in self._malformed_responses.items():
            metrics[f"malformed_responses.{fault.value}"] = count
        for discard_reason, count in self._lists_discarded.items():
            metrics[f"endpoint_lists_discarded.{discard_reason.value}"] = count
        for end_reason, count in self._discovery_calls_ended.items():
            metrics[f"discovery_calls_ended.{end_reason.value}"] = count
        return [f"app.{name}={value}" for name, value in (metrics | dict(gauges)).items()]


def retry_cause_name(previous: Outcome | None) -> str:
    """Returns the metric name of a retry's cause; `previous` is None if that attempt is still in flight."""
    return _IN_FLIGHT_NAME if previous is None else OUTCOME_NAMES[previous]


def _sanitize_name_part(name: str) -> str:
    """Replaces characters that are not allowed in the line or the metric's name by underscores."""
    return "".join(
        character if character.isascii() and character.isprintable() and character not in " =" else "_"
        for character in name
    )
