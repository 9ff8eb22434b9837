"""Anti-entropy: compares the records of two nodes and exchanges the missing ones."""

from sassafrashook.membership._entries import UpstreamEntry
from sassafrashook.membership._keyset import MAX_BUCKETS, MIN_BUCKETS
from sassafrashook.membership._merging import MAX_MESSAGE_KEYS
from sassafrashook.membership._messages import (
    BucketContents,
    BucketHashes,
    Gossip,
    Records,
    RecordsWanted,
    RefreshesWanted,
)

SETTLE_TIME_S = 1.0
MAX_COMPARE_DELAY_S = 3.0
# Also the number of buckets requested, which must be a power of two. If this many nodes are known,
# each is asked for one bucket; fewer nodes share the buckets.
JOIN_FANOUT = 32


class AntiEntropy:
    """Compares records with other nodes and serves their requests.

    A node that receives a different digest replies with the hashes of its buckets. The other node
    returns its keys in the differing buckets. The first node then sends the records that the other
    one lacks, and requests those that it lacks itself.

    :param core: the :class:`MembershipCore` that owns this object.
    """

    def __init__(self, core):
        self.core = core
        self._last_change_at = float("-inf")
        self._last_equal_at = float("-inf")
        self._compare_after = float("-inf")
        self._handlers = {
            Gossip: self._handle_gossip,
            Records: self.core.merger_.merge_message,
            BucketHashes: self._handle_bucket_hashes,
            BucketContents: self._handle_bucket_contents,
            RecordsWanted: self._handle_records_wanted,
            RefreshesWanted: self._handle_refreshes_wanted,
        }

    def handle(self, peer, message, now):
        """Process one message of another node."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self.core.count("membership_message_refused", type(message).__name__)
            return
        estimator = self.core.delay_estimator_
        delay_s = estimator.estimate_delay(peer, message.boot, message.sent_ms, now)
        handler(peer, message, delay_s, now)

    def record_change(self, now):
        """Record a local change, after which digests differ until the change has propagated."""
        self._last_change_at = now

    def request_initial_state(self, now):
        """Request all records, a part of the buckets from each of several nodes."""
        names = self.core.monitor_.sample_all(JOIN_FANOUT)
        for index, peer in enumerate(names):
            buckets = list(range(index, JOIN_FANOUT, len(names)))
            message = BucketContents(*self.core.make_stamp(now), JOIN_FANOUT, buckets, [])
            self.core.send(peer, message, now)

    def _handle_gossip(self, peer, message, delay_s, now):
        self.core.merger_.merge_message(peer, message, delay_s, now)
        if message.digest == self.core.keys_.digest_:
            self.core.synchronized_ = True
            self._last_equal_at = now
            return
        if self._should_compare(now):
            self._compare_after = now + self.core.interval_ms / 1000
            count = self.core.keys_.choose_bucket_count()
            hashes = self.core.keys_.hash_buckets(count)
            self.core.send(peer, BucketHashes(*self.core.make_stamp(now), hashes), now)

    def _should_compare(self, now):
        if now < self._compare_after:
            return False
        is_settled = now - self._last_change_at >= SETTLE_TIME_S
        is_overdue = now - self._last_equal_at >= MAX_COMPARE_DELAY_S
        return is_settled or is_overdue or not self.core.synchronized_

    def _handle_bucket_hashes(self, peer, message, delay_s, now):
        count = len(message.hashes)
        if not is_valid_bucket_count(count):
            self.core.count("membership_message_refused", BucketHashes.__name__)
            return
        own_hashes = self.core.keys_.hash_buckets(count)
        differing_buckets = [
            index for index in range(count) if own_hashes[index] != message.hashes[index]
        ]
        self.core.rng.shuffle(differing_buckets)
        buckets, keys = [], []
        for bucket in differing_buckets:
            bucket_keys = self.core.keys_.list_bucket(bucket, count)
            if buckets and len(keys) + len(bucket_keys) > MAX_MESSAGE_KEYS:
                break
            buckets.append(bucket)
            keys += bucket_keys
        if buckets:
            message = BucketContents(*self.core.make_stamp(now), count, buckets, keys)
            self.core.send(peer, message, now)

    def _handle_bucket_contents(self, peer, message, delay_s, now):
        if not is_valid_bucket_count(message.bucket_count):
            self.core.count("membership_message_refused", BucketContents.__name__)
            return
        peer_keys = set(message.keys)
        own_keys = set()
        for bucket in message.buckets[:MAX_BUCKETS]:
            own_keys.update(self.core.keys_.list_bucket(bucket, message.bucket_count))
        self.core.replies_.add(peer, sorted(own_keys - peer_keys), now)
        self.core.merger_.request_records(peer, sorted(peer_keys - own_keys), now)

    def _handle_records_wanted(self, peer, message, delay_s, now):
        self.core.replies_.add(peer, [key for key in message.keys if self.core.keys_.get(key)], now)

    def _handle_refreshes_wanted(self, peer, message, delay_s, now):
        keys = [key for key in message.keys if self._is_fresh(key, now)]
        self.core.replies_.add(peer, keys, now, key_only=True)

    def _is_fresh(self, key, now):
        entry = self.core.keys_.get(key)
        return isinstance(entry, UpstreamEntry) and now < entry.refresh_overdue_at()


def is_valid_bucket_count(count):
    """Return whether a number of buckets is a power of two within the limits."""
    return MIN_BUCKETS <= count <= MAX_BUCKETS and count & (count - 1) == 0
