"""Connections to upstreams: one exchange at a time, reused only after a finished one."""

import socket
from collections import deque

from gevent import get_hub
from gevent import socket as gsocket
from geventhttpclient.response import HTTPResponse

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval

__all__ = ["Connection", "ConnectionPools"]

MS_PER_S = 1_000
RECEIVE_BYTES = 16_384
READABLE = 1


class UpstreamResponse(HTTPResponse):
    """The parser of one response; it keeps the parts of the body apart until they are taken."""

    def __init__(self, method):
        super().__init__(method)
        self.parts = []
        self._on_body = self.parts.append
        if method != "HEAD":
            self.feed = super(HTTPResponse, self).feed


class Connection:
    """One TCP connection to an upstream.

    :param sock: the connected gevent socket.
    :param address: ``(host, port)``.

    Attributes: ``idle_deadline``, monotonic seconds after which it is not reused; ``readable``,
    the loop's watcher of the socket; ``response``, the parser of the exchange that is under way,
    or ``None``.
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
        """Send a request and expect one response.

        :returns: the :class:`UpstreamResponse`.
        :raises OSError: if the connection broke; the request may have arrived.
        """
        assert self.response is None, "connection has an unfinished exchange"
        self.response = UpstreamResponse(method)
        self.sock.sendall(data)
        return self.response

    def receive(self):
        """Wait, receive once and feed the parser.

        Waiting comes first, without a try: between two events there is hardly ever anything yet.

        :returns: how many bytes came; 0 if the upstream closed.
        :raises OSError: if the connection broke.
        :raises geventhttpclient.response.HTTPParseError: if it is not HTTP.
        """
        while True:
            gsocket.wait(self.readable)
            try:
                return self.receive_now()
            except BlockingIOError:
                continue

    def receive_now(self):
        """Receive without waiting; see :meth:`receive`.

        :raises BlockingIOError: if there is nothing to receive.
        """
        data = self._raw.recv(RECEIVE_BYTES)
        self.response.feed(data)
        return len(data)

    def take_body(self):
        """Return the received part of the body, ``bytes``."""
        parts = self.response.parts
        data = bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
        parts.clear()
        return data

    def count_buffered(self):
        """Return how many bytes of the body were received and not taken."""
        return sum(map(len, self.response.parts))

    def is_reusable(self):
        """Return whether the exchange is finished and the upstream keeps the connection open."""
        return self.response is not None and not self.response.should_close()

    def is_quiet(self):
        """Return whether an idle connection is open and has nothing to read."""
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
    """Idle connections by upstream address.

    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param connect_ms: how long opening a connection may take.
    :param idle_ms: how long an idle connection may be reused.
    :param max_idle: idle connections kept for each upstream.
    :raises ParameterError: from :meth:`validate_parameters`.
    """

    _parameter_constraints = {
        "connect_ms": Interval(int, 1, 60_000),
        "idle_ms": Interval(int, 0, 600_000),
        "max_idle": Interval(int, 0, 10_000),
    }

    def __init__(self, clock, connect_ms=1_000, idle_ms=15_000, max_idle=64):
        self.clock = clock
        self.connect_ms = connect_ms
        self.idle_ms = idle_ms
        self.max_idle = max_idle
        self.idle_ = {}

    def open(self, address, deadline):
        """Open a new connection.

        :param address: ``(host, port)``, host an IP number.
        :param deadline: monotonic seconds.
        :raises OSError: if it can't be opened; nothing was sent.
        """
        left = deadline - self.clock.monotonic()
        if left <= 0:
            raise TimeoutError("deadline passed before the connection was opened")
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = gsocket.socket(family, socket.SOCK_STREAM)
        try:
            sock.settimeout(min(self.connect_ms / MS_PER_S, left))
            sock.connect(address)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            sock.close()
            raise
        return Connection(sock, address)

    def take(self, address, deadline):
        """Return an idle connection that is still open, else a new one.

        :raises OSError: if none can be opened; nothing was sent.
        """
        idle = self.idle_.get(address)
        now = self.clock.monotonic()
        while idle:
            connection = idle.pop()
            if connection.idle_deadline > now and connection.is_quiet():
                return connection
            connection.close()
        return self.open(address, deadline)

    def put_back(self, connection):
        """Keep a connection whose exchange is finished, or close it."""
        idle = self.idle_.setdefault(connection.address, deque())
        if not connection.is_reusable() or len(idle) >= self.max_idle:
            connection.close()
            return
        connection.response = None
        connection.idle_deadline = self.clock.monotonic() + self.idle_ms / MS_PER_S
        idle.append(connection)

    def close_expired(self):
        """Close idle connections past their deadline."""
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
