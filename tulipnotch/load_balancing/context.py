"""State that the components of one balancer share: time, settings, endpoints, random numbers and actions.

There is one `Context` for each balancer. The balancer sets the time and an empty action list for each event;
every component reads the context and appends its actions in order. All random numbers come from one
generator, so that a seed reproduces a run.
"""

from __future__ import annotations

import random

from tulipnotch.load_balancing.actions import Action
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.settings import Settings

MIN_JITTER = 0.75  # a wait with jitter lasts at least this fraction of the nominal wait
JITTER_SPAN = 0.5  # jitter adds up to this fraction of the nominal wait, so that balancers do not act in step


class Context:
    """Holds the state that all components of one balancer share."""

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
        """Starts at clock time 0 with no endpoints; `seed` determines all random numbers."""
        self.now = 0  # clock time of the event being handled, in microseconds
        self.actions: list[Action] = []  # actions of the event being handled
        self.random = random.Random(seed)
        self.endpoints: dict[str, Endpoint] = {}  # listed endpoints, and removed ones with a pending attempt
        self.ready_endpoints: list[Endpoint] = []  # in a random order that differs between balancers
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Replaces the settings."""
        self.settings = settings
        self.classes = {each.name: each for each in settings.classes}
        self.max_latency_objective_us = max(each.latency_objective_us for each in settings.classes)

    def jittered_time_after(self, latency_objectives: float) -> int:
        """Returns the clock time after this many times the longest latency objective, with jitter."""
        jitter = MIN_JITTER + JITTER_SPAN * self.random.random()
        return self.now + int(latency_objectives * self.max_latency_objective_us * jitter)
