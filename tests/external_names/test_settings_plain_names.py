"""The program's own form of the settings, and that each wire key arrives at its own field and at no other.

This form stands on no page: it follows the names of fields, and this table follows it.
"""

from __future__ import annotations

from typing import Any

import pytest
from outside import put, settings_of_plain, settings_of_wire

WIRE: dict[str, Any] = {
    "lanes": [{"name": "look", "giveUpUs": 2_000_000}],
    "realms": [{"name": "acme"}],
}
PLAIN: dict[str, Any] = {
    "classes": [{"name": "look", "deadline_us": 2_000_000}],
    "tenants": [{"name": "acme"}],
}
# Path on the wire, path in the program's form, field, and a value that is not the default.
NUMBERS: list[tuple[str, str, str, Any]] = [
    ("lanes[0].name", "classes[0].name", "classes.0.name", "pay"),
    ("lanes[0].giveUpUs", "classes[0].deadline_us", "classes.0.deadline_us", 3_000_000),
    ("lanes[0].promiseUs", "classes[0].aim_us", "classes.0.aim_us", 500_000),
    ("lanes[0].worth", "classes[0].worth", "classes.0.worth", 7.0),
    ("lanes[0].lateValue", "classes[0].late_worth", "classes.0.late_worth", 0.25),
    ("lanes[0].memorySpanUs", "classes[0].memory_us", "classes.0.memory_us", 4_000_000),
    ("lanes[0].streaming", "classes[0].streaming", "classes.0.streaming", True),
    ("lanes[0].aimStretch", "classes[0].aim_stretch", "classes.0.aim_stretch", 0.5),
    ("realms[0].name", "tenants[0].name", "tenants.0.name", "zeta"),
    ("realms[0].portion", "tenants[0].share", "tenants.0.share", 0.25),
    ("realms[0].quotaRps", "tenants[0].quota_per_s", "tenants.0.quota_per_s", 10.0),
    ("zone", "zone", "zone", "east"),
    ("me", "me", "me", 3),
    ("groupSize", "group_size", "group_size", 4),
    ("quantumUs", "tick_us", "tick_us", 5_000),
    ("overShareWorth", "over_share_worth", "over_share_worth", 0.05),
    ("report.columns", "report.columns", "report_columns", ["util"]),
    ("kinds", "kinds", "kinds", ["std-4c"]),
    ("clientHabits.marksRetry", "client_habits.mark_retries", "clients_mark_retries", True),
    ("domain.warmKeys", "domain.warm_keys", "warm_keys", True),
    ("bounds.sendCap", "limits.max_attempts", "limits.max_attempts", 3),
    ("bounds.secondCopies", "limits.second_copies", "limits.second_copies", True),
    ("bounds.mayCancel", "limits.may_cancel", "limits.may_cancel", True),
    ("bounds.probing", "limits.may_probe", "limits.may_probe", True),
    ("bounds.mayTell", "limits.may_message", "limits.may_message", True),
    ("bounds.retryAfter", "limits.retry_after", "limits.retry_after", True),
    ("bounds.maxRetryAfterUs", "limits.max_retry_after_us", "limits.max_retry_after_us", 1_000_000),
    ("bounds.dialTimeoutUs", "limits.dial_timeout_us", "limits.dial_timeout_us", 200_000),
    ("bounds.idleCloseUs", "limits.idle_close_us", "limits.idle_close_us", 9_000_000),
    ("bounds.streamsPerConn", "limits.streams_per_connection", "limits.streams_per_connection", 2),
    ("bounds.maxOpen", "limits.max_open", "limits.max_open", 100),
    ("bounds.cpuUsPerS", "limits.cpu_us_per_s", "limits.cpu_us_per_s", 8_000),
    ("bounds.cpuUsPerRequest", "limits.cpu_us_per_request", "limits.cpu_us_per_request", 10.0),
    ("guarantees.answerSlackUs", "rules.answer_slack_us", "rules.answer_slack_us", 20_000),
    ("guarantees.askWithinUs", "rules.ask_within_us", "rules.ask_within_us", 9_000_000),
    ("guarantees.drainGraceUs", "rules.drain_grace_us", "rules.drain_grace_us", 250_000),
    ("guarantees.coldFrom", "rules.cold_from", "rules.cold_from", 0.13),
    ("guarantees.coldUs", "rules.cold_us", "rules.cold_us", 22_000_000),
    ("guarantees.fallMultiple", "rules.fall_multiple", "rules.fall_multiple", 2.5),
    ("guarantees.fallUs", "rules.fall_us", "rules.fall_us", 1_000_000),
    ("guarantees.lateShedding", "rules.full_may_have_run", "rules.full_may_have_run", True),
    ("guarantees.letGoInUs", "rules.close_idle_within_us", "rules.close_idle_within_us", 400_000),
    ("prices.crossZone", "prices.cross_zone", "prices.cross_zone", 0.02),
    ("prices.probe", "prices.probe", "prices.probe", 0.02),
    ("prices.peer", "prices.message", "prices.message", 0.02),
    ("prices.waste", "prices.waste", "prices.waste", 0.02),
    ("prices.handshake", "prices.handshake", "prices.handshake", 0.02),
    ("prices.connection", "prices.connection", "prices.connection", 0.02),
    ("prices.discovery", "prices.discovery", "prices.discovery", 0.02),
    ("prices.lateFail", "prices.late_fail", "prices.late_fail", 0.02),
    ("goal.whole", "goal.whole", "goal.whole", 0.7),
    ("goal.worstWindow", "goal.worst_window", "goal.worst_window", 0.1),
    ("goal.worstClass", "goal.worst_class", "goal.worst_class", 0.1),
    ("goal.worstTenant", "goal.worst_tenant", "goal.worst_tenant", 0.1),
    ("goal.tail", "goal.tail", "goal.tail", 0.1),
    ("goal.tailSlack", "goal.tail_slack", "goal.tail_slack", 0.1),
]
# The same for words, with each word of either form; the field's enumerated value is the program's word.
WORDS: list[tuple[str, str, str, dict[str, str]]] = [
    (
        "lanes[0].repeat",
        "classes[0].repeat",
        "classes.0.repeat",
        {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"},
    ),
    (
        "lanes[0].group",
        "classes[0].group",
        "classes.0.group",
        {"all": "all", "zone": "zone", "cell": "cell"},
    ),
    ("discovery", "discovery", "discovery", {"pushed": "pushed", "on_request": "on_request"}),
    (
        "weights",
        "weights",
        "weights",
        {"silent": "silent", "nominal": "nominal", "rough": "rough", "live": "live"},
    ),
    ("worthBy", "worth_by", "worth_by", {"request": "request", "work": "work"}),
    (
        "report.source",
        "report.source",
        "report_source",
        {"piggyback": "answers", "pull": "probes", "silent": "silent"},
    ),
]


def _field(settings: Any, path: str) -> Any:
    for each in path.split("."):
        settings = settings[int(each)] if each.isdigit() else getattr(settings, each)
    return list(settings) if isinstance(settings, tuple) else getattr(settings, "value", settings)


@pytest.mark.parametrize(("wire", "own", "field", "value"), NUMBERS, ids=[each[1] for each in NUMBERS])
def test_plain_key_arrives_at_its_field_as_the_wire_key_does(
    wire: str, own: str, field: str, value: Any
) -> None:
    read = settings_of_plain(put(PLAIN, own, value))
    assert read != settings_of_plain(PLAIN)
    assert _field(read, field) == value
    assert read == settings_of_wire(put(WIRE, wire, value))


@pytest.mark.parametrize(("wire", "own", "field", "words"), WORDS, ids=[each[1] for each in WORDS])
def test_plain_word_arrives_at_its_field_as_the_wire_word_does(
    wire: str, own: str, field: str, words: dict[str, str]
) -> None:
    for wire_word, own_word in words.items():
        read = settings_of_plain(put(PLAIN, own, own_word))
        assert _field(read, field) == own_word
        assert read == settings_of_wire(put(WIRE, wire, wire_word))


def test_faults_of_the_plain_form_name_its_own_path() -> None:
    with pytest.raises(ValueError, match=r"^limits\.max_attempts: "):
        settings_of_plain(put(PLAIN, "limits.max_attempts", -1))
    with pytest.raises(ValueError, match=r"^classes\[0\]\.deadline_us: "):
        settings_of_plain(put(PLAIN, "classes[0].deadline_us", 0))
