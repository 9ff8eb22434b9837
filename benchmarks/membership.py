"""Measures the membership protocol with many nodes in one process, on simulated time.

Prints for each number of nodes and upstreams:

* the bytes per second that a node sends, in total and by message type;
* the time until an added upstream and a departure are known at the last node;
* the time until a restarted node knows all members;
* the processor time per event handled, including that of the simulated network.

Usage: ``python -m benchmarks.membership --nodes 7,50 --upstreams 10,100``.
"""

import random
import time

import fire

from sassafrashook.membership import DepartureReceived, UpstreamAnnounced, UpstreamRemoved
from sassafrashook.membership.tests.network import Network, make_announcement

WARM_UP_S = 20.0
MEASURED_S = 20.0
ADDED_UPSTREAM_COUNT = 5
CHANGE_INTERVAL_S = 4.0
REFRESHES_PER_VALIDITY = 3


class MembershipSimulation:
    """Nodes that know one another, and upstreams that announce themselves periodically.

    :param nodes: number of nodes.
    :param upstreams: number of upstreams.
    :param valid_ms: validity of an announcement in milliseconds.
    :param seed: seed of all random choices.
    :param budget_bytes: maximum gossip bytes that a node sends per second.
    :ivar sequences_: upstream to the sequence number of its last announcement.
    :ivar learned_at_: change to the simulated time at which each node learned of it.
    :ivar expired_count_: upstreams that a node removed without a departure.
    """

    def __init__(self, nodes, upstreams, valid_ms, seed, budget_bytes):
        self.rng = random.Random(seed)
        self.names = [f"n{index}" for index in range(nodes)]
        self.valid_ms = valid_ms
        self.network = Network(seed, self.names, budget_bytes=budget_bytes)
        self.sequences_ = dict.fromkeys((f"e{index}" for index in range(upstreams)), 0)
        self.learned_at_ = {}
        self.expired_count_ = 0
        self.network.observe = self.record_change
        self.preload_members()
        for name in self.sequences_:
            first_delay_s = self.rng.uniform(0, valid_ms / 1000 / REFRESHES_PER_VALIDITY)
            self.network.at(self.network.now + first_delay_s, self.announce_periodically, name)

    def preload_members(self):
        """Give each node the complete list of members, with no changes left to spread."""
        cores = self.network.cores.values()
        records = [core.own for core in cores]
        valid_s = self.valid_ms / 1000
        announcements = [
            (self.make_next_announcement(name), self.rng.uniform(valid_s / 2, valid_s))
            for name in self.sequences_
        ]
        for name, core in self.network.cores.items():
            now = self.network.clock(name)
            for record in records:
                core.merger_.merge_peer(record, now)
            for announcement, remaining_s in announcements:
                core.merger_.merge_upstream(announcement, remaining_s, now)
            core.rumors_.changes_.clear()
            core.rumors_.refreshes_.clear()
            core.replies_.replies_.clear()
            core.synchronized_ = True

    def make_next_announcement(self, name):
        """Return an upstream's announcement with the next sequence number."""
        self.sequences_[name] = self.sequences_.get(name, 0) + 1
        index = int(name[1:])
        host = f"10.1.{index // 250}.{index % 250}"
        return make_announcement(
            name, "b1", self.sequences_[name], host=host, valid_ms=self.valid_ms
        )

    def announce_periodically(self, name):
        """Announce an upstream to a random node and schedule its next announcement."""
        self.network.announce(self.rng.choice(self.names), self.make_next_announcement(name))
        period_s = self.valid_ms / 1000 / REFRESHES_PER_VALIDITY
        self.network.at(self.network.now + period_s, self.announce_periodically, name)

    def record_change(self, name, action):
        """Record when a node learns that an upstream was added or left."""
        if isinstance(action, UpstreamAnnounced) and action.changed:
            key = ("seen", action.announcement.upstream_id)
        elif isinstance(action, UpstreamRemoved) and action.reason == "left":
            key = ("left", action.upstream_id)
        else:
            self.expired_count_ += isinstance(action, UpstreamRemoved)
            return
        self.learned_at_.setdefault(key, {})[name] = self.network.now

    def measure_propagation(self):
        """Add upstreams and remove them again.

        :returns: mapping from ``seen`` and ``left`` to the seconds until the last node knew of
            each addition or departure; infinity if a node did not learn of it in time.
        """
        delays = {"seen": [], "left": []}
        for number in range(ADDED_UPSTREAM_COUNT):
            name = f"e{10_000 + number}"
            for kind in delays:
                started = self.network.now
                node = self.rng.choice(self.names)
                if kind == "seen":
                    self.network.announce(node, self.make_next_announcement(name))
                else:
                    self.network.tell(node, DepartureReceived(name, "b1"))
                self.network.run(started + CHANGE_INTERVAL_S)
                times = self.learned_at_.get((kind, name), {})
                missing = len(self.names) - len(times)
                delays[kind].append(max(times.values()) - started if not missing else float("inf"))
        return delays

    def measure_restart(self):
        """Restart one node.

        :returns: seconds until it lists all upstreams and nodes, or infinity after 60 s.
        """
        network, name = self.network, self.names[-1]
        network.stop(name)
        network.run(network.now + 1.0)
        network.start(name)
        started = network.now
        while network.now < started + 60.0:
            network.run(network.now + 0.05)
            core = network.cores[name]
            # The upstreams of the propagation measurement have left.
            has_upstreams = (
                len(network.list_upstreams(name)) >= len(self.sequences_) - ADDED_UPSTREAM_COUNT
            )
            if has_upstreams and len(core.peers()) == len(self.names):
                return network.now - started
        return float("inf")


def measure_size(nodes, upstreams, valid_ms, seed, budget_bytes):
    """Measure one size and print one line of ``key=value`` pairs."""
    simulation = MembershipSimulation(nodes, upstreams, valid_ms, seed, budget_bytes)
    network = simulation.network
    network.run(WARM_UP_S)
    for records in network.sent.values():
        records.clear()
    simulation.expired_count_ = 0
    call_count = count_calls(network)
    started = time.process_time()
    network.run(WARM_UP_S + MEASURED_S)
    cpu_s = time.process_time() - started
    bytes_by_type, busiest_bytes_s = {}, 0
    for records in network.sent.values():
        for _, _, kind, size in records:
            bytes_by_type[kind] = bytes_by_type.get(kind, 0) + size
        busiest_bytes_s = max(busiest_bytes_s, sum(record[3] for record in records) / MEASURED_S)
    bytes_s_by_type = {kind: size / nodes / MEASURED_S for kind, size in bytes_by_type.items()}
    events = call_count[0]
    delays = simulation.measure_propagation()
    fields = {
        "nodes": nodes,
        "upstreams": upstreams,
        "valid_s": valid_ms / 1000,
        "bytes_s": round(sum(bytes_s_by_type.values())),
        "busiest_bytes_s": round(busiest_bytes_s),
        "expired": simulation.expired_count_,
        "seen_max_s": "/".join(f"{value:.2f}" for value in sorted(delays["seen"])),
        "left_max_s": "/".join(f"{value:.2f}" for value in sorted(delays["left"])),
        "restart_s": round(simulation.measure_restart(), 2),
        "us_per_event": round(cpu_s / events * 1e6, 1),
        "core_percent": round(100 * cpu_s / MEASURED_S / nodes, 3),
    }
    fields |= {kind: round(size) for kind, size in sorted(bytes_s_by_type.items())}
    print(" ".join(f"{key}={value}" for key, value in fields.items()), flush=True)


def count_calls(network):
    """Count the calls into the nodes' cores from now on.

    :returns: list whose only item is the current count.
    """
    call_count = [0]
    tell, wake = network.tell, network.wake

    def counting_tell(*arguments):
        call_count[0] += 1
        tell(*arguments)

    def counting_wake(*arguments):
        call_count[0] += 1
        wake(*arguments)

    network.tell, network.wake = counting_tell, counting_wake
    return call_count


def as_list(value):
    """Return a command-line value as a list, since fire parses ``7`` as a number."""
    return list(value) if isinstance(value, (list, tuple)) else [value]


def main(nodes=(7, 50, 200), upstreams=(10, 100), valid_ms=30_000, seed=1, budget_bytes=4_096):
    """Measure all combinations of sizes.

    :param nodes: numbers of nodes.
    :param upstreams: numbers of upstreams.
    :param valid_ms: validity of an announcement in milliseconds.
    :param seed: seed of all random choices.
    :param budget_bytes: maximum gossip bytes that a node sends per second.
    """
    print(f"seed={seed} budget_bytes={budget_bytes}")
    for upstream_count in as_list(upstreams):
        for node_count in as_list(nodes):
            measure_size(node_count, upstream_count, valid_ms, seed, budget_bytes)


if __name__ == "__main__":
    fire.Fire(main)
