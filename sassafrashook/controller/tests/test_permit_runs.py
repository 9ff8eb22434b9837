"""Random runs of the permit service: leadership that comes and goes, lost registrations."""

import os
import random

import gevent
import pytest

from sassafrashook.controller import PermitService
from sassafrashook.controller.tests.test_mechanisms import (
    _AlwaysLeading,
    _NoRegistration,
    _OldRevision,
    _SameOwnerForever,
)
from sassafrashook.controller.tests.test_services import EVENTS, NAME, FakeLedger, World
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
BOOT_SEQUENCES = 100_000


class Run:
    """Drives the service, and checks each message at the moment when it is sent."""

    def __init__(self, seed, service_class):
        self.rng = random.Random(seed)
        self.world = World()
        self.violations = []
        self.highest_term = 1
        self.boots = {"r1": 1, "r2": 1}
        self.sequence = 0
        world = self.world
        self.service = service_class(
            NAME, world.log, world.state, self, world.proposer, self.build, EVENTS, world.clock
        )

    def build(self, epoch):
        return FakeLedger(epoch, on_grant=self.maybe_lose_leadership)

    def go(self):
        world, service = self.world, self.service
        service.start()
        service._task.kill()
        for _ in range(STEPS):
            world.clock.now += self.rng.choice((0.01, 0.5, 60.0))
            self.rng.choice((self.send_message,) * 8 + (self.change_zone, self.change_term))()
            while not service._inbox.empty():
                service.step(service._inbox.get())
            gevent.sleep(0)
        service.stop()
        return self.violations

    def send(self, peer, message):
        """Check one message that leaves the controller."""
        log, state = self.world.log, self.world.state
        if isinstance(message, PermitGranted | SessionAccepted) and message.epoch != log.term:
            self.violations.append("answered without confirmed leadership")
        if isinstance(message, SessionAccepted):
            boot = f"b{message.sequence // BOOT_SEQUENCES}"
            if (peer, boot) not in state.routers_.routers_:
                self.violations.append("accepted an unregistered router")
            if message.revision != state.revision:
                self.violations.append("accepted with an old revision")
        return True

    def maybe_lose_leadership(self):
        if self.rng.random() < 0.1:
            self.change_term()

    def change_term(self):
        log = self.world.log
        choice = self.rng.choice(("unconfirmed", "other", "again", "new"))
        if choice == "unconfirmed":
            log.term, log.leader_name = 0, NAME
        elif choice == "other":
            self.highest_term += 1
            log.term, log.leader_name = 0, "c2"
        elif choice == "again" and log.leader_name == NAME:
            log.term = self.highest_term
        else:
            self.highest_term += 1
            log.term, log.leader_name = self.highest_term, NAME

    def change_zone(self):
        if self.world.log.term:
            self.world.log.failures = []
            self.world.set_zone(f"c{self.rng.random()}", self.rng.random() < 0.5)

    def send_message(self):
        name = self.rng.choice(sorted(self.boots))
        if self.rng.random() < 0.05:
            self.boots[name] += 1
        if self.rng.random() < 0.1:
            self.world.log.failures = [self.rng.choice(("lost", "answer_lost", "not_accepted"))]
        boot = self.boots[name]
        self.sequence += 1
        opened = SessionOpened(name, f"b{boot}", boot * BOOT_SEQUENCES + self.sequence, 0)
        asked = PermitRequested(self.sequence, "s", 1, "acc", "default", 100, 1_000, 5)
        message = self.rng.choice(
            (opened, opened, opened, asked, asked, PermitReleased(1, "finished"))
            + (SessionClosed(name, f"b{boot}"),)
        )
        self.service.deliver(name, message)


def find_violations(service_class=PermitService):
    return {violation for seed in SEEDS for violation in Run(seed, service_class).go()}


def test_answers_only_while_leading_to_registered_routers_with_the_newest_revision():
    assert find_violations() == set()


@pytest.mark.parametrize(
    ("broken", "violation"),
    [
        (_AlwaysLeading, "answered without confirmed leadership"),
        (_SameOwnerForever, "answered without confirmed leadership"),
        (_NoRegistration, "accepted an unregistered router"),
        (_OldRevision, "accepted with an old revision"),
    ],
)
def test_checks_catch_a_missing_mechanism(broken, violation):
    assert violation in find_violations(broken)
