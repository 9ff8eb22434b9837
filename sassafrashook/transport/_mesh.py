"""Message connections between one process and all its peers."""

import time
from dataclasses import dataclass

import gevent
from absl import logging
from gevent import socket
from gevent.server import StreamServer

from sassafrashook.interfaces import Sender
from sassafrashook.tasks import spawn_task
from sassafrashook.transport._codec import Codec, CodecError, UnknownMessageError
from sassafrashook.transport._control_messages import (
    CONTROL_MESSAGES,
    PROTOCOL_VERSION,
    Hello,
    MessagePart,
    Ping,
    Pong,
)
from sassafrashook.transport._link import IDLE_TIMEOUT_MS, RECEIVE_BYTES, Link
from sassafrashook.transport._outgoing import LinkPacer, MessageAssembler
from sassafrashook.transport._tls import is_tls_error, read_peer_common_name

DEFAULT_LINK_BYTES_PER_S = 125_000_000.0  # 1 Gbit/s
IDLE_CHECK_INTERVAL_MS = 5_000
HELLO_TIMEOUT_MS = 2_000
MAX_BYTES_BEFORE_HELLO = 65_536
RECEIVE_TIMEOUT_MS = IDLE_TIMEOUT_MS + 2 * IDLE_CHECK_INTERVAL_MS


@dataclass(slots=True, frozen=True)
class PeerAddress:
    """Address at which a process accepts connections from its peers.

    :param name: name of the process.
    :param host: IP address.
    :param port: TCP port.
    """

    name: str
    host: str
    port: int


class Mesh(Sender):
    """Sends messages to peers by name and dispatches received messages to handlers.

    A connection carries messages and pings only from the process that opened it, and pongs back.
    It is opened by the first message and closed when idle, so a process with many peers keeps
    connections only to those it sends to.

    :param name: name of this process.
    :param listen: IP address and port to listen on; port 0 selects a free port.
    :param peers: iterable of :class:`PeerAddress` from the settings;
        :meth:`update_peer_address` does not change these.
    :param message_types: all message classes that may be sent or received.
    :param server_context: TLS context for accepted connections, or ``None`` for plain TCP.
    :param client_context: TLS context for opened connections, or ``None`` for plain TCP.
    :param count: callable that increments a counter, called with (metric, attribute, amount).
    :param link_bytes_per_s: bandwidth of the host's link, in bytes per second.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` that accepted connections use
        until their first message shows that a peer has opened them, or ``None`` for no limits.

    :ivar pacer_: the :class:`~sassafrashook.transport._outgoing.LinkPacer` of the process.
    :ivar addresses_: IP address and port by peer name.
    :ivar configured_peers_: names of the peers whose addresses come from the settings.
    :ivar handlers_: handler by message class.
    :ivar links_: links by peer name.
    :ivar accepted_connections_: sockets of accepted connections.
    :ivar port_: port that the process listens on, ``None`` before :meth:`start`.

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
        link_bytes_per_s=DEFAULT_LINK_BYTES_PER_S,
        budget=None,
    ):
        self.name = name
        self.listen = listen
        self.peers = peers
        self.message_types = message_types
        self.server_context = server_context
        self.client_context = client_context
        self.count = count
        self.link_bytes_per_s = link_bytes_per_s
        self.budget = budget
        self.pacer_ = LinkPacer(link_bytes_per_s)
        self.codec = Codec((*message_types, *CONTROL_MESSAGES))
        self.addresses_ = {peer.name: (peer.host, peer.port) for peer in peers}
        self.configured_peers_ = frozenset(self.addresses_)
        self.handlers_ = {}
        self.links_ = {}
        self.accepted_connections_ = set()
        self.port_ = None
        self._server = None
        self._idle_link_task = None

    def subscribe(self, message_types, handler):
        """Register ``handler(sender, message)`` for some message classes.

        It replaces earlier handlers of these classes, runs in the receiving task and must not
        block.

        :param message_types: iterable of message classes.
        :param handler: callable that takes the name of the sender and the message.
        """
        for message_type in message_types:
            self.handlers_[message_type] = handler

    def start(self):
        """Start to accept connections."""
        self._server = StreamServer(self.listen, self._handle_connection)
        self._server.start()
        self.port_ = self._server.server_port
        self._idle_link_task = spawn_task(self._close_idle_links)

    def stop(self, flush_ms=0):
        """Close all connections and stop listening.

        :param flush_ms: how long to wait for queued messages to be written, in milliseconds.
        """
        deadline = time.monotonic() + flush_ms / 1000
        for link in list(self.links_.values()):
            link.flush(deadline)
        if self._idle_link_task is not None:
            self._idle_link_task.kill()
        for link in self.links_.values():
            link.stop()
        self.links_.clear()
        if self._server is not None:
            self._server.stop(timeout=0)
        for connection in list(self.accepted_connections_):
            connection.close()

    def update_peer_address(self, peer):
        """Add or update the address of a peer, unless it comes from the settings.

        A changed address closes the link to the old one.

        :param peer: a :class:`PeerAddress`.
        """
        address = (peer.host, peer.port)
        if peer.name in self.configured_peers_ or self.addresses_.get(peer.name) == address:
            return
        self.addresses_[peer.name] = address
        link = self.links_.pop(peer.name, None)
        if link is not None:
            link.stop()

    def send(self, peer, message):
        """Queue one message; a message to this process itself is dispatched synchronously.

        :param peer: name of the recipient.
        :param message: the message.
        :returns: whether it was queued or dispatched; ``False`` means that it was not sent.
        """
        if peer == self.name:
            self._dispatch(peer, message)
            return True
        address = self.addresses_.get(peer)
        if address is None:
            self.count("messages_dropped", type(message).__name__, 1)
            return False
        link = self.links_.get(peer)
        if link is None:
            link = self._make_link(peer, address)
            self.links_[peer] = link
            link.start()
        return link.enqueue(message)

    def probe(self, peer, deadline):
        """Exchange one heartbeat with a peer on a new connection.

        :param peer: name of the peer.
        :param deadline: end of the wait in monotonic seconds.
        :returns: whether the peer responded in time.
        """
        address = self.addresses_.get(peer)
        if address is None:
            return False
        return self._make_link(peer, address).probe(deadline)

    def _make_link(self, peer, address):
        return Link(
            self.name, peer, address, self.codec, self.client_context, self.count, self.pacer_
        )

    def _dispatch(self, sender, message):
        handler = self.handlers_.get(type(message))
        if handler is None:
            self.count("messages_unwanted", type(message).__name__, 1)
            return
        handler(sender, message)

    def _handle_connection(self, connection, _address):
        share = self._open_share() if self.budget is not None else None
        if share is None and self.budget is not None:
            connection.close()
            return
        self.accepted_connections_.add(connection)
        try:
            connection = self._start_tls(connection)
            self._receive_messages(connection, share)
        except CodecError:
            self.count("connections_refused", "bad_message", 1)
        except OSError as error:
            if self.server_context is not None and is_tls_error(error):
                self.count("connections_refused", "certificate", 1)
            else:
                self.count("connections_lost", type(error).__name__, 1)
        except Exception as error:
            self.count("connections_failed", type(error).__name__, 1)
            logging.exception("event=message_handler_failed")
        finally:
            self.accepted_connections_.discard(connection)
            connection.close()
            if share is not None:
                share.close()

    def _open_share(self):
        """Return what an accepted connection holds of the budget; ``None`` if nothing is left."""
        task = gevent.getcurrent()
        return self.budget.open_share(lambda _reason: task.kill(block=False), time.monotonic())

    def _start_tls(self, connection):
        connection.settimeout(HELLO_TIMEOUT_MS / 1000)
        if self.server_context is None:
            return connection
        self.accepted_connections_.discard(connection)
        connection = self.server_context.wrap_socket(connection, server_side=True)
        self.accepted_connections_.add(connection)
        return connection

    def _receive_messages(self, connection, share):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        hello_deadline = time.monotonic() + HELLO_TIMEOUT_MS / 1000
        received_bytes = 0
        unpacker = self.codec.make_unpacker()
        assembler = MessageAssembler()
        sender = None

        def count_unknown(error):
            if sender is None:
                raise error
            self.count("messages_unknown", "", 1)

        while True:
            data = connection.recv(RECEIVE_BYTES)
            if not data:
                return
            received_bytes += len(data)
            for message in self.codec.decode_chunk(unpacker, data, count_unknown):
                if sender is None:
                    sender = self._validate_hello(connection, message)
                    connection.settimeout(RECEIVE_TIMEOUT_MS / 1000)
                    if share is not None:
                        share.close()
                elif isinstance(message, Ping):
                    connection.sendall(self.codec.encode(Pong(message.sequence, PROTOCOL_VERSION)))
                elif isinstance(message, MessagePart):
                    self._dispatch_assembled(sender, assembler.add(message), count_unknown)
                else:
                    self._dispatch(sender, message)
            if sender is None:
                remaining_s = hello_deadline - time.monotonic()
                if remaining_s <= 0 or received_bytes >= MAX_BYTES_BEFORE_HELLO:
                    raise CodecError("the connection does not begin with Hello")
                connection.settimeout(remaining_s)

    def _dispatch_assembled(self, sender, data, on_unknown):
        """Dispatch the message that a part has completed, if any."""
        if data is None:
            return
        try:
            message = self.codec.decode(data)
        except UnknownMessageError as error:
            on_unknown(error)
        else:
            self._dispatch(sender, message)

    def _validate_hello(self, connection, message):
        if not isinstance(message, Hello):
            raise CodecError("the first message must be Hello")
        if message.recipient != self.name:
            raise CodecError(f"Hello is addressed to {message.recipient!r}")
        if self.server_context is not None and read_peer_common_name(connection) != message.sender:
            raise CodecError(f"certificate does not belong to {message.sender!r}")
        return message.sender

    def _close_idle_links(self):
        while True:
            gevent.sleep(IDLE_CHECK_INTERVAL_MS / 1000)
            now = time.monotonic()
            for peer, link in list(self.links_.items()):
                if link.is_idle(now):
                    link.stop()
                    del self.links_[peer]
