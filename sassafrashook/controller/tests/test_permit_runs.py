"""Randomised tests of the permit service with leadership changes and lost registrations.

The environment variable ``SEED`` is the first seed; ``SOAK`` multiplies the number of
seeds, which is 20 by default.
"""

import os
import random

import gevent
import pytest

from sassafrashook.controller import PermitService
from sassafrashook.controller.tests.test_mechanisms import (
    _NoLeadershipCheck,
    _NoRegistrationCheck,
    _OwnerKeptAcrossTerms,
    _StaleFleetState,
)
from sassafrashook.controller.tests.test_services import (
    CONTROLLER_NAME,
    EVENTS,
    FakeLedger,
    ServiceHarness,
)
from sassafrashook.messages import (
    PermitGranted,
    PermitReleased,
    PermitRequested,
    SessionAccepted,
    SessionClosed,
    SessionOpened,
)

FIRST_SEED = int(os.environ.get("SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + 20 * int(os.environ.get("SOAK", "1")))
STEPS = 250
SEQUENCES_PER_BOOT = 100_000


class RandomRun:
    """Drives a permit service with random events and checks each message when it is sent."""

    def __init__(self, seed, service_class):
        self.rng = random.Random(seed)
        self.harness = ServiceHarness()
        self.violations = []
        self.latest_term = 1
        self.boots = {"r1": 1, "r2": 1}
        self.sequence = 0
        harness = self.harness
        self.service = service_class(
            CONTROLLER_NAME,
            harness.log,
            harness.state,
            self,
            harness.proposer,
            self.build_ledger,
            EVENTS,
            harness.clock,
        )

    def build_ledger(self, epoch):
        return FakeLedger(epoch, on_grant=self.change_term_at_random)

    def execute(self):
        harness, service = self.harness, self.service
        service.start()
        service._task.kill()
        for _ in range(STEPS):
            harness.clock.now += self.rng.choice((0.01, 0.5, 60.0))
            self.rng.choice((self.send_message,) * 8 + (self.change_zone, self.change_term))()
            while not service._inbox.empty():
                service.process_item(service._inbox.get())
            gevent.sleep(0)
        service.stop()
        return self.violations

    def send(self, peer, message):
        """Check one message sent by the service."""
        log, state = self.harness.log, self.harness.state
        if isinstance(message, PermitGranted | SessionAccepted) and message.epoch != log.term:
            self.violations.append("answered without confirmed leadership")
        if isinstance(message, SessionAccepted):
            boot = f"b{message.sequence // SEQUENCES_PER_BOOT}"
            if (peer, boot) not in state.routers_.routers_:
                self.violations.append("accepted an unregistered router")
            if message.revision != state.revision:
                self.violations.append("accepted with an old revision")
        return True

    def change_term_at_random(self):
        if self.rng.random() < 0.1:
            self.change_term()

    def change_term(self):
        log = self.harness.log
        choice = self.rng.choice(("unconfirmed", "other", "again", "new"))
        if choice == "unconfirmed":
            log.term, log.leader_name = 0, CONTROLLER_NAME
        elif choice == "other":
            self.latest_term += 1
            log.term, log.leader_name = 0, "c2"
        elif choice == "again" and log.leader_name == CONTROLLER_NAME:
            log.term = self.latest_term
        else:
            self.latest_term += 1
            log.term, log.leader_name = self.latest_term, CONTROLLER_NAME

    def change_zone(self):
        if self.harness.log.term:
            self.harness.log.failures = []
            self.harness.set_zone(f"c{self.rng.random()}", self.rng.random() < 0.5)

    def send_message(self):
        name = self.rng.choice(sorted(self.boots))
        if self.rng.random() < 0.05:
            self.boots[name] += 1
        if self.rng.random() < 0.1:
            self.harness.log.failures = [self.rng.choice(("lost", "answer_lost", "not_accepted"))]
        boot = self.boots[name]
        self.sequence += 1
        opened = SessionOpened(name, f"b{boot}", boot * SEQUENCES_PER_BOOT + self.sequence, 0)
        requested = PermitRequested(self.sequence, "s", 1, "acc", "default", 100, 1_000, 5)
        message = self.rng.choice(
            (opened, opened, opened, requested, requested, PermitReleased(1, "finished"))
            + (SessionClosed(name, f"b{boot}"),)
        )
        self.service.deliver(name, message)


def find_violations(service_class=PermitService):
    return {violation for seed in SEEDS for violation in RandomRun(seed, service_class).execute()}


def test_replies_require_leadership_registration_and_latest_revision():
    assert find_violations() == set()


@pytest.mark.parametrize(
    ("mutation", "violation"),
    [
        (_NoLeadershipCheck, "answered without confirmed leadership"),
        (_OwnerKeptAcrossTerms, "answered without confirmed leadership"),
        (_NoRegistrationCheck, "accepted an unregistered router"),
        (_StaleFleetState, "accepted with an old revision"),
    ],
)
def test_checks_detect_disabled_mechanism(mutation, violation):
    assert violation in find_violations(mutation)
