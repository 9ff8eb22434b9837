"""Large entries on slow links: the group neither loses its leader nor falls behind.

The replicas' messages pass the send queues of the transport and a link per host that transmits at
a fixed number of bytes per second, in the order in which it is given them.
"""

import json
import math
import os
import random
import zlib

import msgspec
import pytest

from sassafrashook.consensus import (
    CONSENSUS_MESSAGES,
    Proposal,
    ProposalsSubmitted,
    Role,
)
from sassafrashook.consensus._messages import AppendRequested
from sassafrashook.consensus.tests.harness import FaultConfig, Simulation
from sassafrashook.daemons._controller import (
    CONSENSUS_HEARTBEAT_MS,
    ELECTION_MAX_MS,
    ELECTION_MIN_MS,
)
from sassafrashook.fleet._state import PutConfiguration, encode_command
from sassafrashook.platform._configuration import decode_configuration
from sassafrashook.platform.tests.documents import make_config
from sassafrashook.transport import Codec
from sassafrashook.transport._control_messages import CONTROL_MESSAGES, MessagePart
from sassafrashook.transport._outgoing import LinkPacer, MessageAssembler, OutgoingMessages

RUNS = int(os.environ.get("SOAK", "2"))
FIRST_SEED = int(os.environ.get("SEED", "1"))
LINK_BYTES_PER_S = 750_000  # 6 Mbit/s
LINK_DELAY_S = 0.005
CHANGES = 12
ROUTES_PER_CHANGE = 350
CHANGE_INTERVAL_S = 1.5
ACKNOWLEDGE_TIMEOUT_S = 4.0
BATCH_BYTES = 262_144
# Each entry is sent to each follower once; heartbeats, parts and replies take the rest.
MAX_OVERHEAD = 1.25
MAX_SILENCE_S = 2 * CONSENSUS_HEARTBEAT_MS / 1_000
PARAMETERS = {
    "heartbeat_ms": CONSENSUS_HEARTBEAT_MS,
    "election_min_ms": ELECTION_MIN_MS,
    "election_max_ms": ELECTION_MAX_MS,
    "snapshot_entries": 1,
    "trailing_entries": 2,
    "snapshot_piece_bytes": 256 * 1024,
    "max_in_flight_entries": 1024,
    "max_batch_entries": 256,
    "tolerated_losses": 2,
    "automatic_membership": True,
}


def make_commands():
    """Return the log entries of a configuration that grows to about 830 KB."""
    rng = random.Random(1)
    config = make_config(1)
    template = config["route_table"][2]
    commands = []
    for version in range(2, CHANGES + 2):
        config["version"] = version
        for _ in range(ROUTES_PER_CHANGE):
            name = f"r-{rng.getrandbits(40):x}"
            config["route_table"].append({**template, "name": name, "path_prefix": f"/{name}/"})
        document = json.dumps(config).encode()
        parsed = msgspec.msgpack.encode(decode_configuration(document).unwrap())
        packed = (zlib.compress(document, 6), zlib.compress(parsed, 6))
        commands.append((len(document), encode_command(PutConfiguration(version, *packed))))
    return commands


COMMANDS = make_commands()


class QueueInOrder(OutgoingMessages):
    """Writes all messages in the order in which they are put, as soon as possible."""

    def put(self, message):
        self._small.append(message)


class PacedSimulation(Simulation):
    """Hosts whose messages share one link of limited bandwidth per host.

    :ivar longest_silence_s: longest time between two requests of a leader to one host, seconds.
    :ivar committed_at: time at which each command was first applied, by its data.
    :ivar sent_bytes: bytes that each host has sent.
    """

    def __init__(
        self,
        seed,
        peers_read_parts=True,
        queue=OutgoingMessages,
        link_bytes_per_s=LINK_BYTES_PER_S,
    ):
        parameters = {**PARAMETERS, "link_bytes_per_s": link_bytes_per_s}
        super().__init__(seed, 5, FaultConfig(initial_size=3, parameters=parameters))
        self.codec = Codec((*CONSENSUS_MESSAGES, *CONTROL_MESSAGES))
        self.peers_read_parts = peers_read_parts
        self.queue = queue
        self.pacers = {name: LinkPacer(LINK_BYTES_PER_S) for name in self.names}
        self.free_at = dict.fromkeys(self.names, 0.0)
        self.sent_bytes = dict.fromkeys(self.names, 0)
        self.queues = {}
        self.assemblers = {}
        self.elections = 0
        self.requested_at = {}
        self.longest_silence_s = 0.0
        self.committed_at = {}

    def _transmit_message(self, sender, action):
        pair = (sender, action.peer)
        if pair not in self.queues:
            self.queues[pair] = self.queue(self.codec.encode, self.pacers[sender])
            self.queues[pair].reads_parts_ = self.peers_read_parts
            self.assemblers[pair] = MessageAssembler()
        self.queues[pair].put(action.message)
        self.schedule(self.now, lambda: self._write(pair))

    def _write(self, pair):
        """Give the link what the queue lets pass now, as the transport does."""
        data, next_due = self.queues[pair].take(self.now, BATCH_BYTES)
        if data:
            sender = pair[0]
            self.sent_bytes[sender] += len(data)
            start = max(self.now, self.free_at[sender])
            self.free_at[sender] = start + len(data) / LINK_BYTES_PER_S
            self.schedule(self.free_at[sender] + LINK_DELAY_S, lambda: self._receive(pair, data))
        if next_due < math.inf:
            self.schedule(max(next_due, self.now), lambda: self._write(pair))

    def _receive(self, pair, data):
        for message in self.codec.decode_chunk(self.codec.make_unpacker(), data):
            if isinstance(message, MessagePart):
                whole = self.assemblers[pair].add(message)
                if whole is not None:
                    self._deliver(pair, self.codec.decode(whole))
            else:
                self._deliver(pair, message)

    def _deliver(self, pair, message):
        if isinstance(message, AppendRequested):
            self._record_request(pair)
        self.hosts[pair[1]].handle(message)

    def _record_request(self, pair):
        silence_s = self.now - self.requested_at.get(pair, self.now)
        self.longest_silence_s = max(self.longest_silence_s, silence_s)
        self.requested_at[pair] = self.now

    def _apply(self, host, entries):
        for entry in entries:
            self.committed.setdefault(entry.index, entry)
            host.applied_index = entry.index
            self.committed_at.setdefault(entry.data, self.now)
        host.digest = b"%d" % host.applied_index

    def _restore(self, host, snapshot):
        host.applied_index = snapshot.index
        host.digest = snapshot.data

    def _check_leases(self):
        pass

    def _check_leader(self, host, action):
        self.elections += action.role is Role.LEADER
        super()._check_leader(host, action)

    def find_leader(self):
        return next(h for h in self.hosts.values() if h.core.get_leading_term(h.clock()))

    def run_changes(self):
        """Let the leader commit one change after the other; :returns: the delays, seconds."""
        for host in self.hosts.values():
            host.start()
        self.run_until(3.0)
        self.elections = 0
        self.sent_bytes = dict.fromkeys(self.names, 0)
        self.requested_at.clear()
        self.longest_silence_s = 0.0
        started_at = {}
        for token, (_, command) in enumerate(COMMANDS):
            started_at[command] = self.now
            leader = self.find_leader()
            leader.handle(ProposalsSubmitted((Proposal(token, command),)))
            self.run_until(self.now + CHANGE_INTERVAL_S)
        self.run_until(self.now + 2.0)
        return [self.committed_at[command] - started_at[command] for _, command in COMMANDS]


@pytest.mark.parametrize("peers_read_parts", [True, False])
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_growing_documents_neither_cost_the_leader_nor_fill_its_link(seed, peers_read_parts):
    """Guards against heartbeats that queue behind documents, and documents sent again meanwhile."""
    simulation = PacedSimulation(seed, peers_read_parts)
    delays = simulation.run_changes()
    assert COMMANDS[-1][0] > 800_000
    assert simulation.elections == 0
    assert max(delays) < ACKNOWLEDGE_TIMEOUT_S
    wanted = 4 * sum(len(command) for _, command in COMMANDS)
    leader = simulation.find_leader()
    sent = simulation.sent_bytes[leader.name]
    print(
        f"document {COMMANDS[-1][0]} B, entry {len(COMMANDS[-1][1])} B, delay {max(delays):.2f} s"
    )
    print(f"wanted {wanted} B, sent {sent} B, silence {simulation.longest_silence_s:.3f} s")
    assert sent < MAX_OVERHEAD * wanted
    assert sent < LINK_BYTES_PER_S * CHANGES * CHANGE_INTERVAL_S / 2
    limit_s = MAX_SILENCE_S if peers_read_parts else ELECTION_MIN_MS / 1_000 / 2
    assert simulation.longest_silence_s < limit_s


def test_simulation_detects_heartbeats_behind_documents():
    simulation = PacedSimulation(1, queue=QueueInOrder)
    simulation.run_changes()
    assert simulation.longest_silence_s > ELECTION_MIN_MS / 1_000


def test_simulation_detects_entries_sent_again_while_they_are_transmitted():
    simulation = PacedSimulation(1, link_bytes_per_s=math.inf)
    simulation.run_changes()
    leader = simulation.find_leader()
    wanted = 4 * sum(len(command) for _, command in COMMANDS)
    assert simulation.sent_bytes[leader.name] > MAX_OVERHEAD * wanted
