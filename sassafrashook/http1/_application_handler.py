"""Serves WSGI applications; a body is read by the same code and limits as on any connection."""

import io
import sys
import time
from urllib.parse import unquote_to_bytes

from absl import logging

from sassafrashook.clients import ClientPhase
from sassafrashook.http1._connection_handler import DEFAULT_MAX_HEADER_BYTES, ConnectionHandler
from sassafrashook.http1._messages import InvalidRequestError
from sassafrashook.http1._server import (
    STATUS_BAD_REQUEST,
    STATUS_CONTENT_TOO_LARGE,
    ClientDisconnectedError,
)

__all__ = [
    "CLOSE_CONNECTION",
    "ApplicationHandler",
    "RequestBody",
    "Response",
    "read_request_body",
]

# Set in the environment by an application that has the connection closed after its response.
CLOSE_CONNECTION = "sassafrashook.close_connection"
DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"
INPUT = "wsgi.input"
# Largest body that is read after the response if the application did not, so that the connection
# can be kept.
MAX_DISCARDED_BYTES = 65_536
DEFAULT_MAX_BODY_BYTES = 16_777_216
BODILESS_STATUSES = (204, 304)
STATUS_INTERNAL_ERROR = 500
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


def read_request_body(environ, max_bytes):
    """Read the whole body of a WSGI request.

    :param environ: the WSGI environment, of an :class:`ApplicationHandler` or any other server.
    :param max_bytes: largest size, in bytes.
    :returns: ``bytes``.
    :raises InvalidRequestError: if the body is malformed, too large or not complete in time, the
        memory for clients is used up, or the client disconnects before the end.
    """
    source = environ[INPUT]
    if isinstance(source, RequestBody):
        return source.read_whole(max_bytes)
    body = source.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise InvalidRequestError(STATUS_CONTENT_TOO_LARGE, "the body is too large")
    return body


class RequestBody(io.RawIOBase):
    """Body of a request, the input stream of a WSGI application.

    :param client: the :class:`ServerConnection`.
    :param timeout_s: longest time that the body may take, in seconds.
    :param max_bytes: largest size of a body that is read as a stream, in bytes.

    :ivar is_read_: whether it has been read, or the attempt has failed.
    """

    def __init__(self, client, timeout_s, max_bytes=DEFAULT_MAX_BODY_BYTES):
        super().__init__()
        self.client = client
        self.timeout_s = timeout_s
        self.max_bytes = max_bytes
        self.is_read_ = not client.has_body()
        self._stream = None

    def read_whole(self, max_bytes):
        """Read the body, as :func:`read_request_body`; it can be read once.

        The connection is closed after the response if that fails.
        """
        if self.is_read_:
            return b""
        self.is_read_ = True
        try:
            self.client.read_body(max_bytes, time.monotonic() + self.timeout_s)
        except InvalidRequestError:
            self.client.should_close_ = True
            raise
        except ClientDisconnectedError as error:
            self.client.should_close_ = True
            raise InvalidRequestError(STATUS_BAD_REQUEST, str(error)) from error
        return self.client.convert_body()

    def readable(self):
        """Return whether the stream can be read."""
        return True

    def readinto(self, buffer):
        """Read some bytes into a buffer; :returns: their number."""
        if self._stream is None:
            self._stream = io.BytesIO(self.read_whole(self.max_bytes))
        return self._stream.readinto(buffer)


class Response:
    """Status and fields that an application has given.

    :ivar status_: status code, ``None`` before :meth:`start`.
    :ivar reason_: phrase behind the status code, ``bytes``.
    :ivar fields_: header pairs of ``bytes``, without those that frame the body.
    :ivar length_: size that the application states for the body in bytes, ``None`` without one.
    :ivar closes_: whether the application asks for the connection to be closed.
    :ivar written_: ``bytes`` that the application has passed to the legacy callable.
    """

    __slots__ = ("status_", "reason_", "fields_", "length_", "closes_", "written_")

    def __init__(self):
        self.status_ = None
        self.reason_ = b""
        self.fields_ = []
        self.length_ = None
        self.closes_ = False
        self.written_ = b""

    def start(self, status, headers, exc_info=None):
        """Set status and headers; this is the ``start_response`` of WSGI."""
        code, _, reason = status.partition(" ")
        self.status_, self.reason_ = int(code), reason.encode("latin-1")
        fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        self.fields_ = []
        for name, value in fields:
            if name.lower() == b"content-length":
                self.length_ = int(value)
            elif name.lower() == b"connection":
                self.closes_ = self.closes_ or value.lower() == b"close"
            elif name.lower() not in FRAMING_FIELDS:
                self.fields_.append((name, value))
        return self._write

    def _write(self, data):
        self.written_ += data


class ApplicationHandler(ConnectionHandler):
    """Serves a WSGI application over HTTP/1.1.

    :param application: the WSGI application; it reads bodies by :func:`read_request_body`.
    :param timeouts: the :class:`RequestTimeouts`.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of the connections, ``None`` for
        no limits.
    :param max_header_bytes: largest size of the head of a request, in bytes.
    """

    is_host_optional = True

    def __init__(
        self, application, timeouts, budget=None, max_header_bytes=DEFAULT_MAX_HEADER_BYTES
    ):
        super().__init__(timeouts, budget, max_header_bytes)
        self.application = application

    def serve_request(self, client, head):
        """Call the application and send what it returns."""
        body = RequestBody(client, self.timeouts.body_s)
        if body.is_read_:
            client.read_body(0, time.monotonic() + self.timeouts.body_s)
        environ, response = self.make_environ(client, head, body), Response()
        try:
            result = self.application(environ, response.start)
        except Exception:
            logging.exception("event=application_failed path=%s", head.path)
            client.should_close_ = True
            client.send_response(STATUS_INTERNAL_ERROR, [], b"")
            return
        try:
            is_discarded = not body.is_read_ and client.expects_at_most(MAX_DISCARDED_BYTES)
            client.should_close_ |= response.closes_ or bool(environ.get(CLOSE_CONNECTION))
            client.should_close_ |= not (body.is_read_ or is_discarded)
            self.send_result(client, head, response, result)
            if is_discarded and not client.should_close_:
                body.read_whole(MAX_DISCARDED_BYTES)
        except InvalidRequestError:
            client.should_close_ = True  # the response has been sent; the rest is not valid
        finally:
            close = getattr(result, "close", None)
            if close is not None:
                close()

    def make_environ(self, client, head, body):
        """Return the WSGI environment of a request.

        :param client: the :class:`ServerConnection`.
        :param head: the :class:`RequestHead`.
        :param body: the :class:`RequestBody`.
        """
        path, _, query = head.target.partition(b"?")
        host, port = client.local_address
        environ = {
            "REQUEST_METHOD": head.method.decode("latin-1"),
            "SCRIPT_NAME": "",
            "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
            "QUERY_STRING": query.decode("latin-1"),
            "RAW_URI": head.target.decode("latin-1"),
            "SERVER_NAME": host,
            "SERVER_PORT": str(port),
            "SERVER_PROTOCOL": f"HTTP/{client.http_version}",
            "REMOTE_ADDR": client.address,
            "wsgi.version": (1, 0),
            "wsgi.url_scheme": "http",
            INPUT: body,
            "wsgi.input_terminated": True,
            "wsgi.errors": sys.stderr,
            "wsgi.multithread": False,
            "wsgi.multiprocess": False,
            "wsgi.run_once": False,
        }
        for name, value in head.headers.fields:
            if b"_" in name:
                continue  # could not be told from a name with a hyphen
            key = name.decode("latin-1").upper().replace("-", "_")
            if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
                key = f"HTTP_{key}"
            text = value.decode("latin-1")
            environ[key] = f"{environ[key]},{text}" if key in environ else text
        return environ

    def send_result(self, client, head, response, result):
        """Send the response.

        :param client: the :class:`ServerConnection`.
        :param head: the :class:`RequestHead`.
        :param response: the :class:`Response`.
        :param result: what the application has returned.
        """
        fields = [*response.fields_, (b"Date", time.strftime(DATE_FORMAT, time.gmtime()).encode())]
        if head.method == b"HEAD" or response.status_ in BODILESS_STATUSES:
            length = response.length_ or 0
            client.start_response(response.status_, fields, length, reason=response.reason_)
            client.finish_response()
        elif isinstance(result, (list, tuple)):
            body = response.written_ + b"".join(result)
            client.send_response(response.status_, fields, body, response.reason_)
        else:
            self._send_parts(client, fields, response, result)

    def _send_parts(self, client, fields, response, result):
        client.begin_phase(ClientPhase.SENDING)
        client.reserve_response(response.length_ or 0)
        client.start_response(
            response.status_, fields, response.length_, response.written_, response.reason_
        )
        for part in result:
            if part:
                client.send_data(part)
        client.finish_response()
        client.reserve_response(0)
