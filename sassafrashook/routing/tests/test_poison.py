"""Requests that crash what runs them."""

import pytest

from sassafrashook.messages import PermitGranted, PermitOutcome
from sassafrashook.routing import (
    FleetStateChanged,
    Quarantine,
    RecordSuspect,
    SuspectsKnown,
    UpstreamSeen,
)
from sassafrashook.routing._isolation import Isolation
from sassafrashook.routing.tests.builders import (
    LedgerDriver,
    make_announcement,
    make_fleet_state,
)

POISON = 666


def fill(driver, requests=8):
    """Start innocents and one poison request; return where the poison runs."""
    for request_id in range(1, requests):
        driver.ask(request_id, key=0)
    return driver.ask(100, key=0, fingerprint=POISON).upstream_id


def crash(driver, upstream_id):
    """Report an upstream's crash by everything that ran there; return the actions."""
    upstream = driver.ledger.state_.upstreams_.get(upstream_id)
    actions = []
    for record in list(upstream.permits_):
        actions += driver.release(record.request_id, PermitOutcome.CRASHED)
    return actions


def find(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_second_crash_quarantines_for_all():
    driver = LedgerDriver(engines=5)
    crash(driver, fill(driver))
    for request_id in range(1, 8):
        driver.release(request_id)
    grant = driver.ask(200, fingerprint=POISON)
    assert driver.ledger.count_running(grant.upstream_id) == 1
    actions = crash(driver, grant.upstream_id)
    assert [action.fingerprint for action in find(actions, Quarantine)] == [POISON]
    driver.open("r2")
    assert driver.ask(201, router="r2", fingerprint=POISON).reason == "quarantined"
    repeated = driver.pass_time(1.5)
    assert find(repeated, Quarantine)
    driver.tell(FleetStateChanged(make_fleet_state(2, quarantined=[POISON])))
    assert not find(driver.pass_time(3.0), Quarantine)
    assert driver.ask(202, fingerprint=POISON).reason == "quarantined"


def test_suspect_waits_for_an_upstream_of_its_own():
    driver = LedgerDriver(engines=3)
    crash(driver, fill(driver))
    for request_id in range(300, 306):
        driver.ask(request_id)
    running = {f"e{i}": driver.ledger.count_running(f"e{i}") for i in range(3)}
    assert min(running[name] for name in running if running[name]) >= 1
    assert driver.ask(400, fingerprint=POISON, work_class="plan") is None
    grants = []
    for request_id in [*range(1, 8), *range(300, 306)]:
        driver.release(request_id)
        grants.append(driver.find_answer(400))
    grant = next(answer for answer in grants if answer is not None)
    assert driver.ledger.count_running(grant.upstream_id) == 1
    beside = [driver.ask(request_id, preferred=grant.upstream_id) for request_id in range(500, 510)]
    assert grant.upstream_id not in [getattr(answer, "upstream_id", "") for answer in beside]


def test_innocents_are_cleared_when_they_finish():
    driver = LedgerDriver(engines=5)
    crash(driver, fill(driver))
    suspects = set(driver.ledger.state_.suspects_.crashes_) - {POISON}
    assert suspects
    for fingerprint in suspects:
        assert isinstance(driver.ask(1_000 + fingerprint, fingerprint=fingerprint), PermitGranted)
        driver.release(1_000 + fingerprint)
    assert set(driver.ledger.state_.suspects_.crashes_) == {POISON}


def test_new_boot_under_running_permits_is_a_crash():
    driver = LedgerDriver(engines=3)
    name = fill(driver)
    driver.tell(UpstreamSeen(make_announcement(name, boot="b2", incarnation=2)))
    assert driver.ledger.state_.suspects_.is_suspect(POISON)


def test_planned_restart_is_no_crash():
    driver = LedgerDriver(engines=3)
    name = fill(driver)
    driver.tell(UpstreamSeen(make_announcement(name, sequence=2, leaving=True)))
    driver.tell(UpstreamSeen(make_announcement(name, boot="b2", incarnation=2)))
    assert not driver.ledger.state_.suspects_.crashes_


@pytest.mark.parametrize("resolved", [True, False])
def test_broken_answers_count_once_the_crash_is_known(resolved):
    driver = LedgerDriver(engines=3)
    name = fill(driver)
    driver.release(100, PermitOutcome.BROKE)
    if resolved:
        driver.tell(UpstreamSeen(make_announcement(name, sequence=2)))
    driver.tell(UpstreamSeen(make_announcement(name, boot="b2", incarnation=2)))
    assert driver.ledger.state_.suspects_.is_suspect(POISON) != resolved


def test_one_content_runs_at_two_upstreams_at_most_until_it_finished():
    driver = LedgerDriver(engines=5)
    answers = [
        driver.ask(request_id, fingerprint=POISON, tried=[f"e{i}" for i in range(5) if i != at])
        for request_id, at in enumerate(range(5), start=1)
    ]
    assert sum(isinstance(answer, PermitGranted) for answer in answers) == 2
    driver.release(1)
    assert driver.ask(10, fingerprint=POISON, tried=["e0", "e1"]) is not None


def test_later_owner_knows_recorded_suspects():
    driver = LedgerDriver(engines=3)
    actions = crash(driver, fill(driver))
    recorded = [action.suspect for action in find(actions, RecordSuspect)]
    later = LedgerDriver(engines=5, epoch=2)
    later.tell(SuspectsKnown(tuple(recorded)))
    grant = later.ask(1, fingerprint=POISON)
    crash(later, grant.upstream_id)
    assert later.ask(2, fingerprint=POISON).reason == "quarantined"


def lose_all_but_one(driver):
    """Crash one of two engines with requests on it; return who runs at the other one afterwards.

    :returns: the suspects that were granted, and whether an ordinary request was.
    """
    for request_id in range(1, 5):
        driver.ask(request_id, key=0)
    lost = driver.ask(100, key=0, fingerprint=POISON).upstream_id
    suspects = [r.fingerprint for r in driver.ledger.state_.upstreams_.get(lost).permits_]
    crash(driver, lost)
    for request_id in range(1, 5):
        driver.release(request_id)
    answers = [driver.ask(200 + n, fingerprint=f) for n, f in enumerate(suspects)]
    granted = [answer for answer in answers if isinstance(answer, PermitGranted)]
    ordinary = driver.ask(300)
    return granted, isinstance(ordinary, PermitGranted)


def test_suspects_run_one_by_one_beside_others_where_one_upstream_is_left():
    driver = LedgerDriver(engines=2)
    granted, ordinary = lose_all_but_one(driver)
    assert len(granted) == 1
    assert ordinary
    driver.release(granted[0].request_id)
    assert any(isinstance(driver.find_answer(200 + n), PermitGranted) for n in range(5))


def test_last_upstream_would_be_kept_from_others_otherwise(monkeypatch):
    monkeypatch.setattr(Isolation, "_find_last", lambda self, entry: None)
    assert lose_all_but_one(LedgerDriver(engines=2))[1] is False


def test_second_crash_beside_others_quarantines_the_suspect_only():
    driver = LedgerDriver(engines=2)
    granted, _ = lose_all_but_one(driver)
    actions = crash(driver, granted[0].upstream_id)
    assert len(find(actions, Quarantine)) == 1
    assert not driver.ledger.state_.suspects_.is_quarantined(300)
