"""Published policies that replace the decision module, for comparison on the same scenarios and seeds.

They share one base class (`BasePolicy`), which subscribes to the endpoint list, sends each attempt to the
endpoint that `choose_endpoint` returns, and retries a failed attempt where the rules allow it.  None of them
sheds load, limits the load of servers that are warming up, or ejects endpoints; a comparison shows what the
decision module gains by that.

- random: a random endpoint, all with the same probability.
- round-robin: one endpoint after another, from a random start.
- least-of-2: of two random endpoints, the one with fewer requests of this sidecar in flight (Mitzenmacher,
  "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001).
- peak-ewma: of two random endpoints, the one with the lower product of latency and requests of this sidecar
  in flight, where the latency is an average that rises at once and decays with a half-life of 10 s
  (Finagle's `PeakEwma`).
- prequal: a pool of the last 16 health check reports of `queue`, each retained for at most 1 s; endpoints in
  the top quarter by queue are hot and avoided, and of the others the one with the lowest latency is chosen
  (Wydrowski et al., "Load is not what you should balance", NSDI 2024).  Three health checks for each request.
- shortest: joins the shortest queue, with knowledge of the present queue and speed of every server.  No real
  sidecar has that; it is an upper bound for the others.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from tulipnotch.lab.recorder import value_at_rank
from tulipnotch.lab.virtual import Policy, PolicyFactory, Simulation
from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import (
    Action,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    Subscribe,
)
from tulipnotch.load_balancing.admission.service_levels import (
    MIN_HOLD_US,
    OBSERVATION_INTERVAL_US,
    ServiceLevelController,
    standard_levels,
)
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Idempotency, ServiceClass, Settings

_SUBSCRIBE_RETRY_US = 500_000
_LATENCY_HALF_LIFE_US = 10_000_000
_REPORT_POOL_SIZE, _MAX_REPORT_AGE_US, _HEALTH_CHECKS_PER_REQUEST = 16, 1_000_000, 3
_HOT_QUEUE_QUANTILE = 0.75  # an endpoint with a queue from this quantile on is hot


@dataclass(slots=True)
class _OpenRequest:
    service_class: ServiceClass
    deadline: int
    attempts: list[tuple[str, int]] = field(default_factory=list)  # endpoint and time of each
    possibly_executed_at: str | None = None  # the first endpoint that may have executed the request
    possibly_executed_since: int = 0  # when that attempt was sent


class BasePolicy:
    """Base class of the policies; a subclass chooses the endpoint of each attempt.

    Attributes:
        rng: The random generator of the policy.
        simulation: The simulation, for `ShortestQueue` only.
        now: The time of the event that is being handled.
        in_flight: The number of attempts in flight, by endpoint.
        ready: The names of the ready endpoints in sorted order.
    """

    def __init__(self, settings: Settings, seed: int, simulation: Simulation) -> None:
        self.rng = random.Random(seed)
        self.simulation = simulation
        self.now = 0
        self.in_flight: dict[str, int] = {}
        self.ready: list[str] = []
        self._settings = settings
        self._classes = {each.name: each for each in settings.classes}
        self._zone_and_cell: dict[str, tuple[str, int]] = {}
        self._states: dict[str, EndpointState] = {}
        self._open_requests: dict[int, _OpenRequest] = {}
        self._has_subscribed = False

    def choose_endpoint(self, names: Sequence[str]) -> str:
        raise NotImplementedError

    def attempt_succeeded(self, endpoint: str, elapsed_us: int) -> None:
        """Is notified of an attempt whose response was delivered, and of its latency."""

    def request_actions(self) -> list[Action]:
        """Returns the actions that come with each request, before its first attempt."""
        return []

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        self.now = now
        actions: list[Action] = []
        if not self._has_subscribed:
            self._has_subscribed = True
            actions.append(Subscribe(True))
        match event:
            case AttemptEnded():
                actions += self._attempt_ended(event)
            case RequestArrived():
                service_class = self._classes[event.service_class]
                self._open_requests[event.request] = _OpenRequest(service_class, now + event.remaining_us)
                actions += self.request_actions()
                actions += self._start_attempt(event.request)
            case EndpointsUpdated():
                if event.kind is EndpointUpdateKind.FAILED:
                    actions.append(SetTimer(_SUBSCRIBE_RETRY_US, "ask"))
                else:
                    self._update_endpoints(event)
            case TimerFired():
                actions.append(Subscribe(True))
            case ClientDisconnected():
                self._open_requests.pop(event.request, None)
            case HealthCheckEnded():
                self.health_check_ended(event)
            case _:
                pass
        return actions

    def health_check_ended(self, event: HealthCheckEnded) -> None:
        """Is notified of the outcome of a health check."""

    def _update_endpoints(self, event: EndpointsUpdated) -> None:
        if event.kind is not EndpointUpdateKind.DELTA:
            self._states.clear()
        for endpoint in event.endpoints:
            self._states[endpoint.name] = endpoint.state
            self._zone_and_cell[endpoint.name] = (endpoint.zone, endpoint.cell)
            self.in_flight.setdefault(endpoint.name, 0)
        self.ready = sorted(name for name, state in self._states.items() if state is EndpointState.READY)

    def _start_attempt(self, request: int) -> list[Action]:
        open_request = self._open_requests[request]
        names = self._allowed_endpoints(open_request)
        if not names or len(open_request.attempts) >= self._settings.limits.max_attempts:
            return self._reject_or_fail(request)
        name = self.choose_endpoint(names)
        open_request.attempts.append((name, self.now))
        self.in_flight[name] += 1
        return [StartAttempt(request, name, open_request.deadline - 2 * self._settings.clock_resolution_us)]

    def _allowed_endpoints(self, open_request: _OpenRequest) -> list[str]:
        """Returns the endpoints that an attempt may go to.

        A request that may have been executed and is not idempotent may only be retried at endpoints that drop
        its duplicates, within the deduplication window.
        """
        if not open_request.attempts:
            return self.ready
        tried_names = {name for name, _ in open_request.attempts}
        untried_names = [name for name in self.ready if name not in tried_names]
        if (
            open_request.possibly_executed_at is None
            or open_request.service_class.idempotency is Idempotency.IDEMPOTENT
        ):
            return untried_names or self.ready
        if (
            open_request.service_class.idempotency is Idempotency.NON_IDEMPOTENT
            or self.now - open_request.possibly_executed_since
            >= open_request.service_class.deduplication_window_us
        ):
            return []
        zone, _ = self._zone_and_cell[open_request.possibly_executed_at]
        return [name for name in untried_names if self._zone_and_cell[name][0] == zone]

    def _attempt_ended(self, event: AttemptEnded) -> list[Action]:
        self.in_flight[event.endpoint] = max(self.in_flight[event.endpoint] - 1, 0)
        if event.outcome is Outcome.DELIVERED:
            self.attempt_succeeded(event.endpoint, event.elapsed_us)
        open_request = self._open_requests.get(event.request)
        if open_request is None:
            return []
        if event.is_responded:
            del self._open_requests[event.request]
            return []
        if (
            not self._settings.rules.proves_not_executed(event.outcome)
            and open_request.possibly_executed_at is None
        ):
            open_request.possibly_executed_at, open_request.possibly_executed_since = open_request.attempts[
                event.attempt
            ]
        if open_request.deadline - self.now < 4 * self._settings.clock_resolution_us:
            return self._reject_or_fail(event.request)
        return self._start_attempt(event.request)

    def _reject_or_fail(self, request: int) -> list[Action]:
        open_request = self._open_requests.pop(request)
        if (
            open_request.possibly_executed_at is None
            or open_request.service_class.idempotency is Idempotency.IDEMPOTENT
        ):
            return [RejectRequest(request)]
        return [FailRequest(request)]


class Random(BasePolicy):
    def choose_endpoint(self, names: Sequence[str]) -> str:
        return self.rng.choice(names)


class RoundRobin(BasePolicy):
    def __init__(self, settings: Settings, seed: int, simulation: Simulation) -> None:
        super().__init__(settings, seed, simulation)
        self._position = self.rng.randrange(1 << 20)

    def choose_endpoint(self, names: Sequence[str]) -> str:
        self._position += 1
        return names[self._position % len(names)]


class LeastOfTwo(BasePolicy):
    def choose_endpoint(self, names: Sequence[str]) -> str:
        if len(names) == 1:
            return names[0]
        a, b = self.rng.sample(names, 2)
        return a if self.in_flight[a] <= self.in_flight[b] else b


class PeakEwma(BasePolicy):
    def __init__(self, settings: Settings, seed: int, simulation: Simulation) -> None:
        super().__init__(settings, seed, simulation)
        self._latency_and_time: dict[str, tuple[float, int]] = {}

    def attempt_succeeded(self, endpoint: str, elapsed_us: int) -> None:
        latency_us, updated_at = self._latency_and_time.get(endpoint, (0.0, self.now))
        retained = 2.0 ** (-(self.now - updated_at) / _LATENCY_HALF_LIFE_US)
        latency_us = (
            elapsed_us if elapsed_us > latency_us else latency_us * retained + elapsed_us * (1.0 - retained)
        )
        self._latency_and_time[endpoint] = (latency_us, self.now)

    def _load(self, endpoint: str) -> float:
        return self._latency_and_time.get(endpoint, (1.0, 0))[0] * (self.in_flight[endpoint] + 1)

    def choose_endpoint(self, names: Sequence[str]) -> str:
        if len(names) == 1:
            return names[0]
        a, b = self.rng.sample(names, 2)
        return a if self._load(a) <= self._load(b) else b


class Prequal(BasePolicy):
    def __init__(self, settings: Settings, seed: int, simulation: Simulation) -> None:
        super().__init__(settings, seed, simulation)
        self._reports: list[tuple[int, str, float]] = []  # time, endpoint and queue of each
        self._latency_us: dict[str, float] = {}

    def request_actions(self) -> list[Action]:
        count = min(_HEALTH_CHECKS_PER_REQUEST, len(self.ready))
        return [StartHealthCheck(name) for name in self.rng.sample(self.ready, count)]

    def health_check_ended(self, event: HealthCheckEnded) -> None:
        if event.report is not None:
            self._reports.append((self.now, event.endpoint, event.report.get("queue", 0.0)))
            del self._reports[:-_REPORT_POOL_SIZE]

    def attempt_succeeded(self, endpoint: str, elapsed_us: int) -> None:
        average_us = self._latency_us.get(endpoint, float(elapsed_us))
        self._latency_us[endpoint] = 0.9 * average_us + 0.1 * elapsed_us

    def choose_endpoint(self, names: Sequence[str]) -> str:
        allowed = set(names)
        self._reports = [each for each in self._reports if self.now - each[0] <= _MAX_REPORT_AGE_US]
        reports = [each for each in self._reports if each[1] in allowed]
        if len(reports) < 2:
            return self.rng.choice(names)
        queues = sorted(queue for _, _, queue in reports)
        hot_queue = value_at_rank(queues, _HOT_QUEUE_QUANTILE)
        not_hot = [each for each in reports if each[2] < hot_queue or each[2] == 0.0]
        if not_hot:
            best = min(not_hot, key=lambda each: (self._latency_us.get(each[1], 0.0), each[2]))
        else:
            best = min(reports, key=lambda each: each[2])
        self._reports.remove(best)  # a report is used once: the request sent by it makes it outdated
        return best[1]


class ShortestQueue(BasePolicy):
    def choose_endpoint(self, names: Sequence[str]) -> str:
        return min(names, key=self._expected_duration)

    def _expected_duration(self, name: str) -> float:
        """Returns how long a request would wait and run at this server, in units of its work."""
        server = self.simulation.servers_by_name[name]
        if not server.is_up or server.is_hanging or server.has_failed_warm_up or server.is_draining:
            return 1e9
        waiting_ahead = max(server.waiting + server.running + 1 - server.cores, 0)
        return (waiting_ahead / server.cores + 1.0) / server.current_speed(self.now)


def _make_balancer(settings: Settings, seed: int, simulation: Simulation) -> Policy:
    return Balancer(settings, seed)


class BalancerWithServiceLevels:
    """The decision module, with the standard service levels above it."""

    def __init__(self, settings: Settings, seed: int, simulation: Simulation) -> None:
        self._balancer = Balancer(settings, seed)
        lowest_class = min(settings.classes, key=lambda each: each.priority_weight).name
        self._service_levels = ServiceLevelController(
            standard_levels(lowest_class), MIN_HOLD_US, simulation.engine.now
        )
        self._next_observation_at = simulation.engine.now

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        actions = self._balancer.handle(now, event)
        if now < self._next_observation_at:
            return actions
        self._next_observation_at = now + OBSERVATION_INTERVAL_US
        change = self._service_levels.observe_pressure(now, self._balancer.pressure())
        if change is not None:
            actions = [*actions, *self._balancer.handle(now, change.effect)]
        return actions


POLICIES: dict[str, PolicyFactory] = {
    "module": _make_balancer,
    "module-levels": BalancerWithServiceLevels,
    "random": Random,
    "round-robin": RoundRobin,
    "least-of-2": LeastOfTwo,
    "peak-ewma": PeakEwma,
    "prequal": Prequal,
    "shortest": ShortestQueue,
}
