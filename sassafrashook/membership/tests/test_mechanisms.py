"""Verifies that each check of the randomized runs fails without the mechanism that it tests."""

import pytest
from msgspec.structs import replace

from sassafrashook.membership import DepartureReceived, UpstreamAnnounced, _core, _rumors
from sassafrashook.membership._anti_entropy import AntiEntropy
from sassafrashook.membership._budget import ByteBudget
from sassafrashook.membership._delays import DelayEstimator
from sassafrashook.membership._entries import UpstreamEntry
from sassafrashook.membership._merging import RecordMerger
from sassafrashook.membership._messages import UpstreamRecord
from sassafrashook.membership._peers import PeerMergeResult, PeerTable
from sassafrashook.membership._retired_boots import RetiredBoots
from sassafrashook.membership._upstreams import UpstreamTable
from sassafrashook.membership.tests.network import Network, make_announcement
from sassafrashook.membership.tests.randomized_run import RandomizedRun, check_budget

SEEDS = range(5)
NAMES = [f"r{index}" for index in range(7)]


def disable_tombstones(monkeypatch):
    monkeypatch.setattr(RetiredBoots, "get", lambda self, upstream_id, boot_id: None)
    monkeypatch.setattr(RetiredBoots, "add_tombstone", lambda self, *arguments: 0)
    monkeypatch.setattr(RecordMerger, "_propagate_departure", lambda self, *arguments: None)


def reset_validity_on_relay(monkeypatch):
    def make_part(entry, now, key_only):
        announcement = entry.announcement
        return "upstreams", UpstreamRecord(announcement, announcement.valid_ms)

    monkeypatch.setattr(_rumors, "make_upstream_part", make_part)


def disable_delay_estimation(monkeypatch):
    monkeypatch.setattr(DelayEstimator, "estimate_delay", lambda self, *arguments: 0.0)


def disable_comparison(monkeypatch):
    monkeypatch.setattr(AntiEntropy, "_should_compare", lambda self, now: False)


def disable_refutation(monkeypatch):
    monkeypatch.setattr(PeerTable, "_refute", lambda self, departure: PeerMergeResult.STALE)


def prefer_newest_boot(monkeypatch):
    monkeypatch.setattr(UpstreamEntry, "start_order", (float("inf"), ""))


def accept_any_sequence(monkeypatch):
    def refresh(self, entry, sequence, remaining_s, now):
        announcement = replace(entry.announcement, sequence=sequence)
        return self._update(entry, announcement, now + remaining_s, False, now)

    monkeypatch.setattr(UpstreamTable, "refresh", refresh)


@pytest.mark.parametrize(
    ("disable_mechanism", "expected_message"),
    [
        (disable_tombstones, "listed again"),
        (reset_validity_on_relay, "validity"),
        (disable_delay_estimation, "validity"),
        (disable_comparison, ": nodes "),
        (disable_refutation, ": nodes "),
        (prefer_newest_boot, ": listed "),
        (accept_any_sequence, "sequence decreased"),
    ],
)
def test_randomized_run_fails_without_mechanism(monkeypatch, disable_mechanism, expected_message):
    disable_mechanism(monkeypatch)
    assert any(expected_message in find_failure(seed) for seed in SEEDS)


def find_failure(seed):
    try:
        RandomizedRun(seed).check()
    except AssertionError as error:
        print(f"seed={seed} failed: {error}")
        return str(error)
    return ""


def run_burst():
    network = Network(1, NAMES)
    network.run(5.0)
    for index in range(100):
        announcement = make_announcement(f"engine-{index}", port=1 + index, valid_ms=60_000)
        network.announce(NAMES[index % 7], announcement)
    network.run(20.0)
    return network


def test_burst_propagates_within_budget():
    network = run_burst()
    check_budget(network, 4_096)
    assert all(len(network.list_upstreams(name)) == 100 for name in NAMES)
    assert network.counts["membership_budget_held", "Gossip"] > 0


def test_burst_exceeds_budget_without_byte_budget(monkeypatch):
    monkeypatch.setattr(ByteBudget, "available", lambda self, now: 1_000_000)
    monkeypatch.setattr(ByteBudget, "spend", lambda self, size, now: True)
    with pytest.raises(AssertionError, match="bytes in the second"):
        check_budget(run_burst(), 4_096)


def restart_before_late_refresh():
    network = Network(6, NAMES)
    network.announce("r1", make_announcement())
    network.run(5.0)
    network.tell("r1", DepartureReceived("engine-1", "b1"))
    network.run(10.0)
    network.stop("r4")
    network.start("r4")
    seen = []
    network.observe = lambda name, action: seen.append(action)
    network.announce("r4", make_announcement(sequence=9))
    network.run(15.0)
    return [action for action in seen if isinstance(action, UpstreamAnnounced)]


def test_restarted_node_defers_late_refresh_until_joined(monkeypatch):
    assert restart_before_late_refresh() == []
    monkeypatch.setattr(_core, "JOIN_TIMEOUT_S", 0.0)
    assert len(restart_before_late_refresh()) > 0
