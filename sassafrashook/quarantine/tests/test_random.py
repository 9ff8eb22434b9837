"""Randomised runs of a simulated fleet in which one prompt part crashes upstreams.

The environment variables ``SEED`` and ``SOAK`` set the first seed and the number of runs.
"""

import os

import pytest

from sassafrashook.quarantine.tests.simulated_fleet import CONTACT_TIMEOUT_S, SimulatedFleet

FIRST_SEED = int(os.environ.get("SEED", "0"))
RUNS = int(os.environ.get("SOAK", "12"))
MAX_CRASHES_BEFORE_LIMIT = 5
MAX_LATE_POISON_REQUESTS = 3
MIN_SOUND_FRACTION = 0.5


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_prompt_part_that_crashes_upstreams_is_contained_and_sound_requests_are_served(seed):
    fleet = SimulatedFleet(seed).run()
    crashes = fleet.crashed_at
    if not crashes:
        return
    if len(crashes) >= MAX_CRASHES_BEFORE_LIMIT:
        limit_at = crashes[MAX_CRASHES_BEFORE_LIMIT - 1] + CONTACT_TIMEOUT_S
        late = [sent_at for sent_at in fleet.poison_sent_at if sent_at > limit_at]
        assert len(late) <= MAX_LATE_POISON_REQUESTS
    counted_crash = crashes[min(MAX_CRASHES_BEFORE_LIMIT, len(crashes)) - 1]
    sound = [
        is_rejected
        for arrived_at, is_rejected in fleet.sound_arrivals
        if arrived_at > counted_crash + 2 * CONTACT_TIMEOUT_S
    ]
    assert sound.count(False) >= MIN_SOUND_FRACTION * len(sound)
