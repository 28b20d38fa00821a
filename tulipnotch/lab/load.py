"""What clients ask for and how they go on, the same in virtual and in real time.

Arrivals are drawn ahead and wait for nobody: the load is open-loop, and every latency counts from the time at
which a request was meant to be sent.  Each stream of chance has a name of its own, so that a change of policy
changes no arrival.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.lab.scenario import Clients, Load, Scenario, ServiceClass


def stream(seed: int, *name: object) -> random.Random:
    """A stream of chance of its own for each name; the same on every machine."""
    return random.Random(":".join(map(str, (seed, *name))))


@unique
class Ending(Enum):
    """How a request ended for its client, all tries taken together."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"  # the client left before its time was up


@dataclass(slots=True)
class Ask:
    """What one client wants: its first try and those that follow."""

    number: int  # of all sidecars together
    sidecar: int
    at: int  # when the first try is meant to be sent, microseconds from the start
    kind: ServiceClass
    tenant: str | None
    key: int
    work_us: float
    leaves_after_us: int  # 0: it stays to the end
    honours: bool  # whether it waits as `Retry-After` says
    tries: int = 0


def draw_work(kind: ServiceClass, chance: random.Random) -> float:
    """Work of one request of the class on a standard core, in microseconds; the mean is `work_ms`."""
    mean, cv = kind.work_ms * 1e3, kind.work_cv
    if kind.dist == "constant" or cv <= 0.0:
        return mean
    if kind.dist == "exponential":
        return chance.expovariate(1.0 / mean)
    if kind.dist == "lognormal":
        spread = math.log1p(cv * cv)
        return chance.lognormvariate(math.log(mean) - spread / 2.0, math.sqrt(spread))
    shape = 1.0 + math.sqrt(1.0 + 1.0 / (cv * cv))  # of a Pareto whose coefficient of variation is cv
    return mean * (shape - 1.0) / shape * chance.paretovariate(shape)


def relative_rate(load: Load, at_s: float) -> float:
    """The rate at this second, in proportion to the scenario's."""
    factor = 1.0
    for since, each in load.factors:
        if at_s < since:
            break
        factor = each
    if load.shape == "wave":
        factor *= 1.0 + load.swing * math.sin(2.0 * math.pi * at_s / load.period_s)
    return factor


def arrivals(given: Scenario, seed: int, sidecar: int, rate: float) -> Iterator[Ask]:
    """The first tries at one sidecar, `rate` a second on average: a Poisson stream, thinned to the shape."""
    chance = stream(seed, "arrivals", sidecar)
    load = given.load
    most = max((factor for _, factor in load.factors), default=1.0)
    most = max(most, 1.0) * (1.0 + (load.swing if load.shape == "wave" else 0.0))
    kinds = _Weighted([each.share for each in given.classes])
    tenants = _Weighted([each.share * each.usage for each in given.tenants])
    keys = _Weighted([1.0 / (rank + 1.0) ** load.key_zipf for rank in range(load.keys)])
    tails = [each for each in given.faults if each.kind == "heavy_tail"]
    if rate <= 0.0:
        return
    at_s = 0.0
    for number in itertools.count():
        while True:
            at_s += chance.expovariate(rate * most)
            if at_s >= given.seconds:
                return
            if chance.random() * most < relative_rate(load, at_s):
                break
        kind = given.classes[kinds.draw(chance)]
        tenant = given.tenants[tenants.draw(chance)].name if given.tenants else None
        work = draw_work(kind, chance)
        for tail in tails:
            heavy = chance.random() < tail.extra
            if heavy and tail.at_s <= at_s < tail.at_s + tail.for_s and kind is given.classes[0]:
                work *= tail.size
        leaves = chance.random() < given.clients.impatient
        yield Ask(
            number=number * given.fleet.sidecars + sidecar,
            sidecar=sidecar,
            at=int(at_s * 1e6),
            kind=kind,
            tenant=tenant,
            key=keys.draw(chance),
            work_us=work,
            leaves_after_us=int(kind.deadline_ms * 1e3 * chance.uniform(0.02, 0.25)) if leaves else 0,
            honours=chance.random() < given.clients.honour,
        )


class _Weighted:
    """Draws places in proportion to weights."""

    def __init__(self, weights: list[float]) -> None:
        self._sums = list(itertools.accumulate(weights))

    def draw(self, chance: random.Random) -> int:
        at = bisect.bisect_right(self._sums, chance.random() * self._sums[-1])
        return min(at, len(self._sums) - 1)


def rates(given: Scenario, seed: int, capacity: float) -> list[float]:
    """First tries a second at each sidecar; `capacity` in seconds of standard work a second."""
    load = given.load
    total = load.rate if load.rate is not None else (load.utilisation or 0.0) * capacity / given.mean_work_s
    chance = stream(seed, "skew")
    spread = math.log1p(load.skew**2)
    parts = [chance.lognormvariate(0.0, math.sqrt(spread)) for _ in range(given.fleet.sidecars)]
    return [total * part / sum(parts) for part in parts]


def try_wait_us(ask: Ask, now: int, clients: Clients) -> int:
    """How long a try that is sent now may take, in microseconds; 0: there is no time left."""
    left = ask.at + int(ask.kind.deadline_ms * 1e3) - now
    return max(min(left, int(ask.kind.deadline_ms * 1e3 * clients.try_share)), 0)


def comes_again(
    ask: Ask, how: Ending, retry_after_us: int, now: int, clients: Clients, chance: Callable[[], float]
) -> int | None:
    """When the client tries again after an answer at `now`; None: it gives up.

    What is safe is repeated after any failure, anything else only after a refusal.
    """
    if how is Ending.SERVED or how is Ending.GONE or ask.tries > clients.retries:
        return None
    if how is Ending.FAILED and ask.kind.repeat != "safe":
        return None
    wait = clients.backoff_ms * 1e3 * 2 ** (ask.tries - 1) * (0.5 + chance())
    if ask.honours and retry_after_us > 0:
        wait = max(retry_after_us, 1_000) * (1.0 + 0.1 * chance())
    again = now + int(wait)
    return again if try_wait_us(ask, again, clients) > 20_000 else None
