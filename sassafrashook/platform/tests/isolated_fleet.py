"""Routers with paths of their own to common upstreams, which partitions interrupt."""

import itertools
import os

import gevent
from gevent import socket

from fakes.fault_proxy import FaultProxy
from sassafrashook.daemons import NodeSettings, RouterAddresses
from sassafrashook.daemons._router import RouterDaemon
from sassafrashook.platform._header_codec import PlatformHeaderCodec
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_request,
    make_route_configuration,
    make_stream_script,
    read_http_message,
    respond_with_name,
)
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import RouteTable

# Loopback addresses of this process's routers, so that several test runs do not collide.
SUBNET = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
STREAM_PORT = 17_340
PEER_PORT = 17_341
REQUESTS = 40
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
    """Routers without controllers, each with paths of its own to common upstreams.

    :ivar partitioned: names of the routers whose paths are interrupted.
    """

    def __init__(self, router_count, *scripts):
        self.partitioned = set()
        self.upstreams = [ScriptedUpstream(f"u{n}", script) for n, script in enumerate(scripts)]
        self.names = [f"{SUBNET}.{n + 1}" for n in range(router_count)]
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
        view.age_.confirmed_at_ = float("inf")
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

    def partition(self, name, how, reached=0):
        """Interrupt the paths of one router.

        :param name: name of the router.
        :param how: one of ``PARTITIONS``.
        :param reached: number of upstreams that the router still reaches.
        """
        self.partitioned.add(name)
        for path in self.paths[name][reached:]:
            path.interrupt(how)

    def heal(self, name):
        self.partitioned.discard(name)
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
