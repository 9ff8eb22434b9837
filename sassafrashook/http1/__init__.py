"""HTTP/1.1 server and upstream connections on gevent sockets, parsed strictly by h11."""

from sassafrashook.http1._connection_handler import (
    ConnectionHandler,
    RequestTimeouts,
    choose_retry_after_s,
)
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
from sassafrashook.utils import make_lazy_getattr

__all__ = [
    "CLOSE_CONNECTION",
    "HOP_BY_HOP_HEADERS",
    "ApplicationHandler",
    "ClientDisconnectedError",
    "ConnectionHandler",
    "ConnectionPool",
    "Headers",
    "InvalidRequestError",
    "MemoryLimitError",
    "UpstreamResponseError",
    "RequestHead",
    "RequestTimeouts",
    "ResponseHead",
    "ServerConnection",
    "UpstreamConnection",
    "choose_retry_after_s",
    "read_request_body",
    "remove_hop_by_hop_headers",
]

# A router of the fleet that routes by host and path serves no applications.
__getattr__ = make_lazy_getattr(
    __name__,
    {"_application_handler": ("CLOSE_CONNECTION", "ApplicationHandler", "read_request_body")},
)
