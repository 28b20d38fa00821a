"""The memory of the journal: records that several processes append, and the lock that they hold meanwhile.

Layout: a header of 64-bit words, then two areas for records, of which one is in use.  A compacted journal is
written to the other area, which then replaces it.  A process may be killed at any point: records count only
once the position in the header includes them, and that word is written last, by one store.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import struct
import time
from collections.abc import Sequence
from enum import IntEnum, unique
from typing import NamedTuple

_FORMAT = 0x74_6E_69_64_0000_0001  # identifies the layout of header and records
_HEADER_BYTES = 4_096
_RECORD = struct.Struct("<16sQIB3x")
DIGEST_BYTES = 16
AREA_RECORDS = 131_072  # the memory of an area is allocated as it is written
_AREA_BYTES = AREA_RECORDS * _RECORD.size
_FILE_BYTES = _HEADER_BYTES + 2 * _AREA_BYTES
_EPOCH_SHIFT = 32  # the position holds the number of replacements above the number of records
_COUNT_MASK = (1 << _EPOCH_SHIFT) - 1
_SEALS = fcntl.F_SEAL_SHRINK | fcntl.F_SEAL_GROW
# Another process holds the lock for microseconds; one that was suspended just then holds it for longer.
_LOCK_TIMEOUT_S = 0.02
_LOCK_RETRY_INTERVAL_S = 0.0002


class JournalError(Exception):
    """A descriptor is not that of a journal in this format, or its lock is not available."""


@unique
class RecordKind(IntEnum):
    """Kinds of records; the meaning of a record's value depends on its kind."""

    CLAIMED = 1  # value: how long to retain the id if its owner ends (us)
    RELEASED = 2
    RETAINED = 3  # value: the time until which the id must not be used (us, monotonic clock)
    OWNER_ENDED = 4  # digest: the owner's number; value: the time at which its end was noticed


class Record(NamedTuple):
    """What a process has done with an id, of which the digest is stored."""

    digest: bytes
    value: int
    owner: int  # number of the process that has appended it
    kind: int


@unique
class _HeaderWord(IntEnum):
    """Indexes of the 64-bit words in the header."""

    FORMAT = 0
    POSITION = 1
    LAST_OWNER = 2


class JournalMemory:
    """One process's view of the memory; all methods but `lock` and `close` need the lock.

    Attributes:
        descriptor: The descriptor of the memory, to be passed to a process that joins.
        record_count: Number of records that were read or appended since the last replacement.
    """

    def __init__(self, descriptor: int) -> None:
        """Maps the memory at `descriptor`, which this object owns from now on.

        Raises:
            JournalError: The descriptor is not that of a journal; it stays open.
        """
        self.descriptor = descriptor
        self.record_count = 0
        self._epoch = 0
        self._is_lock_overdue = False
        try:
            if fcntl.fcntl(descriptor, fcntl.F_GET_SEALS) & _SEALS != _SEALS:
                raise JournalError("its size may change")
            self._memory = mmap.mmap(descriptor, _FILE_BYTES)
        except (OSError, ValueError) as error:
            raise JournalError(str(error)) from None
        self._header = memoryview(self._memory)[:_HEADER_BYTES].cast("Q")
        if self._header[_HeaderWord.FORMAT] != _FORMAT:
            self._unmap()
            raise JournalError("its format is not known")

    @classmethod
    def create(cls) -> JournalMemory:
        """Creates a memory without records, of which the caller is process 1.

        Raises:
            OSError: The system has no memory or descriptor for it.
            JournalError: The system does not support it.
        """
        descriptor = os.memfd_create("request-ids", os.MFD_CLOEXEC | os.MFD_ALLOW_SEALING)
        try:
            os.ftruncate(descriptor, _FILE_BYTES)
            fcntl.fcntl(descriptor, fcntl.F_ADD_SEALS, _SEALS)
            os.pwrite(descriptor, struct.pack("=QQQ", _FORMAT, 0, 1), 0)
            return cls(descriptor)
        except (OSError, JournalError):
            os.close(descriptor)
            raise

    @property
    def identity(self) -> int:
        """A number that differs between memories, and is the same for all processes that share one."""
        return os.fstat(self.descriptor).st_ino

    def close(self) -> None:
        """Ends the use of the memory."""
        self._unmap()
        os.close(self.descriptor)

    def _unmap(self) -> None:
        self._header.release()
        self._memory.close()

    def lock(self) -> bool:
        """Locks the memory; returns False if another process holds the lock for too long.

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

    def unlock(self) -> None:
        """Releases the lock."""
        fcntl.lockf(self.descriptor, fcntl.LOCK_UN, 1)

    def add_owner(self) -> int:
        """Returns the number of a process that joins."""
        self._header[_HeaderWord.LAST_OWNER] += 1
        return self._header[_HeaderWord.LAST_OWNER]

    def is_replaced(self) -> bool:
        """Returns whether another process has replaced all records since the last call of `read_new`."""
        return self._header[_HeaderWord.POSITION] >> _EPOCH_SHIFT != self._epoch

    def read_new(self) -> list[Record]:
        """Returns the records that other processes have appended; all records if they were replaced."""
        position = self._header[_HeaderWord.POSITION]
        epoch, count = position >> _EPOCH_SHIFT, position & _COUNT_MASK
        first = self.record_count if epoch == self._epoch else 0
        self._epoch, self.record_count = epoch, count
        if first == count:
            return []
        start = _area_offset(epoch)
        appended = self._memory[start + first * _RECORD.size : start + count * _RECORD.size]
        return [Record(*fields) for fields in _RECORD.iter_unpack(appended)]

    def append(self, record: Record) -> None:
        """Appends a record, for which there has to be room; `read_new` does not return it."""
        _RECORD.pack_into(self._memory, _area_offset(self._epoch) + self.record_count * _RECORD.size, *record)
        self.record_count += 1
        self._set_position()

    def replace(self, records: Sequence[Record]) -> None:
        """Replaces all records by these, at most `AREA_RECORDS`."""
        packed = b"".join(_RECORD.pack(*record) for record in records)
        offset = _area_offset(self._epoch + 1)
        self._memory[offset : offset + len(packed)] = packed
        self._epoch, self.record_count = self._epoch + 1, len(records)
        self._set_position()

    def _set_position(self) -> None:
        self._header[_HeaderWord.POSITION] = self._epoch << _EPOCH_SHIFT | self.record_count


def _area_offset(epoch: int) -> int:
    return _HEADER_BYTES + epoch % 2 * _AREA_BYTES
