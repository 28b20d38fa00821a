"""Converts messages of the simulator's protocol to events for a balancer.

A message is an array of its name, the instance's name, and its fields in a fixed order.  Additional fields at
the end are ignored.
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

_HAS_COST, _CLIENT_RETRY, _IS_WRITE = 1, 2, 4  # bits of the field `flags` of a request


def check_min_length(message: Sequence[Any], min_length: int) -> None:
    """Checks that a message has at least `min_length` elements, its name included.

    Raises:
        WireError: It has fewer.
    """
    if len(message) < min_length:
        raise WireError(f"{message[0]} needs {min_length - 1} fields, got {len(message) - 1}")


def read_event(name: str, message: Sequence[Any]) -> Event:
    """Converts a message to an event.

    Raises:
        WireError: The message violates the protocol.
    """
    min_length, read = _READERS[name]
    check_min_length(message, min_length)
    return read(message)


def is_event_message(name: str) -> bool:
    """Returns whether messages of this name are converted to events."""
    return name in _READERS


def _read_request_arrived(message: Sequence[Any]) -> Event:
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


def _read_response_started(message: Sequence[Any]) -> Event:
    request, attempt, elapsed_us, endpoint = message[2:6]
    return ResponseStarted(
        request=read_integer(request),
        attempt=read_integer(attempt),
        endpoint=read_string(endpoint),
        elapsed_us=read_integer(elapsed_us),
    )


def _read_attempt_ended(message: Sequence[Any]) -> Event:
    request, attempt, endpoint, outcome, elapsed_us, is_responded = message[2:8]
    return AttemptEnded(
        request=read_integer(request),
        attempt=read_integer(attempt),
        endpoint=read_string(endpoint),
        outcome=read_choice(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        is_responded=read_boolean(is_responded),
        report=_read_optional_report(message, 8),
    )


def _read_client_disconnected(message: Sequence[Any]) -> Event:
    return ClientDisconnected(read_integer(message[2]))


def _read_timer_fired(message: Sequence[Any]) -> Event:
    return TimerFired(read_string(message[2]))


def _read_health_check_ended(message: Sequence[Any]) -> Event:
    elapsed_us, outcome, endpoint = message[2:5]
    return HealthCheckEnded(
        endpoint=read_string(endpoint),
        outcome=read_choice(outcome, OUTCOMES),
        elapsed_us=read_integer(elapsed_us),
        report=_read_optional_report(message, 5),
    )


def _read_peer_message_received(message: Sequence[Any]) -> Event:
    return PeerMessageReceived(sender=read_integer(message[2]), payload=read_payload(message[3]))


def _read_optional_report(message: Sequence[Any], position: int) -> Mapping[str, float] | None:
    return read_report(message[position]) if len(message) > position else None


# Name of a message -> the minimum number of its elements, its name included, and the function that reads it.
_READERS: Mapping[str, tuple[int, Callable[[Sequence[Any]], Event]]] = {
    InputMessage.REQUEST_ARRIVED: (9, _read_request_arrived),
    InputMessage.RESPONSE_STARTED: (6, _read_response_started),
    InputMessage.ATTEMPT_ENDED: (8, _read_attempt_ended),
    InputMessage.CLIENT_DISCONNECTED: (3, _read_client_disconnected),
    InputMessage.TIMER_FIRED: (3, _read_timer_fired),
    InputMessage.HEALTH_CHECK_ENDED: (5, _read_health_check_ended),
    InputMessage.PEER_MESSAGE_RECEIVED: (4, _read_peer_message_received),
}
