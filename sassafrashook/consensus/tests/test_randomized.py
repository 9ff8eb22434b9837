"""Randomized simulations with all kinds of faults.

The environment variable ``SOAK`` sets the number of runs per group size, ``SEED`` the first seed.
"""

import os

import pytest

from sassafrashook.consensus.tests.harness import Simulation

SOAK_RUNS = int(os.environ.get("SOAK", "0"))
FIRST_SEED = int(os.environ.get("SEED", "1"))
RUNS = {3: SOAK_RUNS or 60, 5: SOAK_RUNS or 20}
CASES = [(size, FIRST_SEED + i) for size, count in RUNS.items() for i in range(count)]


@pytest.mark.parametrize(("size", "seed"), CASES)
def test_guarantees_hold_under_random_faults(size, seed):
    print(f"size={size} seed={seed}")
    Simulation(seed, size).run_to_end()
