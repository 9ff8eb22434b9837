"""The table of nodes that each node keeps, and the rules for merging records and departures."""

import heapq
from dataclasses import dataclass
from enum import StrEnum

from msgspec.structs import astuple, replace

from sassafrashook.membership._events import PeerRemoved, PeerSeen, RemovalReason
from sassafrashook.membership._messages import PeerDeparture, PeerRecord
from sassafrashook.membership._validation import is_valid_peer_departure, is_valid_peer_record
from sassafrashook.utils import hash_key

MAX_REFUTATIONS = 8


class PeerMergeResult(StrEnum):
    """Result of merging a node's record or departure; values are counter attributes.

    :cvar REFUTED: this node published a newer record of its own, since it was reported to have
        left or been lost, or a newer record under its name was received.
    """

    ADDED = "peer_added"
    DEPARTED = "peer_departed"
    REFUTED = "peer_loss_denied"
    STALE = "peer_stale"
    AFTER_LEAVE = "peer_after_leave"
    LIST_FULL = "peer_list_full"
    OUT_OF_BOUNDS = "peer_out_of_bounds"


@dataclass(slots=True)
class PeerEntry:
    """A listed node.

    :param key: 64-bit key of the record.
    """

    record: PeerRecord
    key: int


@dataclass(slots=True)
class PeerTombstone:
    """Departure of a node's newest boot, retained to refuse older records.

    :param key: 64-bit key of the propagated departure.
    :param expires_at: when it is removed, seconds.
    """

    departure: PeerDeparture
    key: int
    expires_at: float

    def to_departure(self, remaining_ms):
        """Return the departure with its current remaining lifetime, milliseconds."""
        return replace(self.departure, remaining_ms=remaining_ms)


def hash_peer_record(record):
    """Return the 64-bit key of a node's record."""
    return hash_key("peer", *(repr(field) for field in astuple(record)))


class PeerTable:
    """Listed nodes by name, and tombstones of departed ones; this node is listed too.

    :param keys: the :class:`KeySet` of all records and tombstones.
    :param own: this node's :class:`PeerRecord` at its start.
    :param retention_s: how long a tombstone is retained, seconds.
    :param max_peers: maximum number of listed nodes, and of tombstones.

    Attributes:

    :ivar own_record_: this node's current record, with a higher incarnation or sequence than
        ``own`` if it has refuted other nodes' claims.
    :ivar refutation_count_: number of records of newer boots under this node's name refuted.
    :ivar entries_: a :class:`PeerEntry` for each listed node, by name.
    :ivar tombstones_: a :class:`PeerTombstone` for each departed node, by name.
    :ivar notifications_: actions for subscribers, not yet taken.
    """

    def __init__(self, keys, own, retention_s, max_peers):
        self.keys = keys
        self.own = own
        self.retention_s = retention_s
        self.max_peers = max_peers
        self.own_record_ = own
        self.refutation_count_ = 0
        self.entries_ = {}
        self.tombstones_ = {}
        self.notifications_ = []
        self._expiry_heap = []

    def merge(self, record):
        """Merge a node's record if it is newer than the known record or departure.

        :returns: a :class:`PeerMergeResult`.
        """
        if not is_valid_peer_record(record):
            return PeerMergeResult.OUT_OF_BOUNDS
        if record.name == self.own.name and self.own.name in self.entries_:
            is_known = record_order(record) <= record_order(self.own_record_)
            return PeerMergeResult.STALE if is_known else self._refute(record)
        tombstone = self.tombstones_.get(record.name)
        if tombstone is not None and not self._supersedes(record, tombstone.departure):
            return (
                PeerMergeResult.AFTER_LEAVE if tombstone.departure.left else PeerMergeResult.STALE
            )
        entry = self.entries_.get(record.name)
        if entry is not None and record_order(record) <= record_order(entry.record):
            return PeerMergeResult.STALE
        if entry is None and len(self.entries_) >= self.max_peers:
            return PeerMergeResult.LIST_FULL
        self._add_entry(record)
        return PeerMergeResult.ADDED

    def merge_departure(self, departure, now):
        """Merge a report that a node has left or was lost.

        :param departure: a :class:`PeerDeparture`.
        :returns: a :class:`PeerMergeResult`.
        """
        if not is_valid_peer_departure(departure):
            return PeerMergeResult.OUT_OF_BOUNDS
        if departure.name == self.own.name:
            return self._refute(departure)
        tombstone = self.tombstones_.get(departure.name)
        if tombstone is not None and departure_order(departure) <= departure_order(
            tombstone.departure
        ):
            return PeerMergeResult.STALE
        entry = self.entries_.get(departure.name)
        if entry is not None and self._supersedes(entry.record, departure):
            return PeerMergeResult.STALE
        if entry is None and tombstone is None and departure.remaining_ms <= 0:
            return PeerMergeResult.STALE
        reason = RemovalReason.LEFT if departure.left else RemovalReason.LOST
        self._remove_entry(departure.name, reason)
        self._add_tombstone(departure, now)
        return PeerMergeResult.DEPARTED

    def create_departure(self, name, left):
        """Create the departure of a listed node.

        :param left: whether the node itself announced it.
        :returns: a :class:`PeerDeparture`, or ``None`` if the node isn't listed.
        """
        entry = self.entries_.get(name)
        if entry is None:
            return None
        record = entry.record
        remaining_ms = int(self.retention_s * 1000)
        boot = (record.name, record.incarnation, record.boot_id, record.sequence)
        return PeerDeparture(*boot, left=left, remaining_ms=remaining_ms)

    def expire(self, now):
        """Remove the tombstones whose deadline has passed."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            tombstone = self.tombstones_.get(heapq.heappop(self._expiry_heap)[1])
            if tombstone is not None and tombstone.expires_at <= now:
                self._remove_tombstone(tombstone)

    def next_deadline(self):
        """Return when :meth:`expire` is due, seconds, or ``None``."""
        return self._expiry_heap[0][0] if self._expiry_heap else None

    def take_notifications(self):
        """Return and clear the pending notifications."""
        notifications, self.notifications_ = self.notifications_, []
        return notifications

    @staticmethod
    def _supersedes(record, departure):
        if departure.left and record.boot_id == departure.boot_id:
            return False
        return record_order(record) > record_order(departure)

    def _refute(self, claim):
        """Refute a claim that would supersede this node's record, by publishing a newer record.

        A newer boot under this name is either an earlier start with a wrong clock or another
        process with the same name. The number of refutations is limited because of the latter.
        """
        is_newer_boot = (claim.incarnation, claim.boot_id) > record_order(self.own_record_)[:2]
        if is_newer_boot and self.refutation_count_ < MAX_REFUTATIONS:
            self.refutation_count_ += 1
            self.own_record_ = replace(self.own_record_, incarnation=claim.incarnation + 1)
        elif claim.boot_id == self.own.boot_id and record_order(claim) >= record_order(
            self.own_record_
        ):
            self.own_record_ = replace(self.own_record_, sequence=claim.sequence + 1)
        else:
            return PeerMergeResult.STALE
        self._add_entry(self.own_record_)
        return PeerMergeResult.REFUTED

    def _add_entry(self, record):
        tombstone = self.tombstones_.get(record.name)
        if tombstone is not None:
            self._remove_tombstone(tombstone)
        entry = self.entries_.get(record.name)
        if entry is not None:
            assert record_order(record) > record_order(entry.record)
            self.keys.discard(entry.key)
        self.entries_[record.name] = PeerEntry(record, hash_peer_record(record))
        self.keys.add(self.entries_[record.name].key, self.entries_[record.name])
        if record.name != self.own.name:
            self.notifications_.append(PeerSeen(record))

    def _remove_entry(self, name, reason):
        entry = self.entries_.pop(name, None)
        if entry is not None:
            self.keys.discard(entry.key)
            self.notifications_.append(PeerRemoved(name, entry.record.boot_id, reason))

    def _add_tombstone(self, departure, now):
        tombstone = self.tombstones_.get(departure.name)
        if tombstone is not None:
            self._remove_tombstone(tombstone)
        elif len(self.tombstones_) >= self.max_peers:
            self._remove_tombstone(next(iter(self.tombstones_.values())))
        expires_at = now + min(departure.remaining_ms / 1000, self.retention_s)
        key = hash_key("gone", departure.name, departure.boot_id, repr(departure_order(departure)))
        tombstone = PeerTombstone(departure, key, expires_at)
        self.tombstones_[departure.name] = tombstone
        self.keys.add(key, tombstone)
        heapq.heappush(self._expiry_heap, (expires_at, departure.name))

    def _remove_tombstone(self, tombstone):
        del self.tombstones_[tombstone.departure.name]
        self.keys.discard(tombstone.key)


def record_order(value):
    """Return the sort key of the records of one node, newest last."""
    return value.incarnation, value.boot_id, value.sequence


def departure_order(departure):
    """Return the sort key of the departures of one node, newest last.

    A graceful departure supersedes a loss of the same boot.
    """
    return departure.incarnation, departure.boot_id, departure.left, departure.sequence
