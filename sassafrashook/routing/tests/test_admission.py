"""Tests of queue order, fairness between accounts and timely refusals."""

import random

import pytest

from sassafrashook.messages import PermitGranted, PermitRefused
from sassafrashook.routing import FleetStateChanged, Send, _admission_queue
from sassafrashook.routing.tests.builders import LedgerDriver, make_fleet_state, make_query

ACCOUNTS = [("overloading", 1.0), ("light", 1.0)]
HOLD_TIME_S = 0.5


class LoadDriver:
    """Runs requests of equal duration on two engines with 8 slots each and records the waits."""

    def __init__(self, **options):
        fleet_state = make_fleet_state(accounts=ACCOUNTS)
        self.driver = LedgerDriver(engines=2, fleet_state=fleet_state, **options)
        self.driver.ledger.state_.get_service("advice").queue_.record_hold_time(HOLD_TIME_S)
        self.request_times = {}
        self.waits = {}
        self.refused = {}
        self.running = []

    def submit(self, request_id, **options):
        self.request_times[request_id] = self.driver.now
        self.driver.request_permit(request_id, **options)
        self.record_answers()

    def record_answers(self):
        for action in self.driver.actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, PermitGranted):
                self.waits[message.request_id] = (
                    self.driver.now - self.request_times[message.request_id]
                )
                self.running.append((self.driver.now + HOLD_TIME_S, message.request_id))
            elif isinstance(message, PermitRefused):
                self.refused[message.request_id] = message

    def run(self, seconds, step=0.01):
        for _ in range(round(seconds / step)):
            self.driver.pass_time(step)
            self.record_answers()
            for ends_at, request_id in list(self.running):
                if ends_at <= self.driver.now:
                    self.running.remove((ends_at, request_id))
                    self.driver.release(request_id)
                    self.record_answers()


def run_overload(work_class="default", **options):
    """Run one account at ten times the capacity beside another with few requests.

    :returns: the :class:`LoadDriver`, and how many of the 50 requests of the light account were
        granted within two seconds.
    """
    load = LoadDriver(**options)
    for round_number in range(100):
        for index in range(16):
            load.submit(
                10_000 + round_number * 100 + index, account="overloading", work_class=work_class
            )
        if round_number % 2 == 0:
            load.submit(round_number + 1, account="light", work_class="default")
        load.run(0.05)
    load.run(2.0)
    light_waits = [load.waits.get(request_id, 99.0) for request_id in range(1, 101, 2)]
    return load, sum(wait <= 2.0 for wait in light_waits)


@pytest.mark.parametrize("work_class", ["default", "counter"])
def test_overload_by_one_account_does_not_delay_others(work_class):
    load, within_target = run_overload(work_class)
    assert within_target == 50
    assert all(message.reason == "waiting_target" for message in load.refused.values())


def test_overload_delays_others_without_fairness(monkeypatch):
    """Window, wait estimate and account ceiling are disabled together."""
    monkeypatch.setattr(_admission_queue, "FAIRNESS_WINDOW", 1e9)
    monkeypatch.setattr(_admission_queue.AdmissionQueue, "estimate_wait", lambda *_: 0.0)
    assert run_overload(max_account_fraction=1.0)[1] < 40


def test_granted_requests_meet_their_waiting_target():
    load, _ = run_overload()
    late_waits = [wait for wait in load.waits.values() if wait > 2.0]
    assert not late_waits
    expired = [message for message in load.refused.values() if message.request_id in load.waits]
    assert not expired


def test_earliest_deadline_is_granted_first():
    load = LoadDriver(max_account_fraction=1.0)
    for request_id in range(1, 17):
        load.submit(request_id)
    load.submit(20, work_class="plan")
    load.submit(21, work_class="default")
    load.submit(22, work_class="counter")
    assert not {20, 21, 22} & load.waits.keys()
    load.run(1.2)
    assert load.waits[22] <= load.waits[21] <= load.waits[20]
    load.driver.release(1)


def measure_share_ratio():
    """Return the ratio of grants of two backlogged accounts with shares 3 and 1."""
    fleet_state = make_fleet_state(accounts=[("large", 3.0), ("small", 1.0)])
    load = LoadDriver(max_account_fraction=1.0)
    load.driver.handle(FleetStateChanged(fleet_state))
    for request_id in range(1, 17):
        load.submit(request_id, account="other")
    for index in range(40):
        load.submit(100 + index, account="large", work_class="plan")
        load.submit(200 + index, account="small", work_class="plan")
    load.run(HOLD_TIME_S * 2 + 0.05)
    large = sum(100 <= request_id < 200 for request_id in load.waits)
    return large / sum(200 <= request_id < 300 for request_id in load.waits)


def test_grants_follow_account_shares():
    assert 2.0 <= measure_share_ratio() <= 4.5


def test_grants_ignore_account_shares_without_fair_queueing(monkeypatch):
    monkeypatch.setattr(_admission_queue, "FAIRNESS_WINDOW", 1e9)
    assert measure_share_ratio() < 2.0


def test_retry_times_follow_the_drain_rate_with_jitter():
    load, _ = run_overload()
    refusals = list(load.refused.values())[:200]
    retry_times_ms = [message.retry_after_ms for message in refusals]
    assert min(retry_times_ms) >= 500
    assert len(set(retry_times_ms)) > 150
    assert max(retry_times_ms) > 3 * min(retry_times_ms)


def test_queue_of_an_account_is_bounded():
    load = LoadDriver(max_account_queue_size=5)
    for request_id in range(1, 40):
        load.submit(request_id, account="overloading", work_class="plan")
    reasons = {message.reason for message in load.refused.values()}
    assert reasons == {"account_share"}
    assert load.driver.ledger.state_.get_service("advice").queue_.count_waiting("overloading") == 5


def test_account_ceiling_keeps_capacity_for_others():
    load = LoadDriver()
    for request_id in range(1, 40):
        load.submit(request_id, account="overloading", work_class="plan")
    load.submit(100, account="light")
    assert load.waits[100] == 0.0


def test_single_account_may_use_all_capacity():
    driver = LedgerDriver(engines=1)
    answers = [driver.request_permit(request_id) for request_id in range(1, 9)]
    assert all(isinstance(answer, PermitGranted) for answer in answers)


@pytest.mark.parametrize("rebuild_min", [0, 1_024])
def test_queue_order_under_random_pushes_and_removals(monkeypatch, rebuild_min):
    monkeypatch.setattr(_admission_queue, "HEAP_REBUILD_MIN", rebuild_min)
    rng = random.Random(5)
    queue = _admission_queue.AdmissionQueue()
    load = LoadDriver()
    waiting = load.driver.ledger.admission_
    session = load.driver.ledger.sessions_.get("r1")
    entries = []
    for index in range(300):
        account_name = f"a{rng.randrange(4)}"
        work_class = rng.choice(["counter", "default", "plan"])
        query = make_query(index, account=account_name, work_class=work_class)
        entry = waiting._make_entry(session, query, rng.random())
        queue.push(entry)
        entries.append(entry)
        if rng.random() < 0.3:
            queue.remove(entries.pop(rng.randrange(len(entries))))
    popped = [queue.pop() for _ in entries]
    assert {entry.sequence for entry in popped} == {entry.sequence for entry in entries}
    for name in {entry.query.account for entry in entries}:
        keys = [entry.sort_key() for entry in popped if entry.query.account == name]
        assert keys == sorted(keys)
    assert len(queue) == 0 and queue.pop() is None
