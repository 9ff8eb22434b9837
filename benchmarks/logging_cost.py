"""Measures what the log lines of a request cost, and what a reader that takes nothing costs.

Usage: ``python -m benchmarks.logging_cost [--requests 20000]``
"""

import argparse
import time

import gevent
from gevent.event import Event

from sassafrashook.telemetry import configure_logs, log_event

PARTS = ["9ba546a14a3d:528", "6d99ad878056:14600", "bb2be765d0f4:1557"]
BATCH = 200  # requests between two turns of the task that writes


def write_lines(number):
    """Write the two lines of a request that is answered at its first upstream."""
    request = f"9c41d07be2a3{number:04x}"
    log_event(
        "request_placed", request=request, route="r-2yhvz3p", upstream="i-7f3a91c2",
        source="i-c84b58af4c", parts=PARTS, running=3, others=11, loads_age_ms=112,
        cold=False, version=7, runs=0,
    )  # fmt: skip
    log_event(
        "request_ended", request=request, route="r-2yhvz3p", service="huvo11a",
        upstream="i-7f3a91c2", outcome="answered", detail=200, verdict="ran", runs=1, version=7,
        ms=812,
    )  # fmt: skip


def measure(requests):
    """Return processor seconds for each request's lines."""
    started = time.process_time()
    for number in range(requests):
        write_lines(number)
        if number % BATCH == 0:
            gevent.sleep(0)
    return (time.process_time() - started) / requests


def main():
    """Print the cost with a reader, and with one that takes nothing."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=20_000)
    requests = parser.parse_args().requests
    sink = configure_logs()
    sink.write = len
    sink.start()
    print(f"lines of a request: {measure(requests) * 1e6:.0f} us")
    stuck = Event()
    sink.write = lambda data: stuck.wait() and len(data)
    print(f"nobody reads them:  {measure(requests) * 1e6:.0f} us, left out {sink.left_out_}")


if __name__ == "__main__":
    main()
