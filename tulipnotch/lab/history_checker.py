"""Checks four rules against the history that clients, servers and discovery observed.

The checker shares no code with the decisions and takes no input from a sidecar.  Times are whole microseconds
of one clock.

1. answers: each received request gets exactly one final response, no later than its deadline plus the slack.
2. effects: no request takes effect twice.  An idempotent class may execute any number of times; one that is
   idempotent with a key once for each scope and deduplication window (servers drop duplicates there); any
   other once.  A client may retry after a rejection, so a rejected request must not have executed, unless
   duplicates of it are dropped everywhere.
3. drains: no new attempt goes to a server later than the grace period after its sidecar was notified that the
   server is draining or removed, or counts as notified because its last poll is too long ago.
4. cold: no server that is warming up is overloaded by sidecars that were notified of its start (two thirds of
   the work).

The names of the rules are keys of scenario and result files; the texts of the violations are part of the
results.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from tulipnotch.lab.scenario import RULES, Scenario, ServiceClass

_MAX_EXAMPLES = 10  # violations of a rule whose texts are retained
# Minimum fraction of the work that overloaded a server which notified sidecars sent, for a violation.
_MIN_NOTIFIED_WORK_RATIO = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class _Limits:
    """The tolerances of the rules."""

    drain_grace_us: int  # includes the slack
    response_slack_us: int
    max_poll_interval_us: int

    @classmethod
    def from_scenario(cls, scenario: Scenario) -> _Limits:
        rules = scenario.rules
        return cls(
            drain_grace_us=int((rules.drain_grace_ms + rules.slack_ms) * 1e3),
            response_slack_us=int(rules.slack_ms * 1e3),
            max_poll_interval_us=int(rules.ask_within_s * 1e6),
        )


@dataclass(slots=True)
class _ReceivedRequest:
    """What is known of a request that reached its sidecar."""

    sidecar: int
    service_class: ServiceClass
    deadline: int
    response_count: int = 0
    is_rejected: bool = False
    needs_no_response: bool = False  # its client disconnected, or its sidecar was killed


@dataclass(frozen=True, slots=True)
class _Effect:
    """One execution of a request that no server dropped as a duplicate."""

    executed_at: int
    zone: str
    cell: int


@dataclass(frozen=True, slots=True)
class _PublishedState:
    """What the endpoint list says of a server, and since when."""

    is_draining: bool
    since: int


_NEVER_PUBLISHED = _PublishedState(is_draining=False, since=0)


class HistoryChecker:
    """Owns the observed history and the violations found in it.

    Observations are passed in the order of time.  The violations are complete after `finish`.

    Attributes:
        violation_counts: The number of violations of each rule.
        violations: The texts of the first violations of each rule.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Starts with an empty history.

        Args:
            scenario: Gives the tolerances of the rules.
        """
        self._limits = _Limits.from_scenario(scenario)
        self._requests: dict[int, _ReceivedRequest] = {}
        self._effects: dict[int, list[_Effect]] = {}  # keyed by request
        # Keyed by sidecar and server: when the sidecar was notified that the server is draining.
        self._draining_since: dict[tuple[int, str], int] = {}
        # Keyed by sidecar and server: the start of the server that the sidecar was last notified of.
        self._notified_starts: dict[tuple[int, str], int] = {}
        self._published: dict[str, _PublishedState] = {}  # keyed by server
        self._stopped_sidecars: set[int] = set()  # sidecars that were killed and do not listen yet
        # Keyed by sidecar: when it last polled; None while it is subscribed to watch events.
        self._last_polls: dict[int, int | None] = {}
        self.violation_counts = dict.fromkeys(RULES, 0)
        self.violations: dict[str, list[str]] = {rule: [] for rule in RULES}

    def _add_violation(self, rule: str, text: str) -> None:
        self.violation_counts[rule] += 1
        if len(self.violations[rule]) < _MAX_EXAMPLES:
            self.violations[rule].append(text)

    def remove_requests_executed_before(self, time: int) -> None:
        """Removes requests that last took effect before this time, which bounds memory on long runs.

        Args:
            time: Microseconds.
        """
        old = [
            request
            for request, effects in self._effects.items()
            if effects and effects[-1].executed_at < time
        ]
        for request in old:
            del self._effects[request]
            self._requests.pop(request, None)

    def __contains__(self, request: int) -> bool:
        """Whether the request was received and has not been removed."""
        return request in self._requests

    # Observations of clients

    def request_received(
        self, request: int, sidecar: int, service_class: ServiceClass, *, now: int, timeout_us: int
    ) -> None:
        """Records that the request's last byte reached its sidecar; its client waits for `timeout_us`."""
        received = self._requests[request] = _ReceivedRequest(sidecar, service_class, now + timeout_us)
        # A client may write to a connection before it notices that the sidecar was killed.
        received.needs_no_response = sidecar in self._stopped_sidecars

    def response_received(self, request: int, now: int, *, is_rejection: bool = False) -> None:
        """Records that a final response reached the client."""
        received = self._requests.get(request)
        if received is None:
            self._add_violation(
                "answers", f"request {request} was never received and got a response at {now} us"
            )
            return
        received.response_count += 1
        received.is_rejected = received.is_rejected or is_rejection
        if received.response_count > 1:
            self._add_violation(
                "answers", f"request {request} got response {received.response_count} at {now} us"
            )
        if now > received.deadline + self._limits.response_slack_us and not received.needs_no_response:
            late_ms = (now - received.deadline) / 1e3
            self._add_violation(
                "answers", f"request {request} got its response {late_ms:.0f} ms after its deadline"
            )

    def foreign_response_received(self, request: int) -> None:
        """Records that a client received a response that no server generated for its request."""
        self._add_violation("answers", f"request {request} got a response that no server generated for it")

    def client_disconnected(self, request: int) -> None:
        """Records that the client disconnected early, so that no response is pending."""
        received = self._requests.get(request)
        if received is not None:
            received.needs_no_response = True

    def sidecar_killed(self, sidecar: int) -> None:
        """Records that the sidecar was killed, which loses its open requests and what it was notified of."""
        self._stopped_sidecars.add(sidecar)
        for received in self._requests.values():
            if received.sidecar == sidecar and not received.response_count:
                received.needs_no_response = True
        for notifications in (self._draining_since, self._notified_starts):
            for key in [key for key in notifications if key[0] == sidecar]:
                del notifications[key]
        self._last_polls.pop(sidecar, None)

    def sidecar_listening(self, sidecar: int) -> None:
        """Records that the sidecar listens (again): requests received from now on need a response."""
        self._stopped_sidecars.discard(sidecar)

    # Observations of servers

    def attempt_started(self, request: int, zone: str, cell: int, now: int) -> bool:
        """Records that a server starts to execute an attempt.

        Returns:
            Whether the attempt is a duplicate that this server drops.
        """
        effects = self._effects.setdefault(request, [])
        received = self._requests.get(request)
        if received is None:
            self._add_violation("effects", f"request {request} was executed and no client had sent it")
            return False
        service_class = received.service_class
        if service_class.repeat == "safe":
            return False
        attempt = _Effect(now, zone, cell)
        if service_class.repeat == "keyed" and _is_deduplicated(service_class, effects, attempt):
            return True
        if effects:
            self._add_violation(
                "effects", f"{service_class.name} request {request} took effect again in {zone} at {now} us"
            )
        effects.append(attempt)
        return False

    def attempt_sent(self, sidecar: int, server: str, now: int) -> None:
        """Records that a sidecar sent an attempt to a server."""
        since = self._draining_since.get((sidecar, server))
        if since is not None and now > since + self._limits.drain_grace_us:
            late_ms = (now - since) / 1e3
            self._add_violation(
                "drains",
                f"sidecar {sidecar} sent an attempt to {server} {late_ms:.0f} ms after notice of its drain",
            )
            return
        published = self._published.get(server, _NEVER_PUBLISHED)
        last_poll = self._last_polls.get(sidecar, 0)
        if published.is_draining and since is None and last_poll is not None:
            counts_as_notified_at = max(published.since, last_poll) + self._limits.max_poll_interval_us
            if now > counts_as_notified_at + self._limits.drain_grace_us:
                self._add_violation(
                    "drains",
                    f"sidecar {sidecar} sent an attempt to draining {server} too long after its last poll",
                )

    def server_overloaded(self, server: str, started_at: int, work_by_sidecar: Mapping[int, float]) -> None:
        """Records that a server was overloaded while warming up.

        Args:
            server: Its name.
            started_at: When it started, microseconds.
            work_by_sidecar: The work that overloaded it, by the sidecar that sent it.
        """
        if self.was_notified(server, started_at, work_by_sidecar):
            self._add_violation(
                "cold", f"{server}, started at {started_at} us, was overloaded while warming up"
            )

    def was_notified(self, server: str, started_at: int, work_by_sidecar: Mapping[int, float]) -> bool:
        """Whether at least two thirds of this work came from sidecars that were notified of this start."""
        notified_work = sum(
            work
            for sidecar, work in work_by_sidecar.items()
            if self._notified_starts.get((sidecar, server), -1) >= started_at
        )
        return notified_work >= _MIN_NOTIFIED_WORK_RATIO * sum(work_by_sidecar.values())

    # Observations of discovery

    def endpoint_published(self, server: str, *, is_draining: bool, now: int) -> None:
        """Records what the endpoint list says of a server from now on; removed counts as draining."""
        if not is_draining or not self._published.get(server, _NEVER_PUBLISHED).is_draining:
            self._published[server] = _PublishedState(is_draining, now)

    def endpoints_polled(self, sidecar: int, now: int | None) -> None:
        """Records that a sidecar polled at this time, or (None) is subscribed to watch events from now on."""
        self._last_polls[sidecar] = now

    def sidecar_notified(
        self, sidecar: int, server: str, *, is_draining: bool, started_at: int | None, now: int
    ) -> None:
        """Records that a sidecar was sent this endpoint; removed counts as draining.

        Args:
            sidecar: The sidecar's number.
            server: The server's name.
            is_draining: Whether the endpoint is draining or removed.
            started_at: When the server started, microseconds; None if that is not announced.
            now: When it was sent, microseconds.
        """
        if is_draining:
            self._draining_since.setdefault((sidecar, server), now)
            return
        self._draining_since.pop((sidecar, server), None)
        if started_at is not None:
            self._notified_starts[sidecar, server] = started_at

    # End of the run

    def finish(self, now: int) -> None:
        """Checks for responses that are still pending, and for rejected requests that were executed."""
        for request, received in self._requests.items():
            is_pending = not received.response_count and not received.needs_no_response
            if is_pending and now > received.deadline + self._limits.response_slack_us:
                self._add_violation("answers", f"request {request} got no response")
            service_class = received.service_class
            is_retry_harmless = service_class.repeat == "safe" or (
                service_class.repeat == "keyed" and service_class.group == "all"
            )
            if received.is_rejected and not is_retry_harmless and self._effects.get(request):
                self._add_violation(
                    "effects", f"{service_class.name} request {request} was rejected and executed"
                )

    @property
    def violated_rule_count(self) -> int:
        """The number of rules with at least one violation."""
        return sum(1 for count in self.violation_counts.values() if count)


def _is_deduplicated(service_class: ServiceClass, effects: list[_Effect], attempt: _Effect) -> bool:
    """Whether servers drop this attempt, given the earlier effects of its request."""
    window_us = int(service_class.window_ms * 1e3)
    for effect in effects:
        is_same_scope = {
            "all": True,
            "zone": attempt.zone == effect.zone,
            "cell": attempt.cell == effect.cell,
        }[service_class.group]
        if is_same_scope and attempt.executed_at - effect.executed_at <= window_us:
            return True
    return False
