"""Control endpoint over loopback sockets: valid and invalid commands, and clients that stall."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
from loopback import HOST, run_async, wait_until, within_timeout

from tulipnotch.sidecar.control.endpoint import (
    CommandRejectedError,
    ControlEndpoint,
    ControlLimits,
    NotListeningError,
)

SHORT_LIMITS = ControlLimits(line_timeout_s=0.2, linger_s=0.1, max_connections=4)


def _reject_command() -> list[str]:
    raise CommandRejectedError("starting")


@asynccontextmanager
async def control_endpoint(limits: ControlLimits | None = None) -> AsyncIterator[ControlEndpoint]:
    """Runs a control endpoint with three commands: a successful, a multi-line and a rejected one."""
    commands = {"readyz": lambda: ["ready"], "figures": lambda: ["", "a=1", "."], "refused": _reject_command}
    endpoint = ControlEndpoint(commands, limits)
    endpoint.listen((HOST, 0))
    try:
        yield endpoint
    finally:
        endpoint.close()


async def exchange(port: int, *parts: bytes, half_close: bool = False) -> bytes:
    """Sends the parts one after the other on a new connection; returns the complete response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)
    if half_close:
        writer.write_eof()
    response = await within_timeout(reader.read())
    writer.close()
    return response


@pytest.mark.parametrize(
    ("parts", "response"),
    [
        ((b"readyz\n",), b"+OK ready\n"),
        ((b"readyz\r\n",), b"+OK ready\n"),
        ((b"re", b"ady", b"z", b"\n"), b"+OK ready\n"),
        ((b"figures\n",), b"+OK\na=1\n.\n"),
        ((b"refused\n",), b"-ERR starting\n"),
        # Only the first command of a connection is executed.
        ((b"readyz\nreadyz\nreadyz\n",), b"+OK ready\n"),
    ],
)
def test_endpoint_responds_and_closes_when_a_line_is_complete(
    parts: tuple[bytes, ...], response: bytes
) -> None:
    async def work() -> None:
        async with control_endpoint() as endpoint:
            assert await exchange(endpoint.port, *parts) == response
            await wait_until(lambda: endpoint.open_connections == 0)

    run_async(work)


@pytest.mark.parametrize(
    "parts",
    [
        (b"\n",),
        (b"  \r\n",),
        (b"unheard-of\n",),
        (b"READYZ\n",),
        (b"readyz now\n",),
        ("r\u00e9adyz\n".encode(),),
        (b"\x00\xff\n",),
        (b"x" * 300 + b"\n",),
        (b"x" * 200, b"x" * 200),
        (b"x" * 100_000,),
    ],
)
def test_endpoint_responds_with_a_reason_on_one_line_when_input_is_invalid(parts: tuple[bytes, ...]) -> None:
    async def work() -> None:
        async with control_endpoint() as endpoint:
            response = await exchange(endpoint.port, *parts)
            assert response.startswith(b"-ERR ")
            assert response.count(b"\n") == 1
            assert len(response) > 8
            assert await exchange(endpoint.port, b"readyz\n") == b"+OK ready\n"

    run_async(work)


@pytest.mark.parametrize(
    ("parts", "response"),
    [
        ((b"\n",), b"-ERR empty call\n"),
        ((b"evict\n",), b"-ERR unknown call; known are readyz, figures, refused\n"),
        ((b"\xff\n",), b"-ERR a call is one line of ASCII\n"),
        ((b"x" * 300,), b"-ERR the line is too long\n"),
        ((b"readyz",), b"-ERR the line did not end in time\n"),
    ],
)
def test_endpoint_keeps_the_error_texts_that_clients_rely_on(
    parts: tuple[bytes, ...], response: bytes
) -> None:
    async def work() -> None:
        async with control_endpoint(SHORT_LIMITS) as endpoint:
            assert await exchange(endpoint.port, *parts) == response

    run_async(work)


@pytest.mark.parametrize("prefix", [b"", b"ready", b"readyz"])
def test_endpoint_executes_no_command_without_its_line_end(prefix: bytes) -> None:
    # A truncated line may happen to be a valid command: `evacuate` may be the beginning of a longer name.
    async def work() -> None:
        async with control_endpoint(SHORT_LIMITS) as endpoint:
            assert (await exchange(endpoint.port, prefix, half_close=True)).startswith(b"-ERR ")
            assert (await exchange(endpoint.port, prefix)).startswith(b"-ERR ")  # after the timeout

    run_async(work)


def test_endpoint_closes_the_oldest_connection_when_there_are_too_many() -> None:
    async def work() -> None:
        async with control_endpoint(ControlLimits(line_timeout_s=600.0, max_connections=4)) as endpoint:
            opened = []
            for number in range(12):
                opened.append(await asyncio.open_connection(HOST, endpoint.port))
                opened[-1][1].write(b"read")
                expected = min(number + 1, 4)
                await wait_until(lambda expected=expected: endpoint.open_connections == expected)  # type: ignore[misc]
            assert await exchange(endpoint.port, b"readyz\n") == b"+OK ready\n"
            for reader, _ in opened[:8]:
                with suppress(ConnectionResetError):
                    assert await within_timeout(reader.read()) == b""
            opened[-1][1].write(b"yz\n")  # the newest connection is still open
            assert await within_timeout(opened[-1][0].read()) == b"+OK ready\n"
            for _, writer in opened:
                writer.close()

    run_async(work)


def test_endpoint_aborts_a_connection_whose_client_never_reads() -> None:
    async def work() -> None:
        async with control_endpoint(SHORT_LIMITS) as endpoint:
            _, writer = await asyncio.open_connection(HOST, endpoint.port)
            writer.write(b"readyz\n")
            await wait_until(lambda: endpoint.open_connections == 1)
            await wait_until(lambda: endpoint.open_connections == 0)
            writer.close()

    run_async(work)


def test_endpoint_has_no_port_before_it_listens() -> None:
    with pytest.raises(NotListeningError):
        _ = ControlEndpoint({}).port
