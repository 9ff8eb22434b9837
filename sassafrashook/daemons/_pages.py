"""Pages that a process serves beside its work."""

from gevent.pywsgi import WSGIServer

from sassafrashook.telemetry import SCRAPE_CONTENT_TYPE

METRICS_PATH = "/metrics"


def serve_application(address, application):
    """Serve a WSGI application; :returns: the started server.

    :param address: pair of host and port.
    """
    server = WSGIServer(address, application, log=None, error_log=None)
    server.environ["SERVER_NAME"] = address[0]
    server.start()
    return server


def make_page_application(path, answer):
    """Return a WSGI application of one page.

    :param path: its path; others are not found.
    :param answer: called without arguments; returns status line, content type and body, ``bytes``.
    """

    def respond(environ, start_response):
        status, content_type, body = "404 Not Found", "text/plain", b""
        if environ.get("PATH_INFO") == path:
            status, content_type, body = answer()
        fields = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, fields)
        return [body] if body else []

    return respond


def serve_metrics(address, metrics):
    """Serve the page of metrics; :returns: the started server, or ``None`` without an address.

    :param address: pair of host and port, or ``None``.
    :param metrics: a :class:`~sassafrashook.telemetry.Metrics`.
    """
    if address is None:
        return None

    def answer():
        return "200 OK", SCRAPE_CONTENT_TYPE, metrics.render_page()

    return serve_application(address, make_page_application(METRICS_PATH, answer))
