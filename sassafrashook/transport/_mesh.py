"""Streams to and from all peers of one process."""

import time
from dataclasses import dataclass

import gevent
from absl import logging
from gevent import socket
from gevent.server import StreamServer

from sassafrashook.gateways import Sender
from sassafrashook.tasks import spawn_task
from sassafrashook.transport._codec import Codec, CodecError
from sassafrashook.transport._frames import FRAMES, Hello, Ping, Pong
from sassafrashook.transport._link import IDLE_MS, RECEIVE_BYTES, Link
from sassafrashook.transport._tls import read_peer_name

SWEEP_MS = 5_000
HELLO_TIMEOUT_MS = 2_000
SILENT_MS = IDLE_MS + 2 * SWEEP_MS


@dataclass(slots=True, frozen=True)
class PeerAddress:
    """Where a process listens for its peers.

    :param name: the process's name.
    :param host: IP number.
    :param port: TCP port.
    """

    name: str
    host: str
    port: int


class Mesh(Sender):
    """Sends messages to peers by name, and hands received ones to their subscribers.

    A connection carries messages one way, from the process that opened it, and heartbeats both
    ways. It is opened by the first message and closed when idle, so that a process with many
    peers keeps connections only to those it talks to.

    :param name: name of this process.
    :param listen: host (IP number) and port to listen on; port 0 takes any free one.
    :param peers: iterable of :class:`PeerAddress`.
    :param message_types: all message classes that may cross the streams.
    :param server_context: TLS context for accepted connections, or ``None``.
    :param client_context: TLS context for opened connections, or ``None``.
    :param count: called with (metric, attribute, amount).

    :ivar links_: open links by peer name.
    :ivar port_: port that it listens on.

    :raises OSError: from :meth:`start` if the address can't be bound.

    See also :class:`Codec`.

    >>> from sassafrashook.messages import PermitWithdrawn
    >>> first = Mesh("first", ("127.0.0.1", 0), [], (PermitWithdrawn,))
    >>> first.start()
    >>> first.send("unknown", PermitWithdrawn(7))
    False
    >>> first.stop()
    """

    def __init__(
        self,
        name,
        listen,
        peers,
        message_types,
        server_context=None,
        client_context=None,
        count=lambda metric, attribute, amount: None,
    ):
        self.name = name
        self.listen = listen
        self.peers = peers
        self.message_types = message_types
        self.server_context = server_context
        self.client_context = client_context
        self.count = count
        self.codec = Codec((*message_types, *FRAMES))
        self.addresses_ = {peer.name: (peer.host, peer.port) for peer in peers}
        self.fixed_ = frozenset(self.addresses_)
        self.handlers_ = {}
        self.links_ = {}
        self.connections_ = set()
        self.port_ = None
        self._server = None
        self._sweeper = None

    def subscribe(self, message_types, handler):
        """Have messages of some classes handed to ``handler(sender, message)``.

        The handler runs in the receiving task and must not block.
        """
        for kind in message_types:
            self.handlers_[kind] = handler

    def start(self):
        """Listen and accept."""
        self._server = StreamServer(self.listen, self._serve)
        self._server.start()
        self.port_ = self._server.server_port
        self._sweeper = spawn_task(self._sweep)

    def stop(self, flush_ms=0):
        """Close everything.

        :param flush_ms: how long queued messages may still be written.
        """
        deadline = time.monotonic() + flush_ms / 1000
        for link in list(self.links_.values()):
            link.flush(deadline)
        if self._sweeper is not None:
            self._sweeper.kill()
        for link in self.links_.values():
            link.stop()
        self.links_.clear()
        if self._server is not None:
            self._server.stop(timeout=0)
        for connection in list(self.connections_):
            connection.close()

    def learn(self, peer):
        """Take a peer's address, new or changed; one given by the settings stays.

        :param peer: a :class:`PeerAddress`.
        """
        address = (peer.host, peer.port)
        if peer.name in self.fixed_ or self.addresses_.get(peer.name) == address:
            return
        self.addresses_[peer.name] = address
        link = self.links_.pop(peer.name, None)
        if link is not None:
            link.stop()

    def send(self, peer, message):
        """Queue one message; a message to this process itself is handed over at once."""
        if peer == self.name:
            self._hand_over(peer, message)
            return True
        address = self.addresses_.get(peer)
        if address is None:
            self.count("messages_dropped", type(message).__name__, 1)
            return False
        link = self.links_.get(peer)
        if link is None:
            link = Link(self.name, peer, address, self.codec, self.client_context, self.count)
            self.links_[peer] = link
            link.start()
        return link.put(message)

    def probe(self, peer, deadline):
        """Find out on a new connection whether a peer answers.

        :param deadline: monotonic seconds.
        :returns: whether it answered a heartbeat in time.
        """
        address = self.addresses_.get(peer)
        if address is None:
            return False
        link = Link(self.name, peer, address, self.codec, self.client_context, self.count)
        return link.probe(deadline)

    def _hand_over(self, sender, message):
        handler = self.handlers_.get(type(message))
        if handler is None:
            self.count("messages_unwanted", type(message).__name__, 1)
            return
        handler(sender, message)

    def _serve(self, connection, _address):
        self.connections_.add(connection)
        try:
            connection = self._secure(connection)
            self._receive(connection)
        except CodecError:
            self.count("connections_refused", "bad_message", 1)
        except OSError as error:
            self.count("connections_lost", type(error).__name__, 1)
        except Exception as error:
            self.count("connections_failed", type(error).__name__, 1)
            logging.exception("event=message_handler_failed")
        finally:
            self.connections_.discard(connection)
            connection.close()

    def _secure(self, connection):
        connection.settimeout(HELLO_TIMEOUT_MS / 1000)
        if self.server_context is None:
            return connection
        self.connections_.discard(connection)
        connection = self.server_context.wrap_socket(connection, server_side=True)
        self.connections_.add(connection)
        return connection

    def _receive(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        unpacker = self.codec.make_unpacker()
        sender = None
        while True:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                return
            for message in self.codec.feed(unpacker, data):
                if sender is None:
                    sender = self._check_hello(connection, message)
                    connection.settimeout(SILENT_MS / 1000)
                elif isinstance(message, Ping):
                    connection.sendall(self.codec.encode(Pong(message.sequence)))
                else:
                    self._hand_over(sender, message)

    def _check_hello(self, connection, message):
        if not isinstance(message, Hello):
            raise CodecError("a connection starts with Hello")
        if message.recipient != self.name:
            raise CodecError(f"meant for {message.recipient!r}")
        if self.server_context is not None and read_peer_name(connection) != message.name:
            raise CodecError(f"certificate is not that of {message.name!r}")
        return message.name

    def _sweep(self):
        while True:
            gevent.sleep(SWEEP_MS / 1000)
            now = time.monotonic()
            for peer, link in list(self.links_.items()):
                if link.is_idle(now):
                    link.stop()
                    del self.links_[peer]
