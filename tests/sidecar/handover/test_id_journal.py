"""The journal of request ids: views of several processes, locks that are held, and processes that end."""

from __future__ import annotations

import fcntl
import multiprocessing
import os
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection

import pytest

from tulipnotch.sidecar.handover import id_journal, journal_memory
from tulipnotch.sidecar.handover.id_journal import IdJournal
from tulipnotch.sidecar.handover.journal_memory import JournalError, JournalMemory
from tulipnotch.sidecar.requests.shared_ids import ClaimResult, IdClaim, RetainedId

_PROCESSES = 4
_IDS = 200
_FORK = multiprocessing.get_context("fork")


class Clock:
    """A clock (us) that a test sets."""

    def __init__(self) -> None:
        self.now = 1_000_000

    def __call__(self) -> int:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def first(clock: Clock) -> Iterator[IdJournal]:
    journal = IdJournal.create(clock)
    yield journal
    journal.close()


@pytest.fixture
def second(first: IdJournal, clock: Clock) -> Iterator[IdJournal]:
    journal = open_view(first, clock)
    yield journal
    journal.close()


def open_view(journal: IdJournal, clock: Clock) -> IdJournal:
    """Returns the view of a further process."""
    return IdJournal(JournalMemory(os.dup(journal.descriptor)), journal.add_owner(), clock)


def claim(journal: IdJournal, request_id: bytes, retention_us: int = 0) -> ClaimResult:
    return journal.claim(IdClaim(request_id, retention_us), None)


def test_id_is_granted_once_until_its_owner_releases_it(first: IdJournal, second: IdJournal) -> None:
    assert claim(first, b"x") is ClaimResult.GRANTED
    assert claim(second, b"x") is ClaimResult.IN_USE
    second.release(b"x")  # it is not the owner
    assert claim(second, b"x") is ClaimResult.IN_USE
    first.release(b"x")
    assert claim(second, b"x") is ClaimResult.GRANTED
    assert claim(first, b"x") is ClaimResult.IN_USE


def test_retained_id_is_rejected_by_all_processes_until_its_time(
    first: IdJournal, second: IdJournal, clock: Clock
) -> None:
    claim(first, b"x", 500)
    first.retain(RetainedId(b"x", 500))
    first.release(b"x")
    assert claim(second, b"x") is ClaimResult.POSSIBLY_EXECUTED
    clock.now += 500
    assert claim(second, b"x") is ClaimResult.GRANTED


def test_process_that_joins_adds_its_ids(first: IdJournal, second: IdJournal) -> None:
    second.join([IdClaim(b"pending", 0)], [RetainedId(b"retained", 500)])
    assert claim(first, b"pending") is ClaimResult.IN_USE
    assert claim(first, b"retained") is ClaimResult.POSSIBLY_EXECUTED


def test_limit_on_pending_ids_counts_those_of_all_processes(first: IdJournal, second: IdJournal) -> None:
    for number in range(3):
        assert claim(first, b"%d" % number) is ClaimResult.GRANTED
    assert second.claim(IdClaim(b"x", 0), 3) is ClaimResult.LIMIT_REACHED
    first.release(b"0")
    assert second.claim(IdClaim(b"x", 0), 3) is ClaimResult.GRANTED


def test_end_of_a_process_frees_only_what_may_be_executed_again(
    first: IdJournal, second: IdJournal, clock: Clock
) -> None:
    claim(first, b"safe")
    claim(first, b"unsafe", 500)
    second.owner_ended(first.owner)
    assert claim(second, b"safe") is ClaimResult.GRANTED
    assert claim(second, b"unsafe") is ClaimResult.POSSIBLY_EXECUTED
    clock.now += 500
    assert claim(second, b"unsafe") is ClaimResult.GRANTED


def test_closed_journal_keeps_the_ids_of_others_and_hands_them_to_its_successor(
    first: IdJournal, second: IdJournal, clock: Clock
) -> None:
    claim(first, b"unsafe", 500)
    first.retain(RetainedId(b"retained", 300))
    claim(second, b"own", 500)
    assert second.close() == 500
    assert claim(second, b"unsafe") is ClaimResult.POSSIBLY_EXECUTED
    assert claim(second, b"retained") is ClaimResult.POSSIBLY_EXECUTED
    assert claim(second, b"own") is ClaimResult.GRANTED  # known to its process without the journal
    successor = IdJournal.create(clock)
    successor.join([], [], second)
    assert claim(successor, b"unsafe") is ClaimResult.POSSIBLY_EXECUTED
    assert claim(successor, b"new") is ClaimResult.GRANTED
    successor.close()


def test_compaction_keeps_what_is_in_use_for_every_view(
    first: IdJournal, second: IdJournal, clock: Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(id_journal, "_MIN_COMPACTED_RECORDS", 16)
    claim(first, b"pending", 500)
    first.retain(RetainedId(b"retained", 10_000))
    idle = open_view(first, clock)  # reads nothing while the others compact the journal several times
    for number in range(200):
        journal, other = (first, second) if number % 2 else (second, first)
        request_id = b"%d" % number
        assert claim(journal, request_id) is ClaimResult.GRANTED
        assert claim(other, request_id) is ClaimResult.IN_USE
        journal.release(request_id)
    for journal in (first, second, idle):
        assert journal.claim(IdClaim(b"pending", 0), None) is ClaimResult.IN_USE
        assert journal.claim(IdClaim(b"retained", 0), None) is ClaimResult.POSSIBLY_EXECUTED
        assert journal.claim(IdClaim(b"7", 0), None) is ClaimResult.GRANTED
        journal.release(b"7")
    first.release(b"pending")
    assert claim(idle, b"pending") is ClaimResult.GRANTED
    idle.close()


def test_record_that_was_not_finished_does_not_count(first: IdJournal, second: IdJournal) -> None:
    # Guards against a process that is killed between writing a record and counting it.
    claim(first, b"x")
    header = os.pread(first.descriptor, journal_memory._HEADER_BYTES, 0)
    first.release(b"x")
    os.pwrite(first.descriptor, header, 0)  # as if the last write had not happened
    assert claim(second, b"x") is ClaimResult.IN_USE


@contextmanager
def process_that_holds_the_lock(journal: IdJournal) -> Iterator[int]:
    """Runs a process that has locked the journal and does nothing; yields its id."""

    def lock_and_wait(connection: Connection) -> None:
        fcntl.lockf(journal.descriptor, fcntl.LOCK_EX, 1)
        connection.send(None)
        signal.pause()

    parent, child = _FORK.Pipe()
    process = _FORK.Process(target=lock_and_wait, args=(child,), daemon=True)
    process.start()
    assert process.pid is not None
    parent.recv()
    try:
        yield process.pid
    finally:
        process.kill()
        process.join()


def test_claim_waits_for_a_bounded_time_when_a_suspended_process_holds_the_lock(first: IdJournal) -> None:
    claim(first, b"own")
    with process_that_holds_the_lock(first):
        started_at = time.monotonic()
        assert claim(first, b"x") is ClaimResult.UNKNOWN
        for number in range(100):
            assert claim(first, b"%d" % number) is ClaimResult.UNKNOWN
        # The first call waits 20 ms, the others don't wait; without that, all of them would take 2 s.
        assert time.monotonic() - started_at < 1.0
        first.release(b"own")
    assert claim(first, b"x") is ClaimResult.GRANTED
    assert claim(first, b"own") is ClaimResult.GRANTED  # its release was queued


def test_lock_of_a_killed_process_is_free(first: IdJournal) -> None:
    with process_that_holds_the_lock(first) as process_id:
        os.kill(process_id, signal.SIGKILL)
    assert claim(first, b"x") is ClaimResult.GRANTED


def test_each_id_is_granted_to_one_process_when_all_claim_them_in_the_same_instant() -> None:
    journal = IdJournal.create()
    barrier = _FORK.Barrier(_PROCESSES)
    results = _FORK.Queue()

    def claim_all(owner: int) -> None:
        view = IdJournal(JournalMemory(os.dup(journal.descriptor)), owner)
        granted = []
        for number in range(_IDS):
            barrier.wait()
            if claim(view, b"%d" % number) is ClaimResult.GRANTED:
                granted.append(number)
        results.put(granted)

    processes = [
        _FORK.Process(target=claim_all, args=(journal.add_owner(),), daemon=True) for _ in range(_PROCESSES)
    ]
    for process in processes:
        process.start()
    granted = [number for _ in processes for number in results.get(timeout=60.0)]
    for process in processes:
        process.join()
    assert sorted(granted) == list(range(_IDS))
    journal.close()


def test_descriptor_of_anything_else_is_rejected() -> None:
    descriptor = os.memfd_create("other", os.MFD_ALLOW_SEALING)
    os.ftruncate(descriptor, journal_memory._FILE_BYTES)
    with pytest.raises(JournalError):
        JournalMemory(descriptor)  # its size may change
    fcntl.fcntl(descriptor, fcntl.F_ADD_SEALS, journal_memory._SEALS)
    with pytest.raises(JournalError):
        JournalMemory(descriptor)  # its format is not known
    os.close(descriptor)
