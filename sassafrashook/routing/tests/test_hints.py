"""Tests of prefix cache hints, which only change the order of preference."""

from sassafrashook.messages import CacheEvent, CacheEventKind
from sassafrashook.routing._hints import PrefixCacheHints
from sassafrashook.routing._recent import RecencyMap
from sassafrashook.routing.tests.builders import LedgerDriver

KEY = 12345


def report_cache_event(driver, name, kind, sequence=5, key=KEY):
    driver.receive(CacheEvent(name, "b1", sequence, kind, key))


def find_preferred_engines(driver):
    """Return the ids of the first two engines in the conversation's preference order."""
    group = driver.ledger.state_.upstreams_.find_group("advice", "")
    order = group.list_by_ring_order(KEY)
    return order[0].upstream_id, order[1].upstream_id


def test_reported_holder_is_preferred_until_eviction_or_clear():
    driver = LedgerDriver(engines=5)
    first, second = find_preferred_engines(driver)
    report_cache_event(driver, second, CacheEventKind.STORED)
    assert driver.request_permit(1, key=KEY).upstream_id == second
    driver.release(1)
    report_cache_event(driver, second, CacheEventKind.EVICTED)
    assert driver.request_permit(2, key=KEY).upstream_id == first
    driver.release(2)
    report_cache_event(driver, second, CacheEventKind.STORED)
    report_cache_event(driver, second, CacheEventKind.CLEARED, key=0)
    assert driver.request_permit(3, key=KEY).upstream_id == first


def test_holder_over_the_load_bound_is_skipped():
    driver = LedgerDriver(engines=3)
    _, second = find_preferred_engines(driver)
    driver.request_permit(1, preferred=second)
    report_cache_event(driver, second, CacheEventKind.STORED)
    assert driver.request_permit(2, key=KEY).upstream_id != second


def test_conversation_returns_to_the_engine_of_its_last_request():
    driver = LedgerDriver(engines=5)
    first, second = find_preferred_engines(driver)
    driver.request_permit(1, preferred=first)
    assert driver.request_permit(2, key=KEY).upstream_id == second
    driver.release(1)
    driver.release(2)
    assert driver.request_permit(3, key=KEY).upstream_id == second


def test_events_of_other_boots_and_unknown_upstreams_are_ignored():
    driver = LedgerDriver(engines=3)
    first, _ = find_preferred_engines(driver)
    driver.receive(CacheEvent("e9", "b1", 1, CacheEventKind.STORED, KEY))
    driver.receive(CacheEvent("e0", "b7", 1, CacheEventKind.STORED, KEY))
    assert driver.request_permit(1, key=KEY).upstream_id == first


def test_number_of_hints_is_bounded():
    recent = RecencyMap(100)
    for key in range(1_000):
        recent.put(key, key)
    assert len(recent) <= 100
    assert all(key in recent for key in range(951, 1_000))
    assert PrefixCacheHints(10).get(1) is None
