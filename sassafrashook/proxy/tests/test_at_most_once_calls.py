"""Tests of at-most-once calls: no second execution and no false ``not_run`` verdict."""

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
from sassafrashook.proxy import SystemClock, _at_most_once_calls
from sassafrashook.proxy.tests._support import DEADLINE_MS, Router, request, serve
from sassafrashook.proxy.tests.test_faults import FaultInjectingProxy
from sassafrashook.proxy.tests.test_relay import make_ledger

PATH = "/ledger/orders"
# The environment variable SOAK sets the number of seeds of the randomised test.
SEEDS = int(os.environ.get("SOAK", "2"))


class AdjustableClock(SystemClock):
    """System clock with an adjustable offset, to simulate a pause of the process."""

    def __init__(self):
        self.offset_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.offset_s

    def unix_ms(self):
        return super().unix_ms() + int(self.offset_s * 1_000)


def submit_order(router, key="k1", body=b"flour", path=PATH, deadline_ms=DEADLINE_MS):
    """Submit an order and return ``(status, verdict, headers)``."""
    fields = {"Idempotency_Key": key, "X_Deadline_Ms": deadline_ms}
    status, headers, response_body = request(router, "POST", path, body, **fields)
    if b'"error"' in response_body:
        assert json.loads(response_body)["error"]["verdict"] == headers["X-Verdict"]
    return status, headers["X-Verdict"], headers


def test_response_lost_after_order_ran():
    ledgers = [make_ledger(f"ledger-{n}", close_before_answer=True) for n in range(2)]
    with serve(*[("ledger", ledger) for ledger in ledgers]) as router:
        for replayed in (None, "true"):
            status, verdict, headers = submit_order(router)
            assert (status, verdict) == (502, Verdict.MAY_HAVE_RUN)
            assert headers.get("Idempotency-Replayed") == replayed
    assert sum(ledger.executions_["k1"] for ledger in ledgers) == 1
    assert router.permits.outcomes[0] is PermitOutcome.BROKE


def test_lost_response_is_looked_up_at_service_with_lookup_path():
    ledger = make_ledger("booking-1", "booking", close_before_answer=True)
    with serve(("booking", ledger)) as router:
        assert submit_order(router, path="/booking/hires")[:2] == (200, Verdict.RAN)
        assert submit_order(router, path="/booking/hires")[:2] == (200, Verdict.RAN)
    assert ledger.executions_ == {"k1": 1}


def test_order_is_retried_elsewhere_after_refused_connection():
    ledger = make_ledger()
    gone = make_ledger("ledger-2").start()
    gone.stop()
    with serve(("ledger", ledger)) as router:
        router.permits.add("ledger", gone)
        for number in range(4):
            assert submit_order(router, f"k{number}")[:2] == (201, Verdict.RAN)
    assert PermitOutcome.CONNECT_FAILED in router.permits.outcomes
    assert set(ledger.executions_.values()) == {1}


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
def test_order_without_granted_claim_is_not_sent(status, expected):
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        router.claims.status = status
        got, verdict, headers = submit_order(router)
        assert (got, verdict) == expected
        assert headers["Retry-After"]
        router.context.background_.kill()
    assert not ledger.executions_
    assert router.permits.outcomes == [PermitOutcome.UNUSED]


def test_undecided_claim_that_was_granted_is_recorded_as_not_run(monkeypatch):
    monkeypatch.setattr(_at_most_once_calls, "RECORD_INTERVAL_S", 0.01)
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        claim = router.claims.claim

        def grant_without_response(query, deadline):
            claim(query, deadline)
            return type(claim(query, deadline))(0, ClaimStatus.UNKNOWN)

        router.claims.claim = grant_without_response
        assert submit_order(router)[1] == Verdict.NOT_RUN
        router.context.background_.join()
        router.claims.claim = claim
        status, verdict, headers = submit_order(router)
        assert (verdict, headers["Idempotency-Replayed"]) == (Verdict.NOT_RUN, "true")
    assert not ledger.executions_


def test_refused_repeat_returns_result_of_first_submission():
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        submit_order(router)
        router.permits.refusal = Refusal(Verdict.NOT_RUN, RefusalReason.NO_CAPACITY, 700)
        assert submit_order(router)[:2] == (201, Verdict.RAN)
        assert submit_order(router, "k2")[:2] == (503, Verdict.NOT_RUN)
    assert ledger.executions_ == {"k1": 1}


@pytest.mark.parametrize(
    ("pause_s", "expected"), [(3.0, (201, Verdict.RAN)), (10.0, (504, Verdict.NOT_RUN))]
)
def test_pause_between_claim_and_send(pause_s, expected):
    ledger, router, outcome = run_with_pause_after_claim(pause_s)
    assert outcome == expected
    assert sum(ledger.executions_.values()) == (expected[1] is Verdict.RAN)
    assert router.permits.outcomes[0] is PermitOutcome.UNUSED


def test_order_is_sent_after_pause_when_deadline_check_is_disabled(monkeypatch):
    monkeypatch.setattr(
        _at_most_once_calls.AtMostOnceCall, "_is_past_deadline", lambda self, permit: False
    )
    ledger, _, _ = run_with_pause_after_claim(10.0)
    assert ledger.executions_ == {"k1": 1}


def run_with_pause_after_claim(pause_s):
    """Submit an order to a router that pauses between the claim and sending the request.

    :returns: ``(ledger, router, (status, verdict))``.
    """
    clock = AdjustableClock()
    ledger = make_ledger()
    with serve(("ledger", ledger), clock=clock) as router:
        router.permits.send_timeout_ms = 2_000
        claim = router.claims.claim

        def claim_and_pause(query, deadline):
            decision = claim(query, deadline)
            clock.offset_s = pause_s
            return decision

        router.claims.claim = claim_and_pause
        status, verdict, _ = submit_order(router)
        return ledger, router, (status, verdict)


def test_order_of_disconnected_caller_is_recorded():
    ledger = make_ledger(delay_s=0.2)
    with serve(("ledger", ledger)) as router:
        with gevent.Timeout(0.1, False):
            submit_order(router)
        assert submit_order(router)[:2] == (409, Verdict.MAY_HAVE_RUN)
        gevent.sleep(0.3)
        assert submit_order(router)[:2] == (201, Verdict.RAN)
    assert ledger.executions_ == {"k1": 1}


@pytest.mark.parametrize("missing", ["Idempotency_Key", "X_Deadline_Ms"])
def test_idempotency_key_and_deadline_are_required(missing):
    ledger = make_ledger()
    with serve(("ledger", ledger)) as router:
        fields = {"Idempotency_Key": "k1", "X_Deadline_Ms": DEADLINE_MS}
        del fields[missing]
        status, headers, _ = request(router, "PUT", PATH, b"flour", **fields)
        assert (status, headers["X-Verdict"]) == (400, Verdict.NOT_RUN)
    assert not ledger.executions_


def submit_random_orders(seed, orders=60, faults=("cut", "half_close", "swapped")):
    """Submit orders one to three times each through two routers with shared claims and faults.

    For upper-case keys, each submission follows another whose caller disconnects after 4 ms and
    whose verdict is not recorded.

    :returns: ``(executions by key, verdicts by key)``.
    """
    rng = random.Random(seed)
    ledgers = [make_ledger(f"ledger-{n}", delay_s=0.005) for n in range(2)]
    verdicts = {}
    with serve(*[("ledger", ledger) for ledger in ledgers], control_timeout_ms=200) as router:
        other = Router(control_timeout_ms=200)
        other.claims = other.context.claims = router.claims
        proxies = [FaultInjectingOrderProxy(ledger, faults, seed, 0.5) for ledger in ledgers]
        router.permits.addresses.clear()
        for ledger, proxy in zip(ledgers, proxies, strict=True):
            port = proxy.start()
            router.permits.add("ledger", ledger, port)
            other.permits.add("ledger", ledger, port)
        other.server.start()
        refuse_permits_randomly(router.permits, rng)
        refuse_permits_randomly(other.permits, rng)
        plans = [
            (rng.choice(["k", "k", "K"]) + str(n), rng.choice([1, 2, 3]), n) for n in range(orders)
        ]

        def submit(plan):
            key, times, number = plan
            verdicts[key] = []
            for attempt in range(times):
                target = (router, other)[(attempt + number) % 2]
                if key.isupper():
                    gevent.spawn(submit_order, target, key).join(timeout=0.004)
                verdicts[key].append(submit_order(target, key, deadline_ms=1_500)[1])

        Pool(30).map(submit, plans)
        other.server.stop(SystemClock().monotonic() + 5)
        for proxy in proxies:
            proxy.stop()
        assert not other.permits.held
    return sum((ledger.executions_ for ledger in ledgers), Counter()), verdicts


def refuse_permits_randomly(permits, rng):
    """Make a permit source refuse a third of the requests."""
    acquire = permits.acquire

    def acquire_or_refuse(query, deadline):
        if rng.random() < 0.33:
            return Failure(Refusal(Verdict.NOT_RUN, RefusalReason.NO_CAPACITY, 500))
        return acquire(query, deadline)

    permits.acquire = acquire_or_refuse


def find_contradicted_keys(executions, verdicts):
    """Return the keys whose verdicts contradict the executions counted by the ledgers.

    The verdict ``not_run`` applies to one submission: a later submission may run, but no earlier
    one may have run. Upper-case keys are exempt from this rule, because an unrecorded submission
    may run at any time.
    """
    contradicted = []
    for key, reported in verdicts.items():
        ran = executions[key]
        sent = [verdict is not Verdict.NOT_RUN for verdict in map(Verdict, reported)]
        is_contradicted = Verdict.RAN in reported and ran != 1
        if key.islower():
            is_contradicted |= not any(sent) and ran > 0
            is_contradicted |= sent != sorted(sent)
        if is_contradicted:
            contradicted.append((key, reported, ran))
    return contradicted


class FaultInjectingOrderProxy(FaultInjectingProxy):
    """Fault-injecting proxy for responses to orders."""

    max_prefix_bytes = 150

    def select_fault(self, data):
        if data.startswith(b"POST") and self.rng.random() < self.share:
            return self.rng.choice(self.faults)
        return "unchanged"


@pytest.mark.parametrize("seed", range(1, 1 + SEEDS))
def test_orders_run_once_and_verdicts_match_executions(seed):
    executions, verdicts = submit_random_orders(seed)
    assert max(executions.values()) == 1
    assert not find_contradicted_keys(executions, verdicts)
    reported = Counter(verdict for key_verdicts in verdicts.values() for verdict in key_verdicts)
    assert set(reported) == set(Verdict)


def test_verdicts_are_wrong_when_record_lookup_is_disabled(monkeypatch):
    monkeypatch.setattr(
        _at_most_once_calls.AtMostOnceCall, "_find_recorded_response", lambda self: None
    )
    assert find_contradicted_keys(*submit_random_orders(1))


def test_orders_run_twice_when_claims_are_disabled(monkeypatch):
    def claim(self):
        self._is_claim_granted = True

    monkeypatch.setattr(_at_most_once_calls.AtMostOnceCall, "_acquire_claim", claim)
    monkeypatch.setattr(_at_most_once_calls, "RECORD_INTERVAL_S", 0.01)
    executions, _ = submit_random_orders(1, orders=20, faults=["half_close"])
    assert max(executions.values()) > 1
