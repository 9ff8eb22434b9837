"""gevent driver of a replica core: event queue, storage and waiting callers."""

import math
import random
import time
import uuid
from dataclasses import dataclass

import gevent
from gevent.queue import SimpleQueue
from returns.result import Failure, Success

from sassafrashook.base import Parametrized
from sassafrashook.consensus._actions import (
    LeaveGroup,
    ReadRequested,
    ReplaceMember,
    Role,
    TransferLeadership,
)
from sassafrashook.consensus._core import (
    DEFAULT_TOLERATED_LOSSES,
    DRIFT_FRACTION,
    ELECTION_MAX_MS,
    ELECTION_MIN_MS,
    HEARTBEAT_MS,
    SNAPSHOT_ENTRIES,
    TRAILING_ENTRIES,
    ReplicaCore,
)
from sassafrashook.consensus._loop import MAX_QUEUED_INPUTS, LoopMixin
from sassafrashook.consensus._persistence import ReplicaStorage
from sassafrashook.consensus._waiters import ProposalWaiters, Waiter
from sassafrashook.consensus._writer import StorageWriter
from sassafrashook.interfaces import ProposalError, ProposalErrorReason, ReplicatedLog
from sassafrashook.storage import DataFolder, LocalFileSystem
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import Interval

__all__ = ["Replica", "ReplicaStatus"]

READ_ATTEMPT_TIMEOUT_MS = 300
POLL_INTERVAL_MS = 20


@dataclass(slots=True, frozen=True)
class ReplicaStatus:
    """Status of a replica and its view of the group.

    :param name: name of the replica.
    :param identity: identity of its data folder.
    :param role: a :class:`Role`.
    :param term: current term.
    :param leader: name of the known leader, or empty.
    :param commit_index: index of the last committed entry.
    :param applied_index: index of the last applied entry.
    :param last_index: index of the last entry in the log.
    :param lease_s: remaining time of the leader lease, seconds; 0 without a lease.
    :param failure: reason why the replica stopped, ``stopped`` after a normal stop, or empty.
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

    One greenlet owns the core and the state machine. A second greenlet writes and syncs files in
    the hub's thread pool, and combines all writes queued during a sync into the next sync.

    :param name: name of this replica.
    :param members: names of the initial members.
    :param folder: path of the data folder.
    :param state_machine: a :class:`~sassafrashook.base.StateMachine`; its methods must not block.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param clock: callable that returns monotonic seconds.
    :param rng: ``random.Random`` for the election timeouts, or ``None`` for a new one.
    :param group: name of the group.
    :param bootstrap: whether this replica may take part in bootstrapping the group. The setting
        may stay on later: after a disk loss, the host's name is bound to its previous identity.
    :param heartbeat_ms: interval between heartbeats, milliseconds.
    :param election_min_ms: minimum election timeout, milliseconds.
    :param election_max_ms: maximum election timeout, milliseconds.
    :param drift_fraction: maximum relative error of a clock's rate, as a fraction.
    :param snapshot_entries: minimum number of committed entries between two snapshots.
    :param trailing_entries: number of entries before a snapshot that are kept for lagging
        members.
    :param tolerated_losses: number of disks that may be lost at the same time; see
        :class:`ReplicaCore`.
    :param automatic_membership: whether the leader adds and removes members automatically.
    :param link_bytes_per_s: bandwidth of this host's link, in bytes per second.
    :param file_system: a :class:`~sassafrashook.storage.FileSystem`, or ``None`` for the local
        one.
    :param on_failure: called with the error that stopped the replica; the process must stop.
    :param on_write: called with the duration of each synced write, milliseconds.

    :ivar core_: the :class:`ReplicaCore`.
    :ivar applied_index_: index of the last entry applied to the state machine.
    :ivar failure_: error that stopped the replica, the string ``stopped`` after :meth:`stop`, or
        ``None``.

    :raises StorageError: from :meth:`start` if the data folder cannot be used.

    See also :class:`~sassafrashook.interfaces.ReplicatedLog`.

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
        tolerated_losses=DEFAULT_TOLERATED_LOSSES,
        automatic_membership=False,
        link_bytes_per_s=math.inf,
        file_system=None,
        on_failure=None,
        on_write=None,
    ):
        self.name = name
        self.initial_members = tuple(members)
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
        self.automatic_membership = automatic_membership
        self.link_bytes_per_s = link_bytes_per_s
        self.file_system = file_system
        self.on_failure = on_failure
        self.on_write = on_write

    def start(self):
        """Open the data folder, recover the state and join the group.

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
        self._logged_members = ()
        self._logged_lost_identities = frozenset()
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
            self._folder.boot_number_,
            uuid.uuid4().hex[:12],
            self.initial_members,
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
            automatic_membership=self.automatic_membership,
            initial_state=self.state_machine.save(),
            link_bytes_per_s=self.link_bytes_per_s,
        )
        self._execute_actions(self.core_.start(recovered, self.clock()))

    def stop(self):
        """Stop and release the data folder; pending proposals fail with ``unknown``."""
        gevent.killall(self._greenlets)
        self._writer.stop()
        self._waiters.resolve_all(ProposalError(ProposalErrorReason.UNKNOWN))
        for waiter in self._reads.values():
            waiter.result.set(False)
        if self.failure_ is None:
            self.failure_ = "stopped"
        self._folder.close()

    def deliver(self, sender_name, message):
        """Enqueue a message from another replica.

        :param sender_name: sender name that the transport has authenticated.
        :param message: a message of ``CONSENSUS_MESSAGES``.
        :returns: whether the message was enqueued.
        """
        if self.failure_ is not None:
            return False
        if message.sender != sender_name:
            self.core_.rejection_counts_["wrong_sender"] += 1
            return False
        if self._inputs.qsize() >= MAX_QUEUED_INPUTS:
            self.core_.rejection_counts_["queue_full"] += 1
            return False
        self._inputs.put(message)
        return True

    def propose(self, command, deadline):
        """Commit and apply a command; see :class:`~sassafrashook.interfaces.ReplicatedLog`."""
        if self.failure_ is not None or deadline <= self.clock():
            return Failure(ProposalError(ProposalErrorReason.NOT_ACCEPTED, self.get_leader()))
        if self._inputs.qsize() >= MAX_QUEUED_INPUTS:
            return Failure(ProposalError(ProposalErrorReason.NOT_ACCEPTED, self.get_leader()))
        waiter = Waiter(self._generate_token(), command)
        self._inputs.put(waiter)
        try:
            return waiter.result.get(timeout=max(0.0, deadline - self.clock()))
        except gevent.Timeout:
            return self._cancel_proposal(waiter)

    def _cancel_proposal(self, waiter):
        """Stop waiting; a command that was not submitted to the core yet will never be appended."""
        if waiter.result.ready():
            return waiter.result.get()
        waiter.cancelled = True
        self._waiters.remove(waiter)
        failure = (
            ProposalErrorReason.UNKNOWN if waiter.submitted else ProposalErrorReason.NOT_ACCEPTED
        )
        return Failure(ProposalError(failure, self.get_leader()))

    def confirm_read(self, deadline):
        """Wait for a linearizable read; see :class:`~sassafrashook.interfaces.ReplicatedLog`."""
        while self.failure_ is None and self.clock() < deadline:
            if self._request_read(deadline):
                return Success(self.applied_index_)
        return Failure(ProposalError(ProposalErrorReason.NOT_LEADER, self.get_leader()))

    def _request_read(self, deadline):
        """Request a read index once and wait until it is applied.

        :returns: whether it was applied in time.
        """
        waiter = Waiter(self._generate_token(), b"")
        self._reads[waiter.token] = waiter
        self._inputs.put(ReadRequested(waiter.token))
        timeout = max(0.0, min(READ_ATTEMPT_TIMEOUT_MS / 1000, deadline - self.clock()))
        try:
            is_applied = self._wait_for_read(waiter, timeout, deadline)
        except gevent.Timeout:
            return False
        finally:
            self._reads.pop(waiter.token, None)
        if not is_applied:
            gevent.sleep(POLL_INTERVAL_MS / 1000)
        return is_applied

    def _wait_for_read(self, waiter, timeout, deadline):
        """Wait until a read is confirmed and applied.

        A confirmed read waits for its index until the deadline: another one would have to wait for
        a later index.
        """
        try:
            return waiter.result.get(timeout=timeout)
        except gevent.Timeout:
            if not waiter.submitted:
                raise
        return waiter.result.get(timeout=max(0.0, deadline - self.clock()))

    def get_leader(self):
        """Return the name of the known leader, or an empty string."""
        return self.core_.leader_

    def get_leading_term(self, now):
        """Return the term while this replica holds the leader lease, else 0.

        :param now: seconds. The clock is used if it is later, as after the process was suspended.
        """
        if self.failure_ is not None:
            return 0
        return self.core_.get_leading_term(max(now, self.clock()))

    def transfer_leadership(self, deadline, target=""):
        """Transfer leadership to another voter.

        :param deadline: monotonic seconds.
        :param target: name of a voter, or empty for the most up-to-date one.
        :returns: whether this replica no longer leads.
        """
        self._inputs.put(TransferLeadership(target))
        return self._wait_until(lambda: self.core_.role_ is not Role.LEADER, deadline)

    def leave_group(self, deadline):
        """Leave the group before the process stops, unless the group needs this replica's vote.

        :param deadline: monotonic seconds.
        :returns: the :class:`~sassafrashook.consensus.Departure` that was reached.
        """
        core = self.core_
        self._inputs.put(LeaveGroup())
        self._wait_until(lambda: core.departure_.is_decided, deadline)
        return core.departure_

    def replace_member(self, name, deadline):
        """Replace a member that lost its disk by the new identity that its host announced.

        :param name: name of the member.
        :param deadline: monotonic seconds.
        :returns: ``Success`` of the list of members once the new identity is a voter and has
            synced that configuration, or ``Failure`` of the reason, ``str``. A change that was
            started continues after a failure.
        """
        core = self.core_
        identity = self._wait_for_replacement(name, deadline)
        if identity is None:
            return Failure(core.find_replacement_error(name, self.clock()) or "deadline_passed")
        self._inputs.put(ReplaceMember(name))
        done = self._wait_until(lambda: core.is_replacement_complete(name, identity), deadline)
        return Success(self.get_members()) if done else Failure("deadline_passed")

    def is_replacement_complete(self, name, replaced_identity):
        """Return whether the replacement of an identity is complete.

        :param name: name of the member.
        :param replaced_identity: previous identity of the member; the core's method of the same
            name takes the new one.
        """
        present = [member.identity for member in self.get_members() if member.name == name]
        is_single = len(present) == 1 and replaced_identity not in present
        return is_single and self.core_.is_replacement_complete(name, present[0])

    def _wait_for_replacement(self, name, deadline):
        core = self.core_
        transient_errors = ("change_in_progress", "no_new_identity")
        self._wait_until(
            lambda: core.find_replacement_identity(name, self.clock()) is not None
            or core.find_replacement_error(name, self.clock()) not in transient_errors,
            deadline,
        )
        return core.find_replacement_identity(name, self.clock())

    def _wait_until(self, condition, deadline):
        while not condition() and self.clock() < deadline and self.failure_ is None:
            gevent.sleep(POLL_INTERVAL_MS / 1000)
        return condition()

    def get_members(self):
        """Return the list of :class:`Member` of the latest configuration in the log."""
        return list(self.core_.configuration_)

    def add_announcement_targets(self, names):
        """Add names of members that this replica may announce itself to."""
        self.core_.add_announcement_targets(names)

    def get_rejection_counts(self):
        """Return the number of rejected messages by reason."""
        return dict(self.core_.rejection_counts_)

    def count_lost_voters(self):
        """Return the number of voters that the latest candidacy knew to be lost for good."""
        return len(self.core_.candidacy_lost_identities_)

    def get_status(self):
        """Return a :class:`ReplicaStatus`."""
        core = self.core_
        lease = core.get_lease_deadline() - self.clock() if core.role_ is Role.LEADER else 0.0
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
        """Register a callable to call after entries were applied or the role has changed."""
        self._callbacks.append(callback)

    def _generate_token(self):
        self._next_token += 1
        return self._next_token
