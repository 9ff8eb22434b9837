"""Tests of what a controller sends about crashes, beside everything else on its link."""

import random

from sassafrashook.fleet.tests.simulated_fleet import (
    CONTROLLERS,
    LINK_BYTES_PER_S,
    SimulatedFleet,
)
from sassafrashook.quarantine import CrashRecord

ROUTER_COUNT = 75
# The log, heartbeats, configurations and loads share the link, so that crashes get half at most.
MAX_BYTES_PER_S = LINK_BYTES_PER_S / 2


def make_requests(rng, count):
    """Return the traits of requests with popular and rare prompt parts."""
    return [
        (
            rng.randrange(4),
            100 + rng.randrange(200),
            1_000 + rng.randrange(2_000),
            rng.getrandbits(60),
        )
        for _ in range(count)
    ]


def test_crashes_of_many_upstreams_at_once_leave_room_on_the_links_of_controllers(monkeypatch):
    fleet, rng = SimulatedFleet(monkeypatch, ROUTER_COUNT), random.Random(1)
    fleet.run_until(3.0)
    for boot in range(8):
        for router in fleet.routers:
            record = CrashRecord("u", boot, 0.0, make_requests(rng, rng.choice((0, 1))))
            if record.requests:
                fleet.schedule(rng.uniform(0.0, 1.0), fleet.report_crash, router, record)
    fleet.run_until(6.0)
    for name in CONTROLLERS:
        assert fleet.measure_busiest_second(name, 3.0) <= MAX_BYTES_PER_S
    total = len(fleet.controllers["c0"].crashes_.list_changes(0, fleet.now))
    assert total == 8


def test_content_that_crashes_upstreams_is_known_to_all_routers_within_a_second(monkeypatch):
    fleet = SimulatedFleet(monkeypatch, ROUTER_COUNT)
    fleet.run_until(3.0)
    for boot, router in enumerate(("r0", "r1")):
        fleet.report_crash(router, CrashRecord("u", boot, 0.0, [(7,)], origins=[boot]))
    fleet.run_until(4.0)
    for router in fleet.routers.values():
        assert router.view.crashes.find_quarantine((7,), fleet.now) is not None
