"""Reads one request after another from the connections of a listener."""

import random
import time
from abc import ABC, abstractmethod

from absl import logging

from sassafrashook.http1._messages import InvalidRequestError, MemoryLimitError
from sassafrashook.http1._server import ClientDisconnectedError, ServerConnection

__all__ = ["ConnectionHandler", "RequestTimeouts", "choose_retry_after_s"]

DEFAULT_MAX_HEADER_BYTES = 16_384
TEXT_CONTENT_TYPE = b"text/plain"
# Bounds of the random retry delay of a request whose body did not fit into the memory for clients.
MEMORY_LIMIT_RETRY_S = (1, 3)


def choose_retry_after_s():
    """Return after how many seconds a client may repeat a request that found no memory."""
    return random.randint(*MEMORY_LIMIT_RETRY_S)


class RequestTimeouts:
    """Longest times that a client may take, in seconds.

    :param idle_s: until the first byte of the next request.
    :param head_s: for the head of a request, from its first byte on.
    :param body_s: for the body of a request.
    :param send_s: to accept one send.
    """

    __slots__ = ("idle_s", "head_s", "body_s", "send_s")

    def __init__(self, idle_s, head_s, body_s, send_s):
        self.idle_s = idle_s
        self.head_s = head_s
        self.body_s = body_s
        self.send_s = send_s


class ConnectionHandler(ABC):
    """Serves the requests of each connection that a listener has accepted.

    :param timeouts: the :class:`RequestTimeouts`.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of the connections, ``None`` for
        no limits.
    :param max_header_bytes: largest size of the head of a request, in bytes.

    :param is_stopping: called without arguments; returns whether connections without a request are
        closed. ``None`` if they are kept until the client closes them.

    :cvar is_host_optional: whether requests may lack the Host field.
    :ivar active_request_count_: number of requests that are being read or served.
    """

    is_host_optional = False

    def __init__(
        self,
        timeouts,
        budget=None,
        max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
        is_stopping=None,
    ):
        self.timeouts = timeouts
        self.budget = budget
        self.max_header_bytes = max_header_bytes
        self.is_stopping = is_stopping
        self.active_request_count_ = 0

    @abstractmethod
    def serve_request(self, client, head):
        """Read the body of a request and send the response.

        :param client: the :class:`ServerConnection`.
        :param head: the :class:`RequestHead`.
        :raises InvalidRequestError: if the body can't be read.
        :raises ClientDisconnectedError: if the client disconnects or does not accept a send.
        """

    def reject(self, client, error):
        """Send the response to a request that can't be read; the connection is closed after it.

        :param client: the :class:`ServerConnection`.
        :param error: the :class:`InvalidRequestError`.
        """
        fields = [(b"Content-Type", TEXT_CONTENT_TYPE)]
        if isinstance(error, MemoryLimitError):
            fields.append((b"Retry-After", b"%d" % choose_retry_after_s()))
        client.send_response(error.status, fields, f"{error}\n".encode())

    def handle_client(self, sock, _address):
        """Serve a connection until it is closed.

        :param sock: the accepted gevent socket.
        """
        client = ServerConnection(
            sock, self.max_header_bytes, self.timeouts.send_s, self.budget, self.is_host_optional
        )
        if not client.is_admitted_:
            client.abort()
            return
        is_complete = False
        try:
            self._serve_requests(client)
            is_complete = True
        except ClientDisconnectedError:
            pass
        except Exception:
            logging.exception("event=request_handler_failed")
        finally:
            if is_complete:
                client.close()
            else:
                client.abort()

    def _serve_requests(self, client):
        is_open = True
        while is_open:
            idle_deadline = time.monotonic() + self.timeouts.idle_s
            if not client.wait_for_request(idle_deadline, self.is_stopping):
                return
            self.active_request_count_ += 1
            try:
                is_open = self._serve_next(client) and client.start_next_cycle()
            finally:
                self.active_request_count_ -= 1

    def _serve_next(self, client):
        """Serve one request; :returns: whether the connection may carry another one."""
        try:
            head = client.read_head(time.monotonic() + self.timeouts.head_s)
            if head is None:
                return False
            self.serve_request(client, head)
        except InvalidRequestError as error:
            client.should_close_ = True
            self.reject(client, error)
        return not client.should_close_
