"""Router sessions and the takeover of permits by a new term."""

import random

from sassafrashook.messages import (
    Holding,
    LoadReport,
    PermitGranted,
    PermitOutcome,
    SessionClosed,
    SessionOpened,
)
from sassafrashook.routing import (
    FleetStateChanged,
    PermitLedger,
    RegisteredRoutersLoaded,
    RouterIdentity,
    RouterMessageReceived,
    UpstreamAnnounced,
)
from sassafrashook.routing._takeover import Takeover
from sassafrashook.routing.tests.builders import (
    LedgerDriver,
    make_announcement,
    make_fleet_state,
    make_query,
)
from sassafrashook.routing.tests.fleet import Faults, Fleet
from sassafrashook.routing.tests.test_random import run_fleet


class TakeoverDriver(LedgerDriver):
    """A ledger of a second term that waits for the reports of the routers r1 and r2."""

    def __init__(self, engines=2):
        self.ledger = PermitLedger(epoch=2, rng=random.Random(1))
        self.now = 0.0
        self.actions = []
        self.handle(FleetStateChanged(make_fleet_state()))
        for index in range(engines):
            self.handle(UpstreamAnnounced(make_announcement(f"e{index}", cold_capacity=2)))
        self.handle(
            RegisteredRoutersLoaded((RouterIdentity("r1", "boot"), RouterIdentity("r2", "boot")))
        )


def make_holdings(upstream_id, count, boot_id="b1", first=1):
    """Return a router's report of the permits that it holds."""
    ids = range(first, first + count)
    return [Holding(i, upstream_id, boot_id, "shop", "default", i, 5_000) for i in ids]


def test_nothing_is_granted_until_all_known_routers_reported():
    driver = TakeoverDriver()
    driver.open("r1", epoch=0)
    assert driver.actions[0].message.needs_holdings
    driver.open("r1", sequence=1, holdings=make_holdings("e0", 4))
    assert driver.request_permit(100) is None
    driver.open("r2", holdings=make_holdings("e1", 1))
    assert isinstance(driver.find_answer(100), PermitGranted)
    loads = [driver.ledger.count_running(f"e{index}") for index in range(2)]
    assert loads == [4, 2]


def test_queue_is_capped_while_nothing_is_granted():
    driver = TakeoverDriver()
    driver.ledger.max_queue_size = 5
    driver.open("r1")
    answers = [driver.request_permit(request_id) for request_id in range(1, 10)]
    assert answers[:5] == [None] * 5
    assert {answer.reason for answer in answers[5:]} == {"queue_full"}


def test_report_of_another_boot_is_ignored():
    driver = TakeoverDriver()
    driver.open("r1")
    driver.open("r2", boot="other")
    assert driver.request_permit(1) is None


def test_load_unaccounted_for_in_reports_is_presumed_for_a_missing_router():
    driver = TakeoverDriver(engines=3)
    driver.open("r1", holdings=make_holdings("e0", 2))
    driver.pass_time(1.5)
    driver.receive(LoadReport("e0", "b1", 1, 6, 0))
    driver.receive(LoadReport("e1", "b1", 1, 0, 0))
    driver.pass_time(1.1)
    loads = [driver.ledger.count_running(f"e{index}") for index in range(3)]
    assert loads == [6, 0, 8]
    driver.receive(LoadReport("e2", "b1", 1, 1, 0))
    assert driver.ledger.count_running("e2") == 1
    driver.open("r2", holdings=make_holdings("e0", 3))
    assert driver.ledger.count_running("e0") == 5
    assert driver.ledger.count_running("e2") == 0


def test_presumed_loads_end_with_the_longest_running_deadline():
    driver = TakeoverDriver()
    driver.open("r1")
    driver.pass_time(2.6)
    assert driver.ledger.count_running("e0") == 8
    driver.pass_time(700)
    assert driver.ledger.count_running("e0") == 0


def test_upstream_announced_after_the_holdings_counts_them():
    driver = TakeoverDriver()
    driver.open("r1", holdings=make_holdings("e9", 5))
    driver.open("r2")
    driver.handle(UpstreamAnnounced(make_announcement("e9", cold_capacity=1)))
    assert driver.ledger.count_running("e9") == 5
    driver.release(1)
    assert driver.ledger.count_running("e9") == 4


def test_warm_up_limit_starts_at_the_restored_load():
    driver = TakeoverDriver()
    driver.open("r1", holdings=make_holdings("e0", 7))
    assert driver.ledger.state_.upstreams_.get("e0").warm_up_.limit_ == 7


def test_expired_session_is_refused_but_its_permits_still_count():
    driver = LedgerDriver()
    driver.request_permit(1)
    driver.now += 2.1
    assert driver.request_permit(2).reason == "stale_view"
    assert sum(driver.ledger.count_running(f"e{index}") for index in range(3)) == 1
    driver.pass_time(30)
    assert sum(driver.ledger.count_running(f"e{index}") for index in range(3)) == 0


def test_restarted_router_neither_releases_nor_uses_its_earlier_permits():
    driver = LedgerDriver()
    driver.request_permit(1)
    driver.open("r1", sequence=1, boot="boot2")
    late = SessionOpened("r1", "boot", 99, 1)
    driver.receive(late)
    assert driver.actions[0].name == "sessions_ignored"
    driver.release(1)
    assert sum(driver.ledger.count_running(f"e{index}") for index in range(3)) == 1


def test_waiting_requests_of_an_expired_session_are_not_granted():
    driver = LedgerDriver(engines=1)
    driver.open("r2")
    for request_id in range(1, 9):
        driver.request_permit(request_id, account=f"a{request_id % 3}")
    assert driver.request_permit(100, router="r2", account="b", work_class="plan") is None
    driver.pass_time(2.5)
    assert driver.request_permit(101, account="c", work_class="plan") is None
    driver.release(1)
    driver.release(2)
    assert driver.find_answer(100) is None
    assert driver.ledger.count_running("e0") == 7


def test_reopened_session_releases_permits_that_its_router_does_not_hold():
    driver = LedgerDriver()
    grants = {request_id: driver.request_permit(request_id) for request_id in (1, 2)}
    driver.open("r1", sequence=10, epoch=0)
    holdings = make_holdings(grants[2].upstream_id, 1, first=2)
    driver.open("r1", sequence=11, holdings=holdings)
    assert sum(driver.ledger.count_running(f"e{index}") for index in range(3)) == 1


def test_without_reconciling_holdings_a_permit_leaks(monkeypatch):
    monkeypatch.setattr(PermitLedger, "_reconcile_holdings", lambda *_: None)
    driver = LedgerDriver()
    driver.ledger.sessions_.get("r1").lease_until_ = 99.0
    driver.request_permit(1)
    driver.open("r1", sequence=10, epoch=0)
    driver.open("r1", sequence=11)
    assert sum(driver.ledger.count_running(f"e{index}") for index in range(3)) == 1


def test_closing_a_session_releases_its_permits():
    driver = LedgerDriver()
    for request_id in range(1, 40):
        driver.request_permit(request_id, work_class="plan")
    driver.receive(SessionClosed("r1", "boot"))
    assert not any(driver.ledger.count_running(f"e{index}") for index in range(3))


def test_granted_permit_must_be_used_within_a_second_of_its_grant():
    driver = LedgerDriver(engines=1)
    for request_id in range(1, 9):
        driver.request_permit(request_id, account=f"a{request_id % 3}")
    driver.ledger.state_.get_service("advice").queue_.record_hold_time(0.1)
    assert driver.request_permit(50, account="late") is None
    driver.pass_time(0.7)
    driver.release(1)
    assert 1_650 <= driver.find_answer(50).use_within_ms <= 1_750


def test_duplicate_request_gets_the_same_grant():
    driver = LedgerDriver()
    assert driver.request_permit(1) == driver.request_permit(1)
    assert sum(driver.ledger.count_running(f"e{index}") for index in range(3)) == 1


def count_violations(kind, seeds, **options):
    """Return how many simulation runs had a violation of the given kind."""
    runs = [run_fleet(seed, seconds=20.0, **options) for seed in seeds]
    return sum(any(kind in violation for violation in fleet.violations) for fleet in runs)


def test_without_waiting_for_holdings_the_randomised_check_fails(monkeypatch):
    def begin(takeover, routers, now, wait_s):
        takeover.state.takeover_complete_ = True

    monkeypatch.setattr(Takeover, "begin", begin)
    assert count_violations("count", range(1_000, 1_010)) > 0


class UncheckedDispatchFleet(Fleet):
    """A fleet whose routers dispatch requests without checking the age of the permit."""

    is_dispatch_checked = False


def count_late_dispatches(fleet_class):
    """Drain zones while routers pause before dispatching; return the number of late dispatches."""
    fleet = fleet_class(5, faults=Faults(paused=0.9), pause_s=6.0)
    fleet.run(1.0)
    for _ in range(20):
        fleet.send_request()
    fleet.run(0.2)
    for zone in "abc":
        fleet.set_zone_drained(zone, is_drained=True)
    fleet.run(8.0)
    return len([violation for violation in fleet.violations if "zone" in violation])


def test_paused_routers_send_no_late_requests_to_a_drained_zone():
    assert count_late_dispatches(Fleet) == 0


def test_without_the_dispatch_check_a_drained_zone_gets_late_requests():
    assert count_late_dispatches(UncheckedDispatchFleet) > 0


def test_messages_without_a_session_have_no_effect():
    driver = LedgerDriver()
    driver.receive(make_query(1), router="stranger")
    assert driver.find_answer(1).reason == "stale_view"
    driver.release(1, PermitOutcome.FINISHED, router="stranger")
    driver.handle(RouterMessageReceived("stranger", SessionClosed("stranger", "boot")))
    assert not driver.actions
