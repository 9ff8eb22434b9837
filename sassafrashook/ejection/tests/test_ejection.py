"""Ejection of upstreams by the results of all routers: what clients get, and when it ends."""

import random

import msgspec
import pytest

from sassafrashook.ejection import (
    Ejection,
    EjectionReason,
    EjectionView,
    OutlierDetector,
    UpstreamResults,
)
from sassafrashook.ejection._detector import HALF_LIFE_S, MAX_EJECTED_SHARE
from sassafrashook.ejection.tests.simulated_fleet import SimulatedFleet
from sassafrashook.fleet._messages import LoadReported, LoadShared, OtherLoads
from sassafrashook.messages import Message

SETTLED_S = 5.0  # all ejections of these runs are decided by then
END_S = 15.0


def run_fleet(routers, upstreams, rate_per_s, *arguments, seed=1, **parameters):
    """Return a fleet that has run, with the counts of the time after ``SETTLED_S``."""
    fleet = SimulatedFleet(routers, upstreams, seed, rate_per_s, *arguments, **parameters)
    fleet.run_until(SETTLED_S)
    fleet.reset_counts()
    fleet.run_until(END_S)
    return fleet


@pytest.mark.parametrize("failure_share", [1.0, 0.45])
@pytest.mark.parametrize(("routers", "upstreams", "rate_per_s"), [(118, 5, 60), (118, 70, 350)])
def test_failing_upstream_costs_few_requests(routers, upstreams, rate_per_s, failure_share):
    """Guards against an upstream that each router tries until it has seen it fail often."""
    shares = {0: failure_share}
    alone = run_fleet(routers, upstreams, rate_per_s, shares, exchanges_results=False)
    together = run_fleet(routers, upstreams, rate_per_s, shares)
    failed = [fleet.ended_failed - 0.01 * 0.5 * fleet.ended for fleet in (alone, together)]
    assert failed[1] < 0.34 * failed[0]
    assert together.sent[0] <= 2 * (END_S - SETTLED_S)
    assert together.list_ejected() == [{"u0"}] * 5


def test_upstreams_that_all_fail_alike_still_serve():
    """Guards against taking out a service because all of its upstreams fail part of the time."""
    for seed in range(5):
        fleet = run_fleet(118, 3, 60, dict.fromkeys(range(3), 0.45), seed=seed)
        assert fleet.max_ejected <= 1
        served = fleet.ended - fleet.ended_failed
        assert served > 0.6 * fleet.ended


def test_upstream_several_times_slower_is_avoided():
    """Guards against waiting for an upstream that answers, but takes four times as long."""
    fleet = run_fleet(118, 5, 60, None, {0: 4.0})
    assert fleet.list_ejected() == [{"u0"}] * 5
    assert fleet.sent[0] <= 2 * (END_S - SETTLED_S)


def test_no_more_than_the_stated_share_is_ejected():
    """Guards against an overload of the rest where half of the upstreams fail."""
    fleet = run_fleet(118, 12, 150, dict.fromkeys(range(6), 0.9))
    assert 1 <= fleet.max_ejected <= MAX_EJECTED_SHARE * 12


@pytest.mark.parametrize("seed", range(3))
def test_sound_upstreams_are_not_ejected(seed):
    """Guards against ejections by chance, with 3 failures in 100 everywhere."""
    fleet = run_fleet(118, 30, 200, seed=seed, general_failure_share=0.03)
    assert fleet.max_ejected == 0


def test_recovered_upstream_comes_back_through_trials():
    """Guards against an upstream that stays out after its failures have ended."""
    fleet = run_fleet(118, 5, 60, {0: 1.0})
    assert fleet.list_ejected() == [{"u0"}] * 5
    fleet.failure_shares = {}
    fleet.run_until(END_S + 4 * HALF_LIFE_S)
    assert fleet.list_ejected() == [set()] * 5
    fleet.reset_counts()
    fleet.run_until(END_S + 4 * HALF_LIFE_S + 5.0)
    assert fleet.sent[0] > 0.1 * sum(fleet.sent)


def make_detector(routers, failed):
    detector = OutlierDetector()
    for router in routers:
        for name in "abc":
            failures = failed if name == "a" else 0
            detector.record_router(router, [UpstreamResults(name, 1, 20 - failures, failures)], 0.0)
    return detector


KEYS = {"orders": [("a", 1), ("b", 1), ("c", 1)]}


def test_failures_at_a_single_router_eject_nothing():
    """Guards against a router with a broken path to an upstream that takes it from all others."""
    assert make_detector(["r1"], 20).update(KEYS, 0.2) == ([], [])
    assert len(make_detector(["r1", "r2"], 20).update(KEYS, 0.2)[0]) == 1


def test_evidence_ages_out():
    """Guards against an ejection without end if no more results arrive."""
    detector = make_detector(["r1", "r2"], 20)
    assert len(detector.update(KEYS, 0.2)[0]) == 1
    assert len(detector.update(KEYS, 0.2 + 12 * HALF_LIFE_S)[1]) == 1


def test_results_of_another_boot_say_nothing():
    """Guards against ejecting a restarted upstream for failures before the restart."""
    detector = make_detector(["r1", "r2"], 20)
    assert detector.update({"orders": [("a", 2), ("b", 1), ("c", 1)]}, 0.2) == ([], [])


def test_ejections_end_without_a_controller():
    """Guards against acting on an old word of a controller that is no longer connected."""
    view = EjectionView(random.Random(1))
    ejection = Ejection("a", 1, EjectionReason.FAILURES, 0.45, 1.0)
    view.update([ejection], 118, 0.0)
    assert view.list_current(2.0) and not view.list_current(3.0)


class OldLoadReported(Message, tag="LoadReported"):
    loads: dict[str, int]


def test_builds_without_results_understand_the_messages_and_the_other_way_round():
    """Guards against a mixed fleet in which a message of the other build can't be decoded."""
    new = LoadReported({"a": 1}, results=[UpstreamResults("a", 1, 2, 0)])
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=OldLoadReported).loads
    old = msgspec.msgpack.encode(OldLoadReported({"a": 1}))
    assert msgspec.msgpack.decode(old, type=LoadReported).results == []
    ejection = Ejection("a", 1, EjectionReason.SLOW, 0.0, 4.0)
    for message in (LoadShared({}, results=new.results), OtherLoads({}, ejections=[ejection])):
        encoded = msgspec.msgpack.encode(message)
        assert msgspec.msgpack.decode(encoded, type=type(message)) == message
