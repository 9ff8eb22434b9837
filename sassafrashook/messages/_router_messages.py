"""Messages of the routers of chats and their controllers."""

from sassafrashook.messages._claims import (
    ClaimCompleted,
    ClaimDecided,
    ClaimRequested,
)
from sassafrashook.messages._configuration import (
    ConfigurationConfirmed,
    ConfigurationPublished,
)
from sassafrashook.messages._permits import (
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
from sassafrashook.messages._upstreams import (
    CacheEvent,
    LoadReport,
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
