"""Warm-up, zones, and upstreams that leave."""

import random

import pytest

from sassafrashook.messages import (
    CacheEvent,
    CacheEventKind,
    LoadReport,
    PermitGranted,
    PermitOutcome,
)
from sassafrashook.routing import FleetStateChanged, UpstreamLeft, UpstreamSeen
from sassafrashook.routing._upstreams import UpstreamTable
from sassafrashook.routing._warmup import WarmUp
from sassafrashook.routing.tests.builders import (
    LedgerDriver,
    make_announcement,
    make_fleet_state,
    make_query,
)

VIOLATIONS = "invariant_violations"


def make_cold_driver(**options):
    """Return a ledger with one engine that bears two of eight requests when cold."""
    driver = LedgerDriver(engines=0, **options)
    driver.tell(UpstreamSeen(make_announcement("e0", cold_capacity=2)))
    return driver


def count_grants(driver, requests=20, first=1):
    """Ask for permits and return the ids that were granted."""
    ids = range(first, first + requests)
    return [i for i in ids if isinstance(driver.ask(i, work_class="plan"), PermitGranted)]


def test_cold_upstream_gets_its_cold_capacity_from_many_routers():
    driver = make_cold_driver()
    granted = 0
    for index in range(1_000):
        driver.open(f"router{index}")
        driver.hear(make_query(1, key=index, fingerprint=index), f"router{index}")
        granted += isinstance(driver.find_answer(1), PermitGranted)
    assert granted == driver.ledger.count_running("e0") == 2


def test_without_warm_up_the_check_fails(monkeypatch):
    monkeypatch.setattr(
        "sassafrashook.routing._upstream.WarmUp", lambda capacity, _: WarmUp(capacity, capacity)
    )
    driver = make_cold_driver()
    count_grants(driver)
    assert driver.ledger.count_running("e0") > 2


def test_limit_grows_with_finished_answers_not_with_time():
    driver = make_cold_driver()
    first, second = count_grants(driver, requests=2)
    driver.pass_time(10)
    assert driver.ledger.count_running("e0") == 2
    driver.release(first)
    driver.release(second, PermitOutcome.CANCELLED)
    assert len(count_grants(driver, first=100)) == 3


def test_new_boot_and_flaps_start_at_the_cold_capacity():
    driver = make_cold_driver()
    for boot in range(2, 6):
        for request_id in count_grants(driver, first=boot * 100):
            driver.release(request_id)
        driver.pass_time(30)
        seen = make_announcement("e0", boot=f"b{boot}", incarnation=boot, cold_capacity=2)
        driver.tell(UpstreamSeen(seen))
        assert driver.ledger.state_.upstreams_.get("e0").warm_up_.limit_ == 2
        stale = make_announcement("e0", boot=f"b{boot - 1}", sequence=99, incarnation=boot - 1)
        driver.tell(UpstreamSeen(stale))
        assert driver.actions[-1].name == "announcements_ignored"


def make_warm(driver):
    """Finish answers until the engine is warm."""
    for request_id in range(1_000, 1_020):
        driver.ask(request_id)
        driver.release(request_id, first_token_ms=100)
    warm_up = driver.ledger.state_.upstreams_.get("e0").warm_up_
    assert not warm_up.is_cold()
    return warm_up


@pytest.mark.parametrize("sign", ["report", "announcement", "slow", "crash", "cache"])
def test_every_sign_of_cold_restarts_the_ramp(sign):
    driver = make_cold_driver()
    warm_up = make_warm(driver)
    if sign == "report":
        driver.hear(LoadReport("e0", "b1", 1, 0, 0, cold=True))
    elif sign == "announcement":
        seen = make_announcement("e0", sequence=2, cold_capacity=2, cold=True)
        driver.tell(UpstreamSeen(seen))
    elif sign == "slow":
        for request_id in (1, 2):
            driver.ask(request_id)
            driver.release(request_id, first_token_ms=2_000)
    elif sign == "crash":
        driver.ask(1)
        driver.release(1, PermitOutcome.CRASHED)
    else:
        for sequence in (100, 1):
            driver.hear(CacheEvent("e0", "b1", sequence, CacheEventKind.STORED, 5))
    assert warm_up.limit_ == 2


def test_one_slow_answer_or_all_slow_do_not_stop_service():
    driver = LedgerDriver(engines=3)
    for request_id in range(1, 200):
        if isinstance(driver.ask(request_id), PermitGranted):
            driver.release(request_id, first_token_ms=100 if request_id < 50 else 5_000)
    answers = [driver.ask(request_id) for request_id in range(300, 310)]
    assert any(isinstance(answer, PermitGranted) for answer in answers)


def test_stated_cold_holds_the_limit():
    driver = make_cold_driver()
    driver.hear(LoadReport("e0", "b1", 1, 0, 0, cold=True))
    for request_id in range(1, 30):
        driver.ask(request_id)
        driver.release(request_id)
    assert driver.ledger.state_.upstreams_.get("e0").warm_up_.limit_ == 2


def drain(driver):
    """Take zone ``a`` out while requests wait, then let things end."""
    for request_id in range(1, 40):
        driver.ask(request_id, work_class="plan")
    driver.tell(FleetStateChanged(make_fleet_state(2, drained=["a"])))
    before = {r.request_id for r in driver.ledger.state_.upstreams_.get("e0").permits_}
    for request_id in range(1, 40):
        driver.release(request_id)
    for request_id in range(100, 140):
        driver.ask(request_id, preferred="e0", tried=["e1"])
    after = {r.request_id for r in driver.ledger.state_.upstreams_.get("e0").permits_}
    return after - before


def test_drained_zone_gets_nothing_new():
    assert drain(LedgerDriver()) == set()


def test_without_zones_the_check_fails(monkeypatch):
    monkeypatch.setattr(UpstreamTable, "set_zones", lambda table, zones: None)
    monkeypatch.setattr("sassafrashook.routing._assignment.check_grant", lambda *_: None)
    assert drain(LedgerDriver())


def test_without_zones_the_invariant_refuses(monkeypatch):
    monkeypatch.setattr(UpstreamTable, "set_zones", lambda table, zones: None)
    driver = LedgerDriver()
    counted = []
    tell = driver.tell
    driver.tell = lambda event: counted.extend(tell(event)) or driver.actions
    assert drain(driver) == set()
    violations = [action for action in counted if getattr(action, "name", "") == VIOLATIONS]
    assert violations and {action.attribute for action in violations} == {"zone"}


def test_zone_that_comes_back_is_cold():
    driver = make_cold_driver()
    make_warm(driver)
    driver.tell(FleetStateChanged(make_fleet_state(2, drained=["a"])))
    assert driver.ask(1).reason == "no_upstream"
    driver.tell(FleetStateChanged(make_fleet_state(3)))
    assert len(count_grants(driver, first=10)) == 2


def test_older_fleet_state_is_ignored():
    driver = make_cold_driver()
    driver.tell(FleetStateChanged(make_fleet_state(5, drained=["a"])))
    driver.tell(FleetStateChanged(make_fleet_state(4)))
    assert driver.ask(1).reason == "no_upstream"


def test_upstream_that_left_stays_away_until_it_says_something_newer():
    driver = make_cold_driver()
    driver.tell(UpstreamLeft("e0"))
    driver.tell(UpstreamSeen(make_announcement("e0")))
    assert driver.ask(1).reason == "no_upstream"
    driver.tell(UpstreamSeen(make_announcement("e0", sequence=5, leaving=True)))
    driver.tell(UpstreamSeen(make_announcement("e0", sequence=4)))
    assert driver.ask(2).reason == "no_upstream"
    driver.tell(UpstreamSeen(make_announcement("e0", sequence=6, cold_capacity=2)))
    assert len(count_grants(driver, first=10)) == 2


def test_unrenewed_announcement_ends():
    driver = LedgerDriver(engines=0)
    driver.tell(UpstreamSeen(make_announcement("e0", valid_ms=1_000)))
    driver.pass_time(1.1)
    assert driver.ask(1).reason == "no_upstream"


def test_capacity_of_the_rest_is_never_exceeded_when_zones_leave():
    rng = random.Random(4)
    driver = LedgerDriver(engines=9)
    driver.tell(FleetStateChanged(make_fleet_state(2, drained=["a", "b"])))
    for request_id in range(1, 200):
        driver.ask(request_id, key=rng.getrandbits(64), account=f"a{request_id % 3}")
    rest = [driver.ledger.count_running(f"e{index}") for index in (2, 5, 8)]
    assert rest == [8, 8, 8]
