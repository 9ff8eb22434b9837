"""Gossip membership: the upstreams and nodes of a fleet, replicated on every node.

The protocol combines rumor mongering for changes, anti-entropy for missed ones, and failure
detection with refutable loss reports.
"""

from sassafrashook.base import Count, Send
from sassafrashook.membership._core import MembershipCore
from sassafrashook.membership._entries import MergeResult
from sassafrashook.membership._events import (
    AnnouncementReceived,
    DepartureReceived,
    MessageReceived,
    PeerRemoved,
    PeerSeen,
    ProbeCompleted,
    ProbePeer,
    RemovalReason,
    SeedsChanged,
    StopRequested,
    UpstreamAnnounced,
    UpstreamRemoved,
)
from sassafrashook.membership._messages import (
    MEMBERSHIP_MESSAGES,
    BucketContents,
    BucketHashes,
    Departure,
    Gossip,
    PeerDeparture,
    PeerLeft,
    PeerRecord,
    Records,
    RecordsWanted,
    Refresh,
    RefreshesWanted,
    UpstreamRecord,
)
from sassafrashook.membership._service import MembershipService

__all__ = [
    "AnnouncementReceived",
    "BucketContents",
    "BucketHashes",
    "Count",
    "Departure",
    "RemovalReason",
    "Gossip",
    "DepartureReceived",
    "MEMBERSHIP_MESSAGES",
    "MembershipCore",
    "MembershipService",
    "MergeResult",
    "MessageReceived",
    "PeerDeparture",
    "PeerLeft",
    "PeerRecord",
    "PeerRemoved",
    "PeerSeen",
    "ProbeCompleted",
    "ProbePeer",
    "Records",
    "RecordsWanted",
    "Refresh",
    "RefreshesWanted",
    "SeedsChanged",
    "Send",
    "StopRequested",
    "UpstreamRemoved",
    "UpstreamRecord",
    "UpstreamAnnounced",
]
