"""Auxiliary HTTP endpoints of a process, such as metrics and readiness."""

import time

from sassafrashook.clients import make_stream_server
from sassafrashook.telemetry import SCRAPE_CONTENT_TYPE, log_event

METRICS_PATH = "/metrics"
TEXT_CONTENT_TYPE = "text/plain"
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 0  # pages are read with GET
IDLE_TIMEOUT_S = 30.0  # longer than common scrape intervals, so that scrapers keep connections
REQUEST_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 5.0
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503


def serve_application(address, application, budget=None):
    """Start a server for a WSGI application; :returns: the started server.

    :param address: pair of host and port.
    :param application: the WSGI application.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of its connections, ``None`` for
        no limits. The application finds the connection's share under ``SHARE_KEY``.
    :raises OSError: if the address can't be bound.
    """
    # Imported here, because it loads many modules that a router doesn't need.
    from gevent.pywsgi import WSGIServer

    if budget is None:
        server = WSGIServer(address, application, log=None, error_log=None)
    else:
        from sassafrashook.daemons._limited_server import LimitedServer

        server = LimitedServer(address, application, budget)
    server.environ["SERVER_NAME"] = address[0]
    server.start()
    return server


class PageServer:
    """Serves a single page over HTTP/1.1; other paths return 404.

    :param address: pair of host and port to listen on; port 0 selects a free port.
    :param path: path of the page.
    :param make_response: called without arguments; returns status code, content type and body, the
        latter as ``bytes``. If it raises an exception, the response is 500.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of its connections, ``None`` for
        no limits.

    :ivar server_: the ``gevent.server.StreamServer`` once started.

    :raises OSError: from :meth:`start` if the address can't be bound.
    """

    def __init__(self, address, path, make_response, budget=None):
        self.budget = budget
        self.address = address
        self.path = path
        self.make_response = make_response
        self.server_ = None

    @property
    def port(self):
        """Port on which the server listens."""
        return self.server_.server_port

    def start(self):
        """Listen and start to serve the page."""
        self.server_ = make_stream_server(self.address, self._handle_client, self.budget)
        self.server_.start()

    def stop(self):
        """Stop to listen; requests in progress are ended."""
        self.server_.stop(timeout=0)

    def _handle_client(self, sock, _address):
        # Imported with the first client, because a controller needs it for nothing else.
        from sassafrashook.http1 import ClientDisconnectedError, ServerConnection

        client = ServerConnection(sock, MAX_HEADER_BYTES, SEND_TIMEOUT_S, self.budget)
        if not client.is_admitted_:
            client.abort()
            return
        try:
            self._serve_requests(client)
        except ClientDisconnectedError:
            client.abort()
        else:
            client.close()

    def _serve_requests(self, client):
        from sassafrashook.http1 import InvalidRequestError

        is_open = True
        while is_open and client.wait_for_request(
            time.monotonic() + IDLE_TIMEOUT_S, lambda: not self.server_.started
        ):
            deadline = time.monotonic() + REQUEST_TIMEOUT_S
            try:
                head = client.read_head(deadline)
                if head is None:
                    return
                client.read_body(MAX_BODY_BYTES, deadline)
            except InvalidRequestError as error:
                client.should_close_ = True
                _send_page(client, error.status, TEXT_CONTENT_TYPE, f"{error}\n".encode())
                return
            _send_page(client, *self._respond(head.path))
            is_open = client.start_next_cycle()

    def _respond(self, path):
        """Return status code, content type and body for a path."""
        if path != self.path:
            return STATUS_NOT_FOUND, TEXT_CONTENT_TYPE, b""
        try:
            return self.make_response()
        except Exception as error:  # an incomplete installation must not end the process
            log_event("page_failed", level="error", path=path, reason=repr(error))
            return STATUS_INTERNAL_ERROR, TEXT_CONTENT_TYPE, b""


def _send_page(client, status, content_type, body):
    client.send_response(status, [(b"Content-Type", content_type.encode())], body)


def serve_page(address, path, make_response, budget=None):
    """Start a :class:`PageServer`; :returns: the started server.

    :raises OSError: if the address can't be bound.
    """
    server = PageServer(address, path, make_response, budget)
    server.start()
    return server


def serve_metrics(address, metrics, budget=None):
    """Serve metrics for scraping; :returns: the started server, or ``None`` without an address.

    :param address: pair of host and port, or ``None``.
    :param metrics: a :class:`~sassafrashook.telemetry.Metrics`.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of its connections, ``None`` for
        no limits.
    :raises OSError: if the address can't be bound.
    """
    if address is None:
        return None

    def make_response():
        return STATUS_OK, SCRAPE_CONTENT_TYPE, metrics.render_page()

    return serve_page(address, METRICS_PATH, make_response, budget)
