"""Hints on which upstream holds a conversation's cached prefix."""

from sassafrashook.routing._recent import RecentMap


class HolderHints:
    """The last known holder of each of the latest conversations.

    A hint may be wrong; it only moves an upstream to the head of the preference order.

    :param size_max: number of conversations remembered.
    """

    __slots__ = ("holders_",)

    def __init__(self, size_max):
        self.holders_ = RecentMap(size_max)

    def put(self, key, upstream):
        """Remember that an upstream holds a conversation."""
        self.holders_.put(key, (upstream, upstream.cache_clears_))

    def drop(self, key, upstream):
        """Forget that an upstream holds a conversation."""
        if self.get(key) is upstream:
            self.holders_.drop(key)

    def get(self, key):
        """Return the upstream believed to hold a conversation, or ``None``."""
        known = self.holders_.get(key)
        if known is None or known[0].cache_clears_ != known[1] or not known[0].live_:
            return None
        return known[0]
