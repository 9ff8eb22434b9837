"""Lost disks while members are replaced, with the timeouts of the controllers.

A host counts as lost until ``CATCH_UP_S`` after its return. A group that tolerates two losses must
have replaced a lost disk by then, whatever else happens to the hosts that count as lost.
"""

import pytest

from sassafrashook.consensus import Departure, LeaveGroup, Role, TransferLeadership
from sassafrashook.consensus._messages import IdentityConfirmed
from sassafrashook.consensus.tests.harness import (
    PLANNED_STOP_TIMEOUT_S,
    FaultConfig,
    Simulation,
)
from sassafrashook.consensus.tests.replacements import CATCH_UP_S, PARAMETERS

STEP_S = 0.01


def start_group(seed, size=5, started=None, tolerated_losses=2):
    """Return a simulation without faults whose hosts have become voters.

    :param size: number of hosts.
    :param started: number of hosts that are started, ``None`` for all.
    """
    faults = FaultConfig(
        initial_size=3,
        parameters={**PARAMETERS, "tolerated_losses": tolerated_losses},
        loss_probability=0.0,
        duplication_probability=0.0,
        slow_probability=0.0,
    )
    simulation = Simulation(seed, size, faults)
    hosts = list(simulation.hosts.values())[:started]
    for host in hosts:
        host.start()
    simulation.schedule(0.0, simulation.propose_to_random_host)
    run_until(simulation, lambda: have_voters(simulation, len(hosts)))
    return simulation


def run_until(simulation, condition, timeout_s=10.0):
    """Run until a condition holds; fail if it doesn't within ``timeout_s``."""
    deadline = simulation.now + timeout_s
    while not condition():
        assert simulation.now < deadline, f"{simulation.now:.2f}: not in time"
        simulation.run_until(simulation.now + STEP_S)


def find_leader(simulation):
    hosts = [host for host in simulation.hosts.values() if host.is_running()]
    leaders = [host for host in hosts if host.core.get_leading_term(host.clock())]
    return leaders[0] if leaders else None


def list_voters(simulation):
    leader = find_leader(simulation)
    return [m for m in leader.core.configuration_ if m.voter] if leader else []


def have_voters(simulation, count):
    """Return whether all running hosts have the same configuration with ``count`` voters."""
    cores = [host.core for host in simulation.hosts.values() if host.core]
    configurations = {core.configuration_ for core in cores}
    return len(configurations) == 1 and sum(m.voter for m in configurations.pop()) == count


def is_voter(simulation, host):
    return host.core.identity in {member.identity for member in list_voters(simulation)}


def check_commit(simulation):
    """Check that the group has a leader and commits."""
    run_until(simulation, lambda: find_leader(simulation) is not None)
    committed = len(simulation.committed)
    run_until(simulation, lambda: len(simulation.committed) > committed)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("joined_s", [0.0, 0.05, 0.1, 0.15, 0.2])
def test_lost_learner_does_not_delay_replacement_of_another_disk(seed, joined_s):
    """Guards against a learner that is gone and blocks all other replacements (review/7)."""
    simulation = start_group(seed)
    leader = find_leader(simulation)
    first, second, third = [host for host in simulation.hosts.values() if host is not leader][:3]
    first.lose_disk()
    second.lose_disk()
    simulation.run_until(simulation.now + 1.0)
    first.start()
    run_until(simulation, lambda: not first.core or len(leader.core.configuration_) > 5)
    simulation.run_until(simulation.now + joined_s)
    second.start()
    simulation.run_until(simulation.now + 0.05)
    first.lose_disk()
    simulation.run_until(simulation.now + CATCH_UP_S)
    assert is_voter(simulation, second)
    third.lose_disk()
    simulation.run_until(simulation.now + 1.0)
    first.start()
    third.start()
    check_commit(simulation)


def stop_as_planned(simulation, host):
    """Stop a host as the daemon does on SIGTERM.

    :returns: the :class:`~sassafrashook.consensus.Departure` that was reached.
    """
    departures = []
    simulation.stop_as_planned(host, departures.append)
    run_until(simulation, lambda: departures)
    return departures[0]


def check_loss_of_disks(simulation, lost, killed=()):
    """Lose the disks of some hosts at once and check that the group goes on.

    :param lost: the hosts.
    :param killed: hosts whose processes end at the same moment, and start with them.
    """
    for host in lost:
        host.lose_disk()
    for host in killed:
        host.stop()
    simulation.run_until(simulation.now + 1.0)
    for host in (*lost, *killed):
        host.start()
    check_commit(simulation)


def check_loss_of_two_disks(simulation, removed):
    """Lose the disks of the first two hosts at once and check that the group goes on."""
    lost = [host for host in simulation.hosts.values() if host is not removed][:2]
    check_loss_of_disks(simulation, lost)


def pick_host(simulation, is_leader):
    """Return the leader, or the first host that doesn't lead."""
    leader = find_leader(simulation)
    return next(h for h in simulation.hosts.values() if (h is leader) == is_leader)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("is_leader", [False, True])
def test_two_disks_may_be_lost_right_after_a_planned_removal(seed, is_leader):
    """Guards against the vote of a removed host that still counts (review/6)."""
    simulation = start_group(seed, size=6)
    removed = pick_host(simulation, is_leader)
    stop_as_planned(simulation, removed)
    check_loss_of_two_disks(simulation, removed)
    run_until(simulation, lambda: len(list_voters(simulation)) == 5)


def start_group_and_remove(seed, is_leader, delay_s, size=6, **parameters):
    """Remove one host without a signal after all others have run for ``CATCH_UP_S``.

    A host that is removed counts as lost until its successor has run for that time.

    :param delay_s: time that passes after the removal, seconds.
    :returns: the simulation and the removed host.
    """
    simulation = start_group(seed, size, **parameters)
    simulation.run_until(simulation.now + CATCH_UP_S)
    removed = pick_host(simulation, is_leader)
    removed.stop()
    simulation.run_until(simulation.now + delay_s)
    return simulation, removed


def remove_without_signal(seed, is_leader, delay_s):
    """Remove one of six hosts without a signal, then lose two disks and check the group."""
    simulation, removed = start_group_and_remove(seed, is_leader, delay_s)
    check_loss_of_two_disks(simulation, removed)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("is_leader", "delay_s"), [(False, 0.8), (True, 1.8)])
def test_silent_voter_is_removed_soon_from_a_group_that_can_do_without(seed, is_leader, delay_s):
    """Guards against the vote of a host that was removed without a signal and still counts."""
    remove_without_signal(seed, is_leader, delay_s)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_leader", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.15, 0.5, 1.0])
def test_two_disks_may_be_lost_at_once_with_a_host_that_is_removed_without_a_signal(
    seed, is_leader, delay_s
):
    """Guards against a group that ends if both happen before the removal is noticed (review/11)."""
    remove_without_signal(seed, is_leader, delay_s)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_leader", [False, True])
def test_group_of_four_that_tolerates_one_loss_keeps_its_state(seed, is_leader):
    """Guards against the same end of a group with another number of voters."""
    simulation, removed = start_group_and_remove(seed, is_leader, 0.1, 4, tolerated_losses=1)
    lost = next(host for host in simulation.hosts.values() if host is not removed)
    check_loss_of_disks(simulation, [lost])


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_leader", [False, True])
def test_successor_may_be_one_of_the_lost_disks(seed, is_leader):
    """Guards against a group that needs the vote of the host that joined last."""
    simulation, removed = start_group_and_remove(seed, is_leader, 0.1)
    hosts = [host for host in simulation.hosts.values() if host is not removed]
    check_loss_of_disks(simulation, [hosts[0], hosts[-1]])


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_leader", [False, True])
def test_all_others_may_lose_power_with_the_lost_disks(seed, is_leader):
    """Guards against knowledge of lost disks that the processes of that moment alone have."""
    simulation, removed = start_group_and_remove(seed, is_leader, 0.1)
    hosts = [host for host in simulation.hosts.values() if host is not removed]
    check_loss_of_disks(simulation, hosts[:2], killed=hosts[2:])


@pytest.mark.parametrize("seed", range(4))
def test_two_more_disks_may_be_lost_once_the_group_is_whole_again(seed):
    """Guards against a leader that goes on without replacing the voter that it left out."""
    simulation, removed = start_group_and_remove(seed, False, 0.1)
    hosts = [host for host in simulation.hosts.values() if host is not removed]
    check_loss_of_disks(simulation, hosts[:2])
    simulation.run_until(simulation.now + CATCH_UP_S)
    assert {member.name for member in list_voters(simulation)} == {host.name for host in hosts}
    check_loss_of_disks(simulation, hosts[2:4])


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("joined_s", [0.0, 0.1, 0.3])
def test_disks_may_be_lost_while_a_further_host_joins(seed, joined_s):
    """Guards against a change that is under way when the voters are lost."""
    simulation, removed = start_group_and_remove(seed, False, 0.0, 7, started=6)
    simulation.hosts["g"].start()
    simulation.run_until(simulation.now + joined_s)
    check_loss_of_two_disks(simulation, removed)


@pytest.mark.parametrize("has_disk", [False, True])
def test_only_a_host_with_another_identity_is_known_to_be_lost(has_disk):
    """Guards against a restart with the same disk that counts as a lost voter."""
    simulation, removed = start_group_and_remove(1, False, 0.0)
    first, second, *others = [h for h in simulation.hosts.values() if h is not removed]
    identities = {host.core.identity for host in (first, second)}
    for host in (first, second):
        if has_disk:
            host.stop()
        else:
            host.lose_disk()
    simulation.run_until(simulation.now + 3.0)
    assert not any(host.core.lost_identities_ for host in others)
    first.start()
    second.start()
    simulation.run_until(simulation.now + 3.0)
    known = set().union(*(host.core.lost_identities_ for host in others))
    assert known == (set() if has_disk else identities)


def make_candidate():
    """Return a replica of a group of six that has asked all voters for their identities."""
    simulation, removed = start_group_and_remove(1, False, 0.0)
    first, second, third, *_ = [h for h in simulation.hosts.values() if h is not removed]
    first.lose_disk()
    second.lose_disk()
    run_until(simulation, lambda: third.core.role_ is Role.PRE_CANDIDATE)
    return third.core, second.name


def confirm_identity(core, name, query_id, identity="x"):
    """Pass the answer of another process of a host to a replica."""
    header = (core.group, name, identity, core.identity, 1, "boot", 0, -1)
    core.handle(IdentityConfirmed(*header, query_id), core.election_deadline_ - 0.01)


def test_late_answer_proves_no_loss():
    """Guards against an answer to an earlier query, older than the identity that is a voter now."""
    core, name = make_candidate()
    confirm_identity(core, name, "earlier")
    assert not core.lost_identities_
    assert core.rejection_counts_["stale_answer"] == 1
    confirm_identity(core, name, core._query_id)
    assert core.lost_identities_


def test_candidacy_leaves_out_only_voters_that_were_lost_when_it_started():
    """Guards against two leaders of one term that left out different voters."""
    core, name = make_candidate()
    confirm_identity(core, name, core._query_id)
    assert core.lost_identities_ and not core.candidacy_lost_identities_
    core.advance(core.election_deadline_)
    assert core.candidacy_lost_identities_ == core.lost_identities_


def test_identity_that_is_known_to_be_lost_is_not_heard_again():
    """Guards against a data folder that is put back and votes beside a quorum without it."""
    core, name = make_candidate()
    (lost,) = [m.identity for m in core.configuration_ if m.name == name]
    confirm_identity(core, name, core._query_id)
    confirm_identity(core, name, core._query_id, lost)
    assert core.rejection_counts_["lost_identity"] == 1


def test_suspended_leader_removes_no_voter():
    """Guards against a leader that takes its own suspension for the silence of others."""
    simulation = start_group(1, size=6)
    leader = find_leader(simulation)
    leader.frozen_until = simulation.now + 0.9 * PARAMETERS["election_min_ms"] / 1000
    simulation.run_until(simulation.now + 2.0)
    assert have_voters(simulation, 6)
    assert find_leader(simulation).core.configuration_index_ == leader.core.configuration_index_


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("size", "departure"), [(5, Departure.DENIED), (6, Departure.COMPLETED)])
@pytest.mark.parametrize("down_s", [0.0, 0.5])
def test_restart_keeps_as_many_votes_as_the_group_needs(seed, size, departure, down_s):
    """Guards against a restart that leaves fewer votes than ``2 * tolerated_losses + 1``."""
    simulation = start_group(seed, size)
    host = pick_host(simulation, is_leader=False)
    assert stop_as_planned(simulation, host) is departure
    assert len(list_voters(simulation)) == 5
    simulation.run_until(simulation.now + down_s)
    host.start()
    run_until(simulation, lambda: len(list_voters(simulation)) == size, CATCH_UP_S)


@pytest.mark.parametrize("seed", range(4))
def test_removed_host_is_added_again_by_a_leader_that_it_does_not_know(seed):
    """Guards against a removed host that asks for votes only those voters that it knows."""
    simulation = start_group(seed, size=7, started=6)
    removed = pick_host(simulation, is_leader=False)
    assert stop_as_planned(simulation, removed) is Departure.COMPLETED
    added = simulation.hosts["g"]
    added.start()
    run_until(simulation, lambda: have_voters(simulation, 6))
    find_leader(simulation).handle(TransferLeadership("g"))
    run_until(simulation, lambda: find_leader(simulation) is added)
    removed.start()
    run_until(simulation, lambda: have_voters(simulation, 7), CATCH_UP_S)


def test_replica_that_leaves_before_it_has_joined_keeps_its_timers():
    """Guards against a timer that stays due, which would keep the event loop from stopping."""
    simulation = start_group(1, size=6, started=5)
    host = simulation.hosts["f"]
    host.start()
    host.handle(LeaveGroup())
    assert host.core.departure_ is Departure.COMPLETED
    now = host.core.next_deadline()
    host.core.advance(now)
    assert host.core.next_deadline() > now


def test_only_spare_votes_are_given_up_by_two_hosts_that_stop_at_once():
    """Guards against two departures that are both granted with one spare voter."""
    simulation = start_group(1, size=6)
    leader = find_leader(simulation)
    first, second = [host for host in simulation.hosts.values() if host is not leader][:2]
    for host in (first, second):
        host.handle(LeaveGroup())
    simulation.run_until(simulation.now + PLANNED_STOP_TIMEOUT_S)
    departures = {first.core.departure_, second.core.departure_}
    assert departures == {Departure.COMPLETED, Departure.DENIED}
    assert len(list_voters(simulation)) == 5
