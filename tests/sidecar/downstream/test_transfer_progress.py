"""The progress of a client's request."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.transfer_progress import TransferProgress

LIMITS = ClientLimits(stall_s=2.0, trickle_s=4.0, least_in_trickle=100)


def _received(*chunks: tuple[float, int]) -> TransferProgress:
    """Progress with a window from 0 on, and these chunks: when (s) and how many bytes."""
    progress = TransferProgress()
    progress.restart(0.0)
    for at, nbytes in chunks:
        progress.record_received(at, nbytes)
    return progress


@pytest.mark.parametrize(("now", "is_stalled"), [(2.9, False), (3.0, True)])
def test_transfer_is_stalled_when_nothing_came_for_the_stall_time(now: float, *, is_stalled: bool) -> None:
    assert _received((1.0, 1_000)).is_stalled(now, LIMITS) is is_stalled


@pytest.mark.parametrize(("nbytes", "is_stalled"), [(99, True), (100, False)])
def test_transfer_is_stalled_when_too_little_came_in_a_window(nbytes: int, *, is_stalled: bool) -> None:
    progress = _received((3.5, nbytes))
    assert not progress.is_stalled(3.9, LIMITS)  # the window is not over
    assert progress.is_stalled(4.0, LIMITS) is is_stalled


def test_transfer_window_starts_anew_when_one_is_over() -> None:
    progress = _received((3.5, 1_000))
    assert not progress.is_stalled(4.0, LIMITS)
    progress.record_received(7.9, 99)
    assert not progress.is_stalled(7.9, LIMITS)
    assert progress.is_stalled(8.0, LIMITS)


def test_transfer_restart_forgets_a_time_without_bytes() -> None:
    progress = _received((1.0, 1))
    progress.restart(10.0)
    assert not progress.is_stalled(11.9, LIMITS)
