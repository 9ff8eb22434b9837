"""Tests of update scheduling, the replicated state, the fleet view and the load totals."""

import itertools

import msgspec

from sassafrashook.fleet import FleetState, FleetSubscriber, FleetView, Publisher
from sassafrashook.fleet._freshness import DEFAULT_APPLY_S
from sassafrashook.fleet._loads import LoadAggregator
from sassafrashook.fleet._messages import ViewChanged, ViewRequested
from sassafrashook.fleet._publisher import (
    ACKNOWLEDGE_TIMEOUT_S,
    FAILOVER_DELAY_S,
    KEEPALIVE_INTERVAL_S,
    MAX_UNACKNOWLEDGED_BYTES,
    RESEND_DELAY_S,
    ROUTER_RETENTION_S,
    StateVersions,
)
from sassafrashook.fleet._state import (
    PutConfiguration,
    SetZoneDrained,
    decode_outcome,
    encode_command,
)
from sassafrashook.registry import Registry


def make_request(boot_id="b", revision=0, version=0, drain_index=0, is_router=True):
    return ViewRequested(is_router, boot_id, revision, version, drain_index)


def test_update_is_resent_until_acknowledged():
    publisher = Publisher("b")
    publisher.handle_request("r1", make_request(revision=3), 0.0)
    current = StateVersions(4, 0, 0)
    assert [due.name for due in publisher.schedule_updates(current, 0.1)] == ["r1"]
    assert publisher.schedule_updates(current, 0.2) == []
    assert [due.name for due in publisher.schedule_updates(current, 0.2 + RESEND_DELAY_S)] == ["r1"]
    publisher.handle_request("r1", make_request(revision=4), 0.7)
    assert publisher.schedule_updates(current, 0.8) == []


def test_subscriber_receives_keepalives():
    publisher = Publisher("b")
    publisher.handle_request("r1", make_request(revision=4), 0.0)
    current = StateVersions(4, 0, 0)
    assert publisher.schedule_updates(current, 0.0)
    assert not publisher.schedule_updates(current, KEEPALIVE_INTERVAL_S / 2)
    assert publisher.schedule_updates(current, KEEPALIVE_INTERVAL_S)


def test_revision_of_earlier_boot_is_ignored():
    publisher = Publisher("b")
    publisher.handle_request("r1", make_request(boot_id="earlier", revision=900), 0.0)
    (due,) = publisher.schedule_updates(StateVersions(4, 0, 0), 0.0)
    assert due.held.revision == -1
    assert not publisher.holds_revision("r1", 1)


def send_configuration(publisher, now, version=2, **options):
    """Return the names of the routers that are sent a configuration now."""
    due = publisher.schedule_updates(StateVersions(4, version, 0), now, **options)
    return [update.name for update in due if update.with_configuration]


def acknowledge(publisher, name, now, version):
    publisher.handle_request(name, make_request(revision=4, version=version), now)


def test_secondary_controller_sends_configuration_after_failover_delay():
    first, second = Publisher("b"), Publisher("c")
    for publisher in (first, second):
        acknowledge(publisher, "r1", 0.9, 1)
        publisher.schedule_updates(StateVersions(4, 1, 0), 0.9)
    assert send_configuration(first, 1.0, is_primary=lambda name: True) == ["r1"]
    assert send_configuration(second, 1.0, is_primary=lambda name: False) == []
    acknowledge(second, "r1", 1.5, 1)
    assert send_configuration(second, 1.7, is_primary=lambda name: False) == []
    assert send_configuration(second, 1.0 + FAILOVER_DELAY_S, is_primary=lambda name: False) == [
        "r1"
    ]


def test_frequent_new_versions_do_not_postpone_failover():
    publisher = Publisher("b")
    sent = []
    for tick in range(40):
        now = 1.0 + tick * 0.05
        acknowledge(publisher, "r1", now, 1)
        if send_configuration(publisher, now, 2 + tick, is_primary=lambda name: False):
            sent.append(now)
    assert sent[0] <= 1.0 + FAILOVER_DELAY_S + 0.05


def test_unacknowledged_configuration_is_resent_after_timeout():
    publisher = Publisher("b")
    sent = []
    for tick in range(60):
        now = tick * 0.05
        acknowledge(publisher, "r1", now, 1)
        if send_configuration(publisher, now):
            sent.append(now)
    assert [round(later - earlier, 2) for earlier, later in itertools.pairwise(sent)] == [
        ACKNOWLEDGE_TIMEOUT_S
    ] * (len(sent) - 1)
    assert len(sent) == 3


def test_unacknowledged_bytes_limit_concurrent_configurations():
    publisher = Publisher("b")
    names = [f"r{number}" for number in range(16)]
    for name in names:
        acknowledge(publisher, name, 0.0, 1)
    size = MAX_UNACKNOWLEDGED_BYTES // 2
    waiting = set(names)
    for tick in range(8):
        now = 0.05 * tick
        sent = send_configuration(publisher, now, measure_configuration=lambda *_: size)
        assert len(sent) == 2
        waiting -= set(sent)
        for name in sent:
            acknowledge(publisher, name, now + 0.04, 2)
    assert not waiting


def test_absent_router_does_not_count_as_unacknowledged():
    publisher = Publisher("b")
    acknowledge(publisher, "r1", 0.0, 1)
    acknowledge(publisher, "r2", 0.0, 1)
    assert send_configuration(
        publisher, 0.1, measure_configuration=lambda *_: MAX_UNACKNOWLEDGED_BYTES
    ) == ["r1"]
    acknowledge(publisher, "r2", 0.5, 1)
    assert (
        send_configuration(
            publisher, 0.7, measure_configuration=lambda *_: MAX_UNACKNOWLEDGED_BYTES
        )
        == []
    )
    assert send_configuration(
        publisher, 0.9, measure_configuration=lambda *_: MAX_UNACKNOWLEDGED_BYTES
    ) == ["r2"]


def test_unconfigured_router_is_sent_configuration_by_any_controller():
    publisher = Publisher("b")
    publisher.handle_request("r1", make_request(), 0.0)
    assert send_configuration(publisher, 0.1, is_primary=lambda name: False) == ["r1"]


def test_controller_is_sent_no_configuration():
    publisher = Publisher("b")
    publisher.handle_request("c2", make_request(is_router=False), 0.0)
    assert not any(send_configuration(publisher, now / 10) for now in range(20))


def test_subscriber_without_requests_is_sent_nothing_and_removed():
    publisher = Publisher("b")
    publisher.handle_request("r1", make_request(), 0.0)
    assert publisher.schedule_updates(StateVersions(1, 0, 0), 10.0) == []
    assert publisher.list_routers(ROUTER_RETENTION_S - 1) == ["r1"]
    assert publisher.list_routers(ROUTER_RETENTION_S) == []


def test_restored_routers_are_listed_for_the_retention_time():
    publisher = Publisher("b")
    publisher.restore_routers(["r1", "r2"], 0.0)
    publisher.handle_request("r1", make_request(), 1.0)
    assert publisher.list_routers(2.0) == ["r1", "r2"]
    publisher.handle_request("r1", make_request(), ROUTER_RETENTION_S)
    assert publisher.list_routers(ROUTER_RETENTION_S + 0.1) == ["r1"]


def test_list_controllers_includes_non_members():
    publisher = Publisher("b")
    publisher.handle_request("r1", make_request(), 0.0)
    publisher.handle_request("c2", make_request(is_router=False), 0.0)
    assert publisher.list_controllers(0.5, 1.5) == ["c2"]
    assert publisher.list_controllers(2.0, 1.5) == []


def test_highest_version_wins_in_any_order_of_commands():
    commands = [encode_command(PutConfiguration(v, b"%d" % v, b"x")) for v in (3, 7, 5)]
    for order in itertools.permutations(commands):
        state = FleetState()
        for index, command in enumerate(order, 1):
            state.apply(index, command)
        assert (state.version_, state.document_) == (7, b"7")


def test_other_document_of_same_version_is_ignored():
    state = FleetState()
    state.apply(1, encode_command(PutConfiguration(7, b"first", b"x")))
    reply = state.apply(2, encode_command(PutConfiguration(7, b"second", b"y")))
    assert not decode_outcome(reply).changed
    assert state.document_ == b"first"


def test_snapshot_restores_state():
    state, restored = FleetState(), FleetState()
    state.apply(1, encode_command(PutConfiguration(7, b"document", b"x")))
    state.apply(2, encode_command(SetZoneDrained("z1", True)))
    state.apply(3, encode_command(SetZoneDrained("z1", True)))
    restored.restore(state.save())
    assert restored.save() == state.save()
    assert (restored.version_, restored.drained_zones_, restored.drain_index_) == (7, {"z1"}, 2)


def make_update(index, zones):
    return ViewChanged("b", 1, [], [], [], index, zones)


def test_older_drained_zones_are_ignored():
    view = FleetView(Registry(10.0))
    assert view.apply(make_update(5, ["z1"]), 0.0) == frozenset()
    assert view.apply(make_update(9, []), 0.0) == {"z1"}
    assert view.apply(make_update(5, ["z1"]), 0.0) == frozenset()
    assert view.drained_zones_ == frozenset()


def test_view_may_be_outdated_unless_a_majority_confirmed_it_as_the_newest():
    view = FleetView(Registry(10.0))
    update = make_update(0, [])
    assert view.may_be_outdated(0.0)
    view.apply(update, 0.0)
    assert view.may_be_outdated(0.0)
    update = msgspec.structs.replace(update, confirmed_at_ms=1_000)
    view.apply(update, 1.5)
    assert not view.may_be_outdated(1.5)
    assert view.may_be_outdated(1.0 + DEFAULT_APPLY_S)
    view.apply(msgspec.structs.replace(update, newest_version=7, confirmed_at_ms=2_000), 2.0)
    assert view.may_be_outdated(2.0)


def test_expired_load_reports_are_discarded():
    loads = LoadAggregator()
    loads.update_router("r1", {"a": 2}, 0.0)
    loads.update_router("r2", {"a": 3}, 1.0)
    loads.update_controller("c2", {"a": 4}, 1.0)
    assert loads.sum_others("r2", 1.2) == {"a": 6}
    assert loads.sum_others("r2", 2.0) == {"a": 4}


class RecordingMesh:
    """Mesh that records the messages sent.

    :ivar sent: list of (receiver, message).
    """

    def __init__(self):
        self.sent = []

    def update_peer_address(self, _address):
        pass

    def send(self, name, message):
        self.sent.append((name, message))


def make_empty_update(revision, base_revision, crash_revision=0, base_crash_revision=0):
    """Return an update without changes from boot "b" of a controller."""
    return ViewChanged(
        "b", revision, [], ["c1"], [], 0, [], 0, b"", crash_revision, [], base_revision,
        base_crash_revision,
    )  # fmt: skip


def test_restarted_router_does_not_acknowledge_update_meant_for_its_previous_process():
    """Such an update leaves out what the previous process had acknowledged."""
    mesh = RecordingMesh()
    view = FleetView(Registry(10.0))
    subscriber = FleetSubscriber("r1", mesh, view, 7_340, True, lambda *_: None)
    subscriber.deliver("c1", make_empty_update(40, 40, 8, 8))
    name, request = mesh.sent[-1]
    assert (name, request.revision, request.crash_revision) == ("c1", 0, 0)
    subscriber.deliver("c1", make_empty_update(40, -1, 8, -1))
    assert (mesh.sent[-1][1].revision, mesh.sent[-1][1].crash_revision) == (40, 8)
    subscriber.deliver("c1", make_empty_update(41, 40, 9, 8))
    assert (mesh.sent[-1][1].revision, mesh.sent[-1][1].crash_revision) == (41, 9)
