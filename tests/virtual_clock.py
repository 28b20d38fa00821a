"""An event loop whose clock stands still while it works and jumps to the next timer when it is idle."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any


class _IdleSelector(selectors.SelectSelector):
    """Advances the clock in place of waiting; nothing ever becomes readable."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self._advance(timeout)
        return []


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Runs timers in order, without waiting for them."""

    def __init__(self) -> None:
        self._now_s = 1_000.0
        super().__init__(_IdleSelector(self._advance))

    def time(self) -> float:
        """Returns the virtual time (s)."""
        return self._now_s

    def _advance(self, span_s: float) -> None:
        self._now_s += max(span_s, 0.0)


def run_virtual(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a coroutine on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        runner.run(main())
