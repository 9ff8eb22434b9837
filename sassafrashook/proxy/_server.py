"""Serves the application over HTTP and stops gracefully."""

import math
import socket

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from sassafrashook.base import Parametrized
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy._chats import ChatRelay
from sassafrashook.proxy._errors import encode_error
from sassafrashook.proxy._monitor import Watch
from sassafrashook.proxy._reading import SKIP_REST
from sassafrashook.proxy._resources import CALLER_SOCKET
from sassafrashook.utils import Interval

__all__ = ["CallerServer"]

MS_PER_S = 1_000
POLL_S = 0.02
LINGER_S = 1.0
BAD_REQUEST_HEAD = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
LINGER_BYTES = 1_048_576


class CallerHandler(WSGIHandler):
    """Handles one caller's connection."""

    def handle(self):
        """Serve requests until the connection ends."""
        self.server.handlers_.add(self)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.busy = False
        self.watch = Watch(self.socket)
        self._await_request()
        context = self.server.context
        context.monitor_.add(self.watch)
        try:
            super().handle()
        finally:
            context.monitor_.remove(self.watch)
            self.server.handlers_.discard(self)

    def _await_request(self):
        clock = self.server.context.clock
        self.watch.caller_deadline = clock.monotonic() + self.server.idle_s

    def handle_one_response(self):
        """Serve one request; when a stop was announced, tell the caller to close."""
        self.watch.caller_deadline = math.inf
        try:
            super().handle_one_response()
        finally:
            self.busy = False
            self._await_request()
        if self.environ.get(SKIP_REST):
            self._linger()

    def read_request(self, raw_requestline):
        """Read the head of a request."""
        self.busy = True
        return super().read_request(raw_requestline)

    def _linger(self):
        self.close_connection = True
        received = 0
        with gevent.Timeout(LINGER_S, False):
            try:
                self.socket.shutdown(socket.SHUT_WR)
                while received < LINGER_BYTES:
                    data = self.socket.recv(65_536)
                    received += len(data)
                    if not data:
                        return
            except OSError:
                return

    def get_environ(self):
        """Return the WSGI environment with the caller's socket."""
        environ = super().get_environ()
        environ[CALLER_SOCKET] = self.socket
        environ["RAW_URI"] = self.path
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Begin the response."""
        if self.server.draining_ or self.environ.get(SKIP_REST):
            headers = [*headers, ("Connection", "close")]
        if self.environ.get(SKIP_REST):
            self.wsgi_input._chunked_input_error = True
        return super().start_response(status, headers, exc_info)

    def process_result(self):
        """Send the response; a relayed stream takes the shortest way."""
        if isinstance(self.result, ChatRelay) and self.request_version != "HTTP/1.0":
            self._relay()
        else:
            super().process_result()

    def _relay(self):
        relay = self.result
        send = self.socket._sock.send
        for events in relay:
            self.write(events)
            rest = relay.pump(send)
            if rest:
                self._sendall(rest)
        self._sendall(b"0\r\n\r\n")

    def _sendall(self, data):
        """Send, waiting as long as the caller makes progress."""
        self.watch.caller_deadline = self.server.context.clock.monotonic() + self.server.caller_s
        try:
            super()._sendall(data)
        finally:
            self.watch.caller_deadline = math.inf

    def log_request(self):
        """Write no access log."""

    def _handle_client_error(self, ex):
        """Answer what is no HTTP request with a JSON error."""
        self.server.context.count("bad_input", "http")
        detail = "this is not a valid HTTP request"
        body = encode_error(Refusal(Verdict.NOT_RUN, RefusalReason.BAD_REQUEST, 0, detail))
        return "400", BAD_REQUEST_HEAD % len(body) + body

    def log_error(self, msg, *args):
        """Write nothing: bad input is counted."""


class _Server(WSGIServer):
    handler_class = CallerHandler

    def update_environ(self):
        """Set the server's name without asking for host names."""
        self.environ.setdefault("SERVER_NAME", str(self.address[0]))
        super().update_environ()


class CallerServer(Parametrized):
    """Serves a :class:`~sassafrashook.proxy.CallerApplication`.

    :param application: the application.
    :param host: IP number to listen on.
    :param port: port to listen on, 0 for any free one.
    :param idle_ms: how long a caller may take to send a request's head.
    :param notice_ms: how long the listener stays open once the health page announces a stop.
    :param max_connections: callers' connections that are served at once.

    Attributes: ``address_``, ``(host, port)``; ``draining_``, whether a stop was announced.

    :raises ParameterError: from :meth:`start`.
    """

    _parameter_constraints = {
        "port": Interval(int, 0, 65_535),
        "idle_ms": Interval(int, 1, 3_600_000),
        "notice_ms": Interval(int, 0, 600_000),
        "max_connections": Interval(int, 1, 1_000_000),
    }

    def __init__(
        self,
        application,
        host="127.0.0.1",
        port=0,
        idle_ms=75_000,
        notice_ms=2_000,
        max_connections=10_000,
    ):
        self.application = application
        self.host = host
        self.port = port
        self.idle_ms = idle_ms
        self.notice_ms = notice_ms
        self.max_connections = max_connections
        self.address_ = None
        self.draining_ = False
        self.server_ = None

    @property
    def address(self):
        """The address that is listened on, ``(host, port)``."""
        return self.address_

    def start(self):
        """Listen and serve; returns at once.

        :raises OSError: if the address can't be used.
        """
        self.validate_parameters()
        context = self.application.context
        context.start()
        self.server_ = _Server(
            (self.host, self.port),
            self.application,
            spawn=Pool(self.max_connections),
            log=None,
            error_log=None,
        )
        self.server_.context = context
        self.server_.handlers_ = set()
        self.server_.draining_ = False
        self.server_.caller_s = context.caller_ms / MS_PER_S
        self.server_.idle_s = self.idle_ms / MS_PER_S
        self.server_.start()
        self.address_ = self.server_.address[:2]

    def stop(self, deadline):
        """Stop gracefully: announce it, keep listening for a while, let requests end.

        :param deadline: monotonic seconds; requests still running then are cut.
        :returns: how many requests were cut.
        """
        clock = self.application.context.clock
        self.application.draining_ = True
        self.draining_ = True
        self.server_.draining_ = True
        left_s = max(0.0, deadline - clock.monotonic())
        gevent.sleep(min(self.notice_ms / MS_PER_S, left_s))
        self.server_.stop_accepting()
        self.server_.close()
        while self._count_busy() and clock.monotonic() < deadline:
            gevent.sleep(POLL_S)
        cut = self._count_busy()
        self.server_.stop(timeout=0)
        self.application.context.stop(deadline)
        return cut

    def _count_busy(self):
        return sum(handler.busy for handler in self.server_.handlers_)
