"""Tests of propagation and of its cost between several cores."""

from sassafrashook.membership import DepartureReceived
from sassafrashook.membership.tests.network import Network, make_announcement

NAMES = [f"r{index}" for index in range(7)]


def test_announcement_reaches_all_nodes():
    network = Network(1, NAMES)
    network.run(5.0)
    network.announce("r3", make_announcement())
    network.run(7.0)
    assert all("engine-1" in network.list_upstreams(name) for name in NAMES)


def test_departure_reaches_all_nodes_and_supersedes_late_refresh():
    network = Network(2, NAMES)
    network.announce("r3", make_announcement())
    network.run(5.0)
    network.tell("r1", DepartureReceived("engine-1", "b1"))
    network.run(7.0)
    for name in NAMES:
        assert network.list_upstreams(name) == {}
        network.announce(name, make_announcement(sequence=9))
        assert network.list_upstreams(name) == {}


def test_traffic_is_independent_of_number_of_upstreams():
    usage = []
    for length in (10, 200):
        network = Network(3, NAMES)
        for index in range(length):
            announcement = make_announcement(f"engine-{index}", port=1 + index, valid_ms=60_000)
            network.announce(NAMES[index % 7], announcement)
        network.run(35.0)
        assert all(len(network.list_upstreams(name)) == length for name in NAMES)
        sent = [s for name in NAMES for (t, _, _, s) in network.sent[name] if t >= 25.0]
        usage.append(sum(sent) / 7 / 10)
    assert usage[1] <= usage[0] * 1.05, usage


def test_restarted_node_synchronises_within_one_second():
    network = Network(4, NAMES)
    for index in range(18):
        announcement = make_announcement(f"engine-{index}", port=1 + index, valid_ms=60_000)
        network.announce(NAMES[index % 7], announcement)
    network.tell("r1", DepartureReceived("engine-99", "b1"))
    network.run(20.0)
    network.stop("r4")
    network.run(21.0)
    network.start("r4")
    network.run(22.0)
    assert network.cores["r4"].synchronized_
    assert len(network.list_upstreams("r4")) == 18
    network.announce("r4", make_announcement("engine-99", sequence=9))
    assert "engine-99" not in network.list_upstreams("r4")


def test_traffic_per_node_is_independent_of_number_of_nodes():
    usage = []
    for count in (40, 80):
        names = [f"r{index}" for index in range(count)]
        network = Network(5, names)
        for index in range(10):
            announcement = make_announcement(f"engine-{index}", port=1 + index, valid_ms=60_000)
            network.announce(names[index], announcement)
        network.run(40.0)
        sent = [s for name in names for (t, _, _, s) in network.sent[name] if t >= 30.0]
        usage.append(sum(sent) / count / 10)
    assert usage[1] <= usage[0] * 1.05, usage


def test_nodes_discover_one_another_and_reconnect_after_partition():
    network = Network(7, NAMES, seeds=["r0"])
    network.run(5.0)
    assert all(len(network.cores[name].peers()) == 7 for name in NAMES)
    far = {"r4", "r5", "r6"}
    network.is_partitioned = lambda source, target: (source in far) != (target in far)
    network.run(60.0)
    assert {record.name for record in network.cores["r4"].peers()} == far
    assert {record.name for record in network.cores["r1"].peers()} == set(NAMES) - far
    network.announce("r4", make_announcement(valid_ms=60_000))
    network.is_partitioned = lambda source, target: False
    network.run(70.0)
    for name in NAMES:
        assert len(network.cores[name].peers()) == 7
        assert list(network.list_upstreams(name)) == ["engine-1"]
