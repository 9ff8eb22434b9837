"""Tests of the shared validation and hashing."""

import pytest

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval, Options, ParameterError, hash_key, rank_nodes


class Sample(Parametrized):
    _parameter_constraints = {"size": Interval(int, 1, 9), "mode": Options(str, None)}

    def __init__(self, size=1, mode=None):
        self.size = size
        self.mode = mode


def test_allowed_values_pass():
    Sample(9, "fast").validate_parameters()


@pytest.mark.parametrize("size", [0, 10, 1.5, True, "3"])
def test_error_names_parameter_value_and_range(size):
    with pytest.raises(ParameterError) as error:
        Sample(size).validate_parameters()
    assert "'size'" in str(error.value)
    assert repr(size) in str(error.value)
    assert "int in [1, 9]" in str(error.value)


def test_boundaries_between_parts_count():
    assert hash_key("ab", "c") != hash_key("a", "bc")


def test_rank_moves_only_the_keys_of_a_lost_node():
    nodes = [f"node-{n}" for n in range(10)]
    for key in range(200):
        before = rank_nodes(key, nodes)
        after = rank_nodes(key, [node for node in nodes if node != "node-3"])
        assert [node for node in before if node != "node-3"] == after
