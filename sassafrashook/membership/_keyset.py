"""Keyed records with an order-independent digest, for comparing the records of two nodes."""

MIN_BUCKETS = 8
MAX_BUCKETS = 128
TARGET_KEYS_PER_BUCKET = 16
HASH_MASK = 0xFFFFFFFF


class KeySet:
    """Records by 64-bit key, with a digest that doesn't depend on the order of insertion.

    Nodes with different digests find the differing keys by comparing hashes of buckets of keys.

    Attributes:

    :ivar items_: records by key.
    :ivar digest_: exclusive or of all keys, 64 bits.

    Example:

    >>> first, second = KeySet(), KeySet()
    >>> first.add(7, "a"), first.add(9, "b"), second.add(9, "b")
    (None, None, None)
    >>> first.discard(7)
    >>> first.digest_ == second.digest_
    True
    """

    def __init__(self):
        self.items_ = {}
        self.digest_ = 0

    def add(self, key, item):
        """Insert or replace the record of a key."""
        if key not in self.items_:
            self.digest_ ^= key
        self.items_[key] = item

    def discard(self, key):
        """Remove a key if present."""
        if self.items_.pop(key, None) is not None:
            self.digest_ ^= key

    def get(self, key):
        """Return the record of a key, or ``None``."""
        return self.items_.get(key)

    def choose_bucket_count(self):
        """Return the number of buckets, a power of two, that suits the number of keys."""
        count = MIN_BUCKETS
        while count < MAX_BUCKETS and count * TARGET_KEYS_PER_BUCKET < len(self.items_):
            count *= 2
        return count

    def hash_buckets(self, count):
        """Return the 32-bit hash of each bucket.

        :param count: number of buckets, a power of two.
        """
        hashes = [0] * count
        for key in self.items_:
            hashes[key & (count - 1)] ^= (key >> 32) ^ (key & HASH_MASK)
        return hashes

    def list_bucket(self, bucket, count):
        """Return the keys in one bucket.

        :param bucket: index of the bucket.
        :param count: number of buckets, a power of two.
        """
        return [key for key in self.items_ if key & (count - 1) == bucket]
