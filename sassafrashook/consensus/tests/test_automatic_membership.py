"""Groups whose leader adds and removes members automatically."""

import pytest

from sassafrashook.consensus import ReplicaCore
from sassafrashook.consensus.tests.harness import FaultConfig, Simulation, ViolationError

SEEDS = range(12)
AUTOMATIC_MEMBERSHIP = {"automatic_membership": True, "tolerated_losses": 2}


class OlderGroupCore(ReplicaCore):
    """Accepts commands with any number of voters, as in a group that an older version founded."""

    def _can_accept_commands(self):
        return True


class MajorityCommitCore(OlderGroupCore):
    """Commits on a majority, even if ``tolerated_losses`` requires more copies."""

    def start(self, recovered, now):
        self.tolerated_losses = 0
        return super().start(recovered, now)


class WithoutRemovedReplicaRecord(ReplicaCore):
    """Ignores vote requests of removed replicas."""

    def _record_removed_replica(self, message, now):
        pass


def run_group(seed, size=5, **changes):
    faults = FaultConfig(initial_size=3, parameters=AUTOMATIC_MEMBERSHIP, **changes)
    simulation = Simulation(seed, size, faults)
    simulation.run_to_end()
    return simulation


def list_voters(simulation):
    leaders = [
        h for h in simulation.hosts.values() if h.core and h.core.get_leading_term(h.clock())
    ]
    return sorted(m.name for m in leaders[0].core.configuration_ if m.voter)


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_beyond_initial_members_are_added(seed):
    simulation = run_group(seed, duration_s=1.0, disk_loss_weight=0)
    assert list_voters(simulation) == list("abcde")


@pytest.mark.parametrize("seed", SEEDS)
def test_members_with_lost_disks_are_replaced_automatically(seed):
    simulation = run_group(seed, disk_loss_weight=8, duration_s=10.0)
    assert list_voters(simulation) == list("abcde")


def test_silent_voter_is_removed_once_another_replica_votes():
    simulation = Simulation(3, 6, FaultConfig(initial_size=3, parameters=AUTOMATIC_MEMBERSHIP))
    simulation.names = tuple("abcdef")
    for host in simulation.hosts.values():
        if host.name != "f":
            host.start()
    simulation.run_until(3.0)
    simulation.hosts["b"].stop()
    simulation.run_until(5.0)
    assert list_voters(simulation) == list("abcde")
    simulation.hosts["f"].start()
    simulation.run_until(8.0)
    assert list_voters(simulation) == list("acdef")


def make_group_of_six(core=ReplicaCore):
    simulation = Simulation(
        5,
        6,
        FaultConfig(
            initial_size=3, parameters=AUTOMATIC_MEMBERSHIP, core=core, loss_probability=0.0
        ),
    )
    for host in simulation.hosts.values():
        host.start()
    simulation.run_until(4.0)
    assert list_voters(simulation) == list("abcdef")
    return simulation


def test_removed_voter_is_added_again_after_return():
    simulation = make_group_of_six()
    simulation.hosts["b"].stop()
    simulation.run_until(7.0)
    assert list_voters(simulation) == list("acdef")
    simulation.hosts["b"].start()
    simulation.run_until(9.0)
    assert list_voters(simulation) == list("abcdef")


def test_removed_voter_is_added_again_by_a_leader_whose_disk_was_replaced_meanwhile():
    """Guards against a removed voter that knows only the former identity of the leader's host."""
    simulation = make_group_of_six()
    simulation.hosts["b"].stop()
    simulation.run_until(7.0)
    for name in "acdef":
        simulation.hosts[name].lose_disk()
        simulation.hosts[name].start()
        simulation.run_until(simulation.now + 3.0)
    assert list_voters(simulation) == list("acdef")
    simulation.hosts["b"].start()
    simulation.run_until(simulation.now + 3.0)
    assert list_voters(simulation) == list("abcdef")


def test_removed_voter_stays_out_if_its_vote_requests_are_ignored():
    simulation = make_group_of_six(WithoutRemovedReplicaRecord)
    simulation.hosts["b"].stop()
    simulation.run_until(7.0)
    simulation.hosts["b"].start()
    simulation.run_until(9.0)
    assert list_voters(simulation) == list("acdef")


def count_commits_with_one_member_down(core):
    """Return how many entries a group of three commits while one member is down.

    Such an entry is on two disks only, and losing both would lose it.
    """
    simulation = Simulation(
        1, 3, FaultConfig(parameters=AUTOMATIC_MEMBERSHIP, core=core, loss_probability=0.0)
    )
    for host in simulation.hosts.values():
        host.start()
    simulation.run_until(1.5)
    leader = next(h for h in simulation.hosts.values() if h.core.get_leading_term(h.clock()))
    silent = next(h for h in simulation.hosts.values() if h is not leader)
    silent.stop()
    committed_before = len(simulation.committed)
    simulation.propose_to_random_host()
    simulation.run_until(2.0)
    return len(simulation.committed) - committed_before


def test_commit_needs_one_copy_more_than_tolerated_losses():
    assert count_commits_with_one_member_down(OlderGroupCore) == 0


def test_majority_core_commits_with_too_few_copies():
    assert count_commits_with_one_member_down(MajorityCommitCore) > 0


def test_simulation_detects_identity_reuse_after_disk_loss():
    with pytest.raises(ViolationError):
        for seed in range(10):
            run_group(seed, disk_loss_weight=12, reuses_identity=True, duration_s=10.0)
