"""A log that cannot be written: the process serves on, whatever becomes of its standard error."""

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
from loopback import HOST, OK, Client, ScriptedServer, line, play, request, soon
from running import started, world

_PIPE_BYTES = 4_096  # the least that Linux gives a pipe


@contextmanager
def _log_of(kind: str) -> Iterator[int]:
    """A descriptor for standard error whose writes fail, or find no room and nobody who makes any."""
    if kind == "full disk":
        descriptor = os.open("/dev/full", os.O_WRONLY)
        yield descriptor
        os.close(descriptor)
        return
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, _PIPE_BYTES)
    if kind == "reader gone":
        os.close(reader)
    else:
        os.write(writer, b"x" * _PIPE_BYTES)
    yield writer
    os.close(writer)
    if kind != "reader gone":
        os.close(reader)


def _listener() -> socket.socket:
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen()
    return listener


@pytest.mark.parametrize("kind", ["full disk", "reader gone", "reader stalled"])
def test_a_log_that_cannot_be_written_stops_nothing(kind: str, tmp_path: Path) -> None:
    # One of two servers is down, so that requests are repeated in the events that are logged.
    async def work() -> None:
        gone = await ScriptedServer(OK).start()
        down = gone.address
        gone.stop()
        async with world(OK, tmp_path) as (config, server):
            given = json.loads(config.read_text())
            given["known"]["servers"] = [line("s-1", server.address), line("s-2", down)]
            given["discovery"] = f"{HOST}:9"
            given["settings"]["bounds"] = {"sendCap": 3, "dialTimeoutUs": 250_000}
            config.write_text(json.dumps(given))
            with _log_of(kind) as log, _listener() as listener:
                process = await started(
                    config,
                    (listener.fileno(),),
                    log,
                    BALANCER_INHERITED_FD=str(listener.fileno()),
                )
                try:
                    client = Client(*await asyncio.open_connection(*listener.getsockname()))
                    for _ in range(20):
                        client.send(request("check"))
                        assert (await client.answer()).status == 200
                    process.send_signal(signal.SIGHUP)  # it has something to log each time
                    assert (await client.ask("check")).status == 200
                    client.close()
                    process.send_signal(signal.SIGTERM)
                    assert await soon(process.wait()) == 0
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

    play(work)
