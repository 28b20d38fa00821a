"""The real sidecar: it puts the decisions on real sockets."""

from __future__ import annotations

import time

BEGAN = time.monotonic()  # before anything else of the program is loaded: its time to ready counts from here
