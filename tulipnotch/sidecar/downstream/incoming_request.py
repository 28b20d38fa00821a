"""A client's request: validation, and the form in which it goes on to a server."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from dataclasses import dataclass

from tulipnotch.load_balancing.settings import Idempotency, ServiceClass, Settings
from tulipnotch.sidecar.http1.body import Body
from tulipnotch.sidecar.http1.messages import Headers, Request

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_TIMEOUT = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_HINT = re.compile(rb"[0-9]{1,15}")
# Headers that the sidecar reads itself; each may stand once.
_READ = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Headers of one connection, and those that are written anew for the server.
_NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
_ALWAYS_FORWARDED = frozenset((b"host", b"request-id", b"idempotency-key"))  # also if `Connection` lists them


class BadRequestError(Exception):
    """What came is not a request of this protocol.

    Attributes:
        text: What the client is sent.
        status: The status of the response.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        """Keep what the response needs."""
        super().__init__(text)
        self.text = text
        self.status = status


@dataclass(slots=True)
class IncomingRequest:
    """A client's request after validation."""

    service_class: ServiceClass  # as the settings had it when the first byte came
    tenant: str | None
    affinity_key: int | None  # requests about one thing have the same
    remaining_us: int
    cost_us: int | None
    client_retry: bool
    request_id: bytes
    method: bytes
    target: bytes
    headers: Headers  # those that are forwarded, without the timeout
    body: Body
    is_chunked: bool  # when it is forwarded, since its length is not known yet

    @property
    def class_name(self) -> str:
        """The name of its class."""
        return self.service_class.name

    def to_upstream_request(self, available_us: int) -> Request:
        """Return the request for a server, which is given at most `available_us` microseconds to respond."""
        timeout = (b"request-timeout", b"%.3f" % (min(available_us, self.remaining_us) / 1e6))
        return Request(
            self.method, self.target, [*self.headers, timeout], self.body, is_chunked=self.is_chunked
        )


def validate_request(
    request: Request, settings: Settings, classes: Mapping[str, ServiceClass]
) -> IncomingRequest:
    """Validate a request.

    Args:
        request: The request; a part of its body may still come.
        settings: They name the tenants.
        classes: The service classes by name.

    Raises:
        BadRequestError: If a server must not see it.
    """
    read, forwarded = _split_headers(request.headers)
    _required(read, b"host")  # HTTP/1.0 allows that it is missing; servers are spoken to in HTTP/1.1
    service_class = classes.get(_required(read, b"request-class").decode("latin-1"))
    if service_class is None:
        raise BadRequestError("request-class is unknown")
    request_id = _required(read, b"request-id")
    if not _REQUEST_ID.fullmatch(request_id):
        raise BadRequestError("request-id is nonsense")
    remaining_us = _timeout_us(read)
    _check_idempotency(request.method, read.get(b"idempotency-key"), service_class.idempotency)
    if not request.target.startswith(b"/"):
        raise BadRequestError("the target is no path")
    hint = read.get(b"work-hint")
    if hint is not None and not _HINT.fullmatch(hint):
        raise BadRequestError("work-hint is nonsense")
    length = request.body.size if request.body.is_complete else request.length
    if length is None:
        forwarded.append((b"transfer-encoding", b"chunked"))
    elif length or request.method == b"POST":
        forwarded.append((b"content-length", b"%d" % length))
    tenant = read.get(b"tenant", b"").decode("latin-1")
    return IncomingRequest(
        service_class=service_class,
        tenant=tenant if any(known.name == tenant for known in settings.tenants) else None,
        affinity_key=_key(request.target),
        # Each open request takes memory, so none may stay longer than its class allows.
        remaining_us=min(remaining_us, service_class.deadline_us),
        cost_us=int(hint) if hint is not None else None,
        client_retry=read.get(b"client-retry") == b"1",
        request_id=request_id,
        method=request.method,
        target=request.target,
        headers=forwarded,
        body=request.body,
        is_chunked=length is None,
    )


def _split_headers(headers: Headers) -> tuple[dict[bytes, bytes], Headers]:
    """Return the headers that the sidecar reads, and those that are forwarded; some are both."""
    read: dict[bytes, bytes] = {}
    forwarded: Headers = []
    dropped = _NOT_FORWARDED
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | {option.strip().lower() for option in value.split(b",")}
    for name, value in headers:
        if name in _READ:
            if name in read:
                raise BadRequestError(f"{name.decode()} stands twice")
            read[name] = value
        if name not in dropped or name in _ALWAYS_FORWARDED:
            forwarded.append((name, value))
    return read, forwarded


def _required(read: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = read.get(name)
    if value is None:
        raise BadRequestError(f"{name.decode()} is missing")
    return value


def _timeout_us(read: Mapping[bytes, bytes]) -> int:
    timeout = _required(read, b"request-timeout")
    timeout_us = round(float(timeout) * 1e6) if _TIMEOUT.fullmatch(timeout) else 0
    if timeout_us <= 0:
        raise BadRequestError("request-timeout is nonsense")
    return timeout_us


def _check_idempotency(method: bytes, key: bytes | None, idempotency: Idempotency) -> None:
    """Check that the method and the presence of a key are those of the class."""
    is_get = method in (b"GET", b"HEAD")
    if not (is_get or method == b"POST") or is_get != (idempotency is Idempotency.IDEMPOTENT):
        raise BadRequestError("the method is not that of the class")
    if (key is not None) != (idempotency is Idempotency.IDEMPOTENT_WITH_KEY) or key == b"":
        raise BadRequestError("idempotency-key does not go with the class")


def _key(target: bytes) -> int | None:
    """Return the last segment of the path as a number: it is what the request is about."""
    last = target.partition(b"?")[0].rpartition(b"/")[2]
    return int.from_bytes(hashlib.blake2b(last, digest_size=6).digest(), "big") if last else None
