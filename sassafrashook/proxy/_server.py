"""HTTP server of a router with graceful shutdown."""

import gevent
from gevent.pool import Pool

from sassafrashook.base import Parametrized
from sassafrashook.clients import make_stream_server
from sassafrashook.http1 import (
    ApplicationHandler,
    ClientDisconnectedError,
    InvalidRequestError,
    RequestTimeouts,
)
from sassafrashook.proxy import _request_body
from sassafrashook.proxy._chats import ChatRelay
from sassafrashook.proxy._errors import encode_error, get_status
from sassafrashook.proxy._resources import CALLER_SOCKET, JSON
from sassafrashook.utils import Interval

__all__ = ["CallerServer"]

MS_PER_S = 1_000
POLL_INTERVAL_S = 0.02
MAX_HEADER_BYTES = 65_536
MAX_HEADER_FIELDS = 100
STATUS_REQUEST_TIMEOUT = 408
STATUS_HEADER_TOO_LARGE = 431
HTTP_1_0 = "1.0"


class _CallerHandler(ApplicationHandler):
    """Serves connections of callers, whose streamed chats bypass the WSGI write path.

    :ivar is_draining_: whether connections are closed after the current response.
    """

    def __init__(self, application, timeouts, budget):
        super().__init__(application, timeouts, budget, MAX_HEADER_BYTES)
        self.is_draining_ = False

    def serve_request(self, client, head):
        """Serve one request, and close the connection after it if the server is draining."""
        if len(head.headers.fields) > MAX_HEADER_FIELDS:
            raise InvalidRequestError(STATUS_HEADER_TOO_LARGE, "too many header fields")
        client.should_close_ |= self.is_draining_
        super().serve_request(client, head)

    def make_environ(self, client, head, body):
        """Return the WSGI environment with the caller's socket."""
        environ = super().make_environ(client, head, body)
        environ[CALLER_SOCKET] = client.sock
        return environ

    def send_result(self, client, head, response, result):
        """Send the response; a streamed chat bypasses the WSGI write path."""
        client.should_close_ |= self.is_draining_
        if isinstance(result, ChatRelay) and client.http_version != HTTP_1_0:
            self._relay_stream(client, response, result)
        else:
            super().send_result(client, head, response, result)

    def _relay_stream(self, client, response, relay):
        send, is_started = client.sock._sock.send, False
        for events in relay:
            if is_started:
                client.send_data(events)
            else:
                client.start_response(
                    response.status_, response.fields_, data=events, reason=response.reason_
                )
                is_started = True
            try:
                unsent = relay.forward_events(send)
            except OSError as error:
                raise ClientDisconnectedError(str(error)) from error
            if unsent:
                client.send_encoded(unsent)
        client.finish_response()

    def reject(self, client, error):
        """Return a JSON error response to a malformed HTTP request; a slow one gets none."""
        if error.status == STATUS_REQUEST_TIMEOUT:
            return
        refusal = _request_body.make_read_refusal(error)
        self.application.context.count("bad_input", "http")
        fields = [(b"Content-Type", JSON.encode())]
        client.send_response(get_status(refusal.reason), fields, encode_error(refusal))


class CallerServer(Parametrized):
    """Serves a :class:`~sassafrashook.proxy.CallerApplication` over HTTP/1.1.

    :param application: the application to serve.
    :param host: IP address to listen on.
    :param port: port to listen on, 0 for any free one.
    :param idle_timeout_ms: maximum milliseconds for a caller to send a request head, including the
        idle time of a kept-alive connection.
    :param drain_notice_ms: milliseconds that connections are accepted after the health check
        reports that the router is stopping.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of the connections, ``None`` for
        no limits.
    :ivar draining_: whether :meth:`stop` was called.
    :ivar server_: the ``gevent.server.StreamServer``, or ``None`` before :meth:`start`.
    :raises ParameterError: from :meth:`start`.
    """

    _parameter_constraints = {
        "port": Interval(int, 0, 65_535),
        "idle_timeout_ms": Interval(int, 1, 3_600_000),
        "drain_notice_ms": Interval(int, 0, 600_000),
    }

    def __init__(
        self,
        application,
        host="127.0.0.1",
        port=0,
        idle_timeout_ms=75_000,
        drain_notice_ms=2_000,
        budget=None,
    ):
        self.application = application
        self.host = host
        self.port = port
        self.idle_timeout_ms = idle_timeout_ms
        self.drain_notice_ms = drain_notice_ms
        self.budget = budget
        self._address = None
        self._handler = None
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
        send_s, idle_s = context.write_timeout_ms / MS_PER_S, self.idle_timeout_ms / MS_PER_S
        timeouts = RequestTimeouts(idle_s, idle_s, _request_body.READ_TIMEOUT_S, send_s)
        self._handler = _CallerHandler(self.application, timeouts, self.budget)
        # The tasks in a pool end when the server is stopped.
        self.server_ = make_stream_server(
            (self.host, self.port), self._handler.handle_client, self.budget, spawn=Pool()
        )
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
        self._handler.is_draining_ = True
        remaining_s = max(0.0, deadline - clock.monotonic())
        gevent.sleep(min(self.drain_notice_ms / MS_PER_S, remaining_s))
        self.server_.close()
        while self._handler.active_request_count_ and clock.monotonic() < deadline:
            gevent.sleep(POLL_INTERVAL_S)
        aborted = self._handler.active_request_count_
        self.server_.stop(timeout=0)
        self.application.context.stop(deadline)
        return aborted
