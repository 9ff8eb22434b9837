"""Auxiliary HTTP endpoints of a process, such as metrics and readiness."""

from gevent.pywsgi import WSGIServer

from sassafrashook.telemetry import SCRAPE_CONTENT_TYPE

METRICS_PATH = "/metrics"


def serve_application(address, application):
    """Start a server for a WSGI application; :returns: the started server.

    :param address: pair of host and port.
    :raises OSError: if the address can't be bound.
    """
    server = WSGIServer(address, application, log=None, error_log=None)
    server.environ["SERVER_NAME"] = address[0]
    server.start()
    return server


def make_endpoint_application(path, make_response):
    """Return a WSGI application with a single path; others return 404.

    :param path: path of the endpoint.
    :param make_response: called without arguments; returns status line, content type and body, the
        latter as ``bytes``.
    """

    def respond(environ, start_response):
        status, content_type, body = "404 Not Found", "text/plain", b""
        if environ.get("PATH_INFO") == path:
            status, content_type, body = make_response()
        fields = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, fields)
        return [body] if body else []

    return respond


def serve_metrics(address, metrics):
    """Serve metrics for scraping; :returns: the started server, or ``None`` without an address.

    :param address: pair of host and port, or ``None``.
    :param metrics: a :class:`~sassafrashook.telemetry.Metrics`.
    :raises OSError: if the address can't be bound.
    """
    if address is None:
        return None

    def make_response():
        return "200 OK", SCRAPE_CONTENT_TYPE, metrics.render_page()

    return serve_application(address, make_endpoint_application(METRICS_PATH, make_response))
