"""Measures the gateway's processor time for each request and for each event of a stream.

The gateway runs in this process; upstreams and clients run in a child process. Two loads, one of
long and one of short answers, split the time into a part for each request and one for each event.

Usage: ``python -m benchmarks.forwarding [--seconds 5]``
"""

import argparse
import random
import subprocess
import sys
import time

import gevent
from gevent import socket

from sassafrashook.fleet import FleetView
from sassafrashook.gateway import Gateway, GatewayLimits, GatewayServer
from sassafrashook.http1 import ConnectionPool
from sassafrashook.placement import Placement, WarmupShares
from sassafrashook.platform._dialect import PlatformDialect
from sassafrashook.platform.tests.stand_ins import (
    ScriptedUpstream,
    encode_request,
    make_state,
    read_message,
    stream,
)
from sassafrashook.registry import Registration, RegistrationState, Registry
from sassafrashook.routes import RouteTable
from sassafrashook.telemetry import Metrics, configure_logs

CLIENTS = 20
EVENTS = {"short": 1, "long": 50}


def make_gateway(port):
    """Return a started gateway before one upstream on loopback."""
    view = FleetView(Registry(60.0))
    view.table_ = RouteTable(make_state(timeout_ms=30_000.0))
    view.routers_ = ("r1",)
    placement = Placement(WarmupShares("r1", 1.5, 5), random.Random(1))
    ready = RegistrationState.READY
    entry = Registration("u0", 1, 1, ready, "service", "127.0.0.1", port, "z", "v1", 1_000)
    placement.set_registrations([entry], {"u0": 0.0}, 0.0)
    limits, pool = GatewayLimits(0.2, 50, 10.0), ConnectionPool(1.0)
    gateway = Gateway(PlatformDialect(), view, placement, pool, limits, Metrics("r1"))
    server = GatewayServer(gateway, "127.0.0.1", 0)
    server.start()
    return server


def run_child(events, seconds):
    """Serve as upstream, then load the gateway whose port is read from standard input."""
    upstream = ScriptedUpstream("u0", stream(last=events, pause_s=0.002))
    print(upstream.address[1], flush=True)
    port = int(sys.stdin.readline())
    until = time.monotonic() + seconds
    clients = [gevent.spawn(load, port, until, number) for number in range(CLIENTS)]
    print(sum(client.get() for client in clients), flush=True)


def load(port, until, number):
    """Send requests one after the other; return how many were answered."""
    sock = socket.create_connection(("127.0.0.1", port))
    answered = 0
    while time.monotonic() < until:
        sock.sendall(encode_request("/plans/7", b"x" * 800, request_id=f"{number}-{answered}"))
        read_message(sock)
        answered += 1
    return answered


def run_with_child(module, *options):
    """Run a gateway before a child process that is its upstream and its clients.

    :param module: name of the benchmark; its child prints the upstream's port, reads the
        gateway's, and prints one line of results.
    :param options: further words of the child's command line.
    :returns: the line, and the gateway's processor seconds.
    """
    child = subprocess.Popen(
        [sys.executable, "-m", module, *options], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    server = make_gateway(int(child.stdout.readline()))
    before = time.process_time()
    child.stdin.write(b"%d\n" % server.port)
    child.stdin.flush()
    line = gevent.get_hub().threadpool.spawn(child.stdout.readline).get().decode().strip()
    used = time.process_time() - before
    server.server_.stop(timeout=0)
    child.wait()
    return line, used


def measure(events, seconds):
    """Return requests answered, and the gateway's processor seconds for them."""
    options = (f"--child={events}", f"--seconds={seconds}")
    answered, used = run_with_child("benchmarks.forwarding", *options)
    return int(answered), used


def main():
    """Run both loads and print the split."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--child", type=int, default=0)
    arguments = parser.parse_args()
    if arguments.child:
        run_child(arguments.child, arguments.seconds)
        return
    configure_logs("error")
    costs = {}
    for name, events in EVENTS.items():
        answered, used = measure(events, arguments.seconds)
        costs[name] = used / answered * 1e6
        print(f"{name}: {answered} requests of {events} events, {costs[name]:.0f} us each")
    spread = EVENTS["long"] - EVENTS["short"]
    event = (costs["long"] - costs["short"]) / spread
    print(f"a request {costs['short'] - event * EVENTS['short']:.0f} us, an event {event:.1f} us")


if __name__ == "__main__":
    main()
