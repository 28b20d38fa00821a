"""What the components of one balancer share: the event's time, settings, endpoints, random numbers, actions.

There is one `Context` for each balancer.  The balancer sets time and actions at each event; every component
reads them and appends its actions in order.  All random numbers come from one generator, so that a seed
reproduces a run.
"""

from __future__ import annotations

import random

from tulipnotch.load_balancing.actions import Action
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.settings import Settings

MIN_JITTER = 0.75  # a wait with jitter lasts at least this part of the nominal one
JITTER_SPAN = 0.5  # and up to this part more, so that balancers spread out


class Context:
    """The state that all components of one balancer share."""

    __slots__ = (
        "actions",
        "classes",
        "endpoints",
        "max_latency_objective_us",
        "now",
        "random",
        "ready_endpoints",
        "settings",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        """Begin at clock time 0 with no endpoint; `seed` determines all random numbers."""
        self.now = 0  # clock time of the event that is being handled, in microseconds
        self.actions: list[Action] = []  # of the event that is being handled
        self.random = random.Random(seed)
        self.endpoints: dict[str, Endpoint] = {}  # the listed ones, and removed ones with a pending attempt
        self.ready_endpoints: list[Endpoint] = []  # in this balancer's own order
        self.apply(settings)

    def apply(self, settings: Settings) -> None:
        """Put settings into force."""
        self.settings = settings
        self.classes = {each.name: each for each in settings.classes}
        self.max_latency_objective_us = max(each.latency_objective_us for each in settings.classes)

    def time_after(self, latency_objectives: float) -> int:
        """The clock time after so many of the longest latency objective, with jitter."""
        jitter = MIN_JITTER + JITTER_SPAN * self.random.random()
        return self.now + int(latency_objectives * self.max_latency_objective_us * jitter)
