"""The replicated log's decisions, without input or output."""

from collections import Counter

from sassafrashook.base import Core
from sassafrashook.consensus._actions import (
    Persisted,
    ProposalsOffered,
    ReadOffered,
    ReplaceMember,
    Role,
    SnapshotSaved,
    TransferLeadership,
)
from sassafrashook.consensus._admission import AdmissionMixin
from sassafrashook.consensus._durability import DurabilityMixin
from sassafrashook.consensus._elections import ElectionMixin
from sassafrashook.consensus._membership import MembershipMixin
from sassafrashook.consensus._messages import (
    AppendAnswered,
    AppendRequested,
    ElectionRequested,
    IdentityAnnounced,
    ReadAnswered,
    ReadForwarded,
    SnapshotAnswered,
    SnapshotPiece,
    VoteAnswered,
    VoteRequested,
)
from sassafrashook.consensus._reads import ReadMixin
from sassafrashook.consensus._replication import ReplicationMixin
from sassafrashook.consensus._snapshot_transfer import SnapshotTransferMixin
from sassafrashook.utils import Interval, Options

__all__ = ["ReplicaCore"]

HEARTBEAT_MS = 150
ELECTION_MIN_MS = 1000
ELECTION_MAX_MS = 2000
DRIFT_FRACTION = 0.05
MAX_IN_FLIGHT_ENTRIES = 1024
MAX_IN_FLIGHT_BYTES = 4 * 1024 * 1024
MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 512 * 1024
MAX_UNCOMMITTED_ENTRIES = 8192
SNAPSHOT_PIECE_BYTES = 256 * 1024
SNAPSHOT_ENTRIES = 500
TRAILING_ENTRIES = 100
NO_LOSSES = 0


class ReplicaCore(
    AdmissionMixin,
    ElectionMixin,
    ReplicationMixin,
    SnapshotTransferMixin,
    MembershipMixin,
    ReadMixin,
    DurabilityMixin,
    Core,
):
    """One replica of a Raft-style replicated log.

    The core speaks of a term, a vote or an entry only after it was told that they are synced.

    :param name: this replica's name.
    :param identity: identity of its data folder.
    :param boot: counts the starts on that folder, from 1.
    :param boot_id: unique for this start.
    :param members: names of the initial members, this one included or not.
    :param rng: ``random.Random``.
    :param group: name of the group; messages of other groups are refused.
    :param bootstrap: whether this replica may help to found the group.
    :param heartbeat_ms: time between two heartbeats.
    :param election_min_ms: a voter that heard from a leader votes for no other one this long.
    :param election_max_ms: longest time until a silent leader is challenged.
    :param drift_fraction: bound on how much faster or slower a clock may run.
    :param max_in_flight_entries: entries sent to one member and not acknowledged.
    :param max_in_flight_bytes: their size.
    :param max_batch_entries: entries in one message.
    :param max_batch_bytes: their size.
    :param max_uncommitted_entries: proposals beyond this are refused.
    :param snapshot_piece_bytes: size of one piece of a snapshot.
    :param snapshot_entries: a snapshot is taken after this many committed entries, later if
        the state is large against the entries.
    :param trailing_entries: entries kept behind a snapshot for members that lag.
    :param tolerated_losses: disks that may be lost at once; an entry is committed once one more
        than these hold it, a majority at least.
    :param manages_members: whether the leader admits replicas that announce themselves, and
        removes silent ones that the group can do without.

    Attributes: ``term_``, ``role_``, ``leader_`` (a name), ``commit_index_``,
    ``durable_index_``, and ``refusals_``, a counter of refused messages by reason.

    :raises InvariantError: from :meth:`handle` and :meth:`advance`; the replica must stop.

    See also :class:`~sassafrashook.consensus.Replica`.

    >>> import random
    >>> from sassafrashook.consensus import RecoveredState
    >>> core = ReplicaCore("a", "1", 1, "x", ("a",), random.Random(1), bootstrap=True)
    >>> actions = core.start(RecoveredState(), 0.0)
    >>> core.role_.value
    'follower'
    """

    _parameter_constraints = {
        "bootstrap": Options(bool),
        "heartbeat_ms": Interval(int, 1, 60_000),
        "election_min_ms": Interval(int, 2, 600_000),
        "election_max_ms": Interval(int, 3, 600_000),
        "drift_fraction": Interval(float, 0.0, 0.3),
        "max_in_flight_entries": Interval(int, 1),
        "max_in_flight_bytes": Interval(int, 1),
        "max_batch_entries": Interval(int, 1),
        "max_batch_bytes": Interval(int, 1),
        "max_uncommitted_entries": Interval(int, 1),
        "snapshot_piece_bytes": Interval(int, 1),
        "snapshot_entries": Interval(int, 1),
        "trailing_entries": Interval(int, 0),
        "tolerated_losses": Interval(int, 0, 16),
        "manages_members": Options(bool),
    }

    _handlers = {
        AppendAnswered: "_on_append_answered",
        AppendRequested: "_on_append_requested",
        ElectionRequested: "_on_election_requested",
        IdentityAnnounced: "_on_identity_announced",
        Persisted: "_on_persisted",
        ProposalsOffered: "_on_proposals_offered",
        ReadAnswered: "_on_read_answered",
        ReadForwarded: "_on_read_forwarded",
        ReadOffered: "_on_read_offered",
        ReplaceMember: "_on_replace_member",
        SnapshotAnswered: "_on_snapshot_answered",
        SnapshotPiece: "_on_snapshot_piece",
        SnapshotSaved: "_on_snapshot_saved",
        TransferLeadership: "_on_transfer_leadership",
        VoteAnswered: "_on_vote_answered",
        VoteRequested: "_on_vote_requested",
    }

    def __init__(
        self,
        name,
        identity,
        boot,
        boot_id,
        members,
        rng,
        group="main",
        bootstrap=False,
        heartbeat_ms=HEARTBEAT_MS,
        election_min_ms=ELECTION_MIN_MS,
        election_max_ms=ELECTION_MAX_MS,
        drift_fraction=DRIFT_FRACTION,
        max_in_flight_entries=MAX_IN_FLIGHT_ENTRIES,
        max_in_flight_bytes=MAX_IN_FLIGHT_BYTES,
        max_batch_entries=MAX_BATCH_ENTRIES,
        max_batch_bytes=MAX_BATCH_BYTES,
        max_uncommitted_entries=MAX_UNCOMMITTED_ENTRIES,
        snapshot_piece_bytes=SNAPSHOT_PIECE_BYTES,
        snapshot_entries=SNAPSHOT_ENTRIES,
        trailing_entries=TRAILING_ENTRIES,
        tolerated_losses=NO_LOSSES,
        manages_members=False,
    ):
        self.name = name
        self.identity = identity
        self.boot = boot
        self.boot_id = boot_id
        self.members = members
        self.rng = rng
        self.group = group
        self.bootstrap = bootstrap
        self.heartbeat_ms = heartbeat_ms
        self.election_min_ms = election_min_ms
        self.election_max_ms = election_max_ms
        self.drift_fraction = drift_fraction
        self.max_in_flight_entries = max_in_flight_entries
        self.max_in_flight_bytes = max_in_flight_bytes
        self.max_batch_entries = max_batch_entries
        self.max_batch_bytes = max_batch_bytes
        self.max_uncommitted_entries = max_uncommitted_entries
        self.snapshot_piece_bytes = snapshot_piece_bytes
        self.snapshot_entries = snapshot_entries
        self.trailing_entries = trailing_entries
        self.tolerated_losses = tolerated_losses
        self.manages_members = manages_members

    def start(self, recovered, now):
        """Begin from what the data folder holds.

        :param recovered: a :class:`RecoveredState`.
        :param now: seconds.
        :returns: the list of actions to carry out.
        """
        self.validate_parameters()
        self.heartbeat_s_ = self.heartbeat_ms / 1000
        self.election_min_s_ = self.election_min_ms / 1000
        self.election_max_s_ = self.election_max_ms / 1000
        self.refusals_ = Counter()
        self._reset_outputs()
        self._recover(recovered)
        self._start_admission()
        self._start_elections(now)
        self._start_replication(now)
        self._start_snapshot_transfer()
        self._start_membership(recovered.genesis, now)
        self._start_reads()
        return self._finish(now)

    def handle(self, event, now):
        """Take one event or message.

        :param event: an :class:`~sassafrashook.base.Event` of this package, or a message.
        :param now: seconds.
        :returns: the list of actions to carry out, in order.
        """
        self._check_quorum(now)
        method = getattr(self, self._handlers[type(event)])
        if isinstance(event, self._message_types):
            reason = self._find_refusal(event, now)
            if reason is not None:
                self.refusals_[reason] += 1
                return self._finish(now)
        method(event, now)
        return self._finish(now)

    def advance(self, now):
        """Do what has become due.

        :param now: seconds.
        :returns: the list of actions to carry out, in order.
        """
        self._check_quorum(now)
        if self.role_ is Role.LEADER:
            self._advance_leader(now)
        elif self.role_ is Role.UNBOUND:
            self._advance_unbound(now)
        elif now >= self.election_deadline_:
            self._start_pre_vote(now)
        return self._finish(now)

    def add_contacts(self, names):
        """Learn names of members to announce this replica to while it is not one itself.

        :param names: iterable of names.
        """
        self.contacts_ |= set(names) - {self.name}

    def next_deadline(self):
        """Return when :meth:`advance` must be called next, seconds."""
        if self.role_ is Role.LEADER:
            return min(self.heartbeat_deadline_, self._quorum_deadline())
        if self.role_ is Role.UNBOUND:
            return self.announce_deadline_
        return self.election_deadline_
