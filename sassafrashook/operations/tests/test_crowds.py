"""Tests of crowds outside the limits, against the chat interface and the operators' interface.

Each guards against a process that ends, hangs or outgrows the memory that it may use without a
stated limit. What counts as memory is what is resident and what the kernel holds unread.
One ordinary request must be answered while the clients are there, and one after that.
"""

import time

import gevent
import pytest
from geventhttpclient.response import HTTPConnectionClosed

from fakes.crowds import Crowd, ProcessMeter, make_chunks, run_crowds
from fakes.fleet import CALLER_KEYS, OPERATOR_KEY, ExpectationError, Fleet, FleetSize

MEMORY_MB = 512
CROWD_S = 6.0
HANG_TIMEOUT_S = 90.0  # only ends a test whose process hangs
ENDLESS = 10**6  # pieces; a crowd stops long before
ROUTER, CONTROLLER = "router-1", "controller-1"
POST_CHAT = (
    "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
    f"Authorization: Bearer {next(iter(CALLER_KEYS.values()))}\r\n"
).encode()
POST_CONFIGURATION = (
    "PUT /v1/configuration HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
    f"Authorization: Bearer {OPERATOR_KEY}\r\n"
).encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
TRAILERS = make_chunks(5, 1) + b"0\r\n"
ROUTER_CROWDS = {
    "announced_bodies": Crowd(
        100, POST_CHAT + b"Content-Length: 8000000\r\n\r\n", b" " * 65_000, 123
    ),
    "chunks_of_4000_bytes": Crowd(100, POST_CHAT + CHUNKED, make_chunks(4_000, 16), 125),
    "chunks_of_one_byte": Crowd(40, POST_CHAT + CHUNKED, make_chunks(1, 10_000), ENDLESS),
    "endless_trailers": Crowd(40, POST_CHAT + CHUNKED + TRAILERS, b"T: 1\r\n" * 4_096, ENDLESS),
    "endless_extension": Crowd(40, POST_CHAT + CHUNKED + b"1;", b"e" * 4_096, ENDLESS),
    "bodies_without_key": Crowd(
        100, b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + CHUNKED,
        make_chunks(64_000, 1), ENDLESS, reconnects=True,
    ),
}  # fmt: skip
CONTROLLER_CROWDS = {
    "announced_bodies": Crowd(
        600, POST_CONFIGURATION + b"Content-Length: 1000000\r\n\r\n", b" " * 65_000, 15
    ),
    "chunks_of_one_byte": Crowd(40, POST_CONFIGURATION + CHUNKED, make_chunks(1, 10_000), ENDLESS),
    "endless_trailers": Crowd(
        40, POST_CONFIGURATION + CHUNKED + TRAILERS, b"T: 1\r\n" * 4_096, ENDLESS
    ),
}


@pytest.fixture
def fleet():
    with Fleet(FleetSize(routers=1, engines=1)) as fleet:
        fleet.start_serving()
        yield fleet


def is_chat_served(fleet):
    try:
        return fleet.send_chat().event_count > 0
    except (OSError, ExpectationError, HTTPConnectionClosed):
        return False


def wait_for(is_serving):
    """Wait for an ordinary request to be answered; :returns: whether it was."""
    deadline = time.monotonic() + HANG_TIMEOUT_S
    while not (is_answered := is_serving()) and time.monotonic() < deadline:
        gevent.sleep(0.1)
    return is_answered


def check_crowd(fleet, name, crowd, is_serving):
    """Run a crowd, and check that the process is within its memory and answers afterwards."""
    process, ports = fleet.processes_[name].popen, fleet.ports[name]
    own_ports = {ports.service, ports.peer, ports.metrics}
    meter = ProcessMeter(process.pid, lambda _host, port: port in own_ports)
    with run_crowds([crowd], ("127.0.0.1", ports.service), meter):
        gevent.sleep(CROWD_S)
        is_answered_meanwhile = wait_for(is_serving)
    is_answered = wait_for(is_serving)
    peak_resident_mb = meter.read_peak_resident_mb()
    print(
        f"peak {meter.peak_mb_:.0f} MB (resident {peak_resident_mb:.0f}, unread "
        f"{meter.peak_unread_mb_:.0f}), {meter.peak_descriptors_} descriptors, "
        f"answered {is_answered_meanwhile}, {is_answered}"
    )
    assert process.poll() is None
    assert is_answered_meanwhile
    assert is_answered
    assert max(meter.peak_mb_, peak_resident_mb) <= MEMORY_MB


@pytest.mark.parametrize("crowd", sorted(ROUTER_CROWDS))
def test_chat_interface_survives(crowd, fleet):
    check_crowd(fleet, ROUTER, ROUTER_CROWDS[crowd], lambda: is_chat_served(fleet))


@pytest.mark.parametrize("crowd", sorted(CONTROLLER_CROWDS))
def test_operators_interface_survives(crowd, fleet):
    check_crowd(
        fleet, CONTROLLER, CONTROLLER_CROWDS[crowd], lambda: bool(fleet.read_status(CONTROLLER))
    )
