"""Tests of chats and plain calls without injected faults."""

import json

from fakes.engine import FakeEngine
from fakes.ledger import FakeLedger
from sassafrashook.messages import PermitOutcome
from sassafrashook.proxy.tests._support import (
    DEADLINE_MS,
    encode_chat,
    expected_text,
    read_stream,
    request,
    serve,
)

CHAT = "/v1/chat/completions"


def make_engine(name="engine-1", **options):
    return FakeEngine(name, "assistant", "muscat-a", **{"token_interval_s": 0.001, **options})


def make_ledger(name="ledger-1", service="ledger", **options):
    return FakeLedger(name, service, "muscat-a", **options)


def test_streamed_chat_is_complete():
    with serve(("assistant", make_engine())) as router:
        status, headers, body = request(router, "POST", CHAT, encode_chat("plan"))
        assert status == 200
        assert headers["X-Upstream-Id"] == "engine-1"
        assert read_stream(body) == (expected_text("plan"), True, None)
    assert router.permits.outcomes == [PermitOutcome.FINISHED]


def test_unstreamed_chat_is_complete():
    with serve(("assistant", make_engine())) as router:
        status, headers, body = request(router, "POST", CHAT, encode_chat("plan", stream=False))
        assert (status, headers["X-Verdict"]) == (200, "ran")
        completion = json.loads(body)
        assert completion["choices"][0]["message"]["content"] == expected_text("plan")


def test_connections_are_reused_after_completed_exchange():
    engine = make_engine()
    with serve(("assistant", engine)) as router:
        for _ in range(3):
            request(router, "POST", CHAT, encode_chat("plan"))
        assert sum(len(idle) for idle in router.context.pools_.idle_.values()) == 1


def test_order_runs_once_and_its_response_is_replayed():
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        fields = {"Idempotency_Key": "k1", "X_Deadline_Ms": DEADLINE_MS}
        first = request(router, "POST", "/ledger/orders", b"flour", **fields)
        second = request(router, "POST", "/ledger/orders", b"flour", **fields)
        assert first[0] == second[0] == 201
        assert first[2] == second[2]
        assert "Idempotency-Replayed" not in first[1]
        assert second[1]["Idempotency-Replayed"] == "true"
    assert ledger.executions_ == {"k1": 1}


def test_repeatable_call_returns_response():
    with serve(("ledger", make_ledger())) as router:
        status, _, body = request(router, "GET", "/ledger/shelf?item=butter")
        assert (status, json.loads(body)) == (200, {"path": "/ledger/shelf"})
