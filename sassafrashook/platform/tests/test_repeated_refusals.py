"""Tests of engines that write a refusal twice, or one that contradicts itself."""

import gevent
import pytest

from sassafrashook.platform.tests.isolated_fleet import RouterFleet
from sassafrashook.platform.tests.scripted_upstreams import (
    encode_response,
    find_header,
    respond_with_name,
)

REFUSAL_FIELDS = ("X-Sassafrashook-Not-Executed: 1",)
RUN_S = 0.1


def encode_refusal(head, has_id=True):
    refusal = encode_response(head, b"full", "503 Service Unavailable", REFUSAL_FIELDS)
    if has_id:
        return refusal
    request_id = find_header(head, "X-Sassafrashook-Attempt-Id").encode()
    return refusal.replace(b"X-Sassafrashook-Attempt-Id: %s\r\n" % request_id, b"")


def make_script_with_repeated_refusal(delay_s, has_id, split=None):
    """Return a script that refuses the first request and writes the refusal once more.

    :param delay_s: time after the refusal, or negative for within the response to the next request.
    :param has_id: whether the copy names the request that was refused.
    :param split: number of bytes of the next response that come before the copy.
    """
    refused = []

    def run(_upstream, sock, head, _body):
        if not refused:
            refused.append(head)
            sock.sendall(encode_refusal(head))
            if delay_s >= 0:
                gevent.sleep(delay_s)
                sock.sendall(encode_refusal(head, has_id))
            return True
        copy = encode_refusal(refused[0], has_id) if len(refused) == 1 else b""
        refused.append(head)
        response = encode_response(head, b"ran")
        if delay_s < 0:
            sock.sendall(response[:split] + copy)
            gevent.sleep(RUN_S)
            sock.sendall(response[split:])
            return True
        gevent.sleep(RUN_S)
        sock.sendall(response)
        return True

    return run


def check_orders(harness, statuses):
    """Assert that no order ran twice, and none that ran is said to have not run."""
    runs = {}
    for upstream in harness.upstreams:
        for head, _ in upstream.requests:
            request_id = find_header(head, "X-Sassafrashook-Attempt-Id")
            runs[request_id] = runs.get(request_id, 0) + 1
    for number, status in enumerate(statuses):
        if number == 0:
            continue  # the one that was refused may run at the other engine
        assert runs.get(f"a{number}", 0) <= 1
        assert not (status in (429, 503, 408, 421) and runs.get(f"a{number}"))


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.08])
@pytest.mark.parametrize("pause_s", [0.0, 0.01, 0.05])
def test_refusal_written_twice_on_kept_connection_is_not_taken_for_that_of_the_next_order(
    start_harness, has_id, delay_s, pause_s
):
    harness = start_harness(make_script_with_repeated_refusal(delay_s, has_id))
    statuses = []
    for number in range(5):
        statuses.append(harness.send_request("/orders/7", request_id=f"a{number}")[0])
        gevent.sleep(pause_s)
    check_orders(harness, statuses)


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("split", [0, 10, 25, 60, 110, 150, None])
def test_refusal_written_within_the_next_response_is_not_taken_for_that_of_the_next_order(
    start_harness, has_id, split
):
    harness = start_harness(make_script_with_repeated_refusal(-1, has_id, split))
    statuses = []
    for number in range(5):
        statuses.append(harness.send_request("/orders/7", request_id=f"a{number}")[0])
    check_orders(harness, statuses)


def test_refusal_with_the_status_of_a_success_is_not_trusted(start_harness):
    def run(_upstream, sock, head, _body):
        sock.sendall(encode_response(head, b"ran", extra=REFUSAL_FIELDS))
        return True

    harness = start_harness(run, run)
    assert harness.send_request("/orders/7")[0] == 502
    assert sum(len(upstream.requests) for upstream in harness.upstreams) == 1


def test_response_that_names_two_requests_is_not_trusted(start_harness):
    def run(_upstream, sock, head, _body):
        fields = ("X-Sassafrashook-Attempt-Id: other", *REFUSAL_FIELDS)
        sock.sendall(encode_response(head, b"", "503 Service Unavailable", fields))
        return True

    harness = start_harness(run, run)
    assert harness.send_request("/orders/7")[0] == 502
    assert sum(len(upstream.requests) for upstream in harness.upstreams) == 1


def test_refusal_without_request_id_on_new_connection_is_trusted(start_harness):
    def run(_upstream, sock, head, _body):
        sock.sendall(encode_refusal(head, has_id=False))
        return False

    harness = start_harness(run, respond_with_name)
    assert {harness.send_request("/orders/7")[0] for _ in range(4)} == {200}


@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.08])
def test_refusal_written_twice_is_not_taken_for_that_of_the_next_order_behind_two_routers(
    has_id, delay_s
):
    fleet = RouterFleet(2, make_script_with_repeated_refusal(delay_s, has_id))
    try:
        isolated = fleet.names[0]
        fleet.partition(isolated, "reset")
        gevent.sleep(1.0)
        statuses = []
        for number in range(5):
            statuses.append(fleet.send_request(isolated, "/orders/7", request_id=f"a{number}")[0])
        check_orders(fleet, statuses)
    finally:
        fleet.stop()
