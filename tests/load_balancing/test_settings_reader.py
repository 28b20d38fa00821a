"""Reading settings: ignored keys, defaults and errors."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import make_settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.events import RequestArrived
from tulipnotch.load_balancing.mapping_reader import SettingsError
from tulipnotch.load_balancing.settings import DiscoveryMode, Idempotency
from tulipnotch.load_balancing.settings_reader import settings_from_mapping

MINIMAL = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_settings_reader_uses_defaults_for_absent_keys() -> None:
    settings = settings_from_mapping(MINIMAL)
    assert settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert settings.classes[0].latency_objective_us == 1_000_000
    assert settings.discovery_mode is DiscoveryMode.POLLED
    assert not settings.limits.hedged_requests
    assert settings.limits.max_attempts == 1
    assert settings.rules.drain_grace_us == 0


def test_settings_reader_ignores_unknown_keys_and_null() -> None:
    assert settings_from_mapping(
        {**MINIMAL, "news": 1, "limits": {"x": 2}, "rules": None}
    ) == settings_from_mapping(MINIMAL)


def test_settings_reader_reads_absent_instance_index_as_minus_one() -> None:
    plain = {"classes": [{"name": "look", "deadline_us": 1_000}], "instance_count": 30}
    assert settings_from_mapping(plain).instance_index == -1
    assert settings_from_mapping({**plain, "instance_index": 0}).instance_index == 0
    assert make_settings().instance_index == -1


@pytest.mark.parametrize(
    ("mapping", "key"),
    [
        ({}, "classes"),
        ({"classes": 5}, "classes"),
        ({"classes": [{"name": "a"}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 0}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": float("nan")}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 9, "idempotency": "maybe"}]}, "classes[0].idempotency"),
        ({"classes": [*MINIMAL["classes"], *MINIMAL["classes"]]}, "classes"),
        ({**MINIMAL, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**MINIMAL, "limits": {"hedged_requests": 1}}, "limits.hedged_requests"),
        ({**MINIMAL, "rules": {"initial_capacity": 2}}, "rules.initial_capacity"),
        ({**MINIMAL, "rules": {"overload_window_us": "long"}}, "rules.overload_window_us"),
        ({**MINIMAL, "report": {"columns": "util"}}, "report.columns"),
        ({**MINIMAL, "tenants": [3]}, "tenants[0]"),
        ({**MINIMAL, "instance_count": 0}, "instance_count"),
        ({**MINIMAL, "cost_weights": []}, "cost_weights"),
    ],
)
def test_settings_reader_names_path_of_invalid_value(mapping: dict[str, Any], key: str) -> None:
    with pytest.raises(SettingsError) as error:
        settings_from_mapping(mapping)
    assert error.value.path == key
    assert str(error.value) == f"{key}: {error.value.problem}"


values = (
    st.none()
    | st.booleans()
    | st.integers(-5, 10**9)
    | st.floats()
    | st.sampled_from(["idempotent", "cell", "x"])
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "deadline_us",
                "latency_objective_us",
                "priority_weight",
                "idempotency",
                "deduplication_scope",
                "deduplication_window_us",
                "streaming",
            ]
        ),
        values,
    ),
    st.dictionaries(
        st.sampled_from(
            [
                "max_attempts",
                "hedged_requests",
                "may_cancel",
                "initial_capacity",
                "warm_up_us",
                "overload_window_us",
            ]
        ),
        values,
    ),
)
def test_settings_reader_returns_usable_settings_or_raises_error(
    service_class: dict[str, Any], others: dict[str, Any]
) -> None:
    try:
        settings = settings_from_mapping(
            {"classes": [{"name": "a", **service_class}], "limits": others, "rules": others}
        )
    except SettingsError:
        return
    balancer = Balancer(settings, 1)
    assert len(balancer.handle(5_000_000, RequestArrived(1, "a", None, None, 500_000))) > 0
