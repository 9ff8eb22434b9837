"""Pooled HTTP/1.1 connections to upstreams, reused only after a completed exchange."""

import socket
from collections import deque

from gevent import get_hub
from gevent import socket as gsocket
from geventhttpclient.response import HTTPParseError, HTTPProtocolViolationError, HTTPResponse

from sassafrashook.base import Parametrized
from sassafrashook.outcomes import is_informational_status
from sassafrashook.utils import Interval

__all__ = ["Connection", "ConnectionPools"]

MS_PER_S = 1_000
RECEIVE_BYTES = 16_384
READABLE = 1
MAX_FIELD_BYTES = 65_536  # of all heads and trailers of a response


class UpstreamResponse(HTTPResponse):
    """Parser of one response that stores body chunks in a list until they are taken.

    Chunks are appended by the parser itself, and ``feed`` is the base parser's method, which saves
    Python calls per received chunk.

    The base class would parse bytes behind the response as another one, and put its status and
    body in the place of the first. Here they fail the parser, and leave the response as it is. The
    base class also ignores errors of the parser behind any head in response to ``HEAD``, even if
    that head was informational and the final one is damaged. Here ``feed`` raises them.

    :ivar field_bytes_: size of the names and values of all fields so far.
    """

    def __init__(self, method):
        super().__init__(method)
        self.field_bytes_ = 0
        self.parts = []
        self._on_body = self.parts.append
        self.feed = super(HTTPResponse, self).feed

    def _on_message_begin(self):
        if self.is_final_complete_:
            raise HTTPProtocolViolationError("bytes follow the response")
        super()._on_message_begin()

    def _on_header_field(self, string):
        self._count_field_bytes(string)
        super()._on_header_field(string)

    def _on_header_value(self, string):
        self._count_field_bytes(string)
        super()._on_header_value(string)

    def _count_field_bytes(self, string):
        self.field_bytes_ += len(string)
        if self.field_bytes_ > MAX_FIELD_BYTES:
            raise HTTPProtocolViolationError("the header fields are too large")

    @property
    def is_final_complete_(self):
        """Whether the final response is complete."""
        return self.message_complete and not is_informational_status(self.status_code)


class Connection:
    """One TCP connection to an upstream.

    :param sock: the connected gevent socket.
    :param address: ``(host, port)``.
    :ivar idle_deadline: monotonic seconds after which the idle connection is not reused.
    :ivar readable: event loop watcher of the socket's readability.
    :ivar response: :class:`UpstreamResponse` of the current exchange, or ``None``.
    """

    __slots__ = ("sock", "address", "idle_deadline", "response", "readable", "_raw")

    def __init__(self, sock, address):
        self.sock = sock
        self.address = address
        self._raw = sock._sock
        self.readable = get_hub().loop.io(sock.fileno(), READABLE)
        self.idle_deadline = 0.0
        self.response = None

    def begin(self, method, data):
        """Send a request and start parsing its response.

        :param method: HTTP method.
        :param data: encoded request.
        :returns: the :class:`UpstreamResponse`.
        :raises OSError: if the connection fails; the request may have arrived.
        """
        assert self.response is None, "connection has an unfinished exchange"
        self.response = UpstreamResponse(method)
        self.sock.sendall(data)
        return self.response

    def receive(self):
        """Wait until the socket is readable, receive once and feed the parser.

        It waits without trying to receive first, because data is rarely available between events.

        :returns: number of received bytes; 0 if the upstream closed the connection.
        :raises OSError: if the connection fails.
        :raises geventhttpclient.response.HTTPParseError: if the data is not valid HTTP.
        """
        while True:
            gsocket.wait(self.readable)
            try:
                return self.receive_now()
            except BlockingIOError:
                continue

    def receive_now(self):
        """Receive once without waiting; see :meth:`receive`.

        :raises BlockingIOError: if no data is available.
        """
        data = self._raw.recv(RECEIVE_BYTES)
        try:
            self.response.feed(data)
        except HTTPParseError:
            # Callers decide what the end of the connection means.
            if data and not self.response.is_final_complete_:
                raise
        return len(data)

    def take_body(self):
        """Return and remove the buffered part of the body, ``bytes``."""
        parts = self.response.parts
        data = bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
        parts.clear()
        return data

    def count_buffered_bytes(self):
        """Return the number of buffered bytes of the body."""
        return sum(map(len, self.response.parts))

    def is_reusable(self):
        """Return whether the exchange is complete and the connection is kept alive."""
        return self.response is not None and not self.response.should_close()

    def is_idle_and_open(self):
        """Return whether an idle connection is open and has no unread data."""
        try:
            self._raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self):
        """Close the socket."""
        self.readable.stop()
        self.readable.close()
        self.sock.close()


class ConnectionPools(Parametrized):
    """Pools of idle connections by upstream address.

    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param connect_timeout_ms: maximum milliseconds to open a connection.
    :param idle_timeout_ms: maximum milliseconds that a connection may be idle before reuse.
    :param max_idle_connections: maximum number of idle connections per upstream.
    :ivar idle_: mapping from address to a deque of idle connections, oldest first.
    :raises ParameterError: from :meth:`validate_parameters`.
    """

    _parameter_constraints = {
        "connect_timeout_ms": Interval(int, 1, 60_000),
        "idle_timeout_ms": Interval(int, 0, 600_000),
        "max_idle_connections": Interval(int, 0, 10_000),
    }

    def __init__(
        self, clock, connect_timeout_ms=1_000, idle_timeout_ms=15_000, max_idle_connections=64
    ):
        self.clock = clock
        self.connect_timeout_ms = connect_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.max_idle_connections = max_idle_connections
        self.idle_ = {}

    def open(self, address, deadline):
        """Open a new connection.

        :param address: ``(host, port)``, host an IP address.
        :param deadline: monotonic seconds.
        :raises OSError: if it cannot be opened; no request was sent.
        """
        remaining_s = deadline - self.clock.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the deadline passed before the connection was opened")
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = gsocket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(min(self.connect_timeout_ms / MS_PER_S, remaining_s))
            sock.connect(address)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            sock.close()
            raise
        return Connection(sock, address)

    def acquire(self, address, deadline):
        """Return the most recently used idle connection that is still open, else a new one.

        :param address: ``(host, port)``, host an IP address.
        :param deadline: monotonic seconds.
        :raises OSError: if none can be opened; no request was sent.
        """
        idle = self.idle_.get(address)
        now = self.clock.monotonic()
        while idle:
            connection = idle.pop()
            if connection.idle_deadline > now and connection.is_idle_and_open():
                return connection
            connection.close()
        return self.open(address, deadline)

    def release(self, connection):
        """Store a connection for reuse if its exchange is complete, else close it."""
        idle = self.idle_.setdefault(connection.address, deque())
        if not connection.is_reusable() or len(idle) >= self.max_idle_connections:
            connection.close()
            return
        connection.response = None
        connection.idle_deadline = self.clock.monotonic() + self.idle_timeout_ms / MS_PER_S
        idle.append(connection)

    def close_expired(self):
        """Close the idle connections that are past their deadline."""
        now = self.clock.monotonic()
        for address, idle in tuple(self.idle_.items()):
            while idle and idle[0].idle_deadline <= now:
                idle.popleft().close()
            if not idle:
                del self.idle_[address]

    def close(self):
        """Close all idle connections."""
        for idle in self.idle_.values():
            while idle:
                idle.pop().close()
        self.idle_.clear()
