"""Tests of the rules for merging announcements, records and departures into one core."""

import random
from functools import reduce
from operator import or_

import msgspec
import pytest

from sassafrashook.membership import (
    MEMBERSHIP_MESSAGES,
    AnnouncementReceived,
    Count,
    Departure,
    DepartureReceived,
    Gossip,
    MembershipCore,
    MessageReceived,
    PeerDeparture,
    PeerLeft,
    PeerRecord,
    PeerRemoved,
    ProbeCompleted,
    ProbePeer,
    RecordsWanted,
    Refresh,
    RemovalReason,
    SeedsChanged,
    Send,
    UpstreamAnnounced,
    UpstreamRecord,
    UpstreamRemoved,
)
from sassafrashook.membership.tests.network import make_announcement, measure
from sassafrashook.utils import ParameterError

OWN = PeerRecord("r1", "router", "10.0.0.1", 7000, "muscat-a", "b1", 1)
OTHER = PeerRecord("r2", "router", "10.0.0.2", 7000, "muscat-a", "b1", 1)


class Node:
    """One core and the actions returned by its last event."""

    def __init__(self, **parameters):
        self.core = MembershipCore(OWN, random.Random(1), measure, **parameters)
        self.core.start(0.0)
        self.now = 0.0
        self.actions = []

    def announce(self, now, **changes):
        return self.tell(AnnouncementReceived(make_announcement(**changes)), now)

    def tell(self, event, now):
        self.now = now
        self.actions = self.core.handle(event, now)
        return self.list_refusals()

    def gossip(self, now, sent_ms=0, peer="r2", **parts):
        return self.tell(MessageReceived(peer, Gossip(1, sent_ms, 0, False, **parts)), now)

    def advance(self, until):
        self.now = until
        self.actions = []
        while self.core.next_deadline() <= until:
            self.actions += self.core.advance(self.core.next_deadline())

    def list_refusals(self):
        name = "membership_announcement_refused"
        return [a.attribute for a in self.actions if isinstance(a, Count) and a.name == name]

    def find_actions(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def map_boots(self):
        return {a.upstream_id: a.boot_id for a in self.core.upstreams(self.now)}


def test_upstream_expires_at_deadline_and_needs_newer_sequence():
    node = Node()
    node.announce(1.0, sequence=5)
    node.advance(10.99)
    assert node.map_boots() == {"engine-1": "b1"}
    node.advance(11.0)
    assert node.find_actions(UpstreamRemoved) == [
        UpstreamRemoved("engine-1", "b1", RemovalReason.EXPIRED)
    ]
    assert node.announce(12.0, sequence=5) == ["after_expiry"]
    assert node.announce(12.0, sequence=6) == []
    assert node.map_boots() == {"engine-1": "b1"}


def test_relayed_announcements_keep_remaining_validity():
    node = Node()
    record = UpstreamRecord(make_announcement(), remaining_ms=4_000)
    node.gossip(1.0, upstreams=[record])
    assert node.find_actions(UpstreamAnnounced)[0].deadline == 5.0
    key = node.core.upstreams_.entries_["engine-1"].key
    node.gossip(2.0, 1_000, refreshes=[Refresh(key, 2, 99_000)])
    assert node.find_actions(UpstreamAnnounced)[0].deadline == 12.0
    node.gossip(9.0, 5_000, refreshes=[Refresh(key, 3, 9_000)])
    assert node.find_actions(UpstreamAnnounced)[0].deadline == pytest.approx(15.0, abs=0.01)
    assert node.gossip(9.0, 8_000, upstreams=[record]) == []
    assert node.core.upstreams(9.0)[0].sequence == 3


def test_frequent_refreshes_are_ignored():
    node = Node()
    node.announce(0.0, sequence=1)
    assert node.announce(2.0, sequence=2) == ["coalesced"]
    assert node.announce(3.5, sequence=3) == []
    assert node.announce(3.6, sequence=4, cold=True) == []


@pytest.mark.parametrize("departure_kind", ["direct", "leaving", "gossip"])
def test_departure_is_final_for_boot(departure_kind):
    node = Node()
    node.announce(0.0)
    if departure_kind == "direct":
        node.tell(DepartureReceived("engine-1", "b1"), 1.0)
    elif departure_kind == "leaving":
        node.announce(1.0, sequence=2, leaving=True)
    else:
        node.gossip(1.0, departures=[Departure("engine-1", "b1", 9_000)])
    assert node.find_actions(UpstreamRemoved) == [
        UpstreamRemoved("engine-1", "b1", RemovalReason.LEFT)
    ]
    assert node.announce(2.0, sequence=99) == ["after_leave"]
    record = UpstreamRecord(make_announcement(sequence=100), 9_000)
    assert node.gossip(3.0, upstreams=[record]) == ["after_leave"]
    assert node.announce(4.0, boot="b2", incarnation=2_000) == []
    assert node.map_boots() == {"engine-1": "b2"}


def test_tombstones_are_bounded_and_expire_at_deadline():
    node = Node(retention_ms=120_000, max_upstreams=100)
    for index in range(300):
        node.tell(DepartureReceived(f"engine-{index}", "b1"), 1.0)
    assert len(node.core.keys_.items_) <= 101
    node.advance(120.9)
    assert node.announce(120.95, name="engine-299", sequence=9) == ["after_leave"]
    node.advance(121.0)
    assert len(node.core.keys_.items_) == 1


def test_restart_at_same_address_replaces_older_boot():
    node = Node()
    node.announce(0.0, sequence=7)
    assert node.announce(1.0, boot="b2", sequence=1, incarnation=2_000) == []
    assert node.map_boots() == {"engine-1": "b2"}
    assert node.announce(2.0, sequence=8) == ["older_boot"]
    node.tell(DepartureReceived("engine-1", "b2"), 3.0)
    assert node.announce(4.0, sequence=9) == ["older_boot"]
    assert node.announce(4.0, boot="b0", sequence=9, incarnation=500) == ["older_boot"]


def test_conflicting_announcements_are_refused_in_favour_of_older_boot():
    node = Node()
    node.announce(0.0)
    new_address = {"boot": "b2", "incarnation": 2_000, "port": 8_001}
    assert node.announce(1.0, sequence=9, port=8_001) == ["boot_at_two_addresses"]
    assert node.announce(1.0, **new_address) == ["id_at_two_addresses"]
    assert node.announce(1.0, name="engine-2", incarnation=2_000) == ["address_of_another"]
    assert node.map_boots() == {"engine-1": "b1"}
    node.advance(10.0)
    assert node.announce(10.0, **new_address) == []
    assert node.announce(10.0, name="engine-2", incarnation=2_000) == []
    assert node.map_boots() == {"engine-1": "b2", "engine-2": "b1"}


def test_older_conflicting_boot_displaces_newer_one():
    node = Node()
    node.announce(0.0, boot="b2", incarnation=2_000, port=8_001)
    older = UpstreamRecord(make_announcement(), 5_000)
    node.gossip(1.0, upstreams=[older])
    assert node.map_boots() == {"engine-1": "b1"}
    displaced = UpstreamRemoved("engine-1", "b2", RemovalReason.DISPLACED)
    assert node.find_actions(UpstreamRemoved) == [displaced]


def test_higher_sequence_wins_between_two_addresses_of_one_boot():
    node = Node()
    node.announce(0.0, sequence=5)
    clone = make_announcement(port=8_001, sequence=4)
    assert node.gossip(1.0, upstreams=[UpstreamRecord(clone, 5_000)]) == ["boot_at_two_addresses"]
    clone = make_announcement(port=8_001, sequence=6)
    assert node.gossip(1.0, upstreams=[UpstreamRecord(clone, 5_000)]) == []
    assert [announcement.port for announcement in node.core.upstreams(1.0)] == [8_001]
    assert node.announce(2.0, sequence=7) == ["boot_at_two_addresses"]


@pytest.mark.parametrize(
    "changes",
    [
        {"name": ""},
        {"name": "x" * 65},
        {"host": "engine.example"},
        {"port": 0},
        {"port": 65_536},
        {"sequence": -1},
        {"capacity": -1},
        {"valid_ms": 0},
        {"models": ["m"] * 33},
        {"models": ["m" * 257] * 2},
    ],
)
def test_announcements_out_of_bounds_are_refused(changes):
    node = Node()
    assert node.announce(0.0, **changes) == ["out_of_bounds"]
    record = UpstreamRecord(make_announcement(**changes), 5_000)
    assert node.gossip(0.0, upstreams=[record]) == ["out_of_bounds"]
    assert node.map_boots() == {}


def test_largest_record_fits_into_one_message():
    long_name = "x" * 64
    fields = ("service", "availability_zone", "boot", "role")
    numbers = dict.fromkeys(("sequence", "incarnation"), 2**62)
    models = ["m" * 16] * 32
    node = Node(budget_bytes=2_048)
    largest = (
        dict.fromkeys(fields, long_name) | numbers | {"models": models, "host": "f" + "::" + "1"}
    )
    assert node.announce(0.0, name=long_name, capacity=10**6, cold_capacity=10**6, **largest) == []
    key = node.core.upstreams_.entries_[long_name].key
    node.tell(MessageReceived("r2", RecordsWanted(1, 0, [key])), 0.0)
    assert node.find_actions(Send)[0].message.upstreams[0].announcement.models == models


def test_validity_and_number_of_upstreams_are_bounded():
    node = Node(max_upstreams=2)
    node.announce(0.0, name="engine-1", valid_ms=10**9)
    assert node.find_actions(UpstreamAnnounced)[0].deadline == 60.0
    node.announce(0.0, name="engine-2", port=8_001)
    assert node.announce(0.0, name="engine-3", port=8_002) == ["list_full"]


def test_messages_round_trip_through_encoding():
    decoder = msgspec.msgpack.Decoder(reduce(or_, MEMBERSHIP_MESSAGES))
    for message in (
        Gossip(1, 2, 3, True, upstreams=[UpstreamRecord(make_announcement(), 5)], peers=[OTHER]),
        PeerLeft("r2", "b1"),
    ):
        assert decoder.decode(msgspec.msgpack.encode(message)) == message


def add_other_node(node, now=0.0):
    node.tell(SeedsChanged(("r2",)), now)
    node.gossip(now, peers=[OTHER])


def test_silent_node_is_probed_before_loss_is_reported():
    node = Node()
    add_other_node(node)
    node.advance(2.0)
    assert node.find_actions(ProbePeer) == []
    node.advance(5.0)
    assert node.find_actions(ProbePeer) == [ProbePeer("r2")]
    node.tell(ProbeCompleted("r2", alive=True), 5.0)
    assert node.find_actions(PeerRemoved) == []
    node.advance(9.0)
    assert node.find_actions(ProbePeer) == [ProbePeer("r2")]
    node.tell(ProbeCompleted("r2", alive=False), 9.0)
    assert node.find_actions(PeerRemoved) == [PeerRemoved("r2", "b1", RemovalReason.LOST)]
    assert [record.name for record in node.core.peers()] == ["r1"]


def test_departed_node_is_removed_until_new_boot():
    node = Node()
    add_other_node(node)
    node.tell(MessageReceived("r2", PeerLeft("r2", "b1")), 1.0)
    assert node.find_actions(PeerRemoved) == [PeerRemoved("r2", "b1", RemovalReason.LEFT)]
    node.gossip(2.0, peers=[msgspec.structs.replace(OTHER, sequence=9)])
    assert len(node.core.peers()) == 1
    node.gossip(3.0, peers=[msgspec.structs.replace(OTHER, boot_id="b2", incarnation=2)])
    assert len(node.core.peers()) == 2


def test_node_refutes_its_loss_and_records_of_earlier_starts():
    node = Node()
    node.gossip(0.0, peer_departures=[PeerDeparture("r1", 1, "b1", 0, False, 9_000)])
    assert node.core.peers()[0].sequence == 1
    earlier = msgspec.structs.replace(OWN, boot_id="b0", incarnation=7)
    node.gossip(0.0, peers=[earlier])
    assert node.core.peers()[0].incarnation == 8
    for _ in range(20):
        incarnation = node.core.peers()[0].incarnation + 1
        node.gossip(0.0, peers=[msgspec.structs.replace(earlier, incarnation=incarnation)])
    assert node.core.peers()[0].incarnation == 22


def test_departures_out_of_bounds_are_refused():
    node = Node()
    assert node.gossip(0.0, departures=[Departure("x" * 65, "b1", 9_000)]) == ["out_of_bounds"]
    node.gossip(0.0, peer_departures=[PeerDeparture("x" * 65, 1, "b1", 0, True, 9_000)])
    assert len(node.core.keys_.items_) == 1


def test_joining_node_requests_buckets_from_several_nodes():
    node = Node()
    node.tell(SeedsChanged(tuple(f"r{index}" for index in range(2, 8))), 0.0)
    sent = node.find_actions(Send)
    assert len(sent) == 6
    assert sorted(bucket for s in sent for bucket in s.message.buckets) == list(range(32))


def test_joining_node_defers_announcements_but_not_departures():
    node = Node()
    node.tell(SeedsChanged(("r2",)), 0.0)
    node.announce(0.5, valid_ms=3_000)
    node.announce(0.5, name="engine-2", leaving=True)
    assert node.map_boots() == {}
    assert node.core.upstreams_.retired_boots_.get("engine-2", "b1").final
    node.advance(2.0)
    assert node.map_boots() == {"engine-1": "b1"}
    node.advance(3.5)
    assert node.map_boots() == {}


def test_invalid_parameter_is_named_in_error():
    core = MembershipCore(OWN, random.Random(1), measure, fanout=0)
    with pytest.raises(ParameterError, match="'fanout'.*0.*in \\[1, 16\\]"):
        core.start(0.0)
