"""The sidecar process: carries out the decisions of load balancing on real sockets."""

from __future__ import annotations

import time

# Set before any other module of the program is imported, so that the time to ready includes the imports.
PROCESS_STARTED_AT = time.monotonic()
