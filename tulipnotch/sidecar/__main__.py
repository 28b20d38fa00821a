"""Starts a sidecar: `python -m tulipnotch.sidecar`.

Exit codes: 0 after SIGTERM or SIGINT, 1 if it can't listen, 2 if its configuration or the listening socket
that it inherits is bad.
"""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run one sidecar, and give its exit code.

    SIGHUP ends a process that has no handler for it yet, so it waits until the program has one.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from tulipnotch.sidecar.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
