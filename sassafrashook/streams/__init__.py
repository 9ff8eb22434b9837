"""Which software version began each stream, so that the stream goes on only at that version.

Routers record the version of each stream that a client may resume. The client may do so at any
router, so the records are kept by several controllers, selected by a hash of the request.
"""

from sassafrashook.streams._announcer import StreamAnnouncer, select_asked_controllers
from sassafrashook.streams._interface import LocalStreamVersions, StreamVersions
from sassafrashook.streams._ledger import StreamLedger
from sassafrashook.streams._lookup import LookupSource, StreamOrigin, VersionLookup

__all__ = [
    "LocalStreamVersions",
    "LookupSource",
    "StreamAnnouncer",
    "StreamLedger",
    "StreamOrigin",
    "StreamVersions",
    "VersionLookup",
    "select_asked_controllers",
]
