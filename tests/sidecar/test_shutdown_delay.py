"""A process that is suspended while it shuts down still responds before the earliest SIGKILL."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest
from loopback import SERVICE_CLASSES, http_request, run_async, within_timeout
from running import running_sidecar, server_with_config

_LONGEST_DEADLINE_S = 0.3
_KILL_DELAY_S = _LONGEST_DEADLINE_S + 0.7  # the platform sends SIGKILL no earlier than this after SIGTERM
_SUSPENSION_S = 0.15  # the longest that the platform suspends a process


async def _hang(_request: object) -> None:
    """Never responds."""


@pytest.mark.alone
@pytest.mark.parametrize("suspended_at_s", [0.6, 0.74, 0.88])
def test_request_gets_its_response_before_sigkill_when_the_process_is_suspended(
    suspended_at_s: float, tmp_path: Path
) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with server_with_config(_hang, tmp_path) as (path, server):
            config = json.loads(path.read_text())
            config["settings"]["lanes"] = [
                {**each, "giveUpUs": int(_LONGEST_DEADLINE_S * 1e6), "promiseUs": 100_000}
                for each in SERVICE_CLASSES
            ]
            path.write_text(json.dumps(config))
            async with running_sidecar(path, server) as running:
                client = await running.connect()
                request = http_request("check", timeout="0.3")
                client.send(request[:-1])
                await asyncio.sleep(0.05)  # the sidecar reads the beginning of the request
                running.process.send_signal(signal.SIGTERM)
                sigterm_at = loop.time()
                await asyncio.sleep(0.55)
                client.send(request[-1:])
                response = asyncio.ensure_future(client.read_response())
                await asyncio.sleep(sigterm_at + suspended_at_s - loop.time())
                if running.process.returncode is None:
                    running.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(_SUSPENSION_S)
                    running.process.send_signal(signal.SIGCONT)
                assert (await within_timeout(response)).status in (502, 503, 504)
                assert loop.time() < sigterm_at + _KILL_DELAY_S

    run_async(work)
