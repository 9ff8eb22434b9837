"""Tests of the server side of connections whose clients share a budget."""

import contextlib
import random
import socket as standard_socket
import time

import gevent.event
import gevent.socket
import pytest

from sassafrashook.clients import MAX_UNREAD_BYTES, ClientBudget, EvictionReason, open_listener
from sassafrashook.http1 import MemoryLimitError, ServerConnection

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
CHUNKED_HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


def connect(budget=None):
    """Return the server's connection and the client's socket."""
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    client = gevent.socket.create_connection(listener.getsockname())
    sock, _ = listener.accept()
    listener.close()
    return ServerConnection(sock, MAX_HEADER_BYTES, 5.0, budget), client


def read_request(connection):
    deadline = time.monotonic() + 5.0
    head = connection.read_head(deadline)
    return head.path, connection.read_body(MAX_BODY_BYTES, deadline)


@pytest.mark.parametrize("seed", range(3))
def test_pipelined_requests_are_read_one_by_one(seed):
    """Guards against bodies that take bytes of the next request, or leave some of their own."""
    rng = random.Random(seed)
    requests, bodies = [], []
    for number in range(20):
        body = rng.randbytes(rng.choice((0, 1, 5_000, 70_000)))
        bodies.append((f"/{number}", body))
        if rng.random() < 0.5:
            fields = b"Content-Length: %d\r\n\r\n" % len(body)
            encoded = body
        else:
            fields, size = b"Transfer-Encoding: chunked\r\n\r\n", rng.choice((1, 7, 1_000))
            pieces = [body[begin : begin + size] for begin in range(0, len(body), size)]
            chunks = (b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
            encoded = b"".join(chunks) + rng.choice((b"0\r\n\r\n", b"0\r\nA: b\r\n\r\n"))
        requests.append(b"POST /%d HTTP/1.1\r\nHost: a\r\n%s%s" % (number, fields, encoded))
    connection, client = connect()
    sender = gevent.spawn(client.sendall, b"".join(requests))
    for expected in bodies:
        assert read_request(connection) == expected
        connection.send_response(200, [], b"")
        assert connection.start_next_cycle()
    sender.get(timeout=5.0)
    connection.abort()
    client.close()


def test_a_body_beyond_the_memory_is_refused_while_it_is_read():
    """Guards against a refusal of a request of which an upstream has received a part."""
    evictions = []
    budget = ClientBudget(1_000_000, None, lambda reason, *_: evictions.append(reason))
    connection, client = connect(budget)
    sender = gevent.spawn(client.sendall, CHUNKED_HEAD + b"100000\r\n" + b"x" * 0x100000)
    with pytest.raises(MemoryLimitError):
        read_request(connection)
    assert evictions == [EvictionReason.MEMORY]
    connection.should_close_ = True
    connection.send_response(503, [], b"")
    assert client.recv(100).startswith(b"HTTP/1.1 503")
    sender.kill()
    client.close()
    connection.close()
    assert budget.used_bytes_ == 0


def test_a_connection_beyond_the_limit_takes_the_place_of_an_idle_one():
    """Guards against idle connections that keep other clients out."""
    budget = ClientBudget(None, 1)
    first, first_client = connect(budget)
    second, second_client = connect(budget)
    assert second.is_admitted_
    assert not first.wait_for_request(time.monotonic() + 5.0, lambda: False)
    assert first.is_disconnected_
    for connection, client in ((first, first_client), (second, second_client)):
        connection.abort()
        client.close()
    assert not budget.shares_


def test_client_that_never_stops_sending_lets_other_tasks_run_and_is_cut_off():
    """Guards against a closing connection that discards without a pause."""
    budget = ClientBudget(1_000_000, None)
    connection, client = connect(budget)
    turns = []

    def count_turns():
        while True:
            turns.append(1)
            gevent.sleep(0)

    def send_forever():
        with contextlib.suppress(OSError):
            while True:
                client.sendall(b"x" * 65_536)

    tasks = [gevent.spawn(send_forever), gevent.spawn(count_turns)]
    connection.close()
    gevent.killall(tasks)
    client.close()
    assert len(turns) > 100
    assert budget.used_bytes_ == 0 and not budget.shares_


def test_kernel_holds_little_for_a_connection_that_is_not_accepted():
    """Guards against bytes that arrive before a size of the receive buffer takes effect."""
    listener = open_listener(("127.0.0.1", 0), 10)
    client = gevent.socket.create_connection(listener.getsockname())
    client.setblocking(False)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            sent += client.send(b"x" * 65_536)
    gevent.sleep(0.2)
    sock, _ = listener.accept()
    with sock:
        unread = len(sock.recv(10 * MAX_UNREAD_BYTES, standard_socket.MSG_PEEK))
    client.close()
    listener.close()
    assert sent > unread
    assert unread <= MAX_UNREAD_BYTES


def test_requests_sent_ahead_are_served_between_other_tasks():
    """Guards against a client whose pipelined requests keep all others waiting."""
    connection, client = connect()
    client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 50)
    turns, done = [0], []

    def count_turns():
        while not done:
            turns[0] += 1
            gevent.sleep(0)

    counter = gevent.spawn(count_turns)
    for _ in range(50):
        assert connection.wait_for_request(time.monotonic() + 5.0, lambda: False)
        read_request(connection)
        connection.send_response(200, [], b"")
        connection.start_next_cycle()
    done.append(1)
    counter.join()
    connection.abort()
    client.close()
    assert turns[0] >= 50


def test_eviction_ends_a_request_in_progress_behind_which_bytes_wait():
    """Guards against an evicted request that goes on, since nothing is received meanwhile."""
    budget = ClientBudget(500_000, None)
    connection, client = connect(budget)
    ended = gevent.event.Event()
    connection.on_disconnect = ended.set
    request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + b"y" * 300_000
    sender = gevent.spawn(client.sendall, request + b"x" * 200_000)
    read_request(connection)
    gevent.sleep(0.1)
    other, other_client = connect(budget)
    connection._share.since_ -= 10.0  # it has waited for its upstream
    other.reserve_response(150_000)
    assert ended.wait(5.0)
    sender.kill()
    for item in (connection, other):
        item.abort()
    for item in (client, other_client):
        item.close()
