"""Warm-up limits, drained zones and departing upstreams."""

import random

import pytest

from sassafrashook.messages import (
    CacheEvent,
    CacheEventKind,
    LoadReport,
    PermitGranted,
    PermitOutcome,
)
from sassafrashook.routing import FleetStateChanged, UpstreamAnnounced, UpstreamLeft
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
    """Return a ledger with one engine of capacity eight and cold capacity two."""
    driver = LedgerDriver(engines=0, **options)
    driver.handle(UpstreamAnnounced(make_announcement("e0", cold_capacity=2)))
    return driver


def list_granted(driver, requests=20, first=1):
    """Request permits and return the ids of the granted requests."""
    ids = range(first, first + requests)
    return [
        i for i in ids if isinstance(driver.request_permit(i, work_class="plan"), PermitGranted)
    ]


def test_many_routers_share_the_cold_capacity_of_an_upstream():
    driver = make_cold_driver()
    granted = 0
    for index in range(1_000):
        driver.open(f"router{index}")
        driver.receive(make_query(1, key=index, fingerprint=index), f"router{index}")
        granted += isinstance(driver.find_answer(1), PermitGranted)
    assert granted == driver.ledger.count_running("e0") == 2


def test_without_warm_up_the_cold_capacity_is_exceeded(monkeypatch):
    monkeypatch.setattr(
        "sassafrashook.routing._upstream.WarmUp", lambda capacity, _: WarmUp(capacity, capacity)
    )
    driver = make_cold_driver()
    list_granted(driver)
    assert driver.ledger.count_running("e0") > 2


def test_limit_grows_with_finished_answers_not_with_time():
    driver = make_cold_driver()
    first, second = list_granted(driver, requests=2)
    driver.pass_time(10)
    assert driver.ledger.count_running("e0") == 2
    driver.release(first)
    driver.release(second, PermitOutcome.CANCELLED)
    assert len(list_granted(driver, first=100)) == 3


def test_every_new_boot_starts_at_the_cold_capacity():
    driver = make_cold_driver()
    for boot in range(2, 6):
        for request_id in list_granted(driver, first=boot * 100):
            driver.release(request_id)
        driver.pass_time(30)
        announcement = make_announcement("e0", boot=f"b{boot}", incarnation=boot, cold_capacity=2)
        driver.handle(UpstreamAnnounced(announcement))
        assert driver.ledger.state_.upstreams_.get("e0").warm_up_.limit_ == 2
        outdated = make_announcement("e0", boot=f"b{boot - 1}", sequence=99, incarnation=boot - 1)
        driver.handle(UpstreamAnnounced(outdated))
        assert driver.actions[-1].name == "announcements_ignored"


def make_warm(driver):
    """Finish answers until the engine is warm; return its :class:`WarmUp`."""
    for request_id in range(1_000, 1_020):
        driver.request_permit(request_id)
        driver.release(request_id, first_token_ms=100)
    warm_up = driver.ledger.state_.upstreams_.get("e0").warm_up_
    assert not warm_up.is_cold()
    return warm_up


@pytest.mark.parametrize("signal", ["report", "announcement", "slow", "crash", "cache"])
def test_every_signal_of_a_cold_cache_resets_the_limit(signal):
    driver = make_cold_driver()
    warm_up = make_warm(driver)
    if signal == "report":
        driver.receive(LoadReport("e0", "b1", 1, 0, 0, cold=True))
    elif signal == "announcement":
        announcement = make_announcement("e0", sequence=2, cold_capacity=2, cold=True)
        driver.handle(UpstreamAnnounced(announcement))
    elif signal == "slow":
        for request_id in (1, 2):
            driver.request_permit(request_id)
            driver.release(request_id, first_token_ms=2_000)
    elif signal == "crash":
        driver.request_permit(1)
        driver.release(1, PermitOutcome.CRASHED)
    else:
        for sequence in (100, 1):
            driver.receive(CacheEvent("e0", "b1", sequence, CacheEventKind.STORED, 5))
    assert warm_up.limit_ == 2


def test_slow_answers_do_not_stop_grants():
    driver = LedgerDriver(engines=3)
    for request_id in range(1, 200):
        if isinstance(driver.request_permit(request_id), PermitGranted):
            driver.release(request_id, first_token_ms=100 if request_id < 50 else 5_000)
    answers = [driver.request_permit(request_id) for request_id in range(300, 310)]
    assert any(isinstance(answer, PermitGranted) for answer in answers)


def test_reported_cold_holds_the_limit():
    driver = make_cold_driver()
    driver.receive(LoadReport("e0", "b1", 1, 0, 0, cold=True))
    for request_id in range(1, 30):
        driver.request_permit(request_id)
        driver.release(request_id)
    assert driver.ledger.state_.upstreams_.get("e0").warm_up_.limit_ == 2


def list_grants_after_drain(driver):
    """Drain zone ``a`` while requests wait; return the ids granted on its engine afterwards."""
    for request_id in range(1, 40):
        driver.request_permit(request_id, work_class="plan")
    driver.handle(FleetStateChanged(make_fleet_state(2, drained=["a"])))
    before = {record.request_id for record in driver.ledger.state_.upstreams_.get("e0").permits_}
    for request_id in range(1, 40):
        driver.release(request_id)
    for request_id in range(100, 140):
        driver.request_permit(request_id, preferred="e0", tried=["e1"])
    after = {record.request_id for record in driver.ledger.state_.upstreams_.get("e0").permits_}
    return after - before


def test_drained_zone_gets_no_new_requests():
    assert list_grants_after_drain(LedgerDriver()) == set()


def test_without_zone_draining_and_invariants_a_drained_zone_gets_requests(monkeypatch):
    monkeypatch.setattr(UpstreamTable, "set_drained_zones", lambda table, zones: None)
    monkeypatch.setattr("sassafrashook.routing._assignment.check_grant", lambda *_: None)
    assert list_grants_after_drain(LedgerDriver())


def test_without_zone_draining_the_invariant_refuses_grants(monkeypatch):
    monkeypatch.setattr(UpstreamTable, "set_drained_zones", lambda table, zones: None)
    driver = LedgerDriver()
    counted = []
    handle = driver.handle
    driver.handle = lambda event: counted.extend(handle(event)) or driver.actions
    assert list_grants_after_drain(driver) == set()
    violations = [action for action in counted if getattr(action, "name", "") == VIOLATIONS]
    assert violations and {action.attribute for action in violations} == {"zone"}


def test_restored_zone_is_cold():
    driver = make_cold_driver()
    make_warm(driver)
    driver.handle(FleetStateChanged(make_fleet_state(2, drained=["a"])))
    assert driver.request_permit(1).reason == "no_upstream"
    driver.handle(FleetStateChanged(make_fleet_state(3)))
    assert len(list_granted(driver, first=10)) == 2


def test_older_fleet_state_is_ignored():
    driver = make_cold_driver()
    driver.handle(FleetStateChanged(make_fleet_state(5, drained=["a"])))
    driver.handle(FleetStateChanged(make_fleet_state(4)))
    assert driver.request_permit(1).reason == "no_upstream"


def test_departed_upstream_stays_out_until_a_newer_announcement():
    driver = make_cold_driver()
    driver.handle(UpstreamLeft("e0"))
    driver.handle(UpstreamAnnounced(make_announcement("e0")))
    assert driver.request_permit(1).reason == "no_upstream"
    driver.handle(UpstreamAnnounced(make_announcement("e0", sequence=5, leaving=True)))
    driver.handle(UpstreamAnnounced(make_announcement("e0", sequence=4)))
    assert driver.request_permit(2).reason == "no_upstream"
    driver.handle(UpstreamAnnounced(make_announcement("e0", sequence=6, cold_capacity=2)))
    assert len(list_granted(driver, first=10)) == 2


def test_unrenewed_announcement_expires():
    driver = LedgerDriver(engines=0)
    driver.handle(UpstreamAnnounced(make_announcement("e0", valid_ms=1_000)))
    driver.pass_time(1.1)
    assert driver.request_permit(1).reason == "no_upstream"


def test_remaining_capacity_is_not_exceeded_when_zones_are_drained():
    rng = random.Random(4)
    driver = LedgerDriver(engines=9)
    driver.handle(FleetStateChanged(make_fleet_state(2, drained=["a", "b"])))
    for request_id in range(1, 200):
        driver.request_permit(request_id, key=rng.getrandbits(64), account=f"a{request_id % 3}")
    running = [driver.ledger.count_running(f"e{index}") for index in (2, 5, 8)]
    assert running == [8, 8, 8]


def refuse_connection(driver):
    """Release a permit after a refused connection and return the upstream's id."""
    grant = driver.request_permit(1)
    driver.release(1, PermitOutcome.CONNECT_FAILED)
    return grant.upstream_id


def place_many(driver, first, count=12):
    """Grant and release further requests and return the ids of their upstreams."""
    placed = set()
    for request_id in range(first, first + count):
        placed.add(driver.request_permit(request_id).upstream_id)
        driver.release(request_id)
    return placed


def test_unreachable_upstream_gets_nothing_until_announced_or_the_backoff_ends():
    driver = LedgerDriver()
    lost = refuse_connection(driver)
    assert lost not in place_many(driver, 10)
    driver.handle(UpstreamAnnounced(make_announcement(lost, sequence=2)))
    assert lost in place_many(driver, 30)

    driver = LedgerDriver()
    lost = refuse_connection(driver)
    driver.pass_time(1.1)
    assert lost in place_many(driver, 10)


def test_without_marking_upstreams_unreachable_they_get_requests(monkeypatch):
    monkeypatch.setattr(UpstreamTable, "mark_unreachable", lambda self, upstream, now: None)
    driver = LedgerDriver()
    lost = refuse_connection(driver)
    assert lost in place_many(driver, 10)
