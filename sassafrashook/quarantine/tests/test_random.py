"""Randomised runs of a simulated fleet in which some requests crash upstreams.

The environment variables ``SEED`` and ``SOAK`` set the first seed and the number of runs.
"""

import os

import pytest

from sassafrashook.quarantine.tests.simulated_fleet import (
    CONTACT_TIMEOUT_S,
    RepeatedContentFleet,
    SimulatedFleet,
)

FIRST_SEED = int(os.environ.get("SEED", "0"))
RUNS = int(os.environ.get("SOAK", "12"))
MAX_CRASHES_BEFORE_LIMIT = 5
MAX_CRASHES_OF_CONTENT = 3
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
        assert count_late_poison_requests(fleet, limit_at) <= MAX_LATE_POISON_REQUESTS
    counted_crash = crashes[min(MAX_CRASHES_BEFORE_LIMIT, len(crashes)) - 1]
    assert_sound_requests_are_served(fleet, counted_crash + 2 * CONTACT_TIMEOUT_S)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_two_repeated_contents_that_crash_one_service_are_contained(seed):
    fleet = RepeatedContentFleet(seed).run()
    if len(fleet.crashed_at) < MAX_CRASHES_OF_CONTENT:
        return
    limit_at = fleet.crashed_at[MAX_CRASHES_OF_CONTENT - 1] + CONTACT_TIMEOUT_S
    assert count_late_poison_requests(fleet, limit_at) <= MAX_LATE_POISON_REQUESTS
    assert_sound_requests_are_served(fleet, limit_at + CONTACT_TIMEOUT_S)


def count_late_poison_requests(fleet, limit_at):
    """Return the largest number of requests with one content that were sent after a time."""
    return max(
        (sum(at > limit_at for at in sent_at) for sent_at in fleet.poison_sent_at.values()),
        default=0,
    )


def assert_sound_requests_are_served(fleet, since):
    """Assert that the fraction of sound requests that were not rejected since a time suffices."""
    sound = [is_rejected for arrived_at, is_rejected in fleet.sound_arrivals if arrived_at > since]
    assert sound.count(False) >= MIN_SOUND_FRACTION * len(sound)
