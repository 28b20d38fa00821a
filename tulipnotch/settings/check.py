"""Validates a TOML file against a msgspec struct and reports all faults, not only the first.

`msgspec.convert` stops at the first fault.  Therefore this module walks the tables itself and uses msgspec
for the single values.  Each fault names the key, its line in the file and the constraint that is violated.
"""

from __future__ import annotations

import difflib
import re
import tomllib
import types
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Generic, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from tulipnotch.settings.source_lines import find_line, join_key_path, locate_toml_keys

T = TypeVar("T", bound=msgspec.Struct)

_MAX_FILE_BYTES = 1 << 20
_MAX_NAMES_SHOWN = 12  # in the hint of a fault


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault of a file."""

    line: int  # from 1; 0: the file as a whole
    key: str
    text: str

    def __str__(self) -> str:
        """Returns `line N: key: text`, without the parts that are not known."""
        where = f"line {self.line}: " if self.line else ""
        return f"{where}{self.key}: {self.text}" if self.key else f"{where}{self.text}"


class InvalidFileError(Exception):
    """A file cannot be used.

    Attributes:
        path: Path of the file.
        faults: All faults that were found, in the order of the file.
    """

    def __init__(self, path: str, faults: Iterable[Fault]) -> None:
        """Creates an error whose text lists all faults."""
        self.path = path
        self.faults = sorted(faults)
        super().__init__("; ".join(f"{path}: {each}" for each in self.faults))


@dataclass(frozen=True, slots=True)
class ValidatedFile(Generic[T]):
    """The value of a valid file, and the lines of its keys for further checks."""

    value: T
    lines: Mapping[str, int]

    def create_fault(self, key: str, text: str) -> Fault:
        """Returns a fault of this key, with its line."""
        return Fault(find_line(self.lines, key), key, text)


Prepare = Callable[[dict[str, Any]], dict[str, Any]]


def read_toml(path: Path, struct: type[T], prepare: Prepare | None = None) -> ValidatedFile[T]:
    """Reads and validates a file of at most 1 MiB.

    Args:
        path: The file.
        struct: The type of its top-level table.
        prepare: Completes the top-level table before it is validated; may raise ValueError with a text of the
            form `key: problem`.

    Raises:
        InvalidFileError: The file is invalid; it has all faults.
    """
    text = _read_text(path)
    given = _parse(text, path)
    lines = locate_toml_keys(text)
    if prepare is not None:
        try:
            given = prepare(given)
        except ValueError as error:
            key, _, problem = str(error).partition(": ")
            raise InvalidFileError(str(path), [Fault(find_line(lines, key), key, problem)]) from None
    conversion = _Conversion(lines)
    value = conversion.convert(given, struct, "")
    if conversion.faults or value is None:
        raise InvalidFileError(str(path), conversion.faults)
    return ValidatedFile(value, lines)


def _read_text(path: Path) -> str:
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise InvalidFileError(str(path), [Fault(0, "", f"cannot be read: {error.strerror}")]) from None
    if len(raw) > _MAX_FILE_BYTES:
        raise InvalidFileError(str(path), [Fault(0, "", "is larger than 1 MiB")])
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw[: error.start].count(b"\n") + 1
        raise InvalidFileError(str(path), [Fault(line, "", "is not UTF-8")]) from None


def _parse(text: str, path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"at line (\d+)", str(error))
        raise InvalidFileError(str(path), [Fault(int(found[1]) if found else 0, "", str(error))]) from None


@dataclass(frozen=True, slots=True)
class _Conversion:
    """Converts the tables of one file to structs, and collects the faults."""

    lines: Mapping[str, int]
    faults: list[Fault] = field(default_factory=list)

    def convert(self, given: Mapping[str, Any], struct: type[T], path: str) -> T | None:
        """Converts the table at `path`; returns None if it has any fault."""
        faults_before = len(self.faults)
        hints = get_type_hints(struct, include_extras=True)
        fields = {each.encode_name: each for each in msgspec.structs.fields(struct)}
        for key in given.keys() - fields.keys():
            self._add_fault(join_key_path(path, key), f"unknown key{format_suggestion(key, fields)}")
        values: dict[str, Any] = {}
        for key, each in fields.items():
            if key in given:
                values[each.name] = self._convert_value(
                    given[key], hints[each.name], join_key_path(path, key)
                )
            elif each.required:
                self._add_fault(join_key_path(path, key), "is missing")
        if len(self.faults) > faults_before:
            return None
        try:
            return struct(**values)
        except ValueError as error:  # raised by the struct's __post_init__, worded `key: problem`
            key, colon, problem = str(error).partition(": ")
            self._add_fault(join_key_path(path, key) if colon else path, problem if colon else key)
            return None

    def _convert_value(self, given: Any, hint: Any, path: str) -> Any:
        """Converts one value; the result is meaningless if a fault was added."""
        value_type = _without_constraints(hint)
        origin = get_origin(value_type)
        if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
            if isinstance(given, Mapping):
                return self.convert(given, value_type, path)
            self._add_fault(path, f"must be a table, got {given!r:.40}")
            return None
        if origin in (tuple, list) and isinstance(given, Sequence) and not isinstance(given, str):
            item_hint = get_args(value_type)[0]
            return origin(
                self._convert_value(item, item_hint, f"{path}[{index}]") for index, item in enumerate(given)
            )
        try:
            return msgspec.convert(given, hint, strict=True)
        except msgspec.ValidationError as error:
            problem = str(error).split(" - at `")[0]
            self._add_fault(path, f"{problem[0].lower()}{problem[1:]}, got {given!r:.40}")
            return None

    def _add_fault(self, key: str, text: str) -> None:
        self.faults.append(Fault(find_line(self.lines, key), key, text))


def _without_constraints(hint: Any) -> Any:
    """Returns the type of a hint without its constraints and without None."""
    if hasattr(hint, "__metadata__"):
        hint = get_args(hint)[0]
    if get_origin(hint) in (Union, types.UnionType):
        alternatives = [each for each in get_args(hint) if each is not type(None)]
        if len(alternatives) == 1:
            return _without_constraints(alternatives[0])
    return hint


def format_suggestion(name: str, known: Iterable[str]) -> str:
    """Returns a hint: the known name that resembles this one most, or all of them if there are few."""
    names = sorted(known)
    similar = difflib.get_close_matches(name, names, 1)
    if similar:
        return f"; did you mean {similar[0]}?"
    return f"; known are {', '.join(names)}" if len(names) <= _MAX_NAMES_SHOWN else ""
