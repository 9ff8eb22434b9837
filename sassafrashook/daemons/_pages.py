"""Pages that a process serves by itself."""

import time

from sassafrashook.http1 import ConnectionHandler, RequestTimeouts

# Connections stay open for longer than common scrape intervals, so that scrapers keep them.
TIMEOUTS = RequestTimeouts(idle_s=30.0, head_s=5.0, body_s=5.0, send_s=5.0)
MAX_BODY_BYTES = 0  # pages are read with GET


class PageHandler(ConnectionHandler):
    """Serves pages that are made for each request.

    :param respond: called with a path; returns status code, content type and body, the latter as
        ``bytes``.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of the connections, ``None`` for
        no limits.
    :param is_stopping: see :class:`~sassafrashook.http1.ConnectionHandler`.
    """

    def __init__(self, respond, budget, is_stopping):
        super().__init__(TIMEOUTS, budget, is_stopping=is_stopping)
        self.respond = respond

    def serve_request(self, client, head):
        """Send the page."""
        client.read_body(MAX_BODY_BYTES, time.monotonic() + self.timeouts.body_s)
        status, content_type, body = self.respond(head.path)
        client.send_response(status, [(b"Content-Type", content_type.encode())], body)
