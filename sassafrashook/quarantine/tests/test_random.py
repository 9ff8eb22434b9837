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
# Of a request that crashes the upstreams that run it, routers send ``MAX_LATE_POISON_REQUESTS`` at
# most later than the contact timeout after its content has crashed this number of upstreams.
MAX_CRASHES_OF_CONTENT = 3
MAX_LATE_POISON_REQUESTS = 3
# The same for all requests with one prompt part, from when at least two contents have crashed
# upstreams: until then the content explains the crashes as well as the part does.
MAX_CRASHES_OF_PART = 5
MIN_SOUND_FRACTION = 0.5


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_prompt_part_that_crashes_upstreams_is_contained_and_sound_requests_are_served(seed):
    fleet = SimulatedFleet(seed).run()
    crashed_at = [at for at, _ in fleet.crashes]
    if not crashed_at:
        return
    assert_each_content_is_contained(fleet)
    first_content = fleet.crashes[0][1]
    others_crashed_at = [at for at, content in fleet.crashes if content != first_content]
    if len(crashed_at) >= MAX_CRASHES_OF_PART and others_crashed_at:
        known_at = max(crashed_at[MAX_CRASHES_OF_PART - 1], others_crashed_at[0])
        assert count_late_sends(fleet, known_at) <= MAX_LATE_POISON_REQUESTS
    counted_crash = crashed_at[min(MAX_CRASHES_OF_PART, len(crashed_at)) - 1]
    assert_sound_requests_are_served(fleet, counted_crash + 2 * CONTACT_TIMEOUT_S)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_two_repeated_contents_that_crash_one_service_are_contained(seed):
    fleet = RepeatedContentFleet(seed).run()
    if len(fleet.crashes) < MAX_CRASHES_OF_CONTENT:
        return
    assert_each_content_is_contained(fleet)
    since = fleet.crashes[MAX_CRASHES_OF_CONTENT - 1][0] + 2 * CONTACT_TIMEOUT_S
    assert_sound_requests_are_served(fleet, since)


def assert_each_content_is_contained(fleet):
    """Assert that no content is sent again too often after it has crashed several upstreams."""
    for content in {content for _, content in fleet.crashes}:
        crashed_at = [at for at, other in fleet.crashes if other == content]
        if len(crashed_at) >= MAX_CRASHES_OF_CONTENT:
            known_at = crashed_at[MAX_CRASHES_OF_CONTENT - 1]
            assert count_late_sends(fleet, known_at, content) <= MAX_LATE_POISON_REQUESTS


def count_late_sends(fleet, known_at, content=None):
    """Return how many poison requests were sent later than the contact timeout after a time.

    :param content: trait of the content whose requests are counted, ``None`` for all.
    """
    limit_at = known_at + CONTACT_TIMEOUT_S
    return sum(at > limit_at and content in (None, other) for at, other in fleet.poison_sends)


def assert_sound_requests_are_served(fleet, since):
    """Assert that the fraction of sound requests that were not rejected since a time suffices."""
    sound = [is_rejected for arrived_at, is_rejected in fleet.sound_arrivals if arrived_at > since]
    assert sound.count(False) >= MIN_SOUND_FRACTION * len(sound)
