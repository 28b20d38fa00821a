"""Pins the program's own settings format, and that each wire key sets its own field and no other.

No page documents this format: it follows the names of the fields, and this table follows the format.
"""

from __future__ import annotations

from typing import Any

import pytest
from outside import parse_plain_settings, parse_wire_settings, with_value

WIRE: dict[str, Any] = {
    "lanes": [{"name": "look", "giveUpUs": 2_000_000}],
    "realms": [{"name": "acme"}],
}
PLAIN: dict[str, Any] = {
    "classes": [{"name": "look", "deadline_us": 2_000_000}],
    "tenants": [{"name": "acme"}],
}
# Path on the wire, path in the program's own format, field, and a value that is not the default.
VALUES: list[tuple[str, str, str, Any]] = [
    ("lanes[0].name", "classes[0].name", "classes.0.name", "pay"),
    ("lanes[0].giveUpUs", "classes[0].deadline_us", "classes.0.deadline_us", 3_000_000),
    ("lanes[0].promiseUs", "classes[0].latency_objective_us", "classes.0.latency_objective_us", 500_000),
    ("lanes[0].worth", "classes[0].priority_weight", "classes.0.priority_weight", 7.0),
    ("lanes[0].lateValue", "classes[0].late_priority_weight", "classes.0.late_priority_weight", 0.25),
    (
        "lanes[0].memorySpanUs",
        "classes[0].deduplication_window_us",
        "classes.0.deduplication_window_us",
        4_000_000,
    ),
    ("lanes[0].streaming", "classes[0].streaming", "classes.0.streaming", True),
    (
        "lanes[0].aimStretch",
        "classes[0].latency_objective_stretch",
        "classes.0.latency_objective_stretch",
        0.5,
    ),
    ("realms[0].name", "tenants[0].name", "tenants.0.name", "zeta"),
    ("realms[0].portion", "tenants[0].weight", "tenants.0.weight", 0.25),
    ("realms[0].quotaRps", "tenants[0].quota_per_s", "tenants.0.quota_per_s", 10.0),
    ("zone", "zone", "zone", "east"),
    ("me", "instance_index", "instance_index", 3),
    ("groupSize", "instance_count", "instance_count", 4),
    ("quantumUs", "clock_resolution_us", "clock_resolution_us", 5_000),
    ("overShareWorth", "over_quota_weight", "over_quota_weight", 0.05),
    ("report.columns", "report.columns", "report_columns", ["util"]),
    ("kinds", "machine_types", "machine_types", ["std-4c"]),
    ("clientHabits.marksRetry", "client_habits.mark_retries", "clients_mark_retries", True),
    ("domain.warmKeys", "domain.has_key_affinity", "has_key_affinity", True),
    ("bounds.sendCap", "limits.max_attempts", "limits.max_attempts", 3),
    ("bounds.secondCopies", "limits.hedged_requests", "limits.hedged_requests", True),
    ("bounds.mayCancel", "limits.may_cancel", "limits.may_cancel", True),
    ("bounds.probing", "limits.may_health_check", "limits.may_health_check", True),
    ("bounds.mayTell", "limits.may_send_peer_messages", "limits.may_send_peer_messages", True),
    ("bounds.retryAfter", "limits.retry_after", "limits.retry_after", True),
    ("bounds.maxRetryAfterUs", "limits.max_retry_after_us", "limits.max_retry_after_us", 1_000_000),
    ("bounds.dialTimeoutUs", "limits.connect_timeout_us", "limits.connect_timeout_us", 200_000),
    ("bounds.idleCloseUs", "limits.idle_timeout_us", "limits.idle_timeout_us", 9_000_000),
    ("bounds.streamsPerConn", "limits.streams_per_connection", "limits.streams_per_connection", 2),
    ("bounds.maxOpen", "limits.max_open_requests", "limits.max_open_requests", 100),
    ("bounds.cpuUsPerS", "limits.cpu_us_per_s", "limits.cpu_us_per_s", 8_000),
    ("bounds.cpuUsPerRequest", "limits.cpu_us_per_request", "limits.cpu_us_per_request", 10.0),
    ("guarantees.answerSlackUs", "rules.response_slack_us", "rules.response_slack_us", 20_000),
    ("guarantees.askWithinUs", "rules.max_poll_interval_us", "rules.max_poll_interval_us", 9_000_000),
    ("guarantees.drainGraceUs", "rules.drain_grace_us", "rules.drain_grace_us", 250_000),
    ("guarantees.coldFrom", "rules.initial_capacity", "rules.initial_capacity", 0.13),
    ("guarantees.coldUs", "rules.warm_up_us", "rules.warm_up_us", 22_000_000),
    ("guarantees.fallMultiple", "rules.overload_multiple", "rules.overload_multiple", 2.5),
    ("guarantees.fallUs", "rules.overload_window_us", "rules.overload_window_us", 1_000_000),
    ("guarantees.lateShedding", "rules.overloaded_may_have_run", "rules.overloaded_may_have_run", True),
    ("guarantees.letGoInUs", "rules.close_idle_within_us", "rules.close_idle_within_us", 400_000),
    ("prices.crossZone", "cost_weights.cross_zone", "cost_weights.cross_zone", 0.02),
    ("prices.probe", "cost_weights.health_check", "cost_weights.health_check", 0.02),
    ("prices.peer", "cost_weights.peer_message", "cost_weights.peer_message", 0.02),
    ("prices.waste", "cost_weights.wasted_work", "cost_weights.wasted_work", 0.02),
    ("prices.handshake", "cost_weights.handshake", "cost_weights.handshake", 0.02),
    ("prices.connection", "cost_weights.connection", "cost_weights.connection", 0.02),
    ("prices.discovery", "cost_weights.discovery", "cost_weights.discovery", 0.02),
    ("prices.lateFail", "cost_weights.late_failure", "cost_weights.late_failure", 0.02),
    ("goal.whole", "objective_weights.overall", "objective_weights.overall", 0.7),
    ("goal.worstWindow", "objective_weights.worst_window", "objective_weights.worst_window", 0.1),
    ("goal.worstClass", "objective_weights.worst_class", "objective_weights.worst_class", 0.1),
    ("goal.worstTenant", "objective_weights.worst_tenant", "objective_weights.worst_tenant", 0.1),
    ("goal.tail", "objective_weights.tail", "objective_weights.tail", 0.1),
    ("goal.tailSlack", "objective_weights.tail_slack", "objective_weights.tail_slack", 0.1),
]
# The same for enumerated words: each word on the wire and in the program's own format, which is also the
# value of the enumeration in the field.
WORDS: list[tuple[str, str, str, dict[str, str]]] = [
    (
        "lanes[0].repeat",
        "classes[0].idempotency",
        "classes.0.idempotency",
        {
            "read_like": "idempotent",
            "idempotency_key": "idempotent_with_key",
            "non_idempotent": "non_idempotent",
        },
    ),
    (
        "lanes[0].group",
        "classes[0].deduplication_scope",
        "classes.0.deduplication_scope",
        {"all": "all", "zone": "zone", "cell": "cell"},
    ),
    ("discovery", "discovery_mode", "discovery_mode", {"pushed": "pushed", "on_request": "polled"}),
    (
        "weights",
        "nominal_capacity",
        "nominal_capacity",
        {"silent": "unspecified", "nominal": "nominal", "rough": "rough", "live": "live"},
    ),
    ("worthBy", "priority_weight_basis", "priority_weight_basis", {"request": "request", "work": "work"}),
    (
        "report.source",
        "report.source",
        "report_source",
        {"piggyback": "responses", "pull": "health_checks", "silent": "none"},
    ),
]


def _field_value(settings: Any, field_path: str) -> Any:
    for each in field_path.split("."):
        settings = settings[int(each)] if each.isdigit() else getattr(settings, each)
    return list(settings) if isinstance(settings, tuple) else getattr(settings, "value", settings)


@pytest.mark.parametrize(
    ("wire_path", "plain_path", "field_path", "value"), VALUES, ids=[each[1] for each in VALUES]
)
def test_plain_key_and_wire_key_set_the_same_field(
    wire_path: str, plain_path: str, field_path: str, value: Any
) -> None:
    settings = parse_plain_settings(with_value(PLAIN, plain_path, value))
    assert settings != parse_plain_settings(PLAIN)
    assert _field_value(settings, field_path) == value
    assert settings == parse_wire_settings(with_value(WIRE, wire_path, value))


@pytest.mark.parametrize(
    ("wire_path", "plain_path", "field_path", "words"), WORDS, ids=[each[1] for each in WORDS]
)
def test_plain_word_and_wire_word_set_the_same_field(
    wire_path: str, plain_path: str, field_path: str, words: dict[str, str]
) -> None:
    for wire_word, plain_word in words.items():
        settings = parse_plain_settings(with_value(PLAIN, plain_path, plain_word))
        assert _field_value(settings, field_path) == plain_word
        assert settings == parse_wire_settings(with_value(WIRE, wire_path, wire_word))


def test_error_of_plain_settings_names_the_plain_path() -> None:
    with pytest.raises(ValueError, match=r"^limits\.max_attempts: "):
        parse_plain_settings(with_value(PLAIN, "limits.max_attempts", -1))
    with pytest.raises(ValueError, match=r"^classes\[0\]\.deadline_us: "):
        parse_plain_settings(with_value(PLAIN, "classes[0].deadline_us", 0))
