"""Tests with real controller processes: kills, pauses, lost disks and concurrent operators."""

import random
import shutil
import signal

import gevent
import pytest
from returns.pipeline import is_successful

from fakes.fleet import Fleet, FleetSize

SEED = 3
WRITES = 40


@pytest.fixture
def fleet():
    with Fleet(FleetSize(routers=1, engines=1)) as fleet:
        fleet.start_serving()
        yield fleet


def read_configuration(fleet, controllers=None):
    return fleet.send_command("GET", "/v1/configuration", controllers=controllers).unwrap().body


def change_target(fleet, waiting_ms, expected_revision, command_id=None):
    document = read_configuration(fleet)["document"]
    document["classes"][0]["waiting_ms"] = waiting_ms
    body = {"expected_revision": expected_revision, "document": document}
    return fleet.send_command("PUT", "/v1/configuration", body, command_id)


def apply_changes(fleet, count, first=1_000):
    """Apply changes one after another.

    :returns: revision and value of the last accepted change.
    """
    revision = read_configuration(fleet)["revision"]
    for number in range(count):
        response = change_target(fleet, first + number, revision).unwrap()
        assert response.status == 200, response.body
        assert response.body["revision"] > revision
        revision = response.body["revision"]
    return revision, first + count - 1


def read_target(fleet):
    configuration = read_configuration(fleet)
    return configuration["revision"], configuration["document"]["classes"][0]["waiting_ms"]


def test_controller_kills_preserve_accepted_changes(fleet):
    rng = random.Random(SEED)
    kill_task = gevent.spawn(kill_random_controllers, fleet, rng, 5)
    accepted = []
    number = 0
    while not kill_task.ready() or number < WRITES:
        number += 1
        revision = read_configuration(fleet)["revision"]
        result = change_target(fleet, 1_000 + number, revision, f"command-{number}")
        assert is_successful(result), result.failure()
        response = result.unwrap()
        assert response.status == 200, response.body
        accepted.append((response.body["revision"], 1_000 + number))
    kill_task.get()
    assert accepted == sorted(set(accepted))
    assert read_target(fleet) == accepted[-1]


def kill_random_controllers(fleet, rng, rounds):
    for _ in range(rounds):
        gevent.sleep(rng.uniform(0.2, 1.0))
        name = rng.choice(fleet.controllers)
        fleet.processes_[name].kill()
        gevent.sleep(rng.uniform(0.2, 1.0))
        fleet.start_controller(name)
        fleet.wait_until(lambda name=name: fleet.read_status(name), f"{name} answers")


def test_paused_leader_returns_no_stale_state(fleet):
    old_leader = fleet.wait_for_leader()
    others = [name for name in fleet.controllers if name != old_leader]
    fleet.processes_[old_leader].send_signal(signal.SIGSTOP)
    result = fleet.send_command("POST", "/v1/zones/muscat-a/drain", {}, controllers=others)
    revision = result.unwrap().body["revision"]
    fleet.wait_until(lambda: fleet.is_serving(fleet.routers[0]), "the router has a new owner")
    fleet.processes_[old_leader].send_signal(signal.SIGCONT)
    stale = fleet.send_command("GET", "/v1/zones", controllers=[old_leader])
    assert not is_successful(stale) or stale.unwrap().body["drained"] == ["muscat-a"]
    fleet.wait_until(
        lambda: fleet.read_status(old_leader).get("revision", 0) >= revision,
        "the old leader caught up",
    )
    zones = fleet.send_command("GET", "/v1/zones").unwrap().body
    assert zones["drained"] == ["muscat-a"]
    assert zones["revision"] >= revision


def test_second_disk_loss_after_replacement_preserves_state(fleet):
    receipt = fleet.send_order(0, "order-1", b'{"kg": 1}')
    assert receipt.status == 201
    accepted = apply_changes(fleet, 20)
    lose_disk_and_replace(fleet, "controller-3")
    lose_disk_and_replace(fleet, "controller-2")
    assert read_target(fleet) == accepted
    again = fleet.wait_until(lambda: fetch_order_response(fleet, "order-1"), "the order's record")
    assert again.body == receipt.body
    assert fleet.count_executions("order-1") == 1


def fetch_order_response(fleet, key):
    response = fleet.send_order(0, key, b'{"kg": 1}')
    return response if response.status < 300 else None


def lose_disk_and_replace(fleet, name):
    """Kill a controller, delete its data folder, restart it and replace its lost identity."""
    members = fleet.send_command("GET", "/v1/members").unwrap().body["members"]
    lost_identity = next(entry["identity"] for entry in members if entry["name"] == name)
    fleet.processes_[name].kill()
    shutil.rmtree(fleet.folder / name)
    fleet.start_controller(name)
    fleet.wait_until(lambda: replace_identity(fleet, name, lost_identity), f"{name} is replaced")


def replace_identity(fleet, name, identity):
    result = fleet.send_command("POST", f"/v1/members/{name}/replace", {"identity": identity})
    return is_successful(result) and result.unwrap().body.get("outcome") == "committed"


def test_controller_with_lost_disk_cannot_vote_before_replacement(fleet):
    """Guards against a vote by a controller that lost its disk, and with it what it voted before.

    With a second controller down, its vote would complete a majority.
    """
    name = "controller-3"
    fleet.processes_[name].kill()
    shutil.rmtree(fleet.folder / name)
    fleet.start_controller(name)
    fleet.wait_until(lambda: fleet.read_status(name), f"{name} answers")
    fleet.processes_["controller-2"].kill()
    result = fleet.send_command("POST", "/v1/zones/muscat-a/drain", {}, timeout_s=3)
    assert not is_successful(result) or result.unwrap().status >= 400
    fleet.start_controller("controller-2")
    fleet.wait_for_leader()
    assert is_successful(fleet.send_command("GET", "/v1/zones"))


def test_exactly_one_concurrent_change_of_a_revision_wins(fleet):
    revision = read_configuration(fleet)["revision"]
    tasks = [gevent.spawn(change_target, fleet, 2_000 + n, revision, f"race-{n}") for n in range(8)]
    responses = [task.get().unwrap() for task in tasks]
    winners = [response for response in responses if response.status == 200]
    assert len(winners) == 1
    assert {response.status for response in responses} == {200, 409}
    winning_revision = winners[0].body["revision"]
    assert all(response.body["revision"] == winning_revision for response in responses)
    resent = [change_target(fleet, 2_000 + n, revision, f"race-{n}").unwrap() for n in range(8)]
    assert [response.status for response in resent] == [response.status for response in responses]


def test_restart_preserves_a_thousand_changes(fleet):
    accepted = apply_changes(fleet, 1_000)
    for name in fleet.controllers:
        fleet.processes_[name].kill()
    for name in fleet.controllers:
        fleet.start_controller(name)
    fleet.wait_for_leader()
    assert read_target(fleet) == accepted
