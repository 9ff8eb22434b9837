"""Estimates of how long work takes, and what callers get from them."""

import pytest

from sassafrashook.estimation import FirstEventModel, SpeedEstimate
from sassafrashook.estimation.tests.simulated_fleet import SimulatedFleet
from sassafrashook.fleet._messages import SlowdownStated
from sassafrashook.fleet._slowdowns import SlowdownQueue
from sassafrashook.placement import UpstreamState
from sassafrashook.registry import Registration, RegistrationState


def make_states(slowdowns, now=0.0):
    states = []
    for number, slowdown in enumerate(slowdowns):
        registration = Registration(
            f"u{number}", 1, 1, RegistrationState.READY, "chat", "h", 80, "z", "v1", 16
        )
        state = UpstreamState(registration, 0.0, 0.0)
        if slowdown is not None:
            state.slowdown_ = slowdown
            state.speed_.record_stated(slowdown, now)
        states.append(state)
    return states


def prefer(states, holders=None, now=0.0, load=0, model=None):
    model = model if model is not None else FirstEventModel()
    loads = {state.key: load for state in states}
    ordered = model.prefer_earliest(states, holders, loads, lambda _state: 16, now)
    return [state.registration.upstream_id for state in ordered]


def test_old_figures_decay_and_older_ones_do_not_replace_newer_ones():
    """Guards against acting on a figure that no longer holds."""
    estimate = SpeedEstimate()
    estimate.record_stated(2.5, heard_at=10.0, is_own=False)
    estimate.record_stated(1.0, heard_at=9.0, is_own=False)
    values = [estimate.compute(10.0 + age) for age in (0.0, 0.42, 4.2)]
    assert values == pytest.approx([2.5, 1.75, 1.0], abs=0.01)


def test_slow_upstream_is_passed_over_unless_it_holds_the_prompt():
    """Guards against reading a prompt again because of a difference that is smaller."""
    states = make_states([2.5, 1.0, 1.0])
    assert prefer(states)[0] == "u1"
    assert prefer(states, {states[0].key})[0] == "u0"
    assert prefer(states, {states[0].key, states[2].key})[0] == "u2"
    assert prefer(states, now=5.0)[0] == "u0"


def test_differences_within_the_error_move_nothing():
    """Guards against sessions that move between upstreams of about the same speed."""
    assert prefer(make_states([1.2, 1.0, 1.0])) == ["u0", "u1", "u2"]


def test_upstreams_that_state_nothing_keep_their_order():
    """Guards against a change for deployments without the fourth figure."""
    states = make_states([None, None, None])
    states[0].speed_.record_measured(5.0)
    assert prefer(states, load=40) == ["u0", "u1", "u2"]


def test_only_a_bounded_number_of_upstreams_is_compared():
    """Guards against a cost of each request that grows with the number of upstreams."""
    states = make_states([2.5, 2.5, 2.5, 1.0])
    assert prefer(states)[0] == "u0"


def test_cost_of_an_uncached_prompt_is_learned():
    """Guards against staying at a slow holder where a prompt is read again quickly."""
    states, model = make_states([2.5, 1.0, 1.0]), FirstEventModel()
    for _ in range(20):
        model.record(states[1], 1_000, True, 100.0)
        model.record(states[1], 1_000, False, 120.0)
    assert model.compute_uncached_factor("chat") == pytest.approx(1.2)
    assert prefer(states, {states[0].key}, model=model)[0] == "u1"


def test_fewer_late_first_events_and_no_herding_at_118_routers():
    """Guards against all routers choosing the same upstream because of the same figures."""
    late, most = [], []
    for age_s in (None, 0.1, 0.3):
        fleet = SimulatedFleet(118, 5, 20, seed=0, age_s=age_s, has_prompts=False)
        fleet.run_until(60.0)
        late.append(fleet.compute_late_share())
        most.append(fleet.max_running)
    assert max(late[1:]) < late[0]
    assert max(most[1:]) <= 1.25 * most[0]


def test_latest_figure_of_each_upstream_is_passed_on_once_with_its_age():
    """Guards against figures that seem younger than they are after two hops."""
    queue = SlowdownQueue()
    queue.add([SlowdownStated("a", 1, 250, 100), SlowdownStated("b", 1, 130, 1_900)], True, 1.0)
    queue.add([SlowdownStated("a", 1, 150, 500)], False, 1.1)
    assert queue.take_own(1.2) == [SlowdownStated("a", 1, 250, 300)]
    assert queue.take_all(1.3) == [SlowdownStated("a", 1, 250, 400)]
    assert queue.take_all(1.4) == []
