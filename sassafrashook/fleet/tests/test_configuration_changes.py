"""Tests of how soon a change of the configuration is in force at the routers of a large fleet."""

import random

import msgspec
import pytest

from sassafrashook.fleet._configurations import ConfigurationHistory, pack, unpack
from sassafrashook.fleet._messages import ViewChanged, ViewRequested
from sassafrashook.fleet.tests.simulated_fleet import CONTROLLERS
from sassafrashook.fleet.tests.test_large_fleet import START_S, LargeFleet, make_configuration
from sassafrashook.routes import RouteConfiguration

ROUTES = 760
APPLY_S = 3.0  # the time that the deployment of 195 routers allows


def add_routes(packed, version, count, rng):
    """Return a packed configuration with a number of further routes."""
    previous = unpack(packed, RouteConfiguration)
    added = unpack(make_configuration(version, count, rng), RouteConfiguration).routes
    routes = [*previous.routes, *added]
    return pack(msgspec.structs.replace(previous, version=version, routes=routes))


class ConfiguredFleet(LargeFleet):
    """Large fleet whose routers all hold version 7.

    :ivar silent: names of controllers that send and receive nothing.
    """

    def __init__(self, monkeypatch, router_count, rng):
        self.silent = set()
        super().__init__(monkeypatch, router_count)
        self.packed = make_configuration(7, ROUTES, rng)
        self.commit(7)
        self.run_until(START_S)

    def deliver(self, sender, receiver, message):
        if not self.silent.intersection((sender, receiver)):
            super().deliver(sender, receiver, message)

    def commit(self, version):
        for name in set(CONTROLLERS) - self.silent:
            state = self.controllers[name].state
            state.version_, state.configuration_ = version, self.packed

    def change(self, version, count, rng):
        self.packed = add_routes(self.packed, version, count, rng)
        self.commit(version)

    def list_versions(self):
        return {router.view.version for router in self.routers.values()}

    def sum_sent(self, since):
        return sum(
            size
            for name in CONTROLLERS
            for at, size, kind in self.meshes[name].sent
            if at >= since and kind is ViewChanged
        )


@pytest.mark.parametrize(
    ("router_count", "silent"), [(195, []), (195, ["c1", "c3"]), (300, [])], ids=str
)
def test_large_change_is_not_in_force_in_time(monkeypatch, rng, router_count, silent):
    """Some controllers may stop as the change is committed."""
    fleet = ConfiguredFleet(monkeypatch, router_count, rng)
    assert fleet.list_versions() == {7}
    fleet.silent = set(silent)
    fleet.change(8, 880, rng)
    fleet.run_until(START_S + APPLY_S)
    assert fleet.list_versions() == {8}


def test_small_change_of_a_large_configuration_takes_the_link_of_a_whole_document(monkeypatch, rng):
    fleet = ConfiguredFleet(monkeypatch, 195, rng)
    since = fleet.now
    fleet.change(8, 3, rng)
    fleet.run_until(START_S + 0.5)
    assert fleet.list_versions() == {8}
    assert fleet.sum_sent(since) < 195 * len(fleet.packed) / 4


def test_changes_in_quick_succession_leave_routers_behind(monkeypatch, rng):
    """A change every 0.33 s for 4 s; each version is in force in time."""
    fleet = ConfiguredFleet(monkeypatch, 195, rng)
    committed = {}
    for version in range(8, 20):
        fleet.change(version, 5, rng)
        committed[version] = fleet.now
        fleet.run_until(fleet.now + 0.33)
        overdue = [v for v, at in committed.items() if fleet.now >= at + 0.66]
        assert min(fleet.list_versions()) >= max(overdue, default=7)


def test_router_of_an_older_build_is_sent_changes(monkeypatch, rng):
    fleet = ConfiguredFleet(monkeypatch, 3, rng)
    mesh = fleet.meshes["r0"]
    send = mesh.send

    def send_as_older_build(name, message):
        if isinstance(message, ViewRequested):
            message = msgspec.structs.replace(message, reads_changes=False)
        send(name, message)

    monkeypatch.setattr(mesh, "send", send_as_older_build)
    fleet.run_until(START_S + 2.0)
    fleet.change(8, 3, rng)
    since = fleet.now
    fleet.run_until(START_S + 4.0)
    assert fleet.list_versions() == {8}
    assert fleet.sum_sent(since) > len(fleet.packed)


def test_large_change_that_waits_for_the_link_is_not_named_to_the_routers(monkeypatch, rng):
    """A router knows at once what it must not serve any more, and is sent the change later."""
    fleet = ConfiguredFleet(monkeypatch, 195, rng)
    routes = unpack(fleet.packed, RouteConfiguration).routes
    dropped = [(route.host, route.path_prefix) for route in routes[:20]]
    fleet.packed = add_routes(fleet.packed, 8, 3_000, rng)
    configuration = unpack(fleet.packed, RouteConfiguration)
    fleet.packed = pack(msgspec.structs.replace(configuration, routes=configuration.routes[20:]))
    fleet.commit(8)
    fleet.run_until(START_S + 1.0)
    waiting = [r.view for r in fleet.routers.values() if r.view.version == 7]
    assert len(waiting) > 50
    for view in waiting:
        overdue_at = view.age_.confirmed_at_ + view.age_.apply_s
        refused = [
            view.is_superseded(host, prefix + "1", "", overdue_at) for host, prefix in dropped
        ]
        kept = routes[30]
        assert all(refused)
        assert not view.is_superseded(kept.host, kept.path_prefix + "1", "", overdue_at)


def test_history_forgets_nothing_that_a_router_needs():
    """Steps that are not kept any more lead to the whole document."""
    history, rng = ConfigurationHistory(), random.Random(3)
    packed = make_configuration(1, 50, rng)
    history.update(1, packed)
    for version in range(2, 50):
        packed = add_routes(packed, version, 2, rng)
        history.update(version, packed)
    assert history.encode_changes(1) is None
    assert history.list_superseded(1) is None
    assert history.encode_changes(48) is not None
    assert history.list_superseded(48) == []
