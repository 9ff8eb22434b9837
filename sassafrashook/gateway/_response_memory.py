"""Limit of the memory that all responses of upstreams hold while a router reads them."""

DEFAULT_RESPONSE_MEMORY_BYTES = 32 * 1_048_576
# Part of the memory for clients. The rest is left to requests and to responses that are being sent,
# so that endless responses are ended before any client is.
RESPONSE_MEMORY_FRACTION = 0.5
SCARCE_FRACTION = 0.75


def compute_response_memory_bytes(client_memory_bytes):
    """Return how much memory responses may hold.

    :param client_memory_bytes: memory that all clients may use, in bytes, ``None`` if that is not
        limited.
    """
    if client_memory_bytes is None:
        return DEFAULT_RESPONSE_MEMORY_BYTES
    return round(client_memory_bytes * RESPONSE_MEMORY_FRACTION)


class ResponseShare:
    """What one response holds of the memory.

    :param memory: the :class:`ResponseMemory`.
    :param end: called without arguments to end the response; it must not block.

    :ivar held_bytes_: bytes that the response holds.
    :ivar is_ended_: whether the response was ended because it held most.
    """

    __slots__ = ("_memory", "_end", "held_bytes_", "is_ended_")

    def __init__(self, memory, end):
        self._memory = memory
        self._end = end
        self.held_bytes_ = 0
        self.is_ended_ = False

    def hold(self, size):
        """Set how much the response holds, before it does.

        :param size: bytes.
        :returns: whether it may; otherwise it was ended.
        """
        if not self.is_ended_:
            self._memory.resize(self, size)
        return not self.is_ended_

    def is_scarce(self):
        """Return whether most of the memory is used."""
        return self._memory.used_bytes_ > SCARCE_FRACTION * self._memory.max_bytes

    def end(self):
        """End the response."""
        self.is_ended_ = True
        self._end()

    def close(self):
        """Return what the response holds."""
        self._memory.remove(self)


class ResponseMemory:
    """Divides memory over responses; the largest one is ended when it runs out.

    Responses of ordinary size are thus not affected by those without an end.

    :param max_bytes: bytes that all responses may hold together.
    :param record_end: called with each :class:`ResponseShare` that is ended.

    :ivar used_bytes_: bytes that all responses hold.

    >>> memory = ResponseMemory(100)
    >>> large, small = memory.open_share(lambda: None), memory.open_share(lambda: None)
    >>> large.hold(90), small.hold(20), large.is_ended_, memory.used_bytes_
    (True, True, True, 20)
    """

    def __init__(self, max_bytes, record_end=lambda _share: None):
        self.max_bytes = max_bytes
        self.record_end = record_end
        self.used_bytes_ = 0
        self._shares = set()

    def open_share(self, end):
        """Return a new :class:`ResponseShare` that holds nothing.

        :param end: see :class:`ResponseShare`.
        """
        return ResponseShare(self, end)

    def resize(self, share, size):
        """Set what a response holds; see :meth:`ResponseShare.hold`."""
        self._shares.add(share)
        self.used_bytes_ += size - share.held_bytes_
        share.held_bytes_ = size
        while self.used_bytes_ > self.max_bytes:
            largest = max(self._shares, key=lambda other: other.held_bytes_)
            self.record_end(largest)
            self.remove(largest)
            largest.end()

    def remove(self, share):
        """Remove a response and what it holds."""
        if share in self._shares:
            self._shares.discard(share)
            self.used_bytes_ -= share.held_bytes_
            share.held_bytes_ = 0
