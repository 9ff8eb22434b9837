"""Tests of claims, configuration and permits of a router with scripted controllers."""

import itertools
import random
import time

import gevent
import pytest
from returns.result import Failure, Success

from sassafrashook.interfaces import Sender
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
from sassafrashook.router import ClaimClient, FleetStateHolder, PermitDriver
from sassafrashook.router import _claims as claims_module
from sassafrashook.routing import PermitClient

CONTROLLERS = ["c1", "c2", "c3"]
TIMEOUT_S = 20
CLOCK_READINGS = 18  # readings before the deadline has passed; each attempt reads the clock twice


class ScriptedSender(Sender):
    """Records sent messages and delivers scripted replies.

    :param reply: called with (peer, message); returns the replies to deliver, or ``None`` if the
        message could not be sent.
    """

    def __init__(self, reply):
        self.reply = reply
        self.sent = []
        self.deliver = None

    def send(self, peer, message):
        self.sent.append((peer, message))
        replies = self.reply(peer, message)
        for item in replies or ():
            gevent.spawn(self.deliver, peer, item)
        return replies is not None


def make_claim():
    return ClaimRequested(0, "attempt", "shop", "ledger", "key", "digest", 1)


def request_claim(statuses, monkeypatch):
    """Claim once; each controller replies with its status, does not reply, or is unreachable.

    The clock reaches the deadline between two attempts, because an attempt that is cut short would
    count as undecided.
    """
    monkeypatch.setattr(claims_module, "DECISION_TIMEOUT_MS", 30)

    def reply(peer, message):
        status = statuses[peer]
        if status == "unreachable":
            return None
        return [] if status == "silent" else [ClaimDecided(message.claim_id, status)]

    sender = ScriptedSender(reply)
    clock = itertools.chain(itertools.repeat(0.0, CLOCK_READINGS), itertools.repeat(2.0)).__next__
    driver = ClaimClient(sender, CONTROLLERS, clock)
    sender.deliver = driver.deliver
    decision = driver.claim(make_claim(), 1.0)
    assert not driver.pending_results_
    return decision.status, sender.sent


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
def test_claim_is_unknown_only_if_it_may_have_arrived(statuses, expected, monkeypatch):
    pairs = zip(CONTROLLERS, statuses, strict=True)
    status_by_controller = {
        name: ClaimStatus(reply) if reply in list(ClaimStatus) else reply for name, reply in pairs
    }
    status, sent = request_claim(status_by_controller, monkeypatch)
    assert status == expected
    assert {message.attempt for _, message in sent} == {"attempt"}
    claim_ids = [message.claim_id for _, message in sent]
    assert len(claim_ids) == len(set(claim_ids))


class ConfigurationHarness:
    """A holder that stores publications without decoding their documents."""

    def __init__(self, holder_class=FleetStateHolder):
        self.sender = ScriptedSender(lambda peer, message: [])
        self.counts = []
        self.holder = holder_class("r1", "boot", self.sender, self.decode, self.count)

    def decode(self, message):
        if message.document == b"bad":
            raise ValueError("bad document")
        return message

    def count(self, metric, reason):
        self.counts.append(reason)

    def publish(self, revision, digest="d", document=b""):
        self.holder.deliver("c1", ConfigurationPublished(revision, digest, document))
        return self.holder.revision


def test_only_newer_revisions_are_adopted_and_confirmed():
    harness = ConfigurationHarness()
    assert [harness.publish(n) for n in (3, 2, 5, 4)] == [3, 3, 5, 5]
    confirmed = [message.revision for _, message in harness.sender.sent]
    assert confirmed == [3, 5]
    assert harness.counts == ["older_revision"] * 2


def test_second_digest_of_revision_is_ignored():
    harness = ConfigurationHarness()
    harness.publish(3, "d1")
    harness.publish(3, "d2")
    assert (harness.holder.digest_, harness.counts) == ("d1", ["revision_with_two_digests"])


def test_undecodable_document_keeps_previous_configuration():
    harness = ConfigurationHarness()
    harness.publish(3)
    assert harness.publish(4, document=b"bad") == 3
    assert harness.counts == ["undecodable"]


def test_older_revision_is_adopted_without_revision_check():
    class RevisionIgnored(FleetStateHolder):
        revision = property(lambda self: 0)

    harness = ConfigurationHarness(RevisionIgnored)
    harness.publish(3)
    harness.publish(2)
    assert harness.holder.fleet_state_.revision == 2


class FakeOwner:
    """An owner that accepts sessions and grants permits after a delay.

    :param grant_delay_s: delay of each grant, seconds.
    """

    def __init__(self, grant_delay_s=0.0):
        self.grant_delay_s = grant_delay_s
        self.released = []

    def reply(self, _peer, message):
        if isinstance(message, SessionOpened):
            needs_holdings = message.epoch != 1
            return [SessionAccepted(message.sequence, 1, 60_000, 1, needs_holdings)]
        if isinstance(message, PermitRequested):
            gevent.spawn_later(self.grant_delay_s, self.grant, message.request_id)
        if isinstance(message, PermitReleased):
            self.released.append(message)
        return []

    def grant(self, request_id):
        granted = PermitGranted(request_id, "e1", "b", "127.0.0.1", 1, 10_000, 1, 1)
        self.driver.deliver("c1", granted)


def start_driver(owner):
    sender = ScriptedSender(owner.reply)
    core = PermitClient("r1", "boot", ["c1"], random.Random(1))
    driver = PermitDriver(core, sender, lambda *_: None, lambda *_: None)
    sender.deliver = driver.deliver
    owner.driver = driver
    driver.start()
    return driver


def make_query():
    return PermitRequested(0, "advice", 7, "shop", "default", 0, 60_000, 7)


def test_permit_is_acquired_and_released():
    owner = FakeOwner()
    driver = start_driver(owner)
    result = driver.acquire(make_query(), time.monotonic() + TIMEOUT_S)
    assert isinstance(result, Success)
    driver.release(result.unwrap(), "finished", 12)
    with gevent.Timeout(TIMEOUT_S):
        while not owner.released:
            gevent.sleep(0.01)
    assert owner.released[0].first_token_ms == 12
    driver.stop()


def test_permit_granted_after_timeout_is_released_unused():
    owner = FakeOwner(grant_delay_s=0.3)
    driver = start_driver(owner)
    result = driver.acquire(make_query(), time.monotonic() + 0.05)
    assert isinstance(result, Failure)
    assert result.failure().verdict == "not_run"
    with gevent.Timeout(TIMEOUT_S):
        while not owner.released:
            gevent.sleep(0.01)
    assert owner.released[0].outcome == "unused"
    assert not driver.pending_results_
    driver.stop()
