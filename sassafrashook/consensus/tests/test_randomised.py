"""Seeded runs with every fault at once; long ones with the environment variable ``SOAK``."""

import os

import pytest

from sassafrashook.consensus.tests.harness import Run

SOAK_RUNS = int(os.environ.get("SOAK", "0"))
FIRST_SEED = int(os.environ.get("SEED", "1"))
RUNS = {3: SOAK_RUNS or 60, 5: SOAK_RUNS or 20}
CASES = [(size, FIRST_SEED + i) for size, count in RUNS.items() for i in range(count)]


@pytest.mark.parametrize(("size", "seed"), CASES)
def test_promises_hold(size, seed):
    print(f"size={size} seed={seed}")
    Run(seed, size).execute()
