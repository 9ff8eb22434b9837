"""Tests of membership over real streams, each behind a fault-injecting proxy."""

import random
import time
from contextlib import contextmanager

from fakes.fault_proxy import FaultProxy
from sassafrashook.membership import (
    MEMBERSHIP_MESSAGES,
    MembershipCore,
    MembershipService,
    PeerRecord,
    PeerRemoved,
    RemovalReason,
)
from sassafrashook.membership.tests.network import make_announcement
from sassafrashook.membership.tests.test_service import wait_until
from sassafrashook.transport import Mesh, PeerAddress

PROBE_S = 0.5
NAMES = ("r0", "r1", "r2")


class Node:
    """A service with its own streams, which reach each other node through a proxy."""

    def __init__(self, name):
        self.name = name
        self.counts = {}
        self.notifications = []
        self.proxies = {}
        self.mesh = Mesh(name, ("127.0.0.1", 0), [], MEMBERSHIP_MESSAGES, count=self.count)
        self.mesh.start()

    def connect(self, nodes):
        for node in nodes:
            proxy = FaultProxy(("127.0.0.1", node.mesh.port_)).start()
            self.proxies[node.name] = proxy
            self.mesh.update_peer_address(PeerAddress(node.name, *proxy.address))
        own = PeerRecord(self.name, "router", "127.0.0.1", self.mesh.port_, "muscat-a", "b1", 1)
        core = MembershipCore(
            own, random.Random(1), self.measure, interval_ms=100, reply_timeout_ms=500
        )
        self.service = MembershipService(core, self.mesh, self.probe, self.count)
        self.service.subscribe(self.notifications.append)
        self.mesh.subscribe(MEMBERSHIP_MESSAGES, self.service.deliver)
        self.service.start()
        self.service.set_seeds(self.proxies)

    def count(self, name, attribute, amount):
        self.counts[name, str(attribute)] = self.counts.get((name, str(attribute)), 0) + amount

    def measure(self, message):
        return len(self.mesh.codec.encode(message))

    def probe(self, peer):
        return self.mesh.probe(peer, time.monotonic() + PROBE_S)

    def list_upstreams(self):
        return sorted(announcement.upstream_id for announcement in self.service.upstreams())

    def stop(self):
        self.service.stop()
        self.mesh.stop()
        for proxy in self.proxies.values():
            proxy.stop()


@contextmanager
def run_nodes():
    nodes = {name: Node(name) for name in NAMES}
    try:
        for node in nodes.values():
            node.connect([other for other in nodes.values() if other is not node])
        wait_until(lambda: all(len(node.service.peers()) == 3 for node in nodes.values()))
        yield nodes
    finally:
        for node in nodes.values():
            node.stop()


def find_proxies(nodes, name):
    links = [
        (node.name, peer, proxy) for node in nodes.values() for peer, proxy in node.proxies.items()
    ]
    return [proxy for source, target, proxy in links if name in (source, target)]


def test_half_open_connections_delay_propagation_without_losing_nodes():
    with run_nodes() as nodes:
        for proxy in find_proxies(nodes, "r0"):
            proxy.freeze("existing")
        nodes["r0"].service.announce(make_announcement(valid_ms=60_000))
        wait_until(lambda: all(node.list_upstreams() == ["engine-1"] for node in nodes.values()))
        wait_until(
            lambda: any(
                ("membership_peer", "connection_silent") in n.counts for n in nodes.values()
            )
        )
        assert not [
            n for node in nodes.values() for n in node.notifications if isinstance(n, PeerRemoved)
        ]


def test_partitioned_node_is_reported_lost_and_synchronises_after_healing():
    with run_nodes() as nodes:
        for proxy in find_proxies(nodes, "r2"):
            proxy.refuse()
            proxy.cut()
        lost = PeerRemoved("r2", "b1", RemovalReason.LOST)
        wait_until(lambda: lost in nodes["r0"].notifications and lost in nodes["r1"].notifications)
        nodes["r2"].service.announce(make_announcement("engine-2", valid_ms=60_000, port=8_002))
        nodes["r0"].service.announce(make_announcement("engine-1", valid_ms=60_000))
        wait_until(lambda: nodes["r1"].list_upstreams() == ["engine-1"])
        wait_until(lambda: nodes["r2"].list_upstreams() == ["engine-2"])
        for proxy in find_proxies(nodes, "r2"):
            proxy.heal()
        wait_until(
            lambda: all(n.list_upstreams() == ["engine-1", "engine-2"] for n in nodes.values())
        )
        wait_until(lambda: all(len(node.service.peers()) == 3 for node in nodes.values()))
