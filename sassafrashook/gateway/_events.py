"""Splits a server-sent event stream at event boundaries."""

import re

from sassafrashook.utils import parse_integer

# Lines end with LF, CR LF or CR, an event with an empty line.
EVENT_END = re.compile(rb"(?:\r\n|\r(?!\n)|\n){2}")
PLAIN_EVENT_END = b"\n\n"
ID_FIELD = b"id:"
NO_EVENT = re.compile(rb"(?:(?::|retry:)[^\n]*(?:\n|\Z)|\n)*")  # comments and delays
MAX_EVENT_NUMBER = 2**63 - 1  # larger ids are compared as texts


class EventOrderError(ValueError):
    """Raised when a response does not continue the stream that it was requested for."""


class EventSplitter:
    """Buffers received bytes and returns complete events only.

    :ivar last_event_id_: id of the last complete event that has one, ``None`` before the first.
    :ivar has_events_: whether there was a complete event since the last call of :meth:`resume`.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2"), splitter.last_event_id_
    (b'id: 1\\ndata: a\\n\\n', '1')
    """

    __slots__ = (
        "last_event_id_",
        "has_events_",
        "_resumed_after",
        "_incomplete",
        "_ends_with_return",
    )

    def __init__(self):
        self.last_event_id_ = None
        self.has_events_ = False
        self._resumed_after = None
        self._incomplete = b""
        self._ends_with_return = False

    def resume(self, last_event_id):
        """Expect the events of another response, which must go on after an event.

        :param last_event_id: id of that event, ``None`` if the stream starts at its beginning.
        """
        self.has_events_ = False
        self._resumed_after = last_event_id
        self._incomplete = b""
        self._ends_with_return = False

    def feed(self, data):
        """Add received bytes and return the events that are now complete.

        :param data: ``bytes``.
        :returns: the complete events as ``bytes``, empty if there are none.
        :raises EventOrderError: if the first event of a resumed stream does not go on after the
            event at which the stream was resumed.
        """
        data = self._incomplete + data
        end = _find_last_end(data)
        # The line feed of the last line end, if that came in parts.
        rest = 1 if self._ends_with_return and data.startswith(b"\n") else 0
        end = max(end, rest)
        if end == 0:
            self._incomplete = data
            return b""
        complete, self._incomplete = data[:end], data[end:]
        self._ends_with_return = complete.endswith(b"\r")
        lines = complete[rest:]
        if b"\r" in lines:
            lines = lines.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        if not self.has_events_:
            self._find_first_event(lines)
        self._update_last_event_id(lines)
        return complete

    def _find_first_event(self, lines):
        """Find the first event, and check it if it must go on after another one.

        Comments and delays before it are no events.
        """
        for block in lines.split(PLAIN_EVENT_END):
            if not NO_EVENT.fullmatch(block):
                self.has_events_ = True
                if self._resumed_after is not None:
                    self._check_first_event(block + b"\n")
                return

    def _check_first_event(self, event):
        event_id, after = _find_event_id(event), self._resumed_after
        number, after_number = (parse_integer(t, MAX_EVENT_NUMBER) for t in (event_id, after))
        is_numeric = number is not None and after_number is not None
        if event_id is None or (number <= after_number if is_numeric else event_id == after):
            raise EventOrderError(f"event {event_id} does not go on after {after}")

    def _update_last_event_id(self, complete):
        event_id = _find_event_id(complete)
        if event_id is not None:
            self.last_event_id_ = event_id

    def measure_incomplete(self):
        """Return the number of bytes after the last complete event."""
        return len(self._incomplete)

    def take_incomplete(self):
        """Return the bytes after the last complete event and clear the buffer."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete


def _find_last_end(data):
    """Return the end of the last complete event of some bytes, 0 if there is none."""
    if b"\r" not in data:
        return data.rfind(PLAIN_EVENT_END) + len(PLAIN_EVENT_END) if PLAIN_EVENT_END in data else 0
    end = 0
    for match in EVENT_END.finditer(data):
        end = match.end()
    return end


def _find_event_id(events):
    """Return the id of the last of some events that has one, ``None`` if none has."""
    start = events.rfind(b"\n" + ID_FIELD)
    if start >= 0:
        start += 1
    elif events.startswith(ID_FIELD):
        start = 0
    else:
        return None
    line = events[start + len(ID_FIELD) : events.index(b"\n", start)]
    return line.strip().decode("latin-1")
