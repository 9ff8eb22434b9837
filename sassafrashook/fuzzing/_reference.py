"""Reference reader of responses, from RFC 9110 and RFC 9112, with the whole stream at hand.

It shares no code with the readers of the routers and doesn't need to be fast.
"""

import re
from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.fuzzing._streams import StreamEnd

__all__ = ["Reading", "Wholeness", "read_response"]

STATUS_LINE = re.compile(rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})( .*)?", re.DOTALL)
FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*(.*)", re.DOTALL)
STRICT_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
DECIMAL = re.compile(rb"[0-9]{1,18}")
CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,16})(?:;[a-z]+(?:=(?:[a-z]+|"[a-z]*"))?)*')
LENIENT_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)([ \t]*|[ \t]*;[^\n]*)")
BLANK_LINE = re.compile(rb"(?:^|\n)\r?\n")
CRLF = b"\r\n"
MAX_HEAD_BYTES = 65_536
MAX_INFORMATIONAL_RESPONSES = 16
SWITCHING_PROTOCOLS = 101


class Wholeness(StrEnum):
    """What a reader may make of a stream.

    :cvar WHOLE: it must be passed on as it is.
    :cvar DAMAGED: it must not be passed on as whole.
    :cvar EITHER: the RFCs leave it to the reader whether it is accepted.
    """

    WHOLE = "whole"
    DAMAGED = "damaged"
    EITHER = "either"


@dataclass(slots=True, frozen=True)
class Reading:
    """What a stream holds.

    :param wholeness: a :class:`Wholeness`.
    :param reason: why it isn't whole.
    :param status: status of the final response, ``None`` if it is damaged or not defined.
    :param body: its body, ``None`` if it is damaged or not defined.
    :param size: number of bytes of the stream up to the end of the response.
    :param is_delimited: whether the response states where it ends.
    :param fields: pairs of names in lower case and values, with trailing blanks, of its head.
    """

    wholeness: Wholeness
    reason: str = ""
    status: int | None = None
    body: bytes | None = None
    size: int | None = None
    is_delimited: bool = True
    fields: tuple = ()


class DamagedError(Exception):
    """Raised when a stream holds no whole response."""


class UndefinedError(Exception):
    """Raised when the RFCs don't define what a stream holds."""


class _Cursor:
    """Position in a stream, and how it deviates up to there from what a sender may send."""

    __slots__ = ("data", "position", "deviations")

    def __init__(self, data):
        self.data = data
        self.position = 0
        self.deviations = []

    def take(self, size):
        part = self.data[self.position : self.position + size]
        if len(part) < size:
            raise DamagedError("the stream ends early")
        self.position += size
        return part

    def take_line(self):
        """Take a line that must end with CR LF."""
        end = self.data.find(CRLF, self.position)
        if end < 0:
            raise DamagedError("the stream ends within a line")
        return self.take(end + len(CRLF) - self.position)[: -len(CRLF)]

    def take_lines(self, is_head):
        """Take the lines up to a blank one; they may end with LF alone.

        :param is_head: whether they are a head rather than trailers, which may be empty.
        """
        match = BLANK_LINE.search(self.data[self.position :])
        if match is None:
            raise DamagedError("the stream ends within the head or the trailers")
        part = self.take(match.end())
        lines = part.split(b"\n")[:-2]
        if not all(line.endswith(b"\r") for line in part.split(b"\n")[:-1]):
            self.deviations.append("a line ends with LF")
        if is_head and part.startswith((b"\r", b"\n")):
            raise UndefinedError("a line end before the head")
        if len(part) > MAX_HEAD_BYTES:
            self.deviations.append("a large head")
        return [line.removesuffix(b"\r") for line in lines]


def read_response(stream):
    """Read the response to one request.

    :param stream: a :class:`ResponseStream`.
    :returns: a :class:`Reading`.
    """
    cursor = _Cursor(stream.data)
    try:
        version, status, fields = _read_heads(cursor)
        body, is_delimited = _read_body(cursor, stream, version, status, fields)
    except DamagedError as error:
        return Reading(Wholeness.DAMAGED, str(error))
    except UndefinedError as error:
        return Reading(Wholeness.EITHER, str(error))
    wholeness = Wholeness.EITHER if cursor.deviations else Wholeness.WHOLE
    reason = ", ".join(cursor.deviations)
    return Reading(wholeness, reason, status, body, cursor.position, is_delimited, tuple(fields))


def _read_heads(cursor):
    """Read the heads up to the final one.

    :returns: version, status, and pairs of names in lower case and values.
    """
    for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
        status_line, *lines = cursor.take_lines(is_head=True)
        match = STATUS_LINE.fullmatch(status_line)
        if match is None:
            raise DamagedError("the status line is malformed")
        if match[1] not in (b"1.0", b"1.1"):
            cursor.deviations.append("another version")
        if match[3] is None:
            cursor.deviations.append("no blank after the status")
        elif not STRICT_VALUE.fullmatch(match[3]):
            cursor.deviations.append("a control byte in the reason, which clients should ignore")
        status = int(match[2])
        fields = _read_fields(cursor, lines)
        if not 100 <= status <= 599:
            raise DamagedError("the status is not defined")
        if status == SWITCHING_PROTOCOLS:
            raise UndefinedError("the upstream switches protocols unasked")
        if status >= 200:
            return match[1], status, fields
        if _list_values(fields, b"content-length") or _list_values(fields, b"transfer-encoding"):
            raise UndefinedError("an informational response states a length")
    raise UndefinedError("many informational responses")


def _read_fields(cursor, lines):
    fields = []
    for line in lines:
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise DamagedError("a field line is malformed")
        name, value = match.groups()
        if b"\0" in value or b"\r" in value:
            raise DamagedError("a field holds NUL or CR")
        if not STRICT_VALUE.fullmatch(value):
            cursor.deviations.append("a field holds a control byte")
        fields.append((name.lower(), value))
    return fields


def _list_values(fields, name):
    """Return the elements of all fields with a name, in lower case."""
    values = [value for key, value in fields if key == name]
    return [element.strip(b" \t").lower() for value in values for element in value.split(b",")]


def _read_body(cursor, stream, version, status, fields):
    """Read the body of the final response.

    :returns: the body, and whether the response states where it ends.
    """
    lengths = _list_values(fields, b"content-length")
    codings = _list_values(fields, b"transfer-encoding")
    if stream.method == "HEAD" or status in (204, 304):
        if codings or not all(DECIMAL.fullmatch(length) for length in lengths):
            raise UndefinedError("the framing of a response without a body")
        if lengths and (status == 204 or len(lengths) > 1):
            cursor.deviations.append("the length of a response without a body")
        return b"", True
    if codings:
        if codings != [b"chunked"]:
            raise DamagedError("the transfer coding is unknown")
        if version == b"1.0" or lengths:
            cursor.deviations.append("chunked in HTTP/1.0 or beside a length")
        return _read_chunks(cursor), True
    if lengths:
        if not all(DECIMAL.fullmatch(length) for length in lengths):
            raise DamagedError("the length is malformed")
        if len({int(length) for length in lengths}) > 1:
            raise DamagedError("the lengths differ")
        if len(lengths) > 1:
            cursor.deviations.append("a repeated length")
        return cursor.take(int(lengths[0])), True
    if stream.end is not StreamEnd.CLOSED:
        raise DamagedError("the end of the connection isn't the end of the response")
    return cursor.take(len(cursor.data) - cursor.position), False


def _read_chunks(cursor):
    parts = []
    while True:
        line = cursor.take_line()
        match = CHUNK_LINE.fullmatch(line)
        if match is None:
            match = LENIENT_CHUNK_LINE.fullmatch(line)
            if match is None:
                raise DamagedError("the line of a chunk is malformed")
            cursor.deviations.append("the line of a chunk")
        if len(line) > MAX_HEAD_BYTES:
            cursor.deviations.append("a large line of a chunk")
        size = int(match[1], 16)
        if size == 0:
            _read_trailers(cursor)
            return b"".join(parts)
        parts.append(cursor.take(size))
        if cursor.take(len(CRLF)) != CRLF:
            raise DamagedError("a chunk is longer than it states")


def _read_trailers(cursor):
    """Check the trailers, which are not passed on: folded lines in them are harmless."""
    lines = cursor.take_lines(is_head=False)
    if any(line.startswith((b" ", b"\t")) for line in lines):
        raise UndefinedError("a folded trailer")
    names = {name for name, _ in _read_fields(cursor, lines)}
    if names & {b"content-length", b"transfer-encoding"}:
        cursor.deviations.append("a trailer that states the framing")
