"""Reads the wire's messages as events of a balancer.

A message is an array: its name, the instance's name, and its fields in fixed order.  Further fields at its
end are ignored.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from tulipnotch.simulator_wire.field_readers import (
    WireError,
    read_boolean,
    read_choice,
    read_integer,
    read_optional_integer,
    read_payload,
    read_report,
    read_string,
)
from tulipnotch.simulator_wire.names import OUTCOMES, InputMessage

_HAS_COST, _CLIENT_RETRY, _IS_WRITE = 1, 2, 4  # bits of the flags of a request


def check_length(message: Sequence[Any], min_length: int) -> None:
    """Check that a message has so many values, its name included.

    Raises:
        WireError: It has fewer.
    """
    if len(message) < min_length:
        raise WireError(f"{message[0]} needs {min_length - 1} values, got {len(message) - 1}")


def read_event(name: str, message: Sequence[Any]) -> Event:
    """Read a message as an event.

    Raises:
        WireError: It breaks the grammar of the wire.
    """
    min_length, read = _READERS[name]
    check_length(message, min_length)
    return read(message)


def is_event(name: str) -> bool:
    """Whether messages of this name are read here."""
    return name in _READERS


def _request_arrived(message: Sequence[Any]) -> Event:
    request, service_class, tenant, key, remaining_us, cost_us, flags = message[2:9]
    flags = read_integer(flags)
    return RequestArrived(
        request=read_integer(request),
        service_class=read_string(service_class),
        tenant=None if tenant is None or tenant == 0 else read_string(tenant),
        key=read_optional_integer(key),
        remaining_us=read_integer(remaining_us),
        cost_us=read_optional_integer(cost_us) if flags & _HAS_COST else None,
        client_retry=bool(flags & _CLIENT_RETRY),
        is_write=bool(flags & _IS_WRITE),
    )


def _response_started(message: Sequence[Any]) -> Event:
    request, attempt, elapsed_us, endpoint = message[2:6]
    return ResponseStarted(
        request=read_integer(request),
        attempt=read_integer(attempt),
        endpoint=read_string(endpoint),
        elapsed_us=read_integer(elapsed_us),
    )


def _attempt_ended(message: Sequence[Any]) -> Event:
    request, attempt, endpoint, outcome, elapsed_us, is_responded = message[2:8]
    return AttemptEnded(
        request=read_integer(request),
        attempt=read_integer(attempt),
        endpoint=read_string(endpoint),
        outcome=read_choice(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        is_responded=read_boolean(is_responded),
        report=_optional_report(message, 8),
    )


def _client_disconnected(message: Sequence[Any]) -> Event:
    return ClientDisconnected(read_integer(message[2]))


def _timer_fired(message: Sequence[Any]) -> Event:
    return TimerFired(read_string(message[2]))


def _health_check_ended(message: Sequence[Any]) -> Event:
    elapsed_us, outcome, endpoint = message[2:5]
    return HealthCheckEnded(
        endpoint=read_string(endpoint),
        outcome=read_choice(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        report=_optional_report(message, 5),
    )


def _peer_message_received(message: Sequence[Any]) -> Event:
    return PeerMessageReceived(sender=read_integer(message[2]), payload=read_payload(message[3]))


def _optional_report(message: Sequence[Any], position: int) -> Mapping[str, float] | None:
    return read_report(message[position]) if len(message) > position else None


# Name of the message -> least number of its values, the name included, and how to read them.
_READERS: Mapping[str, tuple[int, Callable[[Sequence[Any]], Event]]] = {
    InputMessage.REQUEST_ARRIVED: (9, _request_arrived),
    InputMessage.RESPONSE_STARTED: (6, _response_started),
    InputMessage.ATTEMPT_ENDED: (8, _attempt_ended),
    InputMessage.CLIENT_DISCONNECTED: (3, _client_disconnected),
    InputMessage.TIMER_FIRED: (3, _timer_fired),
    InputMessage.HEALTH_CHECK_ENDED: (5, _health_check_ended),
    InputMessage.PEER_MESSAGE_RECEIVED: (4, _peer_message_received),
}
