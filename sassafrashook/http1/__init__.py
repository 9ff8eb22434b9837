"""HTTP/1.1 server and upstream connections on gevent sockets, parsed strictly by h11."""

from sassafrashook.http1._messages import (
    HOP_BY_HOP_HEADERS,
    Headers,
    InvalidRequestError,
    MemoryLimitError,
    RequestHead,
    ResponseHead,
    UpstreamResponseError,
    remove_hop_by_hop_headers,
)
from sassafrashook.http1._pool import ConnectionPool
from sassafrashook.http1._server import ClientDisconnectedError, ServerConnection
from sassafrashook.http1._upstream import UpstreamConnection

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "ClientDisconnectedError",
    "ConnectionPool",
    "Headers",
    "InvalidRequestError",
    "MemoryLimitError",
    "UpstreamResponseError",
    "RequestHead",
    "ResponseHead",
    "ServerConnection",
    "UpstreamConnection",
    "remove_hop_by_hop_headers",
]
