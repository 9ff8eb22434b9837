"""Tests of the permit client: session, change of owner, late and lost messages."""

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
    ControllerDisconnected,
    ControllerMessageReceived,
    PermitClient,
    Refused,
    ReleaseRequested,
    Send,
    StopRequested,
    WithdrawRequested,
)
from sassafrashook.routing.tests.builders import LedgerDriver, make_query


class ClientDriver:
    """Drives a client in place of its controllers, which send only what a test tells them to."""

    def __init__(self):
        self.client = PermitClient("r1", "boot", ["c1", "c2", "c3"], random.Random(1))
        self.now = 0.0
        self.actions = self.client.advance(0.0)

    def handle(self, event):
        self.actions = self.client.handle(event, self.now)
        return self.actions

    def receive(self, message, name="c1"):
        return self.handle(ControllerMessageReceived(name, message))

    def pass_time(self, seconds):
        end = self.now + seconds
        self.actions = []
        while (due := self.client.next_deadline()) is not None and due <= end:
            self.now = max(self.now, due)
            self.actions += self.client.advance(self.now)
        self.now = end

    def find(self, message_type):
        """Return the sent messages and the actions of one type among the latest actions."""
        sent = [action.message for action in self.actions if isinstance(action, Send)]
        return [item for item in sent + self.actions if isinstance(item, message_type)]

    def find_opened(self, name):
        """Return the latest :class:`SessionOpened` that was sent to a controller."""
        sent = [action for action in self.actions if isinstance(action, Send)]
        opened = [item for item in sent if isinstance(item.message, SessionOpened)]
        return [item.message for item in opened if item.peer == name][-1]

    def open(self, epoch=1, name="c1"):
        opened = self.find_opened(name)
        self.receive(SessionAccepted(opened.sequence, epoch, 2000, 1, needs_holdings=True), name)
        opened = self.find_opened(name)
        self.receive(SessionAccepted(opened.sequence, epoch, 2000, 1), name)
        return opened

    def acquire(self, token="t", waiting_s=5.0):
        self.handle(AcquireRequested(token, make_query(0), self.now + waiting_s))
        return self.find(PermitRequested)

    def grant(self, request_id, epoch=1, use_within_ms=1000, name="c1"):
        return self.receive(
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
    assert permit.send_deadline == pytest.approx(1.0)
    driver.handle(ReleaseRequested(query.request_id, PermitOutcome.FINISHED, 50))
    assert driver.find(PermitReleased)[0].first_token_ms == 50
    driver.handle(ReleaseRequested(query.request_id, PermitOutcome.FINISHED, 50))
    assert not driver.actions


def test_redirect_leads_to_the_owner(driver):
    opened = driver.find(SessionOpened)[0]
    driver.receive(SessionRedirected(opened.sequence, "c3"))
    assert driver.actions[0].peer == "c3"
    driver.open(name="c3")
    assert driver.client.session_.owner_ == "c3"


def test_controller_that_announces_ownership_is_probed_at_once(driver):
    driver.open()
    driver.receive(SessionRedirected(0, "c3"), name="c3")
    assert driver.find_opened("c3").epoch == 0
    driver.open(epoch=2, name="c3")
    driver.receive(SessionRedirected(0, "c1"), name="c1")
    late_renewal = driver.find_opened("c1")
    driver.receive(SessionAccepted(late_renewal.sequence, 1, 2000, 1), name="c1")
    assert driver.client.session_.owner_ != "c1"


def test_lease_counts_from_sending_the_renewal(driver):
    opened = driver.find(SessionOpened)[0]
    driver.now = 1.5
    driver.receive(SessionAccepted(opened.sequence, 1, 2000, 1, needs_holdings=True))
    assert driver.client.has_valid_lease(1.9)
    assert not driver.client.has_valid_lease(2.0)


def test_new_owner_receives_permits_and_requests_with_new_ids(driver):
    driver.open()
    held = driver.acquire("held")[0].request_id
    driver.grant(held)
    waiting = driver.acquire("waiting", waiting_s=9)[0].request_id
    driver.handle(ControllerDisconnected("c1"))
    driver.handle(ReleaseRequested(held, PermitOutcome.CRASHED))
    assert not driver.find(PermitReleased)
    driver.pass_time(0.35)
    opened = driver.open(epoch=2, name="c2")
    assert [holding.request_id for holding in opened.holdings] == [held]
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.CRASHED
    assert driver.find(PermitRequested)[0].request_id > waiting
    driver.grant(waiting, epoch=1)
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.UNUSED


def test_requests_are_refused_in_time_without_an_owner(driver):
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


def test_late_or_withdrawn_permits_are_returned_unused(driver):
    driver.open()
    first_id = driver.acquire("late")[0].request_id
    driver.now = 1.01
    driver.grant(first_id)
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.UNUSED
    second_id = driver.find(PermitRequested)[0].request_id
    assert second_id > first_id
    driver.handle(WithdrawRequested("late"))
    assert driver.find(PermitWithdrawn)[0].request_id == second_id
    driver.grant(second_id)
    assert driver.find(PermitReleased)[0].outcome == PermitOutcome.UNUSED
    assert not driver.find(Acquired)


def test_duplicate_grant_is_ignored(driver):
    driver.open()
    request_id = driver.acquire()[0].request_id
    driver.grant(request_id)
    assert driver.grant(request_id) == []


def test_stop_closes_the_session_after_the_last_confirmed_release(driver):
    driver.open()
    request_id = driver.acquire()[0].request_id
    driver.grant(request_id)
    driver.handle(StopRequested())
    assert not driver.find(SessionClosed)
    driver.handle(ReleaseRequested(request_id, PermitOutcome.FINISHED))
    assert driver.find(PermitReleased) and not driver.find(SessionClosed)
    driver.pass_time(1.0)
    assert not driver.find(SessionClosed)
    sequence = driver.find_opened("c1").sequence
    driver.receive(SessionAccepted(sequence, 1, 2000, 1, released=[request_id]))
    assert driver.find(SessionClosed)
    driver.acquire("next")
    assert driver.find(Refused)[0].refusal.reason == RefusalReason.STOPPING


class LossyExchange:
    """Connects a ledger and a client, and drops the client's first message of one type.

    :param dropped_type: the type of the dropped message, or an empty tuple for none.
    """

    def __init__(self, dropped_type):
        self.dropped_type = dropped_type
        self.owner = LedgerDriver(engines=1)
        self.client = PermitClient("r1", "other-boot", ["c1"], random.Random(1))
        self.received = []
        self.exchange(self.client.advance(0.0))

    def exchange(self, actions):
        for action in actions:
            if not isinstance(action, Send):
                self.received.append(action)
            elif isinstance(action.message, self.dropped_type):
                self.dropped_type = ()
            else:
                for answer in self.owner.receive(action.message):
                    if isinstance(answer, Send):
                        message = ControllerMessageReceived("c1", answer.message)
                        self.exchange(self.client.handle(message, self.owner.now))

    def handle(self, event):
        self.exchange(self.client.handle(event, self.owner.now))

    def pass_time(self, seconds):
        end = self.owner.now + seconds
        while (due := self.client.next_deadline()) <= end:
            self.owner.now = max(self.owner.now, due)
            self.exchange(self.client.advance(self.owner.now))
        self.owner.now = end


def run_with_lost_message(message_type):
    """Return the running count several renewals after a message about a permit's end was lost."""
    link = LossyExchange(message_type)
    link.handle(AcquireRequested("t", make_query(0, running_ms=60_000), 5.0))
    permit = next(item.permit for item in link.received if isinstance(item, Acquired))
    link.handle(ReleaseRequested(permit.request_id, PermitOutcome.FINISHED))
    link.pass_time(4.0)
    return link.owner.ledger.count_running("e0")


def test_lost_release_is_resent_until_confirmed():
    assert run_with_lost_message(PermitReleased) == 0


def test_lost_release_stays_counted_without_resending(monkeypatch):
    monkeypatch.setattr(
        PermitClient, "_handle_confirmed_releases", lambda self, request_ids, now: None
    )
    assert run_with_lost_message(PermitReleased) == 1


def test_confirmed_ends_are_dropped():
    link = LossyExchange(())
    for number in range(20):
        link.handle(AcquireRequested(number, make_query(0), link.owner.now + 5.0))
        permit = [item.permit for item in link.received if isinstance(item, Acquired)][-1]
        link.handle(ReleaseRequested(permit.request_id, PermitOutcome.FINISHED))
    assert len(link.client.unconfirmed_releases_) == 20
    link.pass_time(2.0)
    assert not link.client.unconfirmed_releases_
