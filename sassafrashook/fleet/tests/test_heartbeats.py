"""Tests of what routers learn of the heartbeats of upstreams that they doubt."""

import random
from types import SimpleNamespace

import pytest

from sassafrashook.fleet import FLEET_MESSAGES, HeartbeatRequester
from sassafrashook.fleet import _heartbeats as heartbeats
from sassafrashook.fleet._heartbeats import HeartbeatLog
from sassafrashook.fleet._messages import HeartbeatsKnown, HeartbeatsRequested
from sassafrashook.placement import Placement, SharedRateLimiter
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.transport import Codec


class Fleet:
    """One router and two controllers, whose messages arrive at once.

    :ivar sent: list of (recipient, message).
    """

    def __init__(self, monkeypatch, upstreams=1):
        self.now = 100.0
        clock = SimpleNamespace(monotonic=lambda: self.now)
        monkeypatch.setattr(heartbeats, "time", clock)
        self.sent = []
        self.codec = Codec(FLEET_MESSAGES)
        self.logs = {name: HeartbeatLog(self) for name in ("c1", "c2")}
        limiters = [SharedRateLimiter("r1", 1.5, 5) for _ in range(2)]
        self.placement = Placement(*limiters, random.Random(1))
        self.registrations = [self.make_registration(f"u{n}") for n in range(upstreams)]
        cold_until = {r.upstream_id: 0.0 for r in self.registrations}
        self.placement.set_registrations(self.registrations, cold_until, self.now)
        subscriber = SimpleNamespace(list_connected=lambda: sorted(self.logs))
        self.requester = HeartbeatRequester(self, subscriber, self.placement)

    def make_registration(self, name, boot=1, sequence=1):
        host = f"10.0.0.{int(name[1:]) + 1}"
        return Registration(
            name, boot, sequence, RegistrationState.READY, "advisor", host, 80, "z", "v1", 8
        )

    def send(self, name, message):
        message = self.codec.decode(self.codec.encode(message))
        self.sent.append((name, message))
        if isinstance(message, HeartbeatsRequested):
            self.logs[name].deliver("r1", message)
        else:
            self.requester.deliver(name, message)

    def fail_connections(self):
        for state in self.placement.upstreams_.values():
            self.placement.record_connect_failure(state, self.now, self.now, False)
            self.placement.record_probe(state, True, self.now, self.now)

    def ask(self, routers=1):
        self.now += 0.2
        self.requester.ask(routers, self.now)


def test_version_is_certain_again_with_the_next_heartbeat_of_the_boot(monkeypatch):
    """Guards against an upstream that is no longer used for resumed streams after one failure."""
    fleet = Fleet(monkeypatch)
    (state,) = fleet.placement.upstreams_.values()
    fleet.logs["c2"].record(fleet.registrations[0], fleet.now - 0.1)
    fleet.fail_connections()
    fleet.ask()
    assert not state.has_certain_version()
    fleet.logs["c2"].record(fleet.make_registration("u0", sequence=2), fleet.now + 0.1)
    for _ in range(3):
        fleet.ask()
    assert state.has_certain_version()
    assert not state.may_have_restarted_


@pytest.mark.parametrize("boot", [0, 2])
def test_heartbeat_of_another_boot_does_not_make_the_version_certain(monkeypatch, boot):
    fleet = Fleet(monkeypatch)
    (state,) = fleet.placement.upstreams_.values()
    fleet.fail_connections()
    fleet.logs["c1"].record(fleet.make_registration("u0", boot, 9), fleet.now + 0.1)
    for _ in range(5):
        fleet.ask()
    assert not state.has_certain_version()


def test_repeated_heartbeat_is_not_a_new_one(monkeypatch):
    """Guards against an old heartbeat that arrives a second time after the upstream's crash."""
    fleet = Fleet(monkeypatch)
    (state,) = fleet.placement.upstreams_.values()
    fleet.logs["c1"].record(fleet.make_registration("u0", sequence=7), fleet.now - 0.1)
    fleet.fail_connections()
    fleet.logs["c1"].record(fleet.make_registration("u0", sequence=7), fleet.now + 0.1)
    fleet.logs["c1"].record(fleet.make_registration("u0", sequence=6), fleet.now + 0.1)
    for _ in range(5):
        fleet.ask()
    assert not state.has_certain_version()


def test_nothing_is_asked_without_doubt(monkeypatch):
    fleet = Fleet(monkeypatch)
    for _ in range(50):
        fleet.ask()
    assert fleet.sent == []


@pytest.mark.parametrize("routers", [30, 100, 300, 1_000])
def test_bytes_of_answers_are_bounded_while_all_routers_doubt_all_upstreams(monkeypatch, routers):
    """Guards against answers that fill the link of a controller, which the log shares."""
    fleet = Fleet(monkeypatch, upstreams=70)
    for registration in fleet.registrations:
        fleet.logs["c1"].record(registration, fleet.now - 1.0)
    fleet.fail_connections()
    for _ in range(20):
        fleet.ask(routers)
    answers = [fleet.codec.encode(m) for _, m in fleet.sent if isinstance(m, HeartbeatsKnown)]
    bytes_per_s = routers * sum(map(len, answers)) / (20 * 0.2)
    assert answers
    assert bytes_per_s < 0.15 * 750_000
