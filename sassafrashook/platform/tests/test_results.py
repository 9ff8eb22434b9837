"""Results and speeds that a gateway learns from the responses of scripted upstreams."""

import pytest

from sassafrashook.platform.tests.scripted_upstreams import encode_response, wait_for


def make_script(load, status="200 OK"):
    def respond(_upstream, sock, head, _body):
        fields = (f"X-Sassafrashook-Instance-Load: {load}",)
        sock.sendall(encode_response(head, b"done", status, fields))
        return True

    return respond


def send_request(harness, path):
    """Send a request; :returns: the status, once the gateway has ended the request."""
    status, *_ = harness.send_request(path)
    upstream = harness.placement.upstreams_["u0"]
    assert wait_for(lambda: not upstream.running_ and not harness.gateway.active_handlers_)
    return status


@pytest.mark.parametrize("path", ["/counts/1", "/orders/1"])
def test_results_and_speed_are_taken_from_responses(start_harness, path):
    """Guards against responses that reach the client, but are not counted as evidence."""
    harness = start_harness(make_script("1,0,8,250"))
    assert send_request(harness, path) == 200
    (result,) = harness.gateway.results.take()
    assert (result.succeeded, result.failed, result.timed) == (1, 0, 1)
    assert [item[1] for item in harness.gateway.results.take_slowdowns()] == [2.5]


def test_failed_responses_are_counted(start_harness):
    """Guards against an upstream that fails part of its requests unnoticed."""
    harness = start_harness(make_script("1,0,8,100", "500 Internal Server Error"))
    assert send_request(harness, "/orders/1") == 500
    (result,) = harness.gateway.results.take()
    assert (result.succeeded, result.failed, result.timed) == (0, 1, 0)


def test_upstreams_without_the_fourth_figure_are_not_counted(start_harness):
    """Guards against a change for earlier deployments."""
    harness = start_harness(make_script("1,0,8"))
    assert send_request(harness, "/counts/1") == 200
    assert harness.gateway.results.take() == []
    assert harness.gateway.results.take_slowdowns() == []


def test_failed_responses_without_a_load_are_counted(start_harness):
    """Guards against an upstream that fails everything, without the header, unnoticed."""
    harness = start_harness(make_script("", "500 Internal Server Error"))
    harness.gateway.results.is_enabled_ = True
    assert send_request(harness, "/orders/1") == 500
    assert [result.failed for result in harness.gateway.results.take()] == [1]
