"""Checks the records of a soak run against the rules of the platform.

Time limits include a tolerance for scheduling (`SCHEDULING_DELAY_S`).  Every exemption states its reason.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum, unique
from itertools import pairwise

from soak.history import SCHEDULING_DELAY_S, History
from soak.records import (
    ClientAttempt,
    Idempotency,
    IdReuse,
    ProcessRecord,
    Records,
    RequestClass,
    ServerAttempt,
)
from soak.sidecars import READY_TIMEOUT_S

_RESPONSE_SLACK_S = 0.5  # A response this late after the timeout is worthless, but violates no rule.
_CANCELLATION_S = 0.1  # Time allowed between the end of a request and the end of its attempts.
_TIMEOUT_SLACK_S = 0.15  # An announced timeout may exceed the remaining time by this.
# An id counts as free this long before its client notices the end of its response.
_ID_RELEASE_S = 0.1
_INTERNAL_ERROR_TEXTS = ("internal error", "invariant broken", "Traceback")


@unique
class Rule(StrEnum):
    """Rules that can be violated; each violation is printed with the value of its rule."""

    RESPONSE = "response"  # Each request gets one response, which is its own and in time.
    ID_REUSE = "id"  # A request with the id of an open one, or of one that may have run, is not served.
    EXECUTION = "execution"  # The request's class limits how often and where it is executed.
    DISCONNECT = "disconnect"  # No attempt begins for a client that has disconnected.
    DEADLINE = "deadline"  # An attempt announces no timeout beyond the remaining time.
    DRAIN = "drain"  # A withdrawn server gets no attempts after the grace period.
    PROCESS = "process"  # Processes start in time, exit with 0, and log no internal error.
    MEMORY = "memory"  # All processes of a sidecar together stay within its memory limit.
    RECOVERY = "aftermath"  # Each sidecar serves and becomes idle after all faults.


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with a description."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


class RuleChecker:
    """Finds the violations of the rules in the records of one run.

    Methods and functions whose name begins with `_check` return a description of the violation that they
    find, or an empty string.
    """

    def __init__(self, records: Records, drain_grace_s: float, *, allows_hedging: bool) -> None:
        self._history = History(records)
        self._drain_grace_s = drain_grace_s
        self._allows_hedging = allows_hedging

    def violations(self) -> list[Violation]:
        """Returns all violations, ordered by rule."""
        details_by_rule = {
            Rule.RESPONSE: self._response_violations(),
            Rule.ID_REUSE: self._id_reuse_violations(),
            Rule.EXECUTION: self._execution_violations(),
            Rule.DISCONNECT: self._disconnect_violations(),
            Rule.DEADLINE: self._deadline_violations(),
            Rule.DRAIN: self._drain_violations(),
            Rule.PROCESS: self._process_violations(),
            Rule.MEMORY: self._memory_violations(),
        }
        return [Violation(rule, detail) for rule, details in details_by_rule.items() for detail in details]

    def _response_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            for attempt in attempts:
                detail = self._check_response(attempt)
                if detail:
                    server_attempts = self._history.server_attempts[request_id]
                    processes = self._history.describe_processes(attempt)
                    duplicates = [
                        duplicate
                        for duplicate in self._history.records.duplicates
                        if duplicate.request_id == attempt.received_id and not attempt.is_own_response
                    ]
                    yield f"{detail}: {attempt} {server_attempts} {duplicates} {processes}"

    def _check_response(self, attempt: ClientAttempt) -> str:
        if not attempt.sent_at or self._history.is_unserved(attempt):
            return ""
        slack_s = _RESPONSE_SLACK_S + SCHEDULING_DELAY_S + self._history.paused_s(attempt)
        latest_response_at = attempt.sent_at + attempt.timeout_s + slack_s
        if self._is_sound_response_cut_off(attempt):
            return "a sound response was cut off"
        if attempt.status:
            if not attempt.is_own_response:
                return "response of another request"
            return "late response" if attempt.ended_at > latest_response_at else ""
        if attempt.has_partial_response:
            # The client sees that the response is incomplete; a started response has no time limit.
            return ""
        if attempt.disconnected_at:
            return (
                "no response before the client disconnected"
                if attempt.disconnected_at > latest_response_at
                else ""
            )
        if attempt.is_retried:
            return (
                "connection closed though the request was forwarded, and no retry"
                if self._is_forwarded_without_retry(attempt)
                else ""
            )
        return "connection closed without a response"

    def _is_sound_response_cut_off(self, attempt: ClientAttempt) -> bool:
        """Returns whether the client got a failure because its last attempt was given up in its response.

        A process that stops shortens the time of its requests.
        """
        server_attempts = self._history.server_attempts[attempt.request_id]
        if attempt.status in (0, 200) or not server_attempts or self._history.is_stopping_during(attempt):
            return False
        last = max(server_attempts, key=lambda each: each.first_byte_received_at)
        latest_end_at = attempt.sent_at + attempt.timeout_s - SCHEDULING_DELAY_S
        return last.is_body_lost and last.ended_at < latest_end_at

    def _is_forwarded_without_retry(self, attempt: ClientAttempt) -> bool:
        """Returns whether a server received a request that its client was to retry but did not."""
        server_attempts = self._history.server_attempts[attempt.request_id]
        is_received = any(server_attempt.first_byte_received_at > 0 for server_attempt in server_attempts)
        attempts = self._history.client_attempts[attempt.request_id]
        return is_received and not any(other is not attempt for other in attempts)

    def _id_reuse_violations(self) -> Iterator[str]:
        for reuse in self._history.records.id_reuses:
            original = reuse.original
            if not reuse.sent_at or self._history.is_unserved(original):
                continue
            attempts = self._history.server_attempts[original.request_id]
            reused = self._history.reused_id_attempts[original.request_id]
            if 0.0 < original.disconnected_at <= reuse.sent_at:
                detail = _check_reuse_after_disconnect(original, attempts, reused)
            else:
                detail = _check_reuse_while_open(reuse, attempts, reused)
            if detail:
                processes = self._history.describe_processes(original)
                yield f"{detail}: {reuse} {attempts} {reused} {processes}"

    def _execution_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            server_attempts = self._history.server_attempts[request_id]
            detail = self._check_executions(attempts, server_attempts)
            if detail:
                yield f"{detail}: {attempts} {server_attempts}"

    def _check_executions(
        self, attempts: Sequence[ClientAttempt], server_attempts: Sequence[ServerAttempt]
    ) -> str:
        request_class = attempts[0].request_class
        executed = sorted(
            (attempt for attempt in server_attempts if attempt.is_executed),
            key=lambda attempt: attempt.completed_at,
        )
        detail = _check_repetition(request_class, executed)
        if detail:
            return detail
        is_rejected = any(attempt.status in (429, 503) for attempt in attempts)
        may_be_rejected = (
            request_class.idempotency is Idempotency.IDEMPOTENT or request_class.deduplication_scope == "all"
        )
        if is_rejected and executed and not may_be_rejected:
            return "rejected though it was executed"
        return self._check_concurrency(request_class, server_attempts)

    def _check_concurrency(
        self, request_class: RequestClass, server_attempts: Sequence[ServerAttempt]
    ) -> str:
        if self._allows_hedging and request_class.idempotency is not Idempotency.NON_IDEMPOTENT:
            return ""
        completed = sorted(
            (attempt for attempt in server_attempts if attempt.completed_at),
            key=lambda attempt: attempt.completed_at,
        )
        for first, second in pairwise(completed):
            if not first.ended_at or first.ended_at > second.completed_at + _CANCELLATION_S:
                return "concurrent attempts though hedging is not allowed"
        return ""

    def _disconnect_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            disconnected_at = max(attempt.disconnected_at for attempt in attempts)
            if not disconnected_at or any(attempt.status for attempt in attempts):
                continue
            paused_s = max(self._history.paused_s(attempt) for attempt in attempts)
            latest_attempt_at = disconnected_at + _CANCELLATION_S + SCHEDULING_DELAY_S + paused_s
            for server_attempt in self._history.server_attempts[request_id]:
                if server_attempt.first_byte_received_at > latest_attempt_at:
                    delay_s = server_attempt.first_byte_received_at - disconnected_at
                    yield f"attempt {delay_s:.3f} s after the disconnect: {attempts} {server_attempt}"

    def _deadline_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            for server_attempt in self._history.server_attempts[request_id]:
                # The remaining time is measured when the proxy receives the first byte of the attempt; delays
                # in the network and in the operating system of the server before that are not visible.
                latest_sent_at = server_attempt.first_byte_received_at + SCHEDULING_DELAY_S
                sent_attempts = [
                    attempt for attempt in attempts if attempt.sent_at and attempt.sent_at <= latest_sent_at
                ]
                if not sent_attempts or self._history.is_unserved(sent_attempts[-1]):
                    continue
                last_attempt = sent_attempts[-1]
                remaining_s = (
                    last_attempt.sent_at + last_attempt.timeout_s - server_attempt.first_byte_received_at
                )
                slack_s = _TIMEOUT_SLACK_S + SCHEDULING_DELAY_S + self._history.paused_s(last_attempt)
                announced_s = server_attempt.announced_timeout_s
                if announced_s > remaining_s + slack_s:
                    yield (
                        f"announced timeout {announced_s:.3f} s, remaining time {remaining_s:.3f} s: "
                        f"{last_attempt} {server_attempt} "
                        f"{self._history.describe_processes(last_attempt)}"
                    )

    def _drain_violations(self) -> Iterator[str]:
        for server_attempt in self._history.records.server_attempts:
            for attempt in self._history.client_attempts.get(server_attempt.request_id, [])[:1]:
                known_at = self._history.withdrawal_known_at(
                    attempt.sidecar_number, server_attempt.server, server_attempt.first_byte_received_at
                )
                if known_at is None:
                    continue
                delay_s = server_attempt.first_byte_received_at - known_at
                if (
                    server_attempt.first_byte_received_at
                    > known_at + self._drain_grace_s + SCHEDULING_DELAY_S
                ):
                    yield (
                        f"n{attempt.sidecar_number}: attempt {delay_s:.3f} s after the withdrawal: "
                        f"{server_attempt}"
                    )

    def _memory_violations(self) -> Iterator[str]:
        for peak in self._history.records.memory_peaks:
            if peak.resident_mb > peak.limit_mb:
                yield f"n{peak.sidecar_number}: {peak.resident_mb:.1f} MB of {peak.limit_mb} MB"

    def _process_violations(self) -> Iterator[str]:
        for process in self._history.records.processes:
            name = f"n{process.sidecar_number} pid {process.pid}"
            for line in process.log:
                if any(text in line for text in _INTERNAL_ERROR_TEXTS):
                    yield f"{name}: {line}"
            for detail in (_check_start(process), _check_exit(process)):
                if detail:
                    yield f"{name} {detail}: {process.log[-3:]}"


def _check_reuse_while_open(
    reuse: IdReuse, attempts: Sequence[ServerAttempt], reused: Sequence[ServerAttempt]
) -> str:
    """Checks the reuse of an id whose request was open: a server had received a part of it."""
    open_until = (reuse.original.disconnected_at or reuse.original.ended_at) - _ID_RELEASE_S
    if not any(attempt.first_byte_received_at <= reuse.sent_at for attempt in attempts):
        return ""
    if any(attempt.first_byte_received_at < open_until for attempt in reused):
        return "the id of an open request was used for an attempt"
    return (
        "the id of an open request was served" if reuse.status == 200 and reuse.ended_at < open_until else ""
    )


def _check_reuse_after_disconnect(
    original: ClientAttempt, attempts: Sequence[ServerAttempt], reused: Sequence[ServerAttempt]
) -> str:
    """Checks the reuse of the id of a disconnected client, whose request may have run."""
    request_class = original.request_class
    is_safe = (
        request_class.idempotency is Idempotency.IDEMPOTENT or request_class.deduplication_scope == "all"
    )
    has_run = any(
        0.0 < attempt.completed_at <= original.disconnected_at for attempt in attempts if attempt.is_executed
    )
    is_rerun = any(attempt.is_executed for attempt in reused)
    return "executed again after its client disconnected" if has_run and is_rerun and not is_safe else ""


def _check_repetition(request_class: RequestClass, executed: Sequence[ServerAttempt]) -> str:
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT and len(executed) > 1:
        return f"non-idempotent request executed {len(executed)} times"
    if request_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY or not executed:
        return ""
    if request_class.deduplication_scope == "cell" and len({attempt.cell for attempt in executed}) > 1:
        return "executed in two cells"
    if request_class.deduplication_scope == "zone" and len({attempt.zone for attempt in executed}) > 1:
        return "executed in two zones"
    window_ends_at = executed[0].completed_at + request_class.deduplication_window_s + SCHEDULING_DELAY_S
    return (
        "executed again after the deduplication window" if executed[-1].completed_at > window_ends_at else ""
    )


def _check_start(process: ProcessRecord) -> str:
    if not process.ready_at and not process.killed_at and not process.sigterm_at:
        return "never became ready"
    if process.ready_at > process.started_at + READY_TIMEOUT_S:
        return f"took {process.ready_at - process.started_at:.1f} s to become ready"
    return ""


def _check_exit(process: ProcessRecord) -> str:
    if process.exit_code is None or (process.killed_at and not process.sigterm_at):
        return ""
    if not process.sigterm_at:
        return f"ended without SIGTERM, exit code {process.exit_code}"
    if process.killed_at:
        return "did not end after SIGTERM and was killed"
    return f"ended after SIGTERM, exit code {process.exit_code}" if process.exit_code else ""
