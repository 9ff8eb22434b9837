"""A limit on bytes sent that holds in every one-second window."""

from collections import deque

WINDOW_S = 1.001  # a little more than a second, for rounding


class ByteBudget:
    """Keeps what was sent during the last second under a limit.

    :param limit: bytes in any window of one second.
    """

    def __init__(self, limit):
        self.limit = limit
        self.sent_ = deque()
        self.used_ = 0

    def available(self, now):
        """Return how many bytes may be sent now."""
        while self.sent_ and self.sent_[0][0] <= now - WINDOW_S:
            self.used_ -= self.sent_.popleft()[1]
        return self.limit - self.used_

    def spend(self, size, now):
        """Take bytes out of the budget.

        :returns: whether there was room; if not, nothing is taken.
        """
        if size > self.available(now):
            return False
        self.sent_.append((now, size))
        self.used_ += size
        assert self.used_ <= self.limit
        return True
