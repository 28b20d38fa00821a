"""ResponseReader, which is fed with bytes directly and uses no sockets."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.http1.message_reader import MAX_HEAD_BYTES
from tulipnotch.sidecar.http1.response_fault import ResponseFault
from tulipnotch.sidecar.http1.response_reader import ResponseReader

_HEAD = b"HTTP/1.1 200 OK\r\n"
_MAX_BUFFERED_BYTES = 100
_MAX_BODY_BYTES = 100_000


@pytest.fixture
def reader() -> ResponseReader:
    return ResponseReader(_MAX_BUFFERED_BYTES, _MAX_BODY_BYTES)


@pytest.mark.parametrize("read_bytes", [1, 7, 1_000])
def test_response_reader_completes_a_response_that_is_received_in_parts(
    reader: ResponseReader, read_bytes: int
) -> None:
    message = _HEAD + b"Content-Length: 6\r\n\r\nserved"
    for start in range(0, len(message), read_bytes):
        assert reader.response is None
        reader.feed(message[start : start + read_bytes])
    assert reader.response is not None
    assert (reader.response.status, reader.response.body, reader.keep_alive) == (200, b"served", True)
    assert not reader.has_excess_data


@pytest.mark.parametrize("excess", [b"x", _HEAD, _HEAD + b"Content-Length: 0\r\n\r\n"])
@pytest.mark.parametrize("in_one_read", [True, False])
def test_response_reader_keeps_the_response_when_excess_data_follows(
    reader: ResponseReader, excess: bytes, in_one_read: bool
) -> None:
    message = _HEAD + b"Content-Length: 6\r\n\r\nserved"
    for data in [message + excess] if in_one_read else [message, excess]:
        reader.feed(data)
    assert reader.has_excess_data
    assert not reader.is_malformed
    assert reader.response is not None
    assert reader.response.body == b"served"


@pytest.mark.parametrize(
    "message",
    [
        b"garbage\r\n\r\n",
        _HEAD + b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n",
        _HEAD + b"Content-Length: 6, 6\r\n\r\n",
        _HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
        _HEAD + b"Content-Length: %d\r\n\r\n" % (_MAX_BODY_BYTES + 1),
        _HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % (_MAX_BODY_BYTES + 1)
        + bytes(_MAX_BODY_BYTES + 1),
        b"HTTP/1.1 103 Early\r\n\r\n" * 9,
    ],
    ids=[
        "not HTTP",
        "content length and transfer coding",
        "list of content lengths",
        "unsupported transfer coding",
        "content length too large",
        "chunk too large",
        "too many interim responses",
    ],
)
def test_response_reader_reports_a_malformed_response(reader: ResponseReader, message: bytes) -> None:
    reader.feed(message)
    assert reader.is_malformed
    assert reader.response is None


def test_response_reader_skips_interim_responses(reader: ResponseReader) -> None:
    reader.feed(b"HTTP/1.1 103 Early\r\n\r\n" * 8 + _HEAD + b"Content-Length: 0\r\n\r\n")
    assert reader.response is not None
    assert reader.response.status == 200


def test_response_reader_completes_a_response_without_length_at_the_end_of_the_connection(
    reader: ResponseReader,
) -> None:
    reader.feed(_HEAD + b"\r\nserved")
    assert reader.response is None
    reader.feed_eof()
    assert reader.response is not None
    assert (reader.response.body, reader.keep_alive) == (b"served", False)


def test_response_reader_does_not_complete_a_truncated_response_at_the_end_of_the_connection(
    reader: ResponseReader,
) -> None:
    reader.feed(_HEAD + b"Content-Length: 6\r\n\r\nserv")
    reader.feed_eof()
    assert reader.response is None


def test_response_reader_expects_no_body_for_a_head_request(reader: ResponseReader) -> None:
    reader.expect_response(to_head_request=True)
    reader.feed(_HEAD + b"Content-Length: 6\r\n\r\n")
    assert reader.response is not None
    assert (reader.response.length, reader.response.body, reader.keep_alive) == (6, b"", False)


@pytest.mark.parametrize(
    ("framing", "body", "is_streamed"),
    [
        (b"Content-Length: 100", b"x", False),
        (b"Content-Length: 101", b"", False),
        (b"Content-Length: 101", b"x", True),
        (b"Transfer-Encoding: chunked", b"%x\r\n%s\r\n" % (16_384, bytes(16_384)), False),
        (b"Transfer-Encoding: chunked", b"%x\r\n%s\r\n" % (16_385, bytes(16_385)), True),
    ],
)
def test_response_reader_streams_a_body_that_exceeds_the_buffer(
    reader: ResponseReader, framing: bytes, body: bytes, is_streamed: bool
) -> None:
    reader.feed(_HEAD + framing + b"\r\n\r\n" + body)
    assert (reader.head_to_stream is not None) == is_streamed


def test_response_reader_completes_a_long_error_without_its_body(reader: ResponseReader) -> None:
    reader.feed(b"HTTP/1.1 500 Broken\r\nContent-Length: 1000\r\n\r\n" + bytes(_MAX_BUFFERED_BYTES + 1))
    assert reader.response is not None
    assert (reader.response.status, reader.response.body, reader.keep_alive) == (500, b"", False)


def test_response_reader_reads_the_next_response_after_expect_response(reader: ResponseReader) -> None:
    message = _HEAD + b"Content-Length: 6\r\n\r\n"
    reader.feed(message + b"before")
    reader.expect_response()
    assert reader.response is None
    reader.feed(message + b"served")
    assert reader.response is not None
    assert reader.response.body == b"served"


@pytest.mark.parametrize(
    "prefix",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Value: ",
        b"HTTP/1.1 103 Early Hints\r\nX-Value: ",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: ",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=",
    ],
    ids=["status line", "header name", "header value", "interim response", "trailer", "chunk extension"],
)
def test_response_is_malformed_when_its_head_or_framing_exceeds_the_limit(
    reader: ResponseReader, prefix: bytes
) -> None:
    reader.feed(prefix)
    for _ in range(MAX_HEAD_BYTES // 1_024 - 1):
        reader.feed(b"x" * 1_024)
        assert reader.fault is None
    for _ in range(2):
        reader.feed(b"x" * 1_024)
    assert reader.fault is ResponseFault.HEAD_TOO_LARGE


def test_response_reader_retains_only_headers_that_are_interpreted(reader: ResponseReader) -> None:
    reader.feed(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 1_000 + b"Content-Length: 6\r\n\r\nserved")
    assert reader.response is not None
    assert reader.response.headers == [(b"content-length", b"6")]


def test_response_is_malformed_when_it_repeats_an_interpreted_header_too_often(
    reader: ResponseReader,
) -> None:
    reader.feed(b"HTTP/1.1 200 OK\r\n" + b"Content-Type: x\r\n" * 65 + b"End: ")
    assert reader.fault is ResponseFault.HEAD_TOO_LARGE
