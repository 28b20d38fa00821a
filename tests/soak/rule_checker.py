"""Checks the platform's rules against the records of a soak run.

Time limits have room for this machine (`MACHINE_DELAY_S`).  Every exemption states its reason.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum, unique
from itertools import pairwise

from soak.history import MACHINE_DELAY_S, History
from soak.records import ClientAttempt, Idempotency, ProcessRecord, Records, RequestClass, ServerAttempt
from soak.sidecars import READY_WITHIN_S

_RESPONSE_SLACK_S = 0.5  # a response up to this after the timeout is worthless, but breaks no rule
_CANCELLATION_S = 0.1  # from the end of a request to the end of its attempts
_TIMEOUT_SLACK_S = 0.15  # by which an announced timeout may be longer than the time that is left
_INTERNAL_ERROR_TEXTS = ("internal error", "invariant broken", "Traceback")


@unique
class Rule(StrEnum):
    """What can be violated; the values are written before each violation."""

    RESPONSE = "response"  # one response, its own and in time
    EXECUTION = "execution"  # as often, and where, as the request's class allows
    DISCONNECT = "disconnect"  # no attempt begins for a client that has disconnected
    DEADLINE = "deadline"  # an attempt announces no more than the time that is left
    DRAIN = "drain"  # a withdrawn server gets nothing after the grace period
    PROCESS = "process"  # starts, exit codes, logs
    AFTERMATH = "aftermath"  # what each sidecar must show once all faults have ended


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


class RuleChecker:
    """Finds the violations in the records of one run."""

    def __init__(self, records: Records, drain_grace_s: float, *, allows_hedging: bool) -> None:
        self._history = History(records)
        self._drain_grace_s = drain_grace_s
        self._allows_hedging = allows_hedging

    def violations(self) -> list[Violation]:
        """All violations, rule by rule."""
        details_by_rule = {
            Rule.RESPONSE: self._response_violations(),
            Rule.EXECUTION: self._execution_violations(),
            Rule.DISCONNECT: self._disconnect_violations(),
            Rule.DEADLINE: self._deadline_violations(),
            Rule.DRAIN: self._drain_violations(),
            Rule.PROCESS: self._process_violations(),
        }
        return [Violation(rule, detail) for rule, details in details_by_rule.items() for detail in details]

    def _response_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            for attempt in attempts:
                fault = self._response_fault(attempt)
                if fault:
                    server_attempts = self._history.server_attempts[request_id]
                    processes = self._history.describe_processes(attempt)
                    yield f"{fault}: {attempt} {server_attempts} {processes}"

    def _response_fault(self, attempt: ClientAttempt) -> str:
        if not attempt.sent_at or self._history.is_unserved(attempt):
            return ""
        slack_s = _RESPONSE_SLACK_S + MACHINE_DELAY_S + self._history.paused_s(attempt)
        due_at = attempt.sent_at + attempt.timeout_s + slack_s
        if attempt.status:
            if not attempt.is_own_response:
                return "not its own"
            return "late" if attempt.ended_at > due_at else ""
        if attempt.has_partial_response:
            return (
                ""  # its client sees that it is incomplete, and a response that has begun has no time limit
            )
        if attempt.disconnected_at:
            return "none" if attempt.disconnected_at > due_at else ""
        if attempt.is_retried:
            return "closed though it was forwarded" if self._is_forwarded_once(attempt) else ""
        return "closed without a response"

    def _is_forwarded_once(self, attempt: ClientAttempt) -> bool:
        """Whether a server received a request whose client was to retry it, and did not."""
        server_attempts = self._history.server_attempts[attempt.request_id]
        is_received = any(server_attempt.first_byte_at > 0 for server_attempt in server_attempts)
        attempts = self._history.client_attempts[attempt.request_id]
        return is_received and not any(other is not attempt for other in attempts)

    def _execution_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            server_attempts = self._history.server_attempts[request_id]
            fault = self._execution_fault(attempts, server_attempts)
            if fault:
                yield f"{fault}: {attempts} {server_attempts}"

    def _execution_fault(
        self, attempts: Sequence[ClientAttempt], server_attempts: Sequence[ServerAttempt]
    ) -> str:
        request_class = attempts[0].request_class
        executed = sorted(
            (attempt for attempt in server_attempts if attempt.is_executed),
            key=lambda attempt: attempt.completed_at,
        )
        fault = _repetition_fault(request_class, executed)
        if fault:
            return fault
        is_rejected = any(attempt.status in (429, 503) for attempt in attempts)
        may_be_rejected = (
            request_class.idempotency is Idempotency.IDEMPOTENT or request_class.key_scope == "all"
        )
        if is_rejected and executed and not may_be_rejected:
            return "rejected though it was executed"
        return self._concurrency_fault(request_class, server_attempts)

    def _concurrency_fault(
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
                return "two attempts at a time"
        return ""

    def _disconnect_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            disconnected_at = max(attempt.disconnected_at for attempt in attempts)
            if not disconnected_at or any(attempt.status for attempt in attempts):
                continue
            paused_s = max(self._history.paused_s(attempt) for attempt in attempts)
            allowed_until = disconnected_at + _CANCELLATION_S + MACHINE_DELAY_S + paused_s
            for server_attempt in self._history.server_attempts[request_id]:
                if server_attempt.first_byte_at > allowed_until:
                    delay_s = server_attempt.first_byte_at - disconnected_at
                    yield f"attempt begun {delay_s:.3f} s after it: {attempts} {server_attempt}"

    def _deadline_violations(self) -> Iterator[str]:
        for request_id, attempts in self._history.client_attempts.items():
            for server_attempt in self._history.server_attempts[request_id]:
                # Measured at its first byte: delays in the network and the server's system are not visible.
                latest = server_attempt.first_byte_at + MACHINE_DELAY_S
                sent = [attempt for attempt in attempts if attempt.sent_at and attempt.sent_at <= latest]
                if not sent or self._history.is_unserved(sent[-1]):
                    continue
                last = sent[-1]
                left_s = last.sent_at + last.timeout_s - server_attempt.first_byte_at
                slack_s = _TIMEOUT_SLACK_S + MACHINE_DELAY_S + self._history.paused_s(last)
                announced_s = server_attempt.announced_timeout_s
                if announced_s > left_s + slack_s:
                    yield f"announced {announced_s:.3f} s, left {left_s:.3f} s: {last} {server_attempt}"

    def _drain_violations(self) -> Iterator[str]:
        for server_attempt in self._history.records.server_attempts:
            for attempt in self._history.client_attempts.get(server_attempt.request_id, [])[:1]:
                known_at = self._history.withdrawal_known_at(
                    attempt.sidecar, server_attempt.server, server_attempt.first_byte_at
                )
                if known_at is None:
                    continue
                delay_s = server_attempt.first_byte_at - known_at
                if server_attempt.first_byte_at > known_at + self._drain_grace_s + MACHINE_DELAY_S:
                    yield f"n{attempt.sidecar}, {delay_s:.3f} s after the withdrawal: {server_attempt}"

    def _process_violations(self) -> Iterator[str]:
        for process in self._history.records.processes:
            name = f"n{process.sidecar} pid {process.pid}"
            for line in process.log:
                if any(text in line for text in _INTERNAL_ERROR_TEXTS):
                    yield f"{name}: {line}"
            for fault in (_start_fault(process), _exit_fault(process)):
                if fault:
                    yield f"{name} {fault}: {process.log[-3:]}"


def _repetition_fault(request_class: RequestClass, executed: Sequence[ServerAttempt]) -> str:
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT and len(executed) > 1:
        return f"executed {len(executed)} times"
    if request_class.idempotency is not Idempotency.WITH_KEY or not executed:
        return ""
    if request_class.key_scope == "cell" and len({attempt.cell for attempt in executed}) > 1:
        return "executed in two cells"
    if request_class.key_scope == "zone" and len({attempt.zone for attempt in executed}) > 1:
        return "executed in two zones"
    window_ends_at = executed[0].completed_at + request_class.deduplication_window_s + MACHINE_DELAY_S
    return "executed again after its window" if executed[-1].completed_at > window_ends_at else ""


def _start_fault(process: ProcessRecord) -> str:
    if not process.ready_at and not process.killed_at and not process.sigterm_at:
        return "was never ready"
    if process.ready_at > process.started_at + READY_WITHIN_S:
        return f"took {process.ready_at - process.started_at:.1f} s to be ready"
    return ""


def _exit_fault(process: ProcessRecord) -> str:
    if process.exit_code is None or (process.killed_at and not process.sigterm_at):
        return ""
    if not process.sigterm_at:
        return f"ended by itself with {process.exit_code}"
    if process.killed_at:
        return "had to be killed after SIGTERM"
    return f"ended with {process.exit_code} after SIGTERM" if process.exit_code else ""
