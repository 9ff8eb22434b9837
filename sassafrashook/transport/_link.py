"""The sending side of a stream to one peer."""

import math
import time

import gevent
from gevent import socket
from gevent.queue import Empty, Full, Queue

from sassafrashook.tasks import spawn_task
from sassafrashook.transport._codec import CodecError
from sassafrashook.transport._frames import Hello, Ping, Pong
from sassafrashook.transport._tls import read_peer_name

QUEUE_MESSAGES = 10_000
PING_INTERVAL_MS = 250
ANSWER_TIMEOUT_MS = 750
CONNECT_TIMEOUT_MS = 250  # well above a round trip; a host without power answers nothing at all
RECONNECT_MS = 100
IDLE_MS = 60_000
RECEIVE_BYTES = 65_536
WRITE_BYTES = 262_144


class LinkClosedError(OSError):
    """The connection ended or went silent."""


class Link:
    """Owns the connection to one peer; queued messages are lost with it.

    A ping follows the messages that were written; a connection on which none is answered in time
    is given up for a new one. An idle connection costs nothing. Messages on a connection that is
    found silent may or may not have arrived; senders match answers to requests and send again.

    :param name: name of this process.
    :param peer: name of the other one.
    :param address: its host (IP number) and port.
    :param codec: a :class:`Codec` that knows the frames too.
    :param context: TLS context or ``None``.
    :param count: called with (metric, attribute, amount).
    """

    def __init__(self, name, peer, address, codec, context, count):
        self.name = name
        self.peer = peer
        self.address = address
        self.codec = codec
        self.context = context
        self.count = count
        self.queue_ = Queue(QUEUE_MESSAGES)
        self.answer_by_ = math.inf
        self.ping_at_ = 0.0
        self.idle_at_ = time.monotonic() + IDLE_MS / 1000
        self.greenlet_ = None

    def start(self):
        """Start the task that owns the connection."""
        self.greenlet_ = spawn_task(self._run)

    def stop(self):
        """End the task and its connection."""
        if self.greenlet_ is not None:
            self.greenlet_.kill()

    def is_idle(self, now):
        """Return whether nothing was sent for so long that the connection is not worth keeping."""
        return now >= self.idle_at_

    def put(self, message):
        """Queue one message; return whether there was room."""
        self.idle_at_ = time.monotonic() + IDLE_MS / 1000
        try:
            self.queue_.put_nowait(message)
        except Full:
            self.count("messages_dropped", type(message).__name__, 1)
            return False
        return True

    def flush(self, deadline):
        """Wait until the queue was written or the deadline has passed."""
        while not self.queue_.empty() and time.monotonic() < deadline:
            gevent.sleep(0.01)

    def probe(self, deadline):
        """Open a connection, exchange one heartbeat and close it; return whether that worked."""
        try:
            connection = self._connect()
        except OSError:
            return False
        try:
            connection.settimeout(max(0.0, deadline - time.monotonic()))
            connection.sendall(self.codec.encode(Ping(0)))
            unpacker = self.codec.make_unpacker()
            return any(self.codec.feed(unpacker, connection.recv(RECEIVE_BYTES)))
        except (OSError, ValueError):
            return False
        finally:
            connection.close()

    def _run(self):
        while True:
            self.queue_.peek()
            connection = None
            reader = None
            try:
                connection = self._connect()
                self.answer_by_ = math.inf
                self.ping_at_ = 0.0
                reader = spawn_task(self._read, connection)
                self._write(connection, reader)
            except OSError as error:
                self.count("links_lost", type(error).__name__, 1)
            finally:
                if reader is not None:
                    reader.kill()
                if connection is not None:
                    connection.close()
            self._drop_queue()
            gevent.sleep(RECONNECT_MS / 1000)

    def _connect(self):
        connection = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_MS / 1000)
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(ANSWER_TIMEOUT_MS / 1000)
            if self.context is not None:
                connection = self.context.wrap_socket(connection)
                if read_peer_name(connection) != self.peer:
                    raise LinkClosedError(f"certificate is not that of {self.peer}")
            connection.sendall(self.codec.encode(Hello(self.name, self.peer)))
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
            if not data or not self._take_answers(unpacker, data):
                return

    def _take_answers(self, unpacker, data):
        try:
            for message in self.codec.feed(unpacker, data):
                if isinstance(message, Pong):
                    self.answer_by_ = math.inf
        except CodecError:
            self.count("links_lost", "bad_message", 1)
            return False
        return True

    def _write(self, connection, reader):
        has_unconfirmed = False
        while not reader.ready():
            now = time.monotonic()
            if now >= self.answer_by_:
                raise LinkClosedError(f"{self.peer} does not answer")
            if has_unconfirmed and self.answer_by_ == math.inf and now >= self.ping_at_:
                connection.sendall(self.codec.encode(Ping(0)))
                self.ping_at_ = now + PING_INTERVAL_MS / 1000
                self.answer_by_ = now + ANSWER_TIMEOUT_MS / 1000
                has_unconfirmed = False
            data = self._take(now + PING_INTERVAL_MS / 1000)
            if data:
                connection.sendall(data)
                has_unconfirmed = True
        raise LinkClosedError(f"{self.peer} closed the connection")

    def _take(self, until):
        try:
            message = self.queue_.get(timeout=max(0.0, until - time.monotonic()))
        except Empty:
            return b""
        parts = [self._encode(message)]
        size = len(parts[0])
        while size < WRITE_BYTES:
            try:
                parts.append(self._encode(self.queue_.get_nowait()))
            except Empty:
                break
            size += len(parts[-1])
        return b"".join(parts)

    def _encode(self, message):
        data = self.codec.encode(message)
        self.count("sent_bytes", type(message).__name__, len(data))
        return data

    def _drop_queue(self):
        while not self.queue_.empty():
            message = self.queue_.get_nowait()
            self.count("messages_dropped", type(message).__name__, 1)
