"""How nodes learn of upstreams and of one another."""

from sassafrashook.base import Count, Send
from sassafrashook.membership._core import MembershipCore
from sassafrashook.membership._entries import Admission
from sassafrashook.membership._events import (
    AnnouncementHeard,
    DepartureReason,
    FromPeer,
    LeaveHeard,
    PeerGone,
    PeerProbed,
    PeersChanged,
    PeerSeen,
    ProbePeer,
    StopRequested,
    UpstreamLeft,
    UpstreamSeen,
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
    "Admission",
    "AnnouncementHeard",
    "BucketContents",
    "BucketHashes",
    "Count",
    "Departure",
    "DepartureReason",
    "FromPeer",
    "Gossip",
    "LeaveHeard",
    "MEMBERSHIP_MESSAGES",
    "MembershipCore",
    "MembershipService",
    "PeerDeparture",
    "PeerGone",
    "PeerLeft",
    "PeerProbed",
    "PeerRecord",
    "PeerSeen",
    "PeersChanged",
    "ProbePeer",
    "Records",
    "RecordsWanted",
    "Refresh",
    "RefreshesWanted",
    "Send",
    "StopRequested",
    "UpstreamLeft",
    "UpstreamRecord",
    "UpstreamSeen",
]
