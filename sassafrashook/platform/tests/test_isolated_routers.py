"""Tests of routers whose connections to all upstreams fail, while other routers reach these."""

import contextlib
import itertools
import random
import time

import gevent
import pytest
from gevent import socket

from fakes.fault_proxy import FaultProxy
from sassafrashook.daemons import NodeSettings, RouterAddresses
from sassafrashook.daemons._router import RouterDaemon
from sassafrashook.gateway._peers import AVOIDANCE_S, MAX_CONSECUTIVE_REFUSALS, PeerSelector
from sassafrashook.platform._header_codec import PlatformHeaderCodec
from sassafrashook.platform.tests.crashing_upstreams import make_prompt_field
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_request,
    encode_response,
    find_header,
    make_route_configuration,
    make_stream_script,
    read_http_message,
    respond_with_name,
)
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import RouteTable

STREAM_PORT = 17_340
PEER_PORT = 17_341
CONTACT_TIMEOUT_S = 3.0
REQUESTS = 40
MIN_SHARE = 2 / 3  # of what the other routers serve
PARTITIONS = ("hang", "reset", "refuse_new")


class UpstreamPath:
    """The path from one router to one upstream, which a partition interrupts."""

    def __init__(self, upstream):
        self.proxy = FaultProxy(upstream.address).start()
        self.sockets = []

    def interrupt(self, how):
        """Interrupt the path.

        :param how: ``hang`` for connections that hang, ``reset`` for connections that are reset and
            refused, ``refuse_new`` for open ones that go on while new ones are refused.
        """
        self.proxy.refuse()
        if how == "reset":
            self.proxy.cut()
        elif how == "hang":
            self.proxy.freeze("all")
            self._occupy_port()

    def _occupy_port(self):
        """Listen without accepting, with a full backlog, so that new connections hang."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.proxy.address)
        listener.listen(0)
        self.sockets.append(listener)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.proxy.address)
            self.sockets.append(filler)

    def heal(self):
        for sock in self.sockets:
            sock.close()
        self.sockets = []
        self.proxy.heal()

    def stop(self):
        self.heal()
        self.proxy.stop()


class RouterFleet:
    """Routers without controllers, each with paths of its own to common upstreams."""

    def __init__(self, router_count, *scripts):
        self.upstreams = [ScriptedUpstream(f"u{n}", script) for n, script in enumerate(scripts)]
        self.names = [f"127.0.8.{n + 1}" for n in range(router_count)]
        self.paths = {name: [UpstreamPath(u) for u in self.upstreams] for name in self.names}
        self.routers = {name: self.start_router(name) for name in self.names}

    def start_router(self, name):
        settings = NodeSettings(
            name, "z", STREAM_PORT, PEER_PORT, (), RouterAddresses((name, 0), (name, 0)), None,
            None, False, 0, 1_000.0, 2_000.0, 1_000.0, 0.2, 50, 10.0, 1.5, 5,
        )  # fmt: skip
        daemon = RouterDaemon(settings, PlatformHeaderCodec(), "/readyz")
        view = daemon.view_
        view.table_ = RouteTable(make_route_configuration())
        view.routers_ = tuple(self.names)
        view.confirmed_at_ = float("inf")
        daemon.warmup_.set_routers(self.names)
        daemon.rate_limiter_.set_routers(self.names)
        registrations = [
            Registration(
                upstream.name, 1, 1, RegistrationState.READY, "service", *path.proxy.address, "z",
                "v1", 8,
            )
            for upstream, path in zip(self.upstreams, self.paths[name], strict=True)
        ]  # fmt: skip
        daemon.placement_.set_registrations(
            registrations, {r.upstream_id: 0.0 for r in registrations}, 0.0
        )
        daemon.start()
        return daemon

    def partition(self, name, how):
        for path in self.paths[name]:
            path.interrupt(how)

    def heal(self, name):
        for path in self.paths[name]:
            path.heal()

    def send_request(self, name, path, fields=(), request_id="a1"):
        """Send a request on a new connection; :returns: status, head, body and the rest."""
        address = (name, self.routers[name].server_.port)
        with socket.create_connection(address, timeout=8.0) as sock:
            sock.sendall(encode_request(path, fields=fields, request_id=request_id))
            head, body, rest = read_http_message(sock)
        return (int(head.split()[1]) if head else 0), head, body, rest

    def serve_requests(self, name, count=REQUESTS):
        """Send requests of all kinds side by side; :returns: the share that was served."""
        paths = itertools.cycle(("/orders/7", "/counts/7", "/plans/7", "/summaries/7"))
        tasks = []
        for number, path in zip(range(count), paths, strict=False):
            tasks.append(gevent.spawn(self.send_request, name, path, request_id=f"{name}-{number}"))
            gevent.sleep(0.01)
        gevent.joinall(tasks)
        return sum(task.value is not None and task.value[0] == 200 for task in tasks) / count

    def count_requests(self):
        return sum(len(upstream.requests) for upstream in self.upstreams)

    def stop(self):
        for router in self.routers.values():
            for server in (router.server_, router.peer_server_):
                server.server_.stop(timeout=0)
            gevent.killall(router._tasks)
            router.mesh_.stop()
        for paths in self.paths.values():
            for path in paths:
                path.stop()
        for upstream in self.upstreams:
            upstream.stop()


def serve_request(upstream, sock, head, body):
    """Script that streams to plans and summaries, and names the upstream in other responses."""
    if b"/plans/" in head or b"/summaries/" in head:
        return make_stream_script(last=3)(upstream, sock, head, body)
    return respond_with_name(upstream, sock, head, body)


@pytest.fixture
def start_fleet():
    fleets = []

    def make_fleet(router_count, *scripts):
        fleets.append(RouterFleet(router_count, *scripts))
        return fleets[-1]

    yield make_fleet
    for fleet in fleets:
        fleet.stop()


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
