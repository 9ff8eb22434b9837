"""Seeded runs of seven nodes with faults; ``SOAK=n`` runs n seeds."""

import os

import pytest

from sassafrashook.membership.tests.oracle import Run

SEEDS = range(int(os.environ.get("SOAK", "6")))


@pytest.mark.parametrize("seed", SEEDS)
def test_all_nodes_agree_after_faults(seed):
    print(f"seed={seed}")
    run = Run(seed)
    run.check()
    assert run.seen > 500
