"""Discrete-event simulation of a network of membership cores, with fault injection."""

import heapq
import itertools
import random

import msgspec

from sassafrashook.membership import (
    AnnouncementReceived,
    Count,
    MembershipCore,
    MessageReceived,
    PeerRecord,
    ProbeCompleted,
    ProbePeer,
    SeedsChanged,
    Send,
)
from sassafrashook.messages import UpstreamAnnouncement, UpstreamKind

ENCODER = msgspec.msgpack.Encoder()


def measure(message):
    return len(ENCODER.encode(message))


def make_announcement(name="engine-1", boot="b1", sequence=1, **changes):
    fields = {
        "upstream_id": name,
        "kind": UpstreamKind.ENGINE,
        "service": "stock-advisory",
        "host": "10.1.0.1",
        "port": 8000,
        "availability_zone": "muscat-a",
        "boot_id": boot,
        "sequence": sequence,
        "incarnation": 1_000,
        "capacity": 16,
        "cold_capacity": 2,
        "valid_ms": 10_000,
    }
    return UpstreamAnnouncement(**(fields | changes))


class Network:
    """Simulated network of cores, each with its own clock offset.

    Cores are addressed by name. Links can lose, duplicate, delay and stall messages, and can be
    partitioned.
    """

    def __init__(self, seed, names, seeds=None, **parameters):
        self.rng = random.Random(seed)
        self.seeds = names if seeds is None else seeds
        self.parameters = parameters
        self.names = list(names)
        self.now = 0.0
        self.queue = []
        self.event_numbers = itertools.count()
        self.cores = {}
        self.boots = dict.fromkeys(names, 0)
        self.offsets = {}
        self.counts = {}
        self.sent = {name: [] for name in names}
        self.delay = lambda source, target: self.rng.uniform(0.0005, 0.002)
        self.is_partitioned = lambda source, target: False
        self.loss = 0.0
        self.duplication = 0.0
        self.is_stalled = lambda source, target: False
        self.stalled_envelopes = []
        self.established = set()
        self.observe = lambda name, action: None
        for name in self.names:
            self.at(0.0, self.start, name)
        self.run(0.0)

    def start(self, name):
        boot = self.boots[name] = self.boots[name] + 1
        index = self.names.index(name)
        host = f"10.0.{index // 250}.{index % 250 + 1}"
        record = PeerRecord(name, "router", host, 7000, "muscat-a", f"{name}-{boot}", boot)
        core = MembershipCore(record, random.Random(self.rng.random()), measure, **self.parameters)
        self.offsets[name] = self.rng.uniform(0, 1_000)
        self.cores[name] = core
        self.execute(name, core.start(self.clock(name)))
        self.tell(name, SeedsChanged(tuple(n for n in self.seeds if n != name)))

    def stop(self, name):
        del self.cores[name]

    def clock(self, name):
        return self.now + self.offsets[name]

    def tell(self, name, event):
        if name in self.cores:
            self.execute(name, self.cores[name].handle(event, self.clock(name)))

    def announce(self, name, announcement):
        self.tell(name, AnnouncementReceived(announcement))

    def at(self, time, function, *arguments):
        heapq.heappush(self.queue, (time, next(self.event_numbers), function, arguments))

    def execute(self, name, actions):
        for action in actions:
            if isinstance(action, Send):
                self.transmit(name, action.peer, action.message)
            elif isinstance(action, Count):
                key = (action.name, str(action.attribute))
                self.counts[key] = self.counts.get(key, 0) + action.amount
            elif isinstance(action, ProbePeer):
                alive = action.peer in self.cores and not self.is_partitioned(name, action.peer)
                self.at(self.now + 0.01, self.tell, name, ProbeCompleted(action.peer, alive))
            else:
                self.observe(name, action)
        if name in self.cores:
            self.schedule(name)

    def schedule(self, name):
        core = self.cores[name]
        deadline = core.next_deadline()
        if getattr(core, "scheduled", None) != deadline:
            core.scheduled = deadline
            self.at(deadline - self.offsets[name], self.wake, name, core, deadline)

    def wake(self, name, core, deadline):
        if self.cores.get(name) is core and core.scheduled == deadline:
            core.scheduled = None
            self.execute(name, core.advance(max(self.clock(name), deadline)))

    def transmit(self, source, target, message):
        record = (self.now, self.boots[source], type(message).__name__, measure(message))
        self.sent[source].append(record)
        if self.is_partitioned(source, target) or self.rng.random() < self.loss:
            return
        envelope = (source, target, self.boots[source], self.boots[target], message)
        if self.is_stalled(source, target) and envelope[:4] in self.established:
            self.stalled_envelopes.append(envelope)
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            self.at(self.now + self.delay(source, target), self.deliver, envelope)

    def release_stalled(self):
        """Deliver the messages of stalled connections.

        The first message on a connection is never stalled: a new connection always works.
        """
        envelopes, self.stalled_envelopes = self.stalled_envelopes, []
        for envelope in envelopes:
            self.deliver(envelope)

    def deliver(self, envelope):
        source, target, _, target_boot, message = envelope
        if self.boots[target] == target_boot and not self.is_partitioned(source, target):
            self.established.add(envelope[:4])
            self.tell(target, MessageReceived(source, message))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            time, _, function, arguments = heapq.heappop(self.queue)
            self.now = max(self.now, time)
            function(*arguments)
        self.now = until

    def list_upstreams(self, name):
        return {a.upstream_id: a for a in self.cores[name].upstreams(self.clock(name))}
