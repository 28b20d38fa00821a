"""TransferProgress: detection of clients that send nothing or too little of a request."""

from __future__ import annotations

import pytest

from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.transfer_progress import TransferProgress

LIMITS = ClientLimits(stall_s=2.0, trickle_s=4.0, least_in_trickle=100)


def _progress_after(*reads: tuple[float, int]) -> TransferProgress:
    """Returns the progress, in a window that starts at 0, after reads given as time (s) and byte count."""
    progress = TransferProgress()
    progress.restart(0.0)
    for read_at, nbytes in reads:
        progress.record_received(read_at, nbytes)
    return progress


@pytest.mark.parametrize(("now", "is_stalled"), [(2.9, False), (3.0, True)])
def test_transfer_progress_is_stalled_when_nothing_is_received_for_stall_s(
    now: float, *, is_stalled: bool
) -> None:
    assert _progress_after((1.0, 1_000)).is_stalled(now, LIMITS) is is_stalled


@pytest.mark.parametrize(("nbytes", "is_stalled"), [(99, True), (100, False)])
def test_transfer_progress_is_stalled_when_too_little_is_received_in_a_window(
    nbytes: int, *, is_stalled: bool
) -> None:
    progress = _progress_after((3.5, nbytes))
    assert not progress.is_stalled(3.9, LIMITS)  # the window is not over
    assert progress.is_stalled(4.0, LIMITS) is is_stalled


def test_transfer_progress_starts_a_new_window_when_one_is_over() -> None:
    progress = _progress_after((3.5, 1_000))
    assert not progress.is_stalled(4.0, LIMITS)
    progress.record_received(7.9, 99)
    assert not progress.is_stalled(7.9, LIMITS)
    assert progress.is_stalled(8.0, LIMITS)


def test_transfer_progress_discards_the_time_without_bytes_on_restart() -> None:
    progress = _progress_after((1.0, 1))
    progress.restart(10.0)
    assert not progress.is_stalled(11.9, LIMITS)
