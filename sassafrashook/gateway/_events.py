"""Splits a server-sent event stream at event boundaries."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers received bytes and returns complete events only.

    :ivar last_event_id_: id of the last complete event that has one, ``None`` before the first.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2"), splitter.last_event_id_
    (b'id: 1\\ndata: a\\n\\n', '1')
    """

    __slots__ = ("last_event_id_", "_incomplete")

    def __init__(self):
        self.last_event_id_ = None
        self._incomplete = b""

    def feed(self, data):
        """Add received bytes and return the events that are now complete.

        :param data: ``bytes``.
        :returns: the complete events as ``bytes``, empty if there are none.
        """
        data = self._incomplete + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._incomplete = data
            return b""
        complete, self._incomplete = data[: end + 2], data[end + 2 :]
        self._update_last_event_id(complete)
        return complete

    def _update_last_event_id(self, complete):
        start = complete.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif complete.startswith(ID_FIELD):
            start = 0
        else:
            return
        line = complete[start + len(ID_FIELD) : complete.index(b"\n", start)]
        self.last_event_id_ = line.strip().decode("latin-1")

    def measure_incomplete(self):
        """Return the number of bytes after the last complete event."""
        return len(self._incomplete)

    def take_incomplete(self):
        """Return the bytes after the last complete event and clear the buffer."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete
