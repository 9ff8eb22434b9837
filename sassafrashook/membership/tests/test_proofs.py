"""Each check is seen failing with the mechanism that it is meant for switched off."""

import pytest
from msgspec.structs import replace

from sassafrashook.membership import LeaveHeard, UpstreamSeen, _core, _rumors
from sassafrashook.membership._budget import ByteBudget
from sassafrashook.membership._directory import Directory
from sassafrashook.membership._entries import Entry
from sassafrashook.membership._intake import Intake
from sassafrashook.membership._memory import Memory
from sassafrashook.membership._messages import UpstreamRecord
from sassafrashook.membership._peers import PeerAdmission, PeerTable
from sassafrashook.membership._reconciliation import Reconciliation
from sassafrashook.membership._transit import TransitClock
from sassafrashook.membership.tests.network import Network, make_announcement
from sassafrashook.membership.tests.oracle import Run, check_budget

SEEDS = range(5)
NAMES = [f"r{index}" for index in range(7)]


def forget_everything(monkeypatch):
    monkeypatch.setattr(Memory, "get", lambda self, upstream_id, boot_id: None)
    monkeypatch.setattr(Memory, "mark_left", lambda self, *arguments: 0)
    monkeypatch.setattr(Intake, "_spread_departure", lambda self, *arguments: None)


def renew_on_relay(monkeypatch):
    def make_part(entry, now, by_key):
        announcement = entry.announcement
        return "upstreams", UpstreamRecord(announcement, announcement.valid_ms)

    monkeypatch.setattr(_rumors, "make_upstream_part", make_part)


def trust_transit(monkeypatch):
    monkeypatch.setattr(TransitClock, "measure_delay", lambda self, *arguments: 0.0)


def never_compare(monkeypatch):
    monkeypatch.setattr(Reconciliation, "_may_compare", lambda self, now: False)


def never_deny(monkeypatch):
    monkeypatch.setattr(PeerTable, "_deny", lambda self, departure: PeerAdmission.STALE)


def prefer_the_newest_claim(monkeypatch):
    monkeypatch.setattr(Entry, "age", (float("inf"), ""))


def take_any_sequence(monkeypatch):
    def refresh(self, entry, sequence, remaining_s, now):
        announcement = replace(entry.announcement, sequence=sequence)
        return self._update(entry, announcement, now + remaining_s, False, now)

    monkeypatch.setattr(Directory, "refresh", refresh)


@pytest.mark.parametrize(
    ("switch_off", "words"),
    [
        (forget_everything, "came back"),
        (renew_on_relay, "validity"),
        (trust_transit, "validity"),
        (never_compare, ": nodes "),
        (never_deny, ": nodes "),
        (prefer_the_newest_claim, "instead of"),
        (take_any_sequence, "sequence went back"),
    ],
)
def test_runs_fail_without(monkeypatch, switch_off, words):
    switch_off(monkeypatch)
    assert any(words in run_to_failure(seed) for seed in SEEDS)


def run_to_failure(seed):
    try:
        Run(seed).check()
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


def test_budget_holds_in_a_burst_and_the_burst_still_spreads():
    network = run_burst()
    check_budget(network, 4_096)
    assert all(len(network.listed(name)) == 100 for name in NAMES)
    assert network.counts["membership_budget_held", "Gossip"] > 0


def test_burst_breaks_the_budget_without_it(monkeypatch):
    monkeypatch.setattr(ByteBudget, "available", lambda self, now: 1_000_000)
    monkeypatch.setattr(ByteBudget, "spend", lambda self, size, now: True)
    with pytest.raises(AssertionError, match="bytes in the second"):
        check_budget(run_burst(), 4_096)


def restart_into_a_late_refresh():
    network = Network(6, NAMES)
    network.announce("r1", make_announcement())
    network.run(5.0)
    network.tell("r1", LeaveHeard("engine-1", "b1"))
    network.run(10.0)
    network.stop("r4")
    network.start("r4")
    seen = []
    network.observe = lambda name, action: seen.append(action)
    network.announce("r4", make_announcement(sequence=9))
    network.run(15.0)
    return [action for action in seen if isinstance(action, UpstreamSeen)]


def test_restarted_node_asks_before_it_believes_a_late_refresh(monkeypatch):
    assert restart_into_a_late_refresh() == []
    monkeypatch.setattr(_core, "JOIN_LIMIT_S", 0.0)
    assert len(restart_into_a_late_refresh()) > 0
