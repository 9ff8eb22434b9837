"""Tests of log lines, of the limits of the log sink and of the metrics page."""

import subprocess
import sys
import time

import gevent
import gevent.event

from sassafrashook.telemetry import Metrics, is_sampled
from sassafrashook.telemetry._sink import (
    BURST_BYTES,
    MAX_QUEUED_LINES,
    RATE_BYTES_PER_S,
    RESERVED_SHARE,
    LogSink,
)

PROGRAM = """
from sassafrashook.telemetry import configure_logs, log_event
configure_logs("info")
log_event("hidden", level="debug")
log_event("seen", plain=1, spaced="x y", empty="", broken="a\\nb")
log_event("bad", level="error")
"""


def test_event_is_logged_as_one_line_of_pairs():
    command = [sys.executable, "-c", PROGRAM]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    first, second = output.splitlines()
    expected = r'level=info event=seen plain=1 spaced="x y" empty="" broken="a\nb"'
    assert first.startswith("time=")
    assert first.partition(" ")[2] == expected
    assert second.partition(" ")[2] == "level=error event=bad"


def start_sink(write, clock=lambda: 0.0):
    sink = LogSink(write, clock)
    sink.start()
    return sink


def test_queued_lines_are_written_together():
    written = []
    sink = start_sink(lambda data: written.append(data) or len(data))
    for number in range(3):
        sink.put(f"event=a number={number}")
    sink.flush()
    assert written == [b"event=a number=0\nevent=a number=1\nevent=a number=2\n"]


def test_lines_beyond_burst_are_dropped_and_counted():
    sink = start_sink(len)
    line = "x" * 1_023
    accepted = sum(sink.put(line) for _ in range(1_000))
    assert accepted * 1_024 == BURST_BYTES * (1 - RESERVED_SHARE)
    assert sink.dropped_lines_ == 1_000 - accepted
    assert sink.put(line, is_urgent=True)


def test_byte_bucket_refills_over_time():
    now = [0.0]
    sink = start_sink(len, lambda: now[0])
    while sink.put("x" * 1_023):
        pass
    now[0] = 1.0
    assert sum(sink.put("x" * 1_023) for _ in range(1_000)) == RATE_BYTES_PER_S // 1_024


def test_events_of_one_name_do_not_use_up_whole_rate():
    sink = start_sink(len, lambda: 0.0)
    while sink.put("x" * 1_023, event="flood"):
        pass
    assert sink.put("x" * 1_023, event="other")


def test_requests_are_sampled_by_id_at_reduced_sampling_rate():
    sink = start_sink(len, lambda: 0.0)
    assert sink.compute_sampling_rate() == 1.0
    while sink.compute_sampling_rate() > 0.5:
        sink.put("x" * 1_023)
    sampled_keys = {key for key in map(str, range(1_000)) if is_sampled(key, sink)}
    assert 400 < len(sampled_keys) < 600
    assert all(is_sampled(key, sink) for key in sampled_keys)


def test_unread_output_does_not_block_process():
    unblocked = gevent.event.Event()
    sink = start_sink(lambda data: unblocked.wait() and len(data))
    started = time.monotonic()
    sink.put("event=a")
    gevent.sleep(0.1)
    for _ in range(MAX_QUEUED_LINES + 5):
        sink.put("e")
    assert sink.dropped_lines_ > 0
    assert time.monotonic() - started < 2
    unblocked.set()


def test_page_contains_counter_for_each_reason():
    metrics = Metrics("router-1")
    metrics.count("refusals", "queue_full")
    metrics.count("refusals", "queue_full", 2)
    metrics.count("refusals", "no_owner")
    page = metrics.render_page().decode()
    assert 'reason="queue_full"} 3.0' in page
    assert 'reason="no_owner"} 1.0' in page
    assert metrics.total("refusals", "queue_full") == 3


def test_page_contains_cumulative_histogram_buckets():
    metrics = Metrics("router-1")
    for duration_ms in (3, 30, 99_999):
        metrics.record("request_ms", "stream", "answered", duration_ms)
    page = metrics.render_page().decode()
    buckets = [line for line in page.splitlines() if "request_ms_bucket" in line]
    counts = {line.partition('le="')[2].partition('"')[0]: line.split()[-1] for line in buckets}
    assert (counts["25"], counts["50"], counts["+Inf"]) == ("1.0", "2.0", "3.0")


def test_page_contains_metrics_added_after_first_page():
    metrics = Metrics("router-1")
    metrics.render_page()
    metrics.count("refusals", "late")
    metrics.record("request_ms", "stream", "answered", 1)
    page = metrics.render_page()
    assert b"refusals_total" in page
    assert b"request_ms_bucket" in page
