"""Errors of the configuration package."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration is invalid or cannot be read.

    Attributes:
        key: Path of the invalid key, as the file names it, or the name of an environment variable.
        problem: What is wrong with its value.
    """

    def __init__(self, key: str, problem: str) -> None:
        """Creates an error whose text begins with the key."""
        self.key = key
        self.problem = problem
        super().__init__(f"{key}: {problem}")
