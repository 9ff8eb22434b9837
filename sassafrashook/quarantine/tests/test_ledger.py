"""Tests of the evidence of which requests crash upstreams."""

import itertools
import random

from sassafrashook.quarantine import CrashLedger, CrashRecord
from sassafrashook.quarantine._ledger import (
    CONFIRMED_QUARANTINE_S,
    PROVISIONAL_QUARANTINE_S,
    SELECTION_INTERVAL_S,
    SUSPECTED_QUARANTINE_S,
)

FIRST, SESSION, POISON = 1, 2, 3
contents = itertools.count(1_000)


def make_ledger(*crashes, now=0.0):
    """Return a ledger of crashes, each a list of the traits of the requests that broke off."""
    ledger = CrashLedger()
    for boot, requests in enumerate(crashes):
        ledger.merge(CrashRecord("u", boot, 0.0, requests), now)
    return ledger


def make_request(*parts):
    return (*parts, next(contents))


def is_quarantined(ledger, *parts, now=1.0):
    return ledger.find_quarantine(make_request(*parts), now) is not None


def make_poison_request():
    return make_request(FIRST, SESSION, POISON)


def test_part_of_different_requests_at_two_crashes_is_quarantined():
    ledger = make_ledger([make_poison_request()])
    assert not is_quarantined(ledger, FIRST, SESSION, POISON)
    ledger = make_ledger([make_poison_request()], [make_poison_request()])
    assert is_quarantined(ledger, FIRST, SESSION, POISON)


def test_parts_shared_with_sound_requests_are_not_quarantined():
    sound = [make_request(FIRST, SESSION) for _ in range(4)]
    ledger = make_ledger([make_poison_request(), *sound], [make_poison_request(), *sound])
    assert is_quarantined(ledger, FIRST, POISON)
    assert not is_quarantined(ledger, FIRST, SESSION)


def test_session_of_request_resumed_at_crashing_upstream_is_not_quarantined():
    resumed = make_request(FIRST, SESSION)
    ledger = make_ledger([resumed], [resumed])
    assert not is_quarantined(ledger, FIRST, SESSION)
    assert ledger.find_quarantine(resumed, 1.0) is None


def test_resumed_request_is_quarantined_after_three_crashes():
    resumed = make_request(FIRST, SESSION)
    ledger = make_ledger([resumed], [resumed], [resumed])
    assert ledger.find_quarantine(resumed, 1.0).trait == resumed[-1]
    assert not is_quarantined(ledger, FIRST, SESSION)


def test_content_of_two_requests_is_quarantined_after_two_crashes():
    repeated = make_request(FIRST, SESSION)
    ledger = CrashLedger()
    for boot in range(2):
        assert ledger.find_quarantine(repeated, 1.0) is None
        ledger.merge(CrashRecord("u", boot, 0.0, [repeated], origins=[boot]), 0.0)
    assert ledger.find_quarantine(repeated, 1.1).trait == repeated[-1]
    assert not is_quarantined(ledger, FIRST, SESSION)


def test_content_that_completed_is_quarantined_at_fourth_crash_only():
    repeated = make_request()
    ledger = CrashLedger()
    ledger.record_completion(repeated, 0.0)
    for boot in range(4):
        assert ledger.find_quarantine(repeated, boot + 0.4) is None
        ledger.merge(CrashRecord("u", boot, 0.0, [repeated], origins=[boot]), boot + 0.5)
    assert ledger.find_quarantine(repeated, 4.0) is not None


def test_crash_counts_for_each_of_two_repeated_requests_that_were_running():
    first, second = make_request(), make_request()
    ledger = make_ledger([first], [first], [first, second], [second], [second])
    assert ledger.find_quarantine(second, 1.0) is not None
    assert ledger.find_quarantine(first, 1.0) is not None


def test_router_admits_content_that_was_running_at_a_crash_after_its_trial_delay():
    content, with_prompt = make_request(), make_request(FIRST)
    ledger = make_ledger([content, with_prompt])
    assert ledger.find_quarantine(content, 0.1) is None
    assert ledger.find_quarantine(content, 1.9, lambda _: 2.0).until == 2.0
    assert ledger.find_quarantine(content, 2.0, lambda _: 2.0) is None
    assert ledger.find_quarantine(with_prompt, 0.1, lambda _: 2.0) is None
    ledger.record_completion(content, 0.2)
    assert ledger.find_quarantine(content, 0.3, lambda _: 2.0) is None


def test_repeated_content_at_crashes_that_another_one_explains_is_quarantined_briefly():
    cause, repeated, resumed = make_request(), make_request(), make_request()
    ledger = make_ledger([cause])
    for boot in (1, 2):
        requests = [cause, repeated, resumed]
        ledger.merge(CrashRecord("u", boot, 0.0, requests, origins=[boot, boot, 9]), 0.0)
    assert ledger.find_quarantine(cause, 3_000.0) is not None
    assert ledger.find_quarantine(repeated, SUSPECTED_QUARANTINE_S - 0.1) is not None
    assert ledger.find_quarantine(repeated, SUSPECTED_QUARANTINE_S) is None
    assert ledger.find_quarantine(resumed, SUSPECTED_QUARANTINE_S - 0.1) is not None
    assert ledger.find_quarantine(resumed, SUSPECTED_QUARANTINE_S) is None


def test_popular_part_is_not_quarantined_beside_part_of_all_crashes():
    popular, sessions = 50, itertools.count(60)
    crashes = [
        [make_poison_request(), *(make_request(popular, next(sessions)) for _ in range(5))]
        for _ in range(4)
    ]
    ledger = make_ledger(*crashes)
    assert is_quarantined(ledger, FIRST, SESSION, POISON)
    assert not is_quarantined(ledger, popular, 60)


def test_completed_request_ends_quarantine_of_its_parts():
    ledger = make_ledger([make_request(FIRST)], [make_request(FIRST)])
    assert is_quarantined(ledger, FIRST)
    assert FIRST in ledger.record_completion(make_request(FIRST), 1.0)
    assert not is_quarantined(ledger, FIRST, now=1.0 + SELECTION_INTERVAL_S)


def test_completion_before_late_record_of_earlier_crash_clears_trait():
    ledger = CrashLedger()
    ledger.record_completion(make_request(FIRST), 5.0)
    for boot in range(5):
        ledger.merge(CrashRecord("u", boot, 2_000.0, [make_request(FIRST)]), 6.0)
    assert not is_quarantined(ledger, FIRST, now=6.1)


def test_part_with_recent_completions_is_quarantined_at_fourth_crash():
    crashes = [[make_request(FIRST)] for _ in range(4)]
    ledger = CrashLedger()
    ledger.record_completion(make_request(FIRST), 0.0)
    for boot, requests in enumerate(crashes):
        assert not is_quarantined(ledger, FIRST, now=boot)
        ledger.merge(CrashRecord("u", boot, 0.0, requests), boot + 0.5)
    assert is_quarantined(ledger, FIRST, now=4.0)


def test_quarantine_after_two_crashes_is_provisional():
    ledger = make_ledger([make_request(FIRST)], [make_request(FIRST)])
    assert is_quarantined(ledger, FIRST, now=PROVISIONAL_QUARANTINE_S - 0.1)
    assert not is_quarantined(ledger, FIRST, now=PROVISIONAL_QUARANTINE_S)
    ledger.merge(CrashRecord("u", 9, 0.0, [make_request(FIRST)]), 40.0)
    assert is_quarantined(ledger, FIRST, now=39.0 + CONFIRMED_QUARANTINE_S)


def test_records_merge_alike_in_any_order():
    records = [
        CrashRecord("u", 0, 0.0, [(1, 2, 10)]),
        CrashRecord("u", 0, 0.0, [(1, 3, 11)], [1]),
        CrashRecord("u", 1, 0.0, [(1, 2, 12)]),
        CrashRecord("u", 1, 0.0, [(1, 4, 13)], [2]),
    ]
    results = set()
    for seed in range(20):
        random.Random(seed).shuffle(records)
        ledger = CrashLedger()
        for record in (*records, *records):
            ledger.merge(record, 0.0)
        results.add(str(sorted(ledger.list_changes(0, 0.0), key=lambda r: r.boot_ms)))
    assert len(results) == 1


def test_routers_learn_of_content_without_prompt_at_a_single_crash():
    content = make_request()
    router = CrashLedger()
    for record in make_ledger([content, make_request(FIRST)]).list_changes_for_routers(0, 0.0):
        assert record.requests == [content]
        router.merge(record, 0.0)
    assert router.find_quarantine(content, 0.1, lambda _: 2.0) is not None


def test_routers_learn_of_repeated_traits_only():
    ledger = make_ledger([make_poison_request(), make_request(7)])
    assert ledger.list_changes_for_routers(0, 0.0) == []
    revision = ledger.revision_
    ledger.merge(CrashRecord("u", 1, 0.0, [make_poison_request(), make_request(8)]), 0.0)
    router = CrashLedger()
    for record in ledger.list_changes_for_routers(revision, 0.0):
        router.merge(record, 0.0)
        assert not {7, 8}.intersection(*record.requests)
    assert is_quarantined(router, FIRST, SESSION, POISON)
