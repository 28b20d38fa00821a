"""`tulipnotch ctl`: the operators' door of a running sidecar."""

from __future__ import annotations

import json
import sys
import time

import click

from tulipnotch.cli.root import examples
from tulipnotch.sidecar.addresses import Address, parse_address
from tulipnotch.sidecar.control.client import ask, figures

CALLS = ("readyz", "telemetry", "level", "evacuate", "activate")


class _AddressType(click.ParamType[Address]):
    name = "ADDRESS:PORT"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        try:
            return parse_address(value)
        except ValueError as nonsense:
            self.fail(str(nonsense), param, ctx)


@click.command(
    epilog=examples(
        "tulipnotch ctl 127.0.0.1:9800 readyz",
        "tulipnotch ctl 127.0.0.1:9800 telemetry --json --watch 2",
        "tulipnotch ctl 127.0.0.1:9800 evacuate",
    )
)
@click.argument("address", type=_AddressType())
@click.argument("call", type=click.Choice(CALLS))
@click.option("--json", "as_json", is_flag=True, help="One JSON object an answer.")
@click.option("--watch", metavar="SECONDS", type=click.FloatRange(0.1, 3600.0), help="Ask again and again.")
@click.option(
    "--timeout", metavar="SECONDS", default=2.0, show_default=True, type=click.FloatRange(0.05, 60.0),
    help="How long to wait for an answer.",
)  # fmt: skip
def ctl(address: Address, call: str, as_json: bool, watch: float | None, timeout: float) -> None:
    """Ask a sidecar's operators' door at ADDRESS for CALL.

    Exits with 0 on +OK, with 1 on -ERR, with 3 if nobody answers in time; with --watch, at Ctrl-C, by the
    last answer.
    """
    code = 0
    try:
        while True:
            code = _once(address, call, as_json, timeout)
            if watch is None:
                break
            time.sleep(watch)
    except KeyboardInterrupt:
        pass
    sys.exit(code)


def _once(address: Address, call: str, as_json: bool, timeout: float) -> int:
    try:
        lines = ask(address, call, timeout)
    except OSError as fault:
        text = f"{address[0]}:{address[1]} does not answer: {fault or type(fault).__name__}"
        click.echo(json.dumps({"ok": None, "fault": text}) if as_json else text, err=not as_json)
        return 3
    first, *rest = lines
    good = first.startswith("+OK")
    if as_json:
        told: dict[str, object] = {"ok": good, "text": first.partition(" ")[2]}
        if rest:
            told["figures"] = figures(rest)
        click.echo(json.dumps(told))
    else:
        click.echo("\n".join(line for line in lines if line != "."))
    return 0 if good else 1
