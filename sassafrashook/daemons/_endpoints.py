"""HTTP endpoints of a process besides the gateway: applications, metrics and readiness."""

from abc import ABC, abstractmethod

from sassafrashook.clients import make_stream_server
from sassafrashook.telemetry import SCRAPE_CONTENT_TYPE, log_event

METRICS_PATH = "/metrics"
TEXT_CONTENT_TYPE = "text/plain"
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503


class HttpEndpoint(ABC):
    """Listens for clients. What serves them is imported with the first one.

    :param address: pair of host and port to listen on; port 0 selects a free port.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of its connections, ``None`` for
        no limits.

    :ivar server_: the ``gevent.server.StreamServer`` once started.

    :raises OSError: from :meth:`start` if the address can't be bound.
    """

    def __init__(self, address, budget=None):
        self.requested_address = address
        self.budget = budget
        self.server_ = None
        self._handler = None

    @abstractmethod
    def make_handler(self):
        """Return the :class:`~sassafrashook.http1.ConnectionHandler` of its connections."""

    @property
    def address(self):
        """Pair of host and port on which the endpoint listens."""
        return self.server_.address[:2]

    @property
    def port(self):
        """Port on which the endpoint listens."""
        return self.server_.server_port

    def start(self):
        """Listen and start to serve clients."""
        self.server_ = make_stream_server(self.requested_address, self._handle_client, self.budget)
        self.server_.start()

    def stop_accepting(self):
        """Accept no further connections; those that are open go on."""
        self.server_.stop_accepting()

    def stop(self, timeout=0):
        """Stop to listen; connections that are open go on.

        :param timeout: longest time to wait for connections, in seconds.
        """
        self.server_.stop(timeout=timeout)

    def _handle_client(self, sock, address):
        if self._handler is None:
            self._handler = self.make_handler()
        self._handler.handle_client(sock, address)


class ApplicationServer(HttpEndpoint):
    """Serves a WSGI application.

    :param address: see :class:`HttpEndpoint`.
    :param application: the WSGI application; it reads bodies by
        :func:`~sassafrashook.http1.read_request_body`.
    :param budget: see :class:`HttpEndpoint`.
    """

    def __init__(self, address, application, budget=None):
        super().__init__(address, budget)
        self.application = application

    def make_handler(self):
        """Return the handler of the connections."""
        from sassafrashook.http1 import ApplicationHandler, RequestTimeouts

        # Upstreams send a heartbeat every few seconds, and clients open a new connection if theirs
        # is closed.
        timeouts = RequestTimeouts(idle_s=15.0, head_s=15.0, body_s=15.0, send_s=15.0)
        return ApplicationHandler(self.application, timeouts, self.budget)


class PageServer(HttpEndpoint):
    """Serves a single page over HTTP/1.1; other paths return 404.

    :param address: see :class:`HttpEndpoint`.
    :param path: path of the page.
    :param make_response: called without arguments; returns status code, content type and body, the
        latter as ``bytes``. If it raises an exception, the response is 500.
    :param budget: see :class:`HttpEndpoint`.
    """

    def __init__(self, address, path, make_response, budget=None):
        super().__init__(address, budget)
        self.path = path
        self.make_response = make_response

    def make_handler(self):
        """Return the handler of the connections."""
        from sassafrashook.daemons._pages import PageHandler

        return PageHandler(self._respond, self.budget, lambda: not self.server_.started)

    def _respond(self, path):
        """Return status code, content type and body for a path."""
        if path != self.path:
            return STATUS_NOT_FOUND, TEXT_CONTENT_TYPE, b""
        try:
            return self.make_response()
        except Exception as error:  # an incomplete installation must not end the process
            log_event("page_failed", level="error", path=path, reason=repr(error))
            return STATUS_INTERNAL_ERROR, TEXT_CONTENT_TYPE, b""


def serve_application(address, application, budget=None):
    """Start an :class:`ApplicationServer`; :returns: the started server.

    :raises OSError: if the address can't be bound.
    """
    server = ApplicationServer(address, application, budget)
    server.start()
    return server


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
