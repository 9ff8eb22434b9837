"""The router's side: session, owner change, late and lost answers."""

import random

import pytest

from sassafrashook.messages import (
    PermitGranted,
    PermitOutcome,
    PermitReleased,
    PermitRequested,
    PermitWithdrawn,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
    SessionRedirected,
)
from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.routing import (
    Acquired,
    AcquireRequested,
    ControllerLost,
    FromController,
    PermitClient,
    Refused,
    ReleaseRequested,
    Send,
    StopRequested,
    WithdrawRequested,
)
from sassafrashook.routing.tests.builders import LedgerDriver, make_query


class ClientDriver:
    """A client whose controllers answer only when the test says so."""

    def __init__(self):
        self.client = PermitClient("r1", "boot", ["c1", "c2", "c3"], random.Random(1))
        self.now = 0.0
        self.actions = self.client.advance(0.0)

    def tell(self, event):
        self.actions = self.client.handle(event, self.now)
        return self.actions

    def hear(self, message, name="c1"):
        return self.tell(FromController(name, message))

    def pass_time(self, seconds):
        until = self.now + seconds
        self.actions = []
        while (due := self.client.next_deadline()) is not None and due <= until:
            self.now = max(self.now, due)
            self.actions += self.client.advance(self.now)
        self.now = until

    def find(self, kind):
        """Return the messages, or the actions, of one type among the latest actions."""
        sent = [action.message for action in self.actions if isinstance(action, Send)]
        return [item for item in sent + self.actions if isinstance(item, kind)]

    def find_opened(self, name):
        """Return the latest session message that went to a controller."""
        sent = [action for action in self.actions if isinstance(action, Send)]
        opened = [item for item in sent if isinstance(item.message, SessionOpened)]
        return [item.message for item in opened if item.peer == name][-1]

    def open(self, epoch=1, name="c1"):
        opened = self.find_opened(name)
        self.hear(SessionAccepted(opened.sequence, epoch, 2000, 1, needs_holdings=True), name)
        opened = self.find_opened(name)
        self.hear(SessionAccepted(opened.sequence, epoch, 2000, 1), name)
        return opened

    def acquire(self, token="t", waiting_s=5.0):
        self.tell(AcquireRequested(token, make_query(0), self.now + waiting_s))
        return self.find(PermitRequested)

    def grant(self, request_id, epoch=1, use_within_ms=1000, name="c1"):
        return self.hear(
            PermitGranted(request_id, "e1", "b1", "127.0.0.1", 1, use_within_ms, 0, epoch), name
        )


@pytest.fixture
def driver():
    return ClientDriver()


def test_permit_is_acquired_and_released(driver):
    driver.open()
    query = driver.acquire()[0]
    driver.now = 0.2
    permit = driver.grant(query.request_id)[0].permit
    assert permit.use_by == pytest.approx(1.0)
    driver.tell(ReleaseRequested(query.request_id, PermitOutcome.FINISHED, 50))
    assert driver.find(PermitReleased)[0].first_token_ms == 50
    driver.tell(ReleaseRequested(query.request_id, PermitOutcome.FINISHED, 50))
    assert not driver.actions


def test_owner_is_found_by_redirect(driver):
    opened = driver.find(SessionOpened)[0]
    driver.hear(SessionRedirected(opened.sequence, "c3"))
    assert driver.actions[0].peer == "c3"
    driver.open(name="c3")
    assert driver.client.session_.owner_ == "c3"


def test_new_owner_that_says_so_is_asked_at_once(driver):
    driver.open()
    driver.hear(SessionRedirected(0, "c3"), name="c3")
    assert driver.find_opened("c3").epoch == 0
    driver.open(epoch=2, name="c3")
    driver.hear(SessionRedirected(0, "c1"), name="c1")
    late = driver.find_opened("c1")
    driver.hear(SessionAccepted(late.sequence, 1, 2000, 1), name="c1")
    assert driver.client.session_.owner_ != "c1"


def test_view_is_fresh_from_when_the_renewal_was_sent(driver):
    opened = driver.find(SessionOpened)[0]
    driver.now = 1.5
    driver.hear(SessionAccepted(opened.sequence, 1, 2000, 1, needs_holdings=True))
    assert driver.client.is_fresh(1.9)
    assert not driver.client.is_fresh(2.0)


def test_new_owner_learns_holdings_and_is_asked_under_new_ids(driver):
    driver.open()
    held = driver.acquire("held")[0].request_id
    driver.grant(held)
    waiting = driver.acquire("waiting", waiting_s=9)[0].request_id
    driver.tell(ControllerLost("c1"))
    driver.tell(ReleaseRequested(held, PermitOutcome.CRASHED))
    assert not driver.find(PermitReleased)
    driver.pass_time(0.35)
    opened = driver.open(epoch=2, name="c2")
    assert [holding.request_id for holding in opened.holdings] == [held]
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.CRASHED
    assert driver.find(PermitRequested)[0].request_id > waiting
    driver.grant(waiting, epoch=1)
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.UNUSED


def test_without_owner_waits_end_in_time(driver):
    driver.acquire("early", waiting_s=1)
    driver.pass_time(1.02)
    assert driver.find(Refused)[0].refusal.reason == RefusalReason.NO_OWNER
    driver.open()
    driver.pass_time(2.5)
    driver.acquire("late", waiting_s=1)
    driver.pass_time(1.02)
    refusal = driver.find(Refused)[0].refusal
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, RefusalReason.STALE_VIEW)
    assert refusal.retry_after_ms > 0


def test_late_or_unwanted_permits_are_returned_unused(driver):
    driver.open()
    first = driver.acquire("late")[0].request_id
    driver.now = 1.01
    driver.grant(first)
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.UNUSED
    second = driver.find(PermitRequested)[0].request_id
    assert second > first
    driver.tell(WithdrawRequested("late"))
    assert driver.find(PermitWithdrawn)[0].request_id == second
    driver.grant(second)
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.UNUSED
    assert not driver.find(Acquired)


def test_duplicate_grant_is_harmless(driver):
    driver.open()
    request_id = driver.acquire()[0].request_id
    driver.grant(request_id)
    assert driver.grant(request_id) == []


def test_stop_closes_the_session_after_the_last_release_was_confirmed(driver):
    driver.open()
    request_id = driver.acquire()[0].request_id
    driver.grant(request_id)
    driver.tell(StopRequested())
    assert not driver.find(SessionClosed)
    driver.tell(ReleaseRequested(request_id, PermitOutcome.FINISHED))
    assert driver.find(PermitReleased) and not driver.find(SessionClosed)
    driver.pass_time(1.0)
    assert not driver.find(SessionClosed)
    sequence = driver.find_opened("c1").sequence
    driver.hear(SessionAccepted(sequence, 1, 2000, 1, released=[request_id]))
    assert driver.find(SessionClosed)
    driver.acquire("next")
    assert driver.find(Refused)[0].refusal.reason == RefusalReason.STOPPING


class LossyPair:
    """A ledger and a client that lose the first message of one type between them."""

    def __init__(self, lost_kind):
        self.lost_kind = lost_kind
        self.owner = LedgerDriver(engines=1)
        self.client = PermitClient("r1", "other-boot", ["c1"], random.Random(1))
        self.taken = []
        self.exchange(self.client.advance(0.0))

    def exchange(self, actions):
        for action in actions:
            if not isinstance(action, Send):
                self.taken.append(action)
            elif isinstance(action.message, self.lost_kind):
                self.lost_kind = ()
            else:
                for answer in self.owner.hear(action.message):
                    if isinstance(answer, Send):
                        message = FromController("c1", answer.message)
                        self.exchange(self.client.handle(message, self.owner.now))

    def tell(self, event):
        self.exchange(self.client.handle(event, self.owner.now))

    def pass_time(self, seconds):
        until = self.owner.now + seconds
        while (due := self.client.next_deadline()) <= until:
            self.owner.now = max(self.owner.now, due)
            self.exchange(self.client.advance(self.owner.now))
        self.owner.now = until


def lose_release(kind):
    """Return what the owner counts some renewals after the end of a permit was lost."""
    pair = LossyPair(kind)
    pair.tell(AcquireRequested("t", make_query(0, running_ms=60_000), 5.0))
    permit = next(item.permit for item in pair.taken if isinstance(item, Acquired))
    pair.tell(ReleaseRequested(permit.request_id, PermitOutcome.FINISHED))
    pair.pass_time(4.0)
    return pair.owner.ledger.count_running("e0")


def test_lost_release_is_told_again_until_it_is_confirmed():
    assert lose_release(PermitReleased) == 0


def test_lost_release_would_count_until_its_running_deadline(monkeypatch):
    monkeypatch.setattr(PermitClient, "_handle_confirmed_ends", lambda self, request_ids, now: None)
    assert lose_release(PermitReleased) == 1


def test_confirmed_ends_are_forgotten():
    pair = LossyPair(())
    for number in range(20):
        pair.tell(AcquireRequested(number, make_query(0), pair.owner.now + 5.0))
        permit = [item.permit for item in pair.taken if isinstance(item, Acquired)][-1]
        pair.tell(ReleaseRequested(permit.request_id, PermitOutcome.FINISHED))
    assert len(pair.client.unconfirmed_ends_) == 20
    pair.pass_time(2.0)
    assert not pair.client.unconfirmed_ends_
