"""Finds event boundaries in a stream without decoding each event."""

import msgspec

__all__ = ["EventScanner", "StreamError", "read_text"]

BOUNDARY = b"\n\n"
DATA_PREFIX = b"data: "
END_MARKER = b"data: [DONE]\n\n"
COMMENT_PREFIX = b":"
ID_PREFIX = "chatcmpl-"
MAX_EVENT_BYTES = 1_048_576


class StreamError(Exception):
    """The bytes are not the next events of this answer."""


class EventId(msgspec.Struct):
    """The part of an event that names the answer it belongs to."""

    id: str


class Delta(msgspec.Struct):
    """What one event adds."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of an event."""

    delta: Delta = msgspec.field(default_factory=Delta)


class EventText(msgspec.Struct):
    """The part of an event that carries text."""

    choices: list[Choice] = []


_decode_id = msgspec.json.Decoder(EventId).decode
_decode_text = msgspec.json.Decoder(EventText).decode


class EventScanner:
    """Cuts a stream of server-sent events at event boundaries.

    Every data event must carry ``"id": "chatcmpl-<request id>..."``. The first is decoded; of the
    others only the bytes up to the id are compared.

    :param request_id: id that the events must carry.

    Attributes: ``position_``, count of data events passed on; ``ended_``, whether the end marker
    was seen.

    :raises StreamError: from :meth:`push`.

    >>> scanner = EventScanner("7")
    >>> scanner.push(b'data: {"id":"chatcmpl-7"}\\n\\ndata: {"id"')
    b'data: {"id":"chatcmpl-7"}\\n\\n'
    >>> scanner.position_
    1
    """

    __slots__ = ("request_id", "position_", "ended_", "_tail", "_prefix")

    def __init__(self, request_id):
        self.request_id = request_id
        self.position_ = 0
        self.ended_ = False
        self._tail = b""
        self._prefix = None

    def restart(self):
        """Drop the unfinished event: the next bytes come from a new connection."""
        self._tail = b""

    def push(self, data):
        """Take received bytes.

        :returns: the whole events among them, ``bytes``; maybe empty.
        :raises StreamError: if an event is not of this answer.
        """
        if self._tail:
            data = self._tail + data
        end = data.rfind(BOUNDARY) + len(BOUNDARY)
        if end < len(BOUNDARY):
            self._keep_tail(data)
            return b""
        events = data
        self._tail = b""
        if end < len(data):
            events = data[:end]
            self._keep_tail(data[end:])
        count = events.count(BOUNDARY)
        prefix = self._prefix
        if prefix and events.startswith(prefix) and events.count(prefix) == count:
            self.position_ += count
            return events
        return self._check_each(events)

    def _keep_tail(self, tail):
        if len(tail) > MAX_EVENT_BYTES:
            raise StreamError("event too large")
        self._tail = tail

    def _check_each(self, events):
        count = 0
        ended = self.ended_
        for part in events.split(BOUNDARY)[:-1]:
            event = part + BOUNDARY
            if ended:
                raise StreamError("bytes after the end marker")
            if event == END_MARKER:
                ended = True
            elif not event.startswith(COMMENT_PREFIX):
                self._check_id(event)
                count += 1
        self.position_ += count
        self.ended_ = ended
        return events

    def _check_id(self, event):
        if self._prefix and event.startswith(self._prefix):
            return
        expected = ID_PREFIX + self.request_id
        try:
            found = _decode_id(event.removeprefix(DATA_PREFIX)).id
        except msgspec.MsgspecError as error:
            raise StreamError(f"not an event: {error}") from error
        if not found.startswith(expected):
            raise StreamError("event of another answer")
        cut = event.find(expected.encode()) + len(expected)
        self._prefix = event[:cut]


def read_text(events):
    """Return the text that whole events carried, decoded only when a stream is resumed elsewhere.

    :param events: bytes of whole events.
    """
    texts = []
    for part in events.split(BOUNDARY):
        if not part.startswith(DATA_PREFIX) or part + BOUNDARY == END_MARKER:
            continue
        for choice in _decode_text(part[len(DATA_PREFIX) :]).choices:
            texts.append(choice.delta.content or "")
    return "".join(texts)
