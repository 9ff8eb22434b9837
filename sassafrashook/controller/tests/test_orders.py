"""Orders of a leader that is frozen, replaced or cut off at the wrong moment."""

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
from sassafrashook.controller._order_client import _OrderPool
from sassafrashook.messages import UpstreamAnnouncement
from sassafrashook.state import FleetStateMachine, OrderJournal, OrderStatus
from sassafrashook.state.tests.fake_log import FakeClock, FakeLog

VALID_MS = 4_000
LATE_MS = 2_000


class Upstreams(UpstreamDirectory):
    def __init__(self, checks_fencing):
        self.entry = UpstreamAnnouncement(
            "u1", "engine", "chat", "127.0.0.1", 1, "brest-a", "b1", 1, 1, 10, 1, 5_000,
            checks_fencing,
        )  # fmt: skip

    def list_upstreams(self):
        return [self.entry]


class Leaders:
    """Two leaders of one log, and the order in which their orders reach the upstream."""

    def __init__(self, state_class=FleetStateMachine, checks_fencing=False):
        self.clock = FakeClock()
        self.state = state_class()
        self.log = FakeLog([self.state])
        self.upstreams = Upstreams(checks_fencing)
        self.reached = []

    def make(self, issuer, send=None, service_class=OrderService):
        proposer = CommandProposer(self.log, self.clock, self.clock.wall_ms)
        service = service_class(
            proposer, self.log, self.state, self.upstreams, issuer,
            order_timeout_ms=VALID_MS, send=send or self.send, sleep=self.clock.sleep,
        )  # fmt: skip
        service.start()
        return service

    def send(self, host, port, document, remaining_ms, may_send):
        if not may_send():
            return OrderResponse(OrderStatus.REFUSED, "not sent")
        self.reached.append(document.fencing)
        return OrderResponse(OrderStatus.DONE)

    def order(self, service, command_id):
        request = OrderRequest(command_id, "load_model", "m@1")
        return service.order("u1", request, self.clock.now + 60).unwrap()

    def lead_anew(self):
        self.log.term += 1
        return self.make("new")

    def run_freeze_before_check(self, service_class=OrderService):
        """Freeze the old leader between its decision and its last check."""

        def send(host, port, document, remaining_ms, may_send):
            self.order(self.lead_anew(), "o2")
            return self.send(host, port, document, remaining_ms, may_send)

        self.order(self.make("old", send, service_class), "o1")
        return self.reached

    def run_late_arrival(self):
        """Let the old leader's bytes arrive after its last check, within the stated margin."""

        def send(host, port, document, remaining_ms, may_send):
            assert may_send()
            arrival = self.clock.now + (VALID_MS + LATE_MS) / 1000
            new = self.order(self.lead_anew(), "o2")
            assert new.status == OrderStatus.DONE
            if self.clock.now < arrival:
                self.reached.append("late")
            else:
                self.reached.insert(0, document.fencing)
            return OrderResponse(OrderStatus.UNKNOWN)

        self.order(self.make("old", send), "o1")
        return self.reached


class _NoWait(OrderJournal):
    def _refuse_unfenced(self, command, unsettled):
        return None


class _NoJournalWait(FleetStateMachine):
    orders_class = _NoWait


class _NoLastCheck(OrderService):
    def _may_send(self, record, term, send_before):
        return True


def test_frozen_leader_sends_nothing_once_it_wakes():
    assert Leaders().run_freeze_before_check() == [2]


def test_frozen_leader_is_caught_without_its_last_check():
    assert Leaders().run_freeze_before_check(_NoLastCheck) == [2, 1]


def test_new_leader_waits_out_what_its_predecessor_has_in_flight():
    assert Leaders().run_late_arrival() == [1, 2]


def test_reversed_orders_are_caught_without_the_wait():
    assert Leaders(_NoJournalWait).run_late_arrival() == [2, "late"]


def test_no_wait_for_an_upstream_that_checks_fencing():
    assert Leaders(checks_fencing=True).run_late_arrival() == [2, "late"]


def test_order_to_a_new_boot_is_not_sent():
    leaders = Leaders()

    def send(*values):
        raise AssertionError("sent to another boot")

    service = leaders.make("old", send)
    leaders.log.failures = ["answer_lost"]
    request = OrderRequest("o1", "load_model", "m@1")
    service.order("u1", request, leaders.clock.now + 60)
    leaders.upstreams.entry = UpstreamAnnouncement(
        "u1", "engine", "chat", "127.0.0.1", 1, "brest-a", "b2", 1, 2, 10, 1, 5_000
    )
    assert leaders.order(service, "o1").status == OrderStatus.REFUSED


# Over HTTP


def serve(status):
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
def test_status_of_the_answer(status, expected):
    server, received = serve(status)
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: True)
    server.stop()
    assert response.status == expected
    expected_body = b'{"fencing":7,"order":"load_model","model":"m@1","deadline_ms":5000}'
    assert received == [expected_body]


def test_order_that_was_not_sent_is_refused():
    server, received = serve("200 OK")
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: False)
    server.stop()
    assert (response.status, received) == (OrderStatus.REFUSED, [])
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: True)
    assert response.status == OrderStatus.REFUSED


@pytest.mark.parametrize(
    "answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", b"\x00\xff\r\n\r\n"]
)
def test_broken_answer_leaves_the_order_unknown(answer):
    def respond(connection, address):
        connection.recv(65_536)
        connection.sendall(answer)

    server = StreamServer(("127.0.0.1", 0), respond)
    server.start()
    response = send_order("127.0.0.1", server.server_port, DOCUMENT, 5_000, lambda: True)
    server.stop()
    assert response.status == OrderStatus.UNKNOWN


def test_silent_upstream_leaves_the_order_unknown():
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    with gevent.Timeout(10):
        response = send_order("127.0.0.1", listener.getsockname()[1], DOCUMENT, 200, lambda: True)
    listener.close()
    assert response.status == OrderStatus.UNKNOWN


def test_kernel_gives_up_at_the_deadline():
    pool = _OrderPool("127.0.0.1", 1, 1_234, lambda: True)
    sock = pool._create_tcp_socket(socket.AF_INET, socket.SOCK_STREAM, 0)
    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 1_234
    sock.close()


@pytest.mark.parametrize(
    ("checks", "sent"), [("checks", b""), ("off", b"POST /v1/orders HTTP/1.1")]
)
def test_stopped_process_sends_no_order_past_its_deadline(checks, sent):
    """Stops a real process between decision and send; with its last check off, the order goes."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    module = "sassafrashook.controller.tests.order_sender"
    command = [sys.executable, "-m", module, str(port), "2000", checks]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
    with subprocess.Popen(command, **pipes) as process:
        connection, _ = listener.accept()
        assert process.stdout.readline() == b"decided\n"
        os.kill(process.pid, signal.SIGSTOP)
        gevent.sleep(2.5)
        assert not select.select([connection], [], [], 0)[0]
        process.stdin.write(b"go on\n")
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
    assert received[: len(sent) or None] == sent
