"""WSGI server whose connections share a budget of memory and descriptors."""

import socket
import time

import gevent
from gevent import socket as gsocket
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from sassafrashook.clients import SHARE_KEY, ClientPhase, open_listener
from sassafrashook.telemetry import log_event

# Longest time without data or without an accepted send. Upstreams send a heartbeat every few
# seconds, and clients open a new connection if theirs is closed.
CONNECTION_TIMEOUT_S = 15.0
# Bytes of a request body that are read after the response, so that the connection can be kept.
MAX_DISCARDED_BYTES = 65_536
DISCARD_SLICE_BYTES = 1_024  # pywsgi takes 1 ms for 1 KiB in chunks of one byte
LISTEN_BACKLOG = 256
MAX_ACCEPT = 8  # connections that are accepted at once; the limit is checked after that


class LimitedInput(Input):
    """Request body of which a bounded part is read after the response.

    :ivar is_complete_: false once a body was too long to be read to its end.
    """

    is_complete_ = True

    def _discard(self):
        discarded_bytes = 0
        self.send_100_continue_enabled = False
        if self._chunked_input_error:
            return
        while data := self.read(DISCARD_SLICE_BYTES):
            discarded_bytes += len(data)
            if discarded_bytes >= MAX_DISCARDED_BYTES:
                self.is_complete_ = False
                return
            gevent.sleep(0)


class LimitedHandler(WSGIHandler):
    """Handler of one connection, which holds a share of the budget.

    :ivar share: the :class:`~sassafrashook.clients.ClientShare`.
    """

    share = None

    def read_requestline(self):
        """Wait for the next request."""
        self.share.begin(ClientPhase.IDLE, time.monotonic())
        self.share.hold(0, time.monotonic())
        return super().read_requestline()

    def _handle_client_error(self, ex):
        """Close the connection without a traceback if it broke or was evicted within a head."""
        if isinstance(ex, OSError):
            return None
        return super()._handle_client_error(ex)

    def get_environ(self):
        """Return the environment with the share and a bounded body."""
        environ = super().get_environ()
        self.share.begin(ClientPhase.READING, time.monotonic())
        body = environ["wsgi.input"]
        environ["wsgi.input"] = self.wsgi_input = LimitedInput(
            self.rfile, body.content_length, body.socket, body.chunked_input
        )
        environ[SHARE_KEY] = self.share
        return environ

    def handle_one_response(self):
        """Respond, and close the connection if the request's body has not been read."""
        super().handle_one_response()
        if not self.wsgi_input.is_complete_:
            self.close_connection = True


class LimitedServer(WSGIServer):
    """Server that closes connections if clients use too much memory or too many descriptors.

    :param address: pair of host and port.
    :param application: the WSGI application.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget`.
    """

    def __init__(self, address, application, budget):
        listener = gsocket.socket(fileno=open_listener(address, LISTEN_BACKLOG).detach())
        super().__init__(
            listener, application, log=None, error_log=None, handler_class=LimitedHandler
        )
        self.max_accept = MAX_ACCEPT
        self.budget = budget

    def handle(self, sock, address):
        """Serve a connection, unless the budget has no room for it."""

        def evict(_reason):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                sock.close()  # the client has already closed the connection

        share = self.budget.open_share(evict, time.monotonic())
        if share is None:
            sock.close()
            return
        sock.settimeout(CONNECTION_TIMEOUT_S)
        try:
            handler = self.handler_class(sock, address, self)
            handler.share = share
            handler.handle()
        except OSError as error:
            log_event("control_connection_lost", address=address[0], reason=error)
        finally:
            share.close()
