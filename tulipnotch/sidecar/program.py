"""The process of one sidecar: its environment, its signals and its exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from dataclasses import replace
from enum import IntEnum, unique
from typing import Any

import uvloop

from tulipnotch.sidecar import PROCESS_STARTED_AT
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.configuration.configuration import Config, ConfigError, load_config
from tulipnotch.sidecar.configuration.reload import reload_configuration
from tulipnotch.sidecar.control.endpoint import ControlEndpoint
from tulipnotch.sidecar.downstream.listener import adopt_listener, bind_with_retry, listen
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.operator_file import OPERATOR_FILE_VARIABLE, OperatorOptions, load_operator_options
from tulipnotch.sidecar.sidecar import Sidecar

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_INHERITED_FD_VARIABLE = "BALANCER_INHERITED_FD"  # environment variable; descriptor of a listening socket


@unique
class ExitCode(IntEnum):
    """Exit codes of the process."""

    STOPPED = 0  # after SIGTERM or SIGINT
    CANNOT_LISTEN = 1
    INVALID_CONFIGURATION = 2  # also if the inherited descriptor is not a listening socket


def run() -> int:
    """Runs one sidecar as configured by the environment, and returns the exit code of the process."""
    try:
        config = load_config(os.environ)
        options = load_operator_options(os.environ.get(OPERATOR_FILE_VARIABLE), config)
    except ConfigError as error:
        print(f"tulipnotch: config: {error}".replace("\n", " "), file=sys.stderr)
        return ExitCode.INVALID_CONFIGURATION
    descriptor = os.environ.get(_INHERITED_FD_VARIABLE)
    try:
        inherited = adopt_listener(descriptor) if descriptor else None
    except ValueError as error:
        print(f"tulipnotch: {_INHERITED_FD_VARIABLE}: {error}", file=sys.stderr)
        return ExitCode.INVALID_CONFIGURATION
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(config, inherited, options))
    except OSError as error:
        print(f"tulipnotch: can't listen: {error}", file=sys.stderr)
        return ExitCode.CANNOT_LISTEN
    return ExitCode.STOPPED


async def _serve(config: Config, inherited: socket.socket | None, options: OperatorOptions) -> None:
    """Serves until SIGTERM or SIGINT, then drains the sidecar; SIGHUP reloads the configuration.

    Raises:
        OSError: An address cannot be bound.
    """
    log = options.log
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: _log_uncaught_exception(log, context))
    stop_requested = asyncio.Event()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    sidecar = Sidecar(config, options)
    loop.add_signal_handler(signal.SIGHUP, reload_configuration, sidecar, os.environ, log)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # `__main__` has blocked it
    control = ControlEndpoint(
        sidecar.command_handlers(),
        replace(options.control_limits, max_connections=sidecar.max_control_connections),
    )
    if config.control is not None:
        await _open_control_endpoint(control, config.control, log)
    await _serve_until_stopped(sidecar, inherited, stop_requested, log)
    log("draining")
    await sidecar.shut_down()
    control.close()
    log("drained")
    # The event loop removes its handlers as it ends, and a further signal would then end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {*_STOP_SIGNALS, signal.SIGHUP})


async def _open_control_endpoint(control: ControlEndpoint, address: Address, log: Log) -> None:
    """Opens the control endpoint; retries for a few seconds if its address is in use.

    Raises:
        OSError: The address cannot be bound.
    """
    listener = await bind_with_retry(address)
    listen(listener)
    control.accept_from(listener)
    log("control_endpoint_listening", address=f"{address[0]}:{control.port}")


async def _serve_until_stopped(
    sidecar: Sidecar, inherited: socket.socket | None, stop_requested: asyncio.Event, log: Log
) -> None:
    """Starts the sidecar and returns when a stop is requested, even if the start is not complete by then.

    Raises:
        OSError: An address cannot be bound.
    """
    start_task = asyncio.create_task(sidecar.start(inherited))
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((start_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    if not start_task.done():
        start_task.cancel()
        return
    start_task.result()  # raises the exception with which the start failed, if any
    config = sidecar.config
    address = f"{config.listen[0]}:{sidecar.downstream.port}"
    log(
        "serving",
        name=config.name,
        address=address,
        after_ms=int((time.monotonic() - PROCESS_STARTED_AT) * 1e3),
    )
    gc.freeze()  # most objects that exist now are never freed, so the garbage collector need not visit them
    await stop_task


def _log_uncaught_exception(log: Log, context: Mapping[str, Any]) -> None:
    """Logs an uncaught exception; `context` is what the event loop passes to its exception handler."""
    log("internal_error", where=context["message"], fault=repr(context.get("exception")))
