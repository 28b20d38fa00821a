"""Latency ratios of endpoints."""

from __future__ import annotations

from helpers import MS, Stage, names


def test_latency_ratio_changes_faster_at_low_load() -> None:
    def change(every_us: int, taking_us: int, *, singly: bool) -> float:
        stage = Stage()
        stage.servers(names(4))
        if singly:
            stage.serve_singly(400, taking_us, every_us)
        else:
            stage.serve(400, every_us, taking_us)
        request = stage.request()
        server = stage.balancer._context.endpoints[stage.target(request)]
        stage.wait(2 * taking_us)
        before = server.latency_ratio
        stage.end(request)
        return server.latency_ratio - before

    assert change(400 * MS, 60 * MS, singly=True) > 2 * change(5 * MS, 60 * MS, singly=False) > 0.0
