"""Validates a TOML file against a msgspec struct and reports all faults, not only the first.

`msgspec.convert` stops at the first fault.  Therefore this module traverses the tables itself, and uses
msgspec for single values only.  Each fault names the key, its line in the file and the violated constraint.
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
_MAX_NAMES_SHOWN = 12  # if there are more known names, a fault does not list them


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault of a file."""

    line: int  # counted from 1; 0: the fault is not at a single line
    key: str
    text: str

    def __str__(self) -> str:
        """Returns `line N: key: text`; leaves out the line if it is 0 and the key if it is empty."""
        where = f"line {self.line}: " if self.line else ""
        return f"{where}{self.key}: {self.text}" if self.key else f"{where}{self.text}"


class InvalidFileError(Exception):
    """A file that cannot be read or is invalid.

    Attributes:
        path: Path of the file.
        faults: All faults of the file, in the order of their lines.
    """

    def __init__(self, path: str, faults: Iterable[Fault]) -> None:
        """Creates an error whose text lists all faults."""
        self.path = path
        self.faults = sorted(faults)
        super().__init__("; ".join(f"{path}: {each}" for each in self.faults))


@dataclass(frozen=True, slots=True)
class ValidatedFile(Generic[T]):
    """The value of a valid file, and the lines of its keys, for checks beyond those of its struct."""

    value: T
    lines: Mapping[str, int]

    def create_fault(self, key: str, text: str) -> Fault:
        """Returns a fault of this key, with the key's line."""
        return Fault(find_line(self.lines, key), key, text)


PrepareTable = Callable[[dict[str, Any]], dict[str, Any]]


def read_toml(path: Path, struct: type[T], prepare: PrepareTable | None = None) -> ValidatedFile[T]:
    """Reads and validates a file of at most 1 MiB.

    Args:
        path: The path of the file.
        struct: The type of its top-level table.
        prepare: Completes the top-level table before it is validated; may raise ValueError with a text of the
            form `key: problem`.

    Raises:
        InvalidFileError: The file cannot be read or is invalid; the error has all faults.
    """
    text = _read_text(path)
    raw = _parse_toml(text, path)
    lines = locate_toml_keys(text)
    if prepare is not None:
        try:
            raw = prepare(raw)
        except ValueError as error:
            key, _, problem = str(error).partition(": ")
            raise InvalidFileError(str(path), [Fault(find_line(lines, key), key, problem)]) from None
    converter = _StructConverter(lines)
    value = converter.convert_table(raw, struct, "")
    if converter.faults or value is None:
        raise InvalidFileError(str(path), converter.faults)
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


def _parse_toml(text: str, path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = re.search(r"at line (\d+)", str(error))
        raise InvalidFileError(str(path), [Fault(int(match[1]) if match else 0, "", str(error))]) from None


@dataclass(frozen=True, slots=True)
class _StructConverter:
    """Converts the tables of one file to structs, and collects all faults."""

    lines: Mapping[str, int]
    faults: list[Fault] = field(default_factory=list)

    def convert_table(self, raw: Mapping[str, Any], struct: type[T], path: str) -> T | None:
        """Converts the table at `path`; adds its faults and returns None if there are any."""
        previous_fault_count = len(self.faults)
        type_hints = get_type_hints(struct, include_extras=True)
        fields = {each.encode_name: each for each in msgspec.structs.fields(struct)}
        for key in raw.keys() - fields.keys():
            self._add_fault(join_key_path(path, key), f"unknown key{format_suggestion(key, fields)}")
        values: dict[str, Any] = {}
        for key, struct_field in fields.items():
            if key in raw:
                values[struct_field.name] = self._convert_value(
                    raw[key], type_hints[struct_field.name], join_key_path(path, key)
                )
            elif struct_field.required:
                self._add_fault(join_key_path(path, key), "is missing")
        if len(self.faults) > previous_fault_count:
            return None
        try:
            return struct(**values)
        except ValueError as error:  # from the struct's __post_init__, with a text of the form `key: problem`
            key, colon, problem = str(error).partition(": ")
            self._add_fault(join_key_path(path, key) if colon else path, problem if colon else key)
            return None

    def _convert_value(self, raw: Any, type_hint: Any, path: str) -> Any:
        """Converts one value; the result is meaningless if a fault was added."""
        value_type = _strip_constraints(type_hint)
        origin = get_origin(value_type)
        if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
            if isinstance(raw, Mapping):
                return self.convert_table(raw, value_type, path)
            self._add_fault(path, f"must be a table, got {raw!r:.40}")
            return None
        if origin in (tuple, list) and isinstance(raw, Sequence) and not isinstance(raw, str):
            item_type_hint = get_args(value_type)[0]
            return origin(
                self._convert_value(item, item_type_hint, f"{path}[{index}]")
                for index, item in enumerate(raw)
            )
        try:
            return msgspec.convert(raw, type_hint, strict=True)
        except msgspec.ValidationError as error:
            problem = str(error).split(" - at `")[0]
            self._add_fault(path, f"{problem[0].lower()}{problem[1:]}, got {raw!r:.40}")
            return None

    def _add_fault(self, key: str, text: str) -> None:
        self.faults.append(Fault(find_line(self.lines, key), key, text))


def _strip_constraints(type_hint: Any) -> Any:
    """Returns the type of a type hint without its constraints, and without None if it is optional."""
    if hasattr(type_hint, "__metadata__"):
        type_hint = get_args(type_hint)[0]
    if get_origin(type_hint) in (Union, types.UnionType):
        alternatives = [each for each in get_args(type_hint) if each is not type(None)]
        if len(alternatives) == 1:
            return _strip_constraints(alternatives[0])
    return type_hint


def format_suggestion(name: str, known: Iterable[str]) -> str:
    """Returns the end of a fault's text: the known name most similar to this one, or all if they are few."""
    names = sorted(known)
    similar = difflib.get_close_matches(name, names, 1)
    if similar:
        return f"; did you mean {similar[0]}?"
    return f"; known are {', '.join(names)}" if len(names) <= _MAX_NAMES_SHOWN else ""
