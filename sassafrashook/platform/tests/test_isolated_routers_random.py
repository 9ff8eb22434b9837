"""Randomised runs of routers that lose and regain their paths to upstreams.

The environment variables ``SEED`` and ``SOAK`` set the first seed and the number of runs.
"""

import os
import random

import gevent
import pytest
from gevent import socket

from sassafrashook.platform.tests.isolated_fleet import PARTITIONS, RouterFleet, serve_request
from sassafrashook.platform.tests.scripted_upstreams import (
    encode_request,
    find_header,
    read_http_message,
)

FIRST_SEED = int(os.environ.get("SEED", "0"))
RUNS = int(os.environ.get("SOAK", "2"))
DURATION_S = 4.0
CLIENTS_PER_ROUTER = 3
MIN_SERVED_AFTER_HEALING = 0.9


class Client:
    """A client that keeps its connection to one router and sends orders and calls.

    :ivar outcomes: (request id, path, status, body) of each response; status 0 without a response.
    """

    def __init__(self, fleet, router, number, rng):
        self.fleet = fleet
        self.router = router
        self.number = number
        self.rng = rng
        self.outcomes = []
        self.sock = None

    def run(self, until_event):
        count = 0
        while not until_event.ready():
            count += 1
            self.send(f"{self.router}-{self.number}-{count}")
            gevent.sleep(self.rng.uniform(0.0, 0.05))
        self.disconnect()

    def send(self, request_id):
        path = self.rng.choice(("/orders/7", "/counts/7", "/plans/7", "/summaries/7"))
        status, body = 0, b""
        try:
            if self.sock is None:
                address = (self.router, self.fleet.routers[self.router].server_.port)
                self.sock = socket.create_connection(address, timeout=6.0)
            self.sock.sendall(encode_request(path, request_id=request_id))
            head, body, _ = read_http_message(self.sock)
            status = int(head.split()[1]) if head and body is not None else 0
            if status == 0 or find_header(head, "Connection") == "close":
                self.disconnect()
        except OSError:
            self.disconnect()
        self.outcomes.append((request_id, path, status, body))

    def disconnect(self):
        if self.sock is not None:
            self.sock.close()
        self.sock = None


def interrupt_paths(fleet, rng, until_event):
    """Interrupt and heal the paths of random routers; the first router keeps its own."""
    while not until_event.ready():
        name = rng.choice(fleet.names[1:])
        if name in fleet.partitioned:
            fleet.heal(name)
        else:
            reached = rng.choice((0, 0, len(fleet.upstreams) // 4))
            fleet.partition(name, rng.choice(PARTITIONS), reached)
        gevent.sleep(rng.uniform(0.05, 0.8))


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_requests_run_at_most_once_and_rejected_ones_never_during_partitions(seed):
    rng = random.Random(seed)
    fleet = RouterFleet(rng.choice((2, 3, 5)), *[serve_request] * rng.choice((2, 4, 40)))
    try:
        done = gevent.spawn_later(DURATION_S, lambda: None)
        clients = [
            Client(fleet, name, number, random.Random(f"{seed}-{name}-{number}"))
            for name in fleet.names
            for number in range(CLIENTS_PER_ROUTER)
        ]
        tasks = [gevent.spawn(client.run, done) for client in clients]
        tasks.append(gevent.spawn(interrupt_paths, fleet, rng, done))
        gevent.joinall(tasks)
        for name in list(fleet.partitioned):
            fleet.heal(name)
        gevent.sleep(3.0)
        served = [fleet.serve_requests(name, 20) for name in fleet.names]
    finally:
        fleet.stop()
    runs = {}
    for upstream in fleet.upstreams:
        for head, _ in upstream.requests:
            request_id = find_header(head, "X-Sassafrashook-Attempt-Id")
            runs[request_id] = runs.get(request_id, 0) + 1
    outcomes = [outcome for client in clients for outcome in client.outcomes]
    for request_id, path, status, body in outcomes:
        count = runs.get(request_id, 0)
        if status == 503:
            assert count == 0, f"{request_id} was rejected as not run"
        if path == "/orders/7" or path == "/plans/7":
            assert count <= 1, f"{request_id} has run {count} times"
        if status == 200 and path in ("/orders/7", "/counts/7"):
            assert body in {upstream.name.encode() for upstream in fleet.upstreams}
    assert min(served) >= MIN_SERVED_AFTER_HEALING
    assert sum(status == 200 for _, _, status, _ in outcomes) > len(outcomes) / 2
