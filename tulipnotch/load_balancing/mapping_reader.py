"""Reads typed values from nested mappings, and reports the path of each invalid value."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeGuard, TypeVar

MAX_EXACT_INTEGER = 2**53  # every integer up to this value is exact as a double
ROOT = "settings"  # path of the outermost mapping in errors

_Choice = TypeVar("_Choice", bound=Enum)


class SettingsError(ValueError):
    """A setting is missing or invalid.

    Attributes:
        path: The path of its key, as in `classes[0].deadline_us`.
        problem: What is wrong with it.
    """

    def __init__(self, path: str, problem: str) -> None:
        """Builds the message from the path and the problem."""
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class ChoiceError(SettingsError):
    """A setting has a value that is not one of the allowed values.

    Attributes:
        value: The invalid value.
        choices: The allowed values.
    """

    def __init__(self, path: str, value: object, choices: Sequence[str]) -> None:
        """Builds the problem from the allowed values and the invalid one."""
        super().__init__(path, f"must be one of {', '.join(choices)}, got {value!r:.60}")
        self.value = value
        self.choices = tuple(choices)


class MappingReader:
    """Reads the values of one mapping by key. A value of None counts as absent.

    An absent value yields the default. An invalid value is an error and yields the default, too. Errors are
    raised, or appended to `errors` if that list is given.
    """

    def __init__(self, source: object, path: str = "", errors: list[SettingsError] | None = None) -> None:
        """Reads from `source`; `path` is its path within the outermost mapping.

        Raises:
            SettingsError: `source` is not a mapping, and `errors` is not given.
        """
        self._errors = errors
        self._path = path
        if not isinstance(source, Mapping):
            self.add_error(SettingsError(path or ROOT, "must be a mapping"))
            source = {}
        self._source: Mapping[str, Any] = source

    def add_error(self, error: SettingsError) -> None:
        """Raises the error, or appends it to the list of errors if there is one."""
        if self._errors is None:
            raise error
        self._errors.append(error)

    def mapping(self, key: str) -> MappingReader:
        """Returns a reader of the mapping at this key; if it is absent, of an empty one."""
        value = self._source.get(key)
        return MappingReader({} if value is None else value, self._path_of(key), self._errors)

    def mappings(self, key: str) -> list[MappingReader]:
        """Returns readers of the mappings in the list at this key."""
        path = self._path_of(key)
        return [
            MappingReader(each, f"{path}[{index}]", self._errors)
            for index, each in enumerate(self._sequence(key))
        ]

    def string(self, key: str, default: str | None = None) -> str:
        """Returns the string at this key; it is required unless there is a default."""
        value = self._source.get(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            self._reject(key, "a string")
            return default or ""
        return value

    def strings(self, key: str) -> tuple[str, ...]:
        """Returns the list of strings at this key."""
        values = self._sequence(key)
        if not all(isinstance(each, str) for each in values):
            self._reject(key, "a list of strings")
            return ()
        return tuple(values)

    def boolean(self, key: str, *, default: bool) -> bool:
        """Returns the boolean at this key."""
        value = self._source.get(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self._reject(key, "true or false")
            return default
        return value

    def number(
        self, key: str, default: float, *, minimum: float = 0.0, maximum: float = MAX_EXACT_INTEGER
    ) -> float:
        """Returns the number at this key, which must lie within these bounds."""
        value = self._source.get(key)
        if value is None:
            return default
        if not _is_number(value) or not minimum <= value <= maximum:
            upper = "" if maximum == MAX_EXACT_INTEGER else f" and <= {maximum:g}"
            self._reject(key, f"a number >= {minimum:g}{upper}")
            return default
        return float(value)

    def integer(self, key: str, default: int | None = None, *, minimum: int = 0) -> int:
        """Returns the integer at this key; it is required unless there is a default."""
        value = self._source.get(key)
        if value is None and default is not None:
            return default
        if _is_number(value) and minimum <= value <= MAX_EXACT_INTEGER and value == int(value):
            return int(value)
        self._reject(key, f"an integer >= {minimum}")
        return max(minimum, 1) if default is None else default

    def optional_integer(self, key: str) -> int | None:
        """Returns the integer at this key; None if it is absent."""
        return None if self._source.get(key) is None else self.integer(key)

    def choice(self, key: str, choices: type[_Choice], default: _Choice) -> _Choice:
        """Returns the enum member whose value is at this key."""
        value = self._source.get(key)
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
        value = self._source.get(key)
        self.add_error(SettingsError(self._path_of(key), f"must be {expected}, got {value!r:.60}"))

    def _sequence(self, key: str) -> Sequence[Any]:
        value = self._source.get(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            self._reject(key, "a list")
            return ()
        return value


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, (int, float)) and not isinstance(value, bool)
