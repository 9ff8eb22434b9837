"""Seeded runs with every fault at once; long ones with the environment variable ``SOAK``."""

import os

import pytest

from sassafrashook.consensus.tests.harness import Run

SOAK_RUNS = int(os.environ.get("SOAK", "0"))
FIRST_SEED = int(os.environ.get("SEED", "1"))


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + (SOAK_RUNS or 30)))
def test_promises_hold(seed, size):
    print(f"seed={seed} size={size}")
    Run(seed, size).execute()
