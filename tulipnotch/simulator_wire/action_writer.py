"""Encodes the actions of a balancer as lines of the simulator's protocol."""

from __future__ import annotations

import json

from tulipnotch.load_balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogEvent,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    Subscribe,
)
from tulipnotch.simulator_wire.names import OutputMessage

_ALL_PEERS = -1
_MAX_ERROR_CHARACTERS = 500

_Field = str | int | bool


def write_action(instance: str, action: Action) -> str:
    """Returns the line for an action of this instance."""
    name, fields = _request_action_message(action) or _other_action_message(action)
    return _encode_line([name, instance, *fields])


def write_internal_error(instance: str, error: Exception) -> str:
    """Returns the line for an exception that a balancer of this instance raised."""
    return json.dumps(
        [OutputMessage.INTERNAL_ERROR, instance, f"{type(error).__name__}: {error}"[:_MAX_ERROR_CHARACTERS]]
    )


def write_done() -> str:
    """Returns the line that ends the reply to a batch."""
    return _encode_line([OutputMessage.DONE])


def _encode_line(fields: list[_Field]) -> str:
    return json.dumps(fields, separators=(",", ":"))


def _request_action_message(action: Action) -> tuple[OutputMessage, list[_Field]] | None:
    match action:
        case StartAttempt():
            return OutputMessage.START_ATTEMPT, [action.request, action.endpoint, action.deadline]
        case RejectRequest():
            return OutputMessage.REJECT_REQUEST, [action.request, action.retry_after_us]
        case FailRequest():
            return OutputMessage.FAIL_REQUEST, [action.request]
        case CancelAttempt():
            return OutputMessage.CANCEL_ATTEMPT, [action.request, action.attempt]
        case SetTimer():
            return OutputMessage.SET_TIMER, [action.delay_us, action.token]
        case _:
            return None


def _other_action_message(action: Action) -> tuple[OutputMessage, list[_Field]]:
    match action:
        case StartHealthCheck():
            return OutputMessage.START_HEALTH_CHECK, [action.endpoint]
        case CloseIdleConnections():
            return OutputMessage.CLOSE_IDLE_CONNECTIONS, [action.endpoint]
        case SendPeerMessage():
            receiver = _ALL_PEERS if action.receiver is None else action.receiver
            return OutputMessage.SEND_PEER_MESSAGE, [receiver, action.payload.hex()]
        case Subscribe():
            return OutputMessage.SUBSCRIBE, [action.is_subscribed]
        case FetchEndpoints():
            return OutputMessage.FETCH_ENDPOINTS, []
        case LogEvent():
            return OutputMessage.LOG_EVENT, [action.text]
        case _:
            raise TypeError(f"no output message is defined for {type(action).__name__}")
