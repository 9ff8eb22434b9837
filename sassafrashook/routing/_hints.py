"""Hints on which upstream holds a conversation's cached prefix."""


class HolderHints:
    """The last known holder of each of the latest conversations.

    A hint may be wrong; it only moves an upstream to the head of the preference order.

    :param size_max: number of conversations remembered.
    """

    __slots__ = ("size_max", "holders_")

    def __init__(self, size_max):
        self.size_max = size_max
        self.holders_ = {}

    def put(self, key, upstream):
        """Remember that an upstream holds a conversation."""
        self.holders_.pop(key, None)
        self.holders_[key] = (upstream, upstream.cache_clears_)
        if len(self.holders_) > self.size_max:
            del self.holders_[next(iter(self.holders_))]

    def drop(self, key, upstream):
        """Forget that an upstream holds a conversation."""
        if self.get(key) is upstream:
            del self.holders_[key]

    def get(self, key):
        """Return the upstream believed to hold a conversation, or ``None``."""
        known = self.holders_.get(key)
        if known is None or known[0].cache_clears_ != known[1] or not known[0].live_:
            return None
        return known[0]
