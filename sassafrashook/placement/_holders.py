"""One router's knowledge of which upstreams have cached which prompt parts."""

from collections import OrderedDict

MAX_PARTS = 20_000
NEVER = (float("-inf"), float("-inf"))
MAX_HOLDERS_PER_PART = 32
# An upstream evicts the least recently used parts, and keeps a part for much longer than this.
HOLDER_TTL_S = 30.0
# Minimum interval between two announcements of the same holder to other routers. It is well below
# HOLDER_TTL_S, so a holder in use does not expire at other routers.
ANNOUNCE_INTERVAL_S = 10.0


class PromptCacheIndex:
    """LRU index of the upstreams that have recently read each prompt part.

    :ivar holders_by_part_: for each part, its holders in order of use, the most recent last. Each
        holder maps to a pair of monotonic times: its last use, and the last announcement of that
        use to or by other routers.

    >>> index = PromptCacheIndex()
    >>> index.record_use(7, ("engine", 1), now=0.0)
    True
    >>> index.find_holders(7, now=1.0)
    [('engine', 1)]
    """

    def __init__(self):
        self.holders_by_part_ = OrderedDict()

    def record_use(self, part, key, now):
        """Record that an upstream has read or reused a part.

        :param part: 64-bit hash that identifies the part.
        :param key: key of the upstream's boot.
        :param now: monotonic seconds.
        :returns: whether the use is due to be announced to other routers.
        """
        holders = self.holders_by_part_.setdefault(part, {})
        _, announced_at = holders.pop(key, NEVER)
        is_due = now >= announced_at + ANNOUNCE_INTERVAL_S
        holders[key] = (now, now if is_due else announced_at)
        while len(holders) > MAX_HOLDERS_PER_PART:
            del holders[next(iter(holders))]
        self.holders_by_part_.move_to_end(part)
        while len(self.holders_by_part_) > MAX_PARTS:
            self.holders_by_part_.popitem(last=False)
        return is_due

    def find_holders(self, part, now):
        """Return the keys of the upstreams that hold a part, the most recent user first."""
        holders = self.holders_by_part_.get(part, {})
        return [
            key for key, (used_at, _) in reversed(holders.items()) if now < used_at + HOLDER_TTL_S
        ]
