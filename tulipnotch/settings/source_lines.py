"""Finds the line of each key in a TOML or JSON file.

Paths of keys are written as `table.key` and `list[0].key`; lines are counted from 1.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass

_TOML_TABLE = re.compile(r"^\s*(\[\[?)\s*([\w.\-\"' ]+?)\s*\]\]?\s*(#.*)?$")
_TOML_KEY = re.compile(r"^\s*([\w\-]+|\"[^\"]*\"|'[^']*')\s*(\.[\w.\-]+)?\s*=")
_JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+')


def join_key_path(path: str, key: str) -> str:
    """Returns the path of a key of the table at `path`, which is empty for the top-level table."""
    return f"{path}.{key}" if path else key


def find_line(lines: Mapping[str, int], path: str) -> int:
    """Returns the line of a key, or of the innermost table around it that has one; 0 if there is none."""
    while path:
        if path in lines:
            return lines[path]
        path = path[: max(path.rfind("."), path.rfind("["), 0)]
    return 0


def locate_toml_keys(text: str) -> dict[str, int]:
    """Returns the lines of all tables and keys of a TOML text by path, but not of keys in inline tables."""
    lines: dict[str, int] = {}
    array_lengths: dict[str, int] = {}  # lengths of arrays of tables so far, keyed by path
    table = ""
    for number, line in enumerate(text.splitlines(), 1):
        if (header := _TOML_TABLE.match(line)) is not None:
            table = ".".join(part.strip(" \"'") for part in header[2].split("."))
            if header[1] == "[[":
                index = array_lengths.get(table, 0)
                array_lengths[table] = index + 1
                table = f"{table}[{index}]"
            lines.setdefault(table, number)
        elif (key := _TOML_KEY.match(line)) is not None:
            name = key[1].strip("\"'") + (key[2] or "").replace(" ", "")
            lines.setdefault(join_key_path(table, name), number)
    return lines


@dataclass(slots=True)
class _Container:
    """An object or array of a JSON text whose end has not been reached yet."""

    path: str
    next_index: int | None  # index of the next item of an array; None for an object


class _JsonKeyLocator:
    """Processes the tokens of a valid JSON text and records the line of each key."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self._containers: list[_Container] = []
        self._path = ""  # path of the next value
        self._expects_key = False

    def process_token(self, token: str, line: int) -> None:
        """Processes the next token, which starts on this line."""
        match token:
            case "{":
                self._containers.append(_Container(self._path, None))
                self._expects_key = True
            case "[":
                self._containers.append(_Container(self._path, 0))
                self._start_next_value()
            case "}" | "]":
                self._path = self._containers.pop().path
                self._expects_key = False
            case ",":
                self._start_next_value()
            case ":":
                pass
            case _ if self._expects_key:
                self._path = join_key_path(self._containers[-1].path, str(json.loads(token)))
                self.lines[self._path] = line
                self._expects_key = False

    def _start_next_value(self) -> None:
        container = self._containers[-1]
        self._expects_key = container.next_index is None
        if container.next_index is not None:
            self._path = f"{container.path}[{container.next_index}]"
            container.next_index += 1


def locate_json_keys(text: str) -> dict[str, int]:
    """Returns the lines of all keys of a valid JSON text by path."""
    locator = _JsonKeyLocator()
    line, position = 1, 0
    for token in _JSON_TOKEN.finditer(text):
        line += text.count("\n", position, token.start())
        position = token.start()
        locator.process_token(token[0], line)
    return locator.lines
