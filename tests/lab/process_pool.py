"""Runs independent calls at the same time, each in a process of its own."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, TypeVar

T = TypeVar("T")


def run_in_processes(function: Callable[..., T], calls: Sequence[tuple[Any, ...]]) -> list[T]:
    """Returns the results of the calls in their order; no call sees what another changed in its process.

    Args:
        function: The function.
        calls: The arguments of each call.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(calls), mp_context=context, max_tasks_per_child=1) as pool:
        return list(pool.map(function, *zip(*calls, strict=True)))
