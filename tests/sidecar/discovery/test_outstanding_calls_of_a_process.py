"""A real sidecar process whose overdue watch and hedged call are answered at once (issue 59)."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from holding_discovery import VERSION_BEFORE, VERSION_OF_DRAIN, HoldingDiscovery, list_json
from loopback import OK_RESPONSE, ScriptedServer, endpoint_entry, run_async
from running import VALID_CONFIG, running_sidecar, wait_for_metric

_GRACE_S = 0.25  # after a drain is announced, as at Sfax
_SLACK_S = 0.05  # by which each time limit is longer on sockets
_REQUESTS = 20


async def _assert_no_request_after_drain(
    order: tuple[int, int], draining_call: int, mode: str, folder: Path
) -> None:
    """Answers a watch (0) and the hedged call beside it (1) in this order; one of them has a drain."""
    servers = [await ScriptedServer(OK_RESPONSE).start() for _ in range(2)]
    entries = [endpoint_entry(f"s-{number}", each.address) for number, each in enumerate(servers, 1)]
    discovery = HoldingDiscovery(*entries)
    await discovery.start()
    config = {
        **VALID_CONFIG,
        "discovery": discovery.address,
        "known": {"version": 1, "full": True, "servers": entries},
        "settings": {**VALID_CONFIG["settings"], "discovery": mode},
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    drain = list_json(VERSION_OF_DRAIN, {**entries[0], "state": "leaving"})
    async with running_sidecar(path, servers[0]) as process:
        await discovery.wait_for_held(2)
        for index in order:
            discovery.write(index, drain if index == draining_call else list_json(VERSION_BEFORE))
        await wait_for_metric(process, "app.members_unavailable", 1, _GRACE_S + _SLACK_S)
        before = len(servers[0].received_requests)
        for _ in range(_REQUESTS):
            client = await process.connect()
            assert (await client.send_request("check")).status == 200
            client.close()
        assert len(servers[0].received_requests) == before
    for each in (*servers, discovery):
        each.stop()


@pytest.mark.alone
@pytest.mark.parametrize("mode", ["on_request", "pushed"])
def test_draining_server_gets_no_request_when_hedged_call_is_answered_after_its_watch(
    mode: str, tmp_path: Path
) -> None:
    # Guards against requests to a draining server until the response to the next call.
    run_async(lambda: _assert_no_request_after_drain((0, 1), 1, mode, tmp_path))


@pytest.mark.alone
@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize(
    ("order", "draining_call"),
    [((1, 0), 1), ((0, 1), 0), ((1, 0), 0)],
    ids=["hedge", "watch", "watch second"],
)
def test_draining_server_gets_no_request_when_watch_and_hedge_are_answered_at_once(
    order: tuple[int, int], draining_call: int, mode: str, tmp_path: Path
) -> None:
    # Guards against requests to a draining server that the other one of two responses announces.
    run_async(lambda: _assert_no_request_after_drain(order, draining_call, mode, tmp_path))
