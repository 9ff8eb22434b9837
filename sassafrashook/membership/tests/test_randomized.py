"""Randomized runs of seven nodes with faults; ``SOAK=n`` selects the number of seeds."""

import os

import pytest

from sassafrashook.membership.tests.randomized_run import RandomizedRun

SEEDS = range(int(os.environ.get("SOAK", "4")))


@pytest.mark.parametrize("budget_bytes", [4_096, 2_048])
@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_converge_after_faults(seed, budget_bytes):
    print(f"seed={seed}")
    run = RandomizedRun(seed, budget_bytes=budget_bytes)
    run.check()
    assert run.update_count > 500
