"""Isolation and quarantine of requests that crash the upstreams that run them."""

import pytest

from sassafrashook.messages import PermitGranted, PermitOutcome
from sassafrashook.routing import (
    FleetStateChanged,
    Quarantine,
    RecordedSuspectsLoaded,
    RecordSuspect,
    UpstreamAnnounced,
)
from sassafrashook.routing._isolation import IsolationScheduler
from sassafrashook.routing.tests.builders import (
    LedgerDriver,
    make_announcement,
    make_fleet_state,
)

POISON = 666


def run_poison_among_others(driver, requests=8):
    """Start ordinary requests and one poison request; return the upstream that runs the latter."""
    for request_id in range(1, requests):
        driver.request_permit(request_id, key=0)
    return driver.request_permit(100, key=0, fingerprint=POISON).upstream_id


def report_crash(driver, upstream_id):
    """Release all permits of an upstream as crashed and return the actions."""
    upstream = driver.ledger.state_.upstreams_.get(upstream_id)
    actions = []
    for record in list(upstream.permits_):
        actions += driver.release(record.request_id, PermitOutcome.CRASHED)
    return actions


def filter_actions(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_second_crash_quarantines_the_request_for_all_routers():
    driver = LedgerDriver(engines=5)
    report_crash(driver, run_poison_among_others(driver))
    for request_id in range(1, 8):
        driver.release(request_id)
    grant = driver.request_permit(200, fingerprint=POISON)
    assert driver.ledger.count_running(grant.upstream_id) == 1
    actions = report_crash(driver, grant.upstream_id)
    assert [action.fingerprint for action in filter_actions(actions, Quarantine)] == [POISON]
    driver.open("r2")
    assert driver.request_permit(201, router="r2", fingerprint=POISON).reason == "quarantined"
    repeated = driver.pass_time(1.5)
    assert filter_actions(repeated, Quarantine)
    driver.handle(FleetStateChanged(make_fleet_state(2, quarantined=[POISON])))
    assert not filter_actions(driver.pass_time(3.0), Quarantine)
    assert driver.request_permit(202, fingerprint=POISON).reason == "quarantined"


def test_suspect_waits_for_an_idle_upstream():
    driver = LedgerDriver(engines=3)
    report_crash(driver, run_poison_among_others(driver))
    for request_id in range(300, 306):
        driver.request_permit(request_id)
    running = {f"e{i}": driver.ledger.count_running(f"e{i}") for i in range(3)}
    assert min(running[name] for name in running if running[name]) >= 1
    assert driver.request_permit(400, fingerprint=POISON, work_class="plan") is None
    grants = []
    for request_id in [*range(1, 8), *range(300, 306)]:
        driver.release(request_id)
        grants.append(driver.find_answer(400))
    grant = next(answer for answer in grants if answer is not None)
    assert driver.ledger.count_running(grant.upstream_id) == 1
    answers = [
        driver.request_permit(request_id, preferred=grant.upstream_id)
        for request_id in range(500, 510)
    ]
    assert grant.upstream_id not in [getattr(answer, "upstream_id", "") for answer in answers]


def test_bystanders_are_cleared_when_they_finish():
    driver = LedgerDriver(engines=5)
    report_crash(driver, run_poison_among_others(driver))
    suspects = set(driver.ledger.state_.suspects_.crashes_) - {POISON}
    assert suspects
    for fingerprint in suspects:
        assert isinstance(
            driver.request_permit(1_000 + fingerprint, fingerprint=fingerprint), PermitGranted
        )
        driver.release(1_000 + fingerprint)
    assert set(driver.ledger.state_.suspects_.crashes_) == {POISON}


def test_new_boot_with_permits_in_use_counts_as_a_crash():
    driver = LedgerDriver(engines=3)
    name = run_poison_among_others(driver)
    driver.handle(UpstreamAnnounced(make_announcement(name, boot="b2", incarnation=2)))
    assert driver.ledger.state_.suspects_.is_suspect(POISON)


def test_planned_restart_does_not_count_as_a_crash():
    driver = LedgerDriver(engines=3)
    name = run_poison_among_others(driver)
    driver.handle(UpstreamAnnounced(make_announcement(name, sequence=2, leaving=True)))
    driver.handle(UpstreamAnnounced(make_announcement(name, boot="b2", incarnation=2)))
    assert not driver.ledger.state_.suspects_.crashes_


@pytest.mark.parametrize("seen_alive", [True, False])
def test_interrupted_answers_count_once_the_crash_is_known(seen_alive):
    driver = LedgerDriver(engines=3)
    name = run_poison_among_others(driver)
    driver.release(100, PermitOutcome.BROKE)
    if seen_alive:
        driver.handle(UpstreamAnnounced(make_announcement(name, sequence=2)))
    driver.handle(UpstreamAnnounced(make_announcement(name, boot="b2", incarnation=2)))
    assert driver.ledger.state_.suspects_.is_suspect(POISON) != seen_alive


def test_fingerprint_that_has_not_finished_runs_on_at_most_two_upstreams():
    driver = LedgerDriver(engines=5)
    answers = [
        driver.request_permit(
            request_id, fingerprint=POISON, tried=[f"e{i}" for i in range(5) if i != at]
        )
        for request_id, at in enumerate(range(5), start=1)
    ]
    assert sum(isinstance(answer, PermitGranted) for answer in answers) == 2
    driver.release(1)
    assert driver.request_permit(10, fingerprint=POISON, tried=["e0", "e1"]) is not None


def test_next_owner_restores_recorded_suspects():
    driver = LedgerDriver(engines=3)
    actions = report_crash(driver, run_poison_among_others(driver))
    recorded = [action.suspect for action in filter_actions(actions, RecordSuspect)]
    next_owner = LedgerDriver(engines=5, epoch=2)
    next_owner.handle(RecordedSuspectsLoaded(tuple(recorded)))
    grant = next_owner.request_permit(1, fingerprint=POISON)
    report_crash(next_owner, grant.upstream_id)
    assert next_owner.request_permit(2, fingerprint=POISON).reason == "quarantined"


def crash_one_of_two_engines(driver):
    """Crash one of two engines while it runs requests, then send suspects and a new request.

    :returns: the grants of suspects on the other engine, and whether the new request was granted.
    """
    for request_id in range(1, 5):
        driver.request_permit(request_id, key=0)
    crashed_id = driver.request_permit(100, key=0, fingerprint=POISON).upstream_id
    suspects = [
        record.fingerprint for record in driver.ledger.state_.upstreams_.get(crashed_id).permits_
    ]
    report_crash(driver, crashed_id)
    for request_id in range(1, 5):
        driver.release(request_id)
    answers = [driver.request_permit(200 + n, fingerprint=f) for n, f in enumerate(suspects)]
    granted = [answer for answer in answers if isinstance(answer, PermitGranted)]
    ordinary = driver.request_permit(300)
    return granted, isinstance(ordinary, PermitGranted)


def test_suspects_share_the_only_upstream_one_at_a_time():
    driver = LedgerDriver(engines=2)
    granted, ordinary = crash_one_of_two_engines(driver)
    assert len(granted) == 1
    assert ordinary
    driver.release(granted[0].request_id)
    assert any(isinstance(driver.find_answer(200 + n), PermitGranted) for n in range(5))


def test_without_shared_runs_the_only_upstream_is_reserved(monkeypatch):
    monkeypatch.setattr(IsolationScheduler, "_find_only_upstream", lambda self, entry: None)
    assert crash_one_of_two_engines(LedgerDriver(engines=2))[1] is False


def test_second_crash_on_a_shared_upstream_quarantines_only_the_suspect():
    driver = LedgerDriver(engines=2)
    granted, _ = crash_one_of_two_engines(driver)
    actions = report_crash(driver, granted[0].upstream_id)
    assert len(filter_actions(actions, Quarantine)) == 1
    assert not driver.ledger.state_.suspects_.is_quarantined(300)
