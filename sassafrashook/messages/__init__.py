"""Messages exchanged by routers and controllers, and announcements of upstreams."""

from sassafrashook.messages._claims import (
    ClaimCompleted,
    ClaimDecided,
    ClaimRequested,
    ClaimStatus,
    RecordedAnswer,
)
from sassafrashook.messages._configuration import ConfigurationConfirmed, ConfigurationPublished
from sassafrashook.messages._message import Message
from sassafrashook.messages._permits import (
    Holding,
    PermitGranted,
    PermitOutcome,
    PermitRefused,
    PermitReleased,
    PermitRequested,
    PermitWithdrawn,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
    SessionRedirected,
)
from sassafrashook.messages._upstreams import (
    CacheEvent,
    CacheEventKind,
    LoadReport,
    UpstreamAnnouncement,
    UpstreamKind,
)

ROUTER_MESSAGES = (
    CacheEvent,
    ClaimCompleted,
    ClaimDecided,
    ClaimRequested,
    ConfigurationConfirmed,
    ConfigurationPublished,
    LoadReport,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    PermitRequested,
    PermitWithdrawn,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
    SessionRedirected,
)

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "ClaimCompleted",
    "ClaimDecided",
    "ClaimRequested",
    "ClaimStatus",
    "ConfigurationConfirmed",
    "ConfigurationPublished",
    "Holding",
    "LoadReport",
    "Message",
    "PermitGranted",
    "PermitOutcome",
    "PermitRefused",
    "PermitReleased",
    "PermitRequested",
    "PermitWithdrawn",
    "ROUTER_MESSAGES",
    "RecordedAnswer",
    "SessionAccepted",
    "SessionClosed",
    "SessionOpened",
    "SessionRedirected",
    "UpstreamAnnouncement",
    "UpstreamKind",
]
