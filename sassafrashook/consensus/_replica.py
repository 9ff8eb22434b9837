"""One replica in a process: the core, its files, its queue and those who wait for it."""

import random
import time
import uuid
from dataclasses import dataclass

import gevent
from gevent.queue import SimpleQueue
from returns.result import Failure, Success

from sassafrashook.base import Parametrized
from sassafrashook.consensus._actions import (
    ReadOffered,
    ReplaceMember,
    Role,
    TransferLeadership,
)
from sassafrashook.consensus._core import (
    DRIFT_FRACTION,
    ELECTION_MAX_MS,
    ELECTION_MIN_MS,
    HEARTBEAT_MS,
    NO_LOSSES,
    SNAPSHOT_ENTRIES,
    TRAILING_ENTRIES,
    ReplicaCore,
)
from sassafrashook.consensus._loop import MAX_QUEUED_INPUTS, LoopMixin
from sassafrashook.consensus._persistence import ReplicaStorage
from sassafrashook.consensus._waiters import ProposalWaiters, Waiter
from sassafrashook.consensus._writer import StorageWriter
from sassafrashook.gateways import ProposalError, ProposalFailure, ReplicatedLog
from sassafrashook.storage import DataFolder, LocalFileSystem
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import Interval

__all__ = ["Replica", "ReplicaStatus"]

READ_RETRY_MS = 300
POLL_MS = 20


@dataclass(slots=True, frozen=True)
class ReplicaStatus:
    """What a replica knows of itself and its group.

    :param role: a :class:`Role`.
    :param leader: name of the replica believed to lead, or empty.
    :param lease_s: seconds for which a quorum has confirmed this leader, 0 if it has not.
    :param failure: why the replica stopped, or empty.
    """

    name: str
    identity: str
    role: Role
    term: int
    leader: str
    commit_index: int
    applied_index: int
    last_index: int
    lease_s: float
    failure: str = ""


class Replica(LoopMixin, Parametrized, ReplicatedLog):
    """Drives one :class:`~sassafrashook.consensus.ReplicaCore` under gevent.

    One greenlet owns the core and the state machine; a second one writes and syncs files in the
    hub's thread pool, and takes all that queued up meanwhile into the next sync.

    :param name: this replica's name.
    :param members: names of the initial members.
    :param folder: path of the data folder.
    :param state_machine: a :class:`~sassafrashook.base.StateMachine`; its methods must not block.
    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param clock: returns monotonic seconds.
    :param rng: ``random.Random``.
    :param group: name of the group.
    :param bootstrap: whether this replica may help to found the group. It is harmless later: a
        host whose disk was lost finds its name bound to another identity.
    :param heartbeat_ms: time between two heartbeats.
    :param election_min_ms: shortest time until a silent leader is challenged.
    :param election_max_ms: longest time until a silent leader is challenged.
    :param drift_fraction: bound on how much faster or slower a clock may run.
    :param snapshot_entries: a snapshot is taken after this many committed entries.
    :param trailing_entries: entries kept behind a snapshot for members that lag.
    :param tolerated_losses: disks that may be lost at once; see :class:`ReplicaCore`.
    :param manages_members: whether the leader admits and removes members by itself.
    :param file_system: a :class:`~sassafrashook.storage.FileSystem`.
    :param on_failure: called with the error after which the process must stop.
    :param on_write: called with the milliseconds that each synced write took.

    Attributes: ``core_`` is the core; ``applied_index_`` what the state machine holds;
    ``failure_`` the error that stopped the replica, or ``None``.

    :raises StorageError: from :meth:`start` if the data folder cannot be used.

    See also :class:`~sassafrashook.gateways.ReplicatedLog`.

    >>> import tempfile
    >>> from sassafrashook.base import StateMachine
    >>> class Echo(StateMachine):
    ...     def apply(self, index, command): return command
    ...     def save(self): return b""
    ...     def restore(self, snapshot): pass
    >>> with tempfile.TemporaryDirectory() as path:
    ...     replica = Replica(
    ...         "a", ("a",), path, Echo(), None, bootstrap=True,
    ...         heartbeat_ms=5, election_min_ms=10, election_max_ms=20)
    ...     replica.start()
    ...     applied = replica.confirm_read(time.monotonic() + 10)
    ...     result = replica.propose(b"hello", time.monotonic() + 10)
    ...     replica.stop()
    >>> result.unwrap()
    b'hello'
    """

    _parameter_constraints = {
        "heartbeat_ms": Interval(int, 1, 60_000),
        "election_min_ms": Interval(int, 2, 600_000),
        "election_max_ms": Interval(int, 3, 600_000),
        "snapshot_entries": Interval(int, 1),
    }

    def __init__(
        self,
        name,
        members,
        folder,
        state_machine,
        sender,
        clock=time.monotonic,
        rng=None,
        group="main",
        bootstrap=False,
        heartbeat_ms=HEARTBEAT_MS,
        election_min_ms=ELECTION_MIN_MS,
        election_max_ms=ELECTION_MAX_MS,
        drift_fraction=DRIFT_FRACTION,
        snapshot_entries=SNAPSHOT_ENTRIES,
        trailing_entries=TRAILING_ENTRIES,
        tolerated_losses=NO_LOSSES,
        manages_members=False,
        file_system=None,
        on_failure=None,
        on_write=None,
    ):
        self.name = name
        self.members_at_start = tuple(members)
        self.folder = folder
        self.state_machine = state_machine
        self.sender = sender
        self.clock = clock
        self.rng = rng
        self.group = group
        self.bootstrap = bootstrap
        self.heartbeat_ms = heartbeat_ms
        self.election_min_ms = election_min_ms
        self.election_max_ms = election_max_ms
        self.drift_fraction = drift_fraction
        self.snapshot_entries = snapshot_entries
        self.trailing_entries = trailing_entries
        self.tolerated_losses = tolerated_losses
        self.manages_members = manages_members
        self.file_system = file_system
        self.on_failure = on_failure
        self.on_write = on_write

    def start(self):
        """Open the data folder, recover the state and begin to take part.

        :raises StorageError: if the folder is locked, corrupt or cannot be written.
        :raises ParameterError: if a parameter is outside its range.
        """
        self.validate_parameters()
        self.failure_ = None
        self.applied_index_ = 0
        self._callbacks = []
        self._inputs = SimpleQueue()
        self._waiters = ProposalWaiters()
        self._reads = {}
        self._next_token = 0
        self._known_members = ()
        self._folder = DataFolder(self.file_system or LocalFileSystem(), self.folder)
        self._folder.open()
        try:
            self._open_core()
        except Exception:
            self._folder.close()
            raise
        self._greenlets = [spawn_task(self._run), spawn_task(self._writer.run)]

    def _open_core(self):
        storage = ReplicaStorage(self._folder)
        recovered = storage.load()
        self._writer = StorageWriter(
            storage, self._inputs.put, self._fail, self.on_write or (lambda _duration_ms: None)
        )
        self.core_ = ReplicaCore(
            self.name,
            self._folder.identity_,
            self._folder.boot_,
            uuid.uuid4().hex[:12],
            self.members_at_start,
            self.rng or random.Random(),
            group=self.group,
            bootstrap=self.bootstrap,
            heartbeat_ms=self.heartbeat_ms,
            election_min_ms=self.election_min_ms,
            election_max_ms=self.election_max_ms,
            drift_fraction=self.drift_fraction,
            snapshot_entries=self.snapshot_entries,
            trailing_entries=self.trailing_entries,
            tolerated_losses=self.tolerated_losses,
            manages_members=self.manages_members,
        )
        self._perform(self.core_.start(recovered, self.clock()))

    def stop(self):
        """Stop taking part and release the data folder; waiting callers are told ``unknown``."""
        gevent.killall(self._greenlets)
        self._writer.stop()
        self._waiters.resolve_all(ProposalError(ProposalFailure.UNKNOWN))
        for waiter in self._reads.values():
            waiter.result.set(False)
        if self.failure_ is None:
            self.failure_ = "stopped"
        self._folder.close()

    def deliver(self, sender_name, message):
        """Take one message from another replica.

        :param sender_name: name that the transport has verified.
        :param message: a message of ``CONSENSUS_MESSAGES``.
        :returns: whether it was queued.
        """
        if self.failure_ is not None:
            return False
        if message.sender != sender_name:
            self.core_.refusals_["wrong_sender"] += 1
            return False
        if self._inputs.qsize() >= MAX_QUEUED_INPUTS:
            self.core_.refusals_["queue_full"] += 1
            return False
        self._inputs.put(message)
        return True

    def propose(self, command, deadline):
        """Commit and apply one command; see :class:`~sassafrashook.gateways.ReplicatedLog`."""
        if self.failure_ is not None or deadline <= self.clock():
            return Failure(ProposalError(ProposalFailure.NOT_ACCEPTED, self.leader()))
        if self._inputs.qsize() >= MAX_QUEUED_INPUTS:
            return Failure(ProposalError(ProposalFailure.NOT_ACCEPTED, self.leader()))
        waiter = Waiter(self._draw_token(), command)
        self._inputs.put(waiter)
        try:
            return waiter.result.get(timeout=max(0.0, deadline - self.clock()))
        except gevent.Timeout:
            return self._abandon(waiter)

    def _abandon(self, waiter):
        """Give up waiting; a command that the core has not seen yet never will be appended."""
        if waiter.result.ready():
            return waiter.result.get()
        waiter.abandoned = True
        self._waiters.forget(waiter)
        failure = ProposalFailure.UNKNOWN if waiter.offered else ProposalFailure.NOT_ACCEPTED
        return Failure(ProposalError(failure, self.leader()))

    def confirm_read(self, deadline):
        """Wait for a linearizable read; see :class:`~sassafrashook.gateways.ReplicatedLog`."""
        while self.failure_ is None and self.clock() < deadline:
            if self._request_read(deadline):
                return Success(self.applied_index_)
        return Failure(ProposalError(ProposalFailure.NOT_LEADER, self.leader()))

    def _request_read(self, deadline):
        """Ask once for an index and wait until it is applied; :returns: whether it is."""
        waiter = Waiter(self._draw_token(), b"")
        self._reads[waiter.token] = waiter
        self._inputs.put(ReadOffered(waiter.token))
        timeout = max(0.0, min(READ_RETRY_MS / 1000, deadline - self.clock()))
        try:
            is_applied = waiter.result.get(timeout=timeout)
        except gevent.Timeout:
            return False
        finally:
            self._reads.pop(waiter.token, None)
        if not is_applied:
            gevent.sleep(POLL_MS / 1000)
        return is_applied

    def leader(self):
        """Return the name of the replica believed to lead, or an empty string."""
        return self.core_.leader_

    def leading_term(self, now):
        """Return the term while the lease holds, else 0.

        :param now: seconds; the present time is used if that is later, as after a freeze.
        """
        if self.failure_ is not None:
            return 0
        return self.core_.leading_term(max(now, self.clock()))

    def transfer_leadership(self, deadline, target=""):
        """Hand leadership over.

        :param deadline: monotonic seconds.
        :param target: name of a voter, or empty for the one that is furthest.
        :returns: whether this replica no longer leads.
        """
        self._inputs.put(TransferLeadership(target))
        return self._wait_until(lambda: self.core_.role_ is not Role.LEADER, deadline)

    def replace_member(self, name, deadline):
        """Replace a member whose disk was lost by the new identity that its host announced.

        :param name: name of the member.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of the list of members once the new identity votes and has synced
            that, or ``Failure`` of the obstacle, ``str``; a change begun goes on by itself.
        """
        core = self.core_
        identity = self._wait_for_replacement(name, deadline)
        if identity is None:
            return Failure(core.find_obstacle(name, self.clock()) or "deadline_passed")
        self._inputs.put(ReplaceMember(name))
        done = self._wait_until(lambda: core.has_replaced(name, identity), deadline)
        return Success(self.members()) if done else Failure("deadline_passed")

    def has_replaced(self, name, lost):
        """Return whether a lost identity of a name is gone for good.

        :param lost: the identity that was replaced.
        """
        present = [member.identity for member in self.members() if member.name == name]
        is_single = len(present) == 1 and lost not in present
        return is_single and self.core_.has_replaced(name, present[0])

    def _wait_for_replacement(self, name, deadline):
        core = self.core_
        passing = ("change_in_progress", "no_new_identity")
        self._wait_until(
            lambda: core.find_replacement(name, self.clock()) is not None
            or core.find_obstacle(name, self.clock()) not in passing,
            deadline,
        )
        return core.find_replacement(name, self.clock())

    def _wait_until(self, condition, deadline):
        while not condition() and self.clock() < deadline and self.failure_ is None:
            gevent.sleep(POLL_MS / 1000)
        return condition()

    def members(self):
        """Return the newest list of :class:`Member` in the log."""
        return list(self.core_.configuration_)

    def add_contacts(self, names):
        """Learn names of members that this replica may announce itself to."""
        self.core_.add_contacts(names)

    def refusals(self):
        """Return how many messages were refused, by reason."""
        return dict(self.core_.refusals_)

    def status(self):
        """Return a :class:`ReplicaStatus`."""
        core = self.core_
        lease = core.lease_deadline() - self.clock() if core.role_ is Role.LEADER else 0.0
        return ReplicaStatus(
            self.name,
            core.identity,
            core.role_,
            core.term_,
            core.leader_,
            core.commit_index_,
            self.applied_index_,
            core.log_.last_index,
            max(0.0, lease),
            str(self.failure_ or ""),
        )

    def subscribe(self, callback):
        """Have ``callback()`` called after entries were applied or the role changed."""
        self._callbacks.append(callback)

    def _draw_token(self):
        self._next_token += 1
        return self._next_token
