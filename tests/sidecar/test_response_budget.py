"""The bound on the bytes of responses, and what connections do when it is exhausted."""

from __future__ import annotations

import asyncio

import pytest
from loopback import ReceivedRequest, http_request, run_async, sidecar_harness, within_timeout

from tulipnotch.sidecar.response_budget import CountedBytes, ResponseBudget


def test_response_budget_is_exhausted_while_connections_count_two_thirds_of_it() -> None:
    budget = ResponseBudget()
    first, second = CountedBytes(budget), CountedBytes(budget)
    first.set(1 << 40)
    assert not budget.is_exhausted  # no limit is set yet
    first.set(0)
    budget.set_limits(300_000, max_clients=10)
    first.set(150_000)
    second.set(49_999)
    assert not budget.is_exhausted
    second.set(50_000)
    assert budget.is_exhausted
    first.set(0)
    assert not budget.is_exhausted


@pytest.mark.parametrize(
    ("max_bytes", "max_clients", "uncounted"),
    [(300_000, 10, 10_000), (300_000, 1_000, 4_096), (300_000_000, 1, 65_536), (0, 0, 4_096)],
)
def test_uncounted_bytes_of_all_clients_take_a_third_of_the_budget(
    max_bytes: int, max_clients: int, uncounted: int
) -> None:
    budget = ResponseBudget()
    budget.set_limits(max_bytes, max_clients)
    assert budget.max_uncounted_bytes == uncounted


@pytest.mark.parametrize("framing", [b"Content-Length: 9000", b"Transfer-Encoding: chunked"])
def test_response_is_passed_on_at_once_when_the_budget_is_exhausted(framing: bytes) -> None:
    async def work() -> None:
        client_has_first_part = asyncio.Event()

        async def respond_in_two_parts(received: ReceivedRequest) -> bytes:
            chunk = (b"", b"") if b"Length" in framing else (b"1194\r\n", b"\r\n")
            parts = [chunk[0] + bytes([byte]) * 4_500 + chunk[1] for byte in b"ab"]
            received.writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + parts[0])
            await client_has_first_part.wait()
            return parts[1] + (b"" if b"Length" in framing else b"0\r\n\r\n")

        async with sidecar_harness(respond_in_two_parts) as harness:
            harness.sidecar._response_budget.set_limits(0, max_clients=1)
            client = await harness.connect()
            client.send(http_request("check", Connection="close"))
            first_part = await within_timeout(client.reader.readuntil(b"a" * 4_000))
            assert framing.lower() in first_part
            client_has_first_part.set()
            assert (await within_timeout(client.reader.read())).count(b"b") == 4_500

    run_async(work)
