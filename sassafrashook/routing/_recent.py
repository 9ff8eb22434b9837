"""A bounded mapping of the latest keys."""


class RecentMap:
    """Keeps at least half of its maximum of the latest keys, at constant cost.

    Two generations are held; when the younger is full, the older one is dropped.

    :param size_max: most keys held.
    """

    __slots__ = ("size_max", "young_", "old_")

    def __init__(self, size_max):
        self.size_max = size_max
        self.young_ = {}
        self.old_ = {}

    def __contains__(self, key):
        return key in self.young_ or key in self.old_

    def __len__(self):
        return len(self.young_) + len(self.old_)

    def put(self, key, value=None):
        """Store a value as the latest."""
        self.old_.pop(key, None)
        self.young_[key] = value
        if len(self.young_) * 2 > self.size_max:
            self.old_ = self.young_
            self.young_ = {}

    def get(self, key):
        """Return a key's value, or ``None``."""
        return self.young_.get(key) or self.old_.get(key)

    def drop(self, key):
        """Forget a key; unknown ones are ignored."""
        self.young_.pop(key, None)
        self.old_.pop(key, None)
