"""Bounded mapping that keeps the most recently stored keys."""


class RecencyMap:
    """Mapping of the most recently stored keys, with constant cost per operation.

    Keys are held in two generations of up to half the maximum. When the current one is full, the
    previous one is discarded, so that at least the latest ``size_max / 2`` keys are kept.

    :param size_max: largest number of keys held.
    :ivar current_: the generation that new keys are stored in.
    :ivar previous_: the generation before it.
    """

    __slots__ = ("size_max", "current_", "previous_")

    def __init__(self, size_max):
        self.size_max = size_max
        self.current_ = {}
        self.previous_ = {}

    def __contains__(self, key):
        return key in self.current_ or key in self.previous_

    def __len__(self):
        return len(self.current_) + len(self.previous_)

    def put(self, key, value=None):
        """Store a value and make its key the most recent."""
        self.previous_.pop(key, None)
        self.current_[key] = value
        if len(self.current_) * 2 > self.size_max:
            self.previous_ = self.current_
            self.current_ = {}

    def get(self, key):
        """Return the value of a key, or ``None``."""
        return self.current_.get(key) or self.previous_.get(key)

    def drop(self, key):
        """Remove a key; an unknown one is ignored."""
        self.current_.pop(key, None)
        self.previous_.pop(key, None)
