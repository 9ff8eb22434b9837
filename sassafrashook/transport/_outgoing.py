"""Order in which the messages to one peer are written: large ones in parts, behind all others."""

import math
from collections import deque
from dataclasses import dataclass

from sassafrashook.transport._codec import MAX_MESSAGE_BYTES, CodecError
from sassafrashook.transport._control_messages import MessagePart

__all__ = ["LinkPacer", "MessageAssembler", "OutgoingMessages"]

# Largest message that is written at once; 11 ms of a link of 6 Mbit/s.
MAX_PART_BYTES = 8_192
MAX_LANES = 16
# Share of a node's link for large messages and bodies of responses. The rest is left to heartbeats
# and other small messages, which would otherwise wait in the queue of the link.
LARGE_LINK_SHARE = 0.8


class LinkPacer:
    """Assigns the transmission times of large messages on one node's link, in order of request.

    Messages are transmitted one after the other, so that a majority of the recipients of the same
    message have it as early as possible.

    :param bytes_per_s: bandwidth of the link, in bytes per second.

    :ivar free_at_: end of all assigned transmissions, in monotonic seconds.

    >>> pacer = LinkPacer(1_000)
    >>> pacer.reserve(400, 10.0), pacer.reserve(400, 10.0), pacer.reserve(400, 12.0)
    (10.0, 10.5, 12.0)
    """

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at_ = -math.inf

    def measure_s(self, size):
        """Return how long the transmission of ``size`` bytes takes, in seconds."""
        return size / (LARGE_LINK_SHARE * self.bytes_per_s)

    def reserve(self, size, now):
        """Assign the next free time to ``size`` bytes.

        :param now: monotonic seconds.
        :returns: start of the transmission, monotonic seconds.
        """
        start = max(now, self.free_at_)
        self.free_at_ = start + self.measure_s(size)
        return start


@dataclass(slots=True)
class _Transmission:
    """A message that is being written in parts.

    :param data: the encoded message.
    :param started_at: assigned start, monotonic seconds.
    :param written: number of bytes written so far.
    """

    data: bytes
    started_at: float
    written: int = 0


class OutgoingMessages:
    """Messages that wait to be written to one peer.

    Messages whose class says ``is_large`` wait in a lane of their class, where they keep their
    order; all others are written first. Messages that are larger than ``MAX_PART_BYTES`` are
    transmitted at times of the :class:`LinkPacer`, in parts, so that others pass between the parts.
    A peer that can't read parts is sent the whole message at that time.

    :param encode: callable that returns the bytes of a message.
    :param pacer: the :class:`LinkPacer` of the node.

    :ivar reads_parts_: whether the peer reads parts; ``None`` while that isn't known, when large
        messages wait.
    """

    def __init__(self, encode, pacer):
        self.encode = encode
        self.pacer = pacer
        self.reads_parts_ = None
        self._small = deque()
        self._lanes = {}
        self._transmissions = {}

    def __len__(self):
        return len(self._small) + sum(map(len, self._lanes.values()))

    def put(self, message):
        """Add a message."""
        if message.is_large:
            self._lanes.setdefault(type(message).__name__, deque()).append(message)
        else:
            self._small.append(message)

    def clear(self):
        """Remove all messages, also those in transmission, when a connection has ended.

        :returns: list of the messages.
        """
        removed = [*self._small, *(m for lane in self._lanes.values() for m in lane)]
        self._small.clear()
        self._lanes.clear()
        self._transmissions.clear()
        self.reads_parts_ = None
        return removed

    def take(self, now, max_bytes):
        """Return what must be written now.

        :param now: monotonic seconds.
        :param max_bytes: size after which no further small message is added, in bytes.
        :returns: the bytes, and the time at which more is due if no message is added before, in
            monotonic seconds.
        """
        parts = []
        size = 0
        while self._small and size < max_bytes:
            parts.append(self.encode(self._small.popleft()))
            size += len(parts[-1])
        next_due = now if self._small else math.inf
        for name in list(self._lanes):
            data, due = self._take_from_lane(name, now)
            parts.append(data)
            next_due = min(next_due, due)
        return b"".join(parts), next_due

    def _take_from_lane(self, name, now):
        """Return at most one message or part of a lane, and when the next one is due."""
        lane = self._lanes[name]
        transmission = self._transmissions.get(name)
        if transmission is None:
            if self.reads_parts_ is None:
                return b"", math.inf
            data = self.encode(lane[0])
            if len(data) <= MAX_PART_BYTES:
                self._finish_first(name)
                return data, now
            start = self.pacer.reserve(len(data), now)
            transmission = self._transmissions[name] = _Transmission(data, start)
        due = transmission.started_at + self.pacer.measure_s(transmission.written)
        if now < due:
            return b"", due
        if not self.reads_parts_:
            self._finish_first(name)
            return transmission.data, now
        begin = transmission.written
        piece = transmission.data[begin : begin + MAX_PART_BYTES]
        transmission.written += len(piece)
        is_last = transmission.written == len(transmission.data)
        due = transmission.started_at + self.pacer.measure_s(transmission.written)
        if is_last:
            self._finish_first(name)
            due = now
        return self.encode(MessagePart(name, begin == 0, is_last, piece)), due

    def _finish_first(self, name):
        self._transmissions.pop(name, None)
        lane = self._lanes[name]
        lane.popleft()
        if not lane:
            del self._lanes[name]


class MessageAssembler:
    """Joins the parts of the messages that one connection has received."""

    def __init__(self):
        self._parts = {}

    def add(self, part):
        """Add a part.

        :param part: a :class:`MessagePart`.
        :returns: the encoded message that it completes, or ``None``.
        :raises CodecError: if it continues no message, or the message is too large.
        """
        if part.is_first:
            self._parts[part.lane] = bytearray()
        data = self._parts.get(part.lane)
        if data is None or len(self._parts) > MAX_LANES:
            raise CodecError("a part continues no message")
        data += part.data
        if len(data) > MAX_MESSAGE_BYTES:
            raise CodecError("a message in parts is too large")
        if not part.is_last:
            return None
        return bytes(self._parts.pop(part.lane))
