"""Outgoing connection to one peer, with a send queue, heartbeats and reconnection."""

import math
import time

import gevent
from absl import logging
from gevent import socket
from gevent.event import Event

from sassafrashook.tasks import spawn_contained, spawn_task
from sassafrashook.transport._codec import CodecError
from sassafrashook.transport._control_messages import (
    PARTS_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    Hello,
    MessagePart,
    Ping,
    Pong,
)
from sassafrashook.transport._outgoing import OutgoingMessages
from sassafrashook.transport._tls import read_peer_common_name

MAX_QUEUED_MESSAGES = 10_000
PING_INTERVAL_MS = 250
RESPONSE_TIMEOUT_MS = 750
CONNECT_TIMEOUT_MS = 250  # well above a round trip; a powered-off host never responds
RECONNECT_DELAY_MS = 100
IDLE_TIMEOUT_MS = 60_000
RECEIVE_BYTES = 16_384  # larger buffers get mappings of their own, a system call for each receive
WRITE_BATCH_BYTES = 262_144


class LinkClosedError(OSError):
    """The connection ended, or the peer stopped responding or failed authentication."""


class Link:
    """Sends queued messages to one peer and reconnects when the connection fails.

    Pings are sent at the start of a connection, when the response states whether the peer reads
    messages in parts, and after messages, so an idle connection sends no heartbeats. If a ping is
    not answered within ``RESPONSE_TIMEOUT_MS``, the connection is replaced by a new one. Queued
    messages are dropped when a connection fails or can't be opened. A message that can't be encoded
    is dropped alone. Messages written to a failed connection may or may not have arrived, so
    senders must match responses to requests and retransmit.

    :param name: name of this process.
    :param peer: name of the peer.
    :param address: IP address and port of the peer.
    :param codec: a :class:`Codec` that also knows the control messages.
    :param tls_context: TLS context for the connection, or ``None`` for plain TCP.
    :param count: callable that increments a counter, called with (metric, attribute, amount).
    :param pacer: the :class:`~sassafrashook.transport._outgoing.LinkPacer` of the process.

    :ivar outgoing_: messages that are not yet written.
    :ivar pong_deadline_: time by which the pending ping must be answered, in monotonic seconds;
        infinite if none is pending.
    :ivar next_ping_at_: earliest time of the next ping, in monotonic seconds.
    :ivar idle_at_: time at which the link becomes idle, in monotonic seconds.
    :ivar greenlet_: task that owns the connection, ``None`` before :meth:`start`.
    """

    def __init__(self, name, peer, address, codec, tls_context, count, pacer):
        self.name = name
        self.peer = peer
        self.address = address
        self.codec = codec
        self.tls_context = tls_context
        self.count = count
        self.pacer = pacer
        self.outgoing_ = OutgoingMessages(self._encode, pacer)
        self._has_messages = Event()
        self.pong_deadline_ = math.inf
        self.next_ping_at_ = 0.0
        self.idle_at_ = time.monotonic() + IDLE_TIMEOUT_MS / 1000
        self.greenlet_ = None

    def start(self):
        """Start the task that connects and sends."""
        self.greenlet_ = spawn_task(self._run)

    def stop(self):
        """Stop the task and close the connection."""
        if self.greenlet_ is not None:
            self.greenlet_.kill()

    def is_idle(self, now):
        """Return whether no message was queued for ``IDLE_TIMEOUT_MS``.

        :param now: current time in monotonic seconds.
        """
        return now >= self.idle_at_

    def enqueue(self, message):
        """Queue one message.

        :returns: whether it was queued; a full queue drops it and counts the drop.
        """
        self.idle_at_ = time.monotonic() + IDLE_TIMEOUT_MS / 1000
        if len(self.outgoing_) >= MAX_QUEUED_MESSAGES:
            self.count("messages_dropped", type(message).__name__, 1)
            return False
        self.outgoing_.put(message)
        self._has_messages.set()
        return True

    def flush(self, deadline):
        """Wait until the send queue is empty.

        :param deadline: end of the wait in monotonic seconds.
        """
        while self.outgoing_ and time.monotonic() < deadline:
            gevent.sleep(0.01)

    def probe(self, deadline):
        """Exchange one heartbeat on a new connection.

        :param deadline: end of the wait for the response, in monotonic seconds.
        :returns: whether the peer responded in time.
        """
        try:
            connection = self._connect()
        except OSError:
            return False
        try:
            connection.settimeout(max(0.0, deadline - time.monotonic()))
            connection.sendall(self.codec.encode(Ping(0)))
            unpacker = self.codec.make_unpacker()
            return any(self.codec.decode_chunk(unpacker, connection.recv(RECEIVE_BYTES)))
        except (OSError, ValueError):
            return False
        finally:
            connection.close()

    def _run(self):
        while True:
            self._has_messages.wait()
            connection = None
            reader = None
            try:
                connection = self._connect()
                self.pong_deadline_ = math.inf
                self.next_ping_at_ = 0.0
                reader = spawn_contained(self._record_failure, self._read, connection)
                self._write(connection, reader)
            except OSError as error:
                self.count("links_lost", type(error).__name__, 1)
            except Exception as error:
                logging.exception("event=link_failed peer=%s", self.peer)
                self._record_failure(error)
            finally:
                if reader is not None:
                    reader.kill()
                if connection is not None:
                    connection.close()
            self._discard_queue()
            gevent.sleep(RECONNECT_DELAY_MS / 1000)

    def _record_failure(self, error):
        """Count an unexpected error, which ends the connection; a new one is opened."""
        self.count("links_failed", type(error).__name__, 1)

    def _connect(self):
        connection = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_MS / 1000)
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(RESPONSE_TIMEOUT_MS / 1000)
            if self.tls_context is not None:
                connection = self.tls_context.wrap_socket(connection)
                if read_peer_common_name(connection) != self.peer:
                    raise LinkClosedError(f"certificate does not belong to {self.peer}")
            connection.sendall(self.codec.encode(Hello(self.name, self.peer, PROTOCOL_VERSION)))
        except BaseException:
            connection.close()
            raise
        return connection

    def _read(self, connection):
        unpacker = self.codec.make_unpacker()
        while True:
            try:
                data = connection.recv(RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return
            if not data or not self._process_replies(unpacker, data):
                return

    def _process_replies(self, unpacker, data):
        try:
            for message in self.codec.decode_chunk(unpacker, data):
                if isinstance(message, Pong):
                    self.pong_deadline_ = math.inf
                    self.outgoing_.reads_parts_ = message.version >= PARTS_PROTOCOL_VERSION
                    self._has_messages.set()
        except CodecError:
            self.count("links_lost", "bad_message", 1)
            return False
        return True

    def _write(self, connection, reader):
        has_messages_since_ping = True
        while not reader.ready():
            now = time.monotonic()
            if now >= self.pong_deadline_:
                raise LinkClosedError(f"{self.peer} did not answer a ping in time")
            if (
                has_messages_since_ping
                and self.pong_deadline_ == math.inf
                and now >= self.next_ping_at_
            ):
                connection.sendall(self.codec.encode(Ping(0)))
                self.next_ping_at_ = now + PING_INTERVAL_MS / 1000
                self.pong_deadline_ = now + RESPONSE_TIMEOUT_MS / 1000
                has_messages_since_ping = False
            self._has_messages.clear()
            data, next_due = self.outgoing_.take(now, WRITE_BATCH_BYTES)
            if data:
                connection.sendall(data)
                has_messages_since_ping = True
            wait_until = min(next_due, now + PING_INTERVAL_MS / 1000)
            self._has_messages.wait(max(0.0, wait_until - time.monotonic()))
        raise LinkClosedError(f"the connection to {self.peer} ended")

    def _encode(self, message):
        """Return the bytes of a message; none if it can't be encoded, whatever made it so."""
        try:
            data = self.codec.encode(message)
        except Exception as error:
            name = type(message).__name__
            self.count("messages_unencodable", name, 1)
            logging.warning(
                'event=message_unencodable peer=%s message=%s error="%s"', self.peer, name, error
            )
            return b""
        if not isinstance(message, MessagePart):
            self.count("sent_bytes", type(message).__name__, len(data))
        return data

    def _discard_queue(self):
        self._has_messages.clear()
        for message in self.outgoing_.clear():
            self.count("messages_dropped", type(message).__name__, 1)
