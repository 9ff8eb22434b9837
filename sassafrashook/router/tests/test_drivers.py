"""Claims, configuration and permits of one router, against controllers that answer as told."""

import itertools
import random
import time

import gevent
import pytest
from returns.result import Failure, Success

from sassafrashook.gateways import Sender
from sassafrashook.messages import (
    ClaimDecided,
    ClaimRequested,
    ClaimStatus,
    ConfigurationPublished,
    PermitGranted,
    PermitReleased,
    PermitRequested,
    SessionAccepted,
    SessionOpened,
)
from sassafrashook.router import ClaimDriver, ConfigurationHolder, PermitDriver
from sassafrashook.router import _claims as claims_module
from sassafrashook.routing import PermitClient

CONTROLLERS = ["c1", "c2", "c3"]
WAIT_S = 20
CLOCK_READINGS = 18  # until the deadline has passed; two for each attempt


class Wire(Sender):
    """Records what is sent and answers by a function.

    :param answer: called with (peer, message); returns messages to be delivered, or ``None`` if
        the message could not be sent.
    """

    def __init__(self, answer):
        self.answer = answer
        self.sent = []
        self.deliver = None

    def send(self, peer, message):
        self.sent.append((peer, message))
        answers = self.answer(peer, message)
        for item in answers or ():
            gevent.spawn(self.deliver, peer, item)
        return answers is not None


def make_claim():
    return ClaimRequested(0, "attempt", "shop", "ledger", "key", "digest", 1)


def ask(statuses, monkeypatch):
    """Claim once; each controller answers by its status, is silent, or is out of reach.

    The deadline passes between two attempts: one that it cuts short counts as undecided.
    """
    monkeypatch.setattr(claims_module, "RESEND_MS", 30)

    def answer(peer, message):
        status = statuses[peer]
        if status == "unreachable":
            return None
        return [] if status == "silent" else [ClaimDecided(message.claim_id, status)]

    wire = Wire(answer)
    clock = itertools.chain(itertools.repeat(0.0, CLOCK_READINGS), itertools.repeat(2.0)).__next__
    driver = ClaimDriver(wire, CONTROLLERS, clock)
    wire.deliver = driver.deliver
    decision = driver.claim(make_claim(), 1.0)
    assert not driver.waiting_
    return decision.status, wire.sent


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        (["unavailable", "granted", "silent"], "granted"),
        (["silent", "unavailable", "recorded"], "recorded"),
        (["unavailable", "unavailable", "unavailable"], "unavailable"),
        (["unreachable", "unreachable", "unavailable"], "unavailable"),
        (["unavailable", "silent", "unavailable"], "unknown"),
        (["unavailable", "unknown", "unreachable"], "unknown"),
    ],
)
def test_claim_is_undecided_only_if_it_may_have_arrived(statuses, expected, monkeypatch):
    pairs = zip(CONTROLLERS, statuses, strict=True)
    named = {name: ClaimStatus(s) if s in list(ClaimStatus) else s for name, s in pairs}
    status, sent = ask(named, monkeypatch)
    assert status == expected
    assert {message.attempt for _, message in sent} == {"attempt"}
    ids = [message.claim_id for _, message in sent]
    assert len(ids) == len(set(ids))


class Configurations:
    """A holder whose documents are numbers."""

    def __init__(self, holder_class=ConfigurationHolder):
        self.wire = Wire(lambda peer, message: [])
        self.counts = []
        self.holder = holder_class("r1", "boot", self.wire, self.decode, self.count)

    def decode(self, message):
        if message.document == b"bad":
            raise ValueError("bad document")
        return message

    def count(self, metric, reason):
        self.counts.append(reason)

    def publish(self, revision, digest="d", document=b""):
        self.holder.deliver("c1", ConfigurationPublished(revision, digest, document))
        return self.holder.revision


def test_revision_never_falls_and_is_confirmed():
    site = Configurations()
    assert [site.publish(n) for n in (3, 2, 5, 4)] == [3, 3, 5, 5]
    confirmed = [message.revision for _, message in site.wire.sent]
    assert confirmed == [3, 5]
    assert site.counts == ["older_revision"] * 2


def test_one_revision_with_two_digests_is_refused():
    site = Configurations()
    site.publish(3, "d1")
    site.publish(3, "d2")
    assert (site.holder.digest_, site.counts) == ("d1", ["revision_with_two_digests"])


def test_undecodable_document_leaves_the_old_one_in_force():
    site = Configurations()
    site.publish(3)
    assert site.publish(4, document=b"bad") == 3
    assert site.counts == ["undecodable"]


def test_old_revision_would_be_taken_without_the_check():
    class Forgetful(ConfigurationHolder):
        revision = property(lambda self: 0)

    site = Configurations(Forgetful)
    site.publish(3)
    site.publish(2)
    assert site.holder.fleet_state_.revision == 2


class Owner:
    """An owner that accepts sessions and grants after a while."""

    def __init__(self, grant_after_s=0.0):
        self.grant_after_s = grant_after_s
        self.released = []

    def answer(self, _peer, message):
        if isinstance(message, SessionOpened):
            needs_holdings = message.epoch != 1
            return [SessionAccepted(message.sequence, 1, 60_000, 1, needs_holdings)]
        if isinstance(message, PermitRequested):
            gevent.spawn_later(self.grant_after_s, self.grant, message.request_id)
        if isinstance(message, PermitReleased):
            self.released.append(message)
        return []

    def grant(self, request_id):
        granted = PermitGranted(request_id, "e1", "b", "127.0.0.1", 1, 10_000, 1, 1)
        self.driver.deliver("c1", granted)


def start_driver(owner):
    wire = Wire(owner.answer)
    core = PermitClient("r1", "boot", ["c1"], random.Random(1))
    driver = PermitDriver(core, wire, lambda *_: None, lambda *_: None)
    wire.deliver = driver.deliver
    owner.driver = driver
    driver.start()
    return driver


def make_query():
    return PermitRequested(0, "advice", 7, "shop", "default", 0, 60_000, 7)


def test_permit_is_acquired_and_released():
    owner = Owner()
    driver = start_driver(owner)
    result = driver.acquire(make_query(), time.monotonic() + WAIT_S)
    assert isinstance(result, Success)
    driver.release(result.unwrap(), "finished", 12)
    with gevent.Timeout(WAIT_S):
        while not owner.released:
            gevent.sleep(0.01)
    assert owner.released[0].first_token_ms == 12
    driver.stop()


def test_permit_that_comes_after_its_caller_gave_up_goes_back_unused():
    owner = Owner(grant_after_s=0.3)
    driver = start_driver(owner)
    result = driver.acquire(make_query(), time.monotonic() + 0.05)
    assert isinstance(result, Failure)
    assert result.failure().verdict == "not_run"
    with gevent.Timeout(WAIT_S):
        while not owner.released:
            gevent.sleep(0.01)
    assert owner.released[0].outcome == "unused"
    assert not driver.waiting_
    driver.stop()
