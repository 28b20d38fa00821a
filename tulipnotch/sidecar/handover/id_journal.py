"""The request ids that the processes of one sidecar share: a journal in memory that all of them map.

Each process appends what happens to an id, and reads what the others have appended before it uses a further
one.  A lock of the kernel makes reading, checking and appending one step, so that of two processes that get
the same id in the same instant only one accepts it.  The journal outlives each process: whatever one of them
has appended stays known to the others while it hangs, and after it was killed.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tulipnotch.sidecar.handover.journal_memory import (
    AREA_RECORDS,
    DIGEST_BYTES,
    JournalError,
    JournalMemory,
    Record,
    RecordKind,
)
from tulipnotch.sidecar.requests.shared_ids import ClaimResult, IdClaim, RetainedId

_MIN_COMPACTED_RECORDS = 4_096  # a journal with fewer records is left as it is
_COMPACTION_RATIO = 4  # a journal is compacted if it has this many records for each entry
_MAX_ENTRIES = AREA_RECORDS // 2


@dataclass(slots=True)
class _Entry:
    """What the journal says of one id."""

    owner: int
    is_pending: bool
    retention_us: int = 0
    retained_until: int = 0  # 0: it is not retained

    def is_in_use(self, now: int) -> bool:
        return self.is_pending or now < self.retained_until

    @property
    def claim_result(self) -> ClaimResult:
        """Result of claiming the id while it is in use."""
        return ClaimResult.IN_USE if self.is_pending else ClaimResult.POSSIBLY_EXECUTED

    def end_owner(self, now: int) -> None:
        """Retains the id of a process that has ended before its response, as long as its class demands."""
        if self.is_pending:
            self.is_pending = False
            if self.retention_us:
                self.retained_until = max(self.retained_until, now + self.retention_us)


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


def _digest(request_id: bytes) -> bytes:
    return hashlib.blake2b(request_id, digest_size=DIGEST_BYTES).digest()


class IdJournal:
    """One process's view of the journal (`SharedIds`); the processes are numbered from 1 as they join.

    Times are those of the system's monotonic clock, which all processes of a machine share.

    Attributes:
        owner: The number of this process.
        is_closed: Whether the sharing has ended; ids of other processes may still be in use.
    """

    def __init__(self, memory: JournalMemory, owner: int, clock: Callable[[], int] = _monotonic_us) -> None:
        """Uses this memory, which the journal owns from now on."""
        self.owner = owner
        self.is_closed = False
        self._memory = memory
        self._clock = clock
        self._entries: dict[bytes, _Entry] = {}
        self._pending_count = 0  # over all processes
        self._queued: list[Record] = []  # to be appended once the lock is available

    @classmethod
    def create(cls, clock: Callable[[], int] = _monotonic_us) -> IdJournal:
        """Creates an empty journal, of which the caller is process 1.

        Raises:
            OSError: The system has no memory or descriptor for it.
            JournalError: The system does not support it.
        """
        return cls(JournalMemory.create(), 1, clock)

    @property
    def descriptor(self) -> int:
        """The descriptor of the memory, to be passed to a process that joins."""
        return self._memory.descriptor

    @property
    def identity(self) -> int:
        """A number that differs between journals, and is the same for all processes that share one."""
        return self._memory.identity

    def add_owner(self) -> int:
        """Returns the number of a process that joins.

        Raises:
            JournalError: The lock is not available.
        """
        if not self._memory.lock():
            raise JournalError("its lock is held")
        try:
            return self._memory.add_owner()
        finally:
            self._memory.unlock()

    def join(
        self, claims: Iterable[IdClaim], retained: Iterable[RetainedId], previous: IdJournal | None = None
    ) -> None:
        """Appends the ids that this process uses already.

        Args:
            claims: Ids of this process with a pending response.
            retained: Ids of this process that may have been executed.
            previous: The journal that this one replaces; ids of ended processes are taken over from it.
        """
        now = self._clock()
        if previous is not None:
            for digest, entry in previous._entries.items():
                if entry.owner != previous.owner and entry.retained_until > now:
                    self._queue(RecordKind.RETAINED, digest, entry.retained_until)
        for claim in claims:
            self._queue(RecordKind.CLAIMED, _digest(claim.request_id), claim.retention_us)
        for each in retained:
            self._queue(RecordKind.RETAINED, _digest(each.request_id), now + each.remaining_us)
        self._append_queued()

    def claim(self, claim: IdClaim, max_pending: int | None) -> ClaimResult:
        """Claims an id for this process, unless any process uses it.

        Args:
            claim: The id, and how long it is retained if this process ends before its response.
            max_pending: Maximum number of claimed ids of all processes; None: no limit.
        """
        if self.is_closed or not self._memory.lock():
            return self._claim_without_lock(claim)
        try:
            self._flush()
            return self._claim_with_lock(claim, max_pending)
        finally:
            self._memory.unlock()

    def _claim_with_lock(self, claim: IdClaim, max_pending: int | None) -> ClaimResult:
        digest = _digest(claim.request_id)
        entry = self._entries.get(digest)
        if entry is not None and entry.is_in_use(self._clock()):
            return entry.claim_result
        if max_pending is not None and self._pending_count >= max_pending:
            return ClaimResult.LIMIT_REACHED
        if len(self._entries) >= _MAX_ENTRIES:
            self._compact()
            if len(self._entries) >= _MAX_ENTRIES:
                return ClaimResult.UNKNOWN
        self._append(Record(digest, claim.retention_us, self.owner, RecordKind.CLAIMED))
        return ClaimResult.GRANTED

    def _claim_without_lock(self, claim: IdClaim) -> ClaimResult:
        entry = self._entries.get(_digest(claim.request_id))
        if entry is not None and entry.owner != self.owner and entry.is_in_use(self._clock()):
            return entry.claim_result
        return ClaimResult.GRANTED if self.is_closed else ClaimResult.UNKNOWN

    def release(self, request_id: bytes) -> None:
        """Records that the response to a request of this process has ended."""
        self._queue(RecordKind.RELEASED, _digest(request_id), 0)
        self._append_queued()

    def retain(self, retained: RetainedId) -> None:
        """Records that a request of this process may have been executed, though its client disconnected."""
        until = self._clock() + retained.remaining_us
        self._queue(RecordKind.RETAINED, _digest(retained.request_id), until)
        self._append_queued()

    def owner_ended(self, owner: int) -> None:
        """Records that another process has ended; what it had pending may have been executed."""
        self._queue(RecordKind.OWNER_ENDED, owner.to_bytes(DIGEST_BYTES, "little"), self._clock())
        self._append_queued()

    def close(self) -> int:
        """Ends the sharing; ids of other processes stay in use here.

        Returns:
            How long the last of them is in use (us); 0 if none is.
        """
        if not self.is_closed:
            self._append_queued()
            self.is_closed = True
            self._memory.close()
        now = self._clock()
        others = [each for each in self._entries.values() if each.owner != self.owner]
        for entry in others:
            entry.end_owner(now)
        return max((each.retained_until - now for each in others if each.is_in_use(now)), default=0)

    # Records

    def _queue(self, kind: RecordKind, digest: bytes, value: int) -> None:
        self._queued.append(Record(digest, value, self.owner, kind))

    def _append_queued(self) -> None:
        """Appends what is queued; leaves it queued if the lock is not available."""
        if self.is_closed or not self._memory.lock():
            return
        try:
            self._flush()
        finally:
            self._memory.unlock()

    def _flush(self) -> None:
        """Applies the records of other processes and appends what is queued; needs the lock."""
        if self._memory.is_replaced():
            self._entries.clear()
            self._pending_count = 0
        for record in self._memory.read_new():
            self._apply(record)
        for record in self._queued:
            self._append(record)
        self._queued.clear()

    def _append(self, record: Record) -> None:
        count = self._memory.record_count
        if count >= AREA_RECORDS or count >= max(
            _MIN_COMPACTED_RECORDS, _COMPACTION_RATIO * len(self._entries)
        ):
            self._compact()
        self._memory.append(record)
        self._apply(record)

    def _compact(self) -> None:
        """Replaces the journal by records of the entries that are in use."""
        self._entries = self._entries_in_use()
        records = []
        for digest, entry in self._entries.items():
            if entry.is_pending:
                records.append(Record(digest, entry.retention_us, entry.owner, RecordKind.CLAIMED))
            if entry.retained_until:
                records.append(Record(digest, entry.retained_until, entry.owner, RecordKind.RETAINED))
        self._memory.replace(records)

    def _entries_in_use(self) -> dict[bytes, _Entry]:
        """Returns the entries in use; drops retained ones that end first, beyond the maximum."""
        now = self._clock()
        in_use = {digest: each for digest, each in self._entries.items() if each.is_in_use(now)}
        if len(in_use) <= _MAX_ENTRIES:
            return in_use
        most_needed = sorted(
            in_use.items(), key=lambda item: (item[1].is_pending, item[1].retained_until), reverse=True
        )
        return dict(most_needed[:_MAX_ENTRIES])

    def _apply(self, record: Record) -> None:
        digest, value, owner, kind = record
        if kind == RecordKind.OWNER_ENDED:
            self._apply_end(int.from_bytes(digest, "little"), value)
            return
        entry = self._entries.get(digest)
        if kind == RecordKind.CLAIMED:
            retained_until = entry.retained_until if entry is not None else 0
            self._pending_count += entry is None or not entry.is_pending
            self._entries[digest] = _Entry(
                owner, is_pending=True, retention_us=value, retained_until=retained_until
            )
        elif kind == RecordKind.RETAINED:
            if entry is None:
                entry = self._entries[digest] = _Entry(owner, is_pending=False)
            entry.retained_until = max(entry.retained_until, value)
        elif entry is not None and entry.owner == owner and entry.is_pending:
            entry.is_pending = False
            self._pending_count -= 1
            if not entry.retained_until:
                del self._entries[digest]

    def _apply_end(self, ended_owner: int, now: int) -> None:
        for entry in self._entries.values():
            if entry.owner == ended_owner and entry.is_pending:
                self._pending_count -= 1
                entry.end_owner(now)
