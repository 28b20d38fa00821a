"""Any sequence of claims and releases by several processes: the journal agrees with one table of the ids."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tulipnotch.sidecar.handover import id_journal
from tulipnotch.sidecar.handover.id_journal import IdJournal
from tulipnotch.sidecar.handover.journal_memory import JournalMemory
from tulipnotch.sidecar.requests.shared_ids import ClaimResult, IdClaim, RetainedId

_PROCESSES = 3
_IDS = [b"a", b"b", b"c"]
_RETENTION_US = 4
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "claim", "claim", "release", "retain", "lose lock", "get lock", "wait"]),
        st.integers(0, _PROCESSES - 1),
        st.sampled_from(_IDS),
    ),
    min_size=40,
    max_size=80,
)


class _Memory(JournalMemory):
    """The memory as a process sees it that can get the lock, or can't."""

    can_lock = True

    def lock(self) -> bool:
        return self.can_lock

    def unlock(self) -> None:
        pass


@dataclass
class _Process:
    """A process: its view of the journal and of the memory."""

    journal: IdJournal
    memory: _Memory
    granted: set[bytes] = field(default_factory=set)  # what it has claimed and not released


class _World:
    """The processes, and a table of what must hold for each id."""

    def __init__(self) -> None:
        self.now = 1_000
        created = JournalMemory.create()
        self.processes: list[_Process] = []
        for owner in range(1, _PROCESSES + 1):
            memory = _Memory(os.dup(created.descriptor))
            self.processes.append(_Process(IdJournal(memory, owner, self.clock), memory))
        created.close()
        self.retained_until = dict.fromkeys(_IDS, 0)

    def clock(self) -> int:
        return self.now

    def claim(self, process: _Process, request_id: bytes) -> None:
        result = process.journal.claim(IdClaim(request_id, _RETENTION_US), None)
        is_taken = any(request_id in each.granted for each in self.processes)
        is_retained = self.now < self.retained_until[request_id]
        if result is ClaimResult.GRANTED:
            assert process.memory.can_lock
            assert not is_taken
            assert not is_retained
            process.granted.add(request_id)
        elif all(each.memory.can_lock for each in self.processes):
            assert is_taken or is_retained  # without lost locks, nothing is rejected needlessly

    def release(self, process: _Process, request_id: bytes) -> None:
        if request_id in process.granted:
            process.granted.discard(request_id)
            process.journal.release(request_id)

    def retain(self, process: _Process, request_id: bytes) -> None:
        if request_id in process.granted:
            process.journal.retain(RetainedId(request_id, _RETENTION_US))
            self.retained_until[request_id] = self.now + _RETENTION_US
            self.release(process, request_id)

    def step(self, action: str, process: _Process, request_id: bytes) -> None:
        match action:
            case "claim":
                self.claim(process, request_id)
            case "release":
                self.release(process, request_id)
            case "retain":
                self.retain(process, request_id)
            case "wait":
                self.now += 1
            case _:
                process.memory.can_lock = action == "get lock"
                if process.memory.can_lock:
                    process.journal._append_queued()

    def close(self) -> None:
        for process in self.processes:
            process.journal.close()


@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=_STEPS, compacted=st.integers(1, 8))
def test_no_sequence_grants_an_id_that_is_in_use(steps: list[tuple[str, int, bytes]], compacted: int) -> None:
    previous = id_journal._MIN_COMPACTED_RECORDS, id_journal._COMPACTION_RATIO
    id_journal._MIN_COMPACTED_RECORDS, id_journal._COMPACTION_RATIO = compacted, 1
    world = _World()
    try:
        for action, number, request_id in steps:
            world.step(action, world.processes[number], request_id)
    finally:
        id_journal._MIN_COMPACTED_RECORDS, id_journal._COMPACTION_RATIO = previous
        world.close()
