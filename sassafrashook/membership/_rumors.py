"""Queues of recent changes to propagate, and assembly of messages of bounded size."""

from sassafrashook.membership._entries import RetiredBoot, UpstreamEntry
from sassafrashook.membership._messages import Departure, Refresh, UpstreamRecord
from sassafrashook.membership._peers import PeerEntry, PeerTombstone

HEADER_BYTES = 80
MAX_QUEUED_REFRESHES = 400
REFRESH_TRANSMIT_LIMIT = 2  # a missed refresh is made up for by the next one or by a request


class RumorQueues:
    """Keys of records to propagate, each sent a bounded number of times.

    :param transmit_limit: number of times that a new record is sent, without replies to requests.

    Attributes:

    :ivar changes_: remaining transmissions of new records and departures, by key; sent first and
        without waiting for the next round.
    :ivar refreshes_: remaining transmissions of records with only a new sequence, by key; sent in
        gossip rounds, newest first, because queueing delays add up over several hops.
    """

    def __init__(self, transmit_limit):
        self.transmit_limit = transmit_limit
        self.changes_ = {}
        self.refreshes_ = {}

    def add_change(self, key):
        """Queue a new record or departure."""
        self.refreshes_.pop(key, None)
        self.changes_[key] = self.transmit_limit

    def add_refresh(self, key):
        """Queue a newer sequence, unless the whole record is still queued."""
        if key in self.changes_:
            return
        self.refreshes_.pop(key, None)
        self.refreshes_[key] = REFRESH_TRANSMIT_LIMIT
        if len(self.refreshes_) > MAX_QUEUED_REFRESHES:
            del self.refreshes_[next(iter(self.refreshes_))]

    def record_duplicate(self, key):
        """Count a copy received from another node as a transmission, to stop sending earlier."""
        for queue in (self.changes_, self.refreshes_):
            if key in queue:
                self.record_sent(queue, key)

    def record_sent(self, queue, key):
        """Count one transmission of a key; a change with transmissions left moves to the end."""
        queue[key] -= 1
        if queue[key] <= 0:
            del queue[key]
        elif queue is self.changes_:
            queue[key] = queue.pop(key)

    def list_pending(self, queue):
        """Return the keys of a queue in sending order."""
        return list(queue) if queue is self.changes_ else list(reversed(queue))


class MessageBuilder:
    """Collects the parts of one message within a size limit.

    :param limit: maximum size including the header, bytes.
    :param measure: function that returns the encoded size of a part, bytes.

    Attributes:

    :ivar remaining_bytes_: bytes that may still be added.
    :ivar parts_: the parts added, by field name of the message.
    """

    def __init__(self, limit, measure):
        self.measure = measure
        self.remaining_bytes_ = limit - HEADER_BYTES
        self.parts_ = {}

    def limit_remaining(self, limit):
        """Lower the number of bytes that may still be added."""
        self.remaining_bytes_ = min(self.remaining_bytes_, limit)

    def add(self, field, part):
        """Add a part if it fits.

        :param field: field name of the message.
        :returns: whether the part was added.
        """
        size = self.measure(part)
        if size > self.remaining_bytes_:
            return False
        self.remaining_bytes_ -= size
        self.parts_.setdefault(field, []).append(part)
        return True

    def add_item(self, item, now, key_only=False):
        """Add a record or tombstone of the key set.

        :param key_only: whether to send only the key and the sequence.
        :returns: whether it was added, or skipped because it has expired.
        """
        field, part = make_part(item, now, key_only)
        if part is None:
            return True
        return self.add(field, part)


def make_part(item, now, key_only=False):
    """Make the message part for a record or tombstone.

    :param item: an item of the key set.
    :param key_only: whether to send only the key and the sequence; a receiver that lacks the
        record requests it.
    :returns: the field name and the part, which is ``None`` if the item has expired.
    """
    if isinstance(item, UpstreamEntry):
        return make_upstream_part(item, now, key_only)
    if isinstance(item, PeerEntry):
        return make_peer_part(item, key_only)
    remaining_ms = int((item.expires_at - now) * 1000)
    if remaining_ms <= 0:
        return "", None
    if isinstance(item, RetiredBoot):
        return "departures", Departure(item.upstream_id, item.boot_id, remaining_ms)
    assert isinstance(item, PeerTombstone)
    return "peer_departures", item.to_departure(remaining_ms)


def make_upstream_part(entry, now, key_only):
    """Make the message part for a listed upstream; see :func:`make_part`."""
    remaining_ms = int((entry.deadline - now) * 1000)
    if remaining_ms <= 0:
        return "", None
    if key_only:
        return "refreshes", Refresh(entry.key, entry.announcement.sequence, remaining_ms)
    return "upstreams", UpstreamRecord(entry.announcement, remaining_ms)


def make_peer_part(entry, key_only):
    """Make the message part for a listed node; see :func:`make_part`."""
    if key_only:
        return "refreshes", Refresh(entry.key, entry.record.sequence, 0)
    return "peers", entry.record
