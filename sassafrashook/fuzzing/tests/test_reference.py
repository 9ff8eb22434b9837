"""Reference reader, by examples that are worked out by hand."""

import pytest

from sassafrashook.fuzzing import ResponseStream, StreamEnd, Wholeness, read_response

HEAD = b"HTTP/1.1 200 OK\r\n"
LENGTH = HEAD + b"Content-Length: 2\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def read(data, method="GET", end=StreamEnd.CLOSED):
    return read_response(ResponseStream(method, (data,), end))


@pytest.mark.parametrize(
    ("data", "body", "rest"),
    [
        (LENGTH + b"ab", b"ab", b""),
        (LENGTH + b"abc", b"ab", b"c"),
        (CHUNKED + b"2\r\nab\r\n1;a=b\r\nc\r\n0\r\nA: b\r\n\r\n", b"abc", b""),
        (HEAD + b"\r\nabc", b"abc", b""),
        (b"HTTP/1.1 103 X\r\n\r\n" + LENGTH + b"ab", b"ab", b""),
        (b"HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", b"", b""),
    ],
)
def test_whole_response_is_read(data, body, rest):
    reading = read(data)
    assert (reading.wholeness, reading.status in (200, 304)) == (Wholeness.WHOLE, True)
    assert (reading.body, data[reading.size :]) == (body, rest)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEAD,
        LENGTH + b"a",
        CHUNKED + b"2\r\nab\r\n",
        CHUNKED + b"2\r\nab\r\n0\r\n",
        CHUNKED + b"2\r\nabc\r\n0\r\n\r\n",
        CHUNKED + b"2\nab\r\n0\r\n\r\n",
        CHUNKED + b"-2\r\nab\r\n0\r\n\r\n",
        HEAD + b"A: b\r\n c\r\n\r\n",
        HEAD + b"A : b\r\n\r\n",
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        HEAD + b"Content-Length: +2\r\n\r\nab",
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nab",
        b"HTTP/1.1 103 X\r\n\r\n",
    ],
)
def test_damaged_response_is_recognized(data):
    assert read(data).wholeness is Wholeness.DAMAGED


@pytest.mark.parametrize("end", [StreamEnd.RESET, StreamEnd.RESET_WHILE_SENDING, StreamEnd.SILENT])
def test_only_an_orderly_end_ends_a_response(end):
    assert read(HEAD + b"\r\nabc", end=end).wholeness is Wholeness.DAMAGED
    assert read(LENGTH + b"ab", end=end).wholeness is Wholeness.WHOLE


@pytest.mark.parametrize(
    "data",
    [
        HEAD.replace(b"\r", b"") + b"Content-Length: 2\n\nab",
        HEAD + b"Content-Length: 2, 2\r\n\r\nab",
        HEAD + b"Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        CHUNKED + b"2 ;a=b\r\nab\r\n0\r\n\r\n",
    ],
)
def test_response_that_deviates_has_one_body(data):
    """Guards against readers that accept such a response and read another body from it."""
    reading = read(data)
    assert (reading.wholeness, reading.body) == (Wholeness.EITHER, b"ab")


def test_response_to_head_has_no_body():
    reading = read(LENGTH + b"ab", method="HEAD")
    assert (reading.body, reading.size) == (b"", len(LENGTH))
