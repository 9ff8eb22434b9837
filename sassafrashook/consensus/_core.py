"""Sans-I/O state machine of one replica of the replicated log."""

import math
from collections import Counter

from sassafrashook.base import Core
from sassafrashook.consensus._actions import (
    LeaveGroup,
    Persisted,
    ProposalsSubmitted,
    ReadRequested,
    ReplaceMember,
    Role,
    SnapshotSaved,
    TransferLeadership,
)
from sassafrashook.consensus._departure import DepartureMixin
from sassafrashook.consensus._durability import DurabilityMixin
from sassafrashook.consensus._elections import ElectionMixin
from sassafrashook.consensus._lost_identities import LostIdentityMixin
from sassafrashook.consensus._membership import MembershipMixin
from sassafrashook.consensus._message_validation import MessageValidationMixin
from sassafrashook.consensus._messages import (
    AppendAnswered,
    AppendRequested,
    DepartureAnswered,
    DepartureRequested,
    ElectionRequested,
    IdentityAnnounced,
    IdentityConfirmed,
    IdentityQueried,
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
DEFAULT_TOLERATED_LOSSES = 0


class ReplicaCore(
    MessageValidationMixin,
    ElectionMixin,
    ReplicationMixin,
    SnapshotTransferMixin,
    MembershipMixin,
    LostIdentityMixin,
    DepartureMixin,
    ReadMixin,
    DurabilityMixin,
    Core,
):
    """One replica of a Raft-style replicated log.

    A message is released only after a :class:`Persisted` event has confirmed that the term, vote
    and bootstrap state that it depends on are durable. A leader may send entries that it has not
    synced yet; each replica acknowledges entries only once they are synced.

    :param name: name of this replica.
    :param identity: identity of its data folder.
    :param boot: number of process starts on that data folder, from 1.
    :param boot_id: unique id of this process start.
    :param members: names of the initial members, with or without this replica.
    :param rng: ``random.Random`` for the election timeouts.
    :param group: name of the group; messages of other groups are rejected.
    :param bootstrap: whether this replica may take part in bootstrapping the group.
    :param heartbeat_ms: interval between heartbeats, milliseconds.
    :param election_min_ms: minimum election timeout, milliseconds. A voter that has heard from a
        leader grants no vote to another candidate for this long.
    :param election_max_ms: maximum election timeout, milliseconds.
    :param drift_fraction: maximum relative error of a clock's rate, as a fraction.
    :param max_in_flight_entries: maximum number of unacknowledged entries per member.
    :param max_in_flight_bytes: maximum size of the unacknowledged entries per member, bytes.
    :param max_batch_entries: maximum number of entries per message.
    :param max_batch_bytes: maximum size of the entries of one message, bytes.
    :param max_uncommitted_entries: proposals are rejected while this many entries are
        uncommitted.
    :param snapshot_piece_bytes: size of one piece of a snapshot transfer, bytes.
    :param snapshot_entries: minimum number of committed entries between two snapshots. The
        interval is longer while the state is large relative to the new entries.
    :param trailing_entries: number of entries before a snapshot that are kept for lagging
        members.
    :param tolerated_losses: number of disks that may be lost at the same time. An entry is
        committed once it is on one disk more than this (all voters, if there are fewer), and
        on a majority of the voters. A new group accepts no commands until it has
        ``2 * tolerated_losses + 1`` voters.
    :param automatic_membership: whether the leader adds replicas that announce themselves, and
        removes silent voters beyond ``2 * tolerated_losses + 1``.
    :param initial_state: encoded state of the state machine before any command. A snapshot of
        another state shows that the group has committed commands; if this is ``None``, every
        snapshot does.
    :param link_bytes_per_s: bandwidth of this replica's link, in bytes per second. Large entries
        are resent later on a slow link, where they take longer than heartbeats.

    :ivar term_: current term.
    :ivar role_: current :class:`Role`.
    :ivar leader_: name of the known leader, or empty.
    :ivar commit_index_: index of the last committed entry.
    :ivar durable_index_: index of the last entry that is synced on this replica.
    :ivar departure_: a :class:`Departure`.
    :ivar rejection_counts_: ``Counter`` of rejected messages by reason.

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
        "automatic_membership": Options(bool),
    }

    _handlers = {
        AppendAnswered: "_on_append_answered",
        AppendRequested: "_on_append_requested",
        DepartureAnswered: "_on_departure_answered",
        DepartureRequested: "_on_departure_requested",
        ElectionRequested: "_on_election_requested",
        IdentityAnnounced: "_on_identity_announced",
        IdentityConfirmed: "_on_identity_confirmed",
        IdentityQueried: "_on_identity_queried",
        LeaveGroup: "_on_leave_group",
        Persisted: "_on_persisted",
        ProposalsSubmitted: "_on_proposals_submitted",
        ReadAnswered: "_on_read_answered",
        ReadForwarded: "_on_read_forwarded",
        ReadRequested: "_on_read_requested",
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
        tolerated_losses=DEFAULT_TOLERATED_LOSSES,
        automatic_membership=False,
        initial_state=None,
        link_bytes_per_s=math.inf,
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
        self.automatic_membership = automatic_membership
        self.initial_state = initial_state
        self.link_bytes_per_s = link_bytes_per_s

    def start(self, recovered, now):
        """Start from the state recovered from the data folder.

        :param recovered: a :class:`RecoveredState`.
        :param now: current time, seconds.
        :returns: list of actions to execute, in order.
        """
        self.validate_parameters()
        self.heartbeat_s_ = self.heartbeat_ms / 1000
        self.election_min_s_ = self.election_min_ms / 1000
        self.election_max_s_ = self.election_max_ms / 1000
        self.rejection_counts_ = Counter()
        self._reset_outputs()
        self._recover(recovered)
        self._start_validation()
        self._start_elections(now)
        self._start_replication(now)
        self._start_snapshot_transfer()
        self._start_departure()
        self._start_loss_detection()
        self._start_membership(recovered.bootstrap_state, now)
        self._start_reads()
        return self._finish(now)

    def handle(self, event, now):
        """Process one event or message.

        :param event: an :class:`~sassafrashook.base.Event` of this package, or a message.
        :param now: current time, seconds.
        :returns: list of actions to execute, in order.
        """
        self._check_quorum(now)
        method = getattr(self, self._handlers[type(event)])
        if isinstance(event, self._message_types):
            reason = self._validate_message(event, now)
            if reason is not None:
                self.rejection_counts_[reason] += 1
                return self._finish(now)
        method(event, now)
        return self._finish(now)

    def advance(self, now):
        """Process expired timers.

        :param now: current time, seconds.
        :returns: list of actions to execute, in order.
        """
        self._check_quorum(now)
        if self.role_ is Role.LEADER:
            self._advance_leader(now)
        elif self.role_ is Role.UNCONFIGURED:
            self._advance_unconfigured(now)
        elif now >= self.election_deadline_:
            self._on_election_timeout(now)
        self._advance_departure(now)
        return self._finish(now)

    def add_announcement_targets(self, names):
        """Add names of members that this replica announces itself to while it is not a member.

        :param names: iterable of names.
        """
        self.announcement_targets_ |= set(names) - {self.name}

    def next_deadline(self):
        """Return the time at which :meth:`advance` must be called next, seconds."""
        if self.role_ is Role.LEADER:
            return min(self.heartbeat_deadline_, self._get_step_down_deadline())
        if self.role_ is Role.UNCONFIGURED:
            return self.announce_deadline_
        return min(self.election_deadline_, self.departure_deadline_)
