"""The load of a scenario: its arrivals, and how clients retry; the same in virtual and in real time.

Arrivals are sampled in advance and depend on no response: the load is open-loop, and every latency counts
from the time at which the first try of a request was intended to be sent.  Each purpose has a random stream
of its own, so that another policy gets the same arrivals.
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


def random_stream(seed: int, *name: object) -> random.Random:
    """Returns an independent random generator for each name; its numbers are the same on every machine."""
    return random.Random(":".join(map(str, (seed, *name))))


@unique
class RequestOutcome(Enum):
    """How a request ended for its client, over all its tries; the values are keys of result files."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "gone"  # the client disconnected before its deadline


@dataclass(slots=True)
class ClientRequest:
    """A request of a client, which sends it in a first try and possibly in retries.

    Attributes:
        number: Identifies the request among those of all sidecars.
        sidecar: The index of the sidecar that receives it.
        intended_at: When the first try should be sent, microseconds from the start.
        service_class: Its service class.
        tenant: The name of its tenant, if the scenario has tenants.
        key: Its key, for servers that do repeated work on a key faster.
        work_us: Its work on a standard core, microseconds.
        disconnects_after_us: The time from the start of the first try until the client disconnects; 0 if it
            does not.
        honors_retry_after: Whether the client waits as long as `Retry-After` says.
        try_count: The number of tries sent so far.
    """

    number: int
    sidecar: int
    intended_at: int
    service_class: ServiceClass
    tenant: str | None
    key: int
    work_us: float
    disconnects_after_us: int
    honors_retry_after: bool
    try_count: int = 0


def sample_work_us(service_class: ServiceClass, rng: random.Random) -> float:
    """Samples the work of one request on a standard core, microseconds; the mean is `work_ms`."""
    mean, cv = service_class.work_ms * 1e3, service_class.work_cv
    if service_class.dist == "constant" or cv <= 0.0:
        return mean
    if service_class.dist == "exponential":
        return rng.expovariate(1.0 / mean)
    if service_class.dist == "lognormal":
        variance = math.log1p(cv * cv)
        return rng.lognormvariate(math.log(mean) - variance / 2.0, math.sqrt(variance))
    shape = 1.0 + math.sqrt(1.0 + 1.0 / (cv * cv))  # a Pareto distribution of this shape has variation `cv`
    return mean * (shape - 1.0) / shape * rng.paretovariate(shape)


def relative_rate(load: Load, at_s: float) -> float:
    """Returns the arrival rate at this second as a multiple of the scenario's rate."""
    factor = 1.0
    for start_s, next_factor in load.factors:
        if at_s < start_s:
            break
        factor = next_factor
    if load.shape == "wave":
        factor *= 1.0 + load.swing * math.sin(2.0 * math.pi * at_s / load.period_s)
    return factor


def generate_arrivals(
    scenario: Scenario, seed: int, sidecar: int, rate_per_s: float
) -> Iterator[ClientRequest]:
    """Yields the requests that arrive at one sidecar: a Poisson process, thinned to the shape of the load.

    Args:
        scenario: Gives the load.
        seed: The seed of the run.
        sidecar: The index of the sidecar.
        rate_per_s: The mean rate that `relative_rate` multiplies.
    """
    rng = random_stream(seed, "arrivals", sidecar)
    load = scenario.load
    max_factor = max((factor for _, factor in load.factors), default=1.0)
    max_factor = max(max_factor, 1.0) * (1.0 + (load.swing if load.shape == "wave" else 0.0))
    class_choice = _WeightedChoice([each.share for each in scenario.classes])
    tenant_choice = _WeightedChoice([each.share * each.usage for each in scenario.tenants])
    key_choice = _WeightedChoice([1.0 / (rank + 1.0) ** load.key_zipf for rank in range(load.keys)])
    heavy_tails = [each for each in scenario.faults if each.kind == "heavy_tail"]
    if rate_per_s <= 0.0:
        return
    at_s = 0.0
    for number in itertools.count():
        while True:
            at_s += rng.expovariate(rate_per_s * max_factor)
            if at_s >= scenario.seconds:
                return
            if rng.random() * max_factor < relative_rate(load, at_s):
                break
        service_class = scenario.classes[class_choice.sample_index(rng)]
        tenant = scenario.tenants[tenant_choice.sample_index(rng)].name if scenario.tenants else None
        work_us = sample_work_us(service_class, rng)
        for fault in heavy_tails:
            is_heavy = rng.random() < fault.extra
            if (
                is_heavy
                and fault.at_s <= at_s < fault.at_s + fault.for_s
                and service_class is scenario.classes[0]
            ):
                work_us *= fault.size
        disconnects = rng.random() < scenario.clients.impatient
        yield ClientRequest(
            number=number * scenario.fleet.sidecars + sidecar,
            sidecar=sidecar,
            intended_at=int(at_s * 1e6),
            service_class=service_class,
            tenant=tenant,
            key=key_choice.sample_index(rng),
            work_us=work_us,
            disconnects_after_us=int(service_class.deadline_ms * 1e3 * rng.uniform(0.02, 0.25))
            if disconnects
            else 0,
            honors_retry_after=rng.random() < scenario.clients.honour,
        )


class _WeightedChoice:
    """Samples indices with probabilities in proportion to weights."""

    def __init__(self, weights: list[float]) -> None:
        self._cumulative_weights = list(itertools.accumulate(weights))

    def sample_index(self, rng: random.Random) -> int:
        index = bisect.bisect_right(self._cumulative_weights, rng.random() * self._cumulative_weights[-1])
        return min(index, len(self._cumulative_weights) - 1)


def arrival_rates_per_s(scenario: Scenario, seed: int, capacity: float) -> list[float]:
    """Returns the rate of first tries at each sidecar.

    Args:
        scenario: Gives the load.
        seed: The seed of the run, which decides how the load is spread over the sidecars.
        capacity: The capacity of the warm fleet, in seconds of work on a standard core a second.
    """
    load = scenario.load
    total_per_s = (
        load.rate if load.rate is not None else (load.utilisation or 0.0) * capacity / scenario.mean_work_s
    )
    rng = random_stream(seed, "skew")
    variance = math.log1p(load.skew**2)
    weights = [rng.lognormvariate(0.0, math.sqrt(variance)) for _ in range(scenario.fleet.sidecars)]
    return [total_per_s * weight / sum(weights) for weight in weights]


def try_timeout_us(client_request: ClientRequest, now: int, clients: Clients) -> int:
    """Returns the timeout of a try that is sent now, microseconds; 0 if the deadline has passed."""
    remaining_us = client_request.intended_at + int(client_request.service_class.deadline_ms * 1e3) - now
    return max(min(remaining_us, int(client_request.service_class.deadline_ms * 1e3 * clients.try_share)), 0)


def next_retry_at(
    client_request: ClientRequest,
    outcome: RequestOutcome,
    retry_after_us: int,
    now: int,
    clients: Clients,
    sample_uniform: Callable[[], float],
) -> int | None:
    """Returns when the client retries after a try that ended at `now`; None if it does not retry.

    Requests of idempotent classes are retried after any failure, all others only after a rejection.
    """
    if (
        outcome is RequestOutcome.SERVED
        or outcome is RequestOutcome.DISCONNECTED
        or client_request.try_count > clients.retries
    ):
        return None
    if outcome is RequestOutcome.FAILED and client_request.service_class.repeat != "safe":
        return None
    delay_us = clients.backoff_ms * 1e3 * 2 ** (client_request.try_count - 1) * (0.5 + sample_uniform())
    if client_request.honors_retry_after and retry_after_us > 0:
        delay_us = max(retry_after_us, 1_000) * (1.0 + 0.1 * sample_uniform())
    retry_at = now + int(delay_us)
    return retry_at if try_timeout_us(client_request, retry_at, clients) > 20_000 else None
