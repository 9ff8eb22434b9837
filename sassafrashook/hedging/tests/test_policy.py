"""Tests of second attempts: what callers get, and what they cost the upstreams."""

import pytest

from sassafrashook.hedging import DurationHistogram, HedgingPolicy
from sassafrashook.hedging.tests.simulated_service import SERVICE, TARGET_MS, SimulatedService

EXTRA_SHARE = 0.05
REQUESTS = 6_000


def test_no_second_attempt_without_the_operators_limit():
    """Guards against extra work on upstreams that no operator has asked for."""
    policy = HedgingPolicy()
    for _ in range(100):
        policy.record_request(SERVICE)
        policy.record_duration(SERVICE, 20.0, 0.0)
    assert policy.compute_delay_s(SERVICE, TARGET_MS, 0.0) is None
    assert not policy.try_consume(SERVICE)


def test_sum_of_routers_keeps_the_limit():
    """Guards against more extra attempts than the limit, also with few requests a router."""
    for routers in (1, 7, 118):
        policies = [HedgingPolicy(EXTRA_SHARE) for _ in range(routers)]
        extra = 0
        for number in range(REQUESTS):
            policy = policies[number % routers]
            policy.record_request(SERVICE)
            extra += policy.try_consume(SERVICE)
        assert extra <= EXTRA_SHARE * REQUESTS


def test_delay_follows_recent_durations():
    """Guards against a delay that stays short after a whole service has become slow."""
    policy = HedgingPolicy(EXTRA_SHARE)
    for _ in range(50):
        policy.record_duration(SERVICE, 40.0, 0.0)
    assert 0.040 <= policy.compute_delay_s(SERVICE, TARGET_MS, 0.0) <= 0.047
    for _ in range(50):
        policy.record_duration(SERVICE, 400.0, 60.0)
    assert policy.compute_delay_s(SERVICE, TARGET_MS, 60.0) is None


def test_old_durations_count_less():
    """Guards against a quantile that an earlier state of the service determines."""
    histogram = DurationHistogram(half_life_s=10.0)
    for _ in range(100):
        histogram.record(500.0, 0.0)
    for _ in range(10):
        histogram.record(20.0, 60.0)
    assert histogram.estimate_quantile(0.8, 60.0) < 25.0
    assert histogram.weight_ == pytest.approx(10 + 100 / 64, rel=0.01)


@pytest.mark.parametrize("upstreams", [5, 70, 300])
def test_slow_tail_is_cut(upstreams):
    """Guards against callers that wait for a slow response while other upstreams are free.

    Load: half of the slots in use, 2 in 100 responses take ten times as long.
    """
    quantiles, extra = {}, {}
    for share in (0.0, EXTRA_SHARE):
        service = SimulatedService(upstreams, 6, 0.5, 0.02, share, routers=7).play(REQUESTS)
        assert len(service.durations_ms_) == REQUESTS
        quantiles[share] = [service.quantile(q) for q in (0.5, 0.95, 0.99, 0.999)]
        extra[share] = service.extra_count_
    assert extra[0.0] == 0
    assert extra[EXTRA_SHARE] <= EXTRA_SHARE * REQUESTS
    assert quantiles[0.0][2] > TARGET_MS  # without second attempts the 99th percentile is late
    assert quantiles[EXTRA_SHARE][2] <= TARGET_MS
    assert quantiles[EXTRA_SHARE][0] <= 1.05 * quantiles[0.0][0]


@pytest.mark.parametrize("upstreams", [5, 70])
@pytest.mark.parametrize("load", [{"utilization": 0.6, "always_slow": True}, {"utilization": 0.95}])
def test_no_harm_when_all_are_slow_or_full(upstreams, load):
    """Guards against second attempts that overload a service that is slow or full already."""
    means = {}
    for share in (0.0, EXTRA_SHARE):
        service = SimulatedService(
            upstreams, 6, slow_share=0.02, extra_share=share, routers=7, **load
        ).play(REQUESTS)
        means[share] = sum(service.durations_ms_) / REQUESTS
    assert means[EXTRA_SHARE] <= 1.1 * means[0.0]
