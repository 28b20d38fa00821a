"""Reads typed values from nested mappings, and names the path of each value that is invalid."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeGuard, TypeVar

MAX_EXACT_INTEGER = 2**53  # every integer up to here is exact as a double
ROOT = "settings"  # how errors name the outermost mapping

_Choice = TypeVar("_Choice", bound=Enum)


class SettingsError(ValueError):
    """A setting that is missing or invalid.

    Attributes:
        path: The path of its key, as in `classes[0].deadline_us`.
        problem: What is wrong with it.
    """

    def __init__(self, path: str, problem: str) -> None:
        """The text of the error is the path, a colon and the problem."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class ChoiceError(SettingsError):
    """A setting with a value that is none of those allowed.

    Attributes:
        value: The invalid value.
        choices: The allowed values.
    """

    def __init__(self, path: str, value: object, choices: Sequence[str]) -> None:
        """The problem lists the allowed values."""
        super().__init__(path, f"must be one of {', '.join(choices)}, got {value!r:.60}")
        self.value = value
        self.choices = tuple(choices)


class MappingReader:
    """Reads the values of one mapping by key.  A value that is None counts as absent.

    An absent or invalid value yields the default; an invalid one is an error besides.  Errors are raised, or
    appended to `errors` if that list is given.
    """

    def __init__(self, given: object, path: str = "", errors: list[SettingsError] | None = None) -> None:
        """Read from `given`, which is found at this path.

        Raises:
            SettingsError: It is no mapping.
        """
        self._errors = errors
        self._path = path
        if not isinstance(given, Mapping):
            self.add_error(SettingsError(path or ROOT, "must be a mapping"))
            given = {}
        self._given: Mapping[str, Any] = given

    def add_error(self, error: SettingsError) -> None:
        """Raise the error, or append it where errors are collected."""
        if self._errors is None:
            raise error
        self._errors.append(error)

    def mapping(self, key: str) -> MappingReader:
        """A reader of the mapping at this key; absent: of an empty one."""
        value = self._given.get(key)
        return MappingReader({} if value is None else value, self._path_of(key), self._errors)

    def mappings(self, key: str) -> list[MappingReader]:
        """Readers of the mappings in the list at this key."""
        path = self._path_of(key)
        return [
            MappingReader(each, f"{path}[{index}]", self._errors)
            for index, each in enumerate(self._sequence(key))
        ]

    def string(self, key: str, default: str | None = None) -> str:
        """The string at this key; with no default it is required."""
        value = self._given.get(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            self._reject(key, "a string")
            return default or ""
        return value

    def strings(self, key: str) -> tuple[str, ...]:
        """The list of strings at this key."""
        values = self._sequence(key)
        if not all(isinstance(each, str) for each in values):
            self._reject(key, "a list of strings")
            return ()
        return tuple(values)

    def boolean(self, key: str, *, default: bool) -> bool:
        """The boolean at this key."""
        value = self._given.get(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self._reject(key, "true or false")
            return default
        return value

    def number(
        self, key: str, default: float, *, minimum: float = 0.0, maximum: float = MAX_EXACT_INTEGER
    ) -> float:
        """The number at this key, within these bounds."""
        value = self._given.get(key)
        if value is None:
            return default
        if not _is_number(value) or not minimum <= value <= maximum:
            upper = "" if maximum == MAX_EXACT_INTEGER else f" and <= {maximum:g}"
            self._reject(key, f"a number >= {minimum:g}{upper}")
            return default
        return float(value)

    def integer(self, key: str, default: int | None = None, *, minimum: int = 0) -> int:
        """The integer at this key; with no default it is required."""
        value = self._given.get(key)
        if value is None and default is not None:
            return default
        if _is_number(value) and minimum <= value <= MAX_EXACT_INTEGER and value == int(value):
            return int(value)
        self._reject(key, f"an integer >= {minimum}")
        return max(minimum, 1) if default is None else default

    def optional_integer(self, key: str) -> int | None:
        """The integer at this key, or None where it is absent."""
        return None if self._given.get(key) is None else self.integer(key)

    def choice(self, key: str, choices: type[_Choice], default: _Choice) -> _Choice:
        """The member of an enum whose value is at this key."""
        value = self._given.get(key)
        if value is None:
            return default
        for each in choices:
            if value == each.value:
                return each
        self.add_error(ChoiceError(self._path_of(key), value, [str(each.value) for each in choices]))
        return default

    def _path_of(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def _reject(self, key: str, expected: str) -> None:
        value = self._given.get(key)
        self.add_error(SettingsError(self._path_of(key), f"must be {expected}, got {value!r:.60}"))

    def _sequence(self, key: str) -> Sequence[Any]:
        value = self._given.get(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            self._reject(key, "a list")
            return ()
        return value


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, (int, float)) and not isinstance(value, bool)
