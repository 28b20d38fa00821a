"""What reading requests and reading responses have in common.

Parsing is llhttp's (by httptools), strict: no leniency is ever turned on.  It rejects whatever can be read in
two ways: a length beside a transfer coding, a length given twice or as a list, bare line feeds, folded
headers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.sidecar.http1.messages import Headers


@dataclass(slots=True)
class PartialMessage:
    """A message of which the first bytes were received, and the last were not."""

    target: bytes = b""
    headers: Headers = field(default_factory=list)
    has_head: bool = False

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header line, its name in lower case; trailers are ignored."""
        if not self.has_head:
            self.headers.append((name.lower(), value.strip(b" \t")))  # the parser keeps trailing whitespace

    def values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, in their order."""
        return [value for key, value in self.headers if key == name]


class MessageReader:
    """Base of both readers: the message in progress, and the end of the reading.

    A subclass sets `_part` and `_parser` in its constructor.
    """

    _part: PartialMessage | None

    def release(self) -> None:
        """Read no more, and free all that was read.

        Breaks the cycle with the parser, which refers to this object and holds the received part of a body;
        otherwise that memory is freed by a later garbage collection only.
        """
        self._part = None
        vars(self).pop("_parser", None)

    @property
    def is_mid_message(self) -> bool:
        """Whether a message is received in part."""
        return self._part is not None

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a message."""
        self._part = PartialMessage()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header line and each trailer."""
        if self._part is not None:
            self._part.add_header(name, value)
