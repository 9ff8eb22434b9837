"""Tests with real processes under load: rolling restarts, kills, and the load check itself."""

import random
import signal
import time

import pytest

from fakes.fleet import EXIT_TIMEOUT_S, Fleet, FleetSize
from fakes.load import Load, wait_for

ENGINE_OPTIONS = ["--capacity=16", "--cold-capacity=8", "--token-ms=5"]
SEED = 1


@pytest.fixture
def fleet():
    with Fleet(FleetSize(engine_options=ENGINE_OPTIONS)) as fleet:
        fleet.start_serving()
        yield fleet


def stop_and_restart(fleet, name, number):
    process = fleet.processes[name]
    process.signal(number)
    code = process.wait(time.monotonic() + EXIT_TIMEOUT_S)
    fleet.restart(name)
    return code


def test_rolling_restart_interrupts_no_request(fleet):
    load = Load(fleet, random.Random(SEED)).start()
    for name in fleet.routers:
        assert stop_and_restart(fleet, name, signal.SIGTERM) == 0
    for name in fleet.controllers:
        assert stop_and_restart(fleet, name, signal.SIGTERM) == 0
        fleet.find_leader()
        wait_for(1.0)
    load.stop()
    assert load.check() == []
    assert load.counts["whole"] > 0
    assert load.counts["cut"] == load.counts["plain_error"] == load.counts["connection_lost"] == 0
    assert [order for order in load.orders if not order.receipt] == []
    assert set(fleet.stop().values()) == {0}


def test_load_check_detects_killed_routers(fleet):
    load = Load(fleet, random.Random(SEED)).start()
    for name in fleet.routers:
        wait_for(0.5)
        stop_and_restart(fleet, name, signal.SIGKILL)
    load.stop()
    assert load.counts["cut"] + load.counts["connection_lost"] > 0
    assert load.check() == []


def test_killed_engines_lose_no_response(fleet):
    """A broken stream must be resumed at another engine or end with an explicit error."""
    load = Load(fleet, random.Random(SEED)).start()
    for index in (0, 1):
        name = fleet.engines[index]
        wait_for(1.0)
        fleet.processes[name].kill()
        wait_for(1.0)
        fleet.start_engine(name, index)
    wait_for(1.0)
    load.stop()
    assert load.check() == []
    assert load.counts["whole"] > 0
    assert load.counts["cut"] == load.counts["connection_lost"] == 0
