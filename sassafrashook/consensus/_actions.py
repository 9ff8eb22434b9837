"""What a replica core is told, and what it asks its driver to do."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from sassafrashook.base import Action, Event
from sassafrashook.consensus._messages import ConsensusMessage, Entry, Member
from sassafrashook.gateways import ProposalFailure

__all__ = [
    "Apply",
    "Genesis",
    "InvariantError",
    "Persist",
    "Persisted",
    "Proposal",
    "ProposalAppended",
    "ProposalRefused",
    "ProposalsOffered",
    "ReadConfirmed",
    "ReadOffered",
    "ReadRefused",
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
    """A rule that must always hold was broken; the replica must stop."""


class Role(StrEnum):
    """What a replica does in its group."""

    UNBOUND = "unbound"
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Genesis(msgspec.Struct, frozen=True, array_like=True):
    """Identities of the initial members, as durably bound on one host.

    :param sealed: whether they are the group's first list of members.
    """

    bindings: dict[str, str]
    sealed: bool = False


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of the state machine.

    :param index: last log index that it holds.
    :param term: term of that entry.
    :param members_index: log index of ``members``.
    """

    index: int
    term: int
    members_index: int
    members: list[Member]
    data: bytes


@dataclass(slots=True)
class RecoveredState:
    """What a data folder holds when a replica starts.

    :param base_index: the entries begin after this index.
    """

    term: int = 0
    voted_for: str = ""
    genesis: Genesis | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Proposal:
    """One command to be committed.

    :param token: chosen by the driver; comes back in the outcome.
    """

    token: int
    command: bytes


@dataclass(slots=True, frozen=True)
class ProposalsOffered(Event):
    """Commands to be committed together."""

    proposals: tuple[Proposal, ...]


@dataclass(slots=True, frozen=True)
class ReadOffered(Event):
    """A read that must be linearizable."""

    token: int


@dataclass(slots=True, frozen=True)
class Persisted(Event):
    """Everything up to a :class:`Persist` is synced."""

    sequence: int


@dataclass(slots=True, frozen=True)
class SnapshotSaved(Event):
    """A local snapshot is synced."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TransferLeadership(Event):
    """Hand leadership over.

    :param target: name of a voter, or empty for the one that is furthest.
    """

    target: str = ""


@dataclass(slots=True, frozen=True)
class ReplaceMember(Event):
    """Replace a member whose disk was lost by the new identity of the same name."""

    name: str


@dataclass(slots=True, frozen=True)
class SendMessage(Action):
    """Send a message to a named replica."""

    peer: str
    message: ConsensusMessage


@dataclass(slots=True, frozen=True)
class Persist(Action):
    """Write and sync, in the order of ``sequence``, then tell :class:`Persisted`.

    :param entries: each replaces whatever the log holds from its index on.
    :param compact: the entries, on ``base_index``, replace the whole log.
    :param snapshot: to be saved first, or ``None``.
    """

    sequence: int
    term: int
    voted_for: str
    genesis: Genesis | None
    entries: tuple[Entry, ...]
    compact: bool = False
    base_index: int = 0
    base_term: int = 0
    snapshot: Snapshot | None = None


@dataclass(slots=True, frozen=True)
class Apply(Action):
    """Apply committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore(Action):
    """Replace the state machine's state by a snapshot that is synced."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TakeSnapshot(Action):
    """Save the state machine now, sync it, then tell :class:`SnapshotSaved`."""

    index: int
    term: int
    members_index: int
    members: tuple[Member, ...]


@dataclass(slots=True, frozen=True)
class ProposalAppended(Action):
    """A command has a place in the log; it is committed if that place is, in this term."""

    token: int
    index: int
    term: int


@dataclass(slots=True, frozen=True)
class ProposalRefused(Action):
    """A command was not appended and never will be."""

    token: int
    failure: ProposalFailure
    leader: str


@dataclass(slots=True, frozen=True)
class ReadConfirmed(Action):
    """A read may run once the index is applied."""

    token: int
    index: int


@dataclass(slots=True, frozen=True)
class ReadRefused(Action):
    """No index was found for a read."""

    token: int
    leader: str


@dataclass(slots=True, frozen=True)
class RoleChanged(Action):
    """Role, term or known leader changed."""

    role: Role
    term: int
    leader: str
