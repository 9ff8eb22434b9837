"""Tests of the versions that a router's requests go to."""

from types import SimpleNamespace

import msgspec

from sassafrashook.rollouts import (
    AttemptTotals,
    Rollout,
    RolloutState,
    RolloutStep,
    RouterRollouts,
    judge,
    sum_totals,
)
from sassafrashook.rollouts._routing import HOLD_S, LATER_RELEASE_MS

ROLLOUT = Rollout(
    "s", "v2", ["v1"], 1, 1, RolloutState.IN_PROGRESS, 1_000, 13_000, 1_000
)  # fmt: skip


def make_state(version, boot_ms=0, number=0):
    registration = SimpleNamespace(
        upstream_id=f"{version}-{number}", version=version, service="s", boot_ms=boot_ms
    )
    return SimpleNamespace(
        registration=registration, name_hash=number, is_cold=lambda _now: False
    )  # fmt: skip


def list_versions(rollouts, states, now):
    choice = rollouts.choose("s", now)
    selected = states if choice is None else choice.select(states, now)
    return {state.registration.version for state in selected}


def observe(rollouts, states, now):
    rollouts.observe_versions([state.registration for state in states], now)


def test_version_that_appears_before_its_order_gets_nothing():
    """Guards against requests at a new version whose order is still on its way."""
    rollouts, old, new = RouterRollouts(True), make_state("v1"), make_state("v2", 50)
    observe(rollouts, [old], 0.0)
    observe(rollouts, [old, new], 100.0)
    assert list_versions(rollouts, [old, new], 100.0) == {"v1"}
    assert list_versions(rollouts, [new], 100.0) == {"v2"}
    rollouts.merge([ROLLOUT], 1)
    assert list_versions(rollouts, [old, new], 100.0 + 2 * HOLD_S) == {"v1"}


def test_version_without_an_order_is_served_after_the_hold():
    """Guards against an ordinary release that gets no requests."""
    rollouts, states = RouterRollouts(True), [make_state("v1"), make_state("v2", 50)]
    observe(rollouts, states[:1], 0.0)
    observe(rollouts, states, 100.0)
    assert list_versions(rollouts, states, 100.0 + HOLD_S) == {"v1", "v2"}


def test_restarted_router_takes_the_earliest_boot_for_the_old_version():
    """Guards against a router that learns of both versions at once and can't know the order."""
    rollouts, states = RouterRollouts(True), [make_state("v1", 10), make_state("v2", 50)]
    observe(rollouts, states, 100.0)
    assert list_versions(rollouts, states, 100.0) == {"v1"}


def test_deployment_without_bounds_serves_all_versions():
    """Guards against a change for deployments whose settings state no bounds."""
    rollouts, states = RouterRollouts(), [make_state("v1"), make_state("v2", 50)]
    observe(rollouts, states[:1], 0.0)
    observe(rollouts, states, 100.0)
    assert rollouts.choose("s", 100.0) is None
    assert rollouts.begin_attempt(states[0].registration, "r", True, 100.0) is None


def test_reverted_version_gets_nothing():
    """Guards against requests at a version that was reverted, also from streams and retries."""
    rollouts, states = RouterRollouts(True), [make_state("v1"), make_state("v2", 50)]
    reverted = msgspec.structs.replace(ROLLOUT, index=5, state=RolloutState.REVERTED)
    rollouts.merge([reverted], 5)
    rollouts.merge([ROLLOUT], 1)
    assert list_versions(rollouts, states, 500.0) == {"v1"}
    assert rollouts.choose("s", 500.0, "v2").select(states[1:], 500.0) == []


def test_completed_rollout_leaves_the_new_version_and_later_releases():
    """Guards against requests at stopped upstreams, and against a rollback by a release."""
    rollouts, states = RouterRollouts(True), [make_state("v1"), make_state("v2", 50)]
    completed = msgspec.structs.replace(
        ROLLOUT, index=5, state=RolloutState.COMPLETED, changed_ms=9_000
    )
    rollouts.merge([completed], 5)
    assert list_versions(rollouts, states, 500.0) == {"v2"}
    later = make_state("v1", 9_000 + LATER_RELEASE_MS)
    assert list_versions(rollouts, [later, *states], 500.0) == {"v1", "v2"}


def test_stream_stays_at_its_version():
    """Guards against a stream that is resumed at the other version by the draw of the share."""
    rollouts, states = RouterRollouts(True), [make_state("v1"), make_state("v2", 50)]
    trial = msgspec.structs.replace(ROLLOUT, index=2, share=0.5, step=RolloutStep.TRIAL)
    rollouts.renew(trial, 1.5, 10.0)
    for version in ("v1", "v2"):
        for now in (10.0, 20.0):  # with the lease, and after its end
            choice = rollouts.choose("s", now, version)
            selected = choice.select(states, now)
            assert {state.registration.version for state in selected} == {version}


def test_attempt_counts_as_running_at_old_upstreams_whenever_it_began():
    """Guards against a completion while a request from before the order still runs."""
    rollouts, old = RouterRollouts(True), make_state("v1")
    early = rollouts.begin_attempt(old.registration, "r", True, 0.0)
    rollouts.merge([ROLLOUT], 1)
    late = rollouts.begin_attempt(old.registration, "r", True, 1.0)
    assert rollouts.report("s", 2.0)[2] == 2
    rollouts.end_attempt(early, False, 3.0)
    rollouts.end_attempt(late, None, 3.0)
    assert rollouts.report("s", 4.0)[2:4] == (0, 3_000)


def test_one_failing_upstream_does_not_revert_a_version():
    """Guards against false alarms by a single host, and against misses of a failing version."""
    old = AttemptTotals(False, "r", "", 400, 4, [(5, 400)])
    sound = [AttemptTotals(True, "r", f"u{n}", 20, 0, [(5, 20)]) for n in range(4)]
    failing = [AttemptTotals(True, "r", f"b{n}", 20, 15, [(5, 20)]) for n in range(2)]
    assert not judge(sum_totals([old, *sound, failing[0]])).is_bad
    assert judge(sum_totals([old, *sound, *failing])).is_bad


def test_requests_that_run_for_long_show_a_slow_version():
    """Guards against a slow version that is found only once it has answered."""
    old = AttemptTotals(False, "r", "", 400, 0, [(5, 400)])
    running = [AttemptTotals(True, "r", f"u{n}", 5, 0, [(-1 - 9, 5)]) for n in range(4)]
    young = [AttemptTotals(True, "r", f"u{n}", 5, 0, [(-1 - 4, 5)]) for n in range(4)]
    assert judge(sum_totals([old, *running])).is_bad
    assert not judge(sum_totals([old, *young])).is_bad
