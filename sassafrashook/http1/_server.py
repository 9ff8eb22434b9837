"""HTTP/1.1 server side of a client's connection."""

import re
import socket
import time

import gevent
import h11
from gevent.event import Event

from sassafrashook.clients import (
    MAX_LARGE_UNREAD_BYTES,
    MAX_UNREAD_BYTES,
    RECEIVE_BUFFER_BYTES,
    SCARCE_PAUSE_S,
    ClientPhase,
    EvictionReason,
    resize_receive_buffer,
)
from sassafrashook.http1._chunks import ChunkDecoder, ChunkError
from sassafrashook.http1._messages import (
    BLANK_LINE,
    Headers,
    InvalidRequestError,
    MemoryLimitError,
    RequestHead,
)
from sassafrashook.tasks import spawn_contained
from sassafrashook.utils import normalize_host

MAX_UNPARSED_BYTES = 16_384  # the receiving task pauses while as many bytes wait to be parsed
# The header of a chunk is read as a whole, and may be as long as the head of a request.
MIN_UNPARSED_BYTES_BEYOND_HEADER = 1_024
# All connections receive into this buffer: the bytes are moved on before another task runs.
RECEIVED = memoryview(bytearray(MAX_UNPARSED_BYTES))
# Other tasks run after each slice of a body.
SLICE_BYTES = 16_384
SLICE_CHUNKS = 256
# Memory of one header field beyond its bytes: a tuple and two objects, in two lists and a table.
FIELD_BYTES = 320
MIN_RECORDED_BYTES = 16_384  # shorter events of a stream are not counted while they are sent
MIN_SPLIT_BODY_BYTES = 65_536  # longer responses are sent without a copy
# Before closing, unread bytes are discarded for up to this time or size, since closing a socket
# with unread bytes resets the connection and the client may lose the last response.
LINGER_S = 1.0
MIN_TIMEOUT_S = 0.001  # with a timeout of 0 the socket would not wait at all
MAX_LINGER_BYTES = 8 * 1024 * 1024
HOST_FIELD = re.compile(rb"\nhost:", re.IGNORECASE)
BLANK_LINE_OVERLAP = 2  # bytes of a blank line that may have been parsed before its end arrives
IDLE_POLL_INTERVAL_S = 0.25  # longest delay until an idle connection notices that the server stops
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413
STATUS_HEADER_TOO_LARGE = 431
STATUS_BAD_REQUEST = 400


class ClientDisconnectedError(OSError):
    """Raised when the client has closed or reset its connection, or a send has timed out."""


class ServerConnection:
    """An accepted client connection that reads requests and sends responses.

    A separate task receives all the time, so that a disconnect is detected while a request runs.

    :param sock: the accepted gevent socket.
    :param max_header_bytes: largest size of a request head, in bytes.
    :param send_timeout_s: longest time that one send may take before the client counts as
        disconnected, in seconds.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` that the connection uses, or
        ``None`` for no limits.
    :param is_host_optional: whether a request may lack the Host field, as probes of simple load
        balancers do.

    :ivar is_admitted_: whether the budget has room; otherwise the connection must be closed.
    :ivar is_disconnected_: whether the client has closed or reset the connection.
    :ivar should_close_: whether the connection closes after the current response.
    :ivar on_disconnect: called without arguments when the client disconnects, or ``None``.
    """

    def __init__(self, sock, max_header_bytes, send_timeout_s, budget=None, is_host_optional=False):
        self.sock = sock
        self.max_header_bytes = max_header_bytes
        self.send_timeout_s = send_timeout_s
        self.is_host_optional = is_host_optional
        self.is_disconnected_ = False
        self.should_close_ = False
        self.on_disconnect = None
        self._set_max_header_bytes(max_header_bytes)
        self._unparsed = bytearray()
        self._body = bytearray()
        self._is_chunked = False
        self._content_length = 0
        self._parsed_head_bytes = 0
        self._head_bytes = 0  # memory of the head of the current request
        self._response_bytes = 0  # memory of the response that is being read or sent
        self._is_head = False  # whether the current request asks for a response without a body
        self._is_refused = False  # evicted while a request was being read
        self._is_discarding = False
        self._discarded_bytes = 0
        self._has_large_buffer = False
        self._data_received = Event()
        self._data_consumed = Event()
        self._share = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.is_admitted_ = True
        if budget is not None:
            self._share = budget.open_share(self._evict, time.monotonic())
            self.is_admitted_ = self._share is not None
        self._receiver = spawn_contained(self._record_end, self._receive_until_closed)

    def limit_header(self, max_header_bytes):
        """Change the largest size of a request head, between two requests.

        :param max_header_bytes: the size, in bytes.
        """
        if max_header_bytes != self.max_header_bytes and not self._http.trailing_data[0]:
            self._set_max_header_bytes(max_header_bytes)

    def _set_max_header_bytes(self, max_header_bytes):
        """Use a new parser, since a parser keeps its limit."""
        self.max_header_bytes = max_header_bytes
        self._max_unparsed_bytes = max(
            MAX_UNPARSED_BYTES, max_header_bytes + MIN_UNPARSED_BYTES_BEYOND_HEADER
        )
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_header_bytes)

    def _receive_until_closed(self):
        while True:
            room = self._max_unparsed_bytes - len(self._unparsed)
            if room <= 0:
                self._data_consumed.clear()
                self._data_consumed.wait()
                continue
            if self._share is not None and self._share.is_exceeded():
                gevent.sleep(SCARCE_PAUSE_S)
            try:
                size = self.sock.recv_into(RECEIVED, min(room, len(RECEIVED)))
            except OSError:
                size = 0
            if not size:
                break
            if self._is_discarding:
                self._discarded_bytes += size
                gevent.sleep(0)
            else:
                self._unparsed += RECEIVED[:size]
                self._record_held()
            self._data_received.set()
        self._record_end()

    def _record_end(self, _error=None):
        """Record that nothing is received any more, and tell whoever serves the request."""
        self.is_disconnected_ = True
        self._data_received.set()
        if self.on_disconnect is not None:
            self.on_disconnect()

    def _record_held(self):
        """Record in the budget how much the connection holds.

        :returns: whether the connection may go on; otherwise it has been evicted.
        """
        if self._share is None or self._is_discarding:
            return True
        held_bytes = len(self._unparsed) + len(self._body) + self._head_bytes
        if self._has_large_buffer:
            held_bytes += MAX_LARGE_UNREAD_BYTES - MAX_UNREAD_BYTES
        return self._share.hold(held_bytes + self._response_bytes, time.monotonic())

    def _resize_receive_buffer(self, is_large):
        """Let the kernel hold more for a client that sends a body, where there is room for it."""
        if self._share is None or is_large == self._has_large_buffer:
            return
        if is_large and not self._share.is_ample():
            return
        resize_receive_buffer(self.sock, is_large)
        self._has_large_buffer = is_large

    def begin_phase(self, phase):
        """Record in the budget what the connection does.

        :param phase: a :class:`~sassafrashook.clients.ClientPhase`.
        """
        if self._share is not None:
            self._share.begin(phase, time.monotonic())

    def reserve_response(self, size):
        """Record in the budget how much of a response is held for the client.

        :param size: bytes.
        :raises ClientDisconnectedError: if the connection has been evicted.
        """
        if self._share is not None:
            self._response_bytes = size
            if not self._record_held():
                raise ClientDisconnectedError("the connection was evicted")
            if size and self._share.is_scarce():
                gevent.sleep(SCARCE_PAUSE_S)

    def _evict(self, reason):
        """Release what the connection holds, and refuse its request or close the connection."""
        is_reading = self._share is not None and self._share.phase_ is ClientPhase.READING
        self._unparsed.clear()
        if is_reading:
            self._body.clear()
        if is_reading and reason is EvictionReason.MEMORY:
            self._is_refused = True
            self._resize_receive_buffer(False)
        else:
            # Closed at once, not by the tasks of the connection, which may get their turn late.
            # They find the socket closed, and the receiving one reports it.
            self.is_disconnected_ = True
            self.sock.close()
        self._record_held()
        self._data_received.set()
        self._data_consumed.set()

    def _check_refused(self):
        """Raise an error if the budget has refused the request that is being read."""
        if self._is_refused:
            raise MemoryLimitError("the memory for clients is used up")

    def _wait_for_data(self, deadline):
        """Wait until bytes have been received that are not parsed yet.

        :param deadline: monotonic seconds.
        :returns: whether there are any; otherwise the client has disconnected.
        :raises TimeoutError: at the deadline.
        """
        return self._wait_for_more(0, deadline)

    def _wait_for_more(self, size, deadline):
        """Wait until more than ``size`` bytes wait to be parsed, as :meth:`_wait_for_data`."""
        while len(self._unparsed) <= size:
            self._check_refused()
            if self.is_disconnected_:
                return False
            self._data_received.clear()
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or not self._data_received.wait(remaining_s):
                raise TimeoutError("no data received before the deadline")
        return True

    def _take_unparsed(self, size):
        """Take bytes off the received ones and let the receiving task go on."""
        data = bytes(self._unparsed[:size])
        del self._unparsed[:size]
        self._data_consumed.set()
        return data

    @property
    def http_version(self):
        """Version of HTTP that the client uses, such as ``1.1``."""
        return (self._http.their_http_version or b"1.1").decode("ascii")

    @property
    def address(self):
        """IP address of the client, empty if it has disconnected."""
        try:
            return self.sock.getpeername()[0]
        except OSError:
            return ""

    @property
    def local_address(self):
        """Pair of host and port that the client has connected to, empty once it is closed."""
        try:
            return self.sock.getsockname()[:2]
        except OSError:
            return "", 0

    def has_body(self):
        """Return whether a body follows the head that was read last."""
        return self._is_chunked or self._content_length > 0

    def expects_at_most(self, max_bytes):
        """Return whether the client sends a body of a stated length, at most ``max_bytes``."""
        if self._is_chunked or self._http.they_are_waiting_for_100_continue:
            return False
        return self._content_length <= max_bytes

    def has_received_data(self):
        """Return whether a part of the next request has been received."""
        return bool(self._unparsed) or bool(self._http.trailing_data[0])

    def wait_for_request(self, deadline, is_stopping):
        """Wait for the first bytes of the next request.

        :param deadline: time until which the connection may stay idle, in monotonic seconds.
        :param is_stopping: called without arguments; the wait ends once it returns true. ``None``
            to wait until the deadline.
        :returns: whether bytes of a request have been received.
        """
        if self.has_received_data():
            gevent.sleep(0)  # the client sends requests without waiting for the responses
        while not self.has_received_data():
            remaining_s = deadline - time.monotonic()
            if self.is_disconnected_ or remaining_s <= 0:
                return False
            if is_stopping is not None:
                if is_stopping():
                    return False
                remaining_s = min(remaining_s, IDLE_POLL_INTERVAL_S)
            self._data_received.clear()
            if not self._unparsed and not self.is_disconnected_:
                self._data_received.wait(remaining_s)
        return True

    def read_head(self, deadline):
        """Read the head of a request.

        :param deadline: monotonic seconds.
        :returns: a :class:`RequestHead`, or ``None`` if the client disconnected before the head
            was complete.
        :raises InvalidRequestError: if it is malformed, too large or incomplete at the deadline.
        """
        self.begin_phase(ClientPhase.READING)
        self._is_head = False
        if self.is_host_optional:
            self._add_missing_host(deadline)
        event = self._read_to_blank_line(deadline)
        if not isinstance(event, h11.Request):
            return None
        fields = [(bytes(name), bytes(value)) for name, value in event.headers.raw_items()]
        headers = Headers(fields)
        self._head_bytes = FIELD_BYTES * len(fields) + 2 * self._parsed_head_bytes
        self._is_head = event.method == b"HEAD"
        self._is_chunked = b"transfer-encoding" in headers
        self._content_length = 0 if self._is_chunked else int(headers.get(b"content-length", "0"))
        self._record_held()
        self._check_refused()
        if b"transfer-encoding" in headers and b"content-length" in headers:
            # RFC 9112 section 6.1: with ambiguous framing, whatever follows on the connection
            # could be a smuggled request.
            self.should_close_ = True
        host = normalize_host(headers.get(b"host", ""))
        path = event.target.partition(b"?")[0].decode("latin-1")
        return RequestHead(bytes(event.method), bytes(event.target), headers, path, host)

    def _add_missing_host(self, deadline):
        """Wait for the whole head, and add an empty Host field if it has none."""
        searched, blank_line = 0, None
        while blank_line is None and searched <= self.max_header_bytes:
            try:
                if not self._wait_for_more(searched, deadline):
                    return
            except TimeoutError as error:
                raise self._make_timeout_error() from error
            begin = max(0, searched - BLANK_LINE_OVERLAP)
            searched = len(self._unparsed)
            blank_line = BLANK_LINE.search(self._unparsed, begin)
        if blank_line and not HOST_FIELD.search(self._unparsed, 0, blank_line.end()):
            position = blank_line.start() + 1
            self._unparsed[position:position] = b"Host:\r\n"

    def read_body(self, max_bytes, deadline):
        """Read the whole body of a request.

        :param max_bytes: largest size of the body, in bytes.
        :param deadline: monotonic seconds.
        :returns: ``bytearray``.
        :raises InvalidRequestError: if it is malformed, too large or incomplete at the deadline.
        :raises ClientDisconnectedError: if the client disconnects before the end of the body.
        """
        if self._content_length > max_bytes:
            raise InvalidRequestError(STATUS_CONTENT_TOO_LARGE, "the body is too large")
        if self._http.they_are_waiting_for_100_continue:
            self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._body = bytearray()
        if self._content_length > RECEIVE_BUFFER_BYTES:
            self._resize_receive_buffer(True)
        if self._is_chunked and not self._http.trailing_data[0]:
            self._read_chunks(body, max_bytes, deadline)
        while True:
            event = self._next_body_event(deadline)
            self._check_refused()
            if isinstance(event, h11.EndOfMessage):
                self._resize_receive_buffer(False)
                self.begin_phase(ClientPhase.RUNNING)
                self._record_held()
                return body
            if not isinstance(event, h11.Data):
                raise ClientDisconnectedError("disconnected before the end of the request")
            body += event.data
            self._check_body(body, max_bytes)

    def convert_body(self):
        """Return the body that was read, as ``bytes`` that take its place."""
        self._body = bytes(self._body)
        return self._body

    def _check_body(self, body, max_bytes):
        """Raise an error if the body is too large or the budget has no room for it."""
        if len(body) > max_bytes:
            raise InvalidRequestError(STATUS_CONTENT_TOO_LARGE, "the body is too large")
        if self._is_chunked and len(body) > RECEIVE_BUFFER_BYTES:
            self._resize_receive_buffer(True)
        self._record_held()
        self._check_refused()

    def _read_chunks(self, body, max_bytes, deadline):
        """Read all chunks but the last one, whose trailers h11 parses."""
        decoder = ChunkDecoder(body, self.max_header_bytes)
        while True:
            try:
                has_decoded = decoder.decode(self._unparsed, SLICE_BYTES, SLICE_CHUNKS)
            except ChunkError as error:
                raise InvalidRequestError(STATUS_BAD_REQUEST, str(error)) from error
            self._data_consumed.set()
            self._check_body(body, max_bytes)
            if decoder.is_at_end_:
                return
            try:
                if not has_decoded and not self._wait_for_more(len(self._unparsed), deadline):
                    raise ClientDisconnectedError("disconnected before the end of the request")
            except TimeoutError as error:
                raise self._make_timeout_error() from error
            if has_decoded and self._unparsed:
                gevent.sleep(0)
                self._check_refused()
                if time.monotonic() >= deadline:
                    raise self._make_timeout_error()

    def _next_body_event(self, deadline):
        """Return h11's next event of the body; ``None`` if the client disconnects first."""
        if self._is_chunked:
            return self._read_to_blank_line(deadline)
        while True:
            missing = self._content_length - len(self._body)
            if missing > 0:  # the parser holds nothing of the body yet
                if not self._unparsed and not self._wait_until(deadline):
                    return None
                self._check_refused()
                self._http.receive_data(self._take_unparsed(missing))
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return None if event is h11.PAUSED else event

    def _read_to_blank_line(self, deadline):
        """Return h11's next event, parsing no further than the blank line that ends a head.

        :returns: the event, or ``None`` if the client disconnects first.
        """
        end = self._http.trailing_data[0][-BLANK_LINE_OVERLAP:]
        self._parsed_head_bytes = 0
        while True:
            event = self._parse_event() if end else h11.NEED_DATA
            if event is not h11.NEED_DATA:
                is_limited = self._share is not None
                if is_limited and self._parsed_head_bytes > self.max_header_bytes:
                    raise InvalidRequestError(STATUS_HEADER_TOO_LARGE, "the head is too large")
                return None if event is h11.PAUSED else event
            if not self._unparsed and not self._wait_until(deadline):
                return None
            self._check_refused()
            received = end + self._unparsed
            blank_line = BLANK_LINE.search(received)
            if blank_line and blank_line.end() > len(end):
                received = received[: blank_line.end()]
            data = received[len(end) :]
            del self._unparsed[: len(data)]
            self._data_consumed.set()
            end = received[-BLANK_LINE_OVERLAP:]
            self._parsed_head_bytes += len(data)
            self._http.receive_data(data)

    def _parse_event(self):
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise InvalidRequestError(status, str(error)) from error

    def _wait_until(self, deadline):
        """Wait for bytes; :returns: false if the client has disconnected.

        :raises InvalidRequestError: at the deadline.
        """
        try:
            return self._wait_for_data(deadline)
        except TimeoutError as error:
            raise self._make_timeout_error() from error

    def _make_timeout_error(self):
        return InvalidRequestError(STATUS_REQUEST_TIMEOUT, "the request was not complete in time")

    def send_response(self, status, fields, body, reason=b"", length=None):
        """Send a complete response with a Content-Length; without its body to a HEAD request.

        :param status: status code.
        :param fields: header pairs of ``bytes``, without Content-Length and Transfer-Encoding.
        :param body: ``bytes``.
        :param reason: phrase behind the status code, ``bytes``.
        :param length: the Content-Length to a HEAD request whose body is not known; ``None`` for
            the size of the body.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        length = len(body) if length is None or not self._is_head else length
        data = self._encode_head(status, [*fields, (b"Content-Length", b"%d" % length)], reason)
        if self._is_head:
            body = b""
        parts = []
        if body and self._http.our_state is h11.SEND_BODY:
            parts = self._http.send_with_data_passthrough(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        if len(body) < MIN_SPLIT_BODY_BYTES:
            data, parts = b"".join((data, *parts)), ()
        self._body = bytearray()  # the request has ended
        self.begin_phase(ClientPhase.SENDING)
        self._response_bytes = len(body)
        self._record_held()
        deadline = time.monotonic() + self.send_timeout_s
        for part in (data, *parts):
            self._send_bytes(part, deadline)
        self._response_bytes = 0

    def start_response(self, status, fields, length=None, data=b"", reason=b""):
        """Send the head of a response whose body follows in parts.

        :param status: status code.
        :param fields: header pairs of ``bytes``, without Content-Length and Transfer-Encoding.
        :param length: size of the body in bytes, ``None`` if it is not known: the body is chunked.
        :param data: first part of the body, ``bytes``.
        :param reason: phrase behind the status code, ``bytes``.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        framing = (b"Transfer-Encoding", b"chunked")
        if length is not None:
            framing = (b"Content-Length", b"%d" % length)
        encoded = self._encode_head(status, [*fields, framing], reason)
        if data and not self._is_head:
            encoded += self._http.send(h11.Data(data=data))
        self._send_bytes(encoded)

    def _encode_head(self, status, fields, reason):
        if self.should_close_:
            fields = [*fields, (b"Connection", b"close")]
        return self._http.send(h11.Response(status_code=status, headers=fields, reason=reason))

    def send_data(self, data):
        """Send a part of the body of a chunked response, unless it is one to a HEAD request.

        :param data: ``bytes``.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        if self._is_head:
            return
        if len(data) < MIN_RECORDED_BYTES:
            self._send_event(h11.Data(data=data))
            return
        self.reserve_response(len(data))
        self._send_event(h11.Data(data=data))
        self.reserve_response(0)

    def finish_response(self):
        """Send the end of a chunked response.

        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        self._send_event(h11.EndOfMessage())

    def send_encoded(self, data):
        """Send bytes of the body of a chunked response that are framed as chunks.

        :param data: ``bytes``.
        :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
        """
        self._send_bytes(data)

    def _send_event(self, event):
        self._send_bytes(self._http.send(event))

    def _send_bytes(self, data, deadline=None):
        timeout_s = self.send_timeout_s
        if deadline is not None:
            timeout_s = max(MIN_TIMEOUT_S, deadline - time.monotonic())
        try:
            self.sock.settimeout(timeout_s)
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
        self._body = bytearray()
        self._head_bytes = 0
        self.begin_phase(ClientPhase.IDLE)
        self._record_held()
        return True

    def close(self):
        """Close the connection gracefully after a complete response.

        Bytes that the client still sends are discarded first; see ``LINGER_S``.
        """
        deadline = time.monotonic() + LINGER_S
        self._is_refused = False
        self._discard_received()
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while not self.is_disconnected_ and self._discarded_bytes < MAX_LINGER_BYTES:
                self._data_received.clear()
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or not self._data_received.wait(remaining_s):
                    break
        except OSError:
            pass  # the client has disconnected; the socket is closed either way
        self.abort()

    def _discard_received(self):
        """Release what the connection holds; what it receives from now on is not kept."""
        self._unparsed.clear()
        self._body, self._head_bytes, self._response_bytes = bytearray(), 0, 0
        self._resize_receive_buffer(False)
        self._record_held()
        self._is_discarding = True
        self._data_consumed.set()
        self.begin_phase(ClientPhase.CLOSING)

    def abort(self):
        """Close the connection at once; the client sees a partly sent response as incomplete."""
        if self._receiver is not gevent.getcurrent():
            self._receiver.kill(block=False)
        self.sock.close()
        if self._share is not None:
            self._share.close()
