"""Clock times: whole microseconds of a clock that only goes forward."""

from __future__ import annotations

NEVER = 2**62  # a clock time that does not come
