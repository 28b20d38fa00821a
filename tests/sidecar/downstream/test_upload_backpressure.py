"""UploadBackpressure: from when the timeout of a client is counted whose body is not read."""

from __future__ import annotations

from tulipnotch.sidecar.downstream.upload_backpressure import UploadBackpressure


def test_upload_times_out_when_its_timeout_has_passed_since_reading_was_paused_first() -> None:
    backpressure = UploadBackpressure(2.0)
    backpressure.reading_paused(10.0)
    backpressure.reading_paused(11.0)  # reading went on in between, and did not read everything
    assert not backpressure.is_timed_out(11.9)
    assert backpressure.is_timed_out(12.0)


def test_upload_does_not_time_out_when_all_that_was_written_is_read() -> None:
    backpressure = UploadBackpressure(2.0)
    backpressure.last_byte_not_sent(9.0)
    assert not backpressure.is_timed_out(100.0)
    backpressure.reading_paused(10.0)
    backpressure.input_drained()
    assert not backpressure.is_timed_out(100.0)
    assert backpressure.waited_s(100.0) == 0.0


def test_upload_wait_is_counted_from_when_the_last_byte_was_certainly_not_sent() -> None:
    backpressure = UploadBackpressure(2.0)
    backpressure.reading_paused(10.0)
    backpressure.last_byte_not_sent(11.5)
    assert backpressure.waited_s(12.0) == 0.5
    assert not backpressure.is_timed_out(13.4)
    assert backpressure.is_timed_out(13.5)
