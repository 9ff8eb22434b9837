"""Sends one order to one upstream over HTTP, at most once."""

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
DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)


class OrderDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of an order.

    :param fencing: an upstream that checks it refuses a number below the highest that it has seen.
    :param deadline_ms: wall clock; the upstream refuses the order after this if it can.
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
    """What became of sending an order.

    :param status: ``refused`` if the upstream certainly does not carry it out.
    """

    status: OrderStatus
    detail: str = ""


class _NotSentError(OSError):
    """The last check before the first byte failed."""


class _OrderPool(ConnectionPool):
    """Makes one connection that the kernel gives up at the order's deadline.

    Without this, a frozen process's kernel might deliver the bytes after a cut, long past the
    deadline.
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

    :param host: IP number.
    :param document: an :class:`OrderDocument`.
    :param remaining_ms: time until the order's deadline, at least 1.
    :param may_send: called once the connection stands, right before the first byte.
    :returns: an :class:`OrderResponse`.
    """
    client = HTTPClient(host, port, concurrency=1)
    client._connection_pool.close()
    client._connection_pool = _OrderPool(host, port, remaining_ms, may_send)
    try:
        return _exchange(client, document)
    finally:
        client.close()


def _exchange(client, document):
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
