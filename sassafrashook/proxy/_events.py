"""Splits a stream of server-sent events at event boundaries without decoding each event."""

import msgspec

__all__ = ["EventScanner", "StreamError", "extract_text"]

BOUNDARY = b"\n\n"
DATA_PREFIX = b"data: "
END_MARKER = b"data: [DONE]\n\n"
COMMENT_PREFIX = b":"
ID_PREFIX = "chatcmpl-"
MAX_EVENT_BYTES = 1_048_576


class StreamError(Exception):
    """The received bytes are not a valid continuation of the expected event stream."""


class EventId(msgspec.Struct):
    """Id field of an event, which names the completion that it belongs to."""

    id: str


class Delta(msgspec.Struct):
    """Text that one event appends."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Entry of an event's ``choices``."""

    delta: Delta = msgspec.field(default_factory=Delta)


class EventText(msgspec.Struct):
    """Choices of an event, which hold its text."""

    choices: list[Choice] = []


_decode_id = msgspec.json.Decoder(EventId).decode
_decode_text = msgspec.json.Decoder(EventText).decode


class EventScanner:
    """Splits received bytes into complete server-sent events and validates their id.

    Every data event must have an id that starts with ``chatcmpl-<request id>``. The first event is
    decoded. Later events are compared byte by byte with the beginning, up to the id, of the last
    decoded event, and are decoded only if they differ.

    :param request_id: request id that the events must name.
    :ivar position_: number of data events returned so far.
    :ivar ended_: whether the end marker was received.
    :raises StreamError: from :meth:`push`.

    >>> scanner = EventScanner("7")
    >>> scanner.push(b'data: {"id":"chatcmpl-7"}\\n\\ndata: {"id"')
    b'data: {"id":"chatcmpl-7"}\\n\\n'
    >>> scanner.position_
    1
    """

    __slots__ = ("request_id", "position_", "ended_", "_partial_event", "_verified_prefix")

    def __init__(self, request_id):
        self.request_id = request_id
        self.position_ = 0
        self.ended_ = False
        self._partial_event = b""
        self._verified_prefix = None

    def restart(self):
        """Discard the incomplete event before bytes of a new connection are pushed."""
        self._partial_event = b""

    def push(self, data):
        """Add received bytes and return the events that they complete.

        :param data: received bytes.
        :returns: the complete events as ``bytes``; empty if there is none.
        :raises StreamError: if an event is malformed, too large, follows the end marker, or names
            another completion. A later push whose events all start with the verified prefix is not
            checked for the end marker.
        """
        if self._partial_event:
            data = self._partial_event + data
        end = data.rfind(BOUNDARY) + len(BOUNDARY)
        if end < len(BOUNDARY):
            self._buffer_partial_event(data)
            return b""
        events = data
        self._partial_event = b""
        if end < len(data):
            events = data[:end]
            self._buffer_partial_event(data[end:])
        count = events.count(BOUNDARY)
        prefix = self._verified_prefix
        if prefix and events.startswith(prefix) and events.count(prefix) == count:
            self.position_ += count
            return events
        return self._check_each(events)

    def _buffer_partial_event(self, tail):
        if len(tail) > MAX_EVENT_BYTES:
            raise StreamError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        self._partial_event = tail

    def _check_each(self, events):
        count = 0
        ended = self.ended_
        for part in events.split(BOUNDARY)[:-1]:
            event = part + BOUNDARY
            if ended:
                raise StreamError("data received after the end marker")
            if event == END_MARKER:
                ended = True
            elif not event.startswith(COMMENT_PREFIX):
                self._check_id(event)
                count += 1
        self.position_ += count
        self.ended_ = ended
        return events

    def _check_id(self, event):
        if self._verified_prefix and event.startswith(self._verified_prefix):
            return
        expected = ID_PREFIX + self.request_id
        try:
            found = _decode_id(event.removeprefix(DATA_PREFIX)).id
        except msgspec.MsgspecError as error:
            raise StreamError(f"malformed event: {error}") from error
        if not found.startswith(expected):
            raise StreamError("event belongs to another completion")
        prefix_end = event.find(expected.encode()) + len(expected)
        self._verified_prefix = event[:prefix_end]


def extract_text(events):
    """Return the concatenated text of complete events.

    Events are decoded only when a stream is resumed on another engine.

    :param events: bytes of complete events.
    :raises msgspec.MsgspecError: if an event is malformed.
    """
    texts = []
    for part in events.split(BOUNDARY):
        if not part.startswith(DATA_PREFIX) or part + BOUNDARY == END_MARKER:
            continue
        for choice in _decode_text(part[len(DATA_PREFIX) :]).choices:
            texts.append(choice.delta.content or "")
    return "".join(texts)
