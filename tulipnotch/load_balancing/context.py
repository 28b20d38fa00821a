"""What the parts of one balancer share: the event's time, the settings in force, servers, chance, actions.

There is one `Context` for each balancer.  The balancer sets time and actions at each event; every part reads
them and appends its actions in order.  All chance comes from the one generator, so that a seed repeats a run.
"""

from __future__ import annotations

import random

from tulipnotch.load_balancing.actions import Action
from tulipnotch.load_balancing.records import Endpoint
from tulipnotch.load_balancing.settings import Settings

JITTER_LEAST = 0.75  # a wait with jitter lasts this part of the nominal one at least
JITTER_SPAN = 0.5  # and up to this part more, so that balancers spread out


class Context:
    """The state that is shared by all parts of one balancer."""

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
        self.now = 0
        self.actions: list[Action] = []  # of the event that is being handled
        self.random = random.Random(seed)
        self.endpoints: dict[str, Endpoint] = {}  # those listed, and those left with an attempt still pending
        self.ready_endpoints: list[Endpoint] = []  # in this balancer's own order
        self.apply(settings)

    def apply(self, settings: Settings) -> None:
        """Put settings into force."""
        self.settings = settings
        self.classes = {each.name: each for each in settings.classes}
        self.max_latency_objective_us = max(each.latency_objective_us for each in settings.classes)

    def after_about(self, aims: float) -> int:
        """The clock time after about so many of the longest aim, with jitter."""
        wait = int(aims * self.max_latency_objective_us * (JITTER_LEAST + JITTER_SPAN * self.random.random()))
        return self.now + wait
