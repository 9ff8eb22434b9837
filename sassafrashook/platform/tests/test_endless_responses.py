"""Tests of upstreams that send bytes without end instead of a response."""

import os
import time

import gevent
import pytest

from sassafrashook.platform.tests.scripted_upstreams import (
    encode_response,
    find_header,
    respond_with_name,
)

MB = 1_048_576
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FAULTY = "faulty"  # in the ids of the requests that get endless responses
CALLER_COUNT = 20
DURATION_S = 2.5
# Routers have 152 MiB or more. 48 are for the process, and half of the rest are for clients.
MAX_GROWTH_BYTES = 80 * MB
MAX_WAIT_S = 1.5  # the shortest deadline of a request

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BLOCK = b"x" * 65_536


def make_fields(head):
    fields = encode_response(head, b"").split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    return b"\r\n".join(f for f in fields if not f.startswith(b"Content-Length")) + b"\r\n"


# What is sent once, by the request's head, and what is sent again and again.
ENDLESS = {
    "head": (lambda _head: HEAD, b"X-Field: " + b"y" * 1_000 + b"\r\n"),
    "line": (lambda _head: b"", BLOCK),
    "informational": (lambda _head: b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "unframed": (lambda head: HEAD + make_fields(head) + b"\r\n", BLOCK),
    "length": (
        lambda head: HEAD + make_fields(head) + b"Content-Length: 1000000000000\r\n\r\n",
        BLOCK,
    ),
    "chunks": (
        lambda head: HEAD + make_fields(head) + CHUNKED + b"\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "tiny_chunks": (lambda head: HEAD + make_fields(head) + CHUNKED + b"\r\n", b"1\r\nx\r\n" * 999),
    "extension": (lambda head: HEAD + make_fields(head) + CHUNKED + b"\r\n1;", BLOCK),
    "trailers": (
        lambda head: HEAD + make_fields(head) + CHUNKED + b"\r\n0\r\n",
        b"X-Field: " + b"y" * 1_000 + b"\r\n",
    ),
    "failure": (
        lambda head: b"HTTP/1.1 500 Failed\r\n" + make_fields(head) + CHUNKED + b"\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "refusal": (
        lambda head: b"HTTP/1.1 503 Busy\r\nX-Sassafrashook-Not-Executed: 1\r\n"
        + make_fields(head)
        + CHUNKED
        + b"\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
}
STREAMED = ("unframed", "chunks", "tiny_chunks")  # as events without an end


def make_endless_script(kind):
    """Return a script that answers faulty requests without end, and others at once."""
    make_begin, block = ENDLESS[kind]

    def respond(upstream, sock, head, body):
        if not find_header(head, "X-Sassafrashook-Attempt-Id").startswith(FAULTY):
            return respond_with_name(upstream, sock, head, body)
        sock.sendall(make_begin(head))
        while True:  # until the router closes the connection
            sock.sendall(block)
            gevent.sleep(0)

    return respond


def read_resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


@pytest.mark.parametrize(
    ("kind", "path"),
    [*((kind, "/counts/1") for kind in ENDLESS), *((kind, "/chats/1") for kind in STREAMED)],
)
def test_endless_response_takes_the_memory_or_the_time_of_other_requests(start_harness, kind, path):
    script = make_endless_script(kind)
    harness = start_harness(script, script)
    before, peak, ordinary = read_resident_bytes(), 0, []

    def call_faulty(number):
        harness.send_request(path, request_id=f"{FAULTY}{number}")

    callers = [gevent.spawn(call_faulty, number) for number in range(CALLER_COUNT)]
    until, number = time.monotonic() + DURATION_S, 0
    while time.monotonic() < until:
        began_at, number = time.monotonic(), number + 1
        status, *_ = harness.send_request("/counts/1", request_id=f"ordinary{number}")
        ordinary.append((status, time.monotonic() - began_at))
        peak = max(peak, read_resident_bytes() - before)
        gevent.sleep(0.1)
    gevent.killall(callers)
    assert {status for status, _ in ordinary} == {200}
    assert max(duration_s for _, duration_s in ordinary) < MAX_WAIT_S
    assert peak < MAX_GROWTH_BYTES
