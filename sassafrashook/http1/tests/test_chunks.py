"""Tests of the decoder of chunked bodies against h11."""

import random

import h11
import pytest

from sassafrashook.http1._chunks import ChunkDecoder, ChunkError

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_HEADER_BYTES = 200


def decode_with_h11(data):
    """Return the body, ``None`` if it is malformed."""
    connection, body = h11.Connection(h11.SERVER, MAX_HEADER_BYTES), bytearray()
    connection.receive_data(HEAD + data)
    try:
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                body += event.data
    except h11.RemoteProtocolError:
        return None
    return body


def decode(data, rng):
    """Decode a body that arrives in random pieces; ``None`` if it is malformed."""
    body, received = bytearray(), bytearray()
    decoder = ChunkDecoder(body, MAX_HEADER_BYTES)
    try:
        while data and not decoder.is_at_end_:
            size = rng.choice((1, 3, 20, 1_000))
            received += data[:size]
            data = data[size:]
            while decoder.decode(received, rng.choice((1, 10, 100))):
                pass
    except ChunkError:
        return None
    if decoder.is_at_end_ and decode_with_h11(bytes(received) + data) is None:
        return None  # malformed trailers, which the connection leaves to h11
    return body


def make_body(rng):
    """Return chunks with runs of equal sizes and extensions, some of them malformed."""
    data = bytearray()
    for _ in range(rng.randrange(6)):
        size = rng.choice((1, 2, 15, 16, 17, 40))
        header = rng.choice((b"%x\r\n", b"0%X\r\n", b"%x;a=b\r\n", b"%x \r\n")) % size
        data += (header + rng.randbytes(size) + b"\r\n") * rng.choice((1, 2, 9))
    if data and rng.random() < 0.3:
        data[rng.randrange(len(data))] = rng.choice(b"\r\nx0;")
    return bytes(data) + b"0\r\n\r\n"


@pytest.mark.parametrize("seed", range(5))
def test_bodies_are_decoded_as_by_h11(seed):
    """Guards against a body that differs from what the client sent, and against smuggling."""
    rng = random.Random(seed)
    for _ in range(400):
        data = make_body(rng)
        assert decode(data, rng) == decode_with_h11(data), data
