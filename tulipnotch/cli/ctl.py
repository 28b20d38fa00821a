"""`tulipnotch ctl`: sends a command to the control endpoint of a running sidecar."""

from __future__ import annotations

import json
import sys
import time
from contextlib import suppress

import click

from tulipnotch.cli.root import format_examples
from tulipnotch.sidecar.addresses import Address, parse_address
from tulipnotch.sidecar.control.client import parse_metrics, send_command

_COMMANDS = ("readyz", "telemetry", "level", "evacuate", "activate")
_EXIT_OK = 0
_EXIT_REJECTED = 1
_EXIT_NO_RESPONSE = 3


class _AddressType(click.ParamType[Address]):
    """Command line argument that is an IP address with a port."""

    name = "ADDRESS:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Returns the parsed address; ends the command with a usage error if it is invalid."""
        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


@click.command(
    epilog=format_examples(
        "tulipnotch ctl 127.0.0.1:9800 readyz",
        "tulipnotch ctl 127.0.0.1:9800 telemetry --json --watch 2",
        "tulipnotch ctl 127.0.0.1:9800 evacuate",
    )
)
@click.argument("address", type=_AddressType())
@click.argument("command", type=click.Choice(_COMMANDS))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object for each response.")
@click.option(
    "--watch", "interval_s", metavar="SECONDS", type=click.FloatRange(0.1, 3600.0),
    help="Repeat the command at this interval.",
)  # fmt: skip
@click.option(
    "--timeout", "timeout_s", metavar="SECONDS", default=2.0, show_default=True,
    type=click.FloatRange(0.05, 60.0), help="Maximum wait for a response.",
)  # fmt: skip
def ctl(*, address: Address, command: str, as_json: bool, interval_s: float | None, timeout_s: float) -> None:
    """Send COMMAND to the control endpoint of a sidecar at ADDRESS.

    Exits with 0 on +OK, with 1 on -ERR, with 3 if there is no response in time.  With --watch, Ctrl-C ends
    the command, and the last response determines the exit code.
    """
    exit_code = _EXIT_OK
    with suppress(KeyboardInterrupt):
        while True:
            exit_code = _send_and_print(address, command, timeout_s, as_json=as_json)
            if interval_s is None:
                break
            time.sleep(interval_s)
    sys.exit(exit_code)


def _send_and_print(address: Address, command: str, timeout_s: float, *, as_json: bool) -> int:
    """Sends the command once, prints the response or why there is none, and returns the exit code."""
    try:
        lines = send_command(address, command, timeout_s)
    except OSError as error:
        text = f"{address[0]}:{address[1]} did not respond: {error or type(error).__name__}"
        click.echo(json.dumps({"ok": None, "fault": text}) if as_json else text, err=not as_json)
        return _EXIT_NO_RESPONSE
    status, *metrics = lines
    is_ok = status.startswith("+OK")
    if as_json:
        report: dict[str, object] = {"ok": is_ok, "text": status.partition(" ")[2]}
        if metrics:
            report["figures"] = parse_metrics(metrics)
        click.echo(json.dumps(report))
    else:
        click.echo("\n".join(line for line in lines if line != "."))
    return _EXIT_OK if is_ok else _EXIT_REJECTED
