"""The readers of responses that are checked, each behind the same interface."""

import math
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from unittest import mock

from sassafrashook.fuzzing._sockets import SEND_BUFFER_BYTES, ScriptedSocket
from sassafrashook.fuzzing._streams import StreamEnd
from sassafrashook.http1 import UpstreamConnection, UpstreamResponseError
from sassafrashook.http1 import _upstream as upstream_module
from sassafrashook.proxy import SystemClock
from sassafrashook.proxy._connections import Connection
from sassafrashook.proxy._exchanges import Exchange, encode_request
from sassafrashook.proxy._monitor import SocketWatch

__all__ = ["ATTEMPT_ID", "ChatReader", "GatewayReader", "Outcome", "ResponseReader"]

ADDRESS = ("127.0.0.1", 1)
ATTEMPT_ID = "a"  # the chat interface accepts only responses that repeat it
TIMEOUT_S = 60.0  # never passes: the scripted socket doesn't wait
MAX_BODY_BYTES = 1_048_576
UPLOAD = bytes(SEND_BUFFER_BYTES + 1)


@dataclass(slots=True, frozen=True)
class Outcome:
    """What a reader has made of a stream.

    :param status: status of the response, ``None`` if the reader refused it.
    :param body: its body, ``None`` if the reader refused it.
    :param error: why the reader refused it.
    :param is_reusable: whether the reader would send another request on the connection.
    :param received_bytes: number of bytes that it received.
    """

    status: int | None
    body: bytes | None
    error: str
    is_reusable: bool
    received_bytes: int


class ResponseReader(ABC):
    """Reads the response of an upstream to one request."""

    def read(self, stream):
        """Read the response that a stream holds.

        :param stream: a :class:`ResponseStream`.
        :returns: an :class:`Outcome`.
        """
        sock = ScriptedSocket(stream)
        try:
            status, body, error, is_reusable = self._read(stream, sock)
        finally:
            sock.close()
        return Outcome(status, body, error, is_reusable, sock.received_bytes_)

    @abstractmethod
    def accepts(self, reading):
        """Return whether this reader has to pass on a whole response, or else must refuse it.

        :param reading: a :class:`Reading` with a body.
        """

    @abstractmethod
    def _read(self, stream, sock):
        """Return status, body, error and whether the connection is reusable."""


class GatewayReader(ResponseReader):
    """Connection to an upstream of the fleet that routes by host and path."""

    def accepts(self, reading):
        return True

    def _read(self, stream, sock):
        with mock.patch.object(upstream_module.gsocket, "socket", lambda *_family: sock):
            connection = UpstreamConnection(ADDRESS, TIMEOUT_S)
        deadline = time.monotonic() + TIMEOUT_S
        upload = UPLOAD if stream.end is StreamEnd.RESET_WHILE_SENDING else b""
        try:
            connection.send_request(stream.method.encode(), b"/", [(b"Host", b"a")], upload)
            head = connection.read_head(lambda _head: True, deadline)
            parts = []
            while (data := connection.read_data(deadline)) is not None:
                parts.append(data)
            return head.status, b"".join(parts), "", connection.is_reusable()
        except (UpstreamResponseError, TimeoutError) as error:
            return None, None, str(error), False
        finally:
            connection.close()


class ScriptedConnection(Connection):
    """Connection of the chat interface on a scripted socket, which needs no event loop."""

    __slots__ = ()

    def __init__(self, sock):
        self.sock = sock
        self._raw = sock
        self.response = None

    def receive(self):
        """Receive once; see :meth:`Connection.receive_now`."""
        return self.receive_now()


class ChatReader(ResponseReader):
    """Exchange with an engine of the chat interface."""

    def accepts(self, reading):
        ids = [value.strip(b" \t") for name, value in reading.fields if name == b"x-request-id"]
        # Behind such a coding, the parser reads until the connection ends (docs/design/fuzzing.md).
        has_tab = any(
            name == b"transfer-encoding" and b"\t" in value for name, value in reading.fields
        )
        return reading.is_delimited and ids == [ATTEMPT_ID.encode()] and not has_tab

    def _read(self, stream, sock):
        connection = ScriptedConnection(sock)
        exchange = Exchange(connection, SocketWatch(), math.inf, SystemClock())
        request = encode_request(stream.method, "/", {"Host": "a"}, b"")
        failure = exchange.send(stream.method, request)
        failure = failure or exchange.receive_response_head(ATTEMPT_ID)
        if failure is not None:
            return None, None, failure.detail, False
        result = exchange.receive_body(MAX_BODY_BYTES)
        body = result.value_or(None)
        if body is None:
            return None, None, result.failure().detail, False
        return exchange.response.status_code, body, "", connection.is_reusable()
