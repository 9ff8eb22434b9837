"""Log lines and counters."""

import subprocess
import sys

from sassafrashook.telemetry import Metrics

PROGRAM = """
from sassafrashook.telemetry import configure_logs, log_event
configure_logs("info")
log_event("hidden", level="debug")
log_event("seen", plain=1, spaced="x y", empty="", broken="a\\nb")
log_event("bad", level="error")
"""


def test_each_event_is_one_line_of_pairs():
    command = [sys.executable, "-c", PROGRAM]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stderr
    first, second = output.splitlines()
    expected = r'level=info event=seen plain=1 spaced="x y" empty="" broken="a\nb"'
    assert first.startswith("time=")
    assert first.partition(" ")[2] == expected
    assert second.partition(" ")[2] == "level=error event=bad"


def test_page_shows_each_reason():
    metrics = Metrics("router-1")
    metrics.count("refusals", "queue_full")
    metrics.count("refusals", "queue_full", 2)
    metrics.count("refusals", "no_owner")
    page = metrics.render_page().decode()
    assert 'reason="queue_full"} 3.0' in page
    assert 'reason="no_owner"} 1.0' in page
    assert metrics.total("refusals", "queue_full") == 3
