"""Messages of the membership protocol.

Lifetimes are sent as remaining milliseconds, because clocks aren't synchronized. The receiver
estimates the delay of a message from the sender's clock (``sent_ms``).
"""

import msgspec

from sassafrashook.messages import Message, UpstreamAnnouncement


class MessagePart(msgspec.Struct, frozen=True, array_like=True):
    """Base of the records inside messages; fields may only be appended, with defaults."""


class UpstreamRecord(MessagePart):
    """An upstream's announcement, as relayed between nodes.

    :param remaining_ms: remaining validity, milliseconds.
    """

    announcement: UpstreamAnnouncement
    remaining_ms: int


class Refresh(MessagePart):
    """A reference to a record by its key; a receiver that lacks the record requests it.

    :param key: 64-bit key of the record.
    :param sequence: sequence of the newest announcement or node record.
    :param remaining_ms: remaining validity of an announcement, milliseconds; 0 for a node.
    """

    key: int
    sequence: int
    remaining_ms: int


class Departure(MessagePart):
    """Tombstone of a boot of an upstream that has left.

    :param remaining_ms: remaining lifetime of the tombstone, milliseconds.
    """

    upstream_id: str
    boot_id: str
    remaining_ms: int


class PeerRecord(MessagePart):
    """A node's description of itself.

    :param host: IP address.
    :param boot_id: unique id of one start of the node.
    :param incarnation: wall-clock time of the start, milliseconds; orders the boots of one node.
    :param sequence: increased when the node refutes a report of its loss.
    """

    name: str
    role: str
    host: str
    port: int
    availability_zone: str
    boot_id: str
    incarnation: int
    sequence: int = 0


class PeerDeparture(MessagePart):
    """Tombstone of a node that has stopped or was reported lost.

    :param sequence: highest sequence of the node's record that this departure supersedes.
    :param left: whether the node itself announced it, which is final for the boot; otherwise the
        node was reported lost.
    :param remaining_ms: remaining lifetime of the tombstone, milliseconds.
    """

    name: str
    incarnation: int
    boot_id: str
    sequence: int
    left: bool
    remaining_ms: int


class Stamped(Message):
    """Base of the messages with the sender's time.

    :param boot: 32-bit hash of the sender's boot id.
    :param sent_ms: sender's clock at the time of sending, milliseconds.
    """

    boot: int
    sent_ms: int


class Gossip(Stamped):
    """Heartbeat with the digest of all records and recent changes.

    :param digest: 64-bit digest of the keys of all records and tombstones.
    :param wants_reply: whether the receiver should reply at once.
    """

    digest: int
    wants_reply: bool = False
    upstreams: list[UpstreamRecord] = []
    refreshes: list[Refresh] = []
    departures: list[Departure] = []
    peers: list[PeerRecord] = []
    peer_departures: list[PeerDeparture] = []


class Records(Stamped):
    """Records that the receiver lacks or has requested."""

    upstreams: list[UpstreamRecord] = []
    refreshes: list[Refresh] = []
    departures: list[Departure] = []
    peers: list[PeerRecord] = []
    peer_departures: list[PeerDeparture] = []


class BucketHashes(Stamped):
    """Hashes of the sender's buckets of keys, sent when two digests differ.

    :param hashes: 32-bit hash of each bucket; the number of buckets is a power of two.
    """

    hashes: list[int]


class BucketContents(Stamped):
    """All keys of the sender in some buckets; the receiver sends the missing records.

    :param bucket_count: number of buckets, a power of two.
    :param buckets: indices of the buckets.
    :param keys: 64-bit keys of the sender in these buckets.
    """

    bucket_count: int
    buckets: list[int]
    keys: list[int]


class RecordsWanted(Stamped):
    """Request for the records of these keys, which the sender lacks."""

    keys: list[int]


class RefreshesWanted(Stamped):
    """Request for refreshes of these keys, whose announcements are about to expire."""

    keys: list[int]


class PeerLeft(Message):
    """The sender is shutting down gracefully."""

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
