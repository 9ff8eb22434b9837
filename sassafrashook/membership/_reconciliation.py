"""Comparison of two nodes' lists, and exchange of what one of them lacks."""

from sassafrashook.membership._entries import Entry
from sassafrashook.membership._intake import KEYS_IN_MESSAGE
from sassafrashook.membership._keyset import MAXIMUM_BUCKETS, MINIMUM_BUCKETS
from sassafrashook.membership._messages import (
    BucketContents,
    BucketHashes,
    Gossip,
    Records,
    RecordsWanted,
    RefreshesWanted,
)

SETTLE_S = 1.0
UNSETTLED_LIMIT_S = 3.0
JOIN_FANOUT = 32  # a power of two, so that each node is asked for one bucket


class Reconciliation:
    """The part of :class:`MembershipCore` that compares lists and serves requests.

    :param core: the core that it is part of.
    """

    def __init__(self, core):
        self.core = core
        self._changed_at = float("-inf")
        self._equal_at = float("-inf")
        self._compare_after = float("-inf")
        self._handlers = {
            Gossip: self._hear_gossip,
            Records: self.core.intake_.take_parts,
            BucketHashes: self._hear_hashes,
            BucketContents: self._hear_contents,
            RecordsWanted: self._hear_wanted,
            RefreshesWanted: self._hear_refreshes_wanted,
        }

    def hear(self, peer, message, now):
        """Take one message of another node."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self.core.count("membership_message_refused", type(message).__name__)
            return
        transit = self.core.transit_
        delay_s = transit.measure_delay(peer, message.boot, message.sent_ms, now)
        handler(peer, message, delay_s, now)

    def note_change(self, now):
        """Note that a record came or went, so that digests differ for a while."""
        self._changed_at = now

    def join(self, now):
        """Ask several nodes for a share of the list each."""
        names = self.core.liveness_.choose_any(JOIN_FANOUT)
        for index, peer in enumerate(names):
            buckets = list(range(index, JOIN_FANOUT, len(names)))
            message = BucketContents(*self.core.stamp(now), JOIN_FANOUT, buckets, [])
            self.core.send(peer, message, now)

    def _hear_gossip(self, peer, message, delay_s, now):
        self.core.intake_.take_parts(peer, message, delay_s, now)
        if message.digest == self.core.keys_.digest_:
            self.core.synchronised_ = True
            self._equal_at = now
            return
        if self._may_compare(now):
            self._compare_after = now + self.core.interval_ms / 1000
            count = self.core.keys_.choose_bucket_count()
            hashes = self.core.keys_.hash_buckets(count)
            self.core.send(peer, BucketHashes(*self.core.stamp(now), hashes), now)

    def _may_compare(self, now):
        if now < self._compare_after:
            return False
        is_settled = now - self._changed_at >= SETTLE_S
        is_overdue = now - self._equal_at >= UNSETTLED_LIMIT_S
        return is_settled or is_overdue or not self.core.synchronised_

    def _hear_hashes(self, peer, message, delay_s, now):
        count = len(message.hashes)
        if not is_bucket_count(count):
            self.core.count("membership_message_refused", BucketHashes.__name__)
            return
        own = self.core.keys_.hash_buckets(count)
        differing = [index for index in range(count) if own[index] != message.hashes[index]]
        self.core.rng.shuffle(differing)
        buckets, keys = [], []
        for bucket in differing:
            more = self.core.keys_.list_bucket(bucket, count)
            if buckets and len(keys) + len(more) > KEYS_IN_MESSAGE:
                break
            buckets.append(bucket)
            keys += more
        if buckets:
            message = BucketContents(*self.core.stamp(now), count, buckets, keys)
            self.core.send(peer, message, now)

    def _hear_contents(self, peer, message, delay_s, now):
        if not is_bucket_count(message.bucket_count):
            self.core.count("membership_message_refused", BucketContents.__name__)
            return
        theirs = set(message.keys)
        own = set()
        for bucket in message.buckets[:MAXIMUM_BUCKETS]:
            own.update(self.core.keys_.list_bucket(bucket, message.bucket_count))
        self.core.replies_.add(peer, sorted(own - theirs), now)
        self.core.intake_.want(peer, sorted(theirs - own), now)

    def _hear_wanted(self, peer, message, delay_s, now):
        self.core.replies_.add(peer, [key for key in message.keys if self.core.keys_.get(key)], now)

    def _hear_refreshes_wanted(self, peer, message, delay_s, now):
        keys = [key for key in message.keys if self._has_time_left(key, now)]
        self.core.replies_.add(peer, keys, now, by_key=True)

    def _has_time_left(self, key, now):
        entry = self.core.keys_.get(key)
        return isinstance(entry, Entry) and now < entry.lag_deadline()


def is_bucket_count(count):
    """Return whether a number of buckets may be used."""
    return MINIMUM_BUCKETS <= count <= MAXIMUM_BUCKETS and count & (count - 1) == 0
