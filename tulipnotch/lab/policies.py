"""Published policies in place of the decision module, for comparison on the same world and seeds.

They share one frame (`Plain`): it follows the list, sends each request where `choose` says, and after a
failure sends once more where the rules allow it.  None of them refuses early, weighs cold servers or
ejects: that is what the comparison is about.

- random: one server, each as likely.
- round-robin: one after another, from a random start.
- least-of-2: the fewer own requests in flight of two random servers (Mitzenmacher, "The Power of Two
  Choices in Randomized Load Balancing", IEEE TPDS 2001).
- peak-ewma: the lower product of latency and own requests in flight of two random servers, where the
  latency is an average that jumps up at once and decays over 10 s (Finagle's `PeakEwma`).
- prequal: probes of `queue` kept in a pool of 16 for at most 1 s; servers in the top quarter by queue are hot
  and avoided, of the others the one with the lowest latency wins (Wydrowski et al., "Load is not what you
  should balance", NSDI 2024).  Three probes for each request.
- shortest: joins the shortest queue, with sight of all true queues and paces at once: the top, not a policy.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from tulipnotch.lab.recorder import at_rank
from tulipnotch.lab.virtual import MakePolicy, Policy, World
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

_ASK_AGAIN_US = 500_000
_DECAY_US = 10_000_000
_POOL, _POOL_LIFE_US, _PROBES = 16, 1_000_000, 3
_HOT = 0.75  # the quantile of queues from which a server counts as hot


@dataclass(slots=True)
class _Request:
    kind: ServiceClass
    until: int
    sent: list[tuple[str, int]] = field(default_factory=list)
    may_have_run: str | None = None  # at which server
    ran_since: int = 0


class Plain:
    """What all have in common.  A subclass says which server."""

    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        self.random = random.Random(seed)
        self.world = world
        self.now = 0
        self.in_flight: dict[str, int] = {}
        self.ready: list[str] = []
        self._settings = settings
        self._classes = {each.name: each for each in settings.classes}
        self._zones: dict[str, tuple[str, int]] = {}
        self._states: dict[str, EndpointState] = {}
        self._open: dict[int, _Request] = {}
        self._begun = False

    def choose(self, names: Sequence[str]) -> str:
        raise NotImplementedError

    def answered(self, server: str, elapsed_us: int) -> None:
        """An attempt was delivered."""

    def extra(self) -> list[Action]:
        """What goes with each request."""
        return []

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        self.now = now
        actions: list[Action] = []
        if not self._begun:
            self._begun = True
            actions.append(Subscribe(True))
        match event:
            case AttemptEnded():
                actions += self._ended(event)
            case RequestArrived():
                kind = self._classes[event.service_class]
                self._open[event.request] = _Request(kind, now + event.remaining_us)
                actions += self.extra()
                actions += self._place(event.request)
            case EndpointsUpdated():
                if event.kind is EndpointUpdateKind.FAILED:
                    actions.append(SetTimer(_ASK_AGAIN_US, "ask"))
                else:
                    self._hear(event)
            case TimerFired():
                actions.append(Subscribe(True))
            case ClientDisconnected():
                self._open.pop(event.request, None)
            case HealthCheckEnded():
                self.probed(event)
            case _:
                pass
        return actions

    def probed(self, event: HealthCheckEnded) -> None:
        """A probe came back."""

    def _hear(self, event: EndpointsUpdated) -> None:
        if event.kind is not EndpointUpdateKind.DELTA:
            self._states.clear()
        for line in event.endpoints:
            self._states[line.name] = line.state
            self._zones[line.name] = (line.zone, line.cell)
            self.in_flight.setdefault(line.name, 0)
        self.ready = sorted(name for name, state in self._states.items() if state is EndpointState.READY)

    def _place(self, request: int) -> list[Action]:
        held = self._open[request]
        names = self._allowed(held)
        if not names or len(held.sent) >= self._settings.limits.max_attempts:
            return self._give_up(request)
        name = self.choose(names)
        held.sent.append((name, self.now))
        self.in_flight[name] += 1
        return [StartAttempt(request, name, held.until - 2 * self._settings.clock_resolution_us)]

    def _allowed(self, held: _Request) -> list[str]:
        """Where it may go: after it may have run, only to who drops its repeats, within their memory."""
        if not held.sent:
            return self.ready
        tried = {name for name, _ in held.sent}
        fresh = [name for name in self.ready if name not in tried]
        if held.may_have_run is None or held.kind.idempotency is Idempotency.IDEMPOTENT:
            return fresh or self.ready
        if (
            held.kind.idempotency is Idempotency.NON_IDEMPOTENT
            or self.now - held.ran_since >= held.kind.deduplication_window_us
        ):
            return []
        zone, _ = self._zones[held.may_have_run]
        return [name for name in fresh if self._zones[name][0] == zone]

    def _ended(self, event: AttemptEnded) -> list[Action]:
        self.in_flight[event.endpoint] = max(self.in_flight[event.endpoint] - 1, 0)
        if event.outcome is Outcome.DELIVERED:
            self.answered(event.endpoint, event.elapsed_us)
        held = self._open.get(event.request)
        if held is None:
            return []
        if event.is_responded:
            del self._open[event.request]
            return []
        if not self._settings.rules.proves_not_executed(event.outcome) and held.may_have_run is None:
            held.may_have_run, held.ran_since = held.sent[event.attempt]
        if held.until - self.now < 4 * self._settings.clock_resolution_us:
            return self._give_up(event.request)
        return self._place(event.request)

    def _give_up(self, request: int) -> list[Action]:
        held = self._open.pop(request)
        if held.may_have_run is None or held.kind.idempotency is Idempotency.IDEMPOTENT:
            return [RejectRequest(request)]
        return [FailRequest(request)]


class Random(Plain):
    def choose(self, names: Sequence[str]) -> str:
        return self.random.choice(names)


class RoundRobin(Plain):
    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self._turn = self.random.randrange(1 << 20)

    def choose(self, names: Sequence[str]) -> str:
        self._turn += 1
        return names[self._turn % len(names)]


class LeastOfTwo(Plain):
    def choose(self, names: Sequence[str]) -> str:
        if len(names) == 1:
            return names[0]
        a, b = self.random.sample(names, 2)
        return a if self.in_flight[a] <= self.in_flight[b] else b


class PeakEwma(Plain):
    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self._cost: dict[str, tuple[float, int]] = {}

    def answered(self, server: str, elapsed_us: int) -> None:
        cost, at = self._cost.get(server, (0.0, self.now))
        keeps = 2.0 ** (-(self.now - at) / _DECAY_US)
        cost = elapsed_us if elapsed_us > cost else cost * keeps + elapsed_us * (1.0 - keeps)
        self._cost[server] = (cost, self.now)

    def _load(self, server: str) -> float:
        return self._cost.get(server, (1.0, 0))[0] * (self.in_flight[server] + 1)

    def choose(self, names: Sequence[str]) -> str:
        if len(names) == 1:
            return names[0]
        a, b = self.random.sample(names, 2)
        return a if self._load(a) <= self._load(b) else b


class Prequal(Plain):
    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self._pool: list[tuple[int, str, float]] = []  # when, server, queue
        self._latency: dict[str, float] = {}

    def extra(self) -> list[Action]:
        count = min(_PROBES, len(self.ready))
        return [StartHealthCheck(name) for name in self.random.sample(self.ready, count)]

    def probed(self, event: HealthCheckEnded) -> None:
        if event.report is not None:
            self._pool.append((self.now, event.endpoint, event.report.get("queue", 0.0)))
            del self._pool[:-_POOL]

    def answered(self, server: str, elapsed_us: int) -> None:
        known = self._latency.get(server, float(elapsed_us))
        self._latency[server] = 0.9 * known + 0.1 * elapsed_us

    def choose(self, names: Sequence[str]) -> str:
        allowed = set(names)
        self._pool = [each for each in self._pool if self.now - each[0] <= _POOL_LIFE_US]
        pool = [each for each in self._pool if each[1] in allowed]
        if len(pool) < 2:
            return self.random.choice(names)
        queues = sorted(queue for _, _, queue in pool)
        hot = at_rank(queues, _HOT)
        cold = [each for each in pool if each[2] < hot or each[2] == 0.0]
        if cold:
            best = min(cold, key=lambda each: (self._latency.get(each[1], 0.0), each[2]))
        else:
            best = min(pool, key=lambda each: each[2])
        self._pool.remove(best)  # a reading is used once: it is stale as soon as it was acted on
        return best[1]


class Shortest(Plain):
    def choose(self, names: Sequence[str]) -> str:
        return min(names, key=self._time)

    def _time(self, name: str) -> float:
        """How long one more request would wait and run there, in units of its work; all-seeing."""
        server = self.world.by_name[name]
        if not server.is_up or server.hangs or server.has_fallen or server.is_leaving:
            return 1e9
        ahead = max(server.waiting + server.running + 1 - server.cores, 0)
        return (ahead / server.cores + 1.0) / server.pace(self.now)


def _module(settings: Settings, seed: int, world: World) -> Policy:
    return Balancer(settings, seed)


class Levelled:
    """The real module, with the standard levels of reduced service above it."""

    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        self._balancer = Balancer(settings, seed)
        least = min(settings.classes, key=lambda each: each.priority_weight).name
        self._ladder = ServiceLevelController(standard_levels(least), MIN_HOLD_US, world.engine.now)
        self._read_at = world.engine.now

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        actions = self._balancer.handle(now, event)
        if now < self._read_at:
            return actions
        self._read_at = now + OBSERVATION_INTERVAL_US
        change = self._ladder.observe_pressure(now, self._balancer.pressure())
        if change is not None:
            actions = [*actions, *self._balancer.handle(now, change.effect)]
        return actions


POLICIES: dict[str, MakePolicy] = {
    "module": _module,
    "module-levels": Levelled,
    "random": Random,
    "round-robin": RoundRobin,
    "least-of-2": LeastOfTwo,
    "peak-ewma": PeakEwma,
    "prequal": Prequal,
    "shortest": Shortest,
}
