"""The number of processes that share an inherited listener, as the balancers of all of them know it."""

from __future__ import annotations

import os
import socket

from loopback import OK_RESPONSE, SidecarHarness, listen, run_async, sidecar_harness, wait_until

from tulipnotch.sidecar.downstream.listener import adopt_listener


async def _start(harness: SidecarHarness, listener: socket.socket) -> None:
    await harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))


def _process_count(harness: SidecarHarness) -> int:
    return harness.sidecar._balancer._components.slow_start._process_count


async def _wait_for_counts(count: int, *harnesses: SidecarHarness) -> None:
    await wait_until(lambda: [_process_count(each) for each in harnesses] == [count] * len(harnesses))


def test_all_processes_know_how_many_there_are() -> None:
    # Guards against budgets that stay divided, or undivided, after a process has joined or ended.
    async def work() -> None:
        with listen() as listener:
            async with sidecar_harness(OK_RESPONSE, started=False) as first:
                await _start(first, listener)
                assert _process_count(first) == 1
                async with sidecar_harness(OK_RESPONSE, started=False) as second:
                    await _start(second, listener)
                    await _wait_for_counts(2, first, second)
                    async with sidecar_harness(OK_RESPONSE, started=False) as third:
                        await _start(third, listener)
                        await _wait_for_counts(3, first, second, third)
                        first.sidecar.close()  # the others had met at its address
                        await _wait_for_counts(2, second, third)
                    await _wait_for_counts(1, second)

    run_async(work)
