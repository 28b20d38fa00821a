"""The names of the simulator's protocol, and the only table that maps them to the names in this project.

Settings have the protocol's names, called wire names here, in the configuration file too.
`settings_from_wire` and `settings_to_wire` translate them by the same table, and errors name the wire's keys
and values.
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
    """The messages from the simulator; the values are their names on the wire."""

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
    """The messages to the simulator; the values are their names on the wire."""

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

# Settings: internal key -> key on the wire.  Keys of the wire that are not listed here are ignored.
_TOP_LEVEL_KEYS = {
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
_SECTION_KEYS = {
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
# Internal key -> its internal values that differ on the wire -> these values on the wire.
_WIRE_VALUES = {
    "idempotency": {"idempotent": "read_like", "idempotent_with_key": "idempotency_key"},
    "discovery_mode": {"polled": "on_request"},
    "nominal_capacity": {"unspecified": "silent"},
    "source": {"responses": "piggyback", "health_checks": "pull", "none": "silent"},
}


def settings_from_wire(wire_settings: object, errors: list[SettingsError] | None = None) -> Settings:
    """Reads settings with wire names.

    Args:
        wire_settings: The settings object.
        errors: If given, all errors are appended to it, and the settings are valid only if it stays empty.

    Raises:
        SettingsError: `wire_settings` is no mapping, or `errors` is None and a value is missing or invalid.
    """
    if not isinstance(wire_settings, Mapping):
        raise SettingsError(ROOT, "must be an object")
    internal_settings = _mapping_from_wire(wire_settings, _TOP_LEVEL_KEYS)
    for section, wire_names in _SECTION_KEYS.items():
        value = internal_settings.get(section)
        if isinstance(value, list):
            internal_settings[section] = [
                _mapping_from_wire(each, wire_names) if isinstance(each, Mapping) else each for each in value
            ]
        elif isinstance(value, Mapping):
            internal_settings[section] = _mapping_from_wire(value, wire_names)
    if errors is None:
        try:
            return settings_from_mapping(internal_settings)
        except SettingsError as error:
            raise _error_to_wire(error) from None
    internal_errors: list[SettingsError] = []
    settings = settings_from_mapping(internal_settings, internal_errors)
    errors += [_error_to_wire(each) for each in internal_errors]
    return settings


def settings_to_wire(internal_settings: Mapping[str, Any]) -> dict[str, Any]:
    """Returns settings with wire names, given those with the internal names of `settings_reader`.

    Raises:
        KeyError: A name is not that of a setting.
    """
    wire_settings = {}
    for name, value in internal_settings.items():
        wire_names = _SECTION_KEYS.get(name)
        if wire_names is None:
            wire_settings[_TOP_LEVEL_KEYS[name]] = _value_to_wire(name, value)
        elif isinstance(value, Mapping):
            wire_settings[_TOP_LEVEL_KEYS[name]] = _mapping_to_wire(value, wire_names)
        else:
            wire_settings[_TOP_LEVEL_KEYS[name]] = [_mapping_to_wire(each, wire_names) for each in value]
    return wire_settings


def to_wire_path(path: str) -> str:
    """Returns the path of a setting on the wire, given its path with internal names."""
    first, *keys = path.split(".")
    section, bracket, index = first.partition("[")
    wire_names = _SECTION_KEYS.get(section, {})
    return ".".join(
        [_TOP_LEVEL_KEYS.get(section, section) + bracket + index, *(wire_names.get(key, key) for key in keys)]
    )


def _mapping_from_wire(wire_settings: Mapping[str, Any], wire_names: Mapping[str, str]) -> dict[str, Any]:
    return {
        name: _value_from_wire(name, wire_settings[wire_name])
        for name, wire_name in wire_names.items()
        if wire_name in wire_settings
    }


def _mapping_to_wire(internal_settings: Mapping[str, Any], wire_names: Mapping[str, str]) -> dict[str, Any]:
    return {wire_names[name]: _value_to_wire(name, value) for name, value in internal_settings.items()}


def _value_from_wire(name: str, value: Any) -> Any:
    if not isinstance(value, str):
        return value
    values = {wire_value: internal_value for internal_value, wire_value in _WIRE_VALUES.get(name, {}).items()}
    return values.get(value, value)


def _value_to_wire(name: str, value: Any) -> Any:
    return _WIRE_VALUES.get(name, {}).get(value, value) if isinstance(value, str) else value


def _error_to_wire(error: SettingsError) -> SettingsError:
    """Returns the same error with the wire names of the key and of the allowed values."""
    path = to_wire_path(error.path)
    if not isinstance(error, ChoiceError):
        return SettingsError(path, error.problem)
    name = error.path.rpartition(".")[2]
    return ChoiceError(path, error.value, [_value_to_wire(name, each) for each in error.choices])
