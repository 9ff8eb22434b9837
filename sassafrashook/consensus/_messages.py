"""Messages between the replicas of one group."""

import msgspec

from sassafrashook.messages import Message

__all__ = [
    "AppendAnswered",
    "AppendRequested",
    "CONSENSUS_MESSAGES",
    "ConsensusMessage",
    "ElectionRequested",
    "Entry",
    "IdentityAnnounced",
    "IdentityConfirmed",
    "IdentityQueried",
    "Member",
    "ReadAnswered",
    "ReadForwarded",
    "SnapshotAnswered",
    "SnapshotPiece",
    "VoteAnswered",
    "VoteRequested",
]

NOOP = 0
COMMAND = 1
CONFIGURATION = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of a group.

    :param name: name of the replica.
    :param identity: identity of its data folder.
    :param voter: whether it votes; learners only receive the log.
    """

    name: str
    identity: str
    voter: bool = True


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    :param kind: ``NOOP``, ``COMMAND`` or ``CONFIGURATION``.
    :param data: empty, the encoded command, or the encoded members, by kind.
    """

    index: int
    term: int
    kind: int
    data: bytes = b""


class ConsensusMessage(Message):
    """Header of all messages between replicas.

    :param group: name of the group.
    :param sender: name of the sending replica.
    :param identity: identity of the sender's data folder.
    :param recipient: identity of the recipient, or empty for any identity of the name.
    :param boot: number of process starts on the sender's data folder.
    :param boot_id: unique id of the sender's process start.
    :param term: current term of the sender.
    :param configuration_index: index of the latest configuration in the sender's log, or -1.
    """

    group: str
    sender: str
    identity: str
    recipient: str
    boot: int
    boot_id: str
    term: int
    configuration_index: int


class IdentityAnnounced(ConsensusMessage):
    """Announces the identity of the sender.

    It is sent while the group is bootstrapped, and by replicas that are not voters, such as new
    replicas and those whose disk was lost. Replicas that completed the bootstrap reply with it to
    those that have not, which then adopt the bindings.

    :param bindings: identity that the sender has durably bound to the name of each initial
        member.
    :param completed: whether the bindings are the initial configuration of the group.
    """

    bindings: dict[str, str]
    completed: bool


class IdentityQueried(ConsensusMessage):
    """Asks the process that runs on the recipient's host for its identity.

    :param query_id: unique id of the query.
    """

    query_id: str


class IdentityConfirmed(ConsensusMessage):
    """Reply to :class:`IdentityQueried`; its header contains the identity.

    :param query_id: id of the query.
    """

    query_id: str


class DepartureRequested(ConsensusMessage):
    """Asks the leader to remove the sender, which is about to stop, from the group."""


class DepartureAnswered(ConsensusMessage):
    """Reply to :class:`DepartureRequested`.

    :param removed: whether the committed configuration is without the recipient; otherwise the
        group needs its vote.
    """

    removed: bool


class VoteRequested(ConsensusMessage):
    """Requests a vote for the sender.

    :param candidate_term: term of the election.
    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of that entry.
    :param pre_vote: whether the request only asks if the vote would be granted; granting it
        changes no state.
    :param transfer: whether the previous leader gave up its lease in favour of this candidate.
    """

    candidate_term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


class VoteAnswered(ConsensusMessage):
    """Reply to :class:`VoteRequested`."""

    candidate_term: int
    pre_vote: bool
    granted: bool


class AppendRequested(ConsensusMessage):
    """Replicates log entries; without entries it is a heartbeat.

    :param previous_index: index of the entry before ``entries``.
    :param previous_term: term of that entry.
    :param commit_index: commit index of the leader.
    :param round_number: heartbeat round within the leader's term, repeated in the reply.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    round_number: int
    entries: list[Entry] = []

    @property
    def is_large(self):
        """Whether it has entries; heartbeats must not wait behind these."""
        return bool(self.entries)


class AppendAnswered(ConsensusMessage):
    """Reply to :class:`AppendRequested`.

    :param success: whether the entry at ``previous_index`` matched.
    :param match_index: last index up to which the sender's *synced* log equals the leader's.
    :param hint_index: last index that may match, if ``success`` is false.
    :param round_number: heartbeat round that is acknowledged.
    """

    success: bool
    match_index: int
    hint_index: int
    round_number: int


class SnapshotPiece(ConsensusMessage):
    """Transfers one piece of a snapshot.

    :param index: index of the last log entry that the snapshot covers.
    :param snapshot_term: term of that entry.
    :param members_index: index of the log entry that holds the configuration in force at ``index``;
        0 for the initial configuration.
    :param members: members of the configuration in force at ``index``.
    :param offset: position of ``data`` in the snapshot, bytes.
    :param total: size of the whole snapshot, bytes.
    :param checksum: CRC-32 of the whole snapshot.
    :param round_number: heartbeat round within the leader's term, repeated in the reply.
    """

    index: int
    snapshot_term: int
    members_index: int
    members: list[Member]
    offset: int
    total: int
    checksum: int
    round_number: int
    data: bytes

    @property
    def is_large(self):
        """Whether it is a large message: yes."""
        return True


class SnapshotAnswered(ConsensusMessage):
    """Reply to :class:`SnapshotPiece`.

    :param index: index of the last log entry that the snapshot covers.
    :param offset: position at which the next piece must begin, bytes.
    :param round_number: heartbeat round that is acknowledged.
    """

    index: int
    offset: int
    round_number: int


class ElectionRequested(ConsensusMessage):
    """Asks the recipient to start an election at once; the leader has given up its lease."""


class ReadForwarded(ConsensusMessage):
    """Requests an index at which a read of a follower is linearizable."""

    request_id: int


class ReadAnswered(ConsensusMessage):
    """Reply to :class:`ReadForwarded`.

    :param index: index that must be applied before the read; -1 if the sender does not lead.
    """

    request_id: int
    index: int


CONSENSUS_MESSAGES = (
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
