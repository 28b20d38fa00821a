"""Parsing of the load reports that servers add to their responses (`Server-Load`)."""

from __future__ import annotations

from tulipnotch.sidecar.http1.messages import Response

_MAX_REPORT_VALUE = 1e9  # larger values are ignored


def parse_load_report(
    response: Response | None, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """Return the load report of a response.

    Args:
        response: A complete response, or None.
        columns: The names of the values that the settings use; others are ignored, and so are values that are
            no number or out of range.
        in_body: Whether the body is the report where there is no header.

    Returns:
        The values by their names, or None where there is no usable one.
    """
    if response is None:
        return None
    text = response.header(b"server-load") or (response.body if in_body else None)
    if not text:
        return None
    report: dict[str, float] = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, figure = pair.partition("=")
        if name.strip() in columns:
            try:
                value = float(figure)
            except ValueError:
                continue
            if 0.0 <= value <= _MAX_REPORT_VALUE:  # false for NaN, too
                report[name.strip()] = value
    return report or None
