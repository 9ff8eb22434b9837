"""Calls that run at most once: no second execution, and no false ``not_run``."""

import json
import os
import random
from collections import Counter

import gevent
import pytest
from gevent.pool import Pool
from returns.result import Failure

from sassafrashook.messages import ClaimStatus, PermitOutcome
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy import SystemClock, _orders
from sassafrashook.proxy.tests._support import SOON_MS, Router, request, serve
from sassafrashook.proxy.tests.test_faults import FaultyPort
from sassafrashook.proxy.tests.test_relay import make_ledger

PATH = "/ledger/orders"
SEEDS = int(os.environ.get("SOAK", "2"))


class JumpingClock(SystemClock):
    """A clock that a test moves forward, as a pause of the process does."""

    def __init__(self):
        self.offset_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.offset_s

    def unix_ms(self):
        return super().unix_ms() + int(self.offset_s * 1_000)


def order(router, key="k1", body=b"flour", path=PATH, deadline_ms=SOON_MS):
    """Submit an order; returns ``(status, verdict, headers)``."""
    fields = {"Idempotency_Key": key, "X_Deadline_Ms": deadline_ms}
    status, headers, answer = request(router, "POST", path, body, **fields)
    if b'"error"' in answer:
        assert json.loads(answer)["error"]["verdict"] == headers["X-Verdict"]
    return status, headers["X-Verdict"], headers


def test_answer_lost_after_the_order_ran():
    ledgers = [make_ledger(f"ledger-{n}", close_before_answer=True) for n in range(2)]
    with serve(*[("ledger", ledger) for ledger in ledgers]) as router:
        for replayed in (None, "true"):
            status, verdict, headers = order(router)
            assert (status, verdict) == (502, Verdict.MAY_HAVE_RUN)
            assert headers.get("Idempotency-Replayed") == replayed
    assert sum(ledger.executions["k1"] for ledger in ledgers) == 1
    assert router.permits.outcomes[0] is PermitOutcome.BROKE


def test_lost_answer_is_looked_up_where_the_service_can_be_asked():
    ledger = make_ledger("booking-1", "booking", close_before_answer=True)
    with serve(("booking", ledger)) as router:
        assert order(router, path="/booking/hires")[:2] == (200, Verdict.RAN)
        assert order(router, path="/booking/hires")[:2] == (200, Verdict.RAN)
    assert ledger.executions == {"k1": 1}


def test_refused_connection_is_not_run_and_goes_elsewhere():
    ledger = make_ledger()
    gone = make_ledger("ledger-2").start()
    gone.stop()
    with serve(("ledger", ledger)) as router:
        router.permits.add("ledger", gone)
        for number in range(4):
            assert order(router, f"k{number}")[:2] == (201, Verdict.RAN)
    assert PermitOutcome.CONNECT_FAILED in router.permits.outcomes
    assert set(ledger.executions.values()) == {1}


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (ClaimStatus.RUNNING, (409, Verdict.MAY_HAVE_RUN)),
        (ClaimStatus.CONFLICT, (422, Verdict.NOT_RUN)),
        (ClaimStatus.EXPIRED, (504, Verdict.MAY_HAVE_RUN)),
        (ClaimStatus.UNAVAILABLE, (503, Verdict.NOT_RUN)),
        (ClaimStatus.UNKNOWN, (503, Verdict.NOT_RUN)),
    ],
)
def test_without_a_granted_claim_nothing_is_sent(status, expected):
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        router.claims.status = status
        got, verdict, headers = order(router)
        assert (got, verdict) == expected
        assert headers["Retry-After"]
        router.context.background_.kill()
    assert not ledger.executions
    assert router.permits.outcomes == [PermitOutcome.UNUSED]


def test_undecided_claim_that_turns_out_granted_is_recorded_as_not_run(monkeypatch):
    monkeypatch.setattr(_orders, "RECORD_RETRY_S", 0.01)
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        claim = router.claims.claim

        def grant_and_lose_the_answer(query, deadline):
            claim(query, deadline)
            return type(claim(query, deadline))(0, ClaimStatus.UNKNOWN)

        router.claims.claim = grant_and_lose_the_answer
        assert order(router)[1] == Verdict.NOT_RUN
        router.context.background_.join()
        router.claims.claim = claim
        status, verdict, headers = order(router)
        assert (verdict, headers["Idempotency-Replayed"]) == (Verdict.NOT_RUN, "true")
    assert not ledger.executions


def test_refusal_of_a_repeat_tells_what_became_of_the_first():
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        order(router)
        router.permits.refusal = Refusal(Verdict.NOT_RUN, RefusalReason.NO_CAPACITY, 700)
        assert order(router)[:2] == (201, Verdict.RAN)
        assert order(router, "k2")[:2] == (503, Verdict.NOT_RUN)
    assert ledger.executions == {"k1": 1}


@pytest.mark.parametrize(
    ("pause_s", "expected"), [(3.0, (201, Verdict.RAN)), (10.0, (504, Verdict.NOT_RUN))]
)
def test_pause_between_claim_and_first_byte(pause_s, expected):
    ledger, router, outcome = pause_after_claim(pause_s)
    assert outcome == expected
    assert sum(ledger.executions.values()) == (expected[1] is Verdict.RAN)
    assert router.permits.outcomes[0] is PermitOutcome.UNUSED


def test_check_after_a_pause_is_needed(monkeypatch):
    monkeypatch.setattr(_orders.OnceCall, "_is_late", lambda self, permit: False)
    ledger, _, _ = pause_after_claim(10.0)
    assert ledger.executions == {"k1": 1}


def pause_after_claim(pause_s):
    """Pause a router once between claim and first byte; returns what came of the order."""
    clock = JumpingClock()
    ledger = make_ledger()
    with serve(("ledger", ledger), clock=clock) as router:
        router.permits.use_ms = 2_000
        claim = router.claims.claim

        def claim_and_pause(query, deadline):
            decision = claim(query, deadline)
            clock.offset_s = pause_s
            return decision

        router.claims.claim = claim_and_pause
        status, verdict, _ = order(router)
        return ledger, router, (status, verdict)


def test_caller_that_goes_away_leaves_a_record():
    ledger = make_ledger(delay_s=0.2)
    with serve(("ledger", ledger)) as router:
        with gevent.Timeout(0.1, False):
            order(router)
        assert order(router)[:2] == (409, Verdict.MAY_HAVE_RUN)
        gevent.sleep(0.3)
        assert order(router)[:2] == (201, Verdict.RAN)
    assert ledger.executions == {"k1": 1}


@pytest.mark.parametrize("missing", ["Idempotency_Key", "X_Deadline_Ms"])
def test_key_and_deadline_are_required(missing):
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        fields = {"Idempotency_Key": "k1", "X_Deadline_Ms": SOON_MS}
        del fields[missing]
        status, headers, _ = request(router, "PUT", PATH, b"flour", **fields)
        assert (status, headers["X-Verdict"]) == (400, Verdict.NOT_RUN)
    assert not ledger.executions


def run_orders(seed, orders=60, faults=("cut", "half_close", "swapped")):
    """Submit orders up to three times each, through two routers that share the claims, with cuts.

    :returns: ``(executions by key, verdicts by key)``.
    """
    rng = random.Random(seed)
    ledgers = [make_ledger(f"ledger-{n}", delay_s=0.005) for n in range(2)]
    verdicts = {}
    with serve(*[("ledger", ledger) for ledger in ledgers], probe_ms=200) as router:
        other = Router(probe_ms=200)
        other.claims = other.context.claims = router.claims
        ports = [OrderPort(n, faults, seed, 0.5) for n in ledgers]
        router.permits.addresses.clear()
        for ledger, port in zip(ledgers, ports, strict=True):
            number = port.start()
            router.permits.add("ledger", ledger, number)
            other.permits.add("ledger", ledger, number)
        other.server.start()
        refuse_some(router.permits, rng)
        refuse_some(other.permits, rng)
        plans = [
            (rng.choice(["k", "k", "K"]) + str(n), rng.choice([1, 2, 3]), n) for n in range(orders)
        ]

        def submit(plan):
            key, times, number = plan
            verdicts[key] = []
            for attempt in range(times):
                target = (router, other)[(attempt + number) % 2]
                if key.isupper():
                    gevent.spawn(order, target, key).join(timeout=0.004)
                verdicts[key].append(order(target, key, deadline_ms=1_500)[1])

        Pool(30).map(submit, plans)
        other.server.stop(SystemClock().monotonic() + 5)
        for port in ports:
            port.stop()
        assert not other.permits.held
    return sum((ledger.executions for ledger in ledgers), Counter()), verdicts


def refuse_some(permits, rng):
    """Let a source of permits refuse a third of what it is asked for."""
    acquire = permits.acquire

    def acquire_or_refuse(query, deadline):
        if rng.random() < 0.33:
            return Failure(Refusal(Verdict.NOT_RUN, RefusalReason.NO_CAPACITY, 500))
        return acquire(query, deadline)

    permits.acquire = acquire_or_refuse


def find_lies(executions, verdicts):
    """Return the keys whose verdicts the ledgers' records contradict.

    The verdict ``not_run`` is of one submission: a later one may run. An earlier one may not
    have, unless it was still waiting when its caller gave it up (keys in capitals).
    """
    lies = []
    for key, told in verdicts.items():
        ran = executions[key]
        sent = [verdict is not Verdict.NOT_RUN for verdict in map(Verdict, told)]
        is_false = Verdict.RAN in told and ran != 1
        if key.islower():
            is_false |= not any(sent) and ran > 0
            is_false |= sent != sorted(sent)
        if is_false:
            lies.append((key, told, ran))
    return lies


class OrderPort(FaultyPort):
    """Spoils the answers to orders."""

    most_bytes = 150

    def draw(self, data):
        if data.startswith(b"POST") and self.rng.random() < self.share:
            return self.rng.choice(self.faults)
        return "none"


@pytest.mark.parametrize("seed", range(1, 1 + SEEDS))
def test_no_order_runs_twice_and_not_run_is_true(seed):
    executions, verdicts = run_orders(seed)
    assert max(executions.values()) == 1
    assert not find_lies(executions, verdicts)
    told = Counter(verdict for verdicts_of_key in verdicts.values() for verdict in verdicts_of_key)
    assert set(told) == set(Verdict)


def test_reading_the_record_before_a_refusal_is_needed(monkeypatch):
    monkeypatch.setattr(_orders.OnceCall, "_read_record", lambda self: None)
    assert find_lies(*run_orders(1))


def test_claims_are_needed(monkeypatch):
    def claim(self):
        self._granted = True

    monkeypatch.setattr(_orders.OnceCall, "_claim", claim)
    monkeypatch.setattr(_orders, "RECORD_RETRY_S", 0.01)
    executions, _ = run_orders(1, orders=20, faults=["half_close"])
    assert max(executions.values()) > 1
