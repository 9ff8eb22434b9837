"""Streams between processes: delivery, silence, strangers, bad bytes."""

import contextlib
import time

import gevent
import msgpack
import pytest
from gevent import socket
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st

from sassafrashook.messages import ROUTER_MESSAGES, PermitReleased, PermitWithdrawn
from sassafrashook.transport import Codec, CodecError, Mesh, PeerAddress
from sassafrashook.transport import _link as link_module
from sassafrashook.transport._frames import Hello

WAIT_S = 20
REACHED_S = 0.6  # with whatever else delays a restart, routers answer again within a second


class Recorder:
    """A mesh with what it received and counted."""

    def __init__(self, name, peers=(), listen=("127.0.0.1", 0)):
        self.received = []
        self.counts = []
        self.mesh = Mesh(
            name, listen, list(peers), (PermitWithdrawn,), count=lambda *c: self.counts.append(c)
        )
        self.mesh.subscribe((PermitWithdrawn,), lambda *pair: self.received.append(pair))
        self.mesh.start()

    def counted(self, metric, reason):
        return any(c[:2] == (metric, reason) for c in self.counts)


def wait_until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.01)


def fill_backlog(listener):
    """Open connections until the kernel drops opening packets, as a host without power does."""
    fillers = []
    while True:
        filler = socket.socket()
        filler.settimeout(0.1)
        fillers.append(filler)
        try:
            filler.connect(listener.getsockname())
        except TimeoutError:
            return fillers


def test_peer_whose_host_was_dark_is_reached_soon_after_its_return():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    fillers = fill_backlog(listener)
    sender = Recorder("sender", [PeerAddress("receiver", *address)])
    sender.mesh.send("receiver", PermitWithdrawn(1))
    gevent.sleep(0.05)
    for filler in fillers:
        filler.close()
    listener.close()
    returned_at = time.monotonic()
    receiver = Recorder("receiver", listen=address)
    wait_until(lambda: sender.mesh.send("receiver", PermitWithdrawn(2)) and receiver.received)
    assert time.monotonic() < returned_at + REACHED_S
    sender.mesh.stop()
    receiver.mesh.stop()


@pytest.fixture
def pair():
    receiver = Recorder("receiver")
    sender = Recorder("sender", [PeerAddress("receiver", "127.0.0.1", receiver.mesh.port_)])
    yield sender, receiver
    sender.mesh.stop()
    receiver.mesh.stop()


def test_messages_arrive_in_order_under_the_sender_name(pair):
    sender, receiver = pair
    for number in range(1000):
        assert sender.mesh.send("receiver", PermitWithdrawn(number))
    wait_until(lambda: len(receiver.received) == 1000)
    assert receiver.received == [("sender", PermitWithdrawn(n)) for n in range(1000)]


def test_peer_that_restarts_is_reached_again(pair):
    sender, receiver = pair
    sender.mesh.send("receiver", PermitWithdrawn(1))
    wait_until(lambda: receiver.received)
    port = receiver.mesh.port_
    receiver.mesh.stop()
    again = Recorder("receiver", listen=("127.0.0.1", port))
    wait_until(lambda: sender.mesh.send("receiver", PermitWithdrawn(2)) and again.received)
    again.mesh.stop()


def test_connection_that_goes_silent_is_replaced(monkeypatch):
    """The listener accepts and never answers; each silent connection is given up for a new one."""
    monkeypatch.setattr(link_module, "ANSWER_TIMEOUT_MS", 100)
    accepted = []

    def hold(connection, _address):
        accepted.append(connection)
        gevent.sleep(WAIT_S)

    listener = StreamServer(("127.0.0.1", 0), hold)
    listener.start()
    sender = Recorder("sender", [PeerAddress("mute", "127.0.0.1", listener.server_port)])
    wait_until(lambda: sender.mesh.send("mute", PermitWithdrawn(1)) and len(accepted) >= 2)
    sender.mesh.stop()
    listener.stop(timeout=0)


@pytest.mark.parametrize(
    "first",
    [
        msgpack.packb(["Hello", "sender", "somebody-else", 1]),
        msgpack.packb(["PermitWithdrawn", 1]),
        msgpack.packb(["NoSuchMessage", 1]),
        msgpack.packb(42),
        b"\xc1garbage",
    ],
)
def test_bad_first_message_ends_the_connection_and_is_counted(pair, first):
    _, receiver = pair
    stranger = socket.create_connection(("127.0.0.1", receiver.mesh.port_))
    stranger.sendall(first)
    wait_until(lambda: receiver.counted("connections_refused", "bad_message"))
    assert stranger.recv(1) == b""
    stranger.close()
    assert receiver.received == []


def test_truncated_message_changes_nothing(pair):
    _, receiver = pair
    stranger = socket.create_connection(("127.0.0.1", receiver.mesh.port_))
    codec = Codec((Hello, PermitWithdrawn))
    stranger.sendall(codec.encode(Hello("sender", "receiver")))
    stranger.sendall(codec.encode(PermitWithdrawn(1))[:-1])
    stranger.close()
    sender = pair[0]
    sender.mesh.send("receiver", PermitWithdrawn(2))
    wait_until(lambda: receiver.received)
    assert receiver.received == [("sender", PermitWithdrawn(2))]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_decoder_raises_only_codec_errors(data):
    codec = Codec(ROUTER_MESSAGES)
    with contextlib.suppress(CodecError):
        codec.decode(data)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary(),
        lambda inner: st.lists(inner, max_size=8),
        max_leaves=20,
    )
)
def test_wrong_fields_raise_codec_errors(fields):
    codec = Codec(ROUTER_MESSAGES)
    body = fields if isinstance(fields, list) else [fields]
    for kind in ROUTER_MESSAGES:
        try:
            message = codec.decode(msgpack.packb([kind.__name__, *body]))
        except CodecError:
            continue
        assert isinstance(message, kind)


def test_round_trip_keeps_large_numbers():
    codec = Codec((PermitReleased, PermitWithdrawn))
    message = PermitWithdrawn(2**64 - 1)
    assert codec.decode(codec.encode(message)) == message
