"""Preloaded library that makes system calls of a process fail, and the shared memory that controls it."""

from __future__ import annotations

import mmap
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

_SOURCE = Path(__file__).with_name("fault_shim.c")
_FILE_BYTES = 4_096
_WORD = struct.Struct("=q")


class ControlWord(IntEnum):
    """Index of each 64-bit word of the shared file, in the order of `fault_shim.c`.

    The `_CHANCE` words are probabilities in thousandths; INJECTED counts the injected faults.
    """

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


def compile_shim(folder: Path) -> Path:
    """Compiles the shim into `folder` and returns the path of the library.

    Raises:
        CalledProcessError: the compiler failed.
    """
    library = folder / "fault_shim.so"
    command = ["gcc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(_SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True, timeout=60)
    return library


class FaultShim:
    """System call faults of one process; owns the memory that is shared with the library in that process."""

    def __init__(self, library: Path, path: Path) -> None:
        self._library, self._path = library, path
        path.write_bytes(bytes(_FILE_BYTES))
        with path.open("r+b") as file:
            self._words = mmap.mmap(file.fileno(), _FILE_BYTES)

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables that load the shim into a process."""
        return {"LD_PRELOAD": str(self._library), "FAULT_SHIM": str(self._path)}

    def write_word(self, word: ControlWord, value: int) -> None:
        """Sets a word, which takes effect at the next system call of the process."""
        _WORD.pack_into(self._words, word * _WORD.size, value)

    def read_word(self, word: ControlWord) -> int:
        """Returns the value of a word."""
        (value,) = _WORD.unpack_from(self._words, word * _WORD.size)
        return int(value)

    def end_faults(self) -> None:
        """Sets all probabilities to 0; an offset of the wall clock stays in effect."""
        for word in ControlWord:
            if word.name.endswith("_CHANCE"):
                self.write_word(word, 0)
