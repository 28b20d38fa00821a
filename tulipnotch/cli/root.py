"""The root of the command line: names of subcommands, and where each is found."""

from __future__ import annotations

import importlib
import textwrap
from collections.abc import Mapping

import click

from tulipnotch import __version__

EXIT_CODES = """\b
Exit codes:
  0  it went well
  1  the answer is no: -ERR, an expectation not met, an address that can't be had
  2  a call or a file is wrong; each fault is one line that names it
  3  nobody answered at the address
"""


class LazyGroup(click.Group):
    """A group whose subcommands live in modules that are imported when they are needed."""

    def __init__(self, *args: object, locations: Mapping[str, tuple[str, str]], **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._locations = locations

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self._locations)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in self._locations:
            return None
        module, name = self._locations[cmd_name]
        try:
            command = getattr(importlib.import_module(module), name)
        except ModuleNotFoundError as missing:
            if (missing.name or "").startswith("tulipnotch"):
                raise
            raise click.ClickException(
                f"{cmd_name} needs {missing.name}, which is not installed: pip install 'tulipnotch[lab]'"
            ) from None
        if not isinstance(command, click.Command):
            raise TypeError(f"{module}:{name} is no command")
        return command


def format_examples(*lines: str) -> str:
    """An epilog of examples and the exit codes; line breaks are kept."""
    shown = textwrap.indent("\n".join(lines), "  ")
    return f"\b\nExamples:\n{shown}\n\n{EXIT_CODES}"


@click.group(
    cls=LazyGroup,
    locations={
        "run": ("tulipnotch.cli.run", "run"),
        "check": ("tulipnotch.cli.check", "check"),
        "ctl": ("tulipnotch.cli.ctl", "ctl"),
        "lab": ("tulipnotch.cli.lab", "lab"),
    },
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110},
    epilog=format_examples("tulipnotch lab run calm", "tulipnotch check deploy/operator.toml"),
)
@click.version_option(__version__)
def root() -> None:
    """A client-side balancing sidecar, and the tools to run, ask and measure it."""
