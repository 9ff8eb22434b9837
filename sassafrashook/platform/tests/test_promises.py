"""Tests of the statuses that promise to clients that a request has not run."""

import gevent
import pytest

from sassafrashook.hedging import HedgingPolicy
from sassafrashook.platform.tests.scripted_upstreams import (
    encode_response,
    find_header,
    make_event,
    make_stream_script,
    respond_with_name,
)

PROMISES = ("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable")
PATHS = ("/orders/7", "/counts/7", "/plans/7", "/summaries/7")
CONTACT_TIMEOUT_S = 3.0


def make_failing_script(status, fields=("Retry-After: 0.2",), pause_s=0.0):
    """Return a script that runs a request and then responds with a status."""

    def fail(_upstream, sock, head, _body):
        gevent.sleep(pause_s)
        sock.sendall(encode_response(head, b"closed", status, fields))
        return True

    return fail


def check_own_failure(response):
    """Check that a response promises nothing, and neither bears a signature nor a time."""
    status, head, body, _ = response
    assert (status, body) == (502, b"upstream_failed\n")
    assert find_header(head, "X-Sassafrashook-Response-Signature") is None
    assert find_header(head, "Retry-After") is None


@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("path", PATHS)
def test_status_of_an_upstream_that_has_run_the_request_promises_nothing(
    start_harness, path, status
):
    """Guards against an order that is sent again because of the status of its failure."""
    harness = start_harness(*[make_failing_script(status)] * 3)
    check_own_failure(harness.send_request(path))
    assert harness.count_requests() == (1 if path in ("/orders/7", "/plans/7") else 2)


def test_status_of_a_resumed_stream_promises_nothing(start_harness):
    """Guards against the same status to a client that resumes its stream."""
    fail, begin = make_failing_script(PROMISES[2], ()), make_stream_script(cut=2)

    def begin_or_fail(upstream, sock, head, body):
        is_resumed = find_header(head, "Last-Event-Id") is not None
        return (fail if is_resumed else begin)(upstream, sock, head, body)

    harness = start_harness(*[begin_or_fail] * 2)
    assert harness.send_request("/summaries/7", request_id="b1")[2] == make_event(1) + make_event(2)
    fields = ("Last-Event-Id: 2", "Resumes: b1")
    check_own_failure(harness.send_request("/summaries/7", fields=fields))


def test_status_of_a_second_attempt_promises_nothing(start_harness):
    """Guards against the same status of the attempt that failed last of two."""
    harness = start_harness(*[make_failing_script(PROMISES[2], pause_s=0.4)] * 3)
    harness.gateway.hedging = HedgingPolicy(1.0)
    check_own_failure(harness.send_request("/counts/7"))
    assert harness.gateway.metrics.total("second_attempts", "started") == 1


def test_refusal_after_a_failure_promises_nothing(start_harness):
    """Guards against a retry that is refused as not run, though the first attempt has run."""
    refuse = make_failing_script(PROMISES[2], ("X-Sassafrashook-Not-Executed: 1",))
    count = [0]

    def fail_once(upstream, sock, head, body):
        count[0] += 1
        script = make_failing_script(PROMISES[2]) if count[0] == 1 else refuse
        return script(upstream, sock, head, body)

    harness = start_harness(*[fail_once] * 3)
    assert harness.send_request("/counts/7")[0] == 502


def test_status_that_came_through_another_router_promises_nothing(start_fleet):
    """Guards against a status that another router passes on for an upstream."""
    fleet = start_fleet(2, *[make_failing_script(PROMISES[2])] * 3)
    isolated = fleet.names[0]
    fleet.partition(isolated, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    status, head, _, _ = fleet.send_request(isolated, "/orders/7")
    assert status == 502
    assert find_header(head, "X-Sassafrashook-Response-Signature") is None
    assert find_header(head, "Sassafrashook-Verdict") is None
    assert fleet.count_requests() == 1


def test_log_names_the_status_that_was_replaced(start_harness, monkeypatch):
    """Guards against a log that shows only the status that the client got."""
    events = []
    monkeypatch.setattr(
        "sassafrashook.gateway._request_log.log_event",
        lambda event, **pairs: events.append({"event": event, **pairs}),
    )
    start_harness(make_failing_script(PROMISES[2])).send_request("/orders/7")
    assert events[-1]["detail"] == "502:upstream_failed:503"
    assert events[-1]["verdict"] == "ran"


@pytest.mark.parametrize("status", ["404 Not Found", "409 Conflict", "500 Broken"])
def test_status_that_promises_nothing_is_returned_unchanged(start_harness, status):
    """Guards against an answer of an upstream that is replaced without need."""
    harness = start_harness(make_failing_script(status), respond_with_name)
    responses = [harness.send_request("/orders/7") for _ in range(4)]
    failures = [(response[0], response[2]) for response in responses if response[0] != 200]
    assert failures and set(failures) == {(int(status.split()[0]), b"closed")}
