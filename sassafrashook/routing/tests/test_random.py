"""Randomized tests of ledger, clients and fake engines under two kinds of fault at once.

The environment variables ``SEED`` and ``SOAK`` set the base and the number of the seeds:
``SEED`` * 1,000, and ``SEED`` * 2,000 for half as many, are the first seeds.
"""

import os

import pytest

from sassafrashook.routing import _assignment, _poison, _upstream, _upstreams
from sassafrashook.routing._warmup import WarmUp
from sassafrashook.routing.tests.fleet import Faults, Fleet

SEED = int(os.environ.get("SEED", "1"))
RUNS = int(os.environ.get("SOAK", "40"))
# Seeds that exposed a bug in an earlier version.
REGRESSION_SEEDS = (2038, 2064, 2140, 2221, 2235, 2269, 2276, 2290, 4168, 4243, 4357, 4528, 4726)
REGRESSION_SEEDS += (5310, 5328, 5659, 5886, 6398, 8213)


def inject_fault(fleet, rng, owner_loss):
    """Inject one random fault or load peak into a fleet.

    :param owner_loss: whether the owner may be lost.
    """
    engines = list(fleet.engines.values())
    zone = rng.choice("abc")
    fault = rng.randrange(8)
    if fault == 0:
        engine = rng.choice(engines)
        fleet.crash(engine, engine.boot)
    elif fault == 1:
        drained_zone = next(iter(fleet.drained), None)
        fleet.set_zone_drained(drained_zone or zone, is_drained=drained_zone is None)
    elif fault == 2 and owner_loss and fleet.ledger is not None:
        fleet.stop_owner(rng.uniform(0.2, 2.5))
    elif fault == 3:
        fleet.restart_router(rng.choice(list(fleet.boots)))
    elif fault == 4:
        fleet.leave(rng.choice(engines))
    elif fault == 5:
        fingerprint = 10_000_000 + rng.randrange(1_000)
        fleet.poison_fingerprints.add(fingerprint)
        for delay in (0, 0.5, 1, 2, 4, 8):
            fleet.schedule(delay, fleet.send_request, fingerprint)
    else:
        for _ in range(60):
            fleet.send_request(account="surge")


def run_fleet(seed, seconds=25.0, owner_loss=True, **options):
    """Run a fleet under load and faults, then without either until it is idle.

    :param seconds: length of the part with load and faults.
    :param owner_loss: whether the owner may be lost.
    :param options: further parameters of :class:`Fleet`.
    """
    fleet = Fleet(seed, **options)
    rng = fleet.rng
    if "faults" not in options:
        fault_kinds = rng.sample(["lost", "late", "duplicated", "paused"], 2)
        fleet.faults = Faults(**dict.fromkeys(fault_kinds, 0.03))
    fleet.run(1.0)
    end = fleet.now + seconds
    next_fault = fleet.now + 1.0
    while fleet.now < end:
        fleet.send_request(work_class=rng.choice(["counter", "default", "plan"]))
        fleet.run(rng.expovariate(rng.choice([10, 30])))
        if fleet.now >= next_fault:
            next_fault += rng.uniform(1.0, 5.0)
            inject_fault(fleet, rng, owner_loss)
            inject_fault(fleet, rng, owner_loss)
    fleet.faults = Faults()
    fleet.run(4.0)
    for zone in list(fleet.drained):
        fleet.set_zone_drained(zone, is_drained=False)
    fleet.run(16.0)
    fleet.check_end()
    return fleet


@pytest.mark.parametrize("seed", [*range(SEED * 1_000, SEED * 1_000 + RUNS), *REGRESSION_SEEDS])
def test_invariants_hold_under_random_faults(seed):
    fleet = run_fleet(seed)
    assert not fleet.violations, f"seed {seed}: {fleet.violations[:5]}"
    assert fleet.answers["complete"] > 100


def run_with_crashing_requests(seed):
    """Run with duplicated messages and paused routers only.

    No message is lost and the owner is not replaced, so every crash is reported to the same owner.
    """
    faults = Faults(duplicated=0.03, paused=0.03)
    fleet = run_fleet(seed, owner_loss=False, faults=faults)
    assert not fleet.may_have_missed_reports
    return fleet


@pytest.mark.parametrize("seed", range(SEED * 2_000, SEED * 2_000 + RUNS // 2))
def test_no_request_crashes_more_than_two_engines(seed):
    fleet = run_with_crashing_requests(seed)
    assert not fleet.violations, f"seed {seed}: {fleet.violations[:5]}"


def test_requests_crash_more_engines_without_suspect_tracking(monkeypatch):
    monkeypatch.setattr(_poison.SuspectTable, "record_crash", lambda *_: [])
    max_crash_counts = [
        max(run_with_crashing_requests(seed).crashes_by_fingerprint.values(), default=0)
        for seed in range(2_000, 2_008)
    ]
    assert max(max_crash_counts) > 2


def disable_load_bound(monkeypatch):
    return {"config_bound": 10.0}


def disable_warm_up(monkeypatch):
    def make_warm_limit(capacity, cold_capacity):
        return WarmUp(capacity, capacity)

    monkeypatch.setattr(_upstream, "WarmUp", make_warm_limit)
    return {}


def disable_zone_draining(monkeypatch):
    monkeypatch.setattr(_upstreams.UpstreamTable, "set_drained_zones", lambda table, zones: None)
    monkeypatch.setattr(_assignment, "check_grant", lambda *_: None)
    return {}


def disable_leaving(monkeypatch):
    def is_available(upstream):
        return not upstream.drained_ and not upstream.departed_

    monkeypatch.setattr(_upstream.UpstreamState, "is_available", is_available)
    monkeypatch.setattr(_assignment, "check_grant", lambda *_: None)
    return {}


def disable_running_deadlines(monkeypatch):
    monkeypatch.setattr(_assignment, "RUNNING_MARGIN_S", 1e6)
    return {}


@pytest.mark.parametrize(
    ("disable_mechanism", "violation_text"),
    [
        (disable_load_bound, "bound"),
        (disable_warm_up, "cold"),
        (disable_zone_draining, "zone"),
        (disable_leaving, "leaving"),
        (disable_running_deadlines, "leaked"),
    ],
)
def test_check_detects_its_disabled_mechanism(monkeypatch, disable_mechanism, violation_text):
    options = disable_mechanism(monkeypatch)
    violations = [run_fleet(seed, **options).violations for seed in range(1_000, 1_006)]
    assert any(violation_text in violation for run in violations for violation in run)
