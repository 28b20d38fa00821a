"""Runs one case: a temporary folder, a bound on its time, its record, and the exit code of its result."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins_2.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
_TIMEOUT_S = 100.0


class NotRunError(Exception):
    """The case couldn't run, so it shows nothing."""


class Case:
    """What a case is given: its record, a temporary folder, and whether the disruption takes place."""

    def __init__(self, record: Record, folder: Path, *, has_trouble: bool) -> None:
        """Stores them."""
        self.record = record
        self.folder = folder
        self.has_trouble = has_trouble


def run_case(script: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Plays a case and exits: 1 with the breaks that it returns, 0 without any, 2 if it couldn't run."""
    record = Record(Path(script).resolve().parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", f"trouble={int(has_trouble)}")
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            case = Case(record, Path(folder), has_trouble=has_trouble)
            breaks = asyncio.run(_play(play, case))
        for each in breaks:
            record.add("BROKEN", each)
        code = BROKEN if breaks else HELD
        print(f"{len(breaks)} breaks; {breaks[0] if breaks else 'the rule held'}")
    except (Exception, asyncio.CancelledError) as error:
        record.add("not-run", repr(error))
        traceback.print_exc()
    record.add("exit", code)
    record.write()
    sys.exit(code)


async def _play(play: Callable[[Case], Awaitable[list[str]]], case: Case) -> list[str]:
    task = asyncio.current_task()
    if task is not None:
        # Ends the case as a failure does, so that it ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(_TIMEOUT_S):
        return await play(case)
