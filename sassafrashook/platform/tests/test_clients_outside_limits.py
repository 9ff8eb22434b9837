"""Tests of processes that a crowd of clients uses outside the limits of the configuration.

Each guards against a process that ends, hangs or outgrows its host because of such clients: it
must live, stay within the memory and descriptors that its settings state, and answer one ordinary
request afterwards.
"""

import json
import os
import socket
import subprocess
import sys

import gevent
import gevent.socket
import pytest

from sassafrashook.platform.tests.documents import (
    CONTROL_PORT,
    CONTROLLER_IPS,
    FRONTEND_PORT,
    ROUTER_IPS,
    make_config,
    make_node_settings,
)
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_request,
    encode_response,
    wait_for,
)
from sassafrashook.platform.tests.test_processes import ROOT, Fleet, send_reports

LIMITS = {"memory_mb": 96, "max_fds": 160}
CONTROLLER, ROUTER = CONTROLLER_IPS[0], ROUTER_IPS[0]
HANG_TIMEOUT_S = 90.0  # only ends a test whose process hangs
CROWD_S = 10.0  # the time that an incomplete body has
SAMPLE_INTERVAL_S = 0.05
KIB, MIB = 1_024, 1_048_576
LARGE_BODY = b"z" * (8 * MIB)
RECEIVE_BUFFER_BYTES = 65_536  # of clients: the kernel must not take whole responses
CHUNKED = ("Transfer-Encoding: chunked",)


def respond(_upstream, sock, head, _body):
    """Respond with a body of 8 MiB to ``/counts/large``, with a short one to other requests."""
    is_large = b"/counts/large" in head
    sock.sendall(encode_response(head, LARGE_BODY if is_large else b"ok"))
    return True


class LimitedFleet(Fleet):
    """Three controllers and a router whose settings state limits.

    :param folder: directory for settings, data and logs.
    :param limits: the limits.
    """

    def __init__(self, folder, limits=LIMITS):
        super().__init__(folder)
        self.limits = limits

    def start(self, ip, bootstrap=True):
        is_controller = ip in CONTROLLER_IPS
        role = "core" if is_controller else "edge"
        data = str(self.folder / f"data-{ip}") if is_controller else None
        settings = make_node_settings(role, ip, data, bootstrap)
        settings |= {"limits": self.limits, "fault_tolerance": {"machine_failures": 1, "zones": 0}}
        path = self.folder / f"{ip}.json"
        path.write_text(json.dumps(settings))
        daemon = "controller" if is_controller else "router"
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "sassafrashook.platform", daemon],
                cwd=ROOT, env={**os.environ, "SASSAFRASHOOK_NODE_FILE": str(path)},
                stdout=log, stderr=log,
            )  # fmt: skip

    def measure_peak_mb(self, ip):
        """Return the largest resident memory that a process has had, in MiB."""
        with open(f"/proc/{self.processes[ip].pid}/status", encoding="ascii") as file:
            line = next(line for line in file if line.startswith("VmHWM"))
        return int(line.split()[1]) / KIB

    def count_descriptors(self, ip):
        return len(os.listdir(f"/proc/{self.processes[ip].pid}/fd"))


@pytest.fixture
def fleet(tmp_path):
    """Start the processes and one upstream, and wait until the router serves."""
    fleet = LimitedFleet(tmp_path)
    for ip in (*CONTROLLER_IPS[:3], ROUTER):
        fleet.start(ip)
    upstream = ScriptedUpstream("i-1", respond)
    try:
        config = make_config()
        for route in config["route_table"]:
            route["timeout_ms"] = 60_000  # a slow machine may take long to read a large body
        fleet.request_until_accepted("PUT", "/config", config)
        fleet.send_report(upstream)
        reporter = gevent.spawn(send_reports, fleet, upstream)
        assert wait_for(lambda: is_router_serving(fleet), 20.0)
        yield fleet
        reporter.kill()
    finally:
        upstream.stop()
        for ip in list(fleet.processes):
            fleet.kill(ip)


def is_router_serving(fleet):
    try:
        return fleet.send_request(ROUTER, "/counts/1")[0] == 200
    except (OSError, IndexError):
        return False


def is_controller_serving(fleet):
    return fleet.call(CONTROLLER, "GET", "/config")[0] == 200


def encode_head(path, method="POST", fields=()):
    return encode_request(path, method=method, fields=fields)


def make_chunks(size, count):
    return (b"%x\r\n" % size + b"y" * size + b"\r\n") * count


def run_crowd(fleet, ip, port, client_count, data, repeat=1):
    """Send the same bytes on many connections, which stay open and read nothing.

    :returns: the largest number of descriptors that the process had meanwhile.
    """
    socks, peak = [], 0

    def run_client():
        try:
            sock = gevent.socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.connect((ip, port))
            socks.append(sock)
            for _ in range(repeat):
                sock.sendall(data)
        except OSError:
            pass  # the process may refuse the client or close its connection

    clients = [gevent.spawn(run_client) for _ in range(client_count)]
    for _ in range(round(CROWD_S / SAMPLE_INTERVAL_S)):
        assert fleet.processes[ip].poll() is None, fleet.read_log(ip)[-2_000:]
        peak = max(peak, fleet.count_descriptors(ip))
        gevent.sleep(SAMPLE_INTERVAL_S)
    gevent.killall(clients)
    for sock in socks:
        sock.close()
    return peak


def check_process(fleet, ip, peak_descriptors, is_serving):
    """Check that a process is within its limits and answers an ordinary request."""
    is_answered = wait_for(lambda: is_serving(fleet), HANG_TIMEOUT_S)
    peak_mb = fleet.measure_peak_mb(ip)
    print(f"peak {peak_mb:.0f} MB, {peak_descriptors} descriptors, answered {is_answered}")
    assert fleet.processes[ip].poll() is None
    assert is_answered
    assert peak_mb <= LIMITS["memory_mb"]
    assert peak_descriptors <= LIMITS["max_fds"]


CHUNKED_HEAD = encode_head("/counts/1", fields=CHUNKED)
ROUTER_CROWDS = {
    # 256 KiB chunks that stop short of the largest body.
    "large_chunks": (24, CHUNKED_HEAD + make_chunks(256 * KIB, 15), 1),
    # 512 KiB in chunks of 2 bytes, stopping short: the parser's objects outweigh the body.
    "tiny_chunks": (16, CHUNKED_HEAD + make_chunks(2, 256 * KIB), 1),
    "mixed_tiny_chunks": (12, CHUNKED_HEAD + (make_chunks(2, 1) + make_chunks(3, 1)) * 100_000, 1),
    "pipelined": (100, encode_head("/counts/1", fields=("X-Pad: " + "p" * 8_000,)) * 3, 300),
    "slow_heads": (400, CHUNKED_HEAD[:60], 1),
    "many_fields": (100, CHUNKED_HEAD[:-2] + b"a:1\r\n" * 3_000 + b"\r\n", 1),
    "slow_readers": (24, encode_head("/counts/large"), 1),
}
PUT_CONFIG = b"PUT /config HTTP/1.1\r\nHost: a\r\n"
CONTROLLER_CROWDS = {
    "large_body": (12, PUT_CONFIG + b"Content-Length: 16000000\r\n\r\n" + b"{" * 15_000_000, 1),
    "tiny_chunks": (
        12,
        PUT_CONFIG + CHUNKED[0].encode() + b"\r\n\r\n" + make_chunks(2, 64 * KIB),
        1,
    ),
    "slow_heads": (400, PUT_CONFIG, 1),
    "pipelined": (100, b"GET /config HTTP/1.1\r\nHost: a\r\n\r\n" * 100, 30),
}


@pytest.mark.parametrize("crowd", sorted(ROUTER_CROWDS))
def test_router_survives(crowd, fleet):
    client_count, data, repeat = ROUTER_CROWDS[crowd]
    peak = run_crowd(fleet, ROUTER, FRONTEND_PORT, client_count, data, repeat)
    check_process(fleet, ROUTER, peak, is_router_serving)


@pytest.mark.parametrize("crowd", sorted(CONTROLLER_CROWDS))
def test_controller_survives(crowd, fleet):
    client_count, data, repeat = CONTROLLER_CROWDS[crowd]
    peak = run_crowd(fleet, CONTROLLER, CONTROL_PORT, client_count, data, repeat)
    check_process(fleet, CONTROLLER, peak, is_controller_serving)


def test_body_within_limits_in_tiny_chunks_is_served(fleet):
    """Guards against limits that refuse the largest allowed body of a single client."""
    sock = gevent.socket.create_connection((ROUTER, FRONTEND_PORT), timeout=HANG_TIMEOUT_S)
    head = CHUNKED_HEAD.replace(b"Deadline-Ms: 4000", b"Deadline-Ms: 60000")
    sock.sendall(head + make_chunks(1, 4 * MIB) + b"0\r\n\r\n")
    status = sock.recv(64).split()[1]
    sock.close()
    assert status == b"200"
    assert fleet.measure_peak_mb(ROUTER) <= LIMITS["memory_mb"]
