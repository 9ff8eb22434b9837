"""Scripted upstreams and a gateway over them, on loopback, with the platform's headers."""

import random
import socket as plain_socket
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from sassafrashook.fleet import FleetView
from sassafrashook.gateway import Gateway, GatewayLimits, GatewayServer
from sassafrashook.http1 import ConnectionPool
from sassafrashook.placement import Placement, WarmupShares
from sassafrashook.platform._dialect import PlatformDialect
from sassafrashook.registry import Registration, RegistrationState, Registry
from sassafrashook.routes import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    RouteTable,
    Service,
    WeightedService,
)
from sassafrashook.telemetry import Metrics

HOST = "shop.example"
KEY = "key-1"
ACCOUNT = "bakery"
TIMEOUT_S = 5.0
KINDS = {
    "/plans/": Repeatability.STREAM,
    "/summaries/": Repeatability.RESUMABLE_STREAM,
    "/orders/": Repeatability.AT_MOST_ONCE,
    "/counts/": Repeatability.IDEMPOTENT,
}


def read_message(sock, buffer=b""):
    """Read one HTTP message with a length or in chunks; :returns: (head, body, rest)."""
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65_536)
        if not data:
            return buffer, None, b""
        buffer += data
    head, _, rest = buffer.partition(b"\r\n\r\n")
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        return head, *read_chunks(sock, rest)
    length = 0
    for line in lowered.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(rest) < length:
        data = sock.recv(65_536)
        if not data:
            return head, rest, b""
        rest += data
    return head, rest[:length], rest[length:]


def read_chunks(sock, rest):
    """Read chunks; :returns: (body, rest), the rest ``None`` if they ended early."""
    body = b""
    while True:
        while b"\r\n" not in rest:
            data = sock.recv(65_536)
            if not data:
                return body, None
            rest += data
        size, _, rest = rest.partition(b"\r\n")
        size = int(size, 16)
        while len(rest) < size + 2:
            data = sock.recv(65_536)
            if not data:
                return body + rest, None
            rest += data
        if size == 0:
            return body, rest[2:]
        body += rest[:size]
        rest = rest[size + 2 :]


class ScriptedUpstream:
    """Accepts connections and answers each request by a script.

    :param script: called with (upstream, sock, head, body); returns whether to keep the connection.
    """

    def __init__(self, name, script):
        self.name = name
        self.script = script
        self.requests = []
        self.connections = 0
        self.closed = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return ("127.0.0.1", self.server.server_port)

    def _serve(self, sock, _address):
        self.connections += 1
        rest = b""
        try:
            while True:
                head, body, rest = read_message(sock, rest)
                if body is None:
                    return
                self.requests.append((head, body))
                if not self.script(self, sock, head, body):
                    return
        except OSError:
            return
        finally:
            self.closed += 1
            sock.close()

    def stop(self):
        self.server.stop(timeout=0)


def find_header(head, name):
    """Return the value of a header in raw bytes, or ``None``."""
    for line in head.split(b"\r\n")[1:]:
        field, _, value = line.partition(b":")
        if field.lower() == name.lower().encode():
            return value.strip().decode()
    return None


def encode_answer(head, body=b"ok", status="200 OK", extra=(), attempt=None):
    """Return a signed answer with a length."""
    attempt = attempt or find_header(head, "X-Sassafrashook-Attempt-Id")
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Sassafrashook-Attempt-Id: {attempt}",
        "X-Sassafrashook-Response-Signature: s",
        f"Content-Length: {len(body)}",
        "Keep-Alive: timeout=5",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer(upstream, sock, head, body):
    """Answer with the upstream's name."""
    sock.sendall(encode_answer(head, upstream.name.encode()))
    return True


def make_event(number):
    return b"id: %d\ndata: %d\n\n" % (number, number)


def stream(first=1, last=5, pause_s=0.0, cut=None):
    """Return a script that streams events; with ``cut`` it closes after that many."""

    def run(_upstream, sock, head, _body):
        start = find_header(head, "Last-Event-Id")
        begin = int(start) + 1 if start else first
        attempt = find_header(head, "X-Sassafrashook-Attempt-Id").encode()
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Sassafrashook-Response-Signature: s\r\n"
            b"X-Sassafrashook-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % attempt
        )
        for count, number in enumerate(range(begin, last + 1)):
            if cut is not None and count >= cut:
                sock.sendall(b"5\r\nid: 9\r\n")  # stops in the middle of an event
                return False
            event = make_event(number)
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            gevent.sleep(pause_s)
        sock.sendall(b"0\r\n\r\n")
        return True

    return run


def make_state(version=1, timeout_ms=3_000.0, max_upstreams=2, max_body_bytes=100_000):
    """Return a configuration with one route of each kind."""
    routes = [
        Route(
            prefix.strip("/"), HOST, prefix, kind, [WeightedService("service", 1.0)], timeout_ms,
            200.0, 200.0, max_upstreams, 1, False, kind.endswith("stream"),
        )  # fmt: skip
        for prefix, kind in KINDS.items()
    ]
    services = [Service("service", 0.0)]
    limits = ClientLimits(16_384, max_body_bytes, 1_000, 2_000)
    return RouteConfiguration(version, routes, services, limits, [Account(ACCOUNT, [KEY])])


class Harness:
    """A gateway on loopback before scripted upstreams."""

    def __init__(self, *scripts, state=None):
        self.upstreams = [ScriptedUpstream(f"u{n}", script) for n, script in enumerate(scripts)]
        view = FleetView(Registry(60.0))
        view.table_ = RouteTable(state or make_state())
        view.routers_ = ("r1",)
        self.warmup = WarmupShares("r1", 1.5, 5)
        self.placement = Placement(self.warmup, random.Random(1))
        self.register()
        limits = GatewayLimits(0.2, 50, 10.0)
        pool = ConnectionPool(0.25)
        dialect = PlatformDialect()
        self.gateway = Gateway(dialect, view, self.placement, pool, limits, Metrics("r1"))
        self.server = GatewayServer(self.gateway, "127.0.0.1", 0)
        self.server.start()

    def register(self):
        entries = [
            Registration(u.name, 1, 1, RegistrationState.READY, "service", *u.address, "z", "v1", 8)
            for u in self.upstreams
        ]
        self.placement.set_registrations(entries, {e.upstream_id: 0.0 for e in entries}, 0.0)

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.settimeout(TIMEOUT_S)
        return sock

    def ask(self, path, body=b"", method="POST", fields=(), sock=None, request_id="a1"):
        """Send a request and read the answer; :returns: (status, head, body, rest)."""
        sock = sock or self.connect()
        sock.sendall(encode_request(path, body, method, fields, request_id))
        head, answer_body, rest = read_message(sock)
        status = int(head.split()[1]) if head else 0
        return status, head, answer_body, rest

    def count_requests(self):
        return sum(len(u.requests) for u in self.upstreams)

    def stop(self):
        self.server.server_.stop(timeout=0)
        for upstream in self.upstreams:
            upstream.stop()


def encode_request(path, body=b"", method="POST", fields=(), request_id="a1"):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Sassafrashook-Attempt-Id: {request_id}",
        "X-Sassafrashook-Deadline-Ms: 4000",
        f"X-Sassafrashook-Credential: {KEY}",
        *fields,
    ]
    if not any(field.lower().startswith(("content-length", "transfer-enc")) for field in fields):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def wait_for(condition, timeout_s=TIMEOUT_S):
    """Wait until a condition holds; :returns: whether it does."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        gevent.sleep(0.01)
    return False


def reset(sock):
    """Close a connection with a reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)
    sock.close()
