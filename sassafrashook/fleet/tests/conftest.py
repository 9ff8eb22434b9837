"""Fixtures of the tests of the fleet state."""

import random

import pytest


@pytest.fixture
def rng():
    """Return a seeded random source."""
    return random.Random(1)
