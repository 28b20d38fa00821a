"""Request ids while two or more processes of one sidecar run: they count as one sidecar."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import pytest
from loopback import TEST_TIMEOUT_S, http_request, run_async, wait_until, within_timeout
from running import SidecarProcess, read_metric, wait_for_metric
from upgrading import UNRESPONSIVE_LOG, Upgrade, running_upgrade, stop_accepting

from tulipnotch.sidecar.handover.connection import create_socket

_READY_TIMEOUT_S = 6.0  # within which a new process has to be ready
_RESPONSE_TIMEOUT_S = 3.0  # within which a client that uses another one's id is owed an error
_CLASSES = ["check", "amend", "lodge"]  # idempotent, idempotent with a key, non-idempotent


def suspend(*processes: SidecarProcess) -> None:
    """Suspends processes, and returns once they no longer run."""
    for each in processes:
        each.process.send_signal(signal.SIGSTOP)
    for each in processes:
        while "\nState:\tT" not in Path(f"/proc/{each.process.pid}/status").read_text():
            os.sched_yield()


def resume(*processes: SidecarProcess) -> None:
    for each in processes:
        each.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("service_class", _CLASSES)
def test_new_process_rejects_the_id_of_a_request_that_is_open_at_the_old_one(
    tmp_path: Path, service_class: str
) -> None:
    # Guards against an open request that another client's request with its id executes again (review/6).
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            before = await upgrade.hold_request(service_class, "held-before")
            during = await upgrade.connect()
            async with upgrade.start_new():
                during.send(_request(service_class, "held-during"))
                await upgrade.server.wait_for("held-during")
                await stop_accepting(upgrade.old)
                for request_id in ("held-before", "held-during"):
                    assert (await upgrade.send(service_class, request_id)).status == 409
                upgrade.server.released.set()
                for client in (before, during):
                    assert (await client.read_response()).status == 200
                for request_id in ("held-before", "held-during"):
                    assert upgrade.server.executed.count(request_id) == 1

    run_async(work)


@pytest.mark.parametrize("service_class", _CLASSES)
def test_old_process_rejects_the_id_of_a_request_that_is_open_at_the_new_one(
    tmp_path: Path, service_class: str
) -> None:
    # Guards against ids that only the new process learns of.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            partial = await upgrade.partial_request(service_class, "held")
            async with upgrade.start_new():
                await stop_accepting(upgrade.old)
                first = await upgrade.hold_request(service_class, "held")
                assert (await partial.complete()).status == 409
                upgrade.server.released.set()
                assert (await first.read_response()).status == 200
                assert upgrade.server.executed.count("held") == 1

    run_async(work)


def test_id_does_not_run_twice_when_it_comes_again_at_the_new_process(tmp_path: Path) -> None:
    # Guards against two processes that don't know of each other's requests whose clients have left.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            before = await upgrade.hold_request("lodge", "held-before")
            before.close()
            await _wait_for_pending(upgrade.old, 0)
            during = await upgrade.connect()
            async with upgrade.start_new():
                during.send(_request("lodge", "held-during"))
                await upgrade.server.wait_for("held-during")
                await stop_accepting(upgrade.old)
                during.close()
                for request_id in ("held-before", "held-during"):
                    assert (await upgrade.send("lodge", request_id)).status == 409
                    assert upgrade.server.executed.count(request_id) == 1

    run_async(work)


def test_id_does_not_run_twice_when_it_comes_again_at_the_old_process(tmp_path: Path) -> None:
    # Guards against the same in the other direction.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            partial = await upgrade.partial_request("lodge", "held")
            async with upgrade.start_new() as new:
                await stop_accepting(upgrade.old)
                first = await upgrade.hold_request("lodge", "held")
                first.close()
                await _wait_for_pending(new, 0)
                assert (await partial.complete()).status == 409
                assert upgrade.server.executed.count("held") == 1

    run_async(work)


@pytest.mark.parametrize("service_class", _CLASSES)
def test_one_process_accepts_an_id_that_comes_at_both_in_the_same_instant(
    tmp_path: Path, service_class: str
) -> None:
    # Guards against a check of the other's ids and a claim of the own one that are two steps.
    async def work() -> None:
        ids = [f"held-{number}" for number in range(2)]
        async with running_upgrade(tmp_path) as upgrade:
            at_old = [await upgrade.partial_request(service_class, each) for each in ids]
            async with upgrade.start_new() as new:
                await stop_accepting(upgrade.old)
                at_new = [await upgrade.partial_request(service_class, each) for each in ids]
                suspend(upgrade.old, new)
                for partial in (*at_old, *at_new):
                    partial.send_rest()
                    await partial.client.writer.drain()
                resume(upgrade.old, new)
                for each in ids:
                    await upgrade.server.wait_for(each)
                upgrade.server.released.set()
                for old, other in zip(at_old, at_new, strict=True):
                    statuses = [(await each.client.read_response()).status for each in (old, other)]
                    assert sorted(statuses) == [200, 409]
                assert sorted(each for each in upgrade.server.executed if each in ids) == ids

    run_async(work)


def test_ids_of_a_killed_process_are_still_known_to_the_new_one(tmp_path: Path) -> None:
    # Guards against a record of the old process's ids that ends with it.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            await upgrade.hold_request("lodge", "held-unsafe")
            await upgrade.hold_request("check", "held-safe")
            async with upgrade.start_new():
                upgrade.old.process.kill()
                await within_timeout(upgrade.old.process.wait())
                assert (await upgrade.send("lodge", "held-unsafe")).status == 409
                assert upgrade.server.executed.count("held-unsafe") == 1
                upgrade.server.released.set()
                await _wait_until_served(upgrade, "check", "held-safe")

    run_async(work)


def test_ids_of_a_suspended_process_are_known_without_its_response(tmp_path: Path) -> None:
    # Guards against a new process that waits for an old one that hangs in the overlap.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            await upgrade.hold_request("lodge", "held")
            async with upgrade.start_new() as new:
                await stop_accepting(upgrade.old)
                suspend(upgrade.old)
                async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                    assert (await upgrade.send("lodge", "held")).status == 409
                    assert (await upgrade.send("lodge", "other")).status == 200
                assert await read_metric(new, "app.request_ids_unknown") == 0
                assert upgrade.server.executed.count("held") == 1

    run_async(work)


def test_journal_that_a_suspended_process_has_locked_delays_no_request_for_long(tmp_path: Path) -> None:
    # Guards against requests that wait for a process which was suspended while it wrote to the journal.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade, upgrade.start_new() as new:
            await stop_accepting(upgrade.old)
            with _locked_journal(new):
                async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                    for number in range(20):
                        assert (await upgrade.send("check", f"safe-{number}")).status == 200
                        assert (await upgrade.send("lodge", f"unsafe-{number}")).status == 409
            assert (await upgrade.send("lodge", "unsafe")).status == 200
            assert await read_metric(new, "app.request_ids_unknown") == 20

    run_async(work)


def test_new_process_rejects_what_may_have_run_while_the_old_one_never_responds(tmp_path: Path) -> None:
    # Guards against a takeover that waits without bound, or that believes a silent process to have no ids.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            await upgrade.hold_request("lodge", "held")
            suspend(upgrade.old)
            async with asyncio.timeout(_READY_TIMEOUT_S):
                new_process = upgrade.start_new(UNRESPONSIVE_LOG)
                new = await new_process.__aenter__()
            try:
                assert (await upgrade.send("lodge", "held")).status == 409
                assert (await upgrade.send("lodge", "other")).status == 409  # it can't be told from the first
                assert (await upgrade.send("check", "safe")).status == 200
                assert await read_metric(new, "app.request_ids_unknown") == 2
                assert upgrade.server.executed.count("held") == 1
                resume(upgrade.old)
                await _wait_until_served(upgrade, "lodge", "later")
            finally:
                await new_process.__aexit__(None, None, None)

    run_async(work)


def test_new_process_serves_all_classes_once_an_unresponsive_process_must_have_ended(tmp_path: Path) -> None:
    # Guards against rejections without end if the old process is never heard of.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            suspend(upgrade.old)
            async with upgrade.start_new(UNRESPONSIVE_LOG):
                upgrade.old.process.kill()
                assert (await upgrade.send("lodge", "early")).status == 409
                await _wait_until_served(upgrade, "lodge", "late")

    run_async(work)


def test_third_process_knows_the_ids_of_both_others(tmp_path: Path) -> None:
    # Guards against ids that are lost in an upgrade within an upgrade, or with their process.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            await upgrade.hold_request("lodge", "held-first")
            async with upgrade.start_new() as second:
                await stop_accepting(upgrade.old)
                await upgrade.hold_request("lodge", "held-second")
                partial = await upgrade.partial_request("lodge", "held-third")
                async with upgrade.start_new() as third:
                    await stop_accepting(second)
                    for request_id in ("held-first", "held-second"):
                        assert (await upgrade.send("lodge", request_id)).status == 409
                    await upgrade.hold_request("lodge", "held-third")
                    assert (await partial.complete()).status == 409
                    upgrade.old.process.kill()
                    second.process.kill()
                    await within_timeout(second.process.wait())
                    for request_id in ("held-first", "held-second", "held-third"):
                        assert (await upgrade.send("lodge", request_id)).status == 409
                        assert upgrade.server.executed.count(request_id) == 1
                    assert await read_metric(third, "app.request_ids_unknown") == 0

    run_async(work)


def test_further_upgrade_follows_after_the_coordinating_process_has_ended(tmp_path: Path) -> None:
    # Guards against a channel that ends with the process that opened it.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade, upgrade.start_new() as second:
            upgrade.old.process.kill()
            await within_timeout(upgrade.old.process.wait())
            await upgrade.hold_request("lodge", "held")
            async with upgrade.start_new():
                await stop_accepting(second)
                assert (await upgrade.send("lodge", "held")).status == 409
                assert upgrade.server.executed.count("held") == 1

    run_async(work)


def test_channel_gives_nothing_to_a_process_without_the_listening_socket(tmp_path: Path) -> None:
    # Guards against strangers that use the channel, or keep the processes of the sidecar from using it.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            await upgrade.hold_request("lodge", "held")
            strangers = [_connect_stranger(upgrade) for _ in range(12)]
            with socket.create_server(("127.0.0.1", 0)) as other_listener:
                hello = b"\x01\x01" + bytes(12)
                for stranger in strangers[::2]:
                    socket.send_fds(stranger, [hello], [other_listener.fileno()])
            async with upgrade.start_new() as new:
                assert await read_metric(new, "app.request_ids_unknown") == 0
                await stop_accepting(upgrade.old)
                assert (await upgrade.send("lodge", "held")).status == 409
                for stranger in strangers:
                    await wait_until(partial(_has_ended, stranger))
                    stranger.close()

    run_async(work)


def test_new_process_does_not_believe_a_stranger_at_the_address_of_the_channel(tmp_path: Path) -> None:
    # Guards against a stranger that pretends to be the old process.
    async def work() -> None:
        async with running_upgrade(tmp_path) as upgrade:
            upgrade.old.process.kill()
            await within_timeout(upgrade.old.process.wait())
            with create_socket() as impostor:
                impostor.bind(upgrade.channel_name)
                impostor.listen()
                async with upgrade.start_new(UNRESPONSIVE_LOG):
                    assert (await upgrade.send("check", "safe")).status == 200
                    assert (await upgrade.send("lodge", "unsafe")).status == 409

    run_async(work)


def _request(service_class: str, request_id: str) -> bytes:
    return http_request(service_class, Request_Id=request_id)


async def _wait_for_pending(process: SidecarProcess, count: int) -> None:
    await wait_for_metric(process, "app.pending", count)


async def _wait_until_served(upgrade: Upgrade, service_class: str, prefix: str) -> None:
    """Sends requests until one is served; the first one has the id `prefix`."""
    number = 0
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while (
            await upgrade.send(service_class, prefix if not number else f"{prefix}-{number}")
        ).status != 200:
            number += 1
            await asyncio.sleep(0.05)


@contextmanager
def _locked_journal(process: SidecarProcess) -> Iterator[None]:
    """Locks the journal that a process shares, as another process does that is suspended in a step."""
    folder = Path(f"/proc/{process.process.pid}/fd")
    path = next(each for each in folder.iterdir() if "request-ids" in str(each.readlink()))
    with path.open("r+b", buffering=0) as journal:
        fcntl.lockf(journal, fcntl.LOCK_EX, 1)
        yield


def _connect_stranger(upgrade: Upgrade) -> socket.socket:
    stranger = create_socket()
    stranger.connect(upgrade.channel_name)
    return stranger


def _has_ended(stranger: socket.socket) -> bool:
    """Returns whether the other side has closed the connection; fails if it has sent anything."""
    try:
        received = stranger.recv(1_024)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
    assert received == b""
    return True
