"""Real controllers: killed, frozen, with lost disks, and with racing operators."""

import random
import shutil
import signal

import gevent
import pytest
from returns.pipeline import is_successful

from fakes.fleet import Fleet, Sizes

SEED = 3
WRITES = 40


@pytest.fixture
def fleet():
    with Fleet(Sizes(routers=1, engines=1)) as fleet:
        fleet.start_serving()
        yield fleet


def read_configuration(fleet, controllers=None):
    return fleet.command("GET", "/v1/configuration", controllers=controllers).unwrap().body


def change_target(fleet, waiting_ms, expected_revision, command_id=None):
    document = read_configuration(fleet)["document"]
    document["classes"][0]["waiting_ms"] = waiting_ms
    body = {"expected_revision": expected_revision, "document": document}
    return fleet.command("PUT", "/v1/configuration", body, command_id)


def apply_changes(fleet, count, first=1_000):
    """Apply changes one after another; return the last accepted revision and value."""
    revision = read_configuration(fleet)["revision"]
    for number in range(count):
        answer = change_target(fleet, first + number, revision).unwrap()
        assert answer.status == 200, answer.body
        assert answer.body["revision"] > revision
        revision = answer.body["revision"]
    return revision, first + count - 1


def read_target(fleet):
    configuration = read_configuration(fleet)
    return configuration["revision"], configuration["document"]["classes"][0]["waiting_ms"]


def test_kills_during_writes_lose_nothing_accepted(fleet):
    rng = random.Random(SEED)
    killer = gevent.spawn(kill_in_turn, fleet, rng, 5)
    accepted = []
    number = 0
    while not killer.ready() or number < WRITES:
        number += 1
        revision = read_configuration(fleet)["revision"]
        result = change_target(fleet, 1_000 + number, revision, f"command-{number}")
        assert is_successful(result), result.failure()
        answer = result.unwrap()
        assert answer.status == 200, answer.body
        accepted.append((answer.body["revision"], 1_000 + number))
    killer.get()
    assert accepted == sorted(set(accepted))
    assert read_target(fleet) == accepted[-1]


def kill_in_turn(fleet, rng, rounds):
    for _ in range(rounds):
        gevent.sleep(rng.uniform(0.2, 1.0))
        name = rng.choice(fleet.controllers)
        fleet.processes[name].kill()
        gevent.sleep(rng.uniform(0.2, 1.0))
        fleet.start_controller(name)
        fleet.wait_until(lambda name=name: fleet.read_status(name), f"{name} answers")


def test_frozen_leader_neither_answers_nor_reverts(fleet):
    old = fleet.find_leader()
    others = [name for name in fleet.controllers if name != old]
    fleet.processes[old].signal(signal.SIGSTOP)
    result = fleet.command("POST", "/v1/zones/muscat-a/drain", {}, controllers=others)
    revision = result.unwrap().body["revision"]
    fleet.wait_until(lambda: fleet.is_serving(fleet.routers[0]), "the router has a new owner")
    fleet.processes[old].signal(signal.SIGCONT)
    stale = fleet.command("GET", "/v1/zones", controllers=[old])
    assert not is_successful(stale) or stale.unwrap().body["drained"] == ["muscat-a"]
    fleet.wait_until(
        lambda: fleet.read_status(old).get("revision", 0) >= revision, "the old leader caught up"
    )
    zones = fleet.command("GET", "/v1/zones").unwrap().body
    assert zones["drained"] == ["muscat-a"]
    assert zones["revision"] >= revision


def test_second_loss_after_a_repair_loses_nothing(fleet):
    receipt = fleet.order(0, "order-1", b'{"kg": 1}')
    assert receipt.status == 201
    accepted = apply_changes(fleet, 20)
    lose_and_replace(fleet, "controller-3")
    lose_and_replace(fleet, "controller-2")
    assert read_target(fleet) == accepted
    again = fleet.wait_until(lambda: find_answer(fleet, "order-1"), "the order's record")
    assert again.body == receipt.body
    assert fleet.count_executions("order-1") == 1


def find_answer(fleet, key):
    answer = fleet.order(0, key, b'{"kg": 1}')
    return answer if answer.status < 300 else None


def lose_and_replace(fleet, name):
    """Kill a controller, delete its data folder, start it again and replace its identity."""
    members = fleet.command("GET", "/v1/members").unwrap().body["members"]
    lost = next(entry["identity"] for entry in members if entry["name"] == name)
    fleet.processes[name].kill()
    shutil.rmtree(fleet.folder / name)
    fleet.start_controller(name)
    fleet.wait_until(lambda: replace(fleet, name, lost), f"{name} is replaced")


def replace(fleet, name, identity):
    result = fleet.command("POST", f"/v1/members/{name}/replace", {"identity": identity})
    return is_successful(result) and result.unwrap().body.get("outcome") == "committed"


def test_lost_disk_does_not_vote_before_it_is_replaced(fleet):
    """With one controller's disk lost and another one down, nothing can be accepted."""
    name = "controller-3"
    fleet.processes[name].kill()
    shutil.rmtree(fleet.folder / name)
    fleet.start_controller(name)
    fleet.wait_until(lambda: fleet.read_status(name), f"{name} answers")
    fleet.processes["controller-2"].kill()
    result = fleet.command("POST", "/v1/zones/muscat-a/drain", {}, timeout_s=3)
    assert not is_successful(result) or result.unwrap().status >= 400
    fleet.start_controller("controller-2")
    fleet.find_leader()
    assert is_successful(fleet.command("GET", "/v1/zones"))


def test_racing_operators_with_one_revision_one_wins(fleet):
    revision = read_configuration(fleet)["revision"]
    racers = [
        gevent.spawn(change_target, fleet, 2_000 + n, revision, f"race-{n}") for n in range(8)
    ]
    answers = [racer.get().unwrap() for racer in racers]
    winners = [answer for answer in answers if answer.status == 200]
    assert len(winners) == 1
    assert {answer.status for answer in answers} == {200, 409}
    won = winners[0].body["revision"]
    assert all(answer.body["revision"] == won for answer in answers)
    resent = [change_target(fleet, 2_000 + n, revision, f"race-{n}").unwrap() for n in range(8)]
    assert [answer.status for answer in resent] == [answer.status for answer in answers]


def test_restart_after_a_thousand_changes_keeps_them(fleet):
    accepted = apply_changes(fleet, 1_000)
    for name in fleet.controllers:
        fleet.processes[name].kill()
    for name in fleet.controllers:
        fleet.start_controller(name)
    fleet.find_leader()
    assert read_target(fleet) == accepted
