"""Tests of the order in which messages to one peer are written."""

import random

import gevent
import pytest

from sassafrashook.consensus import CONSENSUS_MESSAGES
from sassafrashook.consensus._messages import AppendRequested, Entry, SnapshotPiece
from sassafrashook.transport import CodecError, Mesh, PeerAddress
from sassafrashook.transport._codec import Codec
from sassafrashook.transport._control_messages import (
    CONTROL_MESSAGES,
    Hello,
    MessagePart,
    Ping,
    Pong,
)
from sassafrashook.transport._outgoing import (
    LARGE_LINK_SHARE,
    MAX_PART_BYTES,
    LinkPacer,
    MessageAssembler,
    OutgoingMessages,
)

LINK_BYTES_PER_S = 750_000
HEADER = ("main", "a", "a#1", "b#1", 1, "x", 3, 0)
CODEC = Codec((*CONSENSUS_MESSAGES, *CONTROL_MESSAGES))


def make_append(index, size=0):
    """Return a heartbeat, or a request with one entry of random bytes."""
    data = random.Random(index).randbytes(size)
    entries = [Entry(index, 3, 1, data)] if size else []
    return AppendRequested(*HEADER, index - 1, 3, 0, index, entries)


def make_snapshot_piece(size):
    return SnapshotPiece(*HEADER, 9, 3, 0, [], 0, size, 0, 1, bytes(size))


def make_queue(reads_parts=True):
    queue = OutgoingMessages(CODEC.encode, LinkPacer(LINK_BYTES_PER_S))
    queue.reads_parts_ = reads_parts
    return queue


def write_all(queue, puts=()):
    """Write everything; :returns: (time, message) of each message that is completed.

    :param puts: pairs of time and message to put, in the order of time.
    """
    now, puts, received = 0.0, list(puts), []
    assembler, unpacker = MessageAssembler(), CODEC.make_unpacker()
    while puts or queue:
        while puts and puts[0][0] <= now:
            queue.put(puts.pop(0)[1])
        data, next_due = queue.take(now, 65_536)
        for message in CODEC.decode_chunk(unpacker, data):
            if isinstance(message, MessagePart):
                assert len(message.data) <= MAX_PART_BYTES
                whole = assembler.add(message)
                if whole is not None:
                    received.append((now, CODEC.decode(whole)))
            else:
                received.append((now, message))
        now = max(now, min(next_due, puts[0][0] if puts else next_due))
    return received


def test_heartbeats_pass_between_the_parts_of_a_document():
    """Guards against heartbeats that wait until a document is transmitted."""
    document = make_append(1, 95_000)
    beats = [(0.01 * number, make_append(number)) for number in range(2, 12)]
    received = write_all(make_queue(), [(0.0, document), *beats])
    times = {message.round_number: at for at, message in received}
    assert all(times[message.round_number] == at for at, message in beats)
    expected_s = 95_000 / (LARGE_LINK_SHARE * LINK_BYTES_PER_S)
    assert 0.8 * expected_s < times[1] <= expected_s
    assert [message for _, message in received if message.entries] == [document]


def test_large_message_without_bytes_does_not_hold_back_the_next():
    """Guards against a lane that waits for a message that can't be encoded."""
    queue = make_queue()
    odd, next_one = make_append(2**70, 20_000), make_append(1, 20_000)
    queue.encode = lambda message: b"" if message is odd else CODEC.encode(message)
    assert [message for _, message in write_all(queue, [(0.0, odd), (0.0, next_one)])] == [next_one]


def test_messages_of_one_class_keep_their_order():
    """Guards against a small entry that a follower rejects because it lacks the one before."""
    entries = [make_append(1, 50_000), make_append(2, 10), make_append(3, 20_000)]
    received = write_all(make_queue(), [(0.0, message) for message in entries])
    assert [message for _, message in received] == entries


def test_small_entry_does_not_wait_for_large_messages_of_another_class():
    received = write_all(
        make_queue(), [(0.0, make_snapshot_piece(50_000)), (0.0, make_append(2, 9))]
    )
    assert [type(message) for _, message in received] == [AppendRequested, SnapshotPiece]


def test_large_messages_wait_until_it_is_known_whether_the_peer_reads_parts():
    queue = make_queue(reads_parts=None)
    queue.put(make_append(1, 50_000))
    queue.put(make_append(2))
    data, _ = queue.take(0.0, 65_536)
    assert list(CODEC.decode_chunk(CODEC.make_unpacker(), data)) == [make_append(2)]
    queue.reads_parts_ = False
    data, _ = queue.take(0.0, 65_536)
    assert list(CODEC.decode_chunk(CODEC.make_unpacker(), data)) == [make_append(1, 50_000)]


def test_documents_to_all_peers_share_the_link():
    """Guards against documents to several peers that together fill the link."""
    pacer = LinkPacer(LINK_BYTES_PER_S)
    queues = [OutgoingMessages(CODEC.encode, pacer) for _ in range(4)]
    for queue in queues:
        queue.reads_parts_ = True
        queue.put(make_append(1, 95_000))
    written, step_s, until_s = 0, 0.001, 0.5
    for step in range(int(until_s / step_s)):
        written += sum(len(queue.take(step * step_s, 65_536)[0]) for queue in queues)
    assert written < LARGE_LINK_SHARE * LINK_BYTES_PER_S * until_s + 2 * MAX_PART_BYTES


@pytest.mark.parametrize(
    "parts",
    [
        [MessagePart("a", False, True, b"x")],
        [MessagePart("a", number == 0, False, bytes(5_000_000)) for number in range(2)],
        [MessagePart(str(number), True, False, b"x") for number in range(20)],
    ],
)  # fmt: skip
def test_parts_of_no_message_or_of_too_many_are_rejected(parts):
    assembler = MessageAssembler()
    with pytest.raises(CodecError):
        for part in parts:
            assembler.add(part)


@pytest.mark.parametrize("is_older", [False, True])
def test_document_arrives_whole_also_at_an_older_build(monkeypatch, is_older):
    """Guards against parts that an older build leaves out as unknown messages."""
    received = []
    receiver = Mesh("b", ("127.0.0.1", 0), [], CONSENSUS_MESSAGES)
    if is_older:
        receiver.codec = Codec((*CONSENSUS_MESSAGES, Hello, Ping, Pong))
        monkeypatch.setattr("sassafrashook.transport._mesh.PROTOCOL_VERSION", 1)
    receiver.subscribe(CONSENSUS_MESSAGES, lambda _sender, message: received.append(message))
    receiver.start()
    sender = Mesh(
        "a", ("127.0.0.1", 0), [PeerAddress("b", "127.0.0.1", receiver.port_)], CONSENSUS_MESSAGES
    )
    sender.start()
    messages = [make_append(1, 95_000), make_append(2, 10), make_append(3, 30_000)]
    try:
        for message in messages:
            assert sender.send("b", message)
        with gevent.Timeout(5):
            while len(received) < len(messages):
                gevent.sleep(0.01)
    finally:
        sender.stop()
        receiver.stop()
    assert received == messages
