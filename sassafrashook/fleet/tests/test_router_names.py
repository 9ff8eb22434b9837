"""Tests of the list of routers, sent as changes and merged over controllers."""

import random

import msgspec
import pytest

from sassafrashook.fleet._messages import ViewChanged, ViewRequested
from sassafrashook.fleet._router_names import (
    LIST_VALID_S,
    MAX_REMEMBERED_DEPARTURES,
    RouterNameHistory,
    RouterNameLists,
)
from sassafrashook.fleet.tests.simulated_fleet import SimulatedFleet


def make_update(boot_id, history, held):
    """Return an update for a node that holds a revision of a controller's list."""
    changes = history.list_changes(held)
    joined, left = changes or ([], [])
    return ViewChanged(
        boot_id, 1, [], [], list(history.names_) if changes is None else [], 0, [],
        routers_revision=history.revision_, base_routers_revision=held, joined_routers=joined,
        left_routers=left,
    )  # fmt: skip


@pytest.mark.parametrize("seed", range(20))
def test_node_holds_the_list_whatever_updates_are_lost_or_late(seed):
    rng = random.Random(seed)
    history, lists = RouterNameHistory(), RouterNameLists()
    names = [f"r{n}" for n in range(30)]
    late = []
    for step in range(200):
        history.update(rng.sample(names, rng.randrange(1, 30)) if rng.random() < 0.5 else names)
        late.append(make_update("b", history, lists.get_revision("b")))
        if rng.random() < 0.5:
            lists.apply(late.pop(rng.randrange(len(late))), step * 0.01)
    lists.apply(make_update("b", history, lists.get_revision("b")), 3.0)
    assert lists.names_ == history.names_


def test_router_counts_while_any_controller_lists_it():
    lists, first, second = RouterNameLists(), RouterNameHistory(), RouterNameHistory()
    first.update(["r1", "r2"])
    second.update(["r1"])
    lists.apply(make_update("a", first, 0), 0.0)
    lists.apply(make_update("b", second, 0), 0.0)
    assert lists.names_ == ("r1", "r2")
    lists.apply(make_update("b", second, 1), LIST_VALID_S)
    assert lists.names_ == ("r1",)


def test_last_list_is_kept_without_controllers():
    lists, history = RouterNameLists(), RouterNameHistory()
    history.update(["r1", "r2"])
    lists.apply(make_update("a", history, 0), 0.0)
    lists.apply(ViewChanged("b", 1, [], [], [], 0, []), LIST_VALID_S / 2)
    assert lists.names_ == ("r1", "r2")


def test_whole_list_is_sent_once_changes_are_forgotten():
    history = RouterNameHistory()
    for number in range(MAX_REMEMBERED_DEPARTURES + 3):
        history.update([f"r{number}"])
    assert history.list_changes(1) is None
    assert history.list_changes(history.revision_) == ([], [])


def test_node_of_an_older_build_is_sent_the_whole_list_in_each_update(monkeypatch):
    """Its requests do not state a revision of the list."""
    fleet = SimulatedFleet(monkeypatch, 3)
    fleet.run_until(2.0)
    older = msgspec.msgpack.decode(
        msgspec.msgpack.encode(["ViewRequested", True, "", 0, 0, 0, 0, True]), type=ViewRequested
    )
    fleet.controllers["c0"].publisher_.handle_request("r0", older, fleet.now)
    fleet.meshes["c0"].sent.clear()
    sent = []
    fleet.meshes["c0"].send = lambda name, message: sent.append((name, message))
    fleet.controllers["c0"].send_due_updates(fleet.now + 1.0)
    (update,) = [message for name, message in sent if name == "r0"]
    assert list(update.routers) == ["r0", "r1", "r2"]
