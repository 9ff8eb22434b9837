"""Measures the gateway's processor time per request and per event of a stream.

The gateway (``sassafrashook.gateway``) runs in this process; the upstream and the clients run in a
child process. Two loads, one of long and one of short responses, separate the cost per request from
the cost per event.

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
from sassafrashook.gateway import Gateway, GatewayServer, RetryLimits
from sassafrashook.http1 import ConnectionPool
from sassafrashook.placement import Placement, SharedRateLimiter
from sassafrashook.platform._header_codec import PlatformHeaderCodec
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_request,
    make_route_configuration,
    make_stream_script,
    read_http_message,
)
from sassafrashook.registry import Registration, RegistrationState, Registry
from sassafrashook.routes import RouteTable
from sassafrashook.streams import LocalStreamVersions
from sassafrashook.telemetry import Metrics, configure_logs

CLIENT_COUNT = 20
EVENTS_PER_RESPONSE = {"short": 1, "long": 50}


def start_gateway(port):
    """Return a started gateway server with one upstream on loopback.

    :param port: port of the upstream.
    """
    view = FleetView(Registry(60.0))
    view.table_ = RouteTable(make_route_configuration(timeout_ms=30_000.0))
    view.routers_ = ("r1",)
    placement = Placement(
        SharedRateLimiter("r1", 1.5, 5), SharedRateLimiter("r1", 1.5, 5, 4.0), random.Random(1)
    )
    ready = RegistrationState.READY
    registration = Registration("u0", 1, 1, ready, "service", "127.0.0.1", port, "z", "v1", 1_000)
    placement.set_registrations([registration], {"u0": 0.0}, 0.0)
    limits, pool = RetryLimits(0.2, 50, 10.0), ConnectionPool(1.0)
    gateway = Gateway(
        "r1",
        PlatformHeaderCodec(),
        view,
        placement,
        pool,
        limits,
        Metrics("r1"),
        LocalStreamVersions(),
    )
    server = GatewayServer(gateway, "127.0.0.1", 0)
    server.start()
    return server


def run_child(events, seconds):
    """Run the upstream and the clients, and print how many requests were answered.

    Prints the upstream's port first, then reads the gateway's port from standard input.

    :param events: events of each response.
    :param seconds: duration of the load.
    """
    upstream = ScriptedUpstream("u0", make_stream_script(last=events, pause_s=0.002))
    print(upstream.address[1], flush=True)
    port = int(sys.stdin.readline())
    until = time.monotonic() + seconds
    clients = [gevent.spawn(send_requests, port, until, number) for number in range(CLIENT_COUNT)]
    print(sum(client.get() for client in clients), flush=True)


def send_requests(port, until, number):
    """Send requests one after the other on one connection.

    :param until: monotonic time in seconds at which no further request is sent.
    :param number: number of the client.
    :returns: number of requests answered.
    """
    sock = socket.create_connection(("127.0.0.1", port))
    answered = 0
    while time.monotonic() < until:
        sock.sendall(encode_request("/plans/7", b"x" * 800, request_id=f"{number}-{answered}"))
        read_http_message(sock)
        answered += 1
    return answered


def run_with_child(module, *options):
    """Run a gateway whose upstream and clients run in a child process.

    :param module: name of the benchmark module that the child runs. The child prints the
        upstream's port, reads the gateway's port and prints one line of results.
    :param options: command-line options of the child.
    :returns: the line of results, and the gateway's processor time in seconds.
    """
    child = subprocess.Popen(
        [sys.executable, "-m", module, *options], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    server = start_gateway(int(child.stdout.readline()))
    before = time.process_time()
    child.stdin.write(b"%d\n" % server.port)
    child.stdin.flush()
    # Waits in a thread, so that the gateway serves meanwhile.
    line = gevent.get_hub().threadpool.spawn(child.stdout.readline).get().decode().strip()
    cpu_s = time.process_time() - before
    server.server_.stop(timeout=0)
    child.wait()
    return line, cpu_s


def measure_load(events, seconds):
    """Return the number of requests answered and the gateway's processor time in seconds."""
    options = (f"--child={events}", f"--seconds={seconds}")
    answered, cpu_s = run_with_child("benchmarks.forwarding", *options)
    return int(answered), cpu_s


def main():
    """Run both loads and print the cost per request and per event."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--child", type=int, default=0)
    arguments = parser.parse_args()
    if arguments.child:
        run_child(arguments.child, arguments.seconds)
        return
    configure_logs("error")
    costs = {}
    for name, events in EVENTS_PER_RESPONSE.items():
        answered, cpu_s = measure_load(events, arguments.seconds)
        costs[name] = cpu_s / answered * 1e6
        print(f"{name}: {answered} requests of {events} events, {costs[name]:.0f} us/request")
    extra_events = EVENTS_PER_RESPONSE["long"] - EVENTS_PER_RESPONSE["short"]
    event_cost = (costs["long"] - costs["short"]) / extra_events
    print(
        f"{costs['short'] - event_cost * EVENTS_PER_RESPONSE['short']:.0f} us/request,"
        f" {event_cost:.1f} us/event"
    )


if __name__ == "__main__":
    main()
