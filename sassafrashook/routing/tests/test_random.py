"""Randomised runs of ledger, clients and fake engines, two kinds of fault at once."""

import os

import pytest

from sassafrashook.routing import _assignment, _poison, _upstream, _upstreams
from sassafrashook.routing._warmup import WarmUp
from sassafrashook.routing.tests.fleet import Faults, Fleet

SEED = int(os.environ.get("SEED", "1"))
RUNS = int(os.environ.get("SOAK", "40"))
FAULTY_ONCE = (2038, 2064, 2140, 2221, 2235, 2269, 2276, 2290, 4168, 4243, 4357, 4528, 4726)
FAULTY_ONCE += (5310, 5328, 5659, 5886, 6398)


def disturb(fleet, rng, owner_loss):
    """Do one thing that goes wrong in a fleet."""
    engines = list(fleet.engines.values())
    zone = rng.choice("abc")
    kind = rng.randrange(8)
    if kind == 0:
        engine = rng.choice(engines)
        fleet.crash(engine, engine.boot)
    elif kind == 1:
        back = next(iter(fleet.drained), None)
        fleet.move_zone(back or zone, out=back is None)
    elif kind == 2 and owner_loss and fleet.ledger is not None:
        fleet.lose_owner(rng.uniform(0.2, 2.5))
    elif kind == 3:
        fleet.restart_router(rng.choice(list(fleet.boots)))
    elif kind == 4:
        rng.choice(engines).leaving_since = fleet.now
    elif kind == 5:
        fingerprint = 10_000_000 + rng.randrange(1_000)
        fleet.poison.add(fingerprint)
        for delay in (0, 0.5, 1, 2, 4, 8):
            fleet.at(delay, fleet.call, fingerprint)
    else:
        for _ in range(60):
            fleet.call(account="surge")


def run_fleet(seed, seconds=25.0, owner_loss=True, **options):
    """Run a fleet under load and faults, then let it come to rest.

    :param owner_loss: whether the owner may be lost.
    """
    fleet = Fleet(seed, **options)
    rng = fleet.rng
    if "faults" not in options:
        kinds = rng.sample(["lost", "late", "duplicated", "paused"], 2)
        fleet.faults = Faults(**dict.fromkeys(kinds, 0.03))
    fleet.run(1.0)
    end = fleet.now + seconds
    next_fault = fleet.now + 1.0
    while fleet.now < end:
        fleet.call(work_class=rng.choice(["counter", "default", "plan"]))
        fleet.run(rng.expovariate(rng.choice([10, 30])))
        if fleet.now >= next_fault:
            next_fault += rng.uniform(1.0, 5.0)
            disturb(fleet, rng, owner_loss)
            disturb(fleet, rng, owner_loss)
    fleet.faults = Faults()
    fleet.run(4.0)
    for zone in list(fleet.drained):
        fleet.move_zone(zone, out=False)
    fleet.run(16.0)
    fleet.check_end()
    return fleet


@pytest.mark.parametrize("seed", [*range(SEED * 1_000, SEED * 1_000 + RUNS), *FAULTY_ONCE])
def test_promises_hold(seed):
    fleet = run_fleet(seed)
    assert not fleet.violations, f"seed {seed}: {fleet.violations[:5]}"
    assert fleet.answers["whole"] > 100


def run_poison(seed):
    """Run with duplicates and pauses only: every crash is reported, to an owner that lasts."""
    faults = Faults(duplicated=0.03, paused=0.03)
    fleet = run_fleet(seed, owner_loss=False, faults=faults)
    assert not fleet.was_blind
    return fleet


@pytest.mark.parametrize("seed", range(SEED * 2_000, SEED * 2_000 + RUNS // 2))
def test_no_request_costs_more_than_two_engines(seed):
    fleet = run_poison(seed)
    assert not fleet.violations, f"seed {seed}: {fleet.violations[:5]}"


def test_without_suspicion_requests_cost_more_engines(monkeypatch):
    monkeypatch.setattr(_poison.SuspectTable, "note_crash", lambda *_: [])
    worst = [max(run_poison(seed).losses.values(), default=0) for seed in range(2_000, 2_008)]
    assert max(worst) > 2


def switch_off_bound(monkeypatch):
    return {"config_bound": 10.0}


def switch_off_warm_up(monkeypatch):
    def make_warm(capacity, cold_capacity):
        return WarmUp(capacity, capacity)

    monkeypatch.setattr(_upstream, "WarmUp", make_warm)
    return {}


def switch_off_zones(monkeypatch):
    monkeypatch.setattr(_upstreams.UpstreamTable, "set_zones", lambda table, zones: None)
    monkeypatch.setattr(_assignment, "check_grant", lambda *_: None)
    return {}


def switch_off_leaving(monkeypatch):
    def takes_new_work(upstream):
        return not upstream.drained_ and not upstream.gone_

    monkeypatch.setattr(_upstream.UpstreamState, "takes_new_work", takes_new_work)
    monkeypatch.setattr(_assignment, "check_grant", lambda *_: None)
    return {}


def switch_off_running_deadlines(monkeypatch):
    monkeypatch.setattr(_assignment, "RUNNING_MARGIN_S", 1e6)
    return {}


@pytest.mark.parametrize(
    ("switch_off", "word"),
    [
        (switch_off_bound, "bound"),
        (switch_off_warm_up, "cold"),
        (switch_off_zones, "zone"),
        (switch_off_leaving, "leaving"),
        (switch_off_running_deadlines, "leaked"),
    ],
)
def test_check_fails_with_its_mechanism_off(monkeypatch, switch_off, word):
    options = switch_off(monkeypatch)
    violations = [run_fleet(seed, **options).violations for seed in range(1_000, 1_006)]
    assert any(word in violation for run in violations for violation in run)
