"""Plays that share nothing, each in a process of its own, all at once."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, TypeVar

T = TypeVar("T")


def side_by_side(play: Callable[..., T], jobs: Sequence[tuple[Any, ...]]) -> list[T]:
    """What `play` gives for each job, in their order; none sees what another changed in its process."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(jobs), mp_context=context, max_tasks_per_child=1) as pool:
        return list(pool.map(play, *zip(*jobs, strict=True)))
