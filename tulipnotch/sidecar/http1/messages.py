"""Reading and writing HTTP/1.1 messages, in both directions; no sockets.

Reading is llhttp's (by httptools), strict: no leniency is ever turned on.  It refuses what can be read in two
ways: a length beside a transfer coding, a length twice or as a list, bare line feeds, folded headers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

Headers = list[tuple[bytes, bytes]]

MOST_HEAD = 16 << 10
MOST_BODY = 32 << 20
KEPT = 64 << 10  # of a body, before it has to pass through in pieces
_ENOUGH = 16 << 10  # of an answer whose length is not told, before it is passed on: its first bytes count
_MOST_INTERIM = 8  # 1xx answers ahead of the one that counts
_REASONS = {each.value: each.phrase.encode() for each in HTTPStatus}


class Body:
    """A request's body, while it comes and afterwards.

    The first part is kept, so that an attempt can be repeated.  What comes beyond it passes through: it waits
    until it is taken, once, and from then on the body can't be written again.
    """

    __slots__ = (
        "_waiting",
        "buffered",
        "is_complete",
        "is_replayable",
        "on_complete",
        "on_more",
        "on_taken",
        "size",
    )

    def __init__(self, data: bytes = b"", *, is_whole: bool = True) -> None:
        self.buffered = bytearray(data)
        self.size = len(data)  # of all that has come
        self.is_complete = is_whole
        self.is_replayable = True
        self._waiting = bytearray()
        self.on_more: Callable[[], None] | None = None  # for whoever passes it on
        self.on_taken: Callable[[], None] | None = None  # for whoever reads it
        self.on_complete: Callable[[], None] | None = None  # for whoever counts its time

    @property
    def pending_bytes(self) -> int:
        return len(self._waiting)

    @property
    def is_streamed(self) -> bool:
        """Whether it has outgrown what is kept."""
        return self.size > len(self.buffered)

    def feed(self, piece: bytes) -> None:
        fits = not self.is_streamed and self.size + len(piece) <= KEPT
        self.size += len(piece)
        (self.buffered if fits else self._waiting).extend(piece)
        if self.on_more is not None:
            self.on_more()

    def complete(self) -> None:
        """Its last byte has come."""
        self.is_complete = True
        for heard in (self.on_complete, self.on_more):
            if heard is not None:
                heard()

    def take(self, but: int = 0) -> bytes:
        """What has come beyond the part that is kept, and was not taken yet; so many bytes of it stay."""
        if len(self._waiting) <= but:
            return b""
        taken = bytes(self._waiting[: len(self._waiting) - but])
        del self._waiting[: len(taken)]
        self.is_replayable = False
        if self.on_taken is not None:
            self.on_taken()
        return taken

    def detach(self) -> None:
        """Nobody hears of it any more."""
        self.on_more = self.on_taken = self.on_complete = None


@dataclass(slots=True)
class Request:
    """A request, as it came or as it goes out."""

    method: bytes
    target: bytes
    headers: Headers  # their names in lower case
    body: Body = field(default_factory=Body)
    keep_alive: bool = True
    is_chunked: bool = False  # on its way out
    knows_chunks: bool = True  # whether its sender can read a chunked answer
    length: int | None = None  # of the body, as the head told; None: it told none

    def start(self) -> bytes:
        """The head, and what is kept of the body."""
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (self.method, self.target, _lines(self.headers))
        return head + self.framed(bytes(self.body.buffered))

    def framed(self, piece: bytes) -> bytes:
        return chunk(piece) if self.is_chunked else piece

    @property
    def end(self) -> bytes:
        return LAST_CHUNK if self.is_chunked else b""


@dataclass(slots=True)
class Response:
    """An answer: whole, or the head and the first bytes of one that passes through."""

    status: int
    headers: Headers
    body: bytes = b""
    length: int | None = None  # as its head tells; None: it tells none

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)

    def all_headers(self, name: bytes) -> set[bytes]:
        """All values that a header is given; more than one where its lines contradict each other."""
        return {value for key, value in self.headers if key == name}

    def encode(self, *, with_body: bool = True) -> bytes:
        """Its bytes, its length among them; without the body where the request allows none."""
        if with_body:
            return self.head([(b"content-length", b"%d" % len(self.body))]) + self.body
        return self.head([] if self.length is None else [(b"content-length", b"%d" % self.length)])

    def head(self, framing: Headers) -> bytes:
        reason = _REASONS.get(self.status, b"")
        return b"HTTP/1.1 %d %s\r\n%s\r\n" % (self.status, reason, _lines([*self.headers, *framing]))


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""


def _lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])


@dataclass(slots=True)
class _Part:
    """A message that has begun to come."""

    target: bytes = b""
    headers: Headers = field(default_factory=list)
    has_head: bool = False

    def add_header(self, name: bytes, value: bytes) -> None:
        if not self.has_head:  # a trailer is passed over
            self.headers.append((name.lower(), value.strip(b" \t")))  # the parser leaves what stands behind

    def values(self, name: bytes) -> list[bytes]:
        return [value for key, value in self.headers if key == name]


class _Reader:
    """What both directions share."""

    _part: _Part | None

    def release(self) -> None:
        """Read no more, and let go of all that was read.

        Guards against memory that only a late collection frees: the parser holds this object, and this object
        the parser with the part of a body that came.
        """
        self._part = None
        vars(self).pop("_parser", None)

    @property
    def is_mid_message(self) -> bool:
        return self._part is not None

    def on_message_begin(self) -> None:
        self._part = _Part()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._part is not None:
            self._part.add_header(name, value)


class RequestReader(_Reader):
    """Reads the requests of one connection.

    Whole ones wait in `requests`, and so does one whose body has outgrown what is kept: the rest of it goes
    to its body as it comes.  `fault` ends the reading for good.
    """

    def __init__(self, most_body: int = MOST_BODY) -> None:
        self.requests: list[Request] = []  # few: an empty deque would take half a KiB of each connection
        self.fault: int | None = None  # the status that what came is to be turned away with
        self.awaits_continue = False
        self._most_body = most_body
        self._part: _Part | None = None
        self._body = Body(is_whole=False)  # of the request that comes
        self._is_announced = False  # whether that one stands in `requests` already
        self._head_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def release(self) -> None:
        self._turn_away(400)
        self.requests.clear()
        self._body.detach()
        self._body = Body()
        super().release()

    @property
    def has_head(self) -> bool:
        return self._part is not None and self._part.has_head

    def feed(self, data: bytes) -> None:
        if self.fault is not None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._turn_away(400)
        if self._part is None or self._part.has_head:
            self._head_bytes = 0
        else:
            # Guards against a head that never ends: the parser keeps it all.
            self._head_bytes += len(data)
            if self._head_bytes > MOST_HEAD:
                self._turn_away(431)

    def _turn_away(self, status: int) -> None:
        if self.fault is None:
            self.fault = status

    # What the parser calls

    def on_url(self, url: bytes) -> None:
        if self._part is not None:
            self._part.target += url

    def on_headers_complete(self) -> None:
        part = self._part
        if part is None or self.fault is not None:
            return
        part.has_head = True
        self._body, self._is_announced = Body(is_whole=False), False
        lengths, codings = part.values(b"content-length"), part.values(b"transfer-encoding")
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._turn_away(505)
        elif codings and [each.lower() for each in codings] != [b"chunked"]:
            self._turn_away(501)
        elif any(int(each) > self._most_body for each in lengths):
            self._turn_away(413)
        elif [each.lower() for each in part.values(b"expect")] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, body: bytes) -> None:
        if self._part is None or self.fault is not None:
            return
        if self._body.size + len(body) > self._most_body:
            self._turn_away(413)
            return
        self._body.feed(body)
        if self._body.is_streamed and not self._is_announced:
            self._announce(self._part)

    def on_message_complete(self) -> None:
        part, self._part = self._part, None
        self.awaits_continue = False
        if part is None or self.fault is not None:
            return
        if not self._is_announced:
            self._body.is_complete = True
            self._announce(part)
        else:
            self._body.complete()

    def _announce(self, part: _Part) -> None:
        parser = self._parser
        self._is_announced = True
        lengths = part.values(b"content-length")
        self.requests.append(
            Request(
                parser.get_method(),
                part.target,
                part.headers,
                self._body,
                parser.should_keep_alive(),
                knows_chunks=parser.get_http_version() == "1.1",
                length=int(lengths[0]) if lengths else None,
            )
        )


class ResponseReader(_Reader):
    """Reads the one answer that is due on a connection, and notices what comes beyond it.

    `head` is there once the answer's head is; what has come of its body waits until it is taken.
    """

    def __init__(self, most_held: int, most_body: int | None = None) -> None:
        self.keep_alive = False
        self.has_more = False  # something came behind the answer
        self._most_held = most_held  # of a body, while nobody takes it
        self._most_body = most_body or most_held
        self._parser = httptools.HttpResponseParser(self)
        self.expect()

    def expect(self, *, is_head: bool = False) -> None:
        """The answer to a further request is due."""
        self.head: Response | None = None
        self.is_complete = False
        self.is_malformed = False
        self._is_head = is_head
        self._ends_with_connection = False
        self._waiting = bytearray()
        self._size = 0
        self._part: _Part | None = None
        self._interim = 0

    def release(self) -> None:
        self._waiting = bytearray()
        super().release()

    @property
    def response(self) -> Response | None:
        """The answer, once it is whole."""
        if not self.is_complete or self.head is None:
            return None
        return Response(self.head.status, self.head.headers, bytes(self._waiting), self.head.length)

    @property
    def is_due_on(self) -> bool:
        """Whether what has come is to be passed on now: the whole is more than is kept, or may be."""
        if self.head is None or self.head.status != 200 or not self._waiting:
            return False
        if self.head.length is not None:
            return self.head.length > self._most_held
        return len(self._waiting) > _ENOUGH

    def take(self) -> bytes:
        """What has come of the body and was not taken yet."""
        taken = bytes(self._waiting)
        self._waiting.clear()
        return taken

    def feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True
        if self.is_complete:
            self.has_more = self.has_more or self.is_malformed
            self.is_malformed = False  # the answer itself was whole by then

    def feed_end(self) -> None:
        """The connection has ended in order: so has an answer that nothing else frames."""
        if self._ends_with_connection and self._part is not None and not self.is_malformed:
            self._part = None
            self.is_complete = True
            self.keep_alive = False

    # What the parser calls

    def on_message_begin(self) -> None:
        self.has_more = self.is_complete
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        part = self._part
        if part is None:
            return
        part.has_head = True
        status = self._parser.get_status_code()
        if self.is_complete:
            return
        if status < 200:
            self._interim += 1
            self.is_malformed = self.is_malformed or self._interim > _MOST_INTERIM
            return
        lengths = part.values(b"content-length")
        codings = [each.lower() for each in part.values(b"transfer-encoding")]
        length = int(lengths[0]) if lengths else None
        if (codings and codings != [b"chunked"]) or (length is not None and length > self._most_body):
            self.is_malformed = True  # guards against waiting for what will be thrown away
            return
        self.head = Response(status, part.headers, length=length)
        if self._is_head:
            # The parser expects a body, which does not come: this connection can't be read any further.
            self._part = None
            self.is_complete = True
            self.keep_alive = False
        elif length is None and not codings and status not in (204, 304):
            self._ends_with_connection = True

    def on_body(self, body: bytes) -> None:
        if self._part is None or self.is_malformed or self.is_complete or self.head is None:
            return
        self._size += len(body)
        if self._size > self._most_body:
            self.is_malformed = True
        elif self.head.status == 200:
            self._waiting += body
        elif self._size > self._most_held:
            self._end(keep_alive=False)  # the status says it all: the text of a long error is not waited for

    def on_message_complete(self) -> None:
        if self._part is None or self.is_malformed or self.is_complete:
            self._part = None
        elif self.head is None:
            self._part = None  # a 1xx answer ahead
        else:
            self._end(keep_alive=self._parser.should_keep_alive())

    def _end(self, *, keep_alive: bool) -> None:
        self._part = None
        self.is_complete = True
        self.keep_alive = keep_alive
