"""Groups whose leader admits and removes members by itself."""

import pytest

from sassafrashook.consensus import ReplicaCore
from sassafrashook.consensus.tests.harness import Faults, Run, ViolationError

SEEDS = range(12)
MANAGED = {"manages_members": True, "tolerated_losses": 2}


class WithoutExtraCopies(ReplicaCore):
    """Commits on a bare majority, also while the group has only three members."""

    def start(self, recovered, now):
        self.tolerated_losses = 0
        return super().start(recovered, now)


class WithoutStrangers(ReplicaCore):
    """Takes no notice of a removed replica that asks for votes."""

    def _record_removed_replica(self, message, now):
        pass


def run_group(seed, size=5, **changes):
    faults = Faults(founders=3, parameters=MANAGED, **changes)
    run = Run(seed, size, faults)
    run.execute()
    return run


def list_voters(run):
    leading = [h for h in run.hosts.values() if h.core and h.core.leading_term(h.clock())]
    return sorted(m.name for m in leading[0].core.configuration_ if m.voter)


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_beyond_the_founders_are_admitted(seed):
    run = run_group(seed, duration_s=1.0, disk_weight=0)
    assert list_voters(run) == list("abcde")


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_disks_are_replaced_without_an_operator(seed):
    run = run_group(seed, disk_weight=8, duration_s=10.0)
    assert list_voters(run) == list("abcde")


def test_a_voter_that_is_gone_for_good_is_removed_once_its_successor_votes():
    run = Run(3, 6, Faults(founders=3, parameters=MANAGED))
    run.names = tuple("abcdef")
    for host in run.hosts.values():
        if host.name != "f":
            host.start()
    run._run_until(3.0)
    run.hosts["b"].stop()
    run._run_until(5.0)
    assert list_voters(run) == list("abcde")
    run.hosts["f"].start()
    run._run_until(8.0)
    assert list_voters(run) == list("acdef")


def make_group_of_six(core=ReplicaCore):
    run = Run(5, 6, Faults(founders=3, parameters=MANAGED, core=core, loss=0.0))
    for host in run.hosts.values():
        host.start()
    run._run_until(4.0)
    assert list_voters(run) == list("abcdef")
    return run


def test_a_removed_voter_that_comes_back_votes_again():
    run = make_group_of_six()
    run.hosts["b"].stop()
    run._run_until(7.0)
    assert list_voters(run) == list("acdef")
    run.hosts["b"].start()
    run._run_until(9.0)
    assert list_voters(run) == list("abcdef")


def test_without_notice_of_strangers_a_removed_voter_stays_out():
    run = make_group_of_six(WithoutStrangers)
    run.hosts["b"].stop()
    run._run_until(7.0)
    run.hosts["b"].start()
    run._run_until(9.0)
    assert list_voters(run) == list("acdef")


def commit_with_two_disks_lost(core):
    """Commit in a group of three of which one is silent, then lose the other two's disks."""
    run = Run(1, 3, Faults(parameters=MANAGED, core=core, loss=0.0))
    for host in run.hosts.values():
        host.start()
    run._run_until(1.5)
    leading = next(h for h in run.hosts.values() if h.core.leading_term(h.clock()))
    silent = next(h for h in run.hosts.values() if h is not leading)
    silent.stop()
    known = len(run.committed)
    run._propose()
    run._run_until(2.0)
    return len(run.committed) - known


def test_an_entry_needs_one_copy_more_than_the_disks_that_may_be_lost():
    assert commit_with_two_disks_lost(ReplicaCore) == 0


def test_without_the_extra_copy_two_lost_disks_would_lose_it():
    assert commit_with_two_disks_lost(WithoutExtraCopies) > 0


def test_violations_are_seen_where_a_lost_disk_keeps_its_identity():
    with pytest.raises(ViolationError):
        for seed in range(10):
            run_group(seed, disk_weight=12, keeps_identity=True, duration_s=10.0)
