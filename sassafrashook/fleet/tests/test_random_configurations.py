"""Seeded runs of configurations that change while nodes lag, stand still and are cut off.

The environment variables ``SEED`` and ``SOAK`` set the first seed and the number of runs.
"""

import os
import random

import msgspec
import pytest
from returns.result import Failure, Success

from sassafrashook.fleet._configurations import pack
from sassafrashook.fleet._freshness import DEFAULT_APPLY_S
from sassafrashook.fleet.tests.simulated_fleet import CLOCK_OFFSET_S, CONTROLLERS, SimulatedFleet
from sassafrashook.interfaces import ProposalError, ProposalErrorReason
from sassafrashook.routes import (
    Account,
    ClientLimits,
    Repeatability,
    Route,
    RouteConfiguration,
    RouteTable,
    Service,
    WeightedService,
)

FIRST_SEED = int(os.environ.get("SEED", "0"))
RUNS = int(os.environ.get("SOAK", "6"))
DURATION_S = 25.0
CALM_S = 6.0  # without disturbances, at the end
CHECK_INTERVAL_S = 0.1
PATHS = [f"/p{number}/1" for number in range(12)]
KEYS = [f"key{number}" for number in range(4)]
HOST = "shop.example"


class ChangingFleet(SimulatedFleet):
    """Fleet whose configuration changes at random, with disturbances.

    A version is acknowledged once three controllers have it; the others have it up to 4 s later.

    :ivar acknowledged: (time, configuration) of each acknowledged version, in order.
    :ivar wrong: descriptions of what a router may do and must not.
    """

    def __init__(self, monkeypatch, seed):
        self.rng = random.Random(seed)
        self.acknowledged = []
        self.wrong = []
        self.answered = 0
        self.suspended_until = {}
        self.delays_until = {}
        self.cut = set()
        super().__init__(monkeypatch, 5)
        for name in CONTROLLERS:
            self.controllers[name].replica.confirm_read = self.make_read(name)
        self.commit(1)
        self.schedule(0.5, self.change)
        self.schedule(1.0, self.disturb)
        self.schedule(2.0, self.check)

    def make_read(self, name):
        def confirm_read(_deadline):
            newest = self.acknowledged[-1][1].version if self.acknowledged else 0
            is_able = self.controllers[name].state.version_ >= newest and not self.is_disturbed(
                name
            )
            return Success(1) if is_able else Failure(ProposalError(ProposalErrorReason.UNKNOWN))

        return confirm_read

    def is_disturbed(self, name):
        return name in self.cut or self.now < self.suspended_until.get(name, 0.0)

    def make_configuration(self, version):
        routes = [
            Route(
                f"r{path}", HOST, path[:-1], Repeatability.IDEMPOTENT,
                [WeightedService(self.rng.choice("ab"), 1.0)], 1_000.0, 100.0, 0.0, 1, 0, False,
                False,
            )
            for path in PATHS
            if self.rng.random() < 0.8
        ]  # fmt: skip
        keys = self.rng.sample(KEYS, 3)
        return RouteConfiguration(
            version, routes, [Service("a", 0.0), Service("b", 0.0)],
            ClientLimits(16_384, 1_000, 3_000, 15_000),
            [Account("x", keys[:2]), Account("y", keys[2:])],
        )  # fmt: skip

    def commit(self, version):
        configuration = self.make_configuration(version)
        packed = pack(configuration)
        early = self.rng.sample(CONTROLLERS, 3)
        for name in CONTROLLERS:
            delay_s = 0.0 if name in early else self.rng.uniform(0.0, 4.0)
            self.schedule(delay_s, self.apply, name, version, packed)
        self.schedule(0.001, self.acknowledged.append, (self.now + 0.001, configuration))

    def apply(self, name, version, packed):
        state = self.controllers[name].state
        if version > state.version_:
            state.version_, state.configuration_ = version, packed

    def change(self):
        if self.now < DURATION_S - CALM_S:
            self.commit(self.acknowledged[-1][1].version + self.rng.choice((1, 3)))
            self.schedule(self.rng.choice((0.3, 1.0, 4.0)), self.change)

    def disturb(self):
        if self.now >= DURATION_S - CALM_S:
            return
        duration_s = self.rng.uniform(0.5, 4.0)
        nodes = [*CONTROLLERS, *self.routers]
        name, kind = self.rng.choice(nodes), self.rng.choice(("suspend", "delay", "cut"))
        if kind == "suspend":
            self.suspended_until[name] = self.now + duration_s
        elif kind == "delay":
            self.delays_until[name] = self.now + duration_s
        else:
            self.cut.add(name)
            self.schedule(duration_s, self.cut.discard, name)
        self.schedule(self.rng.uniform(0.1, 1.5), self.disturb)

    def deliver(self, sender, receiver, message):
        """Deliver a message, later if a node stands still or its link is slow."""
        if sender in self.cut or receiver in self.cut:
            return
        until = self.suspended_until.get(receiver, 0.0)
        if self.now < until:
            self.schedule(until - self.now, self.deliver, sender, receiver, message)
        elif self.now < self.delays_until.get(sender, 0.0) and self.rng.random() < 0.3:
            delay_s = self.rng.uniform(0.0, 4.0)
            self.schedule(delay_s, super().deliver, sender, receiver, message)
        else:
            super().deliver(sender, receiver, message)

    def publish(self, name):
        if self.now < self.suspended_until.get(name, 0.0):
            self.schedule(0.05, self.publish, name)
        else:
            super().publish(name)

    def check(self):
        self.schedule(CHECK_INTERVAL_S, self.check)
        due = [c for at, c in self.acknowledged if self.now >= at + DEFAULT_APPLY_S]
        for name, router in self.routers.items():
            if due and not self.is_disturbed(name) and router.view.table_ is not None:
                self.check_router(name, router.view, due)

    def check_router(self, name, view, due):
        now, newest = CLOCK_OFFSET_S + self.now, due[-1]
        if view.version >= newest.version:
            self.answered += not view.may_be_outdated(now)
            return
        if not view.may_be_outdated(now):
            self.wrong.append(f"{self.now:.2f} {name} rejects for good by {view.version}")
        required = [c for c in due if c.version <= view.age_.newest_version_]
        if required and required[-1].version > view.version:
            allowed = [c for _, c in self.acknowledged if c.version >= required[-1].version]
            self.check_served(name, view, [RouteTable(c) for c in allowed], now)

    def check_served(self, name, view, tables, now):
        for path in PATHS:
            for key in KEYS:
                old = find_target(view.table_, path, key)
                is_refused = view.is_superseded(HOST, path, key, now)
                is_allowed = old in [None, *(find_target(table, path, key) for table in tables)]
                if not (is_allowed or is_refused):
                    self.wrong.append(f"{self.now:.2f} {name} serves {path} by {view.version}")


def find_target(table, path, key):
    route, account = table.match(HOST, path), table.find_account(key)
    return None if route is None or account is None else (route, account.name)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_router_acts_on_a_version_after_its_successor_has_to_be_in_force(monkeypatch, seed):
    fleet = ChangingFleet(monkeypatch, seed)
    fleet.run_until(DURATION_S)
    assert fleet.wrong == []
    assert fleet.answered > 0
    newest = fleet.acknowledged[-1][1]
    for router in fleet.routers.values():
        assert router.view.version == newest.version
        assert not router.view.may_be_outdated(CLOCK_OFFSET_S + fleet.now)
        held = {r.path_prefix: r for r in router.view.table_.configuration.routes}
        assert held == {r.path_prefix: r for r in newest.routes}
        assert msgspec.structs.replace(router.view.table_.configuration, routes=[]) == (
            msgspec.structs.replace(newest, routes=[])
        )
