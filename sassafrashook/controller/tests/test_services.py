"""Focused tests of a controller's services above a fake log."""

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
from sassafrashook.state.tests.fake_log import NAME, FakeClock, FakeLog, Outbox


class _Record(Event, Action):
    def __init__(self, *values):
        self.values = values


def _make_kind(name, *fields):
    def build(self, *values):
        for field, value in zip(fields, values, strict=True):
            setattr(self, field, value)

    return type(name, (_Record,), {"__init__": build})


EVENTS = SimpleNamespace(
    Count=_make_kind("Count", "name", "attribute"),
    FleetStateChanged=_make_kind("FleetStateChanged", "fleet_state"),
    FromRouter=_make_kind("FromRouter", "router", "message"),
    KnownRouter=_make_kind("KnownRouter", "name", "boot_id"),
    Quarantine=_make_kind("Quarantine", "fingerprint"),
    RoutersKnown=_make_kind("RoutersKnown", "routers"),
    Send=_make_kind("Send", "peer", "message"),
    UpstreamLeft=_make_kind("UpstreamLeft", "upstream_id"),
    UpstreamSeen=_make_kind("UpstreamSeen", "announcement"),
)


class FakeLedger(Core):
    """Accepts every session and grants everything."""

    def __init__(self, epoch, on_grant=lambda: None):
        self.epoch = epoch
        self.on_grant = on_grant
        self.told = []
        self.revision = -1

    def handle(self, event, now):
        self.told.append(event)
        if isinstance(event, EVENTS.FleetStateChanged):
            self.revision = event.fleet_state.revision
        if not isinstance(event, EVENTS.FromRouter):
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

    def messages(self, kind):
        events = [e for e in self.told if isinstance(e, EVENTS.FromRouter)]
        return [e.message for e in events if isinstance(e.message, kind)]


class World:
    """One controller's services over a fake log."""

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

        def build(epoch):
            self.ledgers.append(ledger_class(epoch))
            return self.ledgers[-1]

        service = PermitService(
            NAME,
            self.log,
            self.state,
            self.outbox,
            self.proposer,
            build,
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
def world():
    built = World()
    yield built
    for service in built.started:
        service.stop()


def settle():
    for _ in range(8):
        gevent.sleep(0)


def request(number, attempt="", key="", deadline_ms=2_000_000):
    return ClaimRequested(
        number, attempt or f"a{number}", "acc", "s", key or f"k{number}", "d", deadline_ms
    )


def open_session(service, router="r1", boot="b1", sequence=1):
    service.deliver(router, SessionOpened(router, boot, sequence, 0))
    settle()


def ask(service, number=1, router="r1"):
    message = PermitRequested(number, "s", 1, "acc", "default", 100, 1_000, 5)
    service.deliver(router, message)
    settle()


# Claims


def test_many_claims_share_one_proposal(world):
    service = world.start(ClaimService(world.proposer, world.outbox, max_proposals=1))
    for number in range(100):
        service.deliver("r1", request(number))
    settle()
    decided = world.outbox.take(ClaimDecided)
    assert {d.claim_id for d in decided if d.status == ClaimStatus.GRANTED} == set(range(100))
    assert len(world.log.entries) == 1


@pytest.mark.parametrize(
    ("failure", "first", "second"),
    [
        ("not_accepted", ClaimStatus.UNAVAILABLE, ClaimStatus.GRANTED),
        ("lost", ClaimStatus.UNKNOWN, ClaimStatus.GRANTED),
        ("answer_lost", ClaimStatus.UNKNOWN, ClaimStatus.RUNNING),
    ],
)
def test_undecided_claims_tell_the_truth(world, failure, first, second):
    service = world.start(ClaimService(world.proposer, world.outbox))
    world.log.failures = [failure]
    for number in (1, 2):
        service.deliver("r1", request(number, key="k"))
        settle()
    assert [d.status for d in world.outbox.take(ClaimDecided)] == [first, second]


def test_follower_and_full_queue_grant_nothing(world):
    service = world.start(ClaimService(world.proposer, world.outbox, max_queue=1))
    world.log.term = 0
    service.deliver("r1", request(1))
    service.deliver("r1", request(2))
    settle()
    statuses = [d.status for d in world.outbox.take(ClaimDecided)]
    assert statuses == [ClaimStatus.UNAVAILABLE] * 2
    assert not world.log.entries


def test_surge_of_one_account_leaves_room_for_the_others(world):
    options = {"max_queue": 9, "max_account_queue": 3}
    service = world.start(ClaimService(world.proposer, world.outbox, **options))
    for number in range(9):
        service.deliver("r1", request(number))
    service.deliver("r1", ClaimRequested(99, "a", "other", "s", "k", "d", 2_000_000))
    settle()
    granted = [d.claim_id for d in world.outbox.take(ClaimDecided) if d.status == "granted"]
    assert granted == [0, 1, 2, 99]
    assert not service._account_counts


def test_completion_is_recorded_and_large_bodies_stay_out_of_the_log(world):
    service = world.start(ClaimService(world.proposer, world.outbox))
    answer = RecordedAnswer("ran", 200, "text/plain", b"x" * 100_000)
    service.deliver("r1", request(1, "a", "k"))
    service.deliver("r1", ClaimCompleted(2, "a", "acc", "s", "k", answer))
    service.deliver("r2", request(3, "b", "k"))
    settle()
    last = world.outbox.take(ClaimDecided)[-1]
    assert (last.status, last.answer.verdict, last.answer.truncated) == ("recorded", "ran", True)
    assert sum(map(len, world.log.entries)) < 2_000


def test_planned_stop_answers_every_claim():
    world = World(sync_s=0.01)
    service = world.start(ClaimService(world.proposer, world.outbox, max_proposals=1, max_batch=2))
    for number in range(4):
        service.deliver("r1", request(number))
    settle()
    service.stop()
    service.deliver("r1", request(4))
    statuses = {d.claim_id: str(d.status) for d in world.outbox.take(ClaimDecided)}
    refused = dict.fromkeys((2, 3, 4), "unavailable")
    assert statuses == {0: "granted", 1: "granted", **refused}


def test_fault_of_the_program_leaves_the_outcome_unknown(world):
    service = world.start(ClaimService(world.proposer, world.outbox, max_proposals=1))
    world.proposer.wall_clock_ms = lambda: 1 // 0
    service.deliver("r1", request(1))
    settle()
    world.proposer.wall_clock_ms = world.clock.wall_ms
    service.deliver("r1", request(2))
    settle()
    assert [d.status for d in world.outbox.take(ClaimDecided)] == ["unknown", "granted"]


# Configuration


def test_rollout_names_the_routers_that_have_not_confirmed(world):
    service = world.start_configuration()
    for name in ("r1", "r2"):
        service.deliver(name, SessionOpened(name, "b", 1, 0))
    revision = world.set_zone("c1")
    service.publish()
    published = world.outbox.take(ConfigurationPublished)
    assert [p.revision for p in published] == [0, 0, 1, 1]
    service.deliver("r1", ConfigurationConfirmed("r1", "b", 1, published[-1].digest))
    service.deliver("r2", ConfigurationConfirmed("r2", "b", 1, "wrong"))
    rollout = service.rollout(revision)
    assert (rollout.in_force, rollout.confirmed, rollout.pending) == (False, ["r1"], ["r2"])
    world.clock.now += 11
    service.deliver("r1", SessionOpened("r1", "b", 2, 0))
    assert service.rollout(revision).silent == ["r2"]
    assert service.rollout(revision).in_force


def test_unconfirmed_publication_is_sent_again_but_not_by_a_follower(world):
    service = world.start_configuration()
    service.deliver("r1", SessionOpened("r1", "b", 1, 0))
    world.set_zone("c1")
    assert [service.publish(), service.publish()] == [1, 0]
    world.clock.now += 1
    assert service.publish() == 1
    world.clock.now += 1
    world.log.term = 0
    assert service.publish() == 0


def test_restarted_router_has_confirmed_nothing(world):
    service = world.start_configuration()
    world.set_zone("c1")
    service.deliver("r1", SessionOpened("r1", "b1", 1, 0))
    service.publish()
    digest = world.outbox.take(ConfigurationPublished)[0].digest
    service.deliver("r1", ConfigurationConfirmed("r1", "b1", 1, digest))
    assert service.rollout(1).in_force
    service.deliver("r1", SessionOpened("r1", "b2", 1, 0))
    assert service.rollout(1).pending == ["r1"]


# Permits


def test_router_is_registered_before_its_session_is_accepted(world):
    service = world.start_permits()
    world.log.failures = ["not_accepted"]
    open_session(service)
    assert not world.outbox.take(SessionAccepted)
    open_session(service, sequence=2)
    assert [a.sequence for a in world.outbox.take(SessionAccepted)] == [2]
    assert ("r1", "b1") in world.state.routers_.routers_
    service.deliver("r1", SessionClosed("r1", "b1"))
    settle()
    assert not world.state.routers_.routers_


def test_session_is_accepted_with_the_newest_revision(world):
    service = world.start_permits()
    open_session(service)
    world.set_zone("c1")
    open_session(service, sequence=2)
    assert [a.revision for a in world.outbox.take(SessionAccepted)] == [0, 1]


@pytest.mark.parametrize("what", ["the list is complete", "the wait is over"])
def test_owner_begins_once_the_list_of_upstreams_is_complete(world, what):
    complete = []
    service = world.start_permits(is_ready=lambda: bool(complete), ready_timeout_ms=5_000)
    open_session(service)
    assert not world.ledgers
    if what == "the list is complete":
        complete.append(True)
    else:
        world.clock.now += 5.0
    open_session(service, sequence=2)
    assert len(world.ledgers) == 1


def test_new_term_has_a_new_owner_that_knows_the_routers(world):
    service = world.start_permits()
    open_session(service)
    world.log.term = 5
    open_session(service, sequence=2)
    assert [ledger.epoch for ledger in world.ledgers] == [1, 5]
    known = next(e for e in world.ledgers[1].told if isinstance(e, EVENTS.RoutersKnown))
    assert [(k.name, k.boot_id) for k in known.routers] == [("r1", "b1")]


def test_nothing_is_granted_without_confirmed_leadership(world):
    service = world.start_permits()
    open_session(service)
    ask(service)
    assert len(world.outbox.take(PermitGranted)) == 1
    world.log.term, world.log.leader_name = 0, NAME
    ask(service, 2)
    service.deliver("r1", PermitReleased(1, "finished"))
    open_session(service, sequence=3)
    assert not world.outbox.take(PermitGranted)
    assert [r.owner for r in world.outbox.take(SessionRedirected)] == ["", ""]
    world.log.term = 1
    ask(service, 3)
    assert len(world.ledgers) == 1
    assert len(world.ledgers[0].messages(PermitReleased)) == 1


def test_other_leader_ends_the_owner(world):
    service = world.start_permits()
    open_session(service)
    world.log.term, world.log.leader_name = 0, "c2"
    open_session(service, sequence=2)
    assert service.ledger_ is None
    assert world.outbox.take(SessionRedirected)[-1].owner == "c2"


def test_answer_is_dropped_if_leadership_ends_between_decision_and_send(world):
    class Frozen(FakeLedger):
        def __init__(self, epoch):
            super().__init__(epoch, on_grant=lambda: setattr(world.log, "term", 0))

    service = world.start_permits(Frozen)
    open_session(service)
    ask(service)
    assert not world.outbox.take(PermitGranted)


def test_broken_invariant_ends_the_owner_for_this_term(world):
    class Broken(FakeLedger):
        def __init__(self, epoch):
            super().__init__(epoch, on_grant=self._break)

        def _break(self):
            raise AssertionError("count below zero")

    service = world.start_permits(Broken)
    open_session(service)
    ask(service)
    ask(service, 2)
    assert not world.outbox.take(PermitGranted)
    assert len(world.outbox.take(SessionRedirected)) == 1
    assert service.ledger_ is None and len(world.ledgers) == 1
    world.log.term = 2
    settle()
    open_session(service, sequence=9)
    assert len(world.ledgers) == 2


def test_silent_router_is_forgotten_and_registered_again(world):
    service = world.start_permits()
    open_session(service)
    world.clock.now += 700
    open_session(service, "r2")
    assert list(world.state.routers_.routers_) == [("r2", "b1")]
    open_session(service, sequence=2)
    assert ("r1", "b1") in world.state.routers_.routers_


def test_session_in_another_routers_name_is_dropped(world):
    service = world.start_permits()
    service.deliver("r2", SessionOpened("r1", "b1", 1, 0))
    settle()
    assert not world.outbox.sent


# Clock


def test_clock_moves_only_while_something_ends(world):
    service = ClockService(world.proposer, world.state)
    service.advance()
    assert not world.log.entries
    world.set_zone("c1")
    world.clock.now += 6
    service.advance()
    assert world.state.clock_ms_ == world.clock.wall_ms()
