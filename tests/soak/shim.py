"""The shim that makes system calls of one process fail, and the words that say which and how often."""

from __future__ import annotations

import mmap
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

_SOURCE = Path(__file__).with_name("fault_shim.c")
_BYTES = 4_096
_WORD = struct.Struct("=q")


class Word(IntEnum):
    """The words of the shared file, in the order of `fault_shim.c`; chances are in thousandths."""

    WALL_OFFSET_NS = 0
    ACCEPT_ERROR = 1
    ACCEPT_CHANCE = 2
    SOCKET_ERROR = 3
    SOCKET_CHANCE = 4
    CONNECT_ERROR = 5
    CONNECT_CHANCE = 6
    LOG_ERROR = 7
    LOG_CHANCE = 8
    SHORT_CHANCE = 9
    INTERRUPT_CHANCE = 10
    INJECTED = 11


def built(folder: Path) -> Path:
    """Compile the shim there; raise CalledProcessError where that can't be done."""
    library = folder / "fault_shim.so"
    command = ["gcc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(_SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True, timeout=60)
    return library


class Shim:
    """The faults of one process."""

    def __init__(self, library: Path, path: Path) -> None:
        self._library, self._path = library, path
        path.write_bytes(bytes(_BYTES))
        with path.open("r+b") as file:
            self._words = mmap.mmap(file.fileno(), _BYTES)

    @property
    def environ(self) -> dict[str, str]:
        """What a process needs in its environment to be subject to it."""
        return {"LD_PRELOAD": str(self._library), "FAULT_SHIM": str(self._path)}

    def put(self, word: Word, value: int) -> None:
        _WORD.pack_into(self._words, word * _WORD.size, value)

    def get(self, word: Word) -> int:
        (value,) = _WORD.unpack_from(self._words, word * _WORD.size)
        return int(value)

    def calm(self) -> None:
        """Let no call fail any more; a stepped clock stays stepped."""
        for word in Word:
            if word.name.endswith("_CHANCE"):
                self.put(word, 0)
