"""Tests of what controllers of a large fleet send over slow links."""

import random
import zlib

import msgspec
import pytest

from sassafrashook.daemons._controller import ELECTION_MIN_MS
from sassafrashook.fleet._messages import LoadReported, PartCached
from sassafrashook.fleet.tests.simulated_fleet import (
    CONTROLLERS,
    LINK_BYTES_PER_S,
    SimulatedFleet,
)
from sassafrashook.registry import Registration, RegistrationState
from sassafrashook.routes import (
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    Service,
    WeightedService,
)

UPSTREAM_COUNT = 55
# A message of the log that waits for longer than this, twice in a row, causes an election.
MAX_WAIT_S = ELECTION_MIN_MS / 1_000 / 2
# Time from the start of the processes in which all routers must know all upstreams.
START_S = 8.0
LOAD_INTERVAL_S = 0.2


def make_registration(number, sequence=1, state=RegistrationState.READY):
    return Registration(
        f"i-{number:08x}", 1_700_000_000_000, sequence, state, "advisor", "10.1.0.1",
        8_000 + number, "muscat-a", "v1", 16,
    )  # fmt: skip


class LargeFleet(SimulatedFleet):
    """Fleet whose upstreams send heartbeats and whose routers report their loads."""

    def __init__(self, monkeypatch, router_count, seed=1):
        super().__init__(monkeypatch, router_count, LINK_BYTES_PER_S)
        self.rng = random.Random(seed)
        for number in range(UPSTREAM_COUNT):
            self.schedule(self.rng.uniform(0, 1.2), self.register, make_registration(number))
        for router in self.routers:
            self.schedule(self.rng.uniform(0.5, 0.7), self.report_loads, router)

    def register(self, registration):
        controller = self.controllers[self.rng.choice(CONTROLLERS)]
        controller.registry.merge(registration, self.now)

    def report_loads(self, router):
        """Report the load of a router with two running requests and a new prompt part a second."""
        controller = self.routers[router].select_load_controller()
        if controller is not None:
            loads = {f"i-{self.rng.randrange(UPSTREAM_COUNT):08x}": 1 for _ in range(4)}
            has_part = self.rng.random() < LOAD_INTERVAL_S
            parts = [PartCached(self.rng.getrandbits(64), next(iter(loads)))] if has_part else []
            self.meshes[router].send(controller, LoadReported(loads, parts))
        self.schedule(LOAD_INTERVAL_S, self.report_loads, router)

    def count_known(self, router):
        """Return the number of usable upstreams that a router knows."""
        return len(self.routers[router].view.registry.list_usable())

    def reset_waits(self):
        for mesh in self.meshes.values():
            mesh.longest_wait_s = 0.0


@pytest.mark.parametrize("router_count", [83, 200, 300])
def test_start_of_a_large_fleet_leaves_the_links_of_controllers_to_the_log(
    monkeypatch, router_count
):
    fleet = LargeFleet(monkeypatch, router_count)
    fleet.run_until(START_S)
    for name in CONTROLLERS:
        assert fleet.meshes[name].longest_wait_s <= MAX_WAIT_S
    assert {fleet.count_known(router) for router in fleet.routers} == {UPSTREAM_COUNT}
    names = set(fleet.routers)
    assert all(set(router.view.routers_) == names for router in fleet.routers.values())


@pytest.mark.parametrize("router_count", [83, 200, 300])
def test_controllers_of_an_idle_fleet_use_less_than_half_of_their_links(monkeypatch, router_count):
    fleet = LargeFleet(monkeypatch, router_count)
    fleet.run_until(START_S + 6.0)
    for name in CONTROLLERS:
        busiest = fleet.measure_busiest_second(name, START_S)
        assert busiest <= LINK_BYTES_PER_S / 2


@pytest.mark.parametrize("router_count", [83, 200, 300])
def test_departing_upstreams_are_known_to_all_routers_within_two_seconds(monkeypatch, router_count):
    """A quarter of the upstreams drain at once; the shortest drain timeout is 2 s."""
    fleet = LargeFleet(monkeypatch, router_count)
    fleet.run_until(START_S)
    fleet.reset_waits()
    draining = UPSTREAM_COUNT // 4
    for number in range(draining):
        fleet.register(make_registration(number, 2, RegistrationState.DRAINING))
    fleet.run_until(START_S + 2.0)
    remaining = UPSTREAM_COUNT - draining
    assert {fleet.count_known(router) for router in fleet.routers} == {remaining}
    for name in CONTROLLERS:
        assert fleet.meshes[name].longest_wait_s <= MAX_WAIT_S


def test_size_of_a_keepalive_does_not_depend_on_the_number_of_routers(monkeypatch):
    sizes = []
    for router_count in (7, 300):
        fleet = LargeFleet(monkeypatch, router_count)
        fleet.run_until(START_S)
        mesh, sent = fleet.meshes["c0"], []
        mesh.send = lambda _name, message, sent=sent: sent.append(message)
        fleet.run_until(START_S + 1.5)
        updates = [message for message in sent if type(message).__name__ == "ViewChanged"]
        sizes.append(max(len(msgspec.msgpack.encode(message)) for message in updates))
    assert sizes[1] <= sizes[0] + 50


def make_configuration(version, route_count, rng):
    """Return an encoded configuration as controllers send it, with random names of routes."""
    routes = [
        Route(
            f"r-{rng.getrandbits(35):x}", "shop.example", f"/{rng.getrandbits(35):x}/",
            Repeatability.STREAM, [WeightedService("advisor", 1.0)], 10_000.0, 600.0, 400.0, 1, 0,
            False, True,
        )
        for _ in range(route_count)
    ]  # fmt: skip
    limits = ClientLimits(16_384, 4_194_304, 3_000.0, 15_000.0)
    configuration = RouteConfiguration(version, routes, [Service("advisor", 12.0)], limits, [])
    return zlib.compress(msgspec.msgpack.encode(configuration))


def test_change_of_a_large_configuration_is_held_by_all_routers_within_three_seconds(monkeypatch):
    """The shortest time that a deployment of 200 hosts allows for it is 3 s."""
    fleet, rng = LargeFleet(monkeypatch, 200), random.Random(2)
    encoded = make_configuration(7, 2_000, rng)

    def commit(version, configuration):
        for controller in fleet.controllers.values():
            controller.state.version_ = version
            controller.state.configuration_ = configuration

    fleet.run_until(START_S)
    commit(7, encoded)
    fleet.run_until(START_S + 30.0)
    assert {router.view.version for router in fleet.routers.values()} == {7}
    configuration = msgspec.msgpack.decode(zlib.decompress(encoded), type=RouteConfiguration)
    changed = msgspec.structs.replace(configuration, version=8)
    commit(8, zlib.compress(msgspec.msgpack.encode(changed)))
    fleet.run_until(START_S + 33.0)
    assert {router.view.version for router in fleet.routers.values()} == {8}
