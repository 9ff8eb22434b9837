"""Tests of upstreams of a new software version while controllers are cut off from each other."""

import pytest

from sassafrashook.fleet.tests.simulated_fleet import CONTROLLERS, SimulatedFleet
from sassafrashook.registry import Registration, RegistrationState

START_S = 3.0
CUT_S = 4.0


def make_registration(name, version):
    return Registration(
        name, 1_700_000_000_000, 1, RegistrationState.READY, "advisor", "10.1.0.1", 8_000, "z",
        version, 16,
    )  # fmt: skip


class ReleasingFleet(SimulatedFleet):
    """Fleet whose upstreams run the version v1 until one of v2 registers at a controller."""

    def __init__(self, monkeypatch):
        super().__init__(monkeypatch, 4)
        self.isolated = set()
        for name in CONTROLLERS:
            self.controllers[name].registry.merge(make_registration("u1", "v1"), 0.0)
        self.run_until(START_S)

    def deliver(self, sender, receiver, message):
        is_cut = (sender in self.isolated) != (receiver in self.isolated)
        if not (is_cut and sender in CONTROLLERS and receiver in CONTROLLERS):
            super().deliver(sender, receiver, message)

    def list_routers_with(self, upstream):
        return [
            name
            for name, router in self.routers.items()
            if upstream in router.view.registry.registrations_
        ]

    def count_controllers_with(self, version):
        return sum(
            version in controller.registry.list_software_versions("advisor", self.now)
            for controller in self.controllers.values()
        )


@pytest.mark.parametrize("isolated", [["c0"], ["c0", "c1"]], ids=len)
def test_stream_begins_at_a_version_that_a_majority_of_the_controllers_does_not_know(
    monkeypatch, isolated
):
    """A router that asks the majority would take the older version for the only one."""
    fleet = ReleasingFleet(monkeypatch)
    fleet.isolated = set(isolated)
    fleet.controllers["c0"].registry.merge(make_registration("u2", "v2"), fleet.now)
    for _ in range(40):
        fleet.run_until(fleet.now + CUT_S / 40)
        assert fleet.count_controllers_with("v2") >= 3 or not fleet.list_routers_with("u2")
    fleet.isolated = set()
    fleet.run_until(fleet.now + 1.5)
    assert len(fleet.list_routers_with("u2")) == 4


def test_upstream_of_a_new_version_gets_no_requests_for_long(monkeypatch):
    fleet = ReleasingFleet(monkeypatch)
    fleet.controllers["c0"].registry.merge(make_registration("u2", "v2"), fleet.now)
    fleet.run_until(START_S + 0.3)
    assert len(fleet.list_routers_with("u2")) == 4


def test_upstream_of_a_known_version_waits_for_the_other_controllers(monkeypatch):
    fleet = ReleasingFleet(monkeypatch)
    fleet.isolated = {"c0", "c1"}
    fleet.controllers["c0"].registry.merge(make_registration("u3", "v1"), fleet.now)
    fleet.run_until(START_S + 0.3)
    assert len(fleet.list_routers_with("u3")) == 4
