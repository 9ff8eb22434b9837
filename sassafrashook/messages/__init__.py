"""Messages exchanged by routers and controllers, and announcements of upstreams.

The modules are imported on first access, so that a process loads only those of its own role.
"""

from sassafrashook.utils import make_lazy_getattr

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

__getattr__ = make_lazy_getattr(
    __name__,
    {
        "_claims": (
            "ClaimCompleted",
            "ClaimDecided",
            "ClaimRequested",
            "ClaimStatus",
            "RecordedAnswer",
        ),
        "_configuration": (
            "ConfigurationConfirmed",
            "ConfigurationPublished",
        ),
        "_message": ("Message",),
        "_permits": (
            "Holding",
            "PermitGranted",
            "PermitOutcome",
            "PermitRefused",
            "PermitReleased",
            "PermitRequested",
            "PermitWithdrawn",
            "SessionAccepted",
            "SessionClosed",
            "SessionOpened",
            "SessionRedirected",
        ),
        "_upstreams": (
            "CacheEvent",
            "CacheEventKind",
            "LoadReport",
            "UpstreamAnnouncement",
            "UpstreamKind",
        ),
        "_router_messages": ("ROUTER_MESSAGES",),
    },
)
