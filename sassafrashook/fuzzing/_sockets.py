"""Socket that plays a stream without a network."""

import gevent
from gevent.event import Event

from sassafrashook.fuzzing._streams import StreamEnd

__all__ = ["SEND_BUFFER_BYTES", "EndlessReceiveError", "ScriptedSocket"]

SEND_BUFFER_BYTES = 16_384
MAX_RECEIVES_AFTER_END = 10


class EndlessReceiveError(AssertionError):
    """Raised when a reader goes on receiving after the end of its connection."""


class ScriptedSocket:
    """Socket of a client whose peer sends a stream.

    :param stream: a :class:`ResponseStream`.

    :ivar received_bytes_: number of bytes that the client has received.
    """

    def __init__(self, stream):
        self._pieces = list(stream.pieces)
        self._end = stream.end
        self._is_reset = Event()
        self._receives_after_end = 0
        self.received_bytes_ = 0

    def connect(self, _address):
        """Do nothing: the connection is open."""

    def setsockopt(self, *_option):
        """Ignore an option."""

    def settimeout(self, _timeout_s):
        """Ignore a timeout: a silent peer is reported at once."""

    def sendall(self, data):
        """Accept data; more than the kernel's buffer holds waits for the reset, if there is one.

        :raises ConnectionResetError: if only the sender is told of the reset.
        """
        is_blocked = len(data) > SEND_BUFFER_BYTES
        if is_blocked and self._end is StreamEnd.RESET_WHILE_SENDING:
            self._is_reset.wait()
            raise ConnectionResetError("reset by the script")

    def recv(self, size):
        """Return the next piece, at most ``size`` bytes of it.

        :raises ConnectionResetError: after the last one, if the stream ends so.
        :raises TimeoutError: after the last one, if the peer is silent.
        :raises EndlessReceiveError: if the end has been reported often.
        """
        while self._pieces and not self._pieces[0]:
            self._pieces.pop(0)
        if self._pieces:
            data = self._pieces[0][:size]
            self._pieces[0] = self._pieces[0][size:]
            self.received_bytes_ += len(data)
            return data
        self._receives_after_end += 1
        if self._receives_after_end > MAX_RECEIVES_AFTER_END:
            raise EndlessReceiveError("received again and again after the end")
        if self._end is StreamEnd.RESET:
            raise ConnectionResetError("reset by the script")
        if self._end is StreamEnd.SILENT:
            raise TimeoutError("silent by the script")
        if self._end is StreamEnd.RESET_WHILE_SENDING:
            self._is_reset.set()
            gevent.sleep(0)  # the sending task is told before this one returns
        return b""

    def recv_into(self, buffer):
        """Receive as :meth:`recv` does into a buffer; return the number of bytes."""
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def shutdown(self, _how):
        """Do nothing."""

    def close(self):
        """Let a task that sends end."""
        self._is_reset.set()
