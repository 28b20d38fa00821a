"""Common base of the readers of requests and responses.

Messages are parsed by llhttp (through httptools) in its strict mode; none of its lenient flags may be set.
Strict parsing rejects every message that two parsers might read differently: a content length together with
a transfer coding, a content length given twice or as a list, bare line feeds, folded headers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from tulipnotch.sidecar.http1.messages import Headers

# Longest head or trailers of a message, as received.  The parser buffers a name or a value of any length.
MAX_HEAD_BYTES = 16 << 10


@dataclass(slots=True)
class PartialMessage:
    """A message that was received in part."""

    target: bytes = b""
    headers: Headers = field(default_factory=list)
    has_head: bool = False

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header with its name in lower case; ignores trailers."""
        if not self.has_head:
            self.headers.append((name.lower(), value.strip(b" \t")))  # the parser keeps trailing whitespace

    def header_values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header, in the order of its lines."""
        return [value for key, value in self.headers if key == name]


class _Parser(Protocol):
    """What the parsers of requests and of responses have in common."""

    def feed_data(self, data: bytes, /) -> None: ...


class MessageReader:
    """Base class of both readers, with the message in progress and the parser's common callbacks.

    A subclass sets `_message` and `_parser` in its constructor, and `_has_progress` in each callback after
    which the parser retains nothing that it has received before.
    """

    _message: PartialMessage | None
    _parser: _Parser
    header_count = 0  # headers and trailers received so far, of all messages
    _has_progress = False
    _bytes_without_progress = 0

    def release(self) -> None:
        """Stops reading and frees everything that was read.

        Breaks the reference cycle with the parser, which refers to this object and holds the received part of
        a body.  Otherwise this memory would not be freed before a later garbage collection.
        """
        self._message = None
        vars(self).pop("_parser", None)

    def _parse(self, data: bytes) -> None:
        """Parses bytes that were received, and counts those without progress.

        Raises:
            httptools.HttpParserError: They are not valid HTTP.
            httptools.HttpParserUpgrade: They ask for another protocol.
        """
        self._has_progress = False
        self._parser.feed_data(data)
        self._bytes_without_progress = 0 if self._has_progress else self._bytes_without_progress + len(data)

    @property
    def _is_head_too_large(self) -> bool:
        """Whether the incomplete head, or what follows a body instead of its end, exceeds the limit."""
        return self._bytes_without_progress > MAX_HEAD_BYTES

    @property
    def is_mid_message(self) -> bool:
        """Whether a message was received in part."""
        return self._message is not None

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a message."""
        self._message = PartialMessage()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and each trailer."""
        self.header_count += 1
        if self._message is not None:
            self._message.add_header(name, value)
