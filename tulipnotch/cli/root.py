"""Root of the command line: the subcommands, and the module that implements each."""

from __future__ import annotations

import importlib
import textwrap
from collections.abc import Mapping

import click

from tulipnotch import __version__

EXIT_CODES = """\b
Exit codes:
  0  success
  1  negative result: -ERR, an expectation that does not hold, an address that cannot be bound
  2  invalid command line or file; each fault is reported on one line
  3  no response from the address
"""


class LazyGroup(click.Group):
    """A group that imports the module of a subcommand only when that subcommand is needed."""

    def __init__(self, *args: object, locations: Mapping[str, tuple[str, str]], **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self._locations = locations

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(self._locations)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in self._locations:
            return None
        module_name, attribute = self._locations[cmd_name]
        try:
            command = getattr(importlib.import_module(module_name), attribute)
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("tulipnotch"):
                raise
            raise click.ClickException(
                f"{cmd_name} needs {error.name}, which is not installed: pip install 'tulipnotch[lab]'"
            ) from None
        if not isinstance(command, click.Command):
            raise TypeError(f"{module_name}:{attribute} is not a click command")
        return command


def format_examples(*command_lines: str) -> str:
    """Returns the epilog of a help text: examples and the exit codes, with line breaks preserved."""
    indented = textwrap.indent("\n".join(command_lines), "  ")
    return f"\b\nExamples:\n{indented}\n\n{EXIT_CODES}"


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
    """A client-side load-balancing sidecar, and tools to run, control and measure it."""
