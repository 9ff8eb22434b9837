"""Tests of single controller services with a fake replicated log."""

from types import SimpleNamespace

import gevent
import pytest

from sassafrashook.base import Action, Core, Event
from sassafrashook.controller import (
    ClaimService,
    ClockService,
    CommandProposer,
    ConfigurationService,
    PermitService,
)
from sassafrashook.messages import (
    ClaimCompleted,
    ClaimDecided,
    ClaimRequested,
    ClaimStatus,
    ConfigurationConfirmed,
    ConfigurationPublished,
    PermitGranted,
    PermitReleased,
    PermitRequested,
    RecordedAnswer,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
    SessionRedirected,
)
from sassafrashook.state import FleetStateMachine, SetZone
from sassafrashook.state.tests.fake_log import CONTROLLER_NAME, FakeClock, FakeLog, Outbox


class _Record(Event, Action):
    def __init__(self, *values):
        self.values = values


def _make_record_class(name, *fields):
    def initialize(self, *values):
        for field, value in zip(fields, values, strict=True):
            setattr(self, field, value)

    return type(name, (_Record,), {"__init__": initialize})


EVENTS = SimpleNamespace(
    Count=_make_record_class("Count", "name", "attribute"),
    FleetStateChanged=_make_record_class("FleetStateChanged", "fleet_state"),
    RouterMessageReceived=_make_record_class("RouterMessageReceived", "router", "message"),
    RouterIdentity=_make_record_class("RouterIdentity", "name", "boot_id"),
    Quarantine=_make_record_class("Quarantine", "fingerprint"),
    RegisteredRoutersLoaded=_make_record_class("RegisteredRoutersLoaded", "routers"),
    Send=_make_record_class("Send", "peer", "message"),
    UpstreamLeft=_make_record_class("UpstreamLeft", "upstream_id"),
    UpstreamAnnounced=_make_record_class("UpstreamAnnounced", "announcement"),
)


class FakeLedger(Core):
    """Accepts every session and grants every permit."""

    def __init__(self, epoch, on_grant=lambda: None):
        self.epoch = epoch
        self.on_grant = on_grant
        self.received_events = []
        self.revision = -1

    def handle(self, event, now):
        self.received_events.append(event)
        if isinstance(event, EVENTS.FleetStateChanged):
            self.revision = event.fleet_state.revision
        if not isinstance(event, EVENTS.RouterMessageReceived):
            return []
        message = event.message
        if isinstance(message, SessionOpened):
            accepted = SessionAccepted(message.sequence, self.epoch, 3_000, self.revision)
            return [EVENTS.Send(event.router, accepted)]
        if isinstance(message, PermitRequested):
            self.on_grant()
            granted = PermitGranted(message.request_id, "u", "b", "127.0.0.1", 1, 9, 0, self.epoch)
            return [EVENTS.Send(event.router, granted)]
        return []

    def advance(self, now):
        return []

    def next_deadline(self):
        return None

    def list_messages(self, kind):
        events = [
            event
            for event in self.received_events
            if isinstance(event, EVENTS.RouterMessageReceived)
        ]
        return [event.message for event in events if isinstance(event.message, kind)]


class ServiceHarness:
    """Services of one controller with a fake replicated log."""

    def __init__(self, **log_options):
        self.clock = FakeClock()
        self.state = FleetStateMachine()
        self.log = FakeLog([self.state], **log_options)
        self.outbox = Outbox()
        self.proposer = CommandProposer(self.log, self.clock, self.clock.wall_ms)
        self.started = []

    def start(self, service):
        service.start()
        self.started.append(service)
        return service

    def start_permits(self, ledger_class=FakeLedger, **options):
        self.ledgers = []

        def build_ledger(epoch):
            self.ledgers.append(ledger_class(epoch))
            return self.ledgers[-1]

        service = PermitService(
            CONTROLLER_NAME,
            self.log,
            self.state,
            self.outbox,
            self.proposer,
            build_ledger,
            EVENTS,
            self.clock,
            **options,
        )
        return self.start(service)

    def start_configuration(self):
        service = ConfigurationService(self.log, self.state, self.outbox, self.clock)
        return self.start(service)

    def set_zone(self, command_id, drained=True):
        command = SetZone(command_id, "brest-a", drained, self.clock.wall_ms() + 5_000)
        return self.proposer.propose(command, 0).unwrap().revision


@pytest.fixture
def harness():
    harness = ServiceHarness()
    yield harness
    for service in harness.started:
        service.stop()


def settle():
    for _ in range(8):
        gevent.sleep(0)


def make_claim(number, attempt="", key="", deadline_ms=2_000_000):
    return ClaimRequested(
        number, attempt or f"a{number}", "acc", "s", key or f"k{number}", "d", deadline_ms
    )


def open_session(service, router="r1", boot="b1", sequence=1):
    service.deliver(router, SessionOpened(router, boot, sequence, 0))
    settle()


def request_permit(service, number=1, router="r1"):
    message = PermitRequested(number, "s", 1, "acc", "default", 100, 1_000, 5)
    service.deliver(router, message)
    settle()


# Claims


def test_queued_claims_share_one_proposal(harness):
    service = harness.start(ClaimService(harness.proposer, harness.outbox, max_proposals=1))
    for number in range(100):
        service.deliver("r1", make_claim(number))
    settle()
    decided = harness.outbox.pop_messages(ClaimDecided)
    assert {
        decision.claim_id for decision in decided if decision.status == ClaimStatus.GRANTED
    } == set(range(100))
    assert len(harness.log.entries) == 1


@pytest.mark.parametrize(
    ("failure", "first", "second"),
    [
        ("not_accepted", ClaimStatus.UNAVAILABLE, ClaimStatus.GRANTED),
        ("lost", ClaimStatus.UNKNOWN, ClaimStatus.GRANTED),
        ("answer_lost", ClaimStatus.UNKNOWN, ClaimStatus.RUNNING),
    ],
)
def test_undecided_claims_report_whether_commit_is_possible(harness, failure, first, second):
    service = harness.start(ClaimService(harness.proposer, harness.outbox))
    harness.log.failures = [failure]
    for number in (1, 2):
        service.deliver("r1", make_claim(number, key="k"))
        settle()
    assert [decision.status for decision in harness.outbox.pop_messages(ClaimDecided)] == [
        first,
        second,
    ]


def test_follower_and_full_queue_reject_claims(harness):
    service = harness.start(ClaimService(harness.proposer, harness.outbox, max_queue_size=1))
    harness.log.term = 0
    service.deliver("r1", make_claim(1))
    service.deliver("r1", make_claim(2))
    settle()
    statuses = [decision.status for decision in harness.outbox.pop_messages(ClaimDecided)]
    assert statuses == [ClaimStatus.UNAVAILABLE] * 2
    assert not harness.log.entries


def test_account_queue_limit_reserves_space_for_other_accounts(harness):
    options = {"max_queue_size": 9, "max_account_queue_size": 3}
    service = harness.start(ClaimService(harness.proposer, harness.outbox, **options))
    for number in range(9):
        service.deliver("r1", make_claim(number))
    service.deliver("r1", ClaimRequested(99, "a", "other", "s", "k", "d", 2_000_000))
    settle()
    granted = [
        decision.claim_id
        for decision in harness.outbox.pop_messages(ClaimDecided)
        if decision.status == "granted"
    ]
    assert granted == [0, 1, 2, 99]
    assert not service._account_counts


def test_completion_is_recorded_without_large_body(harness):
    service = harness.start(ClaimService(harness.proposer, harness.outbox))
    answer = RecordedAnswer("ran", 200, "text/plain", b"x" * 100_000)
    service.deliver("r1", make_claim(1, "a", "k"))
    service.deliver("r1", ClaimCompleted(2, "a", "acc", "s", "k", answer))
    service.deliver("r2", make_claim(3, "b", "k"))
    settle()
    last = harness.outbox.pop_messages(ClaimDecided)[-1]
    assert (last.status, last.answer.verdict, last.answer.truncated) == ("recorded", "ran", True)
    assert sum(map(len, harness.log.entries)) < 2_000


def test_stop_decides_every_claim():
    harness = ServiceHarness(sync_s=0.01)
    service = harness.start(
        ClaimService(harness.proposer, harness.outbox, max_proposals=1, max_batch=2)
    )
    for number in range(4):
        service.deliver("r1", make_claim(number))
    settle()
    service.stop()
    service.deliver("r1", make_claim(4))
    statuses = {
        decision.claim_id: str(decision.status)
        for decision in harness.outbox.pop_messages(ClaimDecided)
    }
    refused = dict.fromkeys((2, 3, 4), "unavailable")
    assert statuses == {0: "granted", 1: "granted", **refused}


def test_unexpected_error_leaves_claim_unknown(harness):
    service = harness.start(ClaimService(harness.proposer, harness.outbox, max_proposals=1))
    harness.proposer.wall_clock_ms = lambda: 1 // 0
    service.deliver("r1", make_claim(1))
    settle()
    harness.proposer.wall_clock_ms = harness.clock.wall_ms
    service.deliver("r1", make_claim(2))
    settle()
    assert [decision.status for decision in harness.outbox.pop_messages(ClaimDecided)] == [
        "unknown",
        "granted",
    ]


# Configuration


def test_rollout_lists_unconfirmed_routers(harness):
    service = harness.start_configuration()
    for name in ("r1", "r2"):
        service.deliver(name, SessionOpened(name, "b", 1, 0))
    revision = harness.set_zone("c1")
    service.publish()
    published = harness.outbox.pop_messages(ConfigurationPublished)
    assert [publication.revision for publication in published] == [0, 0, 1, 1]
    service.deliver("r1", ConfigurationConfirmed("r1", "b", 1, published[-1].digest))
    service.deliver("r2", ConfigurationConfirmed("r2", "b", 1, "wrong"))
    rollout = service.compute_rollout(revision)
    assert (rollout.in_force, rollout.confirmed, rollout.pending) == (False, ["r1"], ["r2"])
    harness.clock.now += 11
    service.deliver("r1", SessionOpened("r1", "b", 2, 0))
    assert service.compute_rollout(revision).silent == ["r2"]
    assert service.compute_rollout(revision).in_force


def test_only_leader_resends_unconfirmed_publication(harness):
    service = harness.start_configuration()
    service.deliver("r1", SessionOpened("r1", "b", 1, 0))
    harness.set_zone("c1")
    assert [service.publish(), service.publish()] == [1, 0]
    harness.clock.now += 1
    assert service.publish() == 1
    harness.clock.now += 1
    harness.log.term = 0
    assert service.publish() == 0


def test_restart_discards_router_confirmation(harness):
    service = harness.start_configuration()
    harness.set_zone("c1")
    service.deliver("r1", SessionOpened("r1", "b1", 1, 0))
    service.publish()
    digest = harness.outbox.pop_messages(ConfigurationPublished)[0].digest
    service.deliver("r1", ConfigurationConfirmed("r1", "b1", 1, digest))
    assert service.compute_rollout(1).in_force
    service.deliver("r1", SessionOpened("r1", "b2", 1, 0))
    assert service.compute_rollout(1).pending == ["r1"]


# Permits


def test_router_is_registered_before_session_is_accepted(harness):
    service = harness.start_permits()
    harness.log.failures = ["not_accepted"]
    open_session(service)
    assert not harness.outbox.pop_messages(SessionAccepted)
    open_session(service, sequence=2)
    assert [accepted.sequence for accepted in harness.outbox.pop_messages(SessionAccepted)] == [2]
    assert ("r1", "b1") in harness.state.routers_.routers_
    service.deliver("r1", SessionClosed("r1", "b1"))
    settle()
    assert not harness.state.routers_.routers_


def test_session_is_accepted_with_latest_revision(harness):
    service = harness.start_permits()
    open_session(service)
    harness.set_zone("c1")
    open_session(service, sequence=2)
    assert [accepted.revision for accepted in harness.outbox.pop_messages(SessionAccepted)] == [
        0,
        1,
    ]


@pytest.mark.parametrize("condition", ["complete", "timeout"])
def test_owner_starts_when_upstream_list_is_complete_or_timeout_expires(harness, condition):
    complete = []
    service = harness.start_permits(is_ready=lambda: bool(complete), ready_timeout_ms=5_000)
    open_session(service)
    assert not harness.ledgers
    if condition == "complete":
        complete.append(True)
    else:
        harness.clock.now += 5.0
    open_session(service, sequence=2)
    assert len(harness.ledgers) == 1


def test_new_term_starts_owner_with_registered_routers(harness):
    service = harness.start_permits()
    open_session(service)
    harness.log.term = 5
    open_session(service, sequence=2)
    assert [ledger.epoch for ledger in harness.ledgers] == [1, 5]
    known = next(
        event
        for event in harness.ledgers[1].received_events
        if isinstance(event, EVENTS.RegisteredRoutersLoaded)
    )
    assert [(router.name, router.boot_id) for router in known.routers] == [("r1", "b1")]


def test_no_permit_is_granted_without_confirmed_leadership(harness):
    service = harness.start_permits()
    open_session(service)
    request_permit(service)
    assert len(harness.outbox.pop_messages(PermitGranted)) == 1
    harness.log.term, harness.log.leader_name = 0, CONTROLLER_NAME
    request_permit(service, 2)
    service.deliver("r1", PermitReleased(1, "finished"))
    open_session(service, sequence=3)
    assert not harness.outbox.pop_messages(PermitGranted)
    assert [redirect.owner for redirect in harness.outbox.pop_messages(SessionRedirected)] == [
        "",
        "",
    ]
    harness.log.term = 1
    request_permit(service, 3)
    assert len(harness.ledgers) == 1
    assert len(harness.ledgers[0].list_messages(PermitReleased)) == 1


def test_owner_is_discarded_when_another_controller_leads(harness):
    service = harness.start_permits()
    open_session(service)
    harness.log.term, harness.log.leader_name = 0, "c2"
    open_session(service, sequence=2)
    assert service.ledger_ is None
    assert harness.outbox.pop_messages(SessionRedirected)[-1].owner == "c2"


def test_reply_is_dropped_when_leadership_ends_before_send(harness):
    class LeadershipLostOnGrant(FakeLedger):
        def __init__(self, epoch):
            super().__init__(epoch, on_grant=lambda: setattr(harness.log, "term", 0))

    service = harness.start_permits(LeadershipLostOnGrant)
    open_session(service)
    request_permit(service)
    assert not harness.outbox.pop_messages(PermitGranted)


def test_invariant_violation_discards_owner_for_the_term(harness):
    class FailingLedger(FakeLedger):
        def __init__(self, epoch):
            super().__init__(epoch, on_grant=self._fail)

        def _fail(self):
            raise AssertionError("count below zero")

    service = harness.start_permits(FailingLedger)
    open_session(service)
    request_permit(service)
    request_permit(service, 2)
    assert not harness.outbox.pop_messages(PermitGranted)
    assert len(harness.outbox.pop_messages(SessionRedirected)) == 1
    assert service.ledger_ is None and len(harness.ledgers) == 1
    harness.log.term = 2
    settle()
    open_session(service, sequence=9)
    assert len(harness.ledgers) == 2


def test_silent_router_is_unregistered_and_registered_again(harness):
    service = harness.start_permits()
    open_session(service)
    harness.clock.now += 700
    open_session(service, "r2")
    assert list(harness.state.routers_.routers_) == [("r2", "b1")]
    open_session(service, sequence=2)
    assert ("r1", "b1") in harness.state.routers_.routers_


def test_session_with_mismatched_sender_is_dropped(harness):
    service = harness.start_permits()
    service.deliver("r2", SessionOpened("r1", "b1", 1, 0))
    settle()
    assert not harness.outbox.sent


# Clock


def test_clock_advances_only_while_state_holds_deadlines(harness):
    service = ClockService(harness.proposer, harness.state)
    service.advance()
    assert not harness.log.entries
    harness.set_zone("c1")
    harness.clock.now += 6
    service.advance()
    assert harness.state.clock_ms_ == harness.clock.wall_ms()
