"""Tests of how a router knows the age of its configuration, in simulated time."""

import pytest
from returns.result import Failure, Success

from sassafrashook.fleet.tests.simulated_fleet import CLOCK_OFFSET_S, CONTROLLERS, SimulatedFleet
from sassafrashook.fleet.tests.test_large_fleet import make_configuration
from sassafrashook.interfaces import ProposalError, ProposalErrorReason

START_S = 5.0
# The shortest time that a deployment allows until an acknowledged version is in force.
APPLY_S = 2.0


class ChangedFleet(SimulatedFleet):
    """Fleet with one router, in which a new version is committed at ``START_S``.

    :param lagging: names of the controllers whose logs do not receive it.
    """

    def __init__(self, monkeypatch, rng, lagging=()):
        super().__init__(monkeypatch, 1)
        self.unreachable = set()
        self.view = self.routers["r0"].view
        self.configurations = {v: make_configuration(v, 5, rng) for v in (7, 8)}
        self.commit(7, CONTROLLERS)
        for name in CONTROLLERS:
            self.controllers[name].replica.confirm_read = self.make_read(name, lagging)
        self.schedule(START_S, self.commit, 8, sorted(set(CONTROLLERS) - set(lagging)))

    def make_read(self, name, lagging):
        def confirm_read(_deadline):
            if name in lagging and self.now >= START_S:
                return Failure(ProposalError(ProposalErrorReason.NOT_LEADER))
            return Success(1)

        return confirm_read

    def deliver(self, sender, receiver, message):
        if not self.unreachable.intersection((sender, receiver)) or "r0" not in (sender, receiver):
            super().deliver(sender, receiver, message)

    def commit(self, version, names):
        for name in names:
            self.controllers[name].state.version_ = version
            self.controllers[name].state.configuration_ = self.configurations[version]


def test_final_rejection_by_a_controller_whose_log_lags_behind_a_change(monkeypatch, rng):
    """The router hears only that controller, which is connected to all others."""
    fleet = ChangedFleet(monkeypatch, rng, lagging=["c0"])
    fleet.unreachable = set(CONTROLLERS) - {"c0"}
    fleet.run_until(START_S)
    assert not fleet.view.may_be_outdated(CLOCK_OFFSET_S + fleet.now)
    fleet.run_until(START_S + APPLY_S)
    assert fleet.view.version == 7
    assert fleet.view.may_be_outdated(CLOCK_OFFSET_S + fleet.now)


@pytest.mark.parametrize("delay_s", [APPLY_S + 0.5, 3 * APPLY_S])
def test_final_rejection_by_an_update_that_waited_in_a_link(monkeypatch, rng, delay_s):
    """Updates that were sent before the change arrive after it has to be in force."""
    fleet = ChangedFleet(monkeypatch, rng)
    fleet.run_until(START_S - 1.0)

    def delay_messages(mesh):
        def send(receiver, message):
            fleet.schedule(delay_s, fleet.deliver, mesh.name, receiver, message)

        monkeypatch.setattr(mesh, "send", send)

    for name in CONTROLLERS:
        delay_messages(fleet.meshes[name])
    fleet.run_until(START_S + delay_s)
    assert fleet.view.version == 7
    assert fleet.view.may_be_outdated(CLOCK_OFFSET_S + fleet.now)


@pytest.mark.parametrize("lagging", [[], ["c0", "c1"]], ids=["all", "a majority"])
def test_unknown_route_is_rejected_for_good_while_a_controller_is_up_to_date(
    monkeypatch, rng, lagging
):
    """The age must not exceed its bound in a calm fleet, or unknown routes are never final."""
    fleet = ChangedFleet(monkeypatch, rng, lagging)
    for _ in range(40):
        fleet.run_until(fleet.now + 0.1)
        is_settled = fleet.now > 1.5 and not START_S <= fleet.now < START_S + 1.5
        assert not (is_settled and fleet.view.may_be_outdated(CLOCK_OFFSET_S + fleet.now))
    fleet.run_until(START_S + APPLY_S)
    assert fleet.view.version == 8
