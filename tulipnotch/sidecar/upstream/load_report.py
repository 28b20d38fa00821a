"""Parses the load reports that servers add to their responses in the `Server-Load` header."""

from __future__ import annotations

from tulipnotch.sidecar.http1.messages import Response

_MAX_REPORT_VALUE = 1e9  # larger values are ignored


def parse_load_report(
    response: Response | None, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """Returns the load report of a response.

    Args:
        response: A complete response, or None if there is none.
        columns: The names of the values that the settings use.  Other values are ignored, and so are values
            that are not numbers or out of range.
        in_body: Whether the body is parsed as the report if the header is missing.

    Returns:
        The values keyed by name, or None if there is no usable value.
    """
    if response is None:
        return None
    text = response.header(b"server-load") or (response.body if in_body else None)
    if not text:
        return None
    report: dict[str, float] = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, value_text = pair.partition("=")
        if name.strip() in columns:
            try:
                value = float(value_text)
            except ValueError:
                continue
            if 0.0 <= value <= _MAX_REPORT_VALUE:  # false for NaN as well
                report[name.strip()] = value
    return report or None
