"""Checks a TOML file against a msgspec struct and reports every fault, not only the first.

msgspec's own `convert` stops at the first fault; here it judges the leaves, and this module walks the tables.
Each fault names the key, the line where the file has it, and what would be right.
"""

from __future__ import annotations

import difflib
import re
import tomllib
import types
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

T = TypeVar("T", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One thing that is wrong with a file."""

    line: int  # from 1; 0: the file as a whole
    key: str
    text: str

    def __str__(self) -> str:
        where = f"line {self.line}: " if self.line else ""
        return f"{where}{self.key}: {self.text}" if self.key else f"{where}{self.text}"


class InvalidFileError(Exception):
    """A file can't be used; `faults` are all that was found, in the order of the file."""

    def __init__(self, path: str, faults: Iterable[Fault]) -> None:
        self.path = path
        self.faults = sorted(faults)
        super().__init__("; ".join(f"{path}: {each}" for each in self.faults))


@dataclass(frozen=True, slots=True)
class Checked(Generic[T]):
    """What a file holds, and the lines of its keys for checks that come later."""

    value: T
    lines: Mapping[str, int]

    def fault(self, key: str, text: str) -> Fault:
        return Fault(line_of(self.lines, key), key, text)


Prepare = Callable[[dict[str, Any]], dict[str, Any]]


def read_toml(path: Path, kind: type[T], prepare: Prepare | None = None) -> Checked[T]:
    """Read a file of at most 1 MiB as `kind`; raise BadFile with all its faults.

    `prepare` may complete the tables before they are checked; a ValueError of it, worded `key: text`, is a
    fault.
    """
    try:
        raw = path.read_bytes()
    except OSError as fault:
        raise InvalidFileError(str(path), [Fault(0, "", f"can't be read: {fault.strerror}")]) from None
    if len(raw) > 1 << 20:
        raise InvalidFileError(str(path), [Fault(0, "", "is larger than 1 MiB")])
    try:
        text = raw.decode("utf-8")
        given = tomllib.loads(text)
    except UnicodeDecodeError as fault:
        raise InvalidFileError(
            str(path), [Fault(raw[: fault.start].count(b"\n") + 1, "", "is not UTF-8")]
        ) from None
    except tomllib.TOMLDecodeError as fault:
        found = re.search(r"at line (\d+)", str(fault))
        raise InvalidFileError(str(path), [Fault(int(found[1]) if found else 0, "", str(fault))]) from None
    lines = toml_lines(text)
    faults: list[Fault] = []
    if prepare is not None:
        try:
            given = prepare(given)
        except ValueError as fault:
            key, _, told = str(fault).partition(": ")
            raise InvalidFileError(str(path), [Fault(line_of(lines, key), key, told)]) from None
    value = convert(given, kind, "", lines, faults)
    if faults or value is None:
        raise InvalidFileError(str(path), faults)
    return Checked(value, lines)


def convert(
    given: Mapping[str, Any], kind: type[T], path: str, lines: Mapping[str, int], faults: list[Fault]
) -> T | None:
    """Build `kind` of a table; add what is wrong to `faults`, and give None if anything was."""
    found = len(faults)

    def complain(key: str, text: str) -> None:
        faults.append(Fault(line_of(lines, key), key, text))

    hints = get_type_hints(kind, include_extras=True)
    fields = {each.encode_name: each for each in msgspec.structs.fields(kind)}
    for key in given.keys() - fields.keys():
        complain(_join(path, key), f"is no key here{nearest(key, fields)}")
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in given:
            values[field.name] = _value(given[key], hints[field.name], _join(path, key), lines, faults)
        elif field.required:
            complain(_join(path, key), "is missing")
    if len(faults) > found:
        return None
    try:
        return kind(**values)
    except ValueError as fault:  # of the struct's own __post_init__, worded `key: text`
        key, colon, text = str(fault).partition(": ")
        complain(_join(path, key) if colon else path, text if colon else key)
        return None


def _value(given: Any, hint: Any, path: str, lines: Mapping[str, int], faults: list[Fault]) -> Any:
    plain = _plain(hint)
    origin = get_origin(plain)
    if isinstance(plain, type) and issubclass(plain, msgspec.Struct):
        if isinstance(given, Mapping):
            return convert(given, plain, path, lines, faults)
        faults.append(Fault(line_of(lines, path), path, f"a table is needed, not {given!r:.40}"))
        return None
    if origin in (tuple, list) and isinstance(given, Sequence) and not isinstance(given, str):
        inner = get_args(plain)[0]
        kept = [_value(each, inner, f"{path}[{n}]", lines, faults) for n, each in enumerate(given)]
        return origin(kept)
    try:
        return msgspec.convert(given, hint, strict=True)
    except msgspec.ValidationError as fault:
        text = str(fault).split(" - at `")[0]
        faults.append(Fault(line_of(lines, path), path, f"{text[0].lower()}{text[1:]}, not {given!r:.40}"))
        return None


def _plain(hint: Any) -> Any:
    """The hint without its constraints and without None."""
    if hasattr(hint, "__metadata__"):
        hint = get_args(hint)[0]
    if get_origin(hint) in (Union, types.UnionType):
        rest = [each for each in get_args(hint) if each is not type(None)]
        if len(rest) == 1:
            return _plain(rest[0])
    return hint


def nearest(name: str, known: Iterable[str]) -> str:
    """A hint: the known name that is most like this one, or all of them where there are few."""
    names = sorted(known)
    like = difflib.get_close_matches(name, names, 1)
    if like:
        return f"; did you mean {like[0]}?"
    return f"; known are {', '.join(names)}" if len(names) <= 12 else ""


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


_TABLE = re.compile(r"^\s*(\[\[?)\s*([\w.\-\"' ]+?)\s*\]\]?\s*(#.*)?$")
_KEY = re.compile(r"^\s*([\w\-]+|\"[^\"]*\"|'[^']*')\s*(\.[\w.\-]+)?\s*=")


def toml_lines(text: str) -> dict[str, int]:
    """Where each key of a TOML text stands: path to line from 1, as far as plain text tells."""
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    table = ""
    for number, each in enumerate(text.splitlines(), 1):
        header = _TABLE.match(each)
        if header is not None:
            table = ".".join(part.strip(" \"'") for part in header[2].split("."))
            if header[1] == "[[":
                counts[table] = counts.get(table, -1) + 1
                table = f"{table}[{counts[table]}]"
            lines.setdefault(table, number)
            continue
        key = _KEY.match(each)
        if key is not None:
            name = key[1].strip("\"'") + (key[2] or "").replace(" ", "")
            lines.setdefault(_join(table, name), number)
    return lines


def line_of(lines: Mapping[str, int], path: str) -> int:
    """The line of a key, or of the nearest table around it; 0 if the text does not tell."""
    while path:
        if path in lines:
            return lines[path]
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return 0
