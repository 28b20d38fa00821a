"""Metrics of the control endpoint: their fixed names, and what each of them counts."""

from __future__ import annotations

import asyncio

from loopback import OK_RESPONSE, ReceivedRequest, http_request, run_async, sidecar_harness, wait_until

from tulipnotch.load_balancing.outcomes import Outcome, TerminationReason
from tulipnotch.sidecar.control.telemetry import (
    CLOSE_REASON_NAMES,
    OUTCOME_NAMES,
    TERMINATION_REASON_NAMES,
    RequestResult,
    Telemetry,
)
from tulipnotch.sidecar.discovery.call_events import DiscardReason, EndReason
from tulipnotch.sidecar.http1.response_fault import ResponseFault
from tulipnotch.sidecar.requests.invariants import CloseReason

# The names under which dashboards read the metrics.
COUNTERS_BY_REASON = {
    "client_closes": [
        "client_left",
        "answered",
        "idle",
        "silent",
        "rejected",
        "unread",
        "answer_broken",
        "lingered",
        "no_room",
    ],
    "retries": [
        "overdue",
        "error",
        "full",
        "expired",
        "dial_failed",
        "dropped",
        "cancelled",
        "unsent",
        "spoilt",
    ],
    "refusals": ["max_open", "admission", "no_server", "no_retry", "deadline", "at_fault"],
    "failures": ["admission", "no_server", "no_retry", "deadline", "at_fault"],
    "malformed_responses": [
        "invalid_http",
        "head_too_large",
        "body_too_large",
        "too_many_interim",
        "before_request",
        "stalled",
        "not_awaited",
    ],
    "endpoint_lists_discarded": ["stale", "known", "incomparable"],
    "discovery_calls_ended": ["no_response", "too_many", "shutdown"],
}


def parse_telemetry(lines: list[str]) -> dict[str, int]:
    """Returns the metrics of a `telemetry` response, keyed by name."""
    assert (lines[0], lines[-1]) == ("", ".")
    return {name: int(value) for name, _, value in (each.partition("=") for each in lines[1:-1])}


def test_telemetry_has_counters_of_every_class_from_the_start_and_keeps_those_of_removed_classes() -> None:
    telemetry = Telemetry(["look", "odd name=\n"])
    assert "app.downstream_requests.look.rejected=0" in telemetry.render_metrics({})
    assert "app.downstream_requests.odd_name__.failed=0" in telemetry.render_metrics({})
    telemetry.request_ended("look", RequestResult.FAILED)
    telemetry.add_classes(["new"])
    lines = telemetry.render_metrics({"pending": 3})
    assert "app.downstream_requests.look.failed=1" in lines
    assert "app.downstream_requests.new.completed=0" in lines
    assert "app.pending=3" in lines
    assert "app.upstream_requests_withheld=0" in lines
    assert "app.upstream_requests_recalled=0" in lines
    assert "app.responses_stalled=0" in lines
    assert "app.request_ids_unknown=0" in lines
    assert len(lines) == 3 * 3 + 9 + 42


def test_telemetry_has_a_metric_name_for_every_member_of_the_counted_enums() -> None:
    assert OUTCOME_NAMES.keys() == set(Outcome)
    assert TERMINATION_REASON_NAMES.keys() == set(TerminationReason)
    assert CLOSE_REASON_NAMES.keys() == set(CloseReason)


def test_telemetry_keeps_the_metric_names_that_dashboards_use_in_their_order() -> None:
    lines = Telemetry([]).render_metrics({})
    assert lines[:8] == [
        "app.upstream_requests=0",
        "app.upstream_requests_withheld=0",
        "app.upstream_requests_recalled=0",
        "app.responses_stalled=0",
        "app.request_ids_unknown=0",
        "app.endpoint_lists_applied=0",
        "app.config_reloads=0",
        "app.config_reload_errors=0",
    ]
    assert lines[8:] == [
        f"app.{group}.{reason}=0" for group, reasons in COUNTERS_BY_REASON.items() for reason in reasons
    ]


def test_telemetry_counts_each_event_under_its_own_name() -> None:
    telemetry = Telemetry([])
    telemetry.request_retried(None)
    telemetry.request_retried(Outcome.MALFORMED_RESPONSE)
    telemetry.request_rejected(None)
    telemetry.request_rejected(TerminationReason.NO_ENDPOINT)
    telemetry.request_failed(TerminationReason.CLIENT_ERROR)
    telemetry.connection_closed(CloseReason.NO_REQUEST)
    telemetry.response_malformed(ResponseFault.STALLED)
    telemetry.attempt_written()
    telemetry.attempt_withheld()
    telemetry.attempt_recalled()
    telemetry.response_stalled()
    telemetry.request_id_unknown()
    telemetry.endpoint_list_applied()
    telemetry.endpoint_list_discarded(DiscardReason.STALE)
    telemetry.discovery_call_ended(EndReason.TOO_MANY)
    telemetry.configuration_reloaded()
    telemetry.configuration_rejected()
    counted = {each.partition("=")[0] for each in telemetry.render_metrics({}) if each.endswith("=1")}
    assert counted == {
        "app.retries.overdue",
        "app.retries.spoilt",
        "app.refusals.max_open",
        "app.refusals.no_server",
        "app.failures.at_fault",
        "app.client_closes.silent",
        "app.malformed_responses.stalled",
        "app.upstream_requests",
        "app.upstream_requests_withheld",
        "app.upstream_requests_recalled",
        "app.responses_stalled",
        "app.request_ids_unknown",
        "app.endpoint_lists_applied",
        "app.endpoint_lists_discarded.stale",
        "app.discovery_calls_ended.too_many",
        "app.config_reloads",
        "app.config_reload_errors",
    }


def test_telemetry_counts_the_results_of_requests_and_attempts() -> None:
    # Rejections by the limit on open requests count too.  An attempt counts once its last byte was written.
    async def work() -> None:
        release = asyncio.Event()

        async def respond(received: ReceivedRequest) -> bytes:
            if received.target.endswith("hold"):
                await release.wait()
            return (
                OK_RESPONSE
                if received.method == "GET"
                else b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
            )

        async with sidecar_harness(respond, limit_overrides={"maxOpen": 2}) as harness:

            def metrics() -> dict[str, int]:
                return parse_telemetry(list(harness.sidecar.command_handlers()["telemetry"]()))

            assert metrics()["app.downstream_requests.amend.completed"] == 0
            assert (await harness.send_request("check")).status == 200
            assert (await harness.send_request("lodge")).status == 502
            waiting_clients = [await harness.connect(), await harness.connect()]
            for client in waiting_clients:
                client.send(http_request("check", target="/hold"))
            await wait_until(lambda: len(harness.received_requests) == 4)
            assert (await harness.send_request("check")).status == 503
            current_metrics = metrics()
            assert current_metrics["app.downstream_requests.check.completed"] == 1
            assert current_metrics["app.downstream_requests.check.rejected"] == 1
            assert current_metrics["app.downstream_requests.lodge.failed"] == 1
            assert current_metrics["app.pending"] == 2
            assert current_metrics["app.upstream_requests"] == 4
            assert (current_metrics["app.members"], current_metrics["app.members_unavailable"]) == (1, 0)
            release.set()
            for client in waiting_clients:
                assert (await client.read_response()).status == 200
            assert metrics()["app.pending"] == 0

    run_async(work)
