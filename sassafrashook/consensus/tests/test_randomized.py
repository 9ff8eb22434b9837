"""Randomized simulations with all kinds of faults.

The environment variable ``SOAK`` sets the number of runs per group size, ``SEED`` the first seed.
"""

import os

import pytest

from sassafrashook.consensus.tests.harness import FaultConfig, Simulation

SOAK_RUNS = int(os.environ.get("SOAK", "0"))
FIRST_SEED = int(os.environ.get("SEED", "1"))
RUNS = {3: SOAK_RUNS or 60, 5: SOAK_RUNS or 20}
EVEN_RUNS = {4: SOAK_RUNS or 10, 6: SOAK_RUNS or 10}
EVEN_CASES = [(size, FIRST_SEED + i) for size, count in EVEN_RUNS.items() for i in range(count)]
CASES = [(size, FIRST_SEED + i) for size, count in RUNS.items() for i in range(count)]


@pytest.mark.parametrize(("size", "seed"), CASES)
def test_guarantees_hold_under_random_faults(size, seed):
    print(f"size={size} seed={seed}")
    Simulation(seed, size).run_to_end()


@pytest.mark.parametrize("is_automatic", [False, True])
@pytest.mark.parametrize(("size", "seed"), EVEN_CASES)
def test_guarantees_hold_where_quorums_leave_out_lost_voters(size, seed, is_automatic):
    """Guards against two leaders, lost entries and outdated leases of groups of an even size."""
    print(f"size={size} seed={seed}")
    parameters = {"automatic_membership": is_automatic}
    faults = FaultConfig(disk_loss_weight=8, partition_weight=6, parameters=parameters)
    Simulation(seed, size, faults).run_to_end()
