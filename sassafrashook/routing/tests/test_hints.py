"""Hints on cached prefixes may only improve the order."""

from sassafrashook.messages import CacheEvent, CacheEventKind
from sassafrashook.routing._hints import HolderHints
from sassafrashook.routing._recent import RecentMap
from sassafrashook.routing.tests.builders import LedgerDriver

KEY = 12345


def hear_cache(driver, name, kind, sequence=5, key=KEY):
    driver.hear(CacheEvent(name, "b1", sequence, kind, key))


def find_home(driver):
    """Return a conversation's first choice and another engine."""
    group = driver.ledger.state_.upstreams_.find_group("advice", "")
    order = group.list_preferred(KEY)
    return order[0].upstream_id, order[1].upstream_id


def test_reported_holder_comes_first_and_only_while_it_holds():
    driver = LedgerDriver(engines=5)
    home, other = find_home(driver)
    hear_cache(driver, other, CacheEventKind.STORED)
    assert driver.ask(1, key=KEY).upstream_id == other
    driver.release(1)
    hear_cache(driver, other, CacheEventKind.EVICTED)
    assert driver.ask(2, key=KEY).upstream_id == home
    driver.release(2)
    hear_cache(driver, other, CacheEventKind.STORED)
    hear_cache(driver, other, CacheEventKind.CLEARED, key=0)
    assert driver.ask(3, key=KEY).upstream_id == home


def test_holder_over_the_bound_is_passed_over():
    driver = LedgerDriver(engines=3)
    _, other = find_home(driver)
    driver.ask(1, preferred=other)
    hear_cache(driver, other, CacheEventKind.STORED)
    assert driver.ask(2, key=KEY).upstream_id != other


def test_displaced_conversation_returns_to_where_it_ran_last():
    driver = LedgerDriver(engines=5)
    home, other = find_home(driver)
    driver.ask(1, preferred=home)
    assert driver.ask(2, key=KEY).upstream_id == other
    driver.release(1)
    driver.release(2)
    assert driver.ask(3, key=KEY).upstream_id == other


def test_events_of_another_boot_or_of_unknown_upstreams_are_ignored():
    driver = LedgerDriver(engines=3)
    home, _ = find_home(driver)
    driver.hear(CacheEvent("e9", "b1", 1, CacheEventKind.STORED, KEY))
    driver.hear(CacheEvent("e0", "b7", 1, CacheEventKind.STORED, KEY))
    assert driver.ask(1, key=KEY).upstream_id == home


def test_hints_are_bounded():
    recent = RecentMap(100)
    for key in range(1_000):
        recent.put(key, key)
    assert len(recent) <= 100
    assert all(key in recent for key in range(951, 1_000))
    assert HolderHints(10).get(1) is None
