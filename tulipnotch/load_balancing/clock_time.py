"""Clock times: whole microseconds of a monotonic clock."""

from __future__ import annotations

NEVER = 2**62  # a clock time that is never reached, for "no bound"
