"""The names of the simulator's wire, and what they stand for: the one table, read in both directions.

Settings arrive under the wire's names, in the configuration file too; `settings_from_wire` and
`settings_to_wire` translate them, and errors name the wire's keys and values.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum, unique
from typing import Any

from tulipnotch.load_balancing.events import EndpointState, EndpointUpdateKind
from tulipnotch.load_balancing.mapping_reader import ROOT, ChoiceError, SettingsError
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Settings
from tulipnotch.load_balancing.settings_reader import settings_from_mapping


@unique
class InputMessage(StrEnum):
    """The messages that the simulator sends."""

    BATCH_BEGIN = "FRAME"
    BATCH_END = "COMMIT"
    INSTANCE_STARTED = "BEGIN"
    INSTANCE_STOPPED = "EXIT"
    ENDPOINT_LIST = "PAGE"
    ENDPOINTS_UPDATED = "TARGETS"
    REQUEST_ARRIVED = "WORK_ITEM"
    RESPONSE_STARTED = "FIRST"
    ATTEMPT_ENDED = "ATTEMPT_END"
    CLIENT_DISCONNECTED = "CLIENT_GONE"
    TIMER_FIRED = "WAKE"
    HEALTH_CHECK_ENDED = "SAMPLED"
    PEER_MESSAGE_RECEIVED = "MEMO"


@unique
class OutputMessage(StrEnum):
    """The messages that the adapter sends."""

    START_ATTEMPT = "ASSIGN"
    REJECT_REQUEST = "NOT_NOW"
    FAIL_REQUEST = "SURRENDER"
    CANCEL_ATTEMPT = "ABORT_ATTEMPT"
    SET_TIMER = "REMIND"
    START_HEALTH_CHECK = "CHECK"
    CLOSE_IDLE_CONNECTIONS = "SHUT_IDLE"
    SEND_PEER_MESSAGE = "POST"
    SUBSCRIBE = "FOLLOW"
    FETCH_ENDPOINTS = "REFRESH"
    LOG_EVENT = "REMARK"
    INTERNAL_ERROR = "INTERNAL_ERROR"
    DONE = "DONE"


UPDATE_KINDS: Mapping[str, EndpointUpdateKind] = {
    "delta": EndpointUpdateKind.DELTA,
    "full": EndpointUpdateKind.COMPLETE,
    "cached": EndpointUpdateKind.CACHED,
    "failed": EndpointUpdateKind.FAILED,
}
ENDPOINT_STATES: Mapping[str, EndpointState] = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
OUTCOMES: Mapping[str, Outcome] = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.SERVER_ERROR,
    "shed": Outcome.OVERLOADED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
}

# Settings: the name of a field -> its key on the wire.  Keys of the wire that stand nowhere here are ignored.
_TOP_LEVEL = {
    "classes": "lanes",
    "tenants": "realms",
    "zone": "zone",
    "instance_index": "me",
    "instance_count": "groupSize",
    "clock_resolution_us": "quantumUs",
    "discovery_mode": "discovery",
    "nominal_capacity": "weights",
    "priority_weight_basis": "worthBy",
    "over_quota_weight": "overShareWorth",
    "report": "report",
    "limits": "bounds",
    "rules": "guarantees",
    "cost_weights": "prices",
    "objective_weights": "goal",
    "machine_types": "kinds",
    "client_habits": "clientHabits",
    "domain": "domain",
}
_SECTIONS = {
    "classes": {
        "name": "name",
        "deadline_us": "giveUpUs",
        "latency_objective_us": "promiseUs",
        "priority_weight": "worth",
        "late_priority_weight": "lateValue",
        "idempotency": "repeat",
        "deduplication_scope": "group",
        "deduplication_window_us": "memorySpanUs",
        "streaming": "streaming",
        "latency_objective_stretch": "aimStretch",
    },
    "tenants": {"name": "name", "weight": "portion", "quota_per_s": "quotaRps"},
    "report": {"columns": "columns", "source": "source"},
    "limits": {
        "max_attempts": "sendCap",
        "hedged_requests": "secondCopies",
        "may_cancel": "mayCancel",
        "may_health_check": "probing",
        "may_send_peer_messages": "mayTell",
        "retry_after": "retryAfter",
        "max_retry_after_us": "maxRetryAfterUs",
        "connect_timeout_us": "dialTimeoutUs",
        "idle_timeout_us": "idleCloseUs",
        "streams_per_connection": "streamsPerConn",
        "max_open_requests": "maxOpen",
        "cpu_us_per_s": "cpuUsPerS",
        "cpu_us_per_request": "cpuUsPerRequest",
    },
    "rules": {
        "response_slack_us": "answerSlackUs",
        "max_poll_interval_us": "askWithinUs",
        "drain_grace_us": "drainGraceUs",
        "initial_capacity": "coldFrom",
        "warm_up_us": "coldUs",
        "overload_multiple": "fallMultiple",
        "overload_window_us": "fallUs",
        "overloaded_may_have_run": "lateShedding",
        "close_idle_within_us": "letGoInUs",
    },
    "cost_weights": {
        "cross_zone": "crossZone",
        "health_check": "probe",
        "peer_message": "peer",
        "wasted_work": "waste",
        "handshake": "handshake",
        "connection": "connection",
        "discovery": "discovery",
        "late_failure": "lateFail",
    },
    "objective_weights": {
        "overall": "whole",
        "worst_window": "worstWindow",
        "worst_class": "worstClass",
        "worst_tenant": "worstTenant",
        "tail": "tail",
        "tail_slack": "tailSlack",
    },
    "client_habits": {"mark_retries": "marksRetry"},
    "domain": {"has_key_affinity": "warmKeys"},
}
# The name of a field -> its values that differ on the wire, and how these are written there.
_VALUES = {
    "idempotency": {"idempotent": "read_like", "idempotent_with_key": "idempotency_key"},
    "discovery_mode": {"polled": "on_request"},
    "nominal_capacity": {"unspecified": "silent"},
    "source": {"responses": "piggyback", "health_checks": "pull", "none": "silent"},
}


def settings_from_wire(given: object, errors: list[SettingsError] | None = None) -> Settings:
    """Read the settings object of the wire.

    Args:
        given: The settings object.
        errors: If given, every error is appended to it; the settings are valid only if it stays empty.

    Raises:
        SettingsError: A value is missing or invalid, and `errors` is not given; or `given` is no mapping.
    """
    if not isinstance(given, Mapping):
        raise SettingsError(ROOT, "must be an object")
    plain = _from_wire(given, _TOP_LEVEL)
    for section, names in _SECTIONS.items():
        value = plain.get(section)
        if isinstance(value, list):
            plain[section] = [
                _from_wire(each, names) if isinstance(each, Mapping) else each for each in value
            ]
        elif isinstance(value, Mapping):
            plain[section] = _from_wire(value, names)
    if errors is None:
        try:
            return settings_from_mapping(plain)
        except SettingsError as error:
            raise _error_on_wire(error) from None
    found: list[SettingsError] = []
    settings = settings_from_mapping(plain, found)
    errors += [_error_on_wire(each) for each in found]
    return settings


def settings_to_wire(plain: Mapping[str, Any]) -> dict[str, Any]:
    """Write settings in the plain form of `settings_reader` under the wire's names.

    Raises:
        KeyError: A name is no setting.
    """
    written = {}
    for name, value in plain.items():
        names = _SECTIONS.get(name)
        if names is None:
            written[_TOP_LEVEL[name]] = _value_to_wire(name, value)
        elif isinstance(value, Mapping):
            written[_TOP_LEVEL[name]] = _to_wire(value, names)
        else:
            written[_TOP_LEVEL[name]] = [_to_wire(each, names) for each in value]
    return written


def wire_path(path: str) -> str:
    """The path of a setting on the wire, given its path in the plain form."""
    first, *rest = path.split(".")
    section, bracket, index = first.partition("[")
    names = _SECTIONS.get(section, {})
    return ".".join([_TOP_LEVEL.get(section, section) + bracket + index, *(names.get(n, n) for n in rest)])


def _from_wire(given: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    return {
        name: _value_from_wire(name, given[wire_name])
        for name, wire_name in names.items()
        if wire_name in given
    }


def _to_wire(plain: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    return {names[name]: _value_to_wire(name, value) for name, value in plain.items()}


def _value_from_wire(name: str, value: Any) -> Any:
    if not isinstance(value, str):
        return value
    values = {wire_value: plain_value for plain_value, wire_value in _VALUES.get(name, {}).items()}
    return values.get(value, value)


def _value_to_wire(name: str, value: Any) -> Any:
    return _VALUES.get(name, {}).get(value, value) if isinstance(value, str) else value


def _error_on_wire(error: SettingsError) -> SettingsError:
    """The same error, with the wire's names of the key and of the allowed values."""
    path = wire_path(error.path)
    if not isinstance(error, ChoiceError):
        return SettingsError(path, error.problem)
    name = error.path.rpartition(".")[2]
    return ChoiceError(path, error.value, [_value_to_wire(name, each) for each in error.choices])
