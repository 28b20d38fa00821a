"""The unwritten part of a request, without sockets."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES, Body
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.upstream.unwritten_request import UnwrittenRequest

_HEAD = b"POST /path HTTP/1.1\r\nhost: origin\r\n\r\n"


def _on_data() -> None:
    """Does nothing."""


def _request(body: Body, *, is_chunked: bool = False) -> Request:
    return Request(b"POST", b"/path", [(b"host", b"origin")], body, is_chunked=is_chunked)


def test_unwritten_request_withholds_last_received_byte_until_body_is_complete() -> None:
    body = Body(is_complete=False)
    unwritten = UnwrittenRequest(_request(body), _on_data)
    body.feed(bytes(MAX_BUFFERED_BODY_BYTES))
    body.feed(b"abc")
    assert unwritten.pop_available() == _HEAD + b"ab"
    assert unwritten.pop_available() == b""
    body.feed(b"d")
    body.complete()
    assert unwritten.encode_remainder() == b"cd"


@pytest.mark.parametrize("is_chunked", [False, True])
def test_unwritten_request_removes_written_bytes(is_chunked: bool) -> None:
    unwritten = UnwrittenRequest(_request(Body(b"body"), is_chunked=is_chunked), _on_data)
    expected = _HEAD + (b"4\r\nbody\r\n0\r\n\r\n" if is_chunked else b"body")
    assert unwritten.encode_remainder() == expected
    unwritten.remove_written(10)
    assert unwritten.pop_all_but_last_byte() == expected[10:-1]
    assert unwritten.encode_remainder() == expected[-1:]
    unwritten.remove_written(1)
    assert unwritten.encode_remainder() == b""


def test_unwritten_request_detaches_only_its_own_hook() -> None:
    body = Body(b"body")
    unwritten = UnwrittenRequest(_request(body), _on_data)
    body.on_data = other = lambda: None
    unwritten.detach(_on_data)
    assert body.on_data is other
    UnwrittenRequest(_request(body), _on_data).detach(_on_data)
    assert body.on_data is None
