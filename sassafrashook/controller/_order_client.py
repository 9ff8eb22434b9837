"""HTTP client that sends an order to an upstream at most once."""

import struct
from dataclasses import dataclass

import msgspec
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

from sassafrashook.state import OrderStatus

__all__ = ["OrderDocument", "OrderResponse", "send_order"]

ORDERS_PATH = "/v1/orders"
CONNECT_TIMEOUT_MS = 1_000
MAX_DETAIL_CHARS = 200
# SO_LINGER with a zero timeout: closing discards unsent data and resets the connection.
DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)


class OrderDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of an order.

    :param fencing: fencing token; an upstream that checks it rejects a number lower than the
        highest that it has received.
    :param deadline_ms: wall-clock time in milliseconds after which an upstream that checks
        deadlines rejects the order.
    """

    fencing: int
    order: str
    model: str
    deadline_ms: int
    role: str = ""
    peer: str = ""
    conversation_key: int = 0


@dataclass(slots=True, frozen=True)
class OrderResponse:
    """The result of sending an order.

    :param status: ``refused`` only if it is certain that the upstream does not execute the order.
    :param detail: response text or description of the failure.
    """

    status: OrderStatus
    detail: str = ""


class _NotSentError(OSError):
    """The order may no longer be sent; raised before its first byte is written."""


class _SingleConnectionPool(ConnectionPool):
    """Opens one connection whose unacknowledged data the kernel discards at the deadline.

    Otherwise the kernel could retransmit the order after a network partition and deliver it long
    after the deadline, even while this process is suspended.
    """

    def __init__(self, host, port, remaining_ms, may_send):
        timeout = remaining_ms / 1000
        super().__init__(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=min(timeout, CONNECT_TIMEOUT_MS / 1000),
        )
        self.network_timeout = timeout
        self._remaining_ms = remaining_ms
        self._may_send = may_send

    def _create_tcp_socket(self, family, socktype, protocol):
        sock = super()._create_tcp_socket(family, socktype, protocol)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._remaining_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_ON_CLOSE)
        return sock

    def get_socket(self):
        sock = super().get_socket()
        if not self._may_send():
            self.release_socket(sock)
            raise _NotSentError("deadline or leadership passed before the first byte")
        return sock


def send_order(host, port, document, remaining_ms, may_send):
    """Send one order over a new connection.

    :param host: IP address.
    :param document: an :class:`OrderDocument`.
    :param remaining_ms: time until the order's deadline, milliseconds, at least 1.
    :param may_send: called after the connection is established and before the first byte is
        written; returns whether the order may still be sent.
    :returns: an :class:`OrderResponse`.
    """
    client = HTTPClient(host, port, concurrency=1)
    client._connection_pool.close()
    client._connection_pool = _SingleConnectionPool(host, port, remaining_ms, may_send)
    try:
        return _post_order(client, document)
    finally:
        client.close()


def _post_order(client, document):
    body = msgspec.json.encode(document)
    headers = {"Content-Type": "application/json"}
    try:
        response = client.post(ORDERS_PATH, body=body, headers=headers)
        text = response.read().decode(errors="replace")[:MAX_DETAIL_CHARS]
    except (_NotSentError, ConnectionRefusedError) as error:
        return OrderResponse(OrderStatus.REFUSED, f"not sent: {error}")
    except (OSError, ValueError, HTTPParseError) as error:
        return OrderResponse(OrderStatus.UNKNOWN, repr(error)[:MAX_DETAIL_CHARS])
    if 200 <= response.status_code < 300:
        return OrderResponse(OrderStatus.DONE, text)
    if 400 <= response.status_code < 500:
        return OrderResponse(OrderStatus.REFUSED, text)
    return OrderResponse(OrderStatus.UNKNOWN, text)
