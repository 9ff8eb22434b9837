"""Placement by conversation under the load bound."""

import random

import pytest

from sassafrashook.messages import PermitGranted
from sassafrashook.routing import UpstreamAnnounced, UpstreamLeft, compute_load_bound
from sassafrashook.routing.tests.builders import LedgerDriver, make_announcement


@pytest.mark.parametrize(
    ("running", "upstreams", "bound"), [(0, 3, 1), (2, 3, 2), (9, 10, 2), (39, 10, 5), (7, 1, 10)]
)
def test_load_bound_is_rounded_up(running, upstreams, bound):
    assert compute_load_bound(1.25, running, upstreams) == bound


def test_no_upstream_exceeds_the_load_bound():
    driver = LedgerDriver(engines=10)
    rng = random.Random(3)
    held = []
    for request_id in range(1, 600):
        if held and rng.random() < 0.4:
            driver.release(held.pop(rng.randrange(len(held))))
        grant = driver.request_permit(request_id, key=rng.randrange(5) << 60)
        if not isinstance(grant, PermitGranted):
            continue
        held.append(request_id)
        running = [driver.ledger.count_running(f"e{index}") for index in range(10)]
        assert sum(running) == len(held)
        load = driver.ledger.count_running(grant.upstream_id)
        assert load <= compute_load_bound(1.25, len(held) - 1, 10)


def test_most_conversations_keep_their_upstream_when_upstreams_change():
    driver = LedgerDriver(engines=10)
    first_upstreams = {}
    for request_id in range(1, 201):
        first_upstreams[request_id] = driver.request_permit(request_id).upstream_id
        driver.release(request_id)
    driver.ledger.state_.hints_.hints_.__init__(8)
    driver.handle(UpstreamLeft("e3"))
    driver.handle(UpstreamAnnounced(make_announcement("e99")))
    moved = 0
    for request_id, first_upstream in first_upstreams.items():
        key = request_id * 0x9E3779B97F4A7C15 % 2**64
        answer = driver.request_permit(request_id + 1000, key=key)
        driver.release(request_id + 1000)
        moved += first_upstream != "e3" and answer.upstream_id != first_upstream
    assert moved < 40


def test_conversations_spread_evenly():
    driver = LedgerDriver(engines=10)
    counts = dict.fromkeys((f"e{index}" for index in range(10)), 0)
    for request_id in range(1, 2001):
        counts[driver.request_permit(request_id).upstream_id] += 1
        driver.release(request_id)
    assert max(counts.values()) < 1.35 * 200


def test_tried_upstreams_are_not_chosen_again():
    driver = LedgerDriver(engines=3)
    assert driver.request_permit(1, tried=["e0", "e2"]).upstream_id == "e1"
    assert driver.request_permit(2, tried=["e0", "e1", "e2"]).reason == "no_upstream"


def test_preferred_upstream_is_chosen_while_it_has_capacity():
    driver = LedgerDriver(engines=3)
    for request_id, name in enumerate(["e0", "e1", "e2"], start=1):
        assert driver.request_permit(request_id, preferred=name).upstream_id == name


def test_upstream_must_serve_the_model():
    driver = LedgerDriver(engines=3)
    driver.handle(UpstreamAnnounced(make_announcement("e7", models=["flour@2"])))
    assert driver.request_permit(1, model="flour").upstream_id == "e7"
    assert driver.request_permit(2, model="butter").reason == "no_upstream"
