"""Measures membership with many cores in one process, on simulated time.

For each number of nodes and upstreams: bytes a second that a node sends, by message type; the
time in which a new upstream and a departure become known to the last node; the time until a
restarted node has the whole list; and processor time for each event handled, that of the
simulated network included.

Run: ``python benchmarks/membership.py --nodes 7,50 --upstreams 10,100``.
"""

import random
import time

import fire

from sassafrashook.membership import LeaveHeard, UpstreamLeft, UpstreamSeen
from sassafrashook.membership.tests.network import Network, make_announcement

WARM_S = 20.0
MEASURED_S = 20.0
PROBES = 5
PROBE_INTERVAL_S = 4.0
REFRESHES_PER_VALIDITY = 3


class Fleet:
    """Cores that know of one another, and upstreams that announce themselves."""

    def __init__(self, nodes, upstreams, valid_ms, seed, budget_bytes):
        self.rng = random.Random(seed)
        self.names = [f"n{index}" for index in range(nodes)]
        self.valid_ms = valid_ms
        self.network = Network(seed, self.names, budget_bytes=budget_bytes)
        self.sequences = dict.fromkeys((f"e{index}" for index in range(upstreams)), 0)
        self.seen = {}
        self.expired = 0
        self.network.observe = self.observe
        self.introduce()
        for name in self.sequences:
            first = self.rng.uniform(0, valid_ms / 1000 / REFRESHES_PER_VALIDITY)
            self.network.at(self.network.now + first, self.announce, name)

    def introduce(self):
        """Give all cores the list that they would have after a while."""
        cores = self.network.cores.values()
        records = [core.own for core in cores]
        valid_s = self.valid_ms / 1000
        announcements = [
            (self.make(name), self.rng.uniform(valid_s / 2, valid_s)) for name in self.sequences
        ]
        for name, core in self.network.cores.items():
            now = self.network.clock(name)
            for record in records:
                core.intake_.take_peer(record, now)
            for announcement, remaining_s in announcements:
                core.intake_.take_upstream(announcement, remaining_s, now)
            core.rumors_.changes_.clear()
            core.rumors_.refreshes_.clear()
            core.replies_.replies_.clear()
            core.synchronised_ = True

    def make(self, name):
        self.sequences[name] = self.sequences.get(name, 0) + 1
        index = int(name[1:])
        host = f"10.1.{index // 250}.{index % 250}"
        return make_announcement(
            name, "b1", self.sequences[name], host=host, valid_ms=self.valid_ms
        )

    def announce(self, name):
        self.network.announce(self.rng.choice(self.names), self.make(name))
        period = self.valid_ms / 1000 / REFRESHES_PER_VALIDITY
        self.network.at(self.network.now + period, self.announce, name)

    def observe(self, name, action):
        if isinstance(action, UpstreamSeen) and action.changed:
            key = ("seen", action.announcement.upstream_id)
        elif isinstance(action, UpstreamLeft) and action.reason == "left":
            key = ("left", action.upstream_id)
        else:
            self.expired += isinstance(action, UpstreamLeft)
            return
        self.seen.setdefault(key, {})[name] = self.network.now

    def probe(self):
        """Add upstreams and let them leave.

        :returns: seconds until the last node knew, for each addition and for each departure.
        """
        spreads = {"seen": [], "left": []}
        for number in range(PROBES):
            name = f"e{10_000 + number}"
            for kind in spreads:
                started = self.network.now
                node = self.rng.choice(self.names)
                if kind == "seen":
                    self.network.announce(node, self.make(name))
                else:
                    self.network.tell(node, LeaveHeard(name, "b1"))
                self.network.run(started + PROBE_INTERVAL_S)
                known = self.seen.get((kind, name), {})
                missing = len(self.names) - len(known)
                spreads[kind].append(max(known.values()) - started if not missing else float("inf"))
        return spreads

    def restart(self):
        """Restart one node.

        :returns: seconds until it lists all upstreams and nodes, or infinity after a minute.
        """
        network, name = self.network, self.names[-1]
        network.stop(name)
        network.run(network.now + 1.0)
        network.start(name)
        started = network.now
        while network.now < started + 60.0:
            network.run(network.now + 0.05)
            core = network.cores[name]
            is_full = len(network.listed(name)) >= len(self.sequences) - PROBES
            if is_full and len(core.peers()) == len(self.names):
                return network.now - started
        return float("inf")


def measure(nodes, upstreams, valid_ms, seed, budget_bytes):
    """Measure one size and print one line of key=value pairs."""
    fleet = Fleet(nodes, upstreams, valid_ms, seed, budget_bytes)
    network = fleet.network
    network.run(WARM_S)
    for records in network.sent.values():
        records.clear()
    fleet.expired = 0
    handled = count_handled(network)
    started = time.process_time()
    network.run(WARM_S + MEASURED_S)
    elapsed = time.process_time() - started
    by_type, busiest = {}, 0
    for records in network.sent.values():
        for _, _, kind, size in records:
            by_type[kind] = by_type.get(kind, 0) + size
        busiest = max(busiest, sum(record[3] for record in records) / MEASURED_S)
    per_node = {kind: size / nodes / MEASURED_S for kind, size in by_type.items()}
    events = handled[0]
    spreads = fleet.probe()
    line = {
        "nodes": nodes,
        "upstreams": upstreams,
        "valid_s": valid_ms / 1000,
        "bytes_s": round(sum(per_node.values())),
        "busiest_bytes_s": round(busiest),
        "expired": fleet.expired,
        "seen_max_s": "/".join(f"{value:.2f}" for value in sorted(spreads["seen"])),
        "left_max_s": "/".join(f"{value:.2f}" for value in sorted(spreads["left"])),
        "restart_s": round(fleet.restart(), 2),
        "us_per_event": round(elapsed / events * 1e6, 1),
        "core_percent": round(100 * elapsed / MEASURED_S / nodes, 3),
    }
    line |= {kind: round(size) for kind, size in sorted(per_node.items())}
    print(" ".join(f"{key}={value}" for key, value in line.items()), flush=True)


def count_handled(network):
    """Count the calls into the cores from now on; returns a list that holds the count."""
    handled = [0]
    tell, wake = network.tell, network.wake

    def counting_tell(*arguments):
        handled[0] += 1
        tell(*arguments)

    def counting_wake(*arguments):
        handled[0] += 1
        wake(*arguments)

    network.tell, network.wake = counting_tell, counting_wake
    return handled


def as_numbers(value):
    """Return the numbers of a command line's list."""
    return list(value) if isinstance(value, (list, tuple)) else [value]


def main(nodes=(7, 50, 200), upstreams=(10, 100), valid_ms=30_000, seed=1, budget_bytes=4_096):
    """Measure all combinations."""
    print(f"seed={seed} budget_bytes={budget_bytes}")
    for upstream_count in as_numbers(upstreams):
        for node_count in as_numbers(nodes):
            measure(node_count, upstream_count, valid_ms, seed, budget_bytes)


if __name__ == "__main__":
    fire.Fire(main)
