"""Randomized runs of the simulated network, checked against the global state on one clock."""

from sassafrashook.membership import (
    DepartureReceived,
    RemovalReason,
    UpstreamAnnounced,
    UpstreamRemoved,
)
from sassafrashook.membership.tests.network import Network, make_announcement

VALID_MS = 6_000
VALID_S = VALID_MS / 1000
DELAY_SLACK_S = 0.25  # transit times of fast messages, not estimated, over several hops
FAULTS_END_S = 50.0
QUIET_AT_S = 71.5  # last change of content; it may be received up to 1.5 s later
CHECK_AT_S = 75.0
REFUSED = {"id_at_two_addresses", "boot_at_two_addresses", "address_of_another", "after_leave"}


class FakeUpstream:
    """A fake upstream that announces itself to random nodes."""

    def __init__(self, name, port, can_restart=True, incarnation=1_000):
        self.name = name
        self.port = port
        self.can_restart = can_restart
        self.boot = 1
        self.incarnation = incarnation
        self.sequence = 0
        self.cold = False
        self.is_alive = True
        self.identity_port = port

    @property
    def boot_id(self):
        return f"{self.name}-{self.identity_port}-{self.boot}"

    def announce(self, leaving=False):
        self.sequence += 1
        return make_announcement(
            self.name,
            self.boot_id,
            self.sequence,
            port=self.port,
            incarnation=self.incarnation,
            valid_ms=VALID_MS,
            cold=self.cold,
            leaving=leaving,
        )

    def restart(self, now, port):
        self.boot += 1
        self.port = port
        self.incarnation = 1_000 + int(now * 1000)
        self.sequence = 0
        self.is_alive = True


class RandomizedRun:
    """One seeded run with faults until ``FAULTS_END_S`` and none afterwards."""

    def __init__(self, seed, **parameters):
        names = [f"r{index}" for index in range(7)]
        self.network = network = Network(seed, names, **parameters)
        self.rng = network.rng
        self.received_at = {}
        self.left_at = {}
        self.sequences = {}
        self.update_count = 0
        network.observe = self.observe
        self.upstreams = [
            FakeUpstream(f"engine-{i}", 8_000 + i, can_restart=i > 2) for i in range(10)
        ]
        duplicate_id = FakeUpstream("engine-0", 9_000, can_restart=False, incarnation=2_000)
        duplicate_address = FakeUpstream("squatter", 8_001, can_restart=False, incarnation=2_000)
        duplicate_boot = FakeUpstream("engine-2", 8_002, can_restart=False)
        duplicate_boot.port = 9_002
        self.conflicting_upstreams = [duplicate_id, duplicate_address, duplicate_boot]
        self.ports = iter(range(10_000, 20_000))
        for upstream in self.upstreams + self.conflicting_upstreams:
            network.at(self.rng.uniform(0.5, 2), self.keep_announcing, upstream, 1)
        network.loss, network.duplication = 0.05, 0.05
        network.delay = self.draw_delay
        for fault in (self.toggle_upstream, self.inject_network_fault, self.restart_node):
            network.at(5.0, fault)

    def draw_delay(self, source, target):
        return self.rng.uniform(0.0005, 0.02 if self.network.now < FAULTS_END_S else 0.002)

    def receive(self, announcement, name):
        if name not in self.network.cores:
            return
        self.received_at.setdefault(make_announcement_key(announcement), self.network.now)
        self.network.announce(name, announcement)

    def keep_announcing(self, upstream, boot):
        if upstream.is_alive and upstream.boot == boot:
            if self.network.now < QUIET_AT_S:
                upstream.cold = self.rng.random() < 0.1
            name = self.rng.choice(self.network.names)
            delay_s = self.rng.choice((0, 0, 0, 1.5))
            self.network.at(self.network.now + delay_s, self.receive, upstream.announce(), name)
            self.network.at(self.network.now + VALID_S / 3, self.keep_announcing, upstream, boot)

    def toggle_upstream(self):
        network, rng = self.network, self.rng
        if network.now >= FAULTS_END_S:
            return
        network.at(network.now + rng.uniform(0.5, 2), self.toggle_upstream)
        upstream = rng.choice([u for u in self.upstreams if u.can_restart])
        if not upstream.is_alive:
            port = rng.choice((upstream.port, next(self.ports)))
            upstream.restart(network.now, port)
            self.keep_announcing(upstream, upstream.boot)
            return
        upstream.is_alive = False
        name = rng.choice(network.names)
        departure_kind = rng.randrange(3)
        if departure_kind == 0:
            network.tell(name, DepartureReceived(upstream.name, upstream.boot_id))
        elif departure_kind == 1:
            self.receive(upstream.announce(leaving=True), name)
        stale = upstream.announce()
        network.at(network.now + rng.uniform(0, 4), self.receive, stale, rng.choice(network.names))

    def inject_network_fault(self):
        network, rng = self.network, self.rng
        network.is_partitioned = network.is_stalled = lambda source, target: False
        network.release_stalled()
        if network.now >= FAULTS_END_S:
            network.loss = network.duplication = 0.0
            return
        network.at(network.now + rng.uniform(2, 8), self.inject_network_fault)
        group = set(rng.sample(network.names, rng.randrange(1, 4)))
        network_fault = rng.choice(("partition", "stall", "none"))
        if network_fault == "partition":
            network.is_partitioned = lambda source, target: (source in group) != (target in group)
        elif network_fault == "stall":
            network.is_stalled = lambda source, target: source in group

    def restart_node(self):
        network, rng = self.network, self.rng
        if network.now >= FAULTS_END_S:
            return
        network.at(network.now + rng.uniform(3, 10), self.restart_node)
        name = rng.choice(network.names)
        if name in network.cores:
            network.stop(name)
            network.at(network.now + rng.uniform(0, 3), network.start, name)

    def observe(self, name, action):
        boot = self.network.boots[name]
        if isinstance(action, UpstreamRemoved) and action.reason is RemovalReason.LEFT:
            self.left_at[name, boot, action.upstream_id, action.boot_id] = self.network.now
        if not isinstance(action, UpstreamAnnounced):
            return
        self.update_count += 1
        announcement = action.announcement
        key = (announcement.upstream_id, announcement.boot_id)
        assert (name, boot, *key) not in self.left_at, f"{key} listed again at {name} after it left"
        last = self.sequences.get((name, boot, *key), -1)
        assert announcement.sequence > last, f"sequence of {key} decreased at {name}"
        self.sequences[name, boot, *key] = announcement.sequence
        deadline = action.deadline - self.network.offsets[name]
        limit = self.received_at[make_announcement_key(announcement)] + VALID_S + DELAY_SLACK_S
        assert deadline <= limit, f"validity of {key} was extended at {name}: {deadline - limit}"

    def check(self):
        """Run to the end and check that all nodes list exactly the live upstreams and nodes."""
        network = self.network
        network.run(CHECK_AT_S)
        expected = {u.name: u.boot_id for u in self.upstreams if u.is_alive}
        for name in network.names:
            listed = {key: a.boot_id for key, a in network.list_upstreams(name).items()}
            assert listed == expected, f"{name}: listed {listed}, expected {expected}"
            peers = {record.name: record.boot_id for record in network.cores[name].peers()}
            boots = {n: f"{n}-{network.boots[n]}" for n in network.names}
            assert peers == boots, f"{name}: nodes {peers}, expected {boots}"
        addresses = [
            {key: (a.host, a.port) for key, a in network.list_upstreams(name).items()}
            for name in network.names
        ]
        assert all(listed == addresses[0] for listed in addresses), addresses
        digests = {core.keys_.digest_ for core in network.cores.values()}
        assert len(digests) == 1, "digests differ"
        refused = {key[1] for key in network.counts if key[0] == "membership_announcement_refused"}
        assert refused >= REFUSED, refused
        check_budget(network, network.parameters.get("budget_bytes", 4_096))


def make_announcement_key(announcement):
    """Return a key that is unique even if two upstreams share an id and a boot id."""
    boot = (announcement.upstream_id, announcement.boot_id, announcement.port)
    return *boot, announcement.sequence


def check_budget(network, limit):
    """Check that no boot of a node exceeds the limit in any window of one second.

    :param limit: maximum in one second, bytes.
    """
    for name, records in network.sent.items():
        start, used = 0, 0
        for time, boot, _, size in records:
            used += size
            while records[start][1] != boot or records[start][0] <= time - 1.0:
                used -= records[start][3]
                start += 1
            assert used <= limit, f"{name} sent {used} bytes in the second until {time}"
