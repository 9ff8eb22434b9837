"""One client's connection: requests in, responses out, and notice of the client's leaving."""

import socket
import time
from collections import deque

import gevent
import h11
from gevent.event import Event

from sassafrashook.http1._messages import Headers, HttpError, RequestHead
from sassafrashook.tasks import spawn_task

RECEIVE_BYTES = 65_536
MAX_PENDING_BYTES = 262_144  # received and not parsed; the reader pauses beyond this
LINGER_S = 1.0  # how long unread bytes are discarded so that the last answer is not reset
LINGER_BYTES = 8 * 1024 * 1024
IDLE_POLL_S = 0.25  # how late an idle connection notices that the server stops
TIMEOUT_STATUS = 408
TOO_LARGE_STATUS = 413


class ClientGoneError(OSError):
    """The client closed or reset its connection."""


class ServerConnection:
    """Owns one accepted connection; a task of its own receives, so that a close is noticed at once.

    :param sock: the accepted gevent socket.
    :param max_header_bytes: largest head of a request.
    :param send_timeout_s: how long a client may take no byte while bytes wait for it.

    :ivar gone_: whether the client closed or reset the connection.
    :ivar closing_: whether the connection ends after the current response.
    """

    def __init__(self, sock, max_header_bytes, send_timeout_s):
        self.sock = sock
        self.max_header_bytes = max_header_bytes
        self.send_timeout_s = send_timeout_s
        self.gone_ = False
        self.closing_ = False
        self.on_gone = None
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)
        self._pending = deque()
        self._pending_bytes = 0
        self._arrived = Event()
        self._consumed = Event()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = spawn_task(self._receive)

    def _receive(self):
        while True:
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                break
            self._pending.append(data)
            self._pending_bytes += len(data)
            self._arrived.set()
            while self._pending_bytes > MAX_PENDING_BYTES:
                self._consumed.clear()
                self._consumed.wait()
        self.gone_ = True
        self._arrived.set()
        if self.on_gone is not None:
            self.on_gone()

    def _take(self, deadline):
        """Return received bytes; empty once the client has closed.

        :raises TimeoutError: at the deadline.
        """
        while not self._pending:
            if self.gone_:
                return b""
            self._arrived.clear()
            left = deadline - time.monotonic()
            if left <= 0 or not self._arrived.wait(left):
                raise TimeoutError("nothing received in time")
        data = self._pending.popleft()
        self._pending_bytes -= len(data)
        self._consumed.set()
        return data

    def has_bytes(self):
        """Return whether the next request has begun to arrive."""
        return bool(self._pending) or bool(self._http.trailing_data[0])

    def wait_for_request(self, deadline, is_stopping):
        """Wait until bytes of a request arrive.

        :param deadline: monotonic seconds until which the connection may stay idle.
        :param is_stopping: called without arguments; idle connections end once it returns true.
        :returns: whether a request begins.
        """
        while not self.has_bytes():
            left = deadline - time.monotonic()
            if self.gone_ or left <= 0 or is_stopping():
                return False
            self._arrived.clear()
            if not self._pending and not self.gone_:
                self._arrived.wait(min(left, IDLE_POLL_S))
        return True

    def read_head(self, deadline):
        """Read the head of a request.

        :param deadline: monotonic seconds.
        :returns: a :class:`RequestHead`, or ``None`` if the client left before it was complete.
        :raises HttpError: if it is not HTTP, too large or late.
        """
        event = self._next_event(deadline)
        if not isinstance(event, h11.Request):
            return None
        fields = [(bytes(name), bytes(value)) for name, value in event.headers.raw_items()]
        headers = Headers(fields)
        if b"transfer-encoding" in headers and b"content-length" in headers:
            self.closing_ = True  # RFC 9112 6.1: the framing is ambiguous for whoever follows
        host = headers.get(b"host", "").lower().partition(":")[0]
        path = event.target.partition(b"?")[0].decode("latin-1")
        return RequestHead(bytes(event.method), bytes(event.target), headers, path, host)

    def read_body(self, max_bytes, deadline):
        """Read the whole body.

        :param max_bytes: largest size.
        :param deadline: monotonic seconds.
        :returns: ``bytes``.
        :raises HttpError: if it is malformed, too large or late.
        :raises ClientGoneError: if the client left before its end.
        """
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        parts = []
        size = 0
        while True:
            event = self._next_event(deadline)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise ClientGoneError("left before the end of its request")
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > max_bytes:
                raise HttpError(TOO_LARGE_STATUS, "the body is too large")

    def _next_event(self, deadline):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise HttpError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                return None if event is h11.PAUSED else event
            try:
                data = self._take(deadline)
            except TimeoutError as error:
                raise HttpError(TIMEOUT_STATUS, "the request was not complete in time") from error
            if not data:
                return None
            self._http.receive_data(data)

    def send_response(self, status, fields, body):
        """Send a whole response.

        :param fields: header pairs, ``bytes``, without those of framing.
        :param body: ``bytes``.
        :raises ClientGoneError: if the client takes no bytes.
        """
        framed = [*fields, (b"Content-Length", str(len(body)).encode())]
        data = self._encode_head(status, framed)
        if body and self._http.our_state is h11.SEND_BODY:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._write(data)

    def start_response(self, status, fields):
        """Send the head of a response whose body follows in parts."""
        self._write(self._encode_head(status, [*fields, (b"Transfer-Encoding", b"chunked")]))

    def _encode_head(self, status, fields):
        if self.closing_:
            fields = [*fields, (b"Connection", b"close")]
        return self._http.send(h11.Response(status_code=status, headers=fields))

    def send_data(self, data):
        """Send a part of the body.

        :raises ClientGoneError: if the client takes no bytes.
        """
        self._send(h11.Data(data=data))

    def finish(self):
        """End the response as complete."""
        self._send(h11.EndOfMessage())

    def _send(self, event):
        self._write(self._http.send(event))

    def _write(self, data):
        try:
            self.sock.settimeout(self.send_timeout_s)
            self.sock.sendall(data)
        except OSError as error:
            raise ClientGoneError(str(error)) from error
        finally:
            self.sock.settimeout(None)

    def has_started(self):
        """Return whether a response was begun."""
        return self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def next_cycle(self):
        """Prepare for the next request.

        :returns: whether the connection may carry one.
        """
        if self.closing_ or self.gone_:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    def close(self):
        """Close after a complete response; bytes still on their way are discarded first."""
        deadline = time.monotonic() + LINGER_S
        received = 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while not self.gone_ and received < LINGER_BYTES:
                received += len(self._take(deadline))
        except OSError:
            pass  # the peer is gone or keeps sending; the socket is closed either way
        self.abort()

    def abort(self):
        """Close at once; a response that was begun stays visibly incomplete."""
        if self._reader is not gevent.getcurrent():
            self._reader.kill(block=False)
        self.sock.close()
