"""Outlier detection: servers that fail are ejected for a while and readmitted by one trial at a time.

Prevents a server that fails quickly from looking idle and so drawing more requests.
"""

from __future__ import annotations

from tulipnotch.load_balancing.actions import LogEvent
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.records import Attempt, Endpoint, Request
from tulipnotch.load_balancing.selection.subset import subset_size
from tulipnotch.load_balancing.settings import Idempotency
from tulipnotch.load_balancing.slow_start.warm_capacity import WarmCapacity
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart

ANSWERS = (Outcome.DELIVERED, Outcome.CLIENT_ERROR)  # outcomes that show a server to be well
FAILURES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.SERVER_ERROR)
SILENCES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)  # failures that a stale connection may have caused
CONSECUTIVE_FAILURES = 2  # failures in a row, none answered between, that eject a server
CONSECUTIVE_DROPPED = 3  # or so many that end in a broken connection, which may be the network's fault
CONSECUTIVE_SPOILT = 6  # or so many spoilt answers: fewer are the network's fault
EJECT_AIMS = 2.0  # first ejection lasts this many of the longest aim; it doubles with each failed trial
EJECT_AIMS_MOST = 16.0  # and never lasts longer: a server that came back is found again
MOST_EJECTIONS = 8  # counted: the time is at its longest long before
EJECTED_MOST = 0.6  # never more than this share of the list is ejected: the rest would be overloaded
SILENT_MOST = 0.34  # nor more than this one for silence alone: more is overload, no outlier
SILENT = "silent"  # the reason given for an ejection for silence


class OutlierDetection:
    """The health of servers, by how attempts end."""

    def __init__(
        self,
        context: Context,
        load: Load,
        capacity: WarmCapacity,
        slow_start: SlowStart,
        idle: IdleConnections,
    ) -> None:
        self._context = context
        self._load = load
        self._capacity = capacity
        self._slow_start = slow_start
        self._idle = idle
        self._ejected: list[Endpoint] = []
        self.answers = 0  # so far, from all servers

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of a server's health from the end of an attempt."""
        server = attempt.endpoint
        is_trial = server.probation_attempt is attempt
        if is_trial:
            server.probation_attempt = None
        if outcome in ANSWERS:
            self._answered(attempt)
        elif outcome is Outcome.MALFORMED_RESPONSE:
            self._spoilt(server, is_trial)
        elif outcome in FAILURES:
            self._failed(attempt, outcome, is_trial)

    def _answered(self, attempt: Attempt) -> None:
        server = attempt.endpoint
        server.consecutive_failures = server.consecutive_malformed = 0
        server.last_response_at = self._context.now
        self._idle.answered(attempt)
        self.answers += 1
        self._capacity.answered(server)
        if server.ejected_until is not None:
            self.readmit(server)

    def _spoilt(self, server: Endpoint, is_trial: bool) -> None:
        """Prevents ejecting servers for what comes spoilt from all of them alike: it takes many in a row."""
        server.consecutive_malformed += 1
        server.last_response_at = self._context.now
        is_outlier = server.consecutive_malformed >= CONSECUTIVE_SPOILT and server.ejected_until is None
        if is_trial or is_outlier:
            self._eject(server, Outcome.MALFORMED_RESPONSE.value)

    def _failed(self, attempt: Attempt, outcome: Outcome, is_trial: bool) -> None:
        server = attempt.endpoint
        if outcome is Outcome.TIMED_OUT and server.last_response_at > attempt.sent_at:
            return  # it is slow, and no outlier: it answered others meanwhile
        if outcome in SILENCES and self._idle.is_blamed_for(attempt) and not is_trial:
            return
        server.consecutive_failures += 1
        enough = CONSECUTIVE_DROPPED if outcome is Outcome.CONNECTION_LOST else CONSECUTIVE_FAILURES
        is_outlier = server.consecutive_failures >= enough and server.ejected_until is None
        if not is_trial and not is_outlier:
            return
        self._eject(server, outcome.value)
        if is_trial and outcome is Outcome.CONNECT_FAILED:
            # Its process ended, and another may come before the list says so.  Connections that break say
            # less: the network may do that, and a fleet taken for cold has no room for anyone.
            self._slow_start.turned_cold(server)

    def eject_silent(self, server: Endpoint) -> None:
        """Eject a server that has answered nothing for long, unless too many are ejected already."""
        self._eject(server, SILENT, SILENT_MOST)

    def _eject(self, server: Endpoint, reason: str, most: float = EJECTED_MOST) -> None:
        """Eject a server, or eject it for longer.

        Prevents ejecting so many (the panic threshold) that the rest would be overloaded.
        """
        context = self._context
        if server.ejected_until is None:
            known = min(len(context.ready_endpoints), subset_size(self._load.mean))
            if len(self._ejected) + 1 > most * known:
                return
            self._ejected.append(server)
            self._load.server_ejected(server)
            context.actions.append(LogEvent("ejected", server.name, reason))
        aims = min(EJECT_AIMS * 2**server.ejections, EJECT_AIMS_MOST)
        server.ejections = min(server.ejections + 1, MOST_EJECTIONS)
        server.ejected_until = context.after_about(aims)

    def readmit(self, server: Endpoint) -> None:
        """End a server's ejection; its process may have been replaced meanwhile, and so be cold."""
        server.ejected_until = None
        self._ejected.remove(server)
        self._load.server_readmitted(server)
        server.ejections = 0
        server.consecutive_failures = 0
        if server.warm_up_started_at is not None and not server.is_start_announced:
            self._slow_start.turned_cold(server)
        self._context.actions.append(LogEvent("readmitted", server.name))

    def forget(self, server: Endpoint) -> None:
        """Prevents servers that left for good from counting as a part of the list that is ejected."""
        if server in self._ejected:
            self._ejected.remove(server)

    def trial_due(self, request: Request) -> Endpoint | None:
        """The ejected server to try with this request, which must be one that may be repeated."""
        if (
            not self._ejected
            or request.service_class.idempotency is not Idempotency.IDEMPOTENT
            or request.attempts
        ):
            return None
        now = self._context.now
        for server in self._ejected:
            is_due = server.ejected_until is not None and now >= server.ejected_until
            if is_due and server.state is EndpointState.READY and server.probation_attempt is None:
                if self._slow_start.has_room(server, request.work):
                    return server
        return None
