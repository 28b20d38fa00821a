"""The command `tulipnotch`.  Each subcommand is a small module, imported only when it is called."""

from __future__ import annotations

import sys


def main() -> None:
    """Entry point of the console script.

    `run` without options starts the sidecar directly, without the libraries of the command line, because it
    may run on a small machine.
    """
    if sys.argv[1:] == ["run"]:
        from tulipnotch.sidecar.__main__ import main as run

        sys.exit(run())
    from tulipnotch.cli.root import root

    root(prog_name="tulipnotch")
