"""Starts a sidecar: `python -m tulipnotch.sidecar`.

Exit codes: 0 after SIGTERM or SIGINT, 1 if an address cannot be bound, 2 if the configuration or the
inherited listening socket is invalid.
"""

from __future__ import annotations

import gc
import signal
import sys


def main() -> int:
    """Runs one sidecar and returns its exit code.

    Blocks SIGHUP before anything else is imported, because SIGHUP terminates a process that has not installed
    a handler yet.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    gc.disable()  # objects created by imports are never freed, so collecting during imports only costs time
    from tulipnotch.sidecar.program import run

    gc.enable()

    return run()


if __name__ == "__main__":
    sys.exit(main())
