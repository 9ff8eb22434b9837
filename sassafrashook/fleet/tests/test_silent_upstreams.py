"""Tests of controllers that stood still or were cut off while upstreams reported to others."""

import itertools
import random

import msgspec
import pytest

from sassafrashook.fleet._messages import HeartbeatsHeard
from sassafrashook.fleet.tests.simulated_fleet import CONTROLLERS, LINK_BYTES_PER_S, SimulatedFleet
from sassafrashook.fleet.tests.test_large_fleet import UPSTREAM_COUNT, make_registration
from sassafrashook.registry import RegistrationState, Registry

HEARTBEAT_S = 1.2
SILENCE_S = 3.5 * HEARTBEAT_S
START_S = 8.0
STOP_S = 4.5
MAX_WAIT_S = 0.3  # of a message for the link; two of these in a row cause an election


class HeartbeatFleet(SimulatedFleet):
    """Large fleet whose upstreams send heartbeats to controllers that answer.

    :ivar stopped: names of the controllers that do nothing; messages to them wait.
    :ivar cut_off: names of the controllers that are cut off; messages to them are lost.
    """

    def __init__(self, monkeypatch, router_count):
        self.stopped, self.cut_off, self.waiting = set(), set(), []
        super().__init__(monkeypatch, router_count, LINK_BYTES_PER_S)
        self.rng, self.sequences = random.Random(1), itertools.count(1)
        for name in CONTROLLERS:
            self.controllers[name].registry.silence_timeout_s = SILENCE_S
        for number in range(UPSTREAM_COUNT):
            self.schedule(self.rng.uniform(0, HEARTBEAT_S), self.report, number)

    def report(self, number):
        self.schedule(HEARTBEAT_S, self.report, number)
        able = sorted(set(CONTROLLERS) - self.stopped - self.cut_off)
        controller = self.controllers[self.rng.choice(able)]
        registration = make_registration(number, next(self.sequences))
        controller.registry.merge(registration, self.now)
        controller.exchange_.queue_heartbeat(registration)

    def publish(self, name):
        if name not in self.stopped:
            self.controllers[name]._update_majority(self.now)
            self.controllers[name]._expire_registrations(self.now)
            super().publish(name)
        else:
            self.schedule(0.05, self.publish, name)

    def exchange_loads(self, name):
        if name not in self.stopped:
            super().exchange_loads(name)
        else:
            self.schedule(0.2, self.exchange_loads, name)

    def deliver(self, sender, receiver, message):
        if sender in self.cut_off or receiver in self.cut_off:
            return
        if receiver in self.stopped:
            self.waiting.append((sender, receiver, message))
        else:
            super().deliver(sender, receiver, message)

    def resume(self):
        """Let all controllers go on; they read requests for updates before heartbeats."""
        self.stopped, self.cut_off = set(), set()
        for arguments in self.waiting:
            delay_s = 0.4 if isinstance(arguments[-1], HeartbeatsHeard) else 0.06
            self.schedule(delay_s, self.deliver, *arguments)
        self.waiting = []

    def count_silent(self):
        return sum(
            registration.state is RegistrationState.SILENT
            for controller in self.controllers.values()
            for registration in controller.registry.registrations_.values()
        )


@pytest.mark.parametrize("kind", ["stopped", "cut_off"])
def test_controller_that_did_not_listen_marks_upstreams_as_silent(monkeypatch, kind):
    """Marks of all upstreams, and their withdrawal, fill the links of all controllers."""
    fleet = HeartbeatFleet(monkeypatch, 195)
    fleet.run_until(START_S)
    setattr(fleet, kind, {"c0"})
    fleet.run_until(START_S + STOP_S)
    for mesh in fleet.meshes.values():
        mesh.longest_wait_s = 0.0
    fleet.resume()
    for _ in range(30):
        fleet.run_until(fleet.now + 0.1)
        assert fleet.count_silent() == 0
    assert max(fleet.meshes[name].longest_wait_s for name in CONTROLLERS) < MAX_WAIT_S


def test_silent_upstream_is_not_marked_after_a_stop():
    registry = Registry(SILENCE_S)
    registry.merge(make_registration(1), 0.0)
    ready = make_registration(2)
    registry.merge(ready, 0.0)
    assert registry.update_liveness(5.0, listening_since=5.0) == []
    registry.merge(msgspec.structs.replace(ready, sequence=2), 6.0)
    assert registry.update_liveness(5.0 + SILENCE_S, listening_since=5.0) == ["i-00000001"]
