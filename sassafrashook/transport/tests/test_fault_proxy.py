"""Tests of the fault-injecting proxy that the integration tests use."""

import subprocess
import sys
import time
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from fakes.fault_proxy import FaultProxy

ROOT = Path(__file__).parents[3]
SILENCE_CHECK_S = 0.15


def echo(sock, _):
    with sock:
        while data := sock.recv(65_536):
            sock.sendall(data)


@pytest.fixture
def proxy():
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    proxy = FaultProxy(("127.0.0.1", server.server_port)).start()
    yield proxy
    proxy.stop()
    server.stop(timeout=0)


@pytest.fixture
def connect(proxy):
    opened = []

    def open_connection():
        opened.append(socket.create_connection(proxy.address, timeout=5))
        return opened[-1]

    yield open_connection
    for sock in opened:
        sock.close()


def exchange(sock, data):
    sock.sendall(data)
    return receive(sock, len(data))


def receive(sock, size):
    data = b""
    while len(data) < size and (more := sock.recv(size - len(data))):
        data += more
    return data


def is_silent(sock):
    sock.settimeout(SILENCE_CHECK_S)
    try:
        return sock.recv(1) and False
    except TimeoutError:
        return True
    finally:
        sock.settimeout(5)


def test_passes_large_data_and_half_closes(connect):
    sock = connect()
    data = bytes(range(256)) * 8_192
    sender = gevent.spawn(sock.sendall, data)
    assert receive(sock, len(data)) == data
    sender.join()
    sock.shutdown(socket.SHUT_WR)
    assert sock.recv(1) == b""


def test_cut_resets_connections_and_accepts_new_ones(proxy, connect):
    sock = connect()
    assert exchange(sock, b"one") == b"one"
    proxy.cut()
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    assert exchange(connect(), b"two") == b"two"


def test_refuse_keeps_existing_connections(proxy, connect):
    sock = connect()
    assert exchange(sock, b"one") == b"one"
    proxy.refuse()
    with pytest.raises(ConnectionRefusedError):
        connect()
    assert exchange(sock, b"two") == b"two"
    proxy.heal()
    assert exchange(connect(), b"three") == b"three"


def test_delay_applies_in_each_direction_without_limiting_rate(proxy, connect):
    sock = connect()
    exchange(sock, b"x")
    proxy.delay(60, 40)
    started = time.monotonic()
    for _ in range(5):
        sock.sendall(b"x")
        gevent.sleep(0.005)
    assert receive(sock, 5) == b"x" * 5
    elapsed = time.monotonic() - started
    assert elapsed >= 0.1
    proxy.heal()


@pytest.mark.parametrize("which", ["existing", "all"])
def test_freeze_holds_data_until_healed(proxy, connect, which):
    sock = connect()
    exchange(sock, b"x")
    proxy.freeze(which)
    sock.sendall(b"held")
    assert is_silent(sock)
    new = connect()
    new.sendall(b"new")
    if which == "all":
        assert is_silent(new)
        proxy.heal()
    assert receive(new, 3) == b"new"
    proxy.heal()
    assert receive(sock, 4) == b"held"


@pytest.mark.parametrize("direction", ["up", "down"])
def test_half_open_drops_one_direction_and_resets_when_healed(proxy, connect, direction):
    sock = connect()
    exchange(sock, b"x")
    proxy.half_open(direction)
    sock.sendall(b"lost")
    assert is_silent(sock)
    proxy.heal()
    with pytest.raises(ConnectionResetError):
        sock.recv(1)


def test_swap_and_reorder_between_two_connections(proxy, connect):
    first, second = connect(), connect()
    exchange(first, b"x"), exchange(second, b"x")
    proxy.mix("swap")
    first.sendall(b"first")
    assert is_silent(first)
    second.sendall(b"other")
    assert (receive(first, 5), receive(second, 5)) == (b"other", b"first")
    proxy.mix("reorder")
    first.sendall(b"first")
    assert is_silent(first)
    second.sendall(b"other")
    assert (receive(first, 5), receive(second, 5)) == (b"first", b"other")
    first.sendall(b"alone")
    assert is_silent(first)
    proxy.heal()
    assert receive(first, 5) == b"alone"


def test_truncate_closes_after_given_number_of_bytes(proxy, connect):
    sock = connect()
    proxy.truncate(7)
    sock.sendall(b"0123456789")
    assert receive(sock, 10) == b"0123456"
    assert exchange(connect(), b"0123") == b"0123"


def test_runs_as_process_with_control_port():
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    command = [sys.executable, "-m", "fakes.fault_proxy", "127.0.0.1", str(server.server_port)]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        line = process.stdout.readline()
        ports = dict(part.split("=") for part in line.split())
        control = socket.create_connection(("127.0.0.1", int(ports["control"])), timeout=5)
        sock = socket.create_connection(("127.0.0.1", int(ports["port"])), timeout=5)
        assert exchange(sock, b"x") == b"x"
        answers = control.makefile("rwb")
        for line, answer in (
            (b"delay 1 1", b"ok\n"),
            (b"melt", b"error unknown command 'melt'\n"),
            (b"delay x", b"error ValueError"),
            (b"cut", b"ok\n"),
        ):
            answers.write(line + b"\n")
            answers.flush()
            assert answers.readline().startswith(answer)
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
        sock.close(), control.close()
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
        server.stop(timeout=0)
