"""The nodes that one node knows of, and the rules by which they come and go."""

import heapq
from dataclasses import dataclass
from enum import StrEnum

from msgspec.structs import astuple, replace

from sassafrashook.membership._events import DepartureReason, PeerGone, PeerSeen
from sassafrashook.membership._limits import is_peer, is_peer_departure
from sassafrashook.membership._messages import PeerDeparture, PeerRecord
from sassafrashook.utils import hash_key

DENIALS_LIMIT = 8


class PeerAdmission(StrEnum):
    """What became of a node's record or of a report of its departure."""

    ADDED = "peer_added"
    DEPARTED = "peer_departed"
    DENIED = "peer_loss_denied"
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
class PastPeer:
    """The newest boot of a node that is no longer listed.

    :param key: key under which the departure is spread.
    :param forget_at: seconds.
    """

    departure: PeerDeparture
    key: int
    forget_at: float

    def make_departure(self, remaining_ms):
        """Return the report as it is to be passed on now."""
        return replace(self.departure, remaining_ms=remaining_ms)


def hash_peer(record):
    """Return the 64-bit key of a node's record."""
    return hash_key("peer", *(repr(field) for field in astuple(record)))


class PeerTable:
    """Nodes by name, with the memory of those that departed.

    :param keys: the :class:`KeySet` that records and departures are held in.
    :param own: this node's :class:`PeerRecord`.
    :param memory_s: how long a departure is remembered, seconds.
    :param max_peers: bound of the list.
    """

    def __init__(self, keys, own, memory_s, max_peers):
        self.keys = keys
        self.own = own
        self.memory_s = memory_s
        self.max_peers = max_peers
        self.own_ = own
        self.denials_ = 0
        self.live_ = {}
        self.past_ = {}
        self.notices_ = []
        self._forget_heap = []

    def admit(self, record):
        """Take in a node's record if it is newer than what is known.

        :returns: a :class:`PeerAdmission`.
        """
        if not is_peer(record):
            return PeerAdmission.OUT_OF_BOUNDS
        if record.name == self.own.name and self.own.name in self.live_:
            is_known = order(record) <= order(self.own_)
            return PeerAdmission.STALE if is_known else self._deny(record)
        past = self.past_.get(record.name)
        if past is not None and not self._is_after(record, past.departure):
            return PeerAdmission.AFTER_LEAVE if past.departure.left else PeerAdmission.STALE
        entry = self.live_.get(record.name)
        if entry is not None and order(record) <= order(entry.record):
            return PeerAdmission.STALE
        if entry is None and len(self.live_) >= self.max_peers:
            return PeerAdmission.LIST_FULL
        self._list(record)
        return PeerAdmission.ADDED

    def depart(self, departure, now):
        """Take in a report that a node has left or was lost.

        :param departure: a :class:`PeerDeparture`.
        :returns: a :class:`PeerAdmission`.
        """
        if not is_peer_departure(departure):
            return PeerAdmission.OUT_OF_BOUNDS
        if departure.name == self.own.name:
            return self._deny(departure)
        past = self.past_.get(departure.name)
        if past is not None and rank(departure) <= rank(past.departure):
            return PeerAdmission.STALE
        entry = self.live_.get(departure.name)
        if entry is not None and self._is_after(entry.record, departure):
            return PeerAdmission.STALE
        if entry is None and past is None and departure.remaining_ms <= 0:
            return PeerAdmission.STALE
        reason = DepartureReason.LEFT if departure.left else DepartureReason.LOST
        self._unlist(departure.name, reason)
        self._remember(departure, now)
        return PeerAdmission.DEPARTED

    def report(self, name, left):
        """Make the report that a listed node has departed.

        :returns: a :class:`PeerDeparture`, or ``None`` if it isn't listed.
        """
        entry = self.live_.get(name)
        if entry is None:
            return None
        record = entry.record
        remaining_ms = int(self.memory_s * 1000)
        position = (record.name, record.incarnation, record.boot_id, record.sequence)
        return PeerDeparture(*position, left=left, remaining_ms=remaining_ms)

    def forget(self, now):
        """Drop departures that were remembered until their deadline."""
        while self._forget_heap and self._forget_heap[0][0] <= now:
            past = self.past_.get(heapq.heappop(self._forget_heap)[1])
            if past is not None and past.forget_at <= now:
                self._drop_past(past)

    def next_deadline(self):
        """Return when :meth:`forget` is due, seconds, or ``None``."""
        return self._forget_heap[0][0] if self._forget_heap else None

    def take_notices(self):
        """Return the notifications since the last call."""
        notices, self.notices_ = self.notices_, []
        return notices

    @staticmethod
    def _is_after(record, departure):
        if departure.left and record.boot_id == departure.boot_id:
            return False
        return order(record) > order(departure)

    def _deny(self, claim):
        """Outrank what others tell of this node, if it would outrank this node's record.

        A newer boot under this name is either an earlier start with a wrong clock, or another
        process with the same name; against the latter this gives up after a few times.
        """
        is_newer_boot = (claim.incarnation, claim.boot_id) > order(self.own_)[:2]
        if is_newer_boot and self.denials_ < DENIALS_LIMIT:
            self.denials_ += 1
            self.own_ = replace(self.own_, incarnation=claim.incarnation + 1)
        elif claim.boot_id == self.own.boot_id and order(claim) >= order(self.own_):
            self.own_ = replace(self.own_, sequence=claim.sequence + 1)
        else:
            return PeerAdmission.STALE
        self._list(self.own_)
        return PeerAdmission.DENIED

    def _list(self, record):
        past = self.past_.get(record.name)
        if past is not None:
            self._drop_past(past)
        entry = self.live_.get(record.name)
        if entry is not None:
            assert order(record) > order(entry.record)
            self.keys.discard(entry.key)
        self.live_[record.name] = PeerEntry(record, hash_peer(record))
        self.keys.add(self.live_[record.name].key, self.live_[record.name])
        if record.name != self.own.name:
            self.notices_.append(PeerSeen(record))

    def _unlist(self, name, reason):
        entry = self.live_.pop(name, None)
        if entry is not None:
            self.keys.discard(entry.key)
            self.notices_.append(PeerGone(name, entry.record.boot_id, reason))

    def _remember(self, departure, now):
        past = self.past_.get(departure.name)
        if past is not None:
            self._drop_past(past)
        elif len(self.past_) >= self.max_peers:
            self._drop_past(next(iter(self.past_.values())))
        forget_at = now + min(departure.remaining_ms / 1000, self.memory_s)
        key = hash_key("gone", departure.name, departure.boot_id, repr(rank(departure)))
        past = PastPeer(departure, key, forget_at)
        self.past_[departure.name] = past
        self.keys.add(key, past)
        heapq.heappush(self._forget_heap, (forget_at, departure.name))

    def _drop_past(self, past):
        del self.past_[past.departure.name]
        self.keys.discard(past.key)


def order(value):
    """Return what orders the records of one node, the newest last."""
    return value.incarnation, value.boot_id, value.sequence


def rank(departure):
    """Return what orders reports on one node; leaving outranks a loss of the same boot."""
    return departure.incarnation, departure.boot_id, departure.left, departure.sequence
