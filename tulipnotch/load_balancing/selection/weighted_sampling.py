"""Weighted random sampling without replacement."""

from __future__ import annotations

import random
from typing import TypeVar

_Item = TypeVar("_Item")


def weighted_sample(
    generator: random.Random, pool: list[_Item], weights: list[float], count: int
) -> list[_Item]:
    """Draws up to `count` distinct items by weight, in random order."""
    sample = []
    remaining = list(range(len(pool)))
    total = sum(weights)
    for _ in range(min(count, len(pool))):
        point = generator.random() * total
        position = 0
        while position < len(remaining) - 1 and point >= weights[remaining[position]]:
            point -= weights[remaining[position]]
            position += 1
        index = remaining.pop(position)
        total -= weights[index]
        sample.append(pool[index])
    return sample
