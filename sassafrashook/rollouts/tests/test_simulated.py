"""Tests of simulated rollouts; ``SEED`` and ``SOAK`` in the environment run more of them."""

import os

import msgspec
import pytest

from sassafrashook.rollouts import RolloutState, RolloutStep
from sassafrashook.rollouts.tests.simulation import BOUNDS, Fault, SimulatedRollout

SEED = int(os.environ.get("SEED", "1"))
SEEDS = range(SEED, SEED + int(os.environ.get("SOAK", "2")))
LATEST_S = BOUNDS.rollback_timeout_ms / 1_000


def check_bad(result):
    """Check that a bad version was reverted within the bounds."""
    assert result.state is RolloutState.REVERTED
    assert result.excess <= 0
    if result.fiftieth_bad_at is not None:
        assert result.last_new_at <= result.fiftieth_bad_at + LATEST_S


@pytest.mark.parametrize("seed", SEEDS)
def test_good_version_is_completed_in_time(seed):
    """Guards against false alarms, and against requests at old upstreams that are stopped."""
    result = SimulatedRollout(seed).run()
    assert result.state is RolloutState.COMPLETED
    assert not result.unfinished_at_end
    assert result.ended_s <= result.duration_s


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("kind", ["failing", "slow", "route", "load"])
def test_bad_version_is_reverted_within_the_bounds(seed, kind):
    """Guards against a bad version that gets more than its bound, over 79 routers."""
    fault = {
        "failing": Fault(failing=0.4),
        "slow": Fault(slowness=4.0),
        "route": Fault(failing=0.6, route="plans"),
        "load": Fault(failing=0.6, min_running=2),
    }[kind]
    check_bad(SimulatedRollout(seed, fault).run())


@pytest.mark.parametrize("seed", SEEDS)
def test_exposure_holds_over_300_routers_with_old_reports(seed):
    """Guards against routers that go on for as long as their reports are on their way."""
    result = SimulatedRollout(
        seed, Fault(failing=0.5), router_count=300, upstream_count=300, rate=1_200,
        report_delay_s=1.0,
    ).run()  # fmt: skip
    check_bad(result)


@pytest.mark.parametrize("seed", SEEDS)
def test_bad_version_gets_nothing_more_while_there_is_no_leader(seed):
    """Guards against shares that outlive the leader: killed in the trial of a bad version."""
    result = SimulatedRollout(seed, Fault(failing=0.5, begins_s=4.0), outages=[(4.0, 9.0)])
    result.schedule(6.0, lambda: setattr(result, "sent_then", result.sent_new))
    result.schedule(8.9, lambda: setattr(result, "sent_later", result.sent_new))
    result.run()
    assert result.sent_later == result.sent_then
    check_bad(result)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("begin", [0.3, 3.5, 7.0, 9.0])
def test_good_version_is_completed_although_a_leader_is_lost(seed, begin):
    """Guards against a rollout that stands still after an election, at any of its steps."""
    result = SimulatedRollout(seed, duration_s=14.0, outages=[(begin, begin + 1.0)]).run()
    assert result.state is RolloutState.COMPLETED
    assert not result.unfinished_at_end
    assert result.ended_s <= result.duration_s


def test_routers_out_of_touch_do_not_hold_up_a_rollout():
    """Guards against a rollout that waits for routers that no controller reaches."""
    result = SimulatedRollout(SEED, cut_routers=5).run()
    assert result.state is RolloutState.COMPLETED


def test_lease_of_a_share_ends_and_a_sealed_one_holds():
    """Guards against old upstreams that get requests from a router cut off after the seal."""
    rollout = SimulatedRollout(SEED)
    router = rollout.routers[0]
    rollout.table.rollouts_["s"] = switched = _replace(rollout, 2, 1.0, RolloutStep.SWITCHED)
    router.renew(switched, 1.5, 10.0)
    assert router.choose("s", 11.4).is_new
    assert not router.choose("s", 11.6).is_new
    sealed = _replace(rollout, 3, 1.0, RolloutStep.SEALED)
    router.renew(sealed, 1.5, 12.0)
    router.renew(switched, 1.5, 12.1)
    choice = router.choose("s", 99.0)
    versions = {u.registration.version for u in choice.select(rollout.upstreams, 99.0)}
    assert versions == {"v2"}


def _replace(rollout, index, share, step):
    return msgspec.structs.replace(rollout.rollout, index=index, share=share, step=step)
