"""A set of 64-bit keys with digests, compared between two nodes without naming every key."""

MINIMUM_BUCKETS = 8
MAXIMUM_BUCKETS = 128
KEYS_PER_BUCKET = 16
HASH_MASK = 0xFFFFFFFF


class KeySet:
    """Records by key, with a digest that doesn't depend on the order of changes.

    Attributes:

    :ivar digest_: 64-bit exclusive or of all keys.

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
        """Hold a record under its key."""
        if key not in self.items_:
            self.digest_ ^= key
        self.items_[key] = item

    def discard(self, key):
        """Drop a key if it is held."""
        if self.items_.pop(key, None) is not None:
            self.digest_ ^= key

    def get(self, key):
        """Return the record of a key, or ``None``."""
        return self.items_.get(key)

    def choose_bucket_count(self):
        """Return a power of two that leaves a few keys in each bucket."""
        count = MINIMUM_BUCKETS
        while count < MAXIMUM_BUCKETS and count * KEYS_PER_BUCKET < len(self.items_):
            count *= 2
        return count

    def hash_buckets(self, count):
        """Return one 32-bit hash a bucket.

        :param count: number of buckets, a power of two.
        """
        hashes = [0] * count
        for key in self.items_:
            hashes[key & (count - 1)] ^= (key >> 32) ^ (key & HASH_MASK)
        return hashes

    def list_bucket(self, bucket, count):
        """Return the keys of one bucket."""
        return [key for key in self.items_ if key & (count - 1) == bucket]
