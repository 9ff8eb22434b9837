"""Fixtures that stop what a test has started."""

import pytest

from sassafrashook.platform.tests.isolated_fleet import RouterFleet
from sassafrashook.platform.tests.scripted_upstreams import Harness


@pytest.fixture
def start_harness():
    """Return a function that starts a gateway in front of scripted upstreams."""
    yield from _start_and_stop(Harness)


@pytest.fixture
def start_fleet():
    """Return a function that starts routers with paths of their own to common upstreams."""
    yield from _start_and_stop(RouterFleet)


def _start_and_stop(start):
    started = []

    def start_one(*arguments, **options):
        started.append(start(*arguments, **options))
        return started[-1]

    yield start_one
    for item in started:
        item.stop()
