"""Tests of orders while the leader is suspended, replaced or disconnected."""

import os
import select
import signal
import socket
import subprocess
import sys

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from sassafrashook.controller import (
    CommandProposer,
    OrderDocument,
    OrderRequest,
    OrderResponse,
    OrderService,
    UpstreamDirectory,
    send_order,
)
from sassafrashook.controller._order_client import _SingleConnectionPool
from sassafrashook.messages import UpstreamAnnouncement
from sassafrashook.state import FleetStateMachine, OrderJournal, OrderStatus
from sassafrashook.state.tests.fake_log import FakeClock, FakeLog

ORDER_TIMEOUT_MS = 4_000
DELAY_AFTER_DEADLINE_MS = 2_000


class FakeUpstreams(UpstreamDirectory):
    def __init__(self, checks_fencing):
        self.entry = UpstreamAnnouncement(
            "u1", "engine", "chat", "127.0.0.1", 1, "brest-a", "b1", 1, 1, 10, 1, 5_000,
            checks_fencing,
        )  # fmt: skip

    def list_upstreams(self):
        return [self.entry]


class OrderHarness:
    """Two successive leaders of one log; records the sequence in which their orders arrive.

    :ivar delivered: fencing tokens in the order of arrival.
    """

    def __init__(self, state_class=FleetStateMachine, checks_fencing=False):
        self.clock = FakeClock()
        self.state = state_class()
        self.log = FakeLog([self.state])
        self.upstreams = FakeUpstreams(checks_fencing)
        self.delivered = []

    def make_service(self, issuer, send=None, service_class=OrderService):
        proposer = CommandProposer(self.log, self.clock, self.clock.wall_ms)
        service = service_class(
            proposer, self.log, self.state, self.upstreams, issuer,
            order_timeout_ms=ORDER_TIMEOUT_MS, send=send or self.send, sleep=self.clock.sleep,
        )  # fmt: skip
        service.start()
        return service

    def send(self, host, port, document, remaining_ms, may_send):
        if not may_send():
            return OrderResponse(OrderStatus.REFUSED, "not sent")
        self.delivered.append(document.fencing)
        return OrderResponse(OrderStatus.DONE)

    def submit_order(self, service, command_id):
        request = OrderRequest(command_id, "load_model", "m@1")
        return service.submit_order("u1", request, self.clock.now + 60).unwrap()

    def start_new_leader(self):
        self.log.term += 1
        return self.make_service("new")

    def run_suspended_before_check(self, service_class=OrderService):
        """Let a new leader send an order before the final check of the old leader."""

        def send(host, port, document, remaining_ms, may_send):
            self.submit_order(self.start_new_leader(), "o2")
            return self.send(host, port, document, remaining_ms, may_send)

        self.submit_order(self.make_service("old", send, service_class), "o1")
        return self.delivered

    def run_late_arrival(self):
        """Deliver the old leader's order late, but within the margin that the journal waits."""

        def send(host, port, document, remaining_ms, may_send):
            assert may_send()
            arrival = self.clock.now + (ORDER_TIMEOUT_MS + DELAY_AFTER_DEADLINE_MS) / 1000
            new = self.submit_order(self.start_new_leader(), "o2")
            assert new.status == OrderStatus.DONE
            if self.clock.now < arrival:
                self.delivered.append("late")
            else:
                self.delivered.insert(0, document.fencing)
            return OrderResponse(OrderStatus.UNKNOWN)

        self.submit_order(self.make_service("old", send), "o1")
        return self.delivered


class _NoWaitForEarlierOrders(OrderJournal):
    """Accepts orders while earlier ones to the same upstream may still arrive."""

    def _check_fencing(self, command, unsettled):
        return None


class _StateWithoutWait(FleetStateMachine):
    orders_class = _NoWaitForEarlierOrders


class _NoFinalCheck(OrderService):
    """Does not check deadline and leadership before the first byte."""

    def _can_send(self, record, term, send_deadline):
        return True


def test_resumed_leader_does_not_send_after_takeover():
    assert OrderHarness().run_suspended_before_check() == [2]


def test_resumed_leader_sends_after_takeover_without_final_check():
    assert OrderHarness().run_suspended_before_check(_NoFinalCheck) == [2, 1]


def test_new_leader_waits_for_order_in_flight():
    assert OrderHarness().run_late_arrival() == [1, 2]


def test_orders_are_reversed_without_wait():
    assert OrderHarness(_StateWithoutWait).run_late_arrival() == [2, "late"]


def test_no_wait_for_upstream_that_checks_fencing():
    assert OrderHarness(checks_fencing=True).run_late_arrival() == [2, "late"]


def test_order_is_not_sent_to_restarted_upstream():
    harness = OrderHarness()

    def send(*arguments):
        raise AssertionError("order sent to a restarted upstream")

    service = harness.make_service("old", send)
    harness.log.failures = ["answer_lost"]
    request = OrderRequest("o1", "load_model", "m@1")
    service.submit_order("u1", request, harness.clock.now + 60)
    harness.upstreams.entry = UpstreamAnnouncement(
        "u1", "engine", "chat", "127.0.0.1", 1, "brest-a", "b2", 1, 2, 10, 1, 5_000
    )
    assert harness.submit_order(service, "o1").status == OrderStatus.REFUSED


# Tests over HTTP


def start_server(status):
    received = []

    def application(environ, start_response):
        received.append(environ["wsgi.input"].read())
        start_response(status, [("Content-Type", "text/plain")])
        return [b"seen"]

    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    return server, received


DOCUMENT = OrderDocument(7, "load_model", "m@1", 5_000)


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        ("200 OK", OrderStatus.DONE),
        ("409 Conflict", OrderStatus.REFUSED),
        ("500 Internal Server Error", OrderStatus.UNKNOWN),
    ],
)
def test_response_status_determines_order_status(status, expected):
    server, received = start_server(status)
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: True)
    server.stop()
    assert response.status == expected
    expected_body = b'{"fencing":7,"order":"load_model","model":"m@1","deadline_ms":5000}'
    assert received == [expected_body]


def test_unsent_order_is_refused():
    server, received = start_server("200 OK")
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: False)
    server.stop()
    assert (response.status, received) == (OrderStatus.REFUSED, [])
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: True)
    assert response.status == OrderStatus.REFUSED


@pytest.mark.parametrize(
    "response_bytes",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", b"\x00\xff\r\n\r\n"],
)
def test_malformed_response_leaves_order_unknown(response_bytes):
    def respond(connection, address):
        connection.recv(65_536)
        connection.sendall(response_bytes)

    server = StreamServer(("127.0.0.1", 0), respond)
    server.start()
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: True)
    server.stop()
    assert response.status == OrderStatus.UNKNOWN


def test_response_timeout_leaves_order_unknown():
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    with gevent.Timeout(10):
        response = send_order("127.0.0.1", listener.getsockname()[1], DOCUMENT, 200, lambda: True)
    listener.close()
    assert response.status == OrderStatus.UNKNOWN


def test_tcp_user_timeout_is_the_remaining_time():
    pool = _SingleConnectionPool("127.0.0.1", 1, 1_234, lambda: True)
    sock = pool._create_tcp_socket(socket.AF_INET, socket.SOCK_STREAM, 0)
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 1_234
    sock.close()


@pytest.mark.parametrize(
    ("final_check", "sent_prefix"), [("enabled", b""), ("disabled", b"POST /v1/orders HTTP/1.1")]
)
def test_suspended_process_sends_no_order_after_deadline(final_check, sent_prefix):
    """A process that is suspended between connecting and sending must not send a late order.

    With the final check disabled, the order is sent after the deadline.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    module = "sassafrashook.controller.tests.order_sender"
    command = [sys.executable, "-m", module, str(port), "2000", final_check]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with subprocess.Popen(command, **pipes) as process:
        connection, _ = listener.accept()
        assert process.stdout.readline() == b"connected\n"
        os.kill(process.pid, signal.SIGSTOP)
        gevent.sleep(2.5)
        assert not select.select([connection], [], [], 0)[0]
        process.stdin.write(b"continue\n")
        process.stdin.flush()
        os.kill(process.pid, signal.SIGCONT)
        connection.settimeout(10)
        try:
            received = connection.recv(4_096)
        except ConnectionResetError:
            received = b""
        connection.close()
        process.wait(10)
    listener.close()
    assert received[: len(sent_prefix) or None] == sent_prefix
