"""Tests of the decision whose connection is closed when memory or descriptors run out."""

import random
from collections import Counter

import pytest

from sassafrashook.clients import (
    ClientBudget,
    ClientPhase,
    ClientShare,
    EvictionReason,
    compute_connection_limit,
    compute_memory_limit_bytes,
)
from sassafrashook.clients._budget import CONNECTION_BYTES

MIB = 1_048_576


class Client:
    def __init__(self, budget, now):
        self.reason = None
        self.share = budget.open_share(self.evict, now)

    def evict(self, reason):
        self.reason = reason

    def read(self, data_bytes, now, since):
        self.share.begin(ClientPhase.READING, since)
        return self.share.hold(data_bytes, now)


def test_whoever_holds_most_for_longest_is_evicted_first():
    """Guards against a crowd that takes the memory of ordinary clients."""
    budget = ClientBudget(8 * MIB, None)
    old, young, ordinary = (Client(budget, 0.0) for _ in range(3))
    assert old.read(4 * MIB, 5.0, since=0.0)
    assert young.read(3 * MIB, 5.0, since=4.9)
    assert ordinary.read(MIB, 5.0, since=4.0)
    assert (old.reason, young.reason, ordinary.reason) == (EvictionReason.MEMORY, None, None)


def test_an_incomplete_body_is_evicted_before_a_long_stream():
    """Guards against crowds that end streams, which have lasted longer than any incomplete body."""
    budget = ClientBudget(MIB, None)
    stream, crowd = Client(budget, 0.0), Client(budget, 0.0)
    stream.share.hold(20_000, 0.0)
    stream.share.begin(ClientPhase.RUNNING, 0.0)
    assert not crowd.read(MIB, 600.0, since=599.0)
    assert stream.reason is None


def test_the_client_that_waited_longest_makes_room_for_a_new_connection():
    """Guards against idle connections and incomplete heads that keep other clients out."""
    budget = ClientBudget(None, 3)
    running, idle, reading = (Client(budget, 0.0) for _ in range(3))
    running.share.begin(ClientPhase.RUNNING, 0.0)
    idle.share.begin(ClientPhase.IDLE, 1.0)
    reading.share.begin(ClientPhase.READING, 2.0)
    assert Client(budget, 3.0).share is not None
    assert idle.reason is EvictionReason.DESCRIPTORS
    for share in budget.shares_:
        share.begin(ClientPhase.RUNNING, 3.0)
    assert Client(budget, 4.0).share is None


def test_random_clients_stay_within_the_budget():
    """Guards against a sum that drifts from what the connections hold."""
    rng = random.Random(1)
    budget, clients = ClientBudget(2 * MIB, 20), []
    for step in range(5_000):
        now = step / 10
        clients = [client for client in clients if client.reason is None]
        if not clients or rng.random() < 0.2:
            client = Client(budget, now)
            clients += [client] if client.share is not None else []
        elif rng.random() < 0.1:
            clients.pop().share.close()
        else:
            client = rng.choice(clients)
            client.share.begin(rng.choice(list(ClientPhase)), now)
            client.share.hold(rng.randrange(MIB), now)
        assert budget.used_bytes_ == sum(share.held_bytes_ for share in budget.shares_)
        assert budget.used_bytes_ <= 2 * MIB
        assert len(budget.shares_) <= 20


def test_without_stated_limits_there_is_no_budget():
    """Guards against a change for deployments that state no limits."""
    assert compute_memory_limit_bytes(None) is None
    assert compute_connection_limit(0) is None


@pytest.mark.parametrize("count", [5, 70, 300, 2_000])
def test_eviction_compares_all_connections_once_for_a_sixteenth_of_the_memory(count, monkeypatch):
    """Guards against a crowd that keeps the process busy with the choice of whom to evict."""
    comparisons = Counter()
    measure = ClientShare.measure_claim

    def measure_claim(share, now):
        comparisons["shares"] += 1
        return measure(share, now)

    monkeypatch.setattr(ClientShare, "measure_claim", measure_claim)
    budget = ClientBudget(128 * MIB, None)
    clients = [Client(budget, 0.0) for _ in range(count)]
    used_bytes, part_bytes = count * CONNECTION_BYTES, 16_384
    while used_bytes < 1_024 * MIB:
        for client in clients:
            held_bytes = client.share.held_bytes_ - CONNECTION_BYTES
            if client.reason is None and held_bytes < 4 * MIB:
                client.read(held_bytes + part_bytes, 1.0, since=0.0)
            elif client.reason is None:
                client.read(0, 1.0, since=1.0)
            else:
                client.share.close()
                client.reason, client.share = None, budget.open_share(client.evict, 1.0)
                used_bytes += CONNECTION_BYTES
            used_bytes += part_bytes
    passes = used_bytes / (128 * MIB / 16)
    assert comparisons["shares"] <= passes * count


def test_what_an_evicted_connection_holds_is_used_until_it_is_closed():
    """Guards against memory of connections on their way out that nobody counts."""
    budget = ClientBudget(8 * MIB, None)
    evicted, other = Client(budget, 0.0), Client(budget, 0.0)
    evicted.read(6 * MIB, 1.0, since=0.0)
    assert other.read(3 * MIB, 1.0, since=0.9)
    assert evicted.reason is EvictionReason.MEMORY
    assert other.share.is_exceeded()
    evicted.share.close()
    assert not other.share.is_exceeded()
    assert budget.evicted_bytes_ == 0


def test_closing_connections_take_an_eighth_and_the_oldest_ones_end():
    """Guards against refused clients that keep others out while they read nothing."""
    budget = ClientBudget(8 * MIB, 80)
    clients = [Client(budget, 0.0) for _ in range(60)]
    for number, client in enumerate(clients):
        client.share.begin(ClientPhase.CLOSING, float(number))
    assert [client.reason for client in clients] == [EvictionReason.CLOSING] * 50 + [None] * 10


def test_refused_connection_that_closes_counts_as_open():
    """Guards against refused clients that take descriptors beyond the limit."""
    budget = ClientBudget(8 * MIB, 2)
    refused, other = Client(budget, 0.0), Client(budget, 0.0)
    refused.read(9 * MIB, 1.0, since=0.0)
    assert refused.reason is EvictionReason.MEMORY
    refused.share.hold(0, 1.0)
    refused.share.begin(ClientPhase.CLOSING, 1.0)
    assert len(budget.shares_) == 2
    Client(budget, 2.0)
    assert refused.reason is EvictionReason.DESCRIPTORS and other.reason is None
