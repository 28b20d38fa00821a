"""Types of command line parameters that the benchmarks share."""

from __future__ import annotations

import click


class SeedRange(click.ParamType[range]):
    """Seeds as `FIRST-LAST`, both included, or as a single number."""

    name = "FIRST-LAST"

    def convert(self, value: str | range, param: click.Parameter | None, ctx: click.Context | None) -> range:
        """Parses the text; raises click.BadParameter if it is not a range of whole numbers."""
        if isinstance(value, range):
            return value
        first, _, last = value.partition("-")
        try:
            return range(int(first), int(last or first) + 1)
        except ValueError:
            self.fail(f"{value!r} is not FIRST-LAST", param, ctx)


class IntegerList(click.ParamType[tuple[int, ...]]):
    """Whole numbers separated by commas."""

    name = "N,N..."

    def convert(
        self, value: str | tuple[int, ...], param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Parses the text; raises click.BadParameter if a part of it is not a whole number."""
        if isinstance(value, tuple):
            return value
        try:
            return tuple(int(number) for number in value.split(","))
        except ValueError:
            self.fail(f"{value!r} is not a list of whole numbers", param, ctx)
