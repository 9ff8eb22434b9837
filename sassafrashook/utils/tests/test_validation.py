"""Tests of parameter validation and of the hash functions."""

import pytest

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval, Options, ParameterError, hash_key, rank_nodes


class Example(Parametrized):
    _parameter_constraints = {"size": Interval(int, 1, 9), "mode": Options(str, None)}

    def __init__(self, size=1, mode=None):
        self.size = size
        self.mode = mode


def test_allowed_values_are_accepted():
    Example(9, "fast").validate_parameters()


@pytest.mark.parametrize("size", [0, 10, 1.5, True, "3"])
def test_error_states_parameter_value_and_range(size):
    with pytest.raises(ParameterError) as error:
        Example(size).validate_parameters()
    assert "'size'" in str(error.value)
    assert repr(size) in str(error.value)
    assert "int in [1, 9]" in str(error.value)


def test_hash_key_distinguishes_part_boundaries():
    assert hash_key("ab", "c") != hash_key("a", "bc")


def test_rank_nodes_keeps_order_of_remaining_nodes():
    nodes = [f"node-{n}" for n in range(10)]
    for key in range(200):
        ranking = rank_nodes(key, nodes)
        remaining_ranking = rank_nodes(key, [node for node in nodes if node != "node-3"])
        assert [node for node in ranking if node != "node-3"] == remaining_ranking
