"""RequestReader, which is fed with bytes directly and uses no sockets."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.message_reader import MAX_HEAD_BYTES
from tulipnotch.sidecar.http1.request_reader import RequestReader


def _encode_request(*headers: bytes, body: bytes = b"", version: bytes = b"1.1") -> bytes:
    lines = b"".join(b"%s\r\n" % header for header in (b"Host: origin", *headers))
    return b"POST /path HTTP/%s\r\n%s\r\n%s" % (version, lines, body)


@pytest.mark.parametrize(
    ("message", "status"),
    [
        (b"garbage\r\n\r\n", 400),
        (_encode_request(b"Content-Length: 1", b"Content-Length: 1"), 400),
        (_encode_request(b"Transfer-Encoding: gzip, chunked"), 501),
        (_encode_request(b"Content-Length: 101"), 413),
        (_encode_request(b"Transfer-Encoding: chunked", body=b"65\r\n" + bytes(101)), 413),
        (b"GET /" + bytes([120]) * MAX_HEAD_BYTES, 431),
    ],
    ids=[
        "not HTTP",
        "duplicate content length",
        "unsupported transfer coding",
        "content length too large",
        "chunk too large",
        "head too large",
    ],
)
def test_request_reader_sets_error_status_when_request_is_not_acceptable(message: bytes, status: int) -> None:
    reader = RequestReader(max_body_bytes=100)
    reader.feed(message)
    assert reader.error_status == status
    assert reader.requests == []


def test_request_reader_queues_pipelined_requests() -> None:
    reader = RequestReader()
    reader.feed(
        _encode_request(b"Content-Length: 3", body=b"one")
        + _encode_request(b"Content-Length: 3", body=b"two")
    )
    assert [request.body.buffered for request in reader.requests] == [b"one", b"two"]
    assert not reader.is_mid_message


def test_request_reader_queues_request_when_its_body_exceeds_the_buffer() -> None:
    reader = RequestReader()
    length = MAX_BUFFERED_BODY_BYTES + 2
    reader.feed(_encode_request(b"Content-Length: %d" % length, body=bytes(MAX_BUFFERED_BODY_BYTES)))
    assert reader.requests == []
    reader.feed(b"x")
    (request,) = reader.requests
    assert (request.length, request.body.pending_bytes, request.body.is_complete) == (length, 1, False)
    reader.feed(b"x")
    assert (request.body.pending_bytes, request.body.is_complete) == (2, True)
    assert len(reader.requests) == 1


def test_request_reader_awaits_continue_until_the_body_is_complete() -> None:
    reader = RequestReader()
    reader.feed(_encode_request(b"Content-Length: 3", b"Expect: 100-continue"))
    assert reader.awaits_continue
    reader.feed(b"one")
    assert not reader.awaits_continue


def test_request_reader_reads_nothing_after_release() -> None:
    reader = RequestReader()
    reader.release()
    reader.feed(_encode_request(b"Content-Length: 3", body=b"one"))
    assert reader.requests == []
    assert reader.error_status == 400


@pytest.mark.parametrize("received", [b"", b"3\r\nabc\r\n0\r\nX-Trailer: "], ids=["chunk size", "trailer"])
def test_request_reader_rejects_a_chunked_body_whose_framing_exceeds_the_limit(received: bytes) -> None:
    # The parser buffers the value of a trailer, which no limit on bodies counts.
    reader = RequestReader()
    reader.feed(_encode_request(b"Transfer-Encoding: chunked") + received + b"3;x=" * (not received))
    for _ in range(MAX_HEAD_BYTES // 1_024):
        reader.feed(b"x" * 1_024)
        assert reader.error_status is None
    reader.feed(b"x" * 1_024)
    assert reader.error_status == 431


def test_request_reader_parses_few_bytes_behind_a_complete_request() -> None:
    # Many short requests behind one whose response is pending must not take a hundred times their bytes.
    reader = RequestReader()
    request = b"GET / HTTP/1.1\r\n\r\n"
    retained_bytes = reader.feed(request * 200)
    assert retained_bytes >= 200 * len(request)
    assert 0 < len(reader.requests) <= 30
    assert reader.pending_input_bytes < 30_000
    received = 0
    while reader.next_request() is not None:
        received += 1
    assert received == 200
    assert not reader.has_pending_input


def test_request_reader_counts_the_memory_of_short_headers() -> None:
    reader = RequestReader()
    data = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 1_000
    assert reader.feed(data) > 100 * 1_000
    assert reader.pending_input_bytes > 100 * 1_000


_UPGRADE = (b"Connection: Upgrade, HTTP2-Settings", b"Upgrade: h2c", b"HTTP2-Settings: AAEA")


@pytest.mark.parametrize("piece_bytes", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("request_bytes", "body"),
    [
        (_encode_request(*_UPGRADE), b""),
        (_encode_request(*_UPGRADE, b"Content-Length: 0"), b""),
        (_encode_request(*_UPGRADE, b"Content-Length: 3", body=b"one"), b"one"),
        (
            _encode_request(
                *_UPGRADE, b"Transfer-Encoding: chunked", body=b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"
            ),
            b"onetwo",
        ),
    ],
    ids=["no body", "empty body", "content length", "chunked"],
)
def test_request_reader_ignores_an_offer_to_upgrade(
    request_bytes: bytes, body: bytes, piece_bytes: int
) -> None:
    # Guards against an error behind a sound request (review/8), and against a body that is read as a request.
    reader = RequestReader()
    received = request_bytes + _encode_request(b"Content-Length: 4", body=b"next")
    for start in range(0, len(received), piece_bytes):
        reader.feed(received[start : start + piece_bytes])
    first, second = reader.next_request(), reader.next_request()
    assert first is not None
    assert second is not None
    assert (first.method, first.target, first.body.buffered, first.keep_alive) == (
        b"POST",
        b"/path",
        body,
        True,
    )
    assert (second.target, second.body.buffered) == (b"/path", b"next")
    assert reader.error_status is None
    assert not reader.has_pending_input
