"""Tests of requests that reach a router which has been told to stop."""

import time

import gevent
import pytest

from sassafrashook.platform.tests.scripted_upstreams import (
    find_header,
    make_route_configuration,
    respond_with_name,
    wait_for,
)

GRACE_S = 5.0
LATE_S = 3.0


def respond_slowly(upstream, sock, head, body):
    """Script that takes longer than what is left of the grace."""
    gevent.sleep(GRACE_S)
    return respond_with_name(upstream, sock, head, body)


@pytest.mark.parametrize("path", ["/orders/1", "/counts/1", "/plans/1"])
@pytest.mark.parametrize("late_s", [2.1, LATE_S])
def test_request_late_in_the_grace_is_cut_at_its_end(start_harness, path, late_s):
    """It is refused at once, with a time to come back, and no upstream gets it."""
    harness = start_harness(respond_slowly)
    stop = gevent.spawn(harness.server.stop, time.monotonic() + GRACE_S)
    gevent.sleep(late_s)
    began_at = time.monotonic()
    status, head, _, _ = harness.send_request(path)
    assert status == 503
    assert time.monotonic() - began_at < 0.5
    assert float(find_header(head, "Retry-After")) < 1.0
    assert find_header(head, "Connection") == "close"
    assert harness.count_requests() == 0
    stop.kill()


def test_request_that_certainly_ends_within_the_grace_is_refused(start_harness):
    configuration = make_route_configuration(timeout_ms=1_000.0)
    harness = start_harness(respond_with_name, configuration=configuration)
    stop = gevent.spawn(harness.server.stop, time.monotonic() + GRACE_S)
    gevent.sleep(LATE_S)
    assert harness.send_request("/orders/1")[0] == 200
    stop.kill()


def test_request_early_in_the_grace_is_refused_though_its_kind_is_quick(start_harness):
    harness = start_harness(respond_with_name)
    assert harness.send_request("/orders/1")[0] == 200
    stop = gevent.spawn(harness.server.stop, time.monotonic() + 2.5)
    gevent.sleep(0.2)
    assert harness.send_request("/orders/1")[0] == 200
    stop.kill()


@pytest.mark.parametrize("path", ["/orders/1", "/counts/1"])
def test_request_that_runs_at_the_end_of_the_grace_gets_no_answer(start_harness, path):
    harness = start_harness(respond_slowly, respond_slowly)
    pending = gevent.spawn(harness.send_request, path)
    assert wait_for(lambda: harness.count_requests() == 1)
    stop = gevent.spawn(harness.server.stop, time.monotonic() + 1.0)
    gevent.sleep(0.8)
    count = harness.count_requests()  # a request that may be repeated has been sent twice
    assert stop.get() == 0
    assert pending.get(timeout=0.5)[0] == 502
    assert harness.count_requests() == count


def test_new_connection_late_in_the_grace_is_closed_before_its_request_arrives(start_harness):
    harness = start_harness(respond_with_name)
    stop = gevent.spawn(harness.server.stop, time.monotonic() + GRACE_S)
    gevent.sleep(LATE_S)
    sock = harness.connect()
    gevent.sleep(0.1)
    assert harness.send_request("/counts/1", sock=sock)[0] in (200, 503)
    stop.kill()
