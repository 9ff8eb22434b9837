"""Registrations merge to the same result in any order."""

import itertools
import random

import msgspec
import pytest

from sassafrashook.registry import Registration, RegistrationState, Registry

READY = RegistrationState.READY
DRAINING = RegistrationState.DRAINING
LEFT = RegistrationState.LEFT
SILENT = RegistrationState.SILENT
RECALLED = RegistrationState.RECALLED


def make(name="a", boot=100, sequence=1, state=READY, host="10.0.0.1", cold_ms=0.0):
    return Registration(
        name, boot, sequence, state, "advisor", host, 80, "z", "v1", 8, cold_ms
    )  # fmt: skip


def read(registry):
    return {n: (e.boot_ms, e.sequence, e.state) for n, e in registry.entries_.items()}


HISTORY = [
    make(sequence=1),
    make(sequence=2),
    make(sequence=3, state=DRAINING),
    make(boot=200, sequence=1),
    make(boot=200, sequence=2),
]


def test_every_order_of_arrival_ends_alike():
    ends = set()
    for order in itertools.permutations(HISTORY):
        registry = Registry(10.0)
        for entry in order:
            registry.merge(entry, 0.0)
        ends.add(str(read(registry)))
    assert ends == {str({"a": (200, 2, READY)})}


def test_an_old_heartbeat_does_not_bring_back_a_boot():
    registry = Registry(10.0)
    registry.merge(make(boot=200), 0.0)
    assert not registry.merge(make(boot=100, sequence=99), 1.0)
    assert read(registry) == {"a": (200, 1, READY)}


@pytest.mark.parametrize("known", [True, False])
def test_an_old_heartbeat_does_not_bring_back_what_left(known):
    registry = Registry(10.0)
    if known:
        registry.merge(make(sequence=5), 0.0)
    registry.remove("a", 1.0, wall_ms=1_000)
    assert not registry.merge(make(sequence=6), 2.0)
    assert registry.list_usable() == []


def test_a_later_boot_of_what_left_is_usable():
    registry = Registry(10.0)
    registry.remove("a", 1.0, wall_ms=1_000)
    assert registry.merge(make(boot=2_000), 2.0)
    assert [e.boot_ms for e in registry.list_usable()] == [2_000]


def test_of_two_at_one_address_the_later_boot_holds_it():
    registry = Registry(10.0)
    registry.merge(make("b", boot=300), 0.0)
    registry.merge(make("a", boot=200), 0.0)
    assert [e.upstream_id for e in registry.list_usable()] == ["b"]


def test_leaving_upstreams_get_nothing_and_stay_sources():
    registry = Registry(10.0)
    registry.merge(make(state=DRAINING), 0.0)
    assert registry.list_usable() == []
    assert [e.upstream_id for e, _ in registry.list_leaving(0.0)] == ["a"]


def test_an_upstream_that_leaves_without_draining_stays_a_source_for_a_while():
    registry = Registry(10.0, leave_s=2.0)
    registry.merge(make(), 0.0)
    registry.remove("a", 5.0, 0)
    assert registry.list_usable() == []
    assert [(e.upstream_id, until) for e, until in registry.list_leaving(6.9)] == [("a", 7.0)]
    assert registry.list_leaving(7.0) == []


def test_an_upstream_that_has_drained_is_no_source_once_it_has_left():
    registry = Registry(10.0, leave_s=2.0)
    registry.merge(make(), 0.0)
    registry.merge(make(sequence=2, state=DRAINING), 1.0)
    registry.remove("a", 5.0, 0)
    assert registry.list_leaving(5.0) == []


def test_heartbeats_alone_are_not_spread():
    registry = Registry(10.0)
    registry.merge(make(sequence=1), 0.0)
    revision = registry.revision_
    registry.merge(make(sequence=2), 1.0)
    assert registry.revision_ == revision


def test_silence_is_noticed_and_ends_with_a_heartbeat_heard_elsewhere():
    registry = Registry(4.0)
    registry.merge(make(sequence=1), 0.0)
    assert registry.expire(5.0) == ["a"]
    registry.note_heartbeat("a", 100, 2, 6.0)
    assert read(registry) == {"a": (100, 2, READY)}
    assert [e.state for e in registry.list_changes(1, 6.0)] == [READY]


def test_heartbeats_heard_elsewhere_prevent_silence():
    registry = Registry(4.0)
    registry.merge(make(sequence=1), 0.0)
    registry.note_heartbeat("a", 100, 2, 3.0)
    assert registry.expire(5.0) == []


def test_recalled_upstreams_are_usable_and_cold_until_they_are_heard_again():
    registry = Registry(10.0)
    registry.recall([make(sequence=4)], 2.4, 100.0)
    (entry,) = registry.list_usable()
    assert (entry.state, entry.cold_ms) == (RECALLED, pytest.approx(2_400.0))
    assert registry.merge(make(sequence=5), 101.0)
    assert (read(registry), registry.forget_recalled(200.0)) == ({"a": (100, 5, READY)}, [])
    assert registry.cold_until_["a"] <= 101.0


def test_recalled_upstreams_that_are_not_heard_again_are_forgotten():
    registry = Registry(10.0)
    registry.recall([make(sequence=4)], 2.4, 100.0)
    assert registry.forget_recalled(102.3) == []
    assert registry.forget_recalled(102.5) == ["a"]
    assert registry.list_usable() == []
    assert registry.merge(make(sequence=2), 103.0)


@pytest.mark.parametrize("known", [make(sequence=4), make(sequence=4, state=DRAINING)])
def test_what_a_node_knows_is_newer_than_the_same_recalled(known):
    registry = Registry(10.0)
    registry.merge(known, 99.0)
    registry.recall([make(sequence=4)], 2.4, 100.0)
    assert read(registry) == {"a": (100, 4, known.state)}


def test_leaving_upstreams_are_recalled_as_leaving_and_silent_ones_are_not():
    registry = Registry(10.0)
    saved = [make("a", state=DRAINING), make("b", state=LEFT), make("c", state=SILENT)]
    registry.recall(saved, 2.4, 100.0)
    assert registry.list_usable() == []
    assert [e.upstream_id for e, _ in registry.list_leaving(100.0)] == ["a"]
    assert not registry.merge(make("b", sequence=1), 101.0)


def test_a_warm_up_is_told_with_what_is_left_of_it():
    registry = Registry(10.0)
    registry.merge(make(cold_ms=3_000.0), 10.0)
    (change,) = registry.list_changes(0, 11.0)
    assert change.cold_ms == pytest.approx(2_000.0)


def test_an_upstream_that_turns_cold_is_spread():
    registry = Registry(10.0)
    registry.merge(make(sequence=1), 0.0)
    assert registry.merge(make(sequence=2, cold_ms=3_000.0), 1.0)


@pytest.mark.parametrize("seed", range(20))
def test_nodes_that_exchange_changes_agree(seed):
    rng = random.Random(seed)
    nodes = [Registry(1_000.0) for _ in range(4)]
    for step in range(200):
        entry = make(
            rng.choice("abcd"), rng.choice((100, 200, 300)), rng.randrange(30),
            rng.choice((READY, DRAINING)), f"10.0.0.{rng.randrange(3)}",
        )  # fmt: skip
        rng.choice(nodes).merge(entry, step)
    for _ in range(3):
        for source, target in itertools.permutations(nodes, 2):
            for entry in source.list_changes(0, 200.0):
                target.merge(
                    msgspec.msgpack.decode(msgspec.msgpack.encode(entry), type=Registration), 200.0
                )
    orders = [{n: (e.boot_ms, e.state) for n, e in node.entries_.items()} for node in nodes]
    assert all(order == orders[0] for order in orders)
