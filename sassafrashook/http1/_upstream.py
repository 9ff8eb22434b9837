"""One connection to an upstream: one exchange at a time."""

import socket
import time

import gevent
import h11
from gevent import socket as gsocket

from sassafrashook.http1._messages import Headers, IncompleteError, ResponseHead
from sassafrashook.tasks import spawn_task

RECEIVE_BYTES = 65_536
INLINE_BODY_BYTES = 16_384  # longer bodies are written by a task, beside reading the response
MAX_HEAD_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 1_000  # data that the peer's host does not acknowledge ends the connection
IDLE_SHARE = 0.75  # of the stated time, for its end is rounded and measured by another clock
IDLE_MARGIN_S = 0.25  # for the request's way
DEFAULT_IDLE_S = 0.8  # an upstream that states no time may close at any whole second


class UpstreamConnection:
    """Owns one TCP connection to an upstream.

    :param address: ``(host, port)``.
    :param connect_timeout_s: how long opening it may take.
    :raises OSError: if it can't be opened; nothing was sent then.

    :ivar idle_deadline_: monotonic seconds after which it is not reused.
    :ivar idle_since_: monotonic seconds since which it is unused.
    """

    def __init__(self, address, connect_timeout_s):
        self.address = address
        self.sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.broken_ = False
        self.idle_deadline_ = 0.0
        self.idle_since_ = 0.0
        self._writer = None
        try:
            self._set_options()
            self.sock.settimeout(connect_timeout_s)
            self.sock.connect(address)
        except BaseException:
            self.sock.close()
            raise

    def _set_options(self):
        sock = self.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def send_request(self, method, target, fields, body):
        """Send a request; a long body is written while the response may already be read.

        :param fields: header pairs, ``bytes``, without those of framing.
        :raises OSError: if the connection broke; part of the request may have arrived.
        """
        framed = [*fields, (b"Content-Length", str(len(body)).encode())]
        if not body and method in (b"GET", b"HEAD", b"DELETE"):
            framed = fields
        self._request = h11.Request(method=method, target=target, headers=framed)
        self._body = body
        data = self._restart()
        self.sock.settimeout(None)
        if len(data) <= INLINE_BODY_BYTES:
            self.sock.sendall(data)
        else:
            self._writer = spawn_task(self._write, data)

    def _restart(self, leftover=b""):
        """Begin to parse a response to the current request; return the request's bytes."""
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        data = self._http.send(self._request)
        if self._body:
            data += self._http.send(h11.Data(data=self._body))
        data += self._http.send(h11.EndOfMessage())
        if leftover:
            self._http.receive_data(leftover)
        return data

    def _write(self, data):
        try:
            self.sock.sendall(data)
        except OSError:
            self.broken_ = True  # the reader sees the end of the connection and reports it

    def read_head(self, is_awaited, deadline):
        """Read the head of the response.

        :param is_awaited: called with a :class:`ResponseHead`; a response that it refuses is the
            late one of an earlier exchange and is discarded.
        :param deadline: monotonic seconds.
        :raises TimeoutError: at the deadline.
        :raises IncompleteError: if the upstream closed or sent what is not HTTP.
        """
        while True:
            event = self._next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise IncompleteError("closed before the response")
            fields = [(bytes(name), bytes(value)) for name, value in event.headers.raw_items()]
            head = ResponseHead(event.status_code, Headers(fields))
            if is_awaited(head):
                return head
            self._skip_body(deadline)

    def _skip_body(self, deadline):
        while self.read_data(deadline) is not None:
            pass
        leftover = bytes(self._http.trailing_data[0])
        self._restart(leftover)

    def read_data(self, deadline):
        """Read a part of the body.

        :returns: ``bytes``, or ``None`` once the response is complete.
        :raises TimeoutError: at the deadline.
        :raises IncompleteError: if the response ended early.
        """
        event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise IncompleteError("closed within the response")

    def _next_event(self, deadline):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise IncompleteError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            data = self._receive(deadline)
            try:
                self._http.receive_data(data)
            except RuntimeError as error:
                raise IncompleteError("closed within the response") from error

    def _receive(self, deadline):
        left = deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("the upstream did not answer in time")
        self.sock.settimeout(max(left, MIN_TIMEOUT_S))
        try:
            return self.sock.recv(RECEIVE_BYTES)
        except TimeoutError as error:
            if time.monotonic() >= deadline - MIN_TIMEOUT_S:
                raise
            raise IncompleteError("the upstream's host does not answer") from error
        except OSError as error:
            raise IncompleteError(f"reset: {error}") from error

    def is_reusable(self):
        """Return whether the exchange is complete and the connection may carry another one."""
        if self.broken_ or (self._writer is not None and not self._writer.ready()):
            return False
        http = self._http
        is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
        return is_done and not http.trailing_data[0]

    def set_idle(self, head, now):
        """Note when the exchange ended and how long the upstream keeps the connection.

        :param head: the last :class:`ResponseHead`.
        :param now: monotonic seconds.
        """
        idle_s = _read_idle_s(head.headers.get(b"keep-alive", ""))
        self.idle_since_ = now
        self.idle_deadline_ = now + idle_s

    def is_quiet(self):
        """Return whether the idle connection is open and nothing has arrived on it."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self):
        """Wake whoever reads, from another task."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            self.broken_ = True  # already closed by the peer

    def close(self):
        """Close the connection; an upstream drops a request whose connection closes."""
        if self._writer is not None and self._writer is not gevent.getcurrent():
            self._writer.kill(block=False)
        self.sock.close()


def _read_idle_s(text):
    """Return how long an idle connection may be reused, from a Keep-Alive header, seconds."""
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return max(0.0, int(value) * IDLE_SHARE - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
