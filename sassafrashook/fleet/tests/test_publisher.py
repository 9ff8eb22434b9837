"""What followers are sent, and the state that the controllers agree on."""

import itertools

from sassafrashook.fleet import AgreedState, FleetView, Publisher
from sassafrashook.fleet._loads import LoadBoard
from sassafrashook.fleet._messages import ViewChanged, ViewRequested
from sassafrashook.fleet._publisher import (
    CONFIRM_S,
    KEEPALIVE_S,
    RESEND_S,
    ROUTER_MEMORY_S,
    STAND_IN_S,
    WINDOW_BYTES,
    Position,
)
from sassafrashook.fleet._state import (
    PutConfiguration,
    SetZoneDrained,
    decode_outcome,
    encode_command,
)
from sassafrashook.registry import Registry


def request(boot="b", revision=0, version=0, drain=0, is_router=True):
    return ViewRequested(is_router, boot, revision, version, drain)


def test_a_change_is_sent_once_and_again_until_it_is_acknowledged():
    publisher = Publisher("b")
    publisher.note_request("r1", request(revision=3), 0.0)
    current = Position(4, 0, 0)
    assert [name for name, *_ in publisher.list_due(current, 0.1)] == ["r1"]
    assert publisher.list_due(current, 0.2) == []
    assert [name for name, *_ in publisher.list_due(current, 0.2 + RESEND_S)] == ["r1"]
    publisher.note_request("r1", request(revision=4), 0.7)
    assert publisher.list_due(current, 0.8) == []


def test_a_follower_hears_regularly():
    publisher = Publisher("b")
    publisher.note_request("r1", request(revision=4), 0.0)
    current = Position(4, 0, 0)
    assert publisher.list_due(current, 0.0)
    assert not publisher.list_due(current, KEEPALIVE_S / 2)
    assert publisher.list_due(current, KEEPALIVE_S)


def test_revisions_of_an_earlier_start_do_not_count():
    publisher = Publisher("b")
    publisher.note_request("r1", request(boot="earlier", revision=900), 0.0)
    ((_, held, _),) = publisher.list_due(Position(4, 0, 0), 0.0)
    assert held.revision == -1
    assert not publisher.has_reached("r1", 1)


def send_configuration(publisher, now, version=2, **options):
    """Return the names of the routers that are sent the configuration now."""
    due = publisher.list_due(Position(4, version, 0), now, **options)
    return [name for name, _, with_configuration in due if with_configuration]


def confirm(publisher, name, now, version):
    publisher.note_request(name, request(revision=4, version=version), now)


def test_a_configuration_comes_from_one_controller_unless_that_fails():
    first, second = Publisher("b"), Publisher("c")
    for publisher in (first, second):
        confirm(publisher, "r1", 0.9, 1)
        publisher.list_due(Position(4, 1, 0), 0.9)
    assert send_configuration(first, 1.0, is_first=lambda name: True) == ["r1"]
    assert send_configuration(second, 1.0, is_first=lambda name: False) == []
    confirm(second, "r1", 1.5, 1)
    assert send_configuration(second, 1.7, is_first=lambda name: False) == []
    assert send_configuration(second, 1.0 + STAND_IN_S, is_first=lambda name: False) == ["r1"]


def test_another_controller_stands_in_while_configurations_come_in_quick_succession():
    publisher = Publisher("b")
    sent = []
    for tick in range(40):
        now = 1.0 + tick * 0.05
        confirm(publisher, "r1", now, 1)
        if send_configuration(publisher, now, 2 + tick, is_first=lambda name: False):
            sent.append(now)
    assert sent[0] <= 1.0 + STAND_IN_S + 0.05


def test_an_unconfirmed_configuration_is_sent_again_after_a_while():
    publisher = Publisher("b")
    sent = []
    for tick in range(60):
        now = tick * 0.05
        confirm(publisher, "r1", now, 1)
        if send_configuration(publisher, now):
            sent.append(now)
    assert [round(later - earlier, 2) for earlier, later in itertools.pairwise(sent)] == [
        CONFIRM_S
    ] * (len(sent) - 1)
    assert len(sent) == 3


def test_a_large_configuration_is_sent_to_few_routers_at_once():
    publisher = Publisher("b")
    names = [f"r{number}" for number in range(16)]
    for name in names:
        confirm(publisher, name, 0.0, 1)
    size = WINDOW_BYTES // 2
    waiting = set(names)
    for tick in range(8):
        now = 0.05 * tick
        sent = send_configuration(publisher, now, configuration_bytes=size)
        assert len(sent) == 2
        waiting -= set(sent)
        for name in sent:
            confirm(publisher, name, now + 0.04, 2)
    assert not waiting


def test_routers_that_are_gone_hold_no_place():
    publisher = Publisher("b")
    confirm(publisher, "r1", 0.0, 1)
    confirm(publisher, "r2", 0.0, 1)
    assert send_configuration(publisher, 0.1, configuration_bytes=WINDOW_BYTES) == ["r1"]
    confirm(publisher, "r2", 0.5, 1)
    assert send_configuration(publisher, 0.7, configuration_bytes=WINDOW_BYTES) == []
    assert send_configuration(publisher, 0.9, configuration_bytes=WINDOW_BYTES) == ["r2"]


def test_a_router_without_a_configuration_gets_it_from_any_controller():
    publisher = Publisher("b")
    publisher.note_request("r1", request(), 0.0)
    assert send_configuration(publisher, 0.1, is_first=lambda name: False) == ["r1"]


def test_controllers_are_sent_no_configuration():
    publisher = Publisher("b")
    publisher.note_request("c2", request(is_router=False), 0.0)
    assert not any(send_configuration(publisher, now / 10) for now in range(20))


def test_followers_that_ask_no_more_are_sent_nothing():
    publisher = Publisher("b")
    publisher.note_request("r1", request(), 0.0)
    assert publisher.list_due(Position(1, 0, 0), 10.0) == []
    assert publisher.list_routers(ROUTER_MEMORY_S - 1) == ["r1"]
    assert publisher.list_routers(ROUTER_MEMORY_S) == []


def test_recalled_routers_share_until_they_are_heard_or_gone():
    publisher = Publisher("b")
    publisher.recall_routers(["r1", "r2"], 0.0)
    publisher.note_request("r1", request(), 1.0)
    assert publisher.list_routers(2.0) == ["r1", "r2"]
    publisher.note_request("r1", request(), ROUTER_MEMORY_S)
    assert publisher.list_routers(ROUTER_MEMORY_S + 0.1) == ["r1"]


def test_controllers_that_are_no_members_yet_count_as_controllers():
    publisher = Publisher("b")
    publisher.note_request("r1", request(), 0.0)
    publisher.note_request("c2", request(is_router=False), 0.0)
    assert publisher.list_controllers(0.5, 1.5) == ["c2"]
    assert publisher.list_controllers(2.0, 1.5) == []


def test_the_highest_version_is_in_force_in_any_order():
    commands = [encode_command(PutConfiguration(v, b"%d" % v, b"x")) for v in (3, 7, 5)]
    for order in itertools.permutations(commands):
        state = AgreedState()
        for index, command in enumerate(order, 1):
            state.apply(index, command)
        assert (state.version_, state.document_) == (7, b"7")


def test_other_content_under_a_held_version_changes_nothing():
    state = AgreedState()
    state.apply(1, encode_command(PutConfiguration(7, b"first", b"x")))
    reply = state.apply(2, encode_command(PutConfiguration(7, b"second", b"y")))
    assert not decode_outcome(reply).changed
    assert state.document_ == b"first"


def test_the_state_survives_a_snapshot():
    state, other = AgreedState(), AgreedState()
    state.apply(1, encode_command(PutConfiguration(7, b"document", b"x")))
    state.apply(2, encode_command(SetZoneDrained("z1", True)))
    state.apply(3, encode_command(SetZoneDrained("z1", True)))
    other.restore(state.save())
    assert other.save() == state.save()
    assert (other.version_, other.drained_zones_, other.drain_index_) == (7, {"z1"}, 2)


def change(index, zones):
    return ViewChanged("b", 1, [], [], [], index, zones)


def test_an_older_word_on_drained_zones_changes_nothing():
    view = FleetView(Registry(10.0))
    assert view.take(change(5, ["z1"]), 0.0) == frozenset()
    assert view.take(change(9, []), 0.0) == {"z1"}
    assert view.take(change(5, ["z1"]), 0.0) == frozenset()
    assert view.drained_zones_ == frozenset()


def test_loads_of_a_silent_router_are_forgotten():
    board = LoadBoard()
    board.note_router("r1", {"a": 2}, 0.0)
    board.note_router("r2", {"a": 3}, 1.0)
    board.note_controller("c2", {"a": 4}, 1.0)
    assert board.list_others("r2", 1.2) == {"a": 6}
    assert board.list_others("r2", 2.0) == {"a": 4}
