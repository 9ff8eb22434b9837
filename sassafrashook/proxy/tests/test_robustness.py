"""Tests of disconnecting callers, malformed input, failing engines and router shutdown."""

import json

import gevent
import pytest
from gevent import socket
from gevent.pool import Pool
from gevent.server import StreamServer
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from sassafrashook.messages import (
    CacheEvent,
    LoadReport,
    PermitOutcome,
    UpstreamAnnouncement,
)
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy import SystemClock, _exchanges, _request_body
from sassafrashook.proxy._decoding import decode_chat, decode_deadline, decode_report
from sassafrashook.proxy._events import EventScanner, StreamError
from sassafrashook.proxy.tests._support import (
    DEADLINE_MS,
    encode_chat,
    expected_text,
    read_stream,
    request,
    send_raw,
    serve,
)
from sassafrashook.proxy.tests.test_relay import CHAT, make_engine
from sassafrashook.transport import Codec

FUZZ_SETTINGS = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def encode_request(body, extra=""):
    lines = f"POST {CHAT} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer caller-key\r\n{extra}"
    return f"{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


def wait_for(condition):
    """Wait until a condition holds, for at most 10 s."""
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.01)


def test_caller_disconnect_cancels_request_at_upstream():
    engine = make_engine(token_interval_s=0.02)
    with serve(("assistant", engine)) as router:
        with socket.create_connection(router.server.address) as sock:
            sock.sendall(encode_request(encode_chat("plan", count=500)))
            assert b"200 OK" in sock.recv(4_096)
        wait_for(lambda: router.permits.outcomes)
        assert router.permits.outcomes == [PermitOutcome.CANCELLED]
        assert engine.counts_["cancels"] == 1
        wait_for(lambda: engine.running_generations_ == 0)


def test_caller_disconnect_before_first_token_cancels_request():
    engine = make_engine(token_interval_s=3.0)
    with serve(("assistant", engine), receive_timeout_ms=10_000) as router:
        with socket.create_connection(router.server.address) as sock:
            sock.sendall(encode_request(encode_chat("plan")))
            wait_for(lambda: engine.running_generations_)
        wait_for(lambda: router.permits.outcomes)
        assert router.permits.outcomes == [PermitOutcome.CANCELLED]


def test_caller_that_stops_reading_is_disconnected():
    engine = make_engine(token_interval_s=0.0)
    with serve(("assistant", engine), write_timeout_ms=300) as router:
        with socket.create_connection(router.server.address) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.sendall(encode_request(encode_chat("plan", count=100_000)))
            wait_for(lambda: router.permits.outcomes)
        assert router.permits.outcomes == [PermitOutcome.CANCELLED]


def run_stalled_caller(monkeypatch):
    """Run a caller that reads nothing for 0.6 s and return the permit outcomes."""
    monkeypatch.setattr("fakes.engine.make_tokens", lambda messages, count: ["x" * 8_192] * count)
    with serve(("assistant", make_engine(token_interval_s=0.0)), progress_timeout_ms=200) as router:
        data = b""
        with socket.create_connection(router.server.address) as sock:
            sock.sendall(encode_request(encode_chat("plan", count=1_200), "Connection: close\r\n"))
            gevent.sleep(0.6)
            while chunk := sock.recv(1_000_000):
                data += chunk
        assert data.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
    return router.permits.outcomes


def test_slow_caller_does_not_expire_upstream_deadline(monkeypatch):
    assert run_stalled_caller(monkeypatch) == [PermitOutcome.FINISHED]


def test_stream_of_slow_caller_breaks_when_deadline_suspension_is_disabled(monkeypatch):
    monkeypatch.setattr(_exchanges.Exchange, "suspend_receive_deadline", lambda self: None)
    assert PermitOutcome.BROKE in run_stalled_caller(monkeypatch)


def test_refusal_has_reason_and_retry_after():
    with serve(("assistant", make_engine())) as router:
        router.permits.refusal = Refusal(Verdict.NOT_RUN, RefusalReason.ACCOUNT_SHARE, 2_300)
        status, headers, body = request(router, "POST", CHAT, encode_chat("plan"))
        assert (status, headers["Retry-After"]) == (429, "3")
        error = json.loads(body)["error"]
        assert (error["verdict"], error["reason"]) == ("not_run", "account_share")
        assert error["retry_after_ms"] == 2_300
    assert router.counts[("refusals", "account_share")] == 1


def test_deadline_limits_waiting_and_running_time():
    with serve(("assistant", make_engine())) as router:
        request(router, "POST", CHAT, encode_chat("plan"), X_Deadline_Ms=900)
        query = router.permits.queries[0]
        assert query.waiting_ms <= 900
        assert query.running_ms <= 900


def test_conversation_key_is_equal_for_all_requests_of_conversation():
    with serve(("assistant", make_engine())) as router:
        first = [{"role": "system", "content": "s"}, {"role": "user", "content": "u"}]
        later = [*first, {"role": "assistant", "content": "a"}, {"role": "user", "content": "v"}]
        for messages in (first, later):
            body = json.dumps({"messages": messages, "stream": True}).encode()
            request(router, "POST", CHAT, body)
        request(router, "POST", CHAT, encode_chat("u"))
        keys = [query.conversation_key for query in router.permits.queries]
        fingerprints = [query.fingerprint for query in router.permits.queries]
    assert keys[0] == keys[1] != keys[2]
    assert len(set(fingerprints)) == 3


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (encode_request(b"{"), b"400"),
        (encode_request(b'{"messages": []}'), b"400"),
        (encode_request(encode_chat("a"), "X-Deadline-Ms: soon\r\n"), b"400"),
        (encode_request(encode_chat("a"), "X-Work-Class: none\r\n"), b"400"),
        (encode_request(encode_chat("a"), "X-Conversation-Id: a b\r\n"), b"400"),
        (encode_request(b"x" * 2_000), b"413"),
        (b"POST /nothing HTTP/1.1\r\nAuthorization: Bearer caller-key\r\n\r\n", b"404"),
        (b"POST /ledger/x HTTP/1.1\r\nAuthorization: Bearer wrong\r\n\r\n", b"401"),
        (b"DELETE /v1/chat/completions HTTP/1.1\r\n\r\n", b"405"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 200 + b"\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 70_000 + b"\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", b"400"),
        (
            b"POST /ledger/x HTTP/1.1\r\nAuthorization: Bearer caller-key\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"400",
        ),
        (b"POST /ledger/x HTTP/1.1\r\nContent-Length: 900\r\n\r\n", b"401"),
    ],
)
def test_bad_input_is_rejected_and_counted(data, status):
    with serve(("assistant", make_engine()), max_body_bytes=1_000) as router:
        data = data.replace(b" HTTP/1.1\r\n", b" HTTP/1.1\r\nConnection: close\r\n", 1)
        response = send_raw(router, data)
        assert response.startswith(b"HTTP/1.1 " + status)
        assert b'"verdict":"not_run"' in response
        counted = [name for name, _ in router.counts]
        assert "bad_input" in counted or "refusals" in counted
        assert request(router, "GET", "/healthz")[0] == 200
    assert not router.permits.outcomes


def test_slow_senders_are_disconnected(monkeypatch):
    monkeypatch.setattr(_request_body, "READ_TIMEOUT_S", 0.2)
    with serve(("assistant", make_engine()), server={"idle_timeout_ms": 200}) as router:
        assert send_raw(router, b"POST / HT") == b""
        assert send_raw(router, encode_request(b"x" * 50)[:-9]).startswith(b"HTTP/1.1 400")


def test_upstream_reports_are_decoded_and_passed_to_callback():
    with serve(("assistant", make_engine())) as router:
        engine = make_engine()
        path, body = "/v1/announcements", json.dumps(engine.make_announcement()).encode()
        assert request(router, "POST", path, body, key="caller-key")[0] == 401
        assert request(router, "POST", path, body[:-1], key="upstream-key")[0] == 400
        assert not router.reports
        assert request(router, "POST", path, body, key="upstream-key")[0] == 202
        assert isinstance(router.reports[0], UpstreamAnnouncement)
        assert router.reports[0].upstream_id == "engine-1"


def test_stop_reports_unready_and_completes_streams():
    engine = make_engine(token_interval_s=0.02)
    with serve(("assistant", engine), server={"drain_notice_ms": 300}) as router:
        stream = gevent.spawn(request, router, "POST", CHAT, encode_chat("plan", count=60))
        wait_for(lambda: engine.running_generations_)
        stop = gevent.spawn(router.server.stop, SystemClock().monotonic() + 20)
        wait_for(lambda: router.application.draining_)
        status, headers, body = request(router, "GET", "/healthz")
        assert (status, headers["Connection"]) == (503, "close")
        assert json.loads(body) == {"serving": False, "reason": "stopping"}
        assert request(router, "POST", CHAT, encode_chat("late", count=2))[0] == 200
        assert stop.get() == 0
        assert read_stream(stream.get()[2]) == (expected_text("plan", 60), True, None)
        with pytest.raises(OSError):
            request(router, "GET", "/healthz")


def test_crashed_engine_is_detected_and_stream_resumes_elsewhere():
    engines = [make_engine(f"engine-{n}", token_interval_s=0.01) for n in range(2)]
    with serve(*[("assistant", engine) for engine in engines]) as router:
        stream = gevent.spawn(request, router, "POST", CHAT, encode_chat("plan", count=50))
        wait_for(lambda: any(engine.running_generations_ for engine in engines))
        gevent.sleep(0.1)
        [running] = [engine for engine in engines if engine.running_generations_]
        running.stop()
        assert read_stream(stream.get()[2]) == (expected_text("plan", 50), True, None)
    assert router.permits.outcomes == [PermitOutcome.CRASHED, PermitOutcome.FINISHED]
    assert sum(engine.counts_["resumed_from_text"] for engine in engines) == 1


def test_unresponsive_engine_is_detected_by_new_connection():
    engine = make_engine()
    unresponsive_server = StreamServer(
        ("127.0.0.1", 0), lambda sock, _: gevent.sleep(30), spawn=Pool(100)
    )
    unresponsive_server.start()
    limits = {"receive_timeout_ms": 300, "control_timeout_ms": 200}
    with serve(("assistant", engine), **limits) as router:
        router.permits.addresses["assistant"].insert(
            1, ("engine-2", "127.0.0.1", unresponsive_server.server_port)
        )
        router.permits.boot_ids["engine-2"] = "b"
        status, _, body = request(router, "POST", CHAT, encode_chat("plan"))
        unresponsive_server.stop(timeout=0)
        assert read_stream(body) == (expected_text("plan"), True, None)
    assert router.permits.outcomes == [PermitOutcome.SILENT, PermitOutcome.FINISHED]
    assert router.retries.retry_checks == [("engine-2", Verdict.MAY_HAVE_RUN)]


def test_stream_cut_after_comment_is_resumed():
    def send_comment(sock, _):
        sent = sock.recv(65_536).decode()
        request_id = sent.partition("X-Request-Id: ")[2].split("\r\n")[0]
        lines = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}"
        sock.sendall(f"{lines}\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n: ping\n\n\r\n".encode())

    comment_server = StreamServer(("127.0.0.1", 0), send_comment)
    comment_server.start()
    with serve(("assistant", make_engine())) as router:
        address = ("engine-2", "127.0.0.1", comment_server.server_port)
        router.permits.addresses["assistant"].insert(1, address)
        router.permits.boot_ids["engine-2"] = "b"
        _, _, body = request(router, "POST", CHAT, encode_chat("plan"))
        comment_server.stop()
    assert body.startswith(b": ping\n\ndata: ")
    assert read_stream(body) == (expected_text("plan"), True, None)


@FUZZ_SETTINGS
@given(st.binary() | st.text().map(str.encode) | st.dictionaries(st.text(), st.text()).map(str))
def test_decoders_return_value_or_refusal(data):
    data = data if isinstance(data, bytes) else data.replace("'", '"').encode("utf-8", "replace")
    assert isinstance(decode_chat(data), Success | Failure)
    for message in (UpstreamAnnouncement, LoadReport, CacheEvent):
        assert isinstance(decode_report(message, data), Success | Failure)


@FUZZ_SETTINGS
@given(st.none() | st.text(), st.none() | st.text())
def test_deadline_decoder_returns_value_or_refusal(remaining, unix):
    assert isinstance(decode_deadline(remaining, unix, SystemClock()), Success | Failure)
    assert decode_deadline(str(DEADLINE_MS), None, SystemClock()).unwrap() > 0


@FUZZ_SETTINGS
@given(st.integers(0, 30), st.lists(st.integers(1, 80)), st.binary(max_size=12), st.integers(0))
def test_scanner_returns_only_complete_events_of_its_response(count, cuts, noise, at):
    event = b'data: {"id":"chatcmpl-7","choices":[]}\n\n'
    data = event * count + b"data: [DONE]\n\n"
    if noise:
        at %= len(data)
        data = data[:at] + noise + data[at:]
    scanner = EventScanner("7")
    passed = b""
    try:
        for size in [*cuts, len(data)]:
            passed += scanner.push(data[:size])
            data = data[size:]
            assert passed == b"" or passed.endswith(b"\n\n")
    except StreamError:
        assert noise
    if not noise:
        assert scanner.ended_
        assert scanner.position_ == count


@pytest.mark.parametrize("number", [2**63, 2**64, 10**20, -(10**20), 10**4_000])
def test_report_with_a_number_that_cannot_be_sent_on_is_refused(number):
    """Guards against a router that ends because an upstream states a number of over 64 bits."""
    report = {"upstream_id": "a", "boot_id": "b", "sequence": 1, "running": number, "waiting": 0}
    decoded = decode_report(LoadReport, json.dumps(report).encode())
    if isinstance(decoded, Success):
        assert Codec((LoadReport,)).encode(decoded.unwrap())
    assert isinstance(decoded, Failure) or number == 2**63
