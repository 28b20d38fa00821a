"""The command `tulipnotch`.  Each subcommand is a thin module, imported when it is called and not before."""

from __future__ import annotations

import sys


def main() -> None:
    """The console script.

    `run` alone is the sidecar itself on a small machine, so it starts without the command line's libraries.
    """
    if sys.argv[1:] == ["run"]:
        from tulipnotch.sidecar.__main__ import main as run

        sys.exit(run())
    from tulipnotch.cli.root import root

    root(prog_name="tulipnotch")
