"""Tests with real processes under load: rolling restarts, kills, and the load generator itself."""

import random
import signal
import time

import pytest

from fakes.fleet import EXIT_TIMEOUT_S, Fleet, FleetSize
from fakes.load import LoadGenerator, sleep

ENGINE_OPTIONS = ["--capacity=16", "--cold-capacity=8", "--token-ms=5"]
SEED = 1


@pytest.fixture
def fleet():
    with Fleet(FleetSize(engine_options=ENGINE_OPTIONS)) as fleet:
        fleet.start_serving()
        yield fleet


def stop_and_restart(fleet, name, number):
    process = fleet.processes_[name]
    process.send_signal(number)
    code = process.wait(time.monotonic() + EXIT_TIMEOUT_S)
    fleet.restart(name)
    return code


def test_rolling_restart_interrupts_no_request(fleet):
    load = LoadGenerator(fleet, random.Random(SEED)).start()
    for name in fleet.routers:
        assert stop_and_restart(fleet, name, signal.SIGTERM) == 0
    for name in fleet.controllers:
        assert stop_and_restart(fleet, name, signal.SIGTERM) == 0
        fleet.wait_for_leader()
        sleep(1.0)
    load.stop()
    assert load.find_violations() == []
    assert load.counts_["complete"] > 0
    assert (
        load.counts_["cut"] == load.counts_["error_event"] == load.counts_["connection_lost"] == 0
    )
    assert [order for order in load.orders_ if not order.receipt] == []
    assert set(fleet.stop().values()) == {0}


def test_load_generator_detects_killed_routers(fleet):
    load = LoadGenerator(fleet, random.Random(SEED)).start()
    for name in fleet.routers:
        sleep(0.5)
        stop_and_restart(fleet, name, signal.SIGKILL)
    load.stop()
    assert load.counts_["cut"] + load.counts_["connection_lost"] > 0
    assert load.find_violations() == []


def test_streams_of_killed_engines_resume_or_end_with_error(fleet):
    """A broken stream must be resumed at another engine or end with an explicit error."""
    load = LoadGenerator(fleet, random.Random(SEED)).start()
    for index in (0, 1):
        name = fleet.engines[index]
        sleep(1.0)
        fleet.processes_[name].kill()
        sleep(1.0)
        fleet.start_engine(name, index)
    sleep(1.0)
    load.stop()
    assert load.find_violations() == []
    assert load.counts_["complete"] > 0
    assert load.counts_["cut"] == load.counts_["connection_lost"] == 0
