"""Why a response counts as malformed."""

from __future__ import annotations

from enum import Enum, unique


@unique
class ResponseFault(Enum):
    """Fault of a response; the values are parts of metric names and stand in the log."""

    INVALID_HTTP = "invalid_http"  # not valid HTTP/1.1, or ambiguous
    HEAD_TOO_LARGE = "head_too_large"  # or its trailers, or whatever else is sent instead of a body
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_INTERIM = "too_many_interim"  # 1xx responses without a final one
    BEFORE_REQUEST = "before_request"  # a 200 that came before its request was written completely
    STALLED = "stalled"  # began and made no progress
    NOT_AWAITED = "not_awaited"  # to be streamed, but its client waits no longer
