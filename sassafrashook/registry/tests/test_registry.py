"""Registrations merge to the same result in any order of arrival."""

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


def make_registration(name="a", boot=100, sequence=1, state=READY, host="10.0.0.1", cold_ms=0.0):
    return Registration(
        name, boot, sequence, state, "advisor", host, 80, "z", "v1", 8, cold_ms
    )  # fmt: skip


def summarize(registry):
    return {n: (r.boot_ms, r.sequence, r.state) for n, r in registry.registrations_.items()}


HISTORY = [
    make_registration(sequence=1),
    make_registration(sequence=2),
    make_registration(sequence=3, state=DRAINING),
    make_registration(boot=200, sequence=1),
    make_registration(boot=200, sequence=2),
]


def test_merge_result_is_independent_of_order():
    results = set()
    for order in itertools.permutations(HISTORY):
        registry = Registry(10.0)
        for registration in order:
            registry.merge(registration, 0.0)
        results.add(str(summarize(registry)))
    assert results == {str({"a": (200, 2, READY)})}


def test_old_heartbeat_does_not_restore_earlier_boot():
    registry = Registry(10.0)
    registry.merge(make_registration(boot=200), 0.0)
    assert not registry.merge(make_registration(boot=100, sequence=99), 1.0)
    assert summarize(registry) == {"a": (200, 1, READY)}


@pytest.mark.parametrize("known", [True, False])
def test_heartbeat_does_not_restore_boot_that_left(known):
    registry = Registry(10.0)
    if known:
        registry.merge(make_registration(sequence=5), 0.0)
    registry.mark_left("a", 1.0, unix_ms=1_000)
    assert not registry.merge(make_registration(sequence=6), 2.0)
    assert registry.list_usable() == []


def test_later_boot_of_upstream_that_left_is_usable():
    registry = Registry(10.0)
    registry.mark_left("a", 1.0, unix_ms=1_000)
    assert registry.merge(make_registration(boot=2_000), 2.0)
    assert [r.boot_ms for r in registry.list_usable()] == [2_000]


def test_only_latest_boot_is_usable_if_upstreams_share_address():
    registry = Registry(10.0)
    registry.merge(make_registration("b", boot=300), 0.0)
    registry.merge(make_registration("a", boot=200), 0.0)
    assert [r.upstream_id for r in registry.list_usable()] == ["b"]


def test_draining_upstream_is_leaving_and_not_usable():
    registry = Registry(10.0)
    registry.merge(make_registration(state=DRAINING), 0.0)
    assert registry.list_usable() == []
    assert [r.upstream_id for r, _ in registry.list_leaving(0.0)] == ["a"]


def test_upstream_that_left_without_draining_is_leaving_for_grace_period():
    registry = Registry(10.0, leave_grace_s=2.0)
    registry.merge(make_registration(), 0.0)
    registry.mark_left("a", 5.0, 0)
    assert registry.list_usable() == []
    assert [(r.upstream_id, until) for r, until in registry.list_leaving(6.9)] == [("a", 7.0)]
    assert registry.list_leaving(7.0) == []


def test_upstream_that_left_after_draining_is_not_leaving():
    registry = Registry(10.0, leave_grace_s=2.0)
    registry.merge(make_registration(), 0.0)
    registry.merge(make_registration(sequence=2, state=DRAINING), 1.0)
    registry.mark_left("a", 5.0, 0)
    assert registry.list_leaving(5.0) == []


def test_heartbeat_without_changes_is_not_propagated():
    registry = Registry(10.0)
    registry.merge(make_registration(sequence=1), 0.0)
    revision = registry.revision_
    registry.merge(make_registration(sequence=2), 1.0)
    assert registry.revision_ == revision


def test_remote_heartbeat_ends_silence():
    registry = Registry(4.0)
    registry.merge(make_registration(sequence=1), 0.0)
    assert registry.update_liveness(5.0) == ["a"]
    registry.apply_remote_heartbeat("a", 100, 2, 6.0)
    assert summarize(registry) == {"a": (100, 2, READY)}
    assert [r.state for r in registry.list_changes(1, 6.0)] == [READY]


def test_remote_heartbeat_prevents_silence():
    registry = Registry(4.0)
    registry.merge(make_registration(sequence=1), 0.0)
    registry.apply_remote_heartbeat("a", 100, 2, 3.0)
    assert registry.update_liveness(5.0) == []


def test_recalled_upstream_is_usable_and_cold_until_next_heartbeat():
    registry = Registry(10.0)
    registry.recall([make_registration(sequence=4)], 2.4, 100.0)
    (registration,) = registry.list_usable()
    assert (registration.state, registration.cold_ms) == (RECALLED, pytest.approx(2_400.0))
    assert registry.merge(make_registration(sequence=5), 101.0)
    assert (summarize(registry), registry.remove_expired_recalled(200.0)) == (
        {"a": (100, 5, READY)},
        [],
    )
    assert registry.cold_until_["a"] <= 101.0


def test_recalled_upstream_without_heartbeat_is_removed():
    registry = Registry(10.0)
    registry.recall([make_registration(sequence=4)], 2.4, 100.0)
    assert registry.remove_expired_recalled(102.3) == []
    assert registry.remove_expired_recalled(102.5) == ["a"]
    assert registry.list_usable() == []
    assert registry.merge(make_registration(sequence=2), 103.0)


@pytest.mark.parametrize(
    "known", [make_registration(sequence=4), make_registration(sequence=4, state=DRAINING)]
)
def test_known_registration_wins_over_same_recalled_one(known):
    registry = Registry(10.0)
    registry.merge(known, 99.0)
    registry.recall([make_registration(sequence=4)], 2.4, 100.0)
    assert summarize(registry) == {"a": (100, 4, known.state)}


def test_draining_and_left_upstreams_keep_state_and_silent_ones_are_not_recalled():
    registry = Registry(10.0)
    saved = [
        make_registration("a", state=DRAINING),
        make_registration("b", state=LEFT),
        make_registration("c", state=SILENT),
    ]
    registry.recall(saved, 2.4, 100.0)
    assert registry.list_usable() == []
    assert [r.upstream_id for r, _ in registry.list_leaving(100.0)] == ["a"]
    assert not registry.merge(make_registration("b", sequence=1), 101.0)


def test_change_contains_remaining_warm_up_time():
    registry = Registry(10.0)
    registry.merge(make_registration(cold_ms=3_000.0), 10.0)
    (change,) = registry.list_changes(0, 11.0)
    assert change.cold_ms == pytest.approx(2_000.0)


def test_change_to_cold_is_propagated():
    registry = Registry(10.0)
    registry.merge(make_registration(sequence=1), 0.0)
    assert registry.merge(make_registration(sequence=2, cold_ms=3_000.0), 1.0)


@pytest.mark.parametrize("seed", range(20))
def test_nodes_that_exchange_changes_converge(seed):
    rng = random.Random(seed)
    nodes = [Registry(1_000.0) for _ in range(4)]
    for step in range(200):
        registration = make_registration(
            rng.choice("abcd"), rng.choice((100, 200, 300)), rng.randrange(30),
            rng.choice((READY, DRAINING)), f"10.0.0.{rng.randrange(3)}",
        )  # fmt: skip
        rng.choice(nodes).merge(registration, step)
    for _ in range(3):
        for source, target in itertools.permutations(nodes, 2):
            for registration in source.list_changes(0, 200.0):
                target.merge(
                    msgspec.msgpack.decode(msgspec.msgpack.encode(registration), type=Registration),
                    200.0,
                )
    results = [{n: (r.boot_ms, r.state) for n, r in node.registrations_.items()} for node in nodes]
    assert all(result == results[0] for result in results)


def test_software_versions_of_service_include_those_of_upstreams_that_left():
    registry = Registry(10.0)
    assert registry.list_software_versions("advisor", 5.0) == []
    registry.merge(make_registration("a"), 0.0)
    assert registry.list_software_versions("advisor", 5.0) == ["v1"]
    newer = msgspec.structs.replace(make_registration("b", host="10.0.0.2"), version="v1.1")
    registry.merge(newer, 1.0)
    registry.mark_left("a", 2.0, unix_ms=1_000)
    assert registry.list_software_versions("advisor", 5.0) == ["v1", "v1.1"]
    assert registry.list_software_versions("ledger", 5.0) == []


def test_software_versions_include_those_that_upstreams_ran_before_a_restart():
    """An upstream may start again under its name, with another version."""
    registry = Registry(10.0)
    registry.merge(make_registration("a", boot=1), 0.0)
    restarted = msgspec.structs.replace(make_registration("a", boot=2), version="v1.1")
    registry.merge(restarted, 1.0)
    assert registry.list_software_versions("advisor", 5.0) == ["v1", "v1.1"]


def test_software_versions_include_those_of_registrations_that_expired():
    registry = Registry(10.0)
    registry.recall([make_registration("a")], 2.0, 0.0)
    assert registry.remove_expired_recalled(3.0) == ["a"]
    assert registry.list_software_versions("advisor", 5.0) == ["v1"]
