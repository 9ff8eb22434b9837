"""Tests of second attempts beside a running one, with real connections."""

import gevent
import pytest

from sassafrashook.hedging import HedgingPolicy
from sassafrashook.platform.tests.scripted_upstreams import (
    make_route_configuration,
    respond_with_name,
    wait_for,
)

SLOW_S = 1.0  # of the first response; the route's target is 0.2 s


class SlowFirstRequest:
    """Script of several upstreams: the first request of all takes long, others do not."""

    def __init__(self, fails=False):
        self.fails = fails
        self.slow_upstream = None

    def __call__(self, upstream, sock, head, body):
        if self.slow_upstream is None:
            self.slow_upstream = upstream
            gevent.sleep(SLOW_S)
        elif self.fails:
            return False
        return respond_with_name(upstream, sock, head, body)


def start(start_harness, script, upstreams=3, extra_share=1.0, **configuration):
    harness = start_harness(
        *[script] * upstreams, configuration=make_route_configuration(**configuration)
    )
    harness.gateway.hedging = HedgingPolicy(extra_share)
    return harness


def count(harness, outcome):
    return harness.gateway.metrics.total("second_attempts", outcome)


def test_second_attempt_answers_and_the_first_is_cancelled(start_harness):
    """Guards against a caller that waits for a slow upstream, and work that goes on for nobody."""
    script = SlowFirstRequest()
    harness = start(start_harness, script)
    status, _, body, _ = harness.send_request("/counts/1")
    assert status == 200
    assert body.decode() != script.slow_upstream.name
    assert harness.count_requests() == 2
    assert (count(harness, "started"), count(harness, "won")) == (1, 1)
    assert wait_for(lambda: script.slow_upstream.closed == 1)
    assert all(state.running_ == 0 for state in harness.placement.upstreams_.values())
    assert not any(state.failure_rate_ for state in harness.placement.upstreams_.values())


@pytest.mark.parametrize(
    ("path", "options"),
    [
        ("/orders/1", {}),
        ("/counts/1", {"max_upstreams": 1}),
        ("/counts/1", {"extra_share": 0.0}),
        ("/counts/1", {"extra_share": 0.4}),
    ],
)
def test_no_second_attempt(start_harness, path, options):
    """Guards against a second run of an order, more upstreams than allowed, or over the limit.

    A request that may run more than once is then still repeated after a silence, one after the
    other, as without second attempts.
    """
    script = SlowFirstRequest()
    harness = start(start_harness, script, **options)
    status, _, _, _ = harness.send_request(path)
    assert status == 200
    assert count(harness, "started") == 0


def test_first_answers_if_the_second_fails(start_harness):
    """Guards against a failed second attempt that ends the request."""
    script = SlowFirstRequest(fails=True)
    harness = start(start_harness, script, timeout_ms=3_000.0)
    status, _, body, _ = harness.send_request("/counts/1")
    assert (status, body.decode()) == (200, script.slow_upstream.name)
    assert (count(harness, "started"), count(harness, "won")) == (1, 0)


def test_both_attempts_end_when_the_client_leaves(start_harness):
    """Guards against attempts that run on for a client that has disconnected."""
    upstreams = []

    def hang(upstream, sock, _head, _body):
        upstreams.append(upstream)
        sock.recv(1)
        return False

    harness = start(start_harness, hang, upstreams=2)
    sock = harness.connect()
    request = gevent.spawn(harness.send_request, "/counts/1", sock=sock)
    assert wait_for(lambda: len(upstreams) == 2)
    sock.close()
    request.kill()
    assert wait_for(lambda: all(upstream.closed == 1 for upstream in upstreams))
    assert wait_for(lambda: not harness.gateway.active_handlers_)


def test_no_second_attempt_while_the_service_has_little_room(start_harness):
    """Guards against extra work that takes the room of first attempts."""
    script = SlowFirstRequest()
    harness = start(start_harness, script)
    for state in harness.placement.upstreams_.values():
        state.running_ = 6  # of 8 slots
    assert harness.send_request("/counts/1")[0] == 200
    assert (count(harness, "started"), count(harness, "no_room")) == (0, 1)
