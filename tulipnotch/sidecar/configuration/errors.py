"""Errors of the configuration package."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration cannot be used.

    Attributes:
        key: Path of the key at fault, as the file names it, or the name of an environment variable.
        problem: What is wrong with it.
    """

    def __init__(self, key: str, problem: str) -> None:
        """Creates an error whose text begins with the key."""
        self.key = key
        self.problem = problem
        super().__init__(f"{key}: {problem}")
