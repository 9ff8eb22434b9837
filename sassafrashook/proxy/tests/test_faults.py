"""Tests that concurrent callers get complete responses of their own despite injected faults."""

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
    expected_text,
    read_stream,
    request,
    serve,
)
from sassafrashook.proxy.tests.test_relay import CHAT, make_engine

CALLERS = 50
SEED = 7
DELAY_S = 0.05
SWAP_TIMEOUT_S = 2.0


class FaultInjectingProxy:
    """TCP proxy before one upstream that injects faults into some of its responses.

    :param upstream: the fake upstream.
    :param faults: names of faults, each injected by the method ``forward_<name>``.
    :param seed: seed of the fault selection.
    :param share: share of the requests that get a fault.
    :ivar counts: number of requests by fault; ``unchanged`` stands for no fault.
    :ivar held: caller's socket that waits in ``forward_swapped`` and the result that receives its
        partner's socket, or ``None``.
    """

    max_prefix_bytes = 2_000

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
                data = receive_request(client)
                if not data:
                    return
                upstream.sendall(data)
                fault = self.select_fault(data)
                self.counts[fault] += 1
                if not getattr(self, "forward_" + fault)(client, upstream):
                    return

    def select_fault(self, data):
        if data.startswith(b"POST /v1/chat") and self.rng.random() < self.share:
            return self.rng.choice(self.faults)
        return "unchanged"

    def forward_unchanged(self, client, upstream):
        while data := upstream.recv(65_536):
            client.sendall(data)
            if is_end_of_message(data):
                return True
        return False

    def forward_cut(self, client, upstream):
        client.sendall(receive_up_to(upstream, self.rng.randrange(self.max_prefix_bytes)))
        return False

    def forward_finished_early(self, client, upstream):
        """Terminate the chunked body properly after an event, before the end of the stream."""
        data = receive_up_to(upstream, self.rng.randrange(400, 2_000))
        end = data.rfind(b"\n\n\r\n")
        if end > 0:
            client.sendall(data[: end + 4] + b"0\r\n\r\n")
        return False

    def forward_half_close(self, client, upstream):
        client.sendall(receive_up_to(upstream, self.rng.randrange(self.max_prefix_bytes)))
        client.shutdown(socket.SHUT_WR)
        gevent.sleep(DELAY_S)
        return False

    def forward_silent(self, client, upstream):
        client.sendall(receive_up_to(upstream, self.rng.randrange(self.max_prefix_bytes)))
        client.recv(1)
        return False

    def forward_delayed(self, client, upstream):
        gevent.sleep(self.rng.random() * DELAY_S)
        return self.forward_unchanged(client, upstream)

    def forward_swapped(self, client, upstream):
        """Swap the responses of two concurrent callers."""
        if self.held is None:
            self.held = (client, gevent.event.AsyncResult())
            other = self.held[1].get(timeout=SWAP_TIMEOUT_S)
        else:
            other, self.held = self.held, None
            other[1].set(client)
            other = other[0]
        while data := upstream.recv(65_536):
            other.sendall(data)
            if is_end_of_message(data):
                break
        return False


def receive_request(sock):
    """Receive one request that has a Content-Length; empty if the connection is closed."""
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


def receive_up_to(sock, count):
    """Receive up to ``count`` bytes, fewer if the connection is closed."""
    data = b""
    while len(data) < count:
        chunk = sock.recv(count - len(data))
        if not chunk:
            break
        data += chunk
    return data


def is_end_of_message(data):
    """Return whether the bytes end a chunked or a short JSON response."""
    return data.endswith((b"0\r\n\r\n", b"}"))


def run_concurrent_callers(faults, streams=(True, False), share=0.4, seed=SEED, callers=CALLERS):
    """Run concurrent callers whose upstreams are behind fault-injecting proxies.

    :returns: ``(results, faults, router)`` with counters of the results of
        :func:`classify_response` and of the injected faults.
    """
    engines = [make_engine(f"engine-{n}", token_interval_s=0.002) for n in range(3)]
    results = Counter()
    counts = Counter()
    limits = {"receive_timeout_ms": 800, "progress_timeout_ms": 400, "max_attempts": 8}
    with serve(*[("assistant", engine) for engine in engines], **limits) as router:
        router.permits.addresses.clear()
        proxies = [
            FaultInjectingProxy(engine, faults, seed + n, share) for n, engine in enumerate(engines)
        ]
        for engine, proxy in zip(engines, proxies, strict=True):
            router.permits.add("assistant", engine, proxy.start())

        def call(number):
            text = f"plan of shop {number}"
            stream = streams[number % len(streams)]
            body = encode_chat(text, stream, 10 + number)
            _, _, response_body = request(router, "POST", CHAT, body)
            results[classify_response(response_body, expected_text(text, 10 + number), stream)] += 1

        pool = Pool(callers)
        pool.map(call, range(callers))
        for proxy in proxies:
            proxy.stop()
            counts += proxy.counts
    return results, counts, router


def classify_response(response_body, expected, stream):
    """Return ``whole`` for a complete expected response, ``error`` for a reported failure.

    Any other response is ``wrong``.
    """
    if not stream or response_body.startswith(b"{"):
        if b'"error"' in response_body:
            return "error"
        return "whole" if expected.encode() in response_body else "wrong"
    text, ended, error = read_stream(response_body)
    if error is not None:
        return "error" if expected.startswith(text) and not ended else "wrong"
    return "whole" if ended and text == expected else "wrong"


@pytest.mark.parametrize(
    "faults",
    [["cut"], ["finished_early"], ["half_close"], ["silent"], ["delayed"], ["swapped"]],
    ids=lambda faults: faults[0],
)
def test_callers_get_their_own_complete_responses(faults):
    results, counts, _ = run_concurrent_callers(faults)
    assert counts[faults[0]] > 0
    assert results["wrong"] == 0
    assert results["whole"] + results["error"] == CALLERS
    assert results["whole"] >= CALLERS * 0.9


def test_callers_get_correct_responses_under_mixed_faults():
    faults = ["cut", "finished_early", "half_close", "silent", "delayed", "swapped"]
    results, counts, _ = run_concurrent_callers(faults, share=0.5)
    assert all(counts[fault] for fault in faults)
    assert results["wrong"] == 0
    assert results["whole"] >= CALLERS * 0.7


# Each of the following tests disables one check and expects wrong responses or errors, which shows
# that the injected faults exercise the check.


def test_responses_are_wrong_when_end_marker_check_is_disabled(monkeypatch):
    def receive_events(self, exchange):
        if exchange.response.message_complete:
            self.scanner.ended_ = True
            self._pending_events = b": end\n\n"
            return None
        return original(self, exchange)

    original = _chats.ChatRelay._receive_events
    monkeypatch.setattr(_chats.ChatRelay, "_receive_events", receive_events)
    results, _, _ = run_concurrent_callers(["finished_early"], streams=(True,))
    assert results["wrong"] > 0


def test_responses_are_wrong_when_id_check_is_disabled(monkeypatch):
    monkeypatch.setattr(_exchanges.Exchange, "_is_mismatched", lambda self, attempt_id: False)
    monkeypatch.setattr(_events.EventScanner, "_check_id", lambda self, event: None)
    results, _, _ = run_concurrent_callers(["swapped"], streams=(True,))
    assert results["wrong"] > 0


def test_responses_are_wrong_when_resume_position_check_is_disabled(monkeypatch):
    serve_chat = make_engine()._serve_chat.__func__

    def serve_chat_without_position(self, environ, start_response, body):
        environ.pop("HTTP_X_RESUME_POSITION", None)
        return serve_chat(self, environ, start_response, body)

    monkeypatch.setattr("fakes.engine.FakeEngine._serve_chat", serve_chat_without_position)
    results, _, router = run_concurrent_callers(["cut"], streams=(True,))
    assert results["wrong"] == 0
    assert results["error"] > 0
    assert router.counts[("foreign_answers", "assistant")] > 0
    validate_response_head = _chats.validate_response_head
    monkeypatch.setattr(
        _chats, "validate_response_head", lambda exchange, _: validate_response_head(exchange, None)
    )
    results, _, _ = run_concurrent_callers(["cut"], streams=(True,))
    assert results["wrong"] > 0
