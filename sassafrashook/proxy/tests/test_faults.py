"""Whole answers through faults: 50 callers at once, each with an answer of its own."""

import random
from collections import Counter
from contextlib import suppress

import gevent
import gevent.event
import pytest
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer

from sassafrashook.proxy import _chats, _events, _exchanges
from sassafrashook.proxy.tests._support import (
    encode_chat,
    expect_text,
    read_stream,
    request,
    serve,
)
from sassafrashook.proxy.tests.test_relay import CHAT, make_engine

CALLERS = 50
SEED = 7
HOLD_S = 0.05
SWAP_S = 2.0


class FaultyPort:
    """A TCP relay before one upstream that spoils some of its answers.

    :param faults: names of the methods that spoil an answer, drawn by ``rng`` for each request.
    """

    most_bytes = 2_000

    def __init__(self, upstream, faults, seed=SEED, share=0.4):
        self.upstream = upstream
        self.faults = faults
        self.share = share
        self.rng = random.Random(seed)
        self.counts = Counter()
        self.held = None
        self.server = StreamServer(("127.0.0.1", 0), self.relay)

    def start(self):
        self.server.start()
        return self.server.address[1]

    def stop(self):
        self.server.stop(timeout=0)

    def relay(self, client, address):
        with (
            suppress(OSError, gevent.Timeout),
            client,
            socket.create_connection(("127.0.0.1", self.upstream.port)) as upstream,
        ):
            while True:
                data = receive_message(client)
                if not data:
                    return
                upstream.sendall(data)
                fault = self.draw(data)
                self.counts[fault] += 1
                if not getattr(self, "answer_" + fault)(client, upstream):
                    return

    def draw(self, data):
        if data.startswith(b"POST /v1/chat") and self.rng.random() < self.share:
            return self.rng.choice(self.faults)
        return "none"

    def answer_none(self, client, upstream):
        while data := upstream.recv(65_536):
            client.sendall(data)
            if ends_message(data):
                return True
        return False

    def answer_cut(self, client, upstream):
        client.sendall(read_some(upstream, self.rng.randrange(self.most_bytes)))
        return False

    def answer_finished_early(self, client, upstream):
        """Close the chunked body properly in mid-stream, at the end of a chunk."""
        data = read_some(upstream, self.rng.randrange(400, 2_000))
        end = data.rfind(b"\n\n\r\n")
        if end > 0:
            client.sendall(data[: end + 4] + b"0\r\n\r\n")
        return False

    def answer_half_close(self, client, upstream):
        client.sendall(read_some(upstream, self.rng.randrange(self.most_bytes)))
        client.shutdown(socket.SHUT_WR)
        gevent.sleep(HOLD_S)
        return False

    def answer_silent(self, client, upstream):
        client.sendall(read_some(upstream, self.rng.randrange(self.most_bytes)))
        client.recv(1)
        return False

    def answer_delayed(self, client, upstream):
        gevent.sleep(self.rng.random() * HOLD_S)
        return self.answer_none(client, upstream)

    def answer_swapped(self, client, upstream):
        """Give this caller's answer to another one who waits here too, and the other way round."""
        if self.held is None:
            self.held = (client, gevent.event.AsyncResult())
            other = self.held[1].get(timeout=SWAP_S)
        else:
            other, self.held = self.held, None
            other[1].set(client)
            other = other[0]
        while data := upstream.recv(65_536):
            other.sendall(data)
            if ends_message(data):
                break
        return False


def receive_message(sock):
    """Receive one request with a Content-Length."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65_536)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    while len(body) < length:
        chunk = sock.recv(65_536)
        data += chunk
        body += chunk
    return data


def read_some(sock, count):
    """Read up to ``count`` bytes of an answer, as they come."""
    data = b""
    while len(data) < count:
        chunk = sock.recv(count - len(data))
        if not chunk:
            break
        data += chunk
    return data


def ends_message(data):
    """Return whether the bytes end a chunked or a short JSON answer."""
    return data.endswith((b"0\r\n\r\n", b"}"))


def run_callers(faults, streams=(True, False), share=0.4, seed=SEED, callers=CALLERS):
    """Run callers through faulty ports; returns ``(counts of judgements, of faults, router)``."""
    engines = [make_engine(f"engine-{n}", token_s=0.002) for n in range(3)]
    results = Counter()
    counts = Counter()
    limits = {"first_byte_ms": 800, "progress_ms": 400, "max_attempts": 8}
    with serve(*[("assistant", engine) for engine in engines], **limits) as router:
        router.permits.addresses.clear()
        ports = [FaultyPort(engine, faults, seed + n, share) for n, engine in enumerate(engines)]
        for engine, port in zip(engines, ports, strict=True):
            router.permits.add("assistant", engine, port.start())

        def call(number):
            text = f"plan of shop {number}"
            stream = streams[number % len(streams)]
            body = encode_chat(text, stream, 10 + number)
            _, _, answer = request(router, "POST", CHAT, body)
            results[judge(answer, expect_text(text, 10 + number), stream)] += 1

        pool = Pool(callers)
        pool.map(call, range(callers))
        for port in ports:
            port.stop()
            counts += port.counts
    return results, counts, router


def judge(answer, expected, stream):
    """Return ``whole``, ``error`` or ``wrong``."""
    if not stream or answer.startswith(b"{"):
        if b'"error"' in answer:
            return "error"
        return "whole" if expected.encode() in answer else "wrong"
    text, ended, error = read_stream(answer)
    if error is not None:
        return "error" if expected.startswith(text) and not ended else "wrong"
    return "whole" if ended and text == expected else "wrong"


@pytest.mark.parametrize(
    "faults",
    [["cut"], ["finished_early"], ["half_close"], ["silent"], ["delayed"], ["swapped"]],
    ids=lambda faults: faults[0],
)
def test_every_answer_is_the_callers_own(faults):
    results, counts, _ = run_callers(faults)
    assert counts[faults[0]] > 0
    assert results["wrong"] == 0
    assert results["whole"] + results["error"] == CALLERS
    assert results["whole"] >= CALLERS * 0.9


def test_mixed_faults():
    faults = ["cut", "finished_early", "half_close", "silent", "delayed", "swapped"]
    results, counts, _ = run_callers(faults, share=0.5)
    assert all(counts[fault] for fault in faults)
    assert results["wrong"] == 0
    assert results["whole"] >= CALLERS * 0.7


def test_end_marker_check_is_needed(monkeypatch):
    def receive_events(self, exchange):
        if exchange.response.message_complete:
            self.scanner.ended_ = True
            self._pending = b": end\n\n"
            return None
        return original(self, exchange)

    original = _chats.ChatRelay._receive_events
    monkeypatch.setattr(_chats.ChatRelay, "_receive_events", receive_events)
    results, _, _ = run_callers(["finished_early"], streams=(True,))
    assert results["wrong"] > 0


def test_id_check_is_needed(monkeypatch):
    monkeypatch.setattr(_exchanges.Exchange, "_is_foreign", lambda self, request_id: False)
    monkeypatch.setattr(_events.EventScanner, "_check_id", lambda self, event: None)
    results, _, _ = run_callers(["swapped"], streams=(True,))
    assert results["wrong"] > 0


def test_resume_position_check_is_needed(monkeypatch):
    engine_chat = make_engine()._chat.__func__

    def chat(self, environ, start_response, body):
        environ.pop("HTTP_X_RESUME_POSITION", None)
        return engine_chat(self, environ, start_response, body)

    monkeypatch.setattr("fakes.engine.FakeEngine._chat", chat)
    results, _, router = run_callers(["cut"], streams=(True,))
    assert results["wrong"] == 0
    assert results["error"] > 0
    assert router.counts[("foreign_answers", "assistant")] > 0
    check_head = _chats.check_head
    monkeypatch.setattr(_chats, "check_head", lambda exchange, _: check_head(exchange, None))
    results, _, _ = run_callers(["cut"], streams=(True,))
    assert results["wrong"] > 0
