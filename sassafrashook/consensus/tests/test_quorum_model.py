"""Random walks of an abstract model: quorums that leave out a lost voter keep what is committed."""

import pytest

from sassafrashook.consensus.tests.quorum_model import ModelViolationError, QuorumModel

STEPS = 200
WALKS = 1_500


def find_violation(size, walk_count, **rules):
    """Return the first violation, its seed and text, or ``None``; and the number of commits."""
    committed = 0
    for seed in range(walk_count):
        try:
            committed += QuorumModel(seed, size, **rules).run(STEPS)
        except ModelViolationError as error:
            return (seed, str(error)), committed
    return None, committed


@pytest.mark.parametrize("size", [2, 4, 6])
def test_quorums_without_a_lost_voter_keep_what_is_committed(size):
    """Guards against quorums that do not share a voter, through elections, changes and losses."""
    violation, committed = find_violation(size, WALKS)
    assert violation is None
    assert committed > WALKS


@pytest.mark.parametrize("size", [4, 6])
@pytest.mark.parametrize("rule", ["fixes_lost_voters", "counts_previous"])
def test_model_finds_the_violation_without_a_rule(size, rule):
    """Guards against a model that would not notice that one of the two rules is missing."""
    violation, _ = find_violation(size, 40 * WALKS, **{rule: False})
    assert violation is not None
