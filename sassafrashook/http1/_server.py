"""HTTP/1.1 server side of a client's connection."""

import socket
import time
from collections import deque

import gevent
import h11
from gevent.event import Event

from sassafrashook.http1._messages import Headers, InvalidRequestError, RequestHead
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import normalize_host

RECEIVE_BYTES = 65_536
MAX_UNPARSED_BYTES = 262_144  # the receiving task pauses while more bytes wait to be parsed
# Before closing, unread bytes are discarded for up to this time or size, since closing a socket
# with unread bytes resets the connection and the client may lose the last response.
LINGER_S = 1.0
MAX_LINGER_BYTES = 8 * 1024 * 1024
IDLE_POLL_INTERVAL_S = 0.25  # longest delay until an idle connection notices that the server stops
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413


class ClientDisconnectedError(OSError):
    """Raised when the client has closed or reset its connection, or a send has timed out."""


class ServerConnection:
    """An accepted client connection that reads requests and sends responses.

    A separate task receives all the time, so that a disconnect is detected while a request runs.

    :param sock: the accepted gevent socket.
    :param max_header_bytes: largest size of a request head, in bytes.
    :param send_timeout_s: longest time that one send may take before the client counts as
        disconnected, in seconds.

    :ivar is_disconnected_: whether the client has closed or reset the connection.
    :ivar should_close_: whether the connection closes after the current response.
    :ivar on_disconnect: called without arguments when the client disconnects, or ``None``.
    """

    def __init__(self, sock, max_header_bytes, send_timeout_s):
        self.sock = sock
        self.max_header_bytes = max_header_bytes
        self.send_timeout_s = send_timeout_s
        self.is_disconnected_ = False
        self.should_close_ = False
        self.on_disconnect = None
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
        self._received = deque()
        self._received_bytes = 0
        self._data_received = Event()
        self._data_consumed = Event()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._receiver = spawn_task(self._receive_until_closed)

    def _receive_until_closed(self):
        while True:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                break
            self._received.append(data)
            self._received_bytes += len(data)
            self._data_received.set()
            while self._received_bytes > MAX_UNPARSED_BYTES:
                self._data_consumed.clear()
                self._data_consumed.wait()
        self.is_disconnected_ = True
        self._data_received.set()
        if self.on_disconnect is not None:
            self.on_disconnect()

    def _pop_received(self, deadline):
        """Wait for received bytes and take them off the queue.

        :param deadline: monotonic seconds.
        :returns: ``bytes``, empty if the client has disconnected.
        :raises TimeoutError: at the deadline.
        """
        while not self._received:
            if self.is_disconnected_:
                return b""
            self._data_received.clear()
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or not self._data_received.wait(remaining_s):
                raise TimeoutError("no data received before the deadline")
        data = self._received.popleft()
        self._received_bytes -= len(data)
        self._data_consumed.set()
        return data

    def has_received_data(self):
        """Return whether a part of the next request has been received."""
        return bool(self._received) or bool(self._http.trailing_data[0])

    def wait_for_request(self, deadline, is_stopping):
        """Wait for the first bytes of the next request.

        :param deadline: time until which the connection may stay idle, in monotonic seconds.
        :param is_stopping: called without arguments; the wait ends once it returns true.
        :returns: whether bytes of a request have been received.
        """
        while not self.has_received_data():
            remaining_s = deadline - time.monotonic()
            if self.is_disconnected_ or remaining_s <= 0 or is_stopping():
                return False
            self._data_received.clear()
            if not self._received and not self.is_disconnected_:
                self._data_received.wait(min(remaining_s, IDLE_POLL_INTERVAL_S))
        return True

    def read_head(self, deadline):
        """Read the head of a request.

        :param deadline: monotonic seconds.
        :returns: a :class:`RequestHead`, or ``None`` if the client disconnected before the head
            was complete.
        :raises InvalidRequestError: if it is malformed, too large or incomplete at the deadline.
        """
        event = self._next_event(deadline)
        if not isinstance(event, h11.Request):
            return None
        fields = [(bytes(name), bytes(value)) for name, value in event.headers.raw_items()]
        headers = Headers(fields)
        if b"transfer-encoding" in headers and b"content-length" in headers:
            # RFC 9112 section 6.1: with ambiguous framing, whatever follows on the connection
            # could be a smuggled request.
            self.should_close_ = True
        host = normalize_host(headers.get(b"host", ""))
        path = event.target.partition(b"?")[0].decode("latin-1")
        return RequestHead(bytes(event.method), bytes(event.target), headers, path, host)

    def read_body(self, max_bytes, deadline):
        """Read the whole body of a request.

        :param max_bytes: largest size of the body, in bytes.
        :param deadline: monotonic seconds.
        :returns: ``bytes``.
        :raises InvalidRequestError: if it is malformed, too large or incomplete at the deadline.
        :raises ClientDisconnectedError: if the client disconnects before the end of the body.
        """
        if self._http.they_are_waiting_for_100_continue:
            self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
        chunks = []
        size = 0
        while True:
            event = self._next_event(deadline)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if not isinstance(event, h11.Data):
                raise ClientDisconnectedError("disconnected before the end of the request")
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > max_bytes:
                raise InvalidRequestError(STATUS_CONTENT_TOO_LARGE, "the body is too large")

    def _next_event(self, deadline):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise InvalidRequestError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                return None if event is h11.PAUSED else event
            try:
                data = self._pop_received(deadline)
            except TimeoutError as error:
                raise InvalidRequestError(
                    STATUS_REQUEST_TIMEOUT, "the request was not complete in time"
                ) from error
            if not data:
                return None
            self._http.receive_data(data)

    def send_response(self, status, fields, body):
        """Send a complete response with a Content-Length.

        :param status: status code.
        :param fields: header pairs of ``bytes``, without Content-Length and Transfer-Encoding.
        :param body: ``bytes``.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        framed_fields = [*fields, (b"Content-Length", str(len(body)).encode())]
        data = self._encode_head(status, framed_fields)
        if body and self._http.our_state is h11.SEND_BODY:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._send_bytes(data)

    def start_response(self, status, fields):
        """Send the head of a chunked response.

        :param status: status code.
        :param fields: header pairs of ``bytes``, without Content-Length and Transfer-Encoding.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        self._send_bytes(self._encode_head(status, [*fields, (b"Transfer-Encoding", b"chunked")]))

    def _encode_head(self, status, fields):
        if self.should_close_:
            fields = [*fields, (b"Connection", b"close")]
        return self._http.send(h11.Response(status_code=status, headers=fields))

    def send_data(self, data):
        """Send a part of the body of a chunked response.

        :param data: ``bytes``.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        self._send_event(h11.Data(data=data))

    def finish_response(self):
        """Send the end of a chunked response.

        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        self._send_event(h11.EndOfMessage())

    def _send_event(self, event):
        self._send_bytes(self._http.send(event))

    def _send_bytes(self, data):
        try:
            self.sock.settimeout(self.send_timeout_s)
            self.sock.sendall(data)
        except OSError as error:
            raise ClientDisconnectedError(str(error)) from error
        finally:
            self.sock.settimeout(None)

    def has_started_response(self):
        """Return whether a part of the response has been sent."""
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next_cycle(self):
        """Prepare the parser for the next request.

        :returns: whether the connection can carry another request.
        """
        if self.should_close_ or self.is_disconnected_:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def close(self):
        """Close the connection gracefully after a complete response.

        Bytes that the client still sends are discarded first; see ``LINGER_S``.
        """
        deadline = time.monotonic() + LINGER_S
        discarded_bytes = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while not self.is_disconnected_ and discarded_bytes < MAX_LINGER_BYTES:
                discarded_bytes += len(self._pop_received(deadline))
        except OSError:
            pass  # disconnected, or still sending at the deadline; the socket is closed either way
        self.abort()

    def abort(self):
        """Close the connection at once; the client sees a partly sent response as incomplete."""
        if self._receiver is not gevent.getcurrent():
            self._receiver.kill(block=False)
        self.sock.close()
