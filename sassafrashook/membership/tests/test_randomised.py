"""Seeded runs of seven nodes with faults; ``SOAK=n`` runs n seeds."""

import os

import pytest

from sassafrashook.membership.tests.oracle import Run

SEEDS = range(int(os.environ.get("SOAK", "4")))


@pytest.mark.parametrize("budget_bytes", [4_096, 2_048])
@pytest.mark.parametrize("seed", SEEDS)
def test_all_nodes_agree_after_faults(seed, budget_bytes):
    print(f"seed={seed}")
    run = Run(seed, budget_bytes=budget_bytes)
    run.check()
    assert run.seen > 500
