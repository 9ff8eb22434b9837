"""Tests of HEAD requests, whose responses have no body."""

import gevent
import pytest

from sassafrashook.platform.tests.scripted_upstreams import (
    encode_response,
    find_header,
    make_route_configuration,
)

PATHS = ("/counts/7", "/orders/7", "/plans/7", "/summaries/7")


def send_head(harness, path, sock, fields=()):
    """Send a HEAD request and read the response; :returns: its status and its head."""
    lines = [
        f"HEAD {path} HTTP/1.1", "Host: shop.example", "X-Sassafrashook-Attempt-Id: a1",
        "X-Sassafrashook-Deadline-Ms: 4000", "X-Sassafrashook-Credential: key-1", *fields,
    ]  # fmt: skip
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65_536)
        if not received:
            return 0, data
        data += received
    head, _, rest = data.partition(b"\r\n\r\n")
    assert rest == b""
    return int(head.split()[1]), head


def respond_without_body(_upstream, sock, head, _body):
    sock.sendall(encode_response(head, b"").replace(b"Content-Length: 0", b"Content-Length: 800"))
    return True


def hang(_upstream, _sock, _head, _body):
    gevent.sleep(1.0)
    return False


@pytest.mark.parametrize("path", PATHS)
def test_length_that_the_upstream_states_is_returned(start_harness, path):
    """Guards against the length of an empty body, and a body that the client doesn't read."""
    harness = start_harness(respond_without_body)
    sock = harness.connect()
    for _ in range(2):
        status, head = send_head(harness, path, sock)
        assert status == 200
        if path in PATHS[:2]:
            assert find_header(head, "Content-Length") == "800"


@pytest.mark.parametrize(
    ("path", "fields", "expected"),
    [
        ("/none/7", (), 404),
        ("/counts/7", ("X-Sassafrashook-Credential: none",), 401),
        ("/counts/7", (), 502),
        ("/orders/7", (), 504),
    ],
)
def test_response_of_the_router_has_no_body(start_harness, path, fields, expected):
    """Guards against a HEAD request whose connection is closed without a response (review/15)."""
    harness = start_harness(hang, configuration=make_route_configuration(timeout_ms=300.0))
    if fields:
        harness.gateway.view.table_.find_account = lambda _key: None
    sock = harness.connect()
    for _ in range(2):
        status, head = send_head(harness, path, sock, fields)
        assert status == expected
        assert int(find_header(head, "Content-Length")) > 0


def test_refusal_of_the_router_has_no_body(start_harness):
    """Guards against the same where no upstream is known."""
    harness = start_harness()
    status, head = send_head(harness, "/counts/7", harness.connect())
    assert status == 503
    assert find_header(head, "Retry-After") is not None


@pytest.mark.parametrize("lines", ["HEAD /\r\n\r\n", "HEAD / HTTP/1.1\r\nA\r\n\r\n"])
def test_malformed_request_is_answered(start_harness, lines):
    """Guards against a request whose method is not known when it is rejected."""
    sock = start_harness().connect()
    sock.sendall(lines.encode())
    assert sock.recv(65_536).startswith(b"HTTP/1.1 400")


def test_content_length_of_many_digits_is_rejected(start_harness):
    """Guards against a length that the interpreter doesn't convert."""
    sock = start_harness().connect()
    sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 5_000 + b"\r\n\r\n")
    assert sock.recv(65_536).startswith(b"HTTP/1.1 4")
