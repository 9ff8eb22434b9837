"""Measures the processor time of a request's log lines, also when their reader is blocked.

Usage: ``python -m benchmarks.logging_cost [--requests 20000]``
"""

import argparse
import time

import gevent
from gevent.event import Event

from sassafrashook.telemetry import configure_logs, log_event

PROMPT_PARTS = ["9ba546a14a3d:528", "6d99ad878056:14600", "bb2be765d0f4:1557"]
REQUESTS_PER_YIELD = 200  # requests between two runs of the greenlet that writes the lines


def log_request(number):
    """Log the two events of a request that its first upstream answers."""
    request = f"9c41d07be2a3{number:04x}"
    log_event(
        "request_placed", request=request, route="r-2yhvz3p", upstream="i-7f3a91c2",
        source="i-c84b58af4c", parts=PROMPT_PARTS, running=3, others=11, loads_age_ms=112,
        cold=False, version=7, runs=0,
    )  # fmt: skip
    log_event(
        "request_ended", request=request, route="r-2yhvz3p", service="huvo11a",
        upstream="i-7f3a91c2", outcome="answered", detail=200, verdict="ran", runs=1, version=7,
        ms=812,
    )  # fmt: skip


def measure_request_cost(requests):
    """Return the processor time of one request's log lines in seconds.

    :param requests: number of requests to log.
    """
    started = time.process_time()
    for number in range(requests):
        log_request(number)
        if number % REQUESTS_PER_YIELD == 0:
            gevent.sleep(0)
    return (time.process_time() - started) / requests


def main():
    """Print the cost with a reader that keeps up and with one that is blocked."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=20_000)
    requests = parser.parse_args().requests
    sink = configure_logs()
    sink.write = len
    sink.start()
    print(f"logging time per request: {measure_request_cost(requests) * 1e6:.0f} us")
    never_set = Event()
    sink.write = lambda data: never_set.wait() and len(data)
    print(
        f"with blocked reader:      {measure_request_cost(requests) * 1e6:.0f} us,"
        f" {sink.dropped_lines_} lines dropped"
    )


if __name__ == "__main__":
    main()
