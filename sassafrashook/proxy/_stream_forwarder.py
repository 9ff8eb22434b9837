"""Forwards events from an upstream to a caller without a greenlet switch per event."""

from gevent.event import Event
from geventhttpclient.response import HTTPParseError

from sassafrashook.proxy._events import StreamError

__all__ = ["StreamForwarder"]


class StreamForwarder:
    """Forwards complete events in the event loop's I/O callback while its greenlet sleeps.

    Forwarding stops and the greenlet is woken when the stream ends or fails, when the caller's
    socket fails, or when it accepts only a part of a chunk.

    :param exchange: an :class:`~sassafrashook.proxy._exchanges.Exchange` whose response body is
        being received.
    :param scanner: an :class:`~sassafrashook.proxy._events.EventScanner`.
    :param send: non-blocking callable that sends bytes and returns the number accepted.
    :param on_events: callable given the bytes of complete events before they are sent.
    :ivar unsent_: bytes of the last chunk that the caller's socket did not accept.
    :ivar failure_: :class:`~sassafrashook.proxy._exchanges.ExchangeFailure` of the upstream
        stream, or ``None``.
    :ivar send_error_: ``OSError`` of the caller's socket, or ``None``.
    """

    __slots__ = (
        "connection",
        "exchange",
        "failure_",
        "on_events",
        "unsent_",
        "scanner",
        "send",
        "send_error_",
        "_stopped",
    )

    def __init__(self, exchange, scanner, send, on_events):
        self.exchange = exchange
        self.connection = exchange.connection
        self.scanner = scanner
        self.send = send
        self.on_events = on_events
        self.unsent_ = b""
        self.failure_ = None
        self.send_error_ = None
        self._stopped = Event()

    def forward(self):
        """Forward events until the stream ends, fails or exceeds the caller's send buffer."""
        self.exchange.reset_receive_deadline()
        readable = self.connection.readable
        readable.start(self._forward_readable)
        try:
            self._stopped.wait()
        finally:
            readable.stop()

    def _forward_readable(self):
        try:
            events = self._receive()
        except BlockingIOError:
            return
        except (OSError, HTTPParseError) as error:
            self.failure_ = self.exchange.build_connection_failure(str(error))
        except StreamError as error:
            self.failure_ = self.exchange.build_invalid_response_failure(str(error))
        else:
            if events:
                self._send(events)
            if not (self.scanner.ended_ or self.exchange.response.message_complete):
                return
        self._stop()

    def _receive(self):
        connection = self.connection
        if not connection.receive_now():
            raise ConnectionResetError("connection closed before the end of the response")
        self.exchange.reset_receive_deadline()
        data = connection.take_body()
        return self.scanner.push(data) if data else b""

    def _send(self, events):
        self.on_events(events)
        chunk = b"%x\r\n%b\r\n" % (len(events), events)
        try:
            sent = self.send(chunk)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.send_error_ = error
            self._stop()
            return
        if sent < len(chunk):
            self.unsent_ = chunk[sent:]
            self._stop()

    def _stop(self):
        self.connection.readable.stop()
        self._stopped.set()
