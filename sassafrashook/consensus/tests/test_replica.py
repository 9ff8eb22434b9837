"""Real replicas with real files, joined by a sender that hands messages over in the process."""

import random
import time
from hashlib import blake2b

import gevent
import pytest
from returns.result import Success

from sassafrashook.base import StateMachine
from sassafrashook.consensus import Entry, Replica, Role
from sassafrashook.consensus._waiters import ProposalWaiters, Waiter
from sassafrashook.gateways import ProposalFailure, Sender
from sassafrashook.storage import DiskFullError, FolderLockedError, LocalFileSystem, StorageError

WAIT_S = 30


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < deadline:
        gevent.sleep(0.01)
    assert condition()


class Recorder(StateMachine):
    """Counts and digests the commands."""

    def __init__(self):
        self.state = [0, b""]

    def apply(self, index, command):
        digest = blake2b(self.state[1] + command, digest_size=8).digest()
        self.state = [self.state[0] + 1, digest]
        return b"%d" % self.state[0]

    def save(self):
        return b"%d:" % self.state[0] + self.state[1]

    def restore(self, snapshot):
        count, _, digest = snapshot.partition(b":")
        self.state = [int(count), digest]


class Switch(Sender):
    """Delivers between replicas, except across a cut."""

    def __init__(self, name, replicas, cut):
        self.name = name
        self.replicas = replicas
        self.cut = cut

    def send(self, peer, message):
        if peer not in self.replicas or {self.name, peer} & self.cut:
            return False
        return self.replicas[peer].deliver(self.name, message)


class Group:
    """A few replicas in one process."""

    def __init__(self, path, names=("a", "b", "c"), **parameters):
        self.path = path
        self.names = names
        self.cut = set()
        self.replicas = {}
        self.parameters = {
            "heartbeat_ms": 20,
            "election_min_ms": 150,
            "election_max_ms": 300,
            "bootstrap": True,
            **parameters,
        }

    def start(self, name, folder=None, **parameters):
        sender = Switch(name, self.replicas, self.cut)
        path = str(self.path / (folder or name))
        arguments = {**self.parameters, "rng": random.Random(name), **parameters}
        replica = Replica(name, self.names, path, Recorder(), sender, **arguments)
        replica.start()
        self.replicas[name] = replica
        return replica

    def stop(self, name):
        self.replicas.pop(name).stop()

    def find_leader(self):
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            for replica in self.replicas.values():
                if replica.leading_term(time.monotonic()):
                    return replica
            gevent.sleep(0.01)
        raise AssertionError("no leader")

    def propose(self, command):
        """Propose until the group takes it; only for commands that may be applied twice."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            result = self.find_leader().propose(command, time.monotonic() + 2)
            if isinstance(result, Success):
                return result.unwrap()
        raise AssertionError("no reply")

    def settle(self):
        """Wait until every replica holds everything; :returns: their digests."""
        for replica in self.replicas.values():
            assert isinstance(replica.confirm_read(time.monotonic() + WAIT_S), Success)
        return {r.state_machine.save() for r in self.replicas.values()}


@pytest.fixture
def make_group(tmp_path):
    """Make groups whose replicas are stopped afterwards."""
    groups = []

    def make(names=("a", "b", "c"), **parameters):
        group = Group(tmp_path, names, **parameters)
        groups.append(group)
        for name in names:
            group.start(name)
        return group

    yield make
    for group in groups:
        for name in list(group.replicas):
            group.stop(name)


@pytest.mark.parametrize("names", [("a",), ("a", "b", "c")])
def test_commands_are_applied_everywhere(make_group, names):
    group = make_group(names)
    assert [group.propose(b"x") for _ in range(3)] == [b"1", b"2", b"3"]
    assert len(group.settle()) == 1


def test_follower_refuses_proposals_for_certain(make_group):
    group = make_group()
    leader = group.find_leader()
    group.settle()
    follower = next(r for r in group.replicas.values() if r is not leader)
    error = follower.propose(b"x", time.monotonic() + 5).failure()
    assert error.failure is ProposalFailure.NOT_LEADER
    assert error.leader == leader.name


def test_leader_without_quorum_never_answers(make_group):
    group = make_group()
    old = group.find_leader()
    group.cut.add(old.name)
    lost = old.propose(b"lost", time.monotonic() + 0.05).failure()
    assert lost.failure is ProposalFailure.UNKNOWN
    wait_for(lambda: old.core_.role_ is not Role.LEADER)
    assert old.leading_term(time.monotonic()) == 0
    assert old.confirm_read(time.monotonic() + 0.3).failure()
    group.propose(b"x")
    group.cut.clear()
    assert len(group.settle()) == 1


def test_restart_after_1000_proposals(make_group):
    group = make_group()
    leader = group.find_leader()
    jobs = [gevent.spawn(group.propose, b"%d" % i) for i in range(1000)]
    gevent.joinall(jobs, raise_error=True)
    (digest,) = group.settle()
    wait_for(lambda: leader.core_.snapshot_ is not None)
    for name in group.names:
        group.stop(name)
    for name in group.names:
        group.start(name)
    assert group.settle() == {digest}


def test_transfer_of_leadership(make_group):
    group = make_group()
    leader = group.find_leader()
    target = next(n for n in group.names if n != leader.name)
    assert leader.transfer_leadership(time.monotonic() + WAIT_S, target)
    assert group.find_leader().name == target


def test_second_host_lost_right_after_repair(make_group):
    group = make_group(snapshot_entries=20)
    for i in range(50):
        group.propose(b"%d" % i)
    leader = group.find_leader()
    lost, second = [n for n in group.names if n != leader.name]
    group.stop(lost)
    replacement = group.start(lost, folder="new-" + lost)
    assert replacement.core_.role_ is Role.UNBOUND
    result = leader.replace_member(lost, time.monotonic() + WAIT_S)
    assert isinstance(result, Success)
    group.stop(second)
    group.stop(leader.name)
    group.start(leader.name)
    assert group.propose(b"y") == b"51"
    assert len(group.settle()) == 1


def test_full_disk_stops_the_replica_and_loses_nothing(make_group):
    files = FailingFiles()
    group = make_group()
    for number in range(5):
        group.propose(b"%d" % number)
    leader = group.find_leader()
    victim = next(n for n in group.names if n != leader.name)
    group.stop(victim)
    errors = []
    replica = group.start(victim, file_system=files, on_failure=errors.append)
    replica.confirm_read(time.monotonic() + WAIT_S)
    files.full = True
    group.propose(b"x")
    wait_for(lambda: errors)
    assert "No space left" in replica.status().failure
    assert replica.propose(b"y", time.monotonic() + 5).failure()
    files.full = False
    group.stop(victim)
    group.start(victim)
    assert len(group.settle()) == 1


class FailingFiles(LocalFileSystem):
    """A disk that can be full."""

    full = False

    def append(self, path, data):
        if self.full:
            raise StorageError(path, "No space left on device")
        super().append(path, data)


class FullFiles(LocalFileSystem):
    """A disk that is full for a while and takes a part of what is written then."""

    full = False
    stalled = False
    refused = 0

    def append(self, path, data):
        while self.stalled:
            time.sleep(0.01)
        if self.full:
            self.refused += 1
            super().append(path, bytes(data[: len(data) // 2]))
            raise DiskFullError(path, "No space left on device")
        super().append(path, data)


def restart_with(group, name, files):
    errors = []
    group.stop(name)
    replica = group.start(name, file_system=files, on_failure=errors.append)
    replica.confirm_read(time.monotonic() + WAIT_S)
    return replica, errors


def test_a_full_disk_is_waited_for(make_group):
    files = FullFiles()
    group = make_group()
    leader = group.find_leader()
    victim = next(n for n in group.names if n != leader.name)
    replica, errors = restart_with(group, victim, files)
    files.full = True
    for number in range(5):
        group.propose(b"%d" % number)
    wait_for(lambda: files.refused >= 3)
    files.full = False
    assert len(group.settle()) == 1
    assert not errors
    group.stop(victim)
    group.start(victim)
    assert len(group.settle()) == 1


def test_a_leader_whose_disk_stalls_hands_over(make_group):
    files = FullFiles()
    group = make_group()
    leader = group.find_leader()
    replica, _ = restart_with(group, leader.name, files)
    wait_for(lambda: group.find_leader() is not None)
    replica.transfer_leadership(time.monotonic() + 1)
    while group.find_leader().name != leader.name:
        group.find_leader().transfer_leadership(time.monotonic() + 1, leader.name)
        gevent.sleep(0.05)
    files.stalled = True
    gevent.spawn(group.propose, b"x")
    try:
        wait_for(lambda: group.find_leader().name != leader.name)
        assert group.propose(b"y")
    finally:
        files.stalled = False
    assert len(group.settle()) == 1


def test_a_new_member_gets_a_snapshot_and_not_the_entries_before_it(make_group):
    group = make_group(snapshot_entries=1, trailing_entries=2)
    for number in range(30):
        group.propose(b"%d" % number)
    group.settle()
    leader = group.find_leader()
    wait_for(lambda: leader.core_.log_.base_index >= leader.core_.log_.last_index - 3)


def test_frozen_leader_checks_its_lease_with_the_present_time(make_group):
    skipped = [0.0]
    group = make_group(("a",), clock=lambda: time.monotonic() + skipped[0])
    leader = group.find_leader()
    asked_at = time.monotonic()
    assert leader.leading_term(asked_at)
    skipped[0] = 60.0
    assert not leader.leading_term(asked_at)


def test_second_process_on_a_folder_is_refused(make_group):
    group = make_group()
    with pytest.raises(FolderLockedError):
        group.start("b", folder="a")


def test_proposals_fail_for_certain_only_when_another_entry_took_their_place():
    waiters = ProposalWaiters()
    lost, taken, kept = (Waiter(token, b"") for token in (1, 2, 3))
    for waiter, index, term in ((lost, 5, 1), (taken, 6, 1), (kept, 6, 2)):
        waiters.add(waiter)
        waiters.record_appended(waiter.token, index, term)
    waiters.resolve_skipped(5)
    waiters.resolve_applied(Entry(6, 2, 1), b"reply")
    assert lost.result.get().failure().failure is ProposalFailure.UNKNOWN
    assert taken.result.get().failure().failure is ProposalFailure.NOT_ACCEPTED
    assert kept.result.get().unwrap() == b"reply"
