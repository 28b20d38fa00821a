"""Requests of clients: validation, and conversion to the requests that are sent to servers."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass

from tulipnotch.load_balancing.settings import Idempotency, ServiceClass, Settings
from tulipnotch.sidecar.http1.body import Body
from tulipnotch.sidecar.http1.messages import Headers, Request

_REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
_TIMEOUT_PATTERN = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_WORK_HINT_PATTERN = re.compile(rb"[0-9]{1,15}")
# Headers that the sidecar interprets; each may occur only once.
_INTERPRETED_HEADERS = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Hop-by-hop headers, and headers that are generated anew for the server.
_NOT_FORWARDED_HEADERS = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
# Headers that are forwarded even if the `Connection` header lists them.
_ALWAYS_FORWARDED_HEADERS = frozenset((b"host", b"request-id", b"idempotency-key"))


class BadRequestError(Exception):
    """A request is invalid and is rejected.

    Attributes:
        text: The body of the error response.
        status: The status code of the error response.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        """Creates the error from the parts of its response."""
        super().__init__(text)
        self.text = text
        self.status = status


@dataclass(slots=True)
class IncomingRequest:
    """A client's request after validation."""

    service_class: ServiceClass  # from the settings that were current when its first byte was received
    tenant: str | None  # None: not given, or not in the settings
    affinity_key: int | None  # the same for all requests for one resource; None: the path has no last segment
    remaining_us: int  # time that the client still waits
    cost_us: int | None  # the client's estimate of the work; None: not given
    client_retry: bool
    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers  # the headers that are forwarded, except for the timeout
    body: Body
    is_chunked: bool  # whether it is forwarded with the chunked coding, since its length is not known

    @property
    def class_name(self) -> str:
        """Name of its service class."""
        return self.service_class.name

    def to_upstream_request(self, available_us: int) -> Request:
        """Returns the request to send to a server, with a timeout of at most `available_us` microseconds."""
        timeout = (b"request-timeout", b"%.3f" % (min(available_us, self.remaining_us) / 1e6))
        return Request(
            self.method, self.target, [*self.headers, timeout], self.body, is_chunked=self.is_chunked
        )


def validate_request(
    request: Request, settings: Settings, classes: Mapping[str, ServiceClass]
) -> IncomingRequest:
    """Validates a request.

    Args:
        request: The request; its body may still be incomplete.
        settings: The settings, with the tenants.
        classes: The service classes by name.

    Raises:
        BadRequestError: The request is invalid and must not be forwarded.
    """
    interpreted, forwarded = _split_headers(request.headers)
    _required_header(interpreted, b"host")  # optional in HTTP/1.0, but requests to servers are HTTP/1.1
    service_class = classes.get(_required_header(interpreted, b"request-class").decode("latin-1"))
    if service_class is None:
        raise BadRequestError("request-class is unknown")
    request_id = _required_header(interpreted, b"request-id")
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        raise BadRequestError("request-id is nonsense")
    remaining_us = _parse_timeout_us(interpreted)
    _check_idempotency(request.method, interpreted.get(b"idempotency-key"), service_class.idempotency)
    if not request.target.startswith(b"/"):
        raise BadRequestError("the target is no path")
    hint = interpreted.get(b"work-hint")
    if hint is not None and not _WORK_HINT_PATTERN.fullmatch(hint):
        raise BadRequestError("work-hint is nonsense")
    length = request.body.size if request.body.is_complete else request.length
    if length is None:
        forwarded.append((b"transfer-encoding", b"chunked"))
    elif length or request.method == b"POST":
        forwarded.append((b"content-length", b"%d" % length))
    tenant = interpreted.get(b"tenant", b"").decode("latin-1")
    return IncomingRequest(
        service_class=service_class,
        tenant=tenant if any(known.name == tenant for known in settings.tenants) else None,
        affinity_key=_affinity_key(request.target),
        # Bounds the time for which an open request takes memory.
        remaining_us=min(remaining_us, service_class.deadline_us),
        cost_us=int(hint) if hint is not None else None,
        client_retry=interpreted.get(b"client-retry") == b"1",
        request_id=request_id,
        method=request.method,
        target=request.target,
        headers=forwarded,
        body=request.body,
        is_chunked=length is None,
    )


def _split_headers(headers: Headers) -> tuple[dict[bytes, bytes], Headers]:
    """Returns the headers that the sidecar interprets, and those that are forwarded; some are in both."""
    interpreted: dict[bytes, bytes] = {}
    forwarded: Headers = []
    not_forwarded = _NOT_FORWARDED_HEADERS
    for name, value in headers:
        if name == b"connection":
            not_forwarded = not_forwarded | {option.strip().lower() for option in value.split(b",")}
    for name, value in headers:
        if name in _INTERPRETED_HEADERS:
            if name in interpreted:
                raise BadRequestError(f"{name.decode()} stands twice")
            interpreted[name] = value
        if name not in not_forwarded or name in _ALWAYS_FORWARDED_HEADERS:
            forwarded.append((name, value))
    return interpreted, forwarded


def _required_header(interpreted: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = interpreted.get(name)
    if value is None:
        raise BadRequestError(f"{name.decode()} is missing")
    return value


def _parse_timeout_us(interpreted: Mapping[bytes, bytes]) -> int:
    timeout = _required_header(interpreted, b"request-timeout")
    timeout_us = round(float(timeout) * 1e6) if _TIMEOUT_PATTERN.fullmatch(timeout) else 0
    if timeout_us <= 0:
        raise BadRequestError("request-timeout is nonsense")
    return timeout_us


def _check_idempotency(method: bytes, key: bytes | None, idempotency: Idempotency) -> None:
    """Checks that the method and the presence of an idempotency key match the idempotency of the class."""
    is_get_or_head = method in (b"GET", b"HEAD")
    if not (is_get_or_head or method == b"POST") or is_get_or_head != (idempotency is Idempotency.IDEMPOTENT):
        raise BadRequestError("the method is not that of the class")
    if (key is not None) != (idempotency is Idempotency.IDEMPOTENT_WITH_KEY) or key == b"":
        raise BadRequestError("idempotency-key does not go with the class")


def _affinity_key(target: bytes) -> int | None:
    """Returns a hash of the last segment of the path, which identifies the resource; None if it is empty."""
    segment = target.partition(b"?")[0].rpartition(b"/")[2]
    return int.from_bytes(hashlib.blake2b(segment, digest_size=6).digest(), "big") if segment else None
