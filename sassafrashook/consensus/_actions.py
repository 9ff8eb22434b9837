"""Events that a replica core processes and actions that its driver executes."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from sassafrashook.base import Action, Event
from sassafrashook.consensus._messages import ConsensusMessage, Entry, Member
from sassafrashook.interfaces import ProposalErrorReason

__all__ = [
    "Apply",
    "BootstrapState",
    "InvariantError",
    "Persist",
    "Persisted",
    "Proposal",
    "ProposalAppended",
    "ProposalRejected",
    "ProposalsSubmitted",
    "ReadConfirmed",
    "ReadRejected",
    "ReadRequested",
    "RecoveredState",
    "ReplaceMember",
    "Restore",
    "Role",
    "RoleChanged",
    "SendMessage",
    "Snapshot",
    "SnapshotSaved",
    "TakeSnapshot",
    "TransferLeadership",
]


class InvariantError(Exception):
    """Raised when an invariant of the replicated log is violated; the replica must stop."""


class Role(StrEnum):
    """Role of a replica in its group.

    A replica is ``UNCONFIGURED`` until it knows a membership configuration, even if an identity
    is already bound to its name. Learners receive the log but do not vote.
    """

    UNCONFIGURED = "unbound"
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class BootstrapState(msgspec.Struct, frozen=True, array_like=True):
    """Progress of bootstrapping a group, as persisted by one replica.

    :param bindings: identity that is bound to the name of each initial member.
    :param completed: whether the bindings are the initial configuration of the group.
    """

    bindings: dict[str, str]
    completed: bool = False


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of the state machine.

    :param index: index of the last log entry that the snapshot covers.
    :param term: term of that entry.
    :param members_index: index of the log entry that holds the configuration in force at ``index``;
        0 for the initial configuration.
    :param members: members of the configuration in force at ``index``.
    :param data: encoded state of the state machine.
    """

    index: int
    term: int
    members_index: int
    members: list[Member]
    data: bytes


@dataclass(slots=True)
class RecoveredState:
    """Persistent state of a replica, as read from its data folder at start.

    :param term: current term.
    :param voted_for: identity that was voted for in that term, or empty.
    :param bootstrap_state: a :class:`BootstrapState`, or ``None``.
    :param base_index: index of the last entry that was compacted; the entries follow it.
    :param base_term: term of that entry.
    :param entries: log entries.
    :param snapshot: latest :class:`Snapshot`, or ``None``.
    """

    term: int = 0
    voted_for: str = ""
    bootstrap_state: BootstrapState | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Proposal:
    """A command to commit.

    :param token: chosen by the driver and repeated in the outcome.
    :param command: encoded command.
    """

    token: int
    command: bytes


@dataclass(slots=True, frozen=True)
class ProposalsSubmitted(Event):
    """A batch of commands was submitted."""

    proposals: tuple[Proposal, ...]


@dataclass(slots=True, frozen=True)
class ReadRequested(Event):
    """A linearizable read was requested."""

    token: int


@dataclass(slots=True, frozen=True)
class Persisted(Event):
    """All :class:`Persist` actions up to ``sequence`` are synced."""

    sequence: int


@dataclass(slots=True, frozen=True)
class SnapshotSaved(Event):
    """A snapshot of the local state machine is synced."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TransferLeadership(Event):
    """Transfer leadership to another voter.

    :param target: name of a voter, or empty for the most up-to-date one.
    """

    target: str = ""


@dataclass(slots=True, frozen=True)
class LeaveGroup(Event):
    """Leave the group, unless it needs this replica's vote; the process is about to stop."""


@dataclass(slots=True, frozen=True)
class ReplaceMember(Event):
    """Replace a member that lost its disk by the new identity of the same name.

    :param name: name of the member.
    """

    name: str


@dataclass(slots=True, frozen=True)
class SendMessage(Action):
    """Send a message to a replica.

    :param peer: name of the replica.
    """

    peer: str
    message: ConsensusMessage


@dataclass(slots=True, frozen=True)
class Persist(Action):
    """Write and sync state in the order of ``sequence``, then report :class:`Persisted`.

    :param entries: each entry replaces the entries of the log from its index on.
    :param compact: whether the log is replaced by ``base_index``, ``base_term`` and ``entries``.
    :param snapshot: snapshot to save before the log is written, or ``None``.
    """

    sequence: int
    term: int
    voted_for: str
    bootstrap_state: BootstrapState | None
    entries: tuple[Entry, ...]
    compact: bool = False
    base_index: int = 0
    base_term: int = 0
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Apply(Action):
    """Apply committed entries to the state machine, in order."""

    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore(Action):
    """Restore the state machine from a snapshot that is synced."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TakeSnapshot(Action):
    """Encode the state machine at once, save and sync it, then report :class:`SnapshotSaved`."""

    index: int
    term: int
    members_index: int
    members: tuple[Member, ...]


@dataclass(slots=True, frozen=True)
class ProposalAppended(Action):
    """A command was appended to the log.

    It is committed once the entry at ``index`` is committed with the same ``term``.
    """

    token: int
    index: int
    term: int


@dataclass(slots=True, frozen=True)
class ProposalRejected(Action):
    """A command was rejected and will never be appended.

    :param reason: why it was rejected.
    :param leader: name of the known leader, or empty.
    """

    token: int
    reason: ProposalErrorReason
    leader: str


@dataclass(slots=True, frozen=True)
class ReadConfirmed(Action):
    """A read is linearizable once the state machine has applied ``index``."""

    token: int
    index: int


@dataclass(slots=True, frozen=True)
class ReadRejected(Action):
    """A read could not be confirmed.

    :param leader: name of the known leader, or empty.
    """

    token: int
    leader: str


@dataclass(slots=True, frozen=True)
class RoleChanged(Action):
    """The role, the term or the known leader has changed."""

    role: Role
    term: int
    leader: str
