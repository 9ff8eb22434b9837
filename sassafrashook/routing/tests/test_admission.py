"""Queue order, fairness, refusals in time."""

import random

import pytest

from sassafrashook.messages import PermitGranted, PermitRefused
from sassafrashook.routing import FleetStateChanged, Send, _admission
from sassafrashook.routing.tests.builders import LedgerDriver, make_fleet_state, make_query

ACCOUNTS = [("surge", 1.0), ("calm", 1.0)]
HOLDING_S = 0.5


class Workload:
    """Answers of equal length at two engines of eight; records the waits."""

    def __init__(self, **options):
        state = make_fleet_state(accounts=ACCOUNTS)
        self.driver = LedgerDriver(engines=2, fleet_state=state, **options)
        self.driver.ledger.state_.get_service("advice").queue_.note_holding(HOLDING_S)
        self.asked = {}
        self.waits = {}
        self.refused = {}
        self.ends = []

    def ask(self, request_id, **options):
        self.asked[request_id] = self.driver.now
        self.driver.ask(request_id, **options)
        self.note()

    def note(self):
        for action in self.driver.actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, PermitGranted):
                self.waits[message.request_id] = self.driver.now - self.asked[message.request_id]
                self.ends.append((self.driver.now + HOLDING_S, message.request_id))
            elif isinstance(message, PermitRefused):
                self.refused[message.request_id] = message

    def run(self, seconds, step=0.01):
        for _ in range(round(seconds / step)):
            self.driver.pass_time(step)
            self.note()
            for end, request_id in list(self.ends):
                if end <= self.driver.now:
                    self.ends.remove((end, request_id))
                    self.driver.release(request_id)
                    self.note()


def run_surge(work_class="default", **options):
    """One account asks for ten times what there is; another asks for a little."""
    load = Workload(**options)
    for tick in range(100):
        for index in range(16):
            load.ask(10_000 + tick * 100 + index, account="surge", work_class=work_class)
        if tick % 2 == 0:
            load.ask(tick + 1, account="calm", work_class="default")
        load.run(0.05)
    load.run(2.0)
    calm = [load.waits.get(request_id, 99.0) for request_id in range(1, 101, 2)]
    return load, sum(wait <= 2.0 for wait in calm)


@pytest.mark.parametrize("work_class", ["default", "counter"])
def test_surge_of_one_account_leaves_the_others_targets(work_class):
    load, in_target = run_surge(work_class)
    assert in_target == 50
    assert all(message.reason == "waiting_target" for message in load.refused.values())


def test_without_fairness_the_check_fails(monkeypatch):
    monkeypatch.setattr(_admission, "FAIRNESS_WINDOW", 1e9)
    monkeypatch.setattr(_admission.AdmissionQueue, "estimate_wait", lambda *_: 0.0)
    assert run_surge(account_ceiling=1.0)[1] < 40


def test_what_is_admitted_meets_its_target():
    load, _ = run_surge()
    late = [wait for wait in load.waits.values() if wait > 2.0]
    assert not late
    expired = [message for message in load.refused.values() if message.request_id in load.waits]
    assert not expired


def test_least_slack_is_granted_first():
    load = Workload(account_ceiling=1.0)
    for request_id in range(1, 17):
        load.ask(request_id)
    load.ask(20, work_class="plan")
    load.ask(21, work_class="default")
    load.ask(22, work_class="counter")
    assert not {20, 21, 22} & load.waits.keys()
    load.run(1.2)
    assert load.waits[22] <= load.waits[21] <= load.waits[20]
    load.driver.release(1)


def compare_shares():
    """Let two accounts with shares 3 and 1 compete; return the ratio of their grants."""
    state = make_fleet_state(accounts=[("large", 3.0), ("small", 1.0)])
    load = Workload(account_ceiling=1.0)
    load.driver.tell(FleetStateChanged(state))
    for request_id in range(1, 17):
        load.ask(request_id, account="other")
    for index in range(40):
        load.ask(100 + index, account="large", work_class="plan")
        load.ask(200 + index, account="small", work_class="plan")
    load.run(HOLDING_S * 2 + 0.05)
    large = sum(100 <= request_id < 200 for request_id in load.waits)
    return large / sum(200 <= request_id < 300 for request_id in load.waits)


def test_shares_are_weighted():
    assert 2.0 <= compare_shares() <= 4.5


def test_without_fair_queueing_shares_are_not_weighted(monkeypatch):
    monkeypatch.setattr(_admission, "FAIRNESS_WINDOW", 1e9)
    assert compare_shares() < 2.0


def test_times_to_come_back_follow_the_drain_rate_and_spread():
    load, _ = run_surge()
    first = list(load.refused.values())[:200]
    times = [message.retry_after_ms for message in first]
    assert min(times) >= 500
    assert len(set(times)) > 150
    assert max(times) > 3 * min(times)


def test_accounts_queue_is_capped():
    load = Workload(account_queue_max=5)
    for request_id in range(1, 40):
        load.ask(request_id, account="surge", work_class="plan")
    reasons = {message.reason for message in load.refused.values()}
    assert reasons == {"account_share"}
    assert load.driver.ledger.state_.get_service("advice").queue_.count_waiting("surge") == 5


def test_one_account_leaves_a_part_for_others():
    load = Workload()
    for request_id in range(1, 40):
        load.ask(request_id, account="surge", work_class="plan")
    load.ask(100, account="calm")
    assert load.waits[100] == 0.0


def test_a_lone_account_may_use_everything():
    driver = LedgerDriver(engines=1)
    answers = [driver.ask(request_id) for request_id in range(1, 9)]
    assert all(isinstance(answer, PermitGranted) for answer in answers)


@pytest.mark.parametrize("rebuild_min", [0, 1_024])
def test_queue_order_is_kept_under_random_load(monkeypatch, rebuild_min):
    monkeypatch.setattr(_admission, "HEAP_REBUILD_MIN", rebuild_min)
    rng = random.Random(5)
    queue = _admission.AdmissionQueue()
    load = Workload()
    waiting = load.driver.ledger.waiting_
    session = load.driver.ledger.sessions_.get("r1")
    entries = []
    for index in range(300):
        from_account = f"a{rng.randrange(4)}"
        work_class = rng.choice(["counter", "default", "plan"])
        query = make_query(index, account=from_account, work_class=work_class)
        entry = waiting._make_entry(session, query, rng.random())
        queue.push(entry)
        entries.append(entry)
        if rng.random() < 0.3:
            queue.remove(entries.pop(rng.randrange(len(entries))))
    popped = [queue.pop() for _ in entries]
    assert {entry.sequence for entry in popped} == {entry.sequence for entry in entries}
    for name in {entry.query.account for entry in entries}:
        keys = [entry.key() for entry in popped if entry.query.account == name]
        assert keys == sorted(keys)
    assert len(queue) == 0 and queue.pop() is None
