"""Tests of small crowds outside the limits, against routers and controllers with little memory.

Each guards against a process that ends, hangs or outgrows its host. What counts as memory is what
is resident and what the kernel holds unread. One ordinary request must be answered while the
clients are there, and one after that.
"""

import signal

import gevent
import gevent.socket
import pytest

from fakes.crowds import KIB, Crowd, ProcessMeter, make_chunks, run_crowds
from sassafrashook.platform.tests.documents import (
    CONTROL_PORT,
    CONTROLLER_IPS,
    FRONTEND_PORT,
    PEER_PORT,
    READINESS_PORT,
    ROUTER_IPS,
    make_config,
)
from sassafrashook.platform.tests.scripted_upstreams import ScriptedUpstream, wait_for
from sassafrashook.platform.tests.test_clients_outside_limits import (
    CHUNKED,
    HANG_TIMEOUT_S,
    PUT_CONFIG,
    LimitedFleet,
    encode_head,
    is_controller_serving,
    is_router_serving,
    respond,
)
from sassafrashook.platform.tests.test_processes import METRICS_PORT, send_reports

LIMITS = {"memory_mb": 96, "max_fds": 600}
CONTROLLER, ROUTER = CONTROLLER_IPS[0], ROUTER_IPS[0]
CROWD_S = 6.0
ENDLESS = 10**6  # pieces; a crowd stops long before


@pytest.fixture
def fleet(tmp_path):
    """Start three controllers, a router and an upstream, and wait until the router serves."""
    fleet = LimitedFleet(tmp_path, LIMITS)
    for ip in (*CONTROLLER_IPS[:3], ROUTER):
        fleet.start(ip)
    upstream = ScriptedUpstream("i-1", respond_unless_silent)
    reporter = None
    try:
        fleet.request_until_accepted("PUT", "/config", make_config())
        fleet.send_report(upstream)
        reporter = gevent.spawn(send_reports, fleet, upstream)
        assert wait_for(lambda: is_router_serving(fleet), 20.0)
        yield fleet
    finally:
        gevent.killall([reporter] if reporter is not None else [])
        upstream.stop()
        for ip in list(fleet.processes):
            fleet.kill(ip)


def respond_unless_silent(upstream, sock, head, body):
    """Respond as usual, but never to ``/counts/silent``."""
    if b"/counts/silent" in head:
        gevent.sleep(HANG_TIMEOUT_S)
    return respond(upstream, sock, head, body)


def make_meter(fleet, ip):
    """Return a meter of a process, whose loopback address no other process has."""
    return ProcessMeter(fleet.processes[ip].pid, lambda host, _port: host == ip)


def check_crowds(fleet, ip, port, crowds, is_serving):
    """Run crowds, and check that the process is within its limits and answers afterwards."""
    meter = make_meter(fleet, ip)
    with run_crowds(crowds, (ip, port), meter):
        gevent.sleep(CROWD_S)
        is_answered_meanwhile = wait_for(lambda: is_serving(fleet), HANG_TIMEOUT_S)
    is_answered = wait_for(lambda: is_serving(fleet), HANG_TIMEOUT_S)
    peak_resident_mb = meter.read_peak_resident_mb()
    print(
        f"peak {meter.peak_mb_:.0f} MB (resident {peak_resident_mb:.0f}, unread "
        f"{meter.peak_unread_mb_:.0f}), {meter.peak_descriptors_} descriptors, "
        f"answered {is_answered_meanwhile}, {is_answered}"
    )
    assert fleet.processes[ip].poll() is None
    assert is_answered_meanwhile
    assert is_answered
    assert max(meter.peak_mb_, peak_resident_mb) <= LIMITS["memory_mb"]
    assert meter.peak_descriptors_ <= LIMITS["max_fds"]


def encode_length(size):
    return (f"Content-Length: {size}",)


CHUNKED_HEAD = encode_head("/counts/1", fields=CHUNKED)
SHORT_OF_THE_END = Crowd(160, CHUNKED_HEAD, make_chunks(4_000, 16), 64)
ANNOUNCED = Crowd(160, encode_head("/counts/1", fields=encode_length(4_000_000)), b"y" * 65_000, 61)
MILLION_ONE_BYTE_CHUNKS = Crowd(40, CHUNKED_HEAD, make_chunks(1, 10_000), 100)
ROUTER_CROWDS = {
    "chunks_of_4000_bytes": [SHORT_OF_THE_END],
    "announced_bodies": [ANNOUNCED],
    "endless_chunks": [Crowd(160, CHUNKED_HEAD, make_chunks(64_000, 1), ENDLESS)],
    "one_chunk_of_a_gigabyte": [Crowd(160, CHUNKED_HEAD + b"40000000\r\n", b"y" * 65_536, 200)],
    "bytes_behind_a_request": [Crowd(160, encode_head("/counts/1"), b"GET / " * 10_000, ENDLESS)],
    "bytes_behind_requests_in_progress": [
        Crowd(
            160, encode_head("/counts/silent", fields=encode_length(600_000)) + b"y" * 600_000,
            b"GET / " * 10_000, ENDLESS,
        )
    ],
    "endless_extension": [Crowd(160, CHUNKED_HEAD + b"1;", b"e" * 4_096, ENDLESS)],
    "endless_trailers": [
        Crowd(160, CHUNKED_HEAD + make_chunks(5, 1) + b"0\r\n", b"T: 1\r\n" * 4_096, ENDLESS)
    ],
    "endless_fields": [Crowd(160, CHUNKED_HEAD[:-2], b"T: 1\r\n" * 4_096, ENDLESS)],
    "more_clients_than_descriptors": [
        Crowd(900, CHUNKED_HEAD, make_chunks(16_000, 1), 40, reconnects=True)
    ],
    "two_kinds": [ANNOUNCED, MILLION_ONE_BYTE_CHUNKS],
    "refused_clients_that_return_at_once": [
        Crowd(
            160, encode_head("/counts/1", fields=encode_length(10**10)), b"y" * 65_536, ENDLESS,
            reconnects=True,
        )
    ],
}  # fmt: skip
CHUNKED_PUT = PUT_CONFIG + CHUNKED[0].encode() + b"\r\n\r\n"
CONTROLLER_CROWDS = {
    "announced_bodies": [
        Crowd(160, PUT_CONFIG + b"Content-Length: 4000000\r\n\r\n", b"{" * 65_000, 61)
    ],
    "endless_trailers": [
        Crowd(40, CHUNKED_PUT + make_chunks(5, 1) + b"0\r\n", b"T: 1\r\n" * 4_096, ENDLESS)
    ],
    "endless_extension": [Crowd(40, CHUNKED_PUT + b"1;", b"e" * 4_096, ENDLESS)],
    "chunks_of_one_byte": [Crowd(160, CHUNKED_PUT, make_chunks(1, 10_000), 100)],
    "blank_lines": [Crowd(40, b"", b"\r\n" * 4_096, ENDLESS)],
    "pipelined_heartbeats": [
        Crowd(
            40, b"",
            b"PUT /instances/i-9 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}" * 500, 200,
        )
    ],
}  # fmt: skip
GET_METRICS = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
PAGE_CROWDS = {
    "pipelined_metrics": (METRICS_PORT, [Crowd(40, b"", GET_METRICS * 1_000, 20)]),
    "metrics_with_bodies": (
        METRICS_PORT,
        [Crowd(160, GET_METRICS[:-2] + encode_length(10**9)[0].encode() + b"\r\n\r\n",
               b"y" * 65_536, ENDLESS, reconnects=True)],
    ),
    "slow_heads_for_readiness": (READINESS_PORT, [Crowd(700, b"GET /readyz HTTP/1.1\r\n")]),
}  # fmt: skip
# One message that announces 7 MB, as any program may send it to the port of the nodes' streams.
STREAM_CROWD = [Crowd(160, b"\xc6\x00\x6f\x00\x00", b"y" * 65_536, 110)]


@pytest.mark.parametrize("crowd", sorted(ROUTER_CROWDS))
def test_router_survives(crowd, fleet):
    check_crowds(fleet, ROUTER, FRONTEND_PORT, ROUTER_CROWDS[crowd], is_router_serving)


@pytest.mark.parametrize("crowd", sorted(CONTROLLER_CROWDS))
def test_controller_survives(crowd, fleet):
    crowds = CONTROLLER_CROWDS[crowd]
    check_crowds(fleet, CONTROLLER, CONTROL_PORT, crowds, is_controller_serving)


@pytest.mark.parametrize("crowd", sorted(PAGE_CROWDS))
def test_router_survives_crowd_at_its_pages(crowd, fleet):
    port, crowds = PAGE_CROWDS[crowd]
    check_crowds(fleet, ROUTER, port, crowds, is_router_serving)


def test_router_survives_crowd_at_the_port_of_streams(fleet):
    check_crowds(fleet, ROUTER, PEER_PORT, STREAM_CROWD, is_router_serving)


def test_controller_survives_crowd_at_the_port_of_streams(fleet):
    check_crowds(fleet, CONTROLLER, PEER_PORT, STREAM_CROWD, is_controller_serving)


def test_router_stops_within_a_crowd(fleet):
    """Guards against a process that SIGTERM doesn't end while clients keep their connections."""
    meter = make_meter(fleet, ROUTER)
    process = fleet.processes[ROUTER]
    terminator = gevent.spawn_later(CROWD_S / 3, process.send_signal, signal.SIGTERM)
    with run_crowds([SHORT_OF_THE_END], (ROUTER, FRONTEND_PORT), meter):
        terminator.get()
        assert wait_for(lambda: process.poll() is not None, HANG_TIMEOUT_S)
    assert process.returncode == 0
    assert meter.peak_mb_ <= LIMITS["memory_mb"]
    assert meter.peak_descriptors_ <= LIMITS["max_fds"]


def test_largest_body_is_served_on_a_small_host(fleet):
    """Guards against limits that refuse a single request inside the configuration's limits."""
    body = b"b" * (4 * KIB * KIB)
    sock = gevent.socket.create_connection((ROUTER, FRONTEND_PORT), timeout=HANG_TIMEOUT_S)
    sock.sendall(encode_head("/counts/1", fields=encode_length(len(body))) + body)
    status = sock.recv(64).split()[1]
    sock.close()
    assert status == b"200"
