"""One router's knowledge of which upstreams have cached which prompt parts."""

from collections import OrderedDict

MAX_PARTS = 20_000
NEVER = (float("-inf"), float("-inf"))
MAX_HOLDERS_PER_PART = 32
# Time after its last recorded use for which an upstream counts as a holder. An upstream evicts the
# least recently used parts, and keeps a part for much longer than this.
HOLDER_TTL_S = 30.0
# Minimum interval between two announcements of the same holder to other routers. It is well below
# HOLDER_TTL_S, so a holder in use does not expire at other routers.
ANNOUNCE_INTERVAL_S = 10.0


class PromptCacheIndex:
    """LRU index of the holders of each prompt part: the upstreams that have cached it.

    :ivar holders_by_part_: for each part hash, the keys of its holders in order of use, the most
        recent last. Each key maps to a pair of monotonic times: the last use, and the announcement
        by this or another router from which ``ANNOUNCE_INTERVAL_S`` counts.

    >>> index = PromptCacheIndex()
    >>> index.record_use(7, ("engine", 1), now=0.0)
    True
    >>> index.find_holders(7, now=1.0)
    [('engine', 1)]
    """

    def __init__(self):
        self.holders_by_part_ = OrderedDict()

    def record_use(self, part_hash, key, now):
        """Record that an upstream uses a part and so has cached it.

        :param part_hash: 64-bit hash that identifies the part.
        :param key: key of the upstream's boot.
        :param now: monotonic seconds.
        :returns: whether the use is due to be announced to other routers.
        """
        holders = self.holders_by_part_.setdefault(part_hash, {})
        _, announced_at = holders.pop(key, NEVER)
        is_due = now >= announced_at + ANNOUNCE_INTERVAL_S
        holders[key] = (now, now if is_due else announced_at)
        while len(holders) > MAX_HOLDERS_PER_PART:
            del holders[next(iter(holders))]
        self.holders_by_part_.move_to_end(part_hash)
        while len(self.holders_by_part_) > MAX_PARTS:
            self.holders_by_part_.popitem(last=False)
        return is_due

    def find_holders(self, part_hash, now):
        """Return the keys of the holders of a part, the most recently used first."""
        holders = self.holders_by_part_.get(part_hash, {})
        return [
            key for key, (used_at, _) in reversed(holders.items()) if now < used_at + HOLDER_TTL_S
        ]
