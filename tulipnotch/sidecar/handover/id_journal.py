"""The request ids that the processes of one sidecar share: a journal in memory that all of them map.

Each process appends what happens to an id, and reads what the others have appended before it uses a further
one.  A lock of the kernel makes reading, checking and appending one step, so that of two processes that get
the same id in the same instant only one accepts it.  The journal outlives each process: whatever one of them
has appended stays known to the others while it hangs, and after it was killed.

Layout: a header of 64-bit words, then two areas for records, of which one is in use.  When it has grown, the
entries that still matter are written to the other area, which then replaces it.  A process may be killed at
any point: records count only once the position in the header includes them, and that word is written last.
"""

from __future__ import annotations

import fcntl
import hashlib
import mmap
import os
import struct
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum, unique

from tulipnotch.sidecar.requests.shared_ids import ClaimResult, IdClaim, RetainedId

_FORMAT = 0x74_6E_69_64_0000_0001  # identifies the layout of header and records
_HEADER_BYTES = 4_096
_RECORD = struct.Struct("<16sQIB3x")
_DIGEST_BYTES = 16
_AREA_RECORDS = 131_072  # the memory of an area is allocated as it is written
_AREA_BYTES = _AREA_RECORDS * _RECORD.size
_FILE_BYTES = _HEADER_BYTES + 2 * _AREA_BYTES
_MIN_COMPACTED_RECORDS = 4_096  # a journal with fewer records is left as it is
_COMPACTION_RATIO = 4  # a journal is compacted if it has this many records for each entry
_MAX_ENTRIES = _AREA_RECORDS // 2
_EPOCH_SHIFT = 32  # the position holds the number of compactions above the number of records
_COUNT_MASK = (1 << _EPOCH_SHIFT) - 1
_SEALS = fcntl.F_SEAL_SHRINK | fcntl.F_SEAL_GROW
# Another process holds the lock for microseconds; one that was suspended just then holds it for longer.
_LOCK_TIMEOUT_S = 0.02
_LOCK_RETRY_INTERVAL_S = 0.0002


class JournalError(Exception):
    """A descriptor is not that of a journal in this format, or its lock is not available."""


@unique
class _Kind(IntEnum):
    """Kinds of records; the meaning of a record's value depends on its kind."""

    CLAIMED = 1  # value: how long to retain the id if its owner ends (us)
    RELEASED = 2
    RETAINED = 3  # value: the time until which the id must not be used (us, monotonic clock)
    OWNER_ENDED = 4  # value: the time at which the end was noticed (us, monotonic clock)


@dataclass(slots=True)
class _Entry:
    """What the journal says of one id."""

    owner: int
    is_pending: bool
    retention_us: int
    retained_until: int  # 0: it is not retained

    def is_in_use(self, now: int) -> bool:
        return self.is_pending or now < self.retained_until

    @property
    def claim_result(self) -> ClaimResult:
        """Result of claiming the id while it is in use."""
        return ClaimResult.IN_USE if self.is_pending else ClaimResult.POSSIBLY_EXECUTED


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


def _digest(request_id: bytes) -> bytes:
    return hashlib.blake2b(request_id, digest_size=_DIGEST_BYTES).digest()


class IdJournal:
    """One process's view of the journal; the processes are numbered from 1 in the order in which they joined.

    Times are those of the system's monotonic clock, which all processes of a machine share.

    Attributes:
        descriptor: The descriptor of the memory, to be passed to a process that joins.
        owner: The number of this process.
        is_closed: Whether the sharing has ended; ids of other processes may still be in use.
    """

    def __init__(self, descriptor: int, owner: int, clock: Callable[[], int] = _monotonic_us) -> None:
        """Maps the memory at `descriptor`, which the journal owns from now on.

        Raises:
            JournalError: The descriptor is not that of a journal.
        """
        self.descriptor = descriptor
        self.owner = owner
        self._clock = clock
        try:
            if fcntl.fcntl(descriptor, fcntl.F_GET_SEALS) & _SEALS != _SEALS:
                raise JournalError("its size may change")
            self._memory = mmap.mmap(descriptor, _FILE_BYTES)
        except (OSError, ValueError) as error:
            raise JournalError(str(error)) from None
        self._header = memoryview(self._memory)[:_HEADER_BYTES].cast("Q")
        if self._header[_HeaderWord.FORMAT] != _FORMAT:
            raise JournalError("its format is not known")
        self._entries: dict[bytes, _Entry] = {}
        self._pending_count = 0  # over all processes
        self._epoch = 0
        self._applied = 0  # records of the current epoch that were applied
        self._queued: list[tuple[_Kind, bytes, int]] = []  # to be appended once the lock is available
        self._is_lock_overdue = False
        self.is_closed = False

    @classmethod
    def create(cls, clock: Callable[[], int] = _monotonic_us) -> IdJournal:
        """Creates an empty journal, of which the caller is process 1.

        Raises:
            OSError: The system has no memory or descriptor for it.
            JournalError: The system does not support it.
        """
        descriptor = os.memfd_create("request-ids", os.MFD_CLOEXEC | os.MFD_ALLOW_SEALING)
        try:
            os.ftruncate(descriptor, _FILE_BYTES)
            fcntl.fcntl(descriptor, fcntl.F_ADD_SEALS, _SEALS)
            os.pwrite(descriptor, struct.pack("=QQQ", _FORMAT, 0, 1), 0)
            return cls(descriptor, 1, clock)
        except (OSError, JournalError):
            os.close(descriptor)
            raise

    @property
    def identity(self) -> int:
        """A number that differs between journals, and is the same for all processes that share one."""
        return os.fstat(self.descriptor).st_ino

    def add_owner(self) -> int:
        """Returns the number of a process that joins.

        Raises:
            JournalError: The lock is not available.
        """
        if not self._lock():
            raise JournalError("its lock is held")
        try:
            self._header[_HeaderWord.LAST_OWNER] += 1
            return self._header[_HeaderWord.LAST_OWNER]
        finally:
            self._unlock()

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
                    self._queued.append((_Kind.RETAINED, digest, entry.retained_until))
        for claim in claims:
            self._queued.append((_Kind.CLAIMED, _digest(claim.request_id), claim.retention_us))
        for each in retained:
            self._queued.append((_Kind.RETAINED, _digest(each.request_id), now + each.remaining_us))
        self._append_queued()

    def claim(self, claim: IdClaim, max_pending: int | None = None) -> ClaimResult:
        """Claims an id for this process, unless any process uses it.

        Args:
            claim: The id, and how long it is retained if this process ends before its response.
            max_pending: Maximum number of claimed ids of all processes; None: no limit.
        """
        if self.is_closed or not self._lock():
            return self._claim_without_lock(claim)
        try:
            self._flush()
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
            self._append(_Kind.CLAIMED, digest, claim.retention_us)
            return ClaimResult.GRANTED
        finally:
            self._unlock()

    def _claim_without_lock(self, claim: IdClaim) -> ClaimResult:
        entry = self._entries.get(_digest(claim.request_id))
        if entry is not None and entry.owner != self.owner and entry.is_in_use(self._clock()):
            return entry.claim_result
        return ClaimResult.GRANTED if self.is_closed else ClaimResult.UNKNOWN

    def release(self, request_id: bytes) -> None:
        """Records that the response to a request of this process has ended."""
        self._queued.append((_Kind.RELEASED, _digest(request_id), 0))
        self._append_queued()

    def retain(self, retained: RetainedId) -> None:
        """Records that a request of this process may have been executed, though its client disconnected."""
        self._queued.append(
            (_Kind.RETAINED, _digest(retained.request_id), self._clock() + retained.remaining_us)
        )
        self._append_queued()

    def owner_ended(self, owner: int) -> None:
        """Records that another process has ended; what it had pending may have been executed."""
        self._queued.append((_Kind.OWNER_ENDED, owner.to_bytes(_DIGEST_BYTES, "little"), self._clock()))
        self._append_queued()

    def close(self) -> int:
        """Ends the sharing; ids of other processes stay in use here.

        Returns:
            How long the last of them is in use (us); 0 if none is.
        """
        if not self.is_closed:
            self._append_queued()
            self.is_closed = True
            self._header.release()
            self._memory.close()
            os.close(self.descriptor)
        now = self._clock()
        others = [each for each in self._entries.values() if each.owner != self.owner]
        for entry in others:
            _end_owner(entry, now)
        return max((each.retained_until - now for each in others if each.is_in_use(now)), default=0)

    # The lock

    def _lock(self) -> bool:
        """Locks the journal; returns False if another process holds the lock for too long.

        After that, only one attempt is made in each call, so that a process that was suspended while it held
        the lock does not delay every request of the others.
        """
        give_up_at = 0.0 if self._is_lock_overdue else time.monotonic() + _LOCK_TIMEOUT_S
        while True:
            try:
                fcntl.lockf(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1)
            except OSError:
                if time.monotonic() >= give_up_at:
                    self._is_lock_overdue = True
                    return False
                time.sleep(_LOCK_RETRY_INTERVAL_S)
            else:
                self._is_lock_overdue = False
                return True

    def _unlock(self) -> None:
        fcntl.lockf(self.descriptor, fcntl.LOCK_UN, 1)

    # Records; all methods from here on need the lock, except for `_append_queued`

    def _append_queued(self) -> None:
        """Appends what is queued; leaves it queued if the lock is not available."""
        if self.is_closed or not self._lock():
            return
        try:
            self._flush()
        finally:
            self._unlock()

    def _flush(self) -> None:
        self._catch_up()
        for kind, digest, value in self._queued:
            self._append(kind, digest, value)
        self._queued.clear()

    def _catch_up(self) -> None:
        """Applies the records that other processes have appended."""
        position = self._header[_HeaderWord.POSITION]
        epoch, count = position >> _EPOCH_SHIFT, position & _COUNT_MASK
        if epoch != self._epoch:
            self._entries.clear()
            self._pending_count = 0
            self._epoch, self._applied = epoch, 0
        if count > self._applied:
            start = _area_offset(epoch)
            appended = self._memory[start + self._applied * _RECORD.size : start + count * _RECORD.size]
            for digest, value, owner, kind in _RECORD.iter_unpack(appended):
                self._apply(kind, digest, owner, value)
            self._applied = count

    def _append(self, kind: _Kind, digest: bytes, value: int) -> None:
        if self._applied >= max(_MIN_COMPACTED_RECORDS, _COMPACTION_RATIO * len(self._entries)) or (
            self._applied >= _AREA_RECORDS
        ):
            self._compact()
        offset = _area_offset(self._epoch) + self._applied * _RECORD.size
        _RECORD.pack_into(self._memory, offset, digest, value, self.owner, kind)
        self._apply(kind, digest, self.owner, value)
        self._applied += 1
        self._header[_HeaderWord.POSITION] = self._epoch << _EPOCH_SHIFT | self._applied

    def _compact(self) -> None:
        """Writes the entries that are in use to the other area, which replaces the current one."""
        self._entries = self._entries_in_use()
        records = bytearray()
        for digest, entry in self._entries.items():
            if entry.is_pending:
                records += _RECORD.pack(digest, entry.retention_us, entry.owner, _Kind.CLAIMED)
            if entry.retained_until:
                records += _RECORD.pack(digest, entry.retained_until, entry.owner, _Kind.RETAINED)
        epoch = self._epoch + 1
        offset = _area_offset(epoch)
        self._memory[offset : offset + len(records)] = records
        self._epoch, self._applied = epoch, len(records) // _RECORD.size
        self._header[_HeaderWord.POSITION] = epoch << _EPOCH_SHIFT | self._applied

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

    def _apply(self, kind: int, digest: bytes, owner: int, value: int) -> None:
        if kind == _Kind.OWNER_ENDED:
            self._apply_end(int.from_bytes(digest, "little"), value)
            return
        entry = self._entries.get(digest)
        if kind == _Kind.CLAIMED:
            retained_until = entry.retained_until if entry is not None else 0
            self._pending_count += entry is None or not entry.is_pending
            self._entries[digest] = _Entry(
                owner, is_pending=True, retention_us=value, retained_until=retained_until
            )
        elif kind == _Kind.RETAINED:
            if entry is None:
                entry = self._entries[digest] = _Entry(
                    owner, is_pending=False, retention_us=0, retained_until=0
                )
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
                _end_owner(entry, now)


class _HeaderWord(IntEnum):
    """Indexes of the 64-bit words in the header."""

    FORMAT = 0
    POSITION = 1
    LAST_OWNER = 2


def _area_offset(epoch: int) -> int:
    return _HEADER_BYTES + epoch % 2 * _AREA_BYTES


def _end_owner(entry: _Entry, now: int) -> None:
    """Retains an id whose owner has ended before its response, as long as its class demands."""
    if entry.is_pending:
        entry.is_pending = False
        if entry.retention_us:
            entry.retained_until = max(entry.retained_until, now + entry.retention_us)
