"""Resident memory of this process, and the monitor that logs when it comes near its limit."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable
from typing import NamedTuple

from tulipnotch.sidecar.logs import Log

_STATM_PATH = "/proc/self/statm"  # its second field is the number of resident pages
_STATM_BYTES = 256
_CHECK_INTERVAL_S = 0.25
_HIGH_FRACTION = 0.75  # of the limit; from here on the resident memory is logged
_STEP_FRACTION = 0.05  # of the limit; logged again for each further step


class BufferUsage(NamedTuple):
    """What the connections of one process hold for their peers."""

    request_bytes: int
    response_bytes: int
    clients: int  # open client connections
    servers: int  # open server connections
    paused_uploads: int  # clients that are not read because the server of their request accepts no more


def resident_bytes() -> int:
    """Returns the resident memory of this process; 0 where the system does not tell it."""
    try:
        with open(_STATM_PATH, "rb", buffering=0) as statm:
            pages = int(statm.read(_STATM_BYTES).split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize()


def peak_resident_bytes() -> int:
    """Returns the highest resident memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1_024


class MemoryMonitor:
    """Checks the resident memory periodically, and logs what the connections hold when it rises."""

    def __init__(self, limit_mb: int, usage: Callable[[], BufferUsage], log: Log) -> None:
        """Creates a monitor that checks nothing before `start`.

        Args:
            limit_mb: The memory limit of the process (MiB).
            usage: Returns what the connections hold now.
            log: Receives an event for each step above three quarters of the limit.
        """
        self._limit_bytes = limit_mb << 20
        self._usage = usage
        self._log = log
        self._logged_steps = 0  # steps above `_HIGH_FRACTION` that were logged since it was last below
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedules the next check, which schedules the one after it."""
        self._timer = asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check_and_reschedule)

    def stop(self) -> None:
        """Cancels the next check."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_and_reschedule(self) -> None:
        self.check(resident_bytes())
        self.start()

    def check(self, resident: int) -> None:
        """Logs the resident memory (bytes) if it has risen by a step since it was last logged."""
        above = resident / self._limit_bytes - _HIGH_FRACTION
        steps = int(above / _STEP_FRACTION) + 1 if above >= 0.0 else 0
        if steps > self._logged_steps:
            self._log_usage(resident)
        if not steps or steps > self._logged_steps:
            self._logged_steps = steps

    def _log_usage(self, resident: int) -> None:
        usage = self._usage()
        self._log(
            "memory_high",
            resident_mb=resident >> 20,
            limit_mb=self._limit_bytes >> 20,
            request_kb=usage.request_bytes >> 10,
            response_kb=usage.response_bytes >> 10,
            clients=usage.clients,
            servers=usage.servers,
        )
