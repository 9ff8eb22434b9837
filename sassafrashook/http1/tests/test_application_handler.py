"""Tests of the handler of WSGI applications."""

import gevent
import gevent.socket
import pytest

from sassafrashook.clients import ClientBudget, make_stream_server
from sassafrashook.http1 import (
    ApplicationHandler,
    InvalidRequestError,
    RequestTimeouts,
    read_request_body,
)

MAX_BODY_BYTES = 100_000
TIMEOUTS = RequestTimeouts(idle_s=5.0, head_s=5.0, body_s=0.5, send_s=5.0)
END = b"0\r\n\r\n"


def application(environ, start_response):
    """Return the body of a POST; ``/unread`` leaves it unread, ``/parts`` returns it in parts."""
    path = environ["PATH_INFO"]
    if path == "/empty":
        start_response("204 No Content", [])
        return []
    if path == "/unread":
        start_response("200 OK", [])
        return [b"unread"]
    try:
        body = read_request_body(environ, MAX_BODY_BYTES)
    except InvalidRequestError as error:
        start_response(f"{error.status} Refused", [])
        return [b""]
    if path == "/parts":
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return (body[begin : begin + 1_000] for begin in range(0, len(body), 1_000))
    start_response("200 OK", [("X-Fields", environ.get("HTTP_A", ""))])
    return [body]


@pytest.fixture
def server():
    budget = ClientBudget(8_000_000, 20)
    handler = ApplicationHandler(application, TIMEOUTS, budget)
    server = make_stream_server(("127.0.0.1", 0), handler.handle_client, budget)
    server.start()
    yield server
    server.stop()


def send(server, data):
    """Send bytes and close the sending side; return all that the server sends."""
    with gevent.Timeout(10), gevent.socket.create_connection(server.address) as sock:
        sender = gevent.spawn(sock.sendall, data)
        answer = b""
        while not answer.endswith(END) and (part := sock.recv(65_536)):
            answer += part
        sender.kill()
        return answer


def encode(path, fields=b"", body=b"", method=b"POST", version=b"1.1"):
    head = b"%s %s HTTP/%s\r\nHost: a\r\n%s" % (method, path, version, fields)
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


CLOSE = b"Connection: close\r\n"


@pytest.mark.parametrize("path", [b"/", b"/parts"])
def test_body_is_returned(path, server):
    answer = send(server, encode(path, CLOSE, b"x" * 70_000))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert answer.endswith(b"\r\n\r\n" + b"x" * 70_000)


def test_requests_of_one_connection_are_served_in_order(server):
    """Guards against a body or a response that spills into the next request."""
    requests = encode(b"/", b"", b"first") + encode(b"/unread", b"", b"y" * 60_000)
    answer = send(server, requests + encode(b"/parts", CLOSE, b"last"))
    bodies = [part.partition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1 200 OK")[1:]]
    assert bodies == [b"first", b"unread", b"last"]


def test_connection_with_a_long_unread_body_is_closed(server):
    answer = send(server, encode(b"/unread", b"", b"y" * 70_000))
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"connection: close" in answer.lower()


def test_fields_of_one_name_are_joined(server):
    assert b"X-Fields: 1,2\r\n" in send(server, encode(b"/", CLOSE + b"A: 1\r\na: 2\r\nA_: 3\r\n"))


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_host_is_optional(version, server):
    """Guards against a load balancer whose probes lack the field."""
    answer = send(server, b"GET /unread HTTP/%s\r\n%s\r\n" % (version, CLOSE))
    assert answer.endswith(b"\r\n\r\nunread")


def test_response_without_a_body_states_no_chunks(server):
    answer = send(server, encode(b"/empty", CLOSE))
    assert answer.startswith(b"HTTP/1.1 204 No Content\r\n")
    assert b"chunked" not in answer and answer.endswith(b"\r\n\r\n")
    assert send(server, encode(b"/", CLOSE, method=b"HEAD")).endswith(b"\r\n\r\n")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (encode(b"/", b"X: " + b"y" * 20_000 + b"\r\n"), b"431"),
        (encode(b"/", CLOSE, b"x" * (MAX_BODY_BYTES + 1)), b"413"),
        (encode(b"/", CLOSE, b"short").replace(b": 5\r\n", b": 9\r\n"), b"408"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"T: 1\r\n" * 9_000,
            b"431",
        ),
    ],
)
def test_malformed_request_is_refused_and_its_connection_closed(data, status, server):
    assert send(server, data).startswith(b"HTTP/1.1 " + status)


def test_client_that_waits_for_100_continue_is_asked_for_its_body(server):
    with gevent.Timeout(10), gevent.socket.create_connection(server.address) as sock:
        sock.sendall(encode(b"/", CLOSE + b"Expect: 100-continue\r\n", b"body")[:-4])
        assert sock.recv(100).startswith(b"HTTP/1.1 100")
        sock.sendall(b"body")
        assert sock.recv(1_000).startswith(b"HTTP/1.1 200")


def test_refused_client_that_waits_for_100_continue_is_not_asked(server):
    answer = send(server, encode(b"/unread", b"Expect: 100-continue\r\n", b"body")[:-4])
    assert answer.startswith(b"HTTP/1.1 200") and b"100" not in answer.split(b"\r\n")[0]
