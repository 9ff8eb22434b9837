"""Whole events of a stream."""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the part of an event that has not arrived whole.

    :ivar last_id_: id of the last whole event, ``None`` before the first one.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2"), splitter.last_id_
    (b'id: 1\\ndata: a\\n\\n', '1')
    """

    __slots__ = ("last_id_", "_rest")

    def __init__(self):
        self.last_id_ = None
        self._rest = b""

    def feed(self, data):
        """Take bytes; return the whole events that they complete."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + 2], data[end + 2 :]
        self._note_id(whole)
        return whole

    def _note_id(self, whole):
        start = whole.rfind(b"\n" + ID_FIELD)
        if start >= 0:
            start += 1
        elif whole.startswith(ID_FIELD):
            start = 0
        else:
            return
        line = whole[start + len(ID_FIELD) : whole.index(b"\n", start)]
        self.last_id_ = line.strip().decode("latin-1")

    def take_rest(self):
        """Return what is left at the end of a complete stream."""
        rest, self._rest = self._rest, b""
        return rest
