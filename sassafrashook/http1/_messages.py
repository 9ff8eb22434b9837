"""Heads of requests and responses, and the headers that concern one connection only."""

from dataclasses import dataclass

HOP_BY_HOP = frozenset(
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


class HttpError(Exception):
    """A client's request can't be read.

    :param status: status code of the answer.
    """

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class IncompleteError(OSError):
    """An upstream's response is not HTTP, or ended before it was complete."""


class Headers:
    """Header fields in their order; names compare without case.

    :param fields: list of (name, value) pairs, ``bytes``, names as they were spelled.

    >>> Headers([(b"Host", b"a"), (b"X-Id", b"7")]).get(b"x-id")
    '7'
    """

    __slots__ = ("fields", "_by_name")

    def __init__(self, fields):
        self.fields = fields
        self._by_name = {}
        for name, value in fields:
            self._by_name.setdefault(name.lower(), value)

    def get(self, name, default=None):
        """Return the first value of a header as text.

        :param name: its name in lower case, ``bytes``.
        """
        value = self._by_name.get(name)
        return default if value is None else value.decode("latin-1")

    def __contains__(self, name):
        return name in self._by_name


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The head of a client's request.

    :param target: path and query, as sent.
    :param path: the target without its query.
    :param host: the Host header in lower case, without a port.
    """

    method: bytes
    target: bytes
    headers: Headers
    path: str
    host: str


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The head of an upstream's response."""

    status: int
    headers: Headers


def drop_hop_by_hop(headers, also=frozenset()):
    """Return the fields that may be forwarded.

    :param headers: a :class:`Headers`.
    :param also: further names to leave out, lower case ``bytes``.
    """
    named = headers.get(b"connection", "").lower().encode("latin-1")
    listed = {name.strip() for name in named.split(b",")}
    dropped = HOP_BY_HOP | listed | also
    return [(name, value) for name, value in headers.fields if name.lower() not in dropped]
