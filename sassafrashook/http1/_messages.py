"""Request and response heads, header fields and the removal of hop-by-hop headers."""

import re
from dataclasses import dataclass

BLANK_LINE = re.compile(rb"\n\r?\n")  # ends a head or the trailers, as h11 takes it
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
STATUS_UNAVAILABLE = 503


class InvalidRequestError(Exception):
    """Raised when a client's request is malformed, too large or incomplete at its deadline.

    :param status: status code to respond with.
    :param reason: description of the error, sent to the client.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class MemoryLimitError(InvalidRequestError):
    """Raised when the memory for clients is used up before the request has been read."""

    def __init__(self, reason):
        super().__init__(STATUS_UNAVAILABLE, reason)


class UpstreamResponseError(OSError):
    """Raised when no complete and valid response can be read from an upstream."""


class Headers:
    """Header fields in the order received, with case-insensitive lookup by name.

    :param fields: list of (name, value) pairs of ``bytes``; names keep their original case.

    >>> Headers([(b"Host", b"a"), (b"X-Id", b"7")]).get(b"x-id")
    '7'
    """

    __slots__ = ("fields", "_value_by_name")

    def __init__(self, fields):
        self.fields = fields
        self._value_by_name = {}
        for name, value in fields:
            self._value_by_name.setdefault(name.lower(), value)

    def get(self, name, default=None):
        """Return the first value of a header, decoded as Latin-1.

        :param name: header name in lower case, ``bytes``.
        :param default: returned if the header is absent.
        """
        value = self._value_by_name.get(name)
        return default if value is None else value.decode("latin-1")

    def __contains__(self, name):
        return name in self._value_by_name


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The request line and headers of a client's request.

    :param method: request method, ``bytes``.
    :param target: path and query as received, ``bytes``.
    :param headers: the :class:`Headers`.
    :param path: the target without its query.
    :param host: the Host header, normalized by :func:`~sassafrashook.utils.normalize_host`.
    """

    method: bytes
    target: bytes
    headers: Headers
    path: str
    host: str


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The status code and headers of an upstream's response."""

    status: int
    headers: Headers

    @property
    def is_close_delimited(self):
        """Whether only the end of the connection ends the body."""
        return not (b"content-length" in self.headers or b"transfer-encoding" in self.headers)


def remove_hop_by_hop_headers(headers, extra_names=frozenset()):
    """Return the header fields that may be forwarded.

    Leaves out the hop-by-hop headers and every header that the Connection header names.

    :param headers: a :class:`Headers`.
    :param extra_names: names of further headers to leave out, lower-case ``bytes``.
    :returns: list of (name, value) pairs of ``bytes``.
    """
    connection = headers.get(b"connection", "").lower().encode("latin-1")
    connection_options = {name.strip() for name in connection.split(b",")}
    excluded = HOP_BY_HOP_HEADERS | connection_options | extra_names
    return [(name, value) for name, value in headers.fields if name.lower() not in excluded]
