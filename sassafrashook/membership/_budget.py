"""Limits the bytes sent in every one-second window."""

from collections import deque

WINDOW_S = 1.001  # the extra millisecond absorbs rounding of the clock


class ByteBudget:
    """Sliding-window limit on the bytes sent.

    :param limit: maximum in any window of one second, bytes.

    Attributes:

    :ivar sent_: time and size of each message of the current window, oldest first.
    :ivar used_: bytes sent in the current window.
    """

    def __init__(self, limit):
        self.limit = limit
        self.sent_ = deque()
        self.used_ = 0

    def available(self, now):
        """Return the number of bytes that may be sent now."""
        while self.sent_ and self.sent_[0][0] <= now - WINDOW_S:
            self.used_ -= self.sent_.popleft()[1]
        return self.limit - self.used_

    def spend(self, size, now):
        """Reserve bytes for a message.

        :param size: size of the message, bytes.
        :returns: whether the budget allowed it; if not, nothing is reserved.
        """
        if size > self.available(now):
            return False
        self.sent_.append((now, size))
        self.used_ += size
        assert self.used_ <= self.limit
        return True
