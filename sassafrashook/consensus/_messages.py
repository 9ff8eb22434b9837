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
MEMBERS = 2


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One member of a group.

    :param identity: identity of its data folder.
    :param voter: whether it votes; a learner only receives the log.
    """

    name: str
    identity: str
    voter: bool = True


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    :param kind: 0 for an empty entry, 1 for a command, 2 for the encoded list of members.
    """

    index: int
    term: int
    kind: int
    data: bytes = b""


class ConsensusMessage(Message):
    """Header of every message between replicas.

    :param sender: name of the sending replica.
    :param identity: identity of the sender's data folder.
    :param recipient: identity that is meant, empty for whoever holds the name.
    :param boot: counts the starts on the sender's data folder.
    :param boot_id: unique for each start of the process.
    :param configuration_index: index of the newest list of members in the sender's log, or -1.
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
    """A replica tells its identity, before the group exists or when its disk was lost.

    :param bindings: identity that the sender has durably bound to each initial member's name.
    :param sealed: whether the bindings are the group's first list of members.
    """

    bindings: dict[str, str]
    sealed: bool


class VoteRequested(ConsensusMessage):
    """A candidate asks for a vote.

    :param candidate_term: term that the vote is for.
    :param pre_vote: only asks whether the vote would be granted; nothing is promised.
    :param transfer: the leader of the term before gave up its lease for this candidate.
    """

    candidate_term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


class VoteAnswered(ConsensusMessage):
    """The answer to :class:`VoteRequested`."""

    candidate_term: int
    pre_vote: bool
    granted: bool


class AppendRequested(ConsensusMessage):
    """A leader replicates entries; without entries it is a heartbeat.

    :param round_number: heartbeat round of the leader's term, echoed in the answer.
    """

    previous_index: int
    previous_term: int
    commit_index: int
    round_number: int
    entries: list[Entry] = []


class AppendAnswered(ConsensusMessage):
    """A follower's state.

    :param match_index: last index up to which its *synced* log equals the leader's.
    :param hint_index: where the leader should continue, if ``success`` is false.
    """

    success: bool
    match_index: int
    hint_index: int
    round_number: int


class SnapshotPiece(ConsensusMessage):
    """One piece of a snapshot.

    :param index: last log index that the snapshot holds.
    :param offset: position of ``data`` in the snapshot, bytes.
    :param total: size of the whole snapshot, bytes.
    :param checksum: CRC-32 of the whole snapshot.
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


class SnapshotAnswered(ConsensusMessage):
    """How much of a snapshot has arrived.

    :param offset: where the next piece must begin, bytes.
    """

    index: int
    offset: int
    round_number: int


class ElectionRequested(ConsensusMessage):
    """The leader has given up its lease; the receiver shall stand for election at once."""


class ReadForwarded(ConsensusMessage):
    """A follower asks for an index at which a read is linearizable."""

    request_id: int


class ReadAnswered(ConsensusMessage):
    """The answer to :class:`ReadForwarded`.

    :param index: the read may run once this is applied; -1 if the sender does not lead.
    """

    request_id: int
    index: int


CONSENSUS_MESSAGES = (
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
