"""Decoding of the endpoint list."""

from __future__ import annotations

import json
from typing import Any

import pytest
from loopback import endpoint_entry

from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryFormatError,
    EndpointListLimits,
    decode_endpoint_list,
    encode_endpoint_list,
    parse_endpoint_list,
)


def _list_document(**changes: Any) -> dict[str, Any]:
    return {"version": 3, "full": False, "servers": [], **changes}


def test_parse_endpoint_list_converts_the_start_time_to_microseconds() -> None:
    response = parse_endpoint_list(
        _list_document(servers=[endpoint_entry("a", "127.0.0.1:80", started_ms=1_700_000_000_123)])
    )
    assert response.endpoints[0].description.started_at == 1_700_000_000_123_000


def test_parse_endpoint_list_returns_no_address_when_the_endpoint_was_removed() -> None:
    response = parse_endpoint_list(_list_document(servers=[{"id": "a", "state": "left"}]))
    assert response.endpoints[0].address is None


def test_encoded_endpoint_list_is_decoded_to_the_same_list() -> None:
    # Guards against a start time that changes on the way, which would count as a restart.
    servers = [
        endpoint_entry("a", "127.0.0.1:80", started_ms=1_700_000_000_123, weight=0.5, cell=3),
        endpoint_entry("b", "[::1]:81", state="leaving", started_ms=0),
        {"id": "c", "state": "left"},
    ]
    response = parse_endpoint_list(_list_document(servers=servers, full=True))
    limits = EndpointListLimits.for_memory(64)
    assert decode_endpoint_list(encode_endpoint_list(response), limits) == response


@pytest.mark.parametrize(
    ("document", "field", "problem"),
    [
        ([], "", "the endpoint list must be a JSON object"),
        (_list_document(version=True), "version", "an integer >= 0 is needed, not True"),
        (_list_document(full=1), "full", "true or false is needed, not 1"),
        (_list_document(servers={}), "servers", "a list is needed, not {}"),
        (_list_document(servers=[7]), "servers", "each server must be a JSON object"),
        (_list_document(servers=[{"id": ""}]), "servers", "an id is needed, not ''"),
        (_list_document(servers=[{"id": "a", "state": "odd"}]), "servers", "unknown state 'odd' of a"),
        (
            _list_document(servers=[endpoint_entry("a", "127.0.0.1:80", weight=-1)]),
            "servers",
            "weight: a number >= 0 and < 2**53 is needed, not -1",
        ),
        (
            _list_document(servers=[endpoint_entry("a", "127.0.0.1:80", kind=5)]),
            "servers",
            "kind: a string is needed, not 5",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_parse_endpoint_list_names_the_field_when_the_document_is_invalid(
    document: object, field: str, problem: str
) -> None:
    with pytest.raises(DiscoveryFormatError) as raised:
        parse_endpoint_list(document)
    assert (raised.value.field, raised.value.problem) == (field, problem)
    assert str(raised.value) == (f"{field}: {problem}" if field else problem)


def test_decode_endpoint_list_accepts_as_many_servers_as_the_memory_limit_is_meant_for() -> None:
    entry = {"id": "s-5be2a07c", "addr": "10.1.0.18:8081", "zone": "a", "kind": "m2", "cell": 3}
    servers = [{**entry, "state": "active", "weight": 1.0, "started_ms": 0}] * 3_200
    body = json.dumps({"version": 1, "full": True, "servers": servers}).encode()
    limits = EndpointListLimits.for_memory(memory_mb=32)
    assert len(body) <= limits.max_bytes
    assert len(decode_endpoint_list(body, limits).endpoints) == 3_200
    with pytest.raises(DiscoveryFormatError):
        decode_endpoint_list(body, EndpointListLimits.for_memory(memory_mb=16))


def test_decode_endpoint_list_error_does_not_refer_to_the_document() -> None:
    # A task keeps the error until its next garbage collection, and the document can take several megabytes.
    with pytest.raises(DiscoveryFormatError) as caught:
        decode_endpoint_list(b'{"version":1,"full":true,"servers":[1]}', EndpointListLimits.for_memory(64))
    assert caught.value.__context__ is None
