"""Through which routers one router forwards requests, in fleets of different sizes, without I/O."""

import random

import pytest

from sassafrashook.paths import MAX_PEERS_PER_REQUEST, PeerSelector

REQUESTS_PER_S = 4
LEARNING_S = 3.0  # contact timeout of the platform
MEASURED_S = 5.0
MIN_SHARE = 2 / 3  # of what routers with paths serve, which is all


def count_served(routers, reaching, seed):
    """Forward requests of one router; :returns: the shares served in the measured time."""
    names = [f"r{number}" for number in range(routers)]
    rng = random.Random(seed)
    able = set(rng.sample(names[1:], reaching))
    peers = PeerSelector("r0", random.Random(f"{seed}-peers"))
    served = []
    for number in range(round((LEARNING_S + MEASURED_S) * REQUESTS_PER_S)):
        now, asked = number / REQUESTS_PER_S, set()
        while len(asked) < MAX_PEERS_PER_REQUEST and not asked & able:
            peer = peers.select("s", names, asked, now)
            if peer is None:
                break
            asked.add(peer)
            if peer in able:
                peers.record_success("s", peer, now)
            else:
                peers.record_refusal("s", peer, now)
        if now >= LEARNING_S:
            served.append(bool(asked & able))
    return sum(served) / len(served)


@pytest.mark.parametrize("routers, reaching", [(5, 1), (16, 4), (70, 10), (70, 5), (300, 15)])
def test_most_requests_are_served_where_few_routers_reach_upstreams(routers, reaching):
    shares = [count_served(routers, reaching, seed) for seed in range(40)]
    assert sum(shares) / len(shares) >= MIN_SHARE


def test_router_that_served_a_request_is_asked_again_before_others():
    peers = PeerSelector("r0", random.Random(1))
    routers = [f"r{number}" for number in range(100)]
    peers.record_success("s", "r7", 0.0)
    asked = [peers.select("s", routers, (), 0.1) for _ in range(100)]
    assert asked.count("r7") > 50
    assert len(set(asked)) > 10


def test_router_that_served_a_request_is_asked_although_many_others_refused():
    peers = PeerSelector("r0", random.Random(1))
    routers = [f"r{number}" for number in range(100)]
    peers.record_success("s", "r7", 0.0)
    for number in range(20, 60):
        peers.record_refusal("s", f"r{number}", 0.1)
    assert {peers.select("s", routers, (), 0.2) for _ in range(20)} == {"r7"}


@pytest.mark.parametrize("routers", [5, 70, 300])
def test_few_routers_are_probed_until_enough_are_reached(routers):
    peers = PeerSelector("r0", random.Random(1))
    names = [f"r{number}" for number in range(routers)]
    probes = 0
    for number in range(20):
        targets = peers.take_probe_targets(names, 0.25 * number)
        probes += len(targets)
        for name in targets:
            peers.record_probe(name, True, 0.25 * number)
    assert probes <= 8
    assert peers.select("s", names, (), 5.0, is_reached_only=True) is not None


def test_router_that_was_not_reached_is_not_asked_if_only_reached_ones_may_be():
    peers = PeerSelector("r0", random.Random(1))
    routers = ("r0", "r1", "r2")
    peers.record_probe("r1", False, 0.0)
    assert peers.select("s", routers, (), 0.1, is_reached_only=True) is None
    peers.record_probe("r2", True, 0.1)
    assert peers.select("s", routers, (), 0.2, is_reached_only=True) == "r2"
