"""Failures to write the log: the process continues to serve."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK_RESPONSE,
    Client,
    ScriptedServer,
    endpoint_entry,
    http_request,
    run_async,
    within_timeout,
)
from running import server_with_config, start_process

_PIPE_BYTES = 4_096  # the minimum capacity of a pipe on Linux


@contextmanager
def _failing_descriptor(failure: str) -> Iterator[int]:
    """A descriptor for standard error whose writes fail, or would block forever."""
    if failure == "disk full":
        descriptor = os.open("/dev/full", os.O_WRONLY)
        yield descriptor
        os.close(descriptor)
        return
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
    if failure == "reader closed":
        os.close(reader)
    else:
        os.write(writer, b"x" * _PIPE_BYTES)
    yield writer
    os.close(writer)
    if failure != "reader closed":
        os.close(reader)


def _listener() -> socket.socket:
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen()
    return listener


@pytest.mark.parametrize("failure", ["disk full", "reader closed", "reader stalled"])
def test_program_continues_to_serve_if_its_log_cannot_be_written(failure: str, tmp_path: Path) -> None:
    # One of the two servers is down, so that there are events to log.
    async def work() -> None:
        stopped_server = await ScriptedServer(OK_RESPONSE).start()
        unreachable_address = stopped_server.address
        stopped_server.stop()
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, server):
            content = json.loads(config.read_text())
            content["known"]["servers"] = [
                endpoint_entry("s-1", server.address),
                endpoint_entry("s-2", unreachable_address),
            ]
            content["discovery"] = f"{HOST}:9"
            content["settings"]["bounds"] = {"sendCap": 3, "dialTimeoutUs": 250_000}
            config.write_text(json.dumps(content))
            with _failing_descriptor(failure) as log, _listener() as listener:
                process = await start_process(
                    config,
                    (listener.fileno(),),
                    log,
                    BALANCER_INHERITED_FD=str(listener.fileno()),
                )
                try:
                    client = Client(*await asyncio.open_connection(*listener.getsockname()))
                    for _ in range(20):
                        client.send(http_request("check"))
                        assert (await client.read_response()).status == 200
                    process.send_signal(signal.SIGHUP)  # a reload is logged each time
                    assert (await client.send_request("check")).status == 200
                    client.close()
                    process.send_signal(signal.SIGTERM)
                    assert await within_timeout(process.wait()) == 0
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    run_async(work)
