"""Raft-style replicated log: sans-I/O core, durable storage and gevent driver."""

from sassafrashook.consensus._actions import (
    Apply,
    InvariantError,
    LeaveGroup,
    Persist,
    Persisted,
    Proposal,
    ProposalAppended,
    ProposalRejected,
    ProposalsSubmitted,
    ReadConfirmed,
    ReadRejected,
    ReadRequested,
    RecoveredState,
    ReplaceMember,
    Restore,
    Role,
    RoleChanged,
    SendMessage,
    Snapshot,
    SnapshotSaved,
    TakeSnapshot,
    TransferLeadership,
)
from sassafrashook.consensus._core import ReplicaCore
from sassafrashook.consensus._departure import Departure
from sassafrashook.consensus._messages import CONSENSUS_MESSAGES, Entry, Member
from sassafrashook.consensus._persistence import ReplicaStorage
from sassafrashook.consensus._replica import Replica, ReplicaStatus

__all__ = [
    "Apply",
    "CONSENSUS_MESSAGES",
    "Departure",
    "Entry",
    "InvariantError",
    "LeaveGroup",
    "Member",
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
    "Replica",
    "ReplicaCore",
    "ReplicaStatus",
    "ReplicaStorage",
    "Restore",
    "Role",
    "RoleChanged",
    "SendMessage",
    "Snapshot",
    "SnapshotSaved",
    "TakeSnapshot",
    "TransferLeadership",
]
