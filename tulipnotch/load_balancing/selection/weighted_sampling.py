"""A random draw of distinct items by weight."""

from __future__ import annotations

import random
from typing import TypeVar

_Item = TypeVar("_Item")


def drawn(chance: random.Random, pool: list[_Item], weights: list[float], count: int) -> list[_Item]:
    """Draw distinct items by weight; the order is random too, so the first of equals is chance."""
    items = []
    left = list(range(len(pool)))
    total = sum(weights)
    for _ in range(min(count, len(pool))):
        point = chance.random() * total
        at = 0
        while at < len(left) - 1 and point >= weights[left[at]]:
            point -= weights[left[at]]
            at += 1
        index = left.pop(at)
        total -= weights[index]
        items.append(pool[index])
    return items
