"""Tests of the replicated records: orders, steps and ends of rollouts."""

import random

import pytest

from sassafrashook.fleet import FleetState
from sassafrashook.fleet._state import decode_outcome, encode_command
from sassafrashook.rollouts import (
    AdvanceRollout,
    FinishRollout,
    RolloutOutcome,
    RolloutState,
    RolloutStep,
    StartRollout,
)

ORDER = StartRollout("s", "v2", ["v1"], 1_000, 13_000)


def apply(state, index, command):
    return decode_outcome(state.apply(index, encode_command(command))).rollout


def finish(outcome, order_index=1, base_index=0):
    return FinishRollout("s", order_index, base_index, 5_000, outcome)


def test_repeated_order_has_no_effect():
    """Guards against a second start by an order whose acknowledgement was lost."""
    state = FleetState()
    assert apply(state, 1, ORDER) is RolloutOutcome.CHANGED
    apply(state, 2, AdvanceRollout("s", 1, 2_000, 0.1, RolloutStep.TRIAL))
    resent = StartRollout("s", "v2", ["v1"], 5_900, 17_900)
    assert apply(state, 3, resent) is RolloutOutcome.REPEATED
    apply(state, 4, finish(RolloutState.REVERTED))
    assert apply(state, 5, resent) is RolloutOutcome.REPEATED
    assert state.rollouts_.rollouts_["s"].state is RolloutState.REVERTED


def test_order_of_another_version_conflicts_until_the_first_has_ended():
    """Guards against two rollouts of one service at a time."""
    state, other = FleetState(), StartRollout("s", "v3", ["v1"], 2_000, 14_000)
    apply(state, 1, ORDER)
    assert apply(state, 2, other) is RolloutOutcome.CONFLICT
    apply(state, 3, finish(RolloutState.REVERTED))
    assert apply(state, 4, other) is RolloutOutcome.CHANGED


def test_reverted_version_may_be_ordered_again_later():
    """Guards against a version that can never be rolled out after a failed attempt."""
    state = FleetState()
    apply(state, 1, ORDER)
    apply(state, 2, finish(RolloutState.REVERTED))
    later = StartRollout("s", "v2", ["v1"], 60_000, 72_000)
    assert apply(state, 3, later) is RolloutOutcome.CHANGED


def test_decision_of_former_leader_has_no_effect():
    """Guards against a completion decided before another leader took a step back."""
    state = FleetState()
    apply(state, 1, ORDER)
    apply(state, 2, AdvanceRollout("s", 1, 2_000, 1.0, RolloutStep.SEALED))
    apply(state, 3, AdvanceRollout("s", 2, 2_100, 0.1, RolloutStep.TRIAL))
    completed = finish(RolloutState.COMPLETED, base_index=2)
    assert apply(state, 4, completed) is RolloutOutcome.OUTDATED
    late = AdvanceRollout("s", 2, 2_200, 0.4, RolloutStep.HALF_WAY)
    assert apply(state, 5, late) is RolloutOutcome.OUTDATED
    assert apply(state, 6, finish(RolloutState.REVERTED, order_index=9)) is RolloutOutcome.OUTDATED


@pytest.mark.parametrize("seed", range(20))
def test_rollout_never_leaves_its_final_state(seed):
    """Guards against a rollout that is both completed and reverted, also over a restart."""
    rng, state, final = random.Random(seed), FleetState(), None
    apply(state, 1, ORDER)
    for index in range(2, 40):
        base_index = rng.choice((0, index - 1, index - 2))
        share = rng.random()
        command = rng.choice((
            AdvanceRollout("s", base_index, 2_000, share, RolloutStep.TRIAL),
            finish(rng.choice((RolloutState.COMPLETED, RolloutState.REVERTED)), 1, base_index),
            StartRollout("s", rng.choice(("v2", "v3")), ["v1"], 3_000, 15_000),
        ))  # fmt: skip
        known = state.rollouts_.rollouts_["s"]
        if known.order_index == 1 and known.state is not RolloutState.IN_PROGRESS:
            final = final or known.state
            assert known.state is final
        apply(state, index, command)
        restored = FleetState()
        restored.restore(state.save())
        assert restored.rollouts_.rollouts_ == state.rollouts_.rollouts_
        assert restored.rollouts_.index_ == state.rollouts_.index_
        state = restored
