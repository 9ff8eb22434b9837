"""HTTP server of a router with graceful shutdown."""

import math
import socket

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from sassafrashook.base import Parametrized
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy._chats import ChatRelay
from sassafrashook.proxy._errors import encode_error
from sassafrashook.proxy._monitor import SocketWatch
from sassafrashook.proxy._request_body import CLOSE_WITH_UNREAD_BODY
from sassafrashook.proxy._resources import CALLER_SOCKET
from sassafrashook.utils import Interval

__all__ = ["CallerServer"]

MS_PER_S = 1_000
POLL_INTERVAL_S = 0.02
LINGER_TIMEOUT_S = 1.0
BAD_REQUEST_HEAD = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
MAX_LINGER_BYTES = 1_048_576


class CallerHandler(WSGIHandler):
    """Handles one connection of a caller.

    :ivar busy: whether a request is being received or served.
    :ivar watch: :class:`~sassafrashook.proxy._monitor.SocketWatch` of the caller's socket.
    :ivar write_buffer: list that collects writes while events are encoded, or ``None``.
    """

    write_buffer = None

    def handle(self):
        """Serve requests until the connection is closed."""
        self.server.handlers_.add(self)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.busy = False
        self.watch = SocketWatch(self.socket)
        self._start_idle_timeout()
        context = self.server.context
        context.monitor_.add(self.watch)
        try:
            super().handle()
        finally:
            context.monitor_.remove(self.watch)
            self.server.handlers_.discard(self)

    def _start_idle_timeout(self):
        clock = self.server.context.clock
        self.watch.caller_deadline = clock.monotonic() + self.server.idle_timeout_s

    def handle_one_response(self):
        """Serve one request, and close the connection if its body was not read."""
        self.watch.caller_deadline = math.inf
        try:
            super().handle_one_response()
        finally:
            self.busy = False
            self._start_idle_timeout()
        if self.environ.get(CLOSE_WITH_UNREAD_BODY):
            self._close_lingering()

    def read_request(self, raw_requestline):
        """Parse a request line and read the headers."""
        self.busy = True
        return super().read_request(raw_requestline)

    def _close_lingering(self):
        self.close_connection = True
        received = 0
        with gevent.Timeout(LINGER_TIMEOUT_S, False):
            try:
                self.socket.shutdown(socket.SHUT_WR)
                while received < MAX_LINGER_BYTES:
                    data = self.socket.recv(65_536)
                    received += len(data)
                    if not data:
                        return
            except OSError:
                return

    def get_environ(self):
        """Return the WSGI environment with the caller's socket and the undecoded path."""
        environ = super().get_environ()
        environ[CALLER_SOCKET] = self.socket
        environ["RAW_URI"] = self.path
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Start the response; close the connection if the server stops or the body was not read."""
        if self.server.draining_ or self.environ.get(CLOSE_WITH_UNREAD_BODY):
            headers = [*headers, ("Connection", "close")]
        if self.environ.get(CLOSE_WITH_UNREAD_BODY):
            # gevent would otherwise read the rest of the body before the next request.
            self.wsgi_input._chunked_input_error = True
        return super().start_response(status, headers, exc_info)

    def process_result(self):
        """Send the response; a streamed chat bypasses the WSGI write path."""
        if isinstance(self.result, ChatRelay) and self.request_version != "HTTP/1.0":
            self._relay_stream()
        else:
            super().process_result()

    def _relay_stream(self):
        relay = self.result
        send = self.socket._sock.send
        for events in relay:
            self.write_buffer = []
            self.write(events)
            data = b"".join(self.write_buffer)
            self.write_buffer = None
            self._sendall(data)
            unsent = relay.forward_events(send)
            if unsent:
                self._sendall(unsent)
        self._sendall(b"0\r\n\r\n")

    def _sendall(self, data):
        """Send data, which the caller must accept within the write timeout."""
        if self.write_buffer is not None:
            self.write_buffer.append(data)
            return
        self.watch.caller_deadline = (
            self.server.context.clock.monotonic() + self.server.write_timeout_s
        )
        try:
            super()._sendall(data)
        finally:
            self.watch.caller_deadline = math.inf

    def log_request(self):
        """Write no access log."""

    def _handle_client_error(self, ex):
        """Return a JSON error response to a malformed HTTP request."""
        self.server.context.count("bad_input", "http")
        detail = "malformed HTTP request"
        body = encode_error(Refusal(Verdict.NOT_RUN, RefusalReason.BAD_REQUEST, 0, detail))
        return "400", BAD_REQUEST_HEAD % len(body) + body

    def log_error(self, msg, *args):
        """Write no error log; malformed input is counted instead."""


class _CallerWSGIServer(WSGIServer):
    handler_class = CallerHandler

    def update_environ(self):
        """Set the server name from the address, which avoids a reverse DNS lookup."""
        self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()


class CallerServer(Parametrized):
    """Serves a :class:`~sassafrashook.proxy.CallerApplication` over HTTP/1.1.

    :param application: the application to serve.
    :param host: IP address to listen on.
    :param port: port to listen on, 0 for any free one.
    :param idle_timeout_ms: maximum milliseconds for a caller to send a request head, including the
        idle time of a kept-alive connection.
    :param drain_notice_ms: milliseconds that connections are accepted after the health check
        reports that the router is stopping.
    :param max_connections: maximum number of concurrent connections.
    :ivar draining_: whether :meth:`stop` was called.
    :ivar server_: the WSGI server, or ``None`` before :meth:`start`.
    :raises ParameterError: from :meth:`start`.
    """

    _parameter_constraints = {
        "port": Interval(int, 0, 65_535),
        "idle_timeout_ms": Interval(int, 1, 3_600_000),
        "drain_notice_ms": Interval(int, 0, 600_000),
        "max_connections": Interval(int, 1, 1_000_000),
    }

    def __init__(
        self,
        application,
        host="127.0.0.1",
        port=0,
        idle_timeout_ms=75_000,
        drain_notice_ms=2_000,
        max_connections=10_000,
    ):
        self.application = application
        self.host = host
        self.port = port
        self.idle_timeout_ms = idle_timeout_ms
        self.drain_notice_ms = drain_notice_ms
        self.max_connections = max_connections
        self._address = None
        self.draining_ = False
        self.server_ = None

    @property
    def address(self):
        """Address in use, ``(host, port)``, or ``None`` before :meth:`start`."""
        return self._address

    def start(self):
        """Start listening and serving; returns immediately.

        :raises OSError: if the address cannot be bound.
        """
        self.validate_parameters()
        context = self.application.context
        context.start()
        self.server_ = _CallerWSGIServer(
            (self.host, self.port),
            self.application,
            spawn=Pool(self.max_connections),
            log=None,
            error_log=None,
        )
        self.server_.context = context
        self.server_.handlers_ = set()
        self.server_.draining_ = False
        self.server_.write_timeout_s = context.write_timeout_ms / MS_PER_S
        self.server_.idle_timeout_s = self.idle_timeout_ms / MS_PER_S
        self.server_.start()
        self._address = self.server_.address[:2]

    def stop(self, deadline):
        """Stop gracefully.

        The health check reports the stop first, connections are accepted for ``drain_notice_ms``
        more, and running requests may complete until the deadline.

        :param deadline: monotonic seconds; requests still running then are aborted.
        :returns: number of aborted requests.
        """
        clock = self.application.context.clock
        self.application.draining_ = True
        self.draining_ = True
        self.server_.draining_ = True
        remaining_s = max(0.0, deadline - clock.monotonic())
        gevent.sleep(min(self.drain_notice_ms / MS_PER_S, remaining_s))
        self.server_.stop_accepting()
        self.server_.close()
        while self._count_busy() and clock.monotonic() < deadline:
            gevent.sleep(POLL_INTERVAL_S)
        aborted = self._count_busy()
        self.server_.stop(timeout=0)
        self.application.context.stop(deadline)
        return aborted

    def _count_busy(self):
        return sum(handler.busy for handler in self.server_.handlers_)
