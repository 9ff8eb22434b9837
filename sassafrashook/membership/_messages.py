"""Messages by which nodes tell one another of upstreams and of each other.

Times are milliseconds that remain, or milliseconds of the sender's own clock (``sent_ms``), from
which the receiver works out how long a message was held up on its way.
"""

import msgspec

from sassafrashook.messages import Message, UpstreamAnnouncement


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Base of what is carried inside messages; fields may only be appended, with defaults."""


class UpstreamRecord(Part):
    """An upstream's announcement on its way between nodes.

    :param remaining_ms: how much longer the announcement holds.
    """

    announcement: UpstreamAnnouncement
    remaining_ms: int


class Refresh(Part):
    """A record named by its key; a receiver that lacks it asks for it.

    :param key: 64-bit key of the record.
    :param sequence: for an upstream, the sequence of its newest announcement.
    :param remaining_ms: for an upstream, how much longer that announcement holds.
    """

    key: int
    sequence: int
    remaining_ms: int


class Departure(Part):
    """One boot of an upstream has left for good.

    :param remaining_ms: how much longer this is remembered.
    """

    upstream_id: str
    boot_id: str
    remaining_ms: int


class PeerRecord(Part):
    """A node of the system as it describes itself.

    :param host: IP number.
    :param boot_id: new for each start.
    :param incarnation: wall-clock milliseconds of the start; orders two boots of one node.
    :param sequence: grows when the node denies a report of its loss.
    """

    name: str
    role: str
    host: str
    port: int
    availability_zone: str
    boot_id: str
    incarnation: int
    sequence: int = 0


class PeerDeparture(Part):
    """A node has stopped, or was found lost.

    :param sequence: highest sequence that the report covers.
    :param left: whether the node said so itself; final for its boot.
    :param remaining_ms: how much longer this is remembered.
    """

    name: str
    incarnation: int
    boot_id: str
    sequence: int
    left: bool
    remaining_ms: int


class Stamped(Message):
    """Base of messages that carry the sender's time.

    :param boot: 32-bit number of the sender's boot.
    :param sent_ms: the sender's own clock when it sent, milliseconds.
    """

    boot: int
    sent_ms: int


class Gossip(Stamped):
    """One round's message: a heartbeat, the digest of the list, and recent changes.

    :param digest: 64-bit digest over the keys of all records; equal lists have equal digests.
    :param wants_reply: whether the receiver should answer at once.
    """

    digest: int
    wants_reply: bool = False
    upstreams: list[UpstreamRecord] = []
    refreshes: list[Refresh] = []
    departures: list[Departure] = []
    peers: list[PeerRecord] = []
    peer_departures: list[PeerDeparture] = []


class Records(Stamped):
    """Records that the receiver lacked or asked for."""

    upstreams: list[UpstreamRecord] = []
    refreshes: list[Refresh] = []
    departures: list[Departure] = []
    peers: list[PeerRecord] = []
    peer_departures: list[PeerDeparture] = []


class BucketHashes(Stamped):
    """Hashes over the buckets of the sender's keys, sent when two digests differ.

    :param hashes: one 32-bit hash a bucket; their number is a power of two.
    """

    hashes: list[int]


class BucketContents(Stamped):
    """All keys of the sender in some buckets; the receiver sends what is missing.

    :param bucket_count: number of buckets, a power of two.
    :param buckets: the buckets told.
    :param keys: 64-bit keys that the sender holds in them.
    """

    bucket_count: int
    buckets: list[int]
    keys: list[int]


class RecordsWanted(Stamped):
    """The sender lacks these keys."""

    keys: list[int]


class RefreshesWanted(Stamped):
    """The sender's announcements for these keys are about to expire."""

    keys: list[int]


class PeerLeft(Message):
    """The sender stops gracefully."""

    name: str
    boot_id: str


MEMBERSHIP_MESSAGES = (
    BucketContents,
    BucketHashes,
    Gossip,
    PeerLeft,
    Records,
    RecordsWanted,
    RefreshesWanted,
)
