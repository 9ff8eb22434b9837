"""HTTP/1.1 client connection to an upstream, with one exchange at a time."""

import contextlib
import errno
import re
import socket
import time

import gevent
import h11
from gevent import socket as gsocket

from sassafrashook.http1._messages import (
    BLANK_LINE,
    Headers,
    ResponseHead,
    UpstreamResponseError,
)
from sassafrashook.outcomes import is_response_status
from sassafrashook.tasks import spawn_contained
from sassafrashook.utils import parse_integer

RECEIVE_BYTES = 65_536
# All connections receive into this buffer: the bytes are copied before another task runs. A new
# buffer of this size for each receive would get a mapping of its own.
RECEIVED = memoryview(bytearray(RECEIVE_BYTES))
CONTINUATION_LINE = re.compile(rb"\n[ \t]")
# Other tasks run after this time of parsing: data that has arrived is received without a wait.
MAX_PARSING_S = 0.002
MIN_BLOCKED_S = 0.0005  # other tasks ran during a receive that took this time
MAX_INLINE_SEND_BYTES = 16_384  # a task sends longer requests while the response is being read
MAX_HEAD_BYTES = 65_536
MAX_INFORMATIONAL_RESPONSES = 16  # before the response to one request
MAX_DISCARDED_BYTES = 1_048_576  # of the body of a response to an earlier request
MIN_TIMEOUT_S = 0.001
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 1_000  # closes a connection whose data the upstream's host does not ack
# Only this fraction of the upstream's Keep-Alive timeout is used, because the value is rounded and
# the upstream measures it by another clock.
IDLE_TIMEOUT_FRACTION = 0.75
MAX_IDLE_TIMEOUT_S = 86_400
IDLE_TIMEOUT_MARGIN_S = 0.25  # allows for the time in which a request travels to the upstream
# An upstream that states no Keep-Alive timeout may close a connection that was idle for any whole
# number of seconds, so after 1 s at the earliest.
DEFAULT_IDLE_TIMEOUT_S = 0.8


class UpstreamConnection:
    """A TCP connection to an upstream.

    :param address: ``(host, port)``.
    :param connect_timeout_s: longest time that opening it may take, in seconds.
    :param source_host: IP address to connect from, ``None`` for any.
    :raises OSError: if it can't be opened; nothing has been sent in that case.

    :ivar opened_at: when it was opened, in monotonic seconds.
    :ivar is_broken_: whether sending failed, or this router shut the connection down.
    :ivar is_ended_: whether the upstream closed the connection during the last response. If that is
        complete, only the end of the connection ended it.
    :ivar idle_deadline_: time after which the connection is not reused, in monotonic seconds.
    :ivar idle_since_: time at which the last exchange ended, in monotonic seconds.
    """

    def __init__(self, address, connect_timeout_s, source_host=None):
        self.address = address
        self.sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.is_broken_ = False
        self._send_error = None
        self.is_ended_ = False
        self.idle_deadline_ = 0.0
        self.idle_since_ = 0.0
        self._writer = None
        self._yield_at = 0.0
        self._unparsed_head = bytearray()
        try:
            self._set_socket_options()
            if source_host is not None:
                self.sock.bind((source_host, 0))
            self.sock.settimeout(connect_timeout_s)
            self.sock.connect(address)
        except BaseException:
            self.sock.close()
            raise
        self.opened_at = time.monotonic()

    def _set_socket_options(self):
        sock = self.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def send_request(self, method, target, fields, body):
        """Send a request.

        A long request is sent by a separate task, so that the response can be read meanwhile.

        :param method: request method, ``bytes``.
        :param target: path and query, ``bytes``.
        :param fields: header pairs of ``bytes``, without Content-Length and Transfer-Encoding.
        :param body: the whole body, ``bytes`` or ``bytearray``.
        :raises OSError: if the connection breaks; the upstream may have received a part.
        """
        framed_fields = [*fields, (b"Content-Length", str(len(body)).encode())]
        if not body and method in (b"GET", b"HEAD", b"DELETE"):
            framed_fields = fields
        self._request = h11.Request(method=method, target=target, headers=framed_fields)
        self._body = body
        parts = self._start_exchange()
        self.sock.settimeout(None)
        if sum(map(len, parts)) <= MAX_INLINE_SEND_BYTES:
            self.sock.sendall(b"".join(parts))
        else:
            self._writer = spawn_contained(self._record_send_failure, self._send_all, parts)

    def _start_exchange(self, unparsed=b""):
        """Create a new parser for a response to the current request.

        :param unparsed: received bytes that the previous parser has not consumed.
        :returns: list of the parts of the encoded request; the body is not copied.
        """
        self._yield_at = time.monotonic() + MAX_PARSING_S
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        parts = [self._http.send(self._request)]
        if self._body:
            parts += self._http.send_with_data_passthrough(h11.Data(data=self._body))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._unparsed_head.clear()
        if unparsed:
            self._parse(unparsed)
        return parts

    def _parse(self, data):
        if self._http.their_state is h11.SEND_RESPONSE:
            self._unparsed_head += data
        self._http.receive_data(data)

    def _check_head_lines(self):
        """Check that no line of the head that was parsed last continues the one before it.

        The parser joins such a line to the value of the field before it, so that the framing that
        it may state would be lost.

        :raises UpstreamResponseError: if there is one.
        """
        end = BLANK_LINE.search(self._unparsed_head).end()
        if CONTINUATION_LINE.search(self._unparsed_head, 0, end):
            raise UpstreamResponseError("a header line begins with white space")
        del self._unparsed_head[:end]

    def _send_all(self, parts):
        try:
            for part in parts:
                self.sock.sendall(part)
        except OSError as error:
            self._record_send_failure(error)

    def _record_send_failure(self, error):
        self.is_broken_ = True  # the reading task reports it
        self._send_error = error

    def read_head(self, is_expected, deadline):
        """Read the head of the response.

        :param is_expected: called with a :class:`ResponseHead`; a response for which it returns
            false belongs to an earlier exchange and is discarded.
        :param deadline: monotonic seconds.
        :returns: the :class:`ResponseHead` of the expected response.
        :raises TimeoutError: at the deadline.
        :raises UpstreamResponseError: if the response breaks off, is not valid HTTP, or the
            upstream's host no longer acknowledges packets.
        """
        informational_count = 0
        while True:
            event = self._next_event(deadline)
            if isinstance(event, (h11.InformationalResponse, h11.Response)):
                self._check_head_lines()
            if isinstance(event, h11.InformationalResponse):
                informational_count += 1
                if informational_count > MAX_INFORMATIONAL_RESPONSES:
                    raise UpstreamResponseError("too many informational responses")
                continue
            if not isinstance(event, h11.Response):
                raise UpstreamResponseError("connection closed before the response")
            self._unparsed_head.clear()  # the rest belongs to the body
            if not is_response_status(event.status_code):
                raise UpstreamResponseError(f"invalid status {event.status_code:03}")
            fields = [(bytes(name), bytes(value)) for name, value in event.headers.raw_items()]
            head = ResponseHead(event.status_code, Headers(fields))
            if is_expected(head):
                return head
            self._discard_response(deadline)

    def _discard_response(self, deadline):
        """Read the current response to its end and prepare to parse the next one."""
        size = 0
        while (data := self.read_data(deadline)) is not None:
            size += len(data)
            if size > MAX_DISCARDED_BYTES:
                raise UpstreamResponseError("response to an earlier request is too long")
        unparsed = bytes(self._http.trailing_data[0])
        self._start_exchange(unparsed)

    def read_data(self, deadline):
        """Read the next part of the body.

        :param deadline: monotonic seconds.
        :returns: ``bytes``, or ``None`` once the response is complete.
        :raises TimeoutError: at the deadline.
        :raises UpstreamResponseError: if the response ends early.
        """
        event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamResponseError("connection closed within the response")

    def _next_event(self, deadline):
        self._yield_after_parsing()
        while True:
            is_before_head = self._http.their_state is h11.SEND_RESPONSE
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if self.is_ended_ and is_before_head:
                    text = "the upstream closed the connection before a complete response head"
                    raise UpstreamResponseError(text) from error
                raise UpstreamResponseError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            data = self._receive(deadline)
            self.is_ended_ = not data
            if self.is_ended_:
                self._check_end()
            try:
                self._parse(data)
            except RuntimeError as error:
                raise UpstreamResponseError("connection closed within the response") from error

    def _check_end(self):
        """Check that the upstream has closed the connection, rather than that it broke.

        The kernel reports an error of a socket once. If it did so to the task that sends the
        request, this one receives no data, as if the upstream had closed the connection.

        :raises UpstreamResponseError: if the connection is broken.
        """
        if self.is_broken_:
            cause = self._send_error or "shut down by this router"
            raise UpstreamResponseError(f"connection broken: {cause}") from self._send_error

    def _yield_after_parsing(self):
        """Let other tasks run if this one has parsed for long."""
        if time.monotonic() >= self._yield_at:
            gevent.sleep(0)
            self._yield_at = time.monotonic() + MAX_PARSING_S

    def _receive(self, deadline):
        began_at = time.monotonic()
        remaining_s = deadline - began_at
        if remaining_s <= 0:
            raise TimeoutError("the upstream did not respond before the deadline")
        self.sock.settimeout(max(remaining_s, MIN_TIMEOUT_S))
        try:
            data = bytes(RECEIVED[: self.sock.recv_into(RECEIVED)])
            now = time.monotonic()
            if now >= began_at + MIN_BLOCKED_S:
                self._yield_at = now + MAX_PARSING_S
            return data
        except TimeoutError as error:
            # Before the deadline, the kernel reports a host that acknowledges no packets.
            if time.monotonic() >= deadline - MIN_TIMEOUT_S:
                raise
            raise UpstreamResponseError("the upstream's host does not answer") from error
        except OSError as error:
            if error.errno == errno.EBADF:
                raise UpstreamResponseError("this router closed the connection") from error
            raise UpstreamResponseError(f"reset: {error}") from error

    def is_reusable(self):
        """Return whether the exchange is complete and the connection can carry another one."""
        if (
            self.is_broken_
            or self.is_ended_
            or (self._writer is not None and not self._writer.ready())
        ):
            return False
        http = self._http
        is_complete = http.our_state is h11.DONE and http.their_state is h11.DONE
        return is_complete and not http.trailing_data[0]

    def mark_idle(self, now, keep_alive=""):
        """Record that no exchange is in progress and until when the connection may be used.

        :param now: monotonic seconds.
        :param keep_alive: Keep-Alive header of the last response, empty if there is none.
        """
        idle_timeout_s = _parse_idle_timeout_s(keep_alive)
        self.idle_since_ = now
        self.idle_deadline_ = now + idle_timeout_s

    def is_open_without_data(self):
        """Return whether the idle connection is open and has no unexpected data to read."""
        try:
            self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self):
        """Shut the connection down from another task, which ends a blocked read."""
        self.is_broken_ = True
        with contextlib.suppress(OSError):  # the upstream has already closed it
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Close the connection; the upstream cancels a request whose connection closes."""
        if self._writer is not None and self._writer is not gevent.getcurrent():
            self._writer.kill(block=False)
        self.sock.close()


def _parse_idle_timeout_s(keep_alive):
    """Return how long an idle connection may be reused, in seconds.

    :param keep_alive: value of the Keep-Alive header, empty if there is none.
    """
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        timeout_s = parse_integer(value, MAX_IDLE_TIMEOUT_S, is_capped=True)
        if name.lower() == "timeout" and timeout_s is not None:
            return max(0.0, timeout_s * IDLE_TIMEOUT_FRACTION - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
