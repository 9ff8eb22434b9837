"""Replicas on real files, connected by an in-process sender."""

import random
import time
from hashlib import blake2b

import gevent
import pytest
from returns.result import Success

from sassafrashook.base import StateMachine
from sassafrashook.consensus import Entry, Replica, Role
from sassafrashook.consensus._waiters import ProposalWaiters, Waiter
from sassafrashook.interfaces import ProposalErrorReason, Sender
from sassafrashook.storage import DiskFullError, FolderLockedError, LocalFileSystem, StorageError

WAIT_S = 30


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < deadline:
        gevent.sleep(0.01)
    assert condition()


class DigestStateMachine(StateMachine):
    """Counts the applied commands and digests them in order."""

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


class InProcessSender(Sender):
    """Delivers messages between replicas unless one of them is isolated."""

    def __init__(self, name, replicas, isolated):
        self.name = name
        self.replicas = replicas
        self.isolated = isolated

    def send(self, peer, message):
        if peer not in self.replicas or {self.name, peer} & self.isolated:
            return False
        return self.replicas[peer].deliver(self.name, message)


class ReplicaGroup:
    """Replicas of one group in this process."""

    def __init__(self, path, names=("a", "b", "c"), **parameters):
        self.path = path
        self.names = names
        self.isolated = set()
        self.replicas = {}
        self.parameters = {
            "heartbeat_ms": 20,
            "election_min_ms": 150,
            "election_max_ms": 300,
            "bootstrap": True,
            **parameters,
        }

    def start(self, name, folder=None, **parameters):
        sender = InProcessSender(name, self.replicas, self.isolated)
        path = str(self.path / (folder or name))
        arguments = {**self.parameters, "rng": random.Random(name), **parameters}
        replica = Replica(name, self.names, path, DigestStateMachine(), sender, **arguments)
        replica.start()
        self.replicas[name] = replica
        return replica

    def stop(self, name):
        self.replicas.pop(name).stop()

    def find_leader(self):
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            for replica in self.replicas.values():
                if replica.get_leading_term(time.monotonic()):
                    return replica
            gevent.sleep(0.01)
        raise AssertionError("no leader")

    def propose(self, command):
        """Propose until a reply arrives; the command may be applied more than once."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            result = self.find_leader().propose(command, time.monotonic() + 2)
            if isinstance(result, Success):
                return result.unwrap()
        raise AssertionError("no reply")

    def wait_until_applied(self):
        """Wait until all replicas have applied all committed entries.

        :returns: set of their encoded states.
        """
        for replica in self.replicas.values():
            assert isinstance(replica.confirm_read(time.monotonic() + WAIT_S), Success)
        return {r.state_machine.save() for r in self.replicas.values()}


@pytest.fixture
def make_group(tmp_path):
    """Create groups whose replicas are stopped after the test."""
    groups = []

    def make(names=("a", "b", "c"), **parameters):
        group = ReplicaGroup(tmp_path, names, **parameters)
        groups.append(group)
        for name in names:
            group.start(name)
        return group

    yield make
    for group in groups:
        for name in list(group.replicas):
            group.stop(name)


@pytest.mark.parametrize("names", [("a",), ("a", "b", "c")])
def test_commands_are_applied_on_all_replicas(make_group, names):
    group = make_group(names)
    assert [group.propose(b"x") for _ in range(3)] == [b"1", b"2", b"3"]
    assert len(group.wait_until_applied()) == 1


def test_follower_rejects_proposals_as_not_leader(make_group):
    group = make_group()
    leader = group.find_leader()
    group.wait_until_applied()
    follower = next(r for r in group.replicas.values() if r is not leader)
    error = follower.propose(b"x", time.monotonic() + 5).failure()
    assert error.reason is ProposalErrorReason.NOT_LEADER
    assert error.leader == leader.name


def test_leader_without_quorum_confirms_nothing(make_group):
    group = make_group()
    old_leader = group.find_leader()
    group.isolated.add(old_leader.name)
    lost = old_leader.propose(b"lost", time.monotonic() + 0.05).failure()
    assert lost.reason is ProposalErrorReason.UNKNOWN
    wait_for(lambda: old_leader.core_.role_ is not Role.LEADER)
    assert old_leader.get_leading_term(time.monotonic()) == 0
    assert old_leader.confirm_read(time.monotonic() + 0.3).failure()
    group.propose(b"x")
    group.isolated.clear()
    assert len(group.wait_until_applied()) == 1


def test_state_is_recovered_after_1000_proposals(make_group):
    group = make_group()
    leader = group.find_leader()
    greenlets = [gevent.spawn(group.propose, b"%d" % i) for i in range(1000)]
    gevent.joinall(greenlets, raise_error=True)
    (digest,) = group.wait_until_applied()
    wait_for(lambda: leader.core_.snapshot_ is not None)
    for name in group.names:
        group.stop(name)
    for name in group.names:
        group.start(name)
    assert group.wait_until_applied() == {digest}


def test_leadership_transfer_to_named_voter(make_group):
    group = make_group()
    leader = group.find_leader()
    target = next(n for n in group.names if n != leader.name)
    assert leader.transfer_leadership(time.monotonic() + WAIT_S, target)
    assert group.find_leader().name == target


def test_second_member_may_fail_right_after_replacement(make_group):
    group = make_group(snapshot_entries=20)
    for i in range(50):
        group.propose(b"%d" % i)
    leader = group.find_leader()
    lost, second = [n for n in group.names if n != leader.name]
    group.stop(lost)
    replacement = group.start(lost, folder="new-" + lost)
    assert replacement.core_.role_ is Role.UNCONFIGURED
    result = leader.replace_member(lost, time.monotonic() + WAIT_S)
    assert isinstance(result, Success)
    group.stop(second)
    group.stop(leader.name)
    group.start(leader.name)
    assert group.propose(b"y") == b"51"
    assert len(group.wait_until_applied()) == 1


def test_storage_error_stops_replica_without_data_loss(make_group):
    file_system = FailingFileSystem()
    group = make_group()
    for number in range(5):
        group.propose(b"%d" % number)
    leader = group.find_leader()
    follower_name = next(n for n in group.names if n != leader.name)
    group.stop(follower_name)
    errors = []
    replica = group.start(follower_name, file_system=file_system, on_failure=errors.append)
    replica.confirm_read(time.monotonic() + WAIT_S)
    file_system.failing = True
    group.propose(b"x")
    wait_for(lambda: errors)
    assert "Input/output error" in replica.get_status().failure
    assert replica.propose(b"y", time.monotonic() + 5).failure()
    file_system.failing = False
    group.stop(follower_name)
    group.start(follower_name)
    assert len(group.wait_until_applied()) == 1


class FailingFileSystem(LocalFileSystem):
    """File system whose appends fail permanently while ``failing`` is set."""

    failing = False

    def append(self, path, data):
        if self.failing:
            raise StorageError(path, "Input/output error")
        super().append(path, data)


class FaultyFileSystem(LocalFileSystem):
    """File system whose appends block, or write one half and report a full disk."""

    full = False
    stalled = False
    failed_writes = 0

    def append(self, path, data):
        while self.stalled:
            time.sleep(0.01)
        if self.full:
            self.failed_writes += 1
            super().append(path, bytes(data[: len(data) // 2]))
            raise DiskFullError(path, "No space left on device")
        super().append(path, data)


def restart_with(group, name, file_system):
    errors = []
    group.stop(name)
    replica = group.start(name, file_system=file_system, on_failure=errors.append)
    replica.confirm_read(time.monotonic() + WAIT_S)
    return replica, errors


def test_writes_are_retried_while_disk_is_full(make_group):
    file_system = FaultyFileSystem()
    group = make_group()
    leader = group.find_leader()
    follower_name = next(n for n in group.names if n != leader.name)
    replica, errors = restart_with(group, follower_name, file_system)
    file_system.full = True
    for number in range(5):
        group.propose(b"%d" % number)
    wait_for(lambda: file_system.failed_writes >= 3)
    file_system.full = False
    assert len(group.wait_until_applied()) == 1
    assert not errors
    group.stop(follower_name)
    group.start(follower_name)
    assert len(group.wait_until_applied()) == 1


def test_leader_with_stalled_disk_transfers_leadership(make_group):
    file_system = FaultyFileSystem()
    group = make_group()
    leader = group.find_leader()
    replica, _ = restart_with(group, leader.name, file_system)
    wait_for(lambda: group.find_leader() is not None)
    replica.transfer_leadership(time.monotonic() + 1)
    while group.find_leader().name != leader.name:
        group.find_leader().transfer_leadership(time.monotonic() + 1, leader.name)
        gevent.sleep(0.05)
    file_system.stalled = True
    gevent.spawn(group.propose, b"x")
    try:
        wait_for(lambda: group.find_leader().name != leader.name)
        assert group.propose(b"y")
    finally:
        file_system.stalled = False
    assert len(group.wait_until_applied()) == 1


def test_log_is_compacted_after_snapshots(make_group):
    group = make_group(snapshot_entries=1, trailing_entries=2)
    for number in range(30):
        group.propose(b"%d" % number)
    group.wait_until_applied()
    leader = group.find_leader()
    wait_for(lambda: leader.core_.log_.base_index >= leader.core_.log_.last_index - 3)


def test_lease_check_uses_current_time_after_suspension(make_group):
    clock_skip_s = [0.0]
    group = make_group(("a",), clock=lambda: time.monotonic() + clock_skip_s[0])
    leader = group.find_leader()
    asked_at = time.monotonic()
    assert leader.get_leading_term(asked_at)
    clock_skip_s[0] = 60.0
    assert not leader.get_leading_term(asked_at)


def test_second_replica_on_data_folder_is_rejected(make_group):
    group = make_group()
    with pytest.raises(FolderLockedError):
        group.start("b", folder="a")


def test_proposals_fail_as_not_accepted_only_if_overwritten():
    waiters = ProposalWaiters()
    skipped, overwritten, committed = (Waiter(token, b"") for token in (1, 2, 3))
    for waiter, index, term in ((skipped, 5, 1), (overwritten, 6, 1), (committed, 6, 2)):
        waiters.add(waiter)
        waiters.record_appended(waiter.token, index, term)
    waiters.resolve_skipped(5)
    waiters.resolve_applied(Entry(6, 2, 1), b"reply")
    assert skipped.result.get().failure().reason is ProposalErrorReason.UNKNOWN
    assert overwritten.result.get().failure().reason is ProposalErrorReason.NOT_ACCEPTED
    assert committed.result.get().unwrap() == b"reply"


def test_read_is_started_anew_while_its_replica_applies_entries_late(tmp_path, monkeypatch):
    """Each new read would have to wait for the entries that were committed meanwhile."""
    replica = Replica(
        "a", ("a",), str(tmp_path), DigestStateMachine(), None, bootstrap=True, heartbeat_ms=20,
        election_min_ms=100, election_max_ms=200,
    )  # fmt: skip
    replica.start()
    try:
        assert isinstance(replica.confirm_read(time.monotonic() + WAIT_S), Success)
        complete, applied_at = replica._complete_reads, time.monotonic() + 0.6

        def complete_later():
            if time.monotonic() >= applied_at:
                complete()

        monkeypatch.setattr(replica, "_complete_reads", complete_later)
        gevent.spawn_later(0.65, complete)
        token = replica._next_token
        assert isinstance(replica.confirm_read(time.monotonic() + WAIT_S), Success)
        assert replica._next_token == token + 1
    finally:
        replica.stop()
