"""Carries events from an upstream to a caller without a switch of greenlets for each event."""

from gevent.event import Event
from geventhttpclient.response import HTTPParseError

from sassafrashook.proxy._events import StreamError

__all__ = ["StreamPump"]


class StreamPump:
    """Relays whole events from the loop's callback while its greenlet sleeps.

    It stops, and wakes the greenlet, as soon as anything but a whole event and a whole write
    happens: the end, a broken stream, a caller that does not keep up.

    :param exchange: an :class:`~sassafrashook.proxy._exchanges.Exchange` in mid-stream.
    :param scanner: an :class:`~sassafrashook.proxy._events.EventScanner`.
    :param send: sends bytes without waiting, and returns how many were taken.
    :param note: told the bytes of whole events before they are sent.

    Attributes: ``rest_``, bytes of the last chunk that were
    not taken; ``failure_``, why the stream broke; ``send_error_``, why the caller's socket did.
    """

    __slots__ = (
        "connection",
        "exchange",
        "failure_",
        "note",
        "rest_",
        "scanner",
        "send",
        "send_error_",
        "_stopped",
    )

    def __init__(self, exchange, scanner, send, note):
        self.exchange = exchange
        self.connection = exchange.connection
        self.scanner = scanner
        self.send = send
        self.note = note
        self.rest_ = b""
        self.failure_ = None
        self.send_error_ = None
        self._stopped = Event()

    def run(self):
        """Relay until something else is to be done."""
        self.exchange.extend_deadline()
        readable = self.connection.readable
        readable.start(self._relay)
        try:
            self._stopped.wait()
        finally:
            readable.stop()

    def _relay(self):
        try:
            events = self._receive()
        except BlockingIOError:
            return
        except (OSError, HTTPParseError) as error:
            self.failure_ = self.exchange.fail(str(error))
        except StreamError as error:
            self.failure_ = self.exchange.fail_foreign(str(error))
        else:
            if events:
                self._send(events)
            if not (self.scanner.ended_ or self.exchange.response.message_complete):
                return
        self._stop()

    def _receive(self):
        connection = self.connection
        if not connection.receive_now():
            raise ConnectionResetError("connection closed in mid-answer")
        self.exchange.extend_deadline()
        data = connection.take_body()
        return self.scanner.push(data) if data else b""

    def _send(self, events):
        self.note(events)
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
            self.rest_ = chunk[sent:]
            self._stop()

    def _stop(self):
        self.connection.readable.stop()
        self._stopped.set()
