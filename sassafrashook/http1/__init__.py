"""HTTP/1.1 connections on gevent sockets, parsed strictly by a sans-I/O library."""

from sassafrashook.http1._messages import (
    HOP_BY_HOP,
    Headers,
    HttpError,
    IncompleteError,
    RequestHead,
    ResponseHead,
    drop_hop_by_hop,
)
from sassafrashook.http1._pool import ConnectionPool
from sassafrashook.http1._server import ClientGoneError, ServerConnection
from sassafrashook.http1._upstream import UpstreamConnection

__all__ = [
    "HOP_BY_HOP",
    "ClientGoneError",
    "ConnectionPool",
    "Headers",
    "HttpError",
    "IncompleteError",
    "RequestHead",
    "ResponseHead",
    "ServerConnection",
    "UpstreamConnection",
    "drop_hop_by_hop",
]
