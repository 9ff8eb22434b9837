"""Tests of routers whose connections to all upstreams fail, while other routers reach these."""

import contextlib
import random
import time

import gevent
import pytest
from gevent import socket

from sassafrashook.paths import PeerSelector
from sassafrashook.paths._peers import AVOIDANCE_S, MAX_CONSECUTIVE_REFUSALS
from sassafrashook.platform.tests.crashing_upstreams import make_prompt_field
from sassafrashook.platform.tests.isolated_fleet import (
    PARTITIONS,
    PEER_PORT,
    serve_request,
)
from sassafrashook.platform.tests.scripted_upstreams import (
    encode_request,
    encode_response,
    find_header,
    make_stream_script,
)

CONTACT_TIMEOUT_S = 3.0
MIN_SHARE = 2 / 3  # of what the other routers serve


@pytest.mark.parametrize("how", PARTITIONS)
def test_router_that_reaches_no_upstream_serves_first_attempts(start_fleet, how):
    fleet = start_fleet(3, *[serve_request] * 4)
    isolated, *others = fleet.names
    assert fleet.serve_requests(isolated) == 1.0
    fleet.partition(isolated, how)
    gevent.sleep(CONTACT_TIMEOUT_S)
    served = fleet.serve_requests(isolated)
    assert served >= MIN_SHARE * min(fleet.serve_requests(name) for name in others)
    fleet.heal(isolated)
    gevent.sleep(CONTACT_TIMEOUT_S)
    assert fleet.serve_requests(isolated) == 1.0


def test_routers_without_upstreams_are_served_by_the_only_one_that_reaches_them(start_fleet):
    fleet = start_fleet(5, *[serve_request] * 4)
    *isolated, _ = fleet.names
    for name in isolated:
        fleet.partition(name, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    for name in isolated:
        assert fleet.serve_requests(name) >= MIN_SHARE


def test_orders_at_isolated_router_run_at_most_once(start_fleet):
    fleet = start_fleet(3, *[serve_request] * 4)
    isolated = fleet.names[0]
    fleet.partition(isolated, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    statuses = [
        fleet.send_request(isolated, "/orders/7", request_id=f"order-{number}")[0]
        for number in range(20)
    ]
    sent = [head for u in fleet.upstreams for head, _ in u.requests if b"order-" in head]
    ids = [next(line for line in head.split(b"\r\n") if b"order-" in line) for head in sent]
    assert statuses.count(200) >= MIN_SHARE * len(statuses)
    assert not any(b"sassafrashook-max-upstreams" in head.lower() for head in sent)
    assert len(ids) == len(set(ids)) == statuses.count(200)


def test_request_is_rejected_at_once_if_no_router_reaches_an_upstream(start_fleet):
    fleet = start_fleet(4, *[serve_request] * 3)
    for name in fleet.names:
        fleet.partition(name, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    with gevent.Timeout(1.0):
        assert fleet.send_request(fleet.names[0], "/orders/7")[0] == 503
    assert fleet.count_requests() == 0


def test_response_that_breaks_off_at_another_router_is_not_said_to_have_not_run(start_fleet):
    fleet = start_fleet(2, *[lambda *_: False] * 2)
    isolated = fleet.names[0]
    fleet.partition(isolated, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    assert fleet.send_request(isolated, "/orders/7")[0] == 502
    assert fleet.count_requests() == 1


def test_upstreams_that_may_run_a_forwarded_request_are_counted_once(start_fleet):
    fleet = start_fleet(4, *[lambda *_: False] * 4)
    isolated = fleet.names[0]
    fleet.partition(isolated, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    fleet.send_request(isolated, "/counts/7", ("Sassafrashook-Max-Upstreams: 99",))
    assert fleet.count_requests() <= 2


def test_request_rejected_by_other_router_names_its_reason(start_fleet):
    def refuse(_upstream, sock, head, _body):
        fields = ("X-Sassafrashook-Not-Executed: 1",)
        sock.sendall(encode_response(head, b"", "503 Service Unavailable", fields))
        return True

    fleet = start_fleet(2, *[refuse] * 3)
    isolated = fleet.names[0]
    fleet.partition(isolated, "reset")
    gevent.sleep(CONTACT_TIMEOUT_S)
    status, head, body, _ = fleet.send_request(isolated, "/orders/7")
    assert (status, body) == (503, b"no_capacity\n")
    assert float(find_header(head, "Retry-After")) > 0
    assert find_header(head, "Sassafrashook-Verdict") is None


def test_lost_connections_of_router_that_reaches_no_upstream_are_no_crashes(start_fleet):
    fleet = start_fleet(1, *[make_stream_script(last=50, pause_s=0.05)] * 4)
    isolated = fleet.names[0]
    fields = (make_prompt_field(),)
    streams = [
        gevent.spawn(fleet.send_request, isolated, "/plans/7", fields, f"stream-{number}")
        for number in range(12)
    ]
    gevent.sleep(0.5)
    fleet.partition(isolated, "reset")
    gevent.joinall(streams)
    gevent.sleep(0.5)
    crashes = fleet.routers[isolated].view_.crashes
    assert crashes.list_changes(0, time.monotonic()) == []


def test_port_for_routers_accepts_no_other_hosts(start_fleet):
    fleet = start_fleet(1, serve_request)
    with socket.create_connection((fleet.names[0], PEER_PORT), timeout=2.0) as sock:
        sock.sendall(encode_request("/orders/7"))
        with contextlib.suppress(ConnectionResetError):
            assert sock.recv(1) == b""
    assert fleet.count_requests() == 0


def test_router_that_reaches_no_upstream_either_is_avoided_for_a_while():
    peers = PeerSelector("r0", random.Random(1))
    routers = ("r0", "r1", "r2")
    peers.record_refusal("s", "r1", 0.0)
    assert {peers.select("s", routers, (), 0.5) for _ in range(20)} == {"r2"}
    assert {peers.select("t", routers, (), 0.5) for _ in range(20)} == {"r1", "r2"}
    assert peers.select("s", routers, {"r2"}, 0.5) is None
    assert {peers.select("s", routers, (), AVOIDANCE_S) for _ in range(20)} == {"r1", "r2"}


def test_no_router_is_asked_for_a_while_after_many_refusals_in_a_row():
    peers = PeerSelector("r0", random.Random(1))
    routers = [f"r{n}" for n in range(100)]
    for number in range(1, MAX_CONSECUTIVE_REFUSALS):
        peers.record_refusal("s", f"r{number}", 0.0)
    assert peers.select("s", routers, (), 0.1) is not None
    peers.record_refusal("s", "r90", 0.1)
    assert peers.select("s", routers, (), 0.2) is None
    assert peers.select("s", routers, (), 0.1 + AVOIDANCE_S) is not None
