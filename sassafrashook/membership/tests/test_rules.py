"""Focused tests of the rules by which upstreams and nodes come and go."""

import random
from functools import reduce
from operator import or_

import msgspec
import pytest

from sassafrashook.membership import (
    MEMBERSHIP_MESSAGES,
    AnnouncementHeard,
    Count,
    Departure,
    DepartureReason,
    FromPeer,
    Gossip,
    LeaveHeard,
    MembershipCore,
    PeerDeparture,
    PeerGone,
    PeerLeft,
    PeerProbed,
    PeerRecord,
    PeersChanged,
    ProbePeer,
    RecordsWanted,
    Refresh,
    Send,
    UpstreamLeft,
    UpstreamRecord,
    UpstreamSeen,
)
from sassafrashook.membership.tests.network import make_announcement, measure
from sassafrashook.utils import ParameterError

OWN = PeerRecord("r1", "router", "10.0.0.1", 7000, "muscat-a", "b1", 1)
OTHER = PeerRecord("r2", "router", "10.0.0.2", 7000, "muscat-a", "b1", 1)


class Node:
    """One core and the actions that it asked for."""

    def __init__(self, **parameters):
        self.core = MembershipCore(OWN, random.Random(1), measure, **parameters)
        self.core.start(0.0)
        self.now = 0.0
        self.actions = []

    def hear(self, now, **changes):
        return self.tell(AnnouncementHeard(make_announcement(**changes)), now)

    def tell(self, event, now):
        self.now = now
        self.actions = self.core.handle(event, now)
        return self.refusals()

    def gossip(self, now, sent_ms=0, peer="r2", **parts):
        return self.tell(FromPeer(peer, Gossip(1, sent_ms, 0, False, **parts)), now)

    def advance(self, until):
        self.now = until
        self.actions = []
        while self.core.next_deadline() <= until:
            self.actions += self.core.advance(self.core.next_deadline())

    def refusals(self):
        name = "membership_announcement_refused"
        return [a.attribute for a in self.actions if isinstance(a, Count) and a.name == name]

    def found(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def boots(self):
        return {a.upstream_id: a.boot_id for a in self.core.upstreams(self.now)}


def test_expires_at_its_deadline_and_only_a_newer_sequence_brings_it_back():
    node = Node()
    node.hear(1.0, sequence=5)
    node.advance(10.99)
    assert node.boots() == {"engine-1": "b1"}
    node.advance(11.0)
    assert node.found(UpstreamLeft) == [UpstreamLeft("engine-1", "b1", DepartureReason.EXPIRED)]
    assert node.hear(12.0, sequence=5) == ["after_expiry"]
    assert node.hear(12.0, sequence=6) == []
    assert node.boots() == {"engine-1": "b1"}


def test_relays_carry_what_remains():
    node = Node()
    record = UpstreamRecord(make_announcement(), remaining_ms=4_000)
    node.gossip(1.0, upstreams=[record])
    assert node.found(UpstreamSeen)[0].deadline == 5.0
    key = node.core.directory_.live_["engine-1"].key
    node.gossip(2.0, 1_000, refreshes=[Refresh(key, 2, 99_000)])
    assert node.found(UpstreamSeen)[0].deadline == 12.0
    node.gossip(9.0, 5_000, refreshes=[Refresh(key, 3, 9_000)])
    assert node.found(UpstreamSeen)[0].deadline == pytest.approx(15.0, abs=0.01)
    assert node.gossip(9.0, 8_000, upstreams=[record]) == []
    assert node.core.upstreams(9.0)[0].sequence == 3


def test_frequent_refreshes_are_not_spread():
    node = Node()
    node.hear(0.0, sequence=1)
    assert node.hear(2.0, sequence=2) == ["coalesced"]
    assert node.hear(3.5, sequence=3) == []
    assert node.hear(3.6, sequence=4, cold=True) == []


@pytest.mark.parametrize("way", ["direct", "leaving", "gossip"])
def test_leaving_is_final_for_a_boot(way):
    node = Node()
    node.hear(0.0)
    if way == "direct":
        node.tell(LeaveHeard("engine-1", "b1"), 1.0)
    elif way == "leaving":
        node.hear(1.0, sequence=2, leaving=True)
    else:
        node.gossip(1.0, departures=[Departure("engine-1", "b1", 9_000)])
    assert node.found(UpstreamLeft) == [UpstreamLeft("engine-1", "b1", DepartureReason.LEFT)]
    assert node.hear(2.0, sequence=99) == ["after_leave"]
    record = UpstreamRecord(make_announcement(sequence=100), 9_000)
    assert node.gossip(3.0, upstreams=[record]) == ["after_leave"]
    assert node.hear(4.0, boot="b2", incarnation=2_000) == []
    assert node.boots() == {"engine-1": "b2"}


def test_leave_is_remembered_until_its_deadline_and_bounded():
    node = Node(memory_ms=120_000, max_upstreams=100)
    for index in range(300):
        node.tell(LeaveHeard(f"engine-{index}", "b1"), 1.0)
    assert len(node.core.keys_.items_) <= 101
    node.advance(120.9)
    assert node.hear(120.95, name="engine-299", sequence=9) == ["after_leave"]
    node.advance(121.0)
    assert len(node.core.keys_.items_) == 1


def test_restart_at_the_same_address_replaces_and_the_old_boot_stays_out():
    node = Node()
    node.hear(0.0, sequence=7)
    assert node.hear(1.0, boot="b2", sequence=1, incarnation=2_000) == []
    assert node.boots() == {"engine-1": "b2"}
    assert node.hear(2.0, sequence=8) == ["older_boot"]
    node.tell(LeaveHeard("engine-1", "b2"), 3.0)
    assert node.hear(4.0, sequence=9) == ["older_boot"]
    assert node.hear(4.0, boot="b0", sequence=9, incarnation=500) == ["older_boot"]


def test_conflicts_are_refused_and_the_older_one_stays():
    node = Node()
    node.hear(0.0)
    moved = {"boot": "b2", "incarnation": 2_000, "port": 8_001}
    assert node.hear(1.0, sequence=9, port=8_001) == ["boot_at_two_addresses"]
    assert node.hear(1.0, **moved) == ["id_at_two_addresses"]
    assert node.hear(1.0, name="engine-2", incarnation=2_000) == ["address_of_another"]
    assert node.boots() == {"engine-1": "b1"}
    node.advance(10.0)
    assert node.hear(10.0, **moved) == []
    assert node.hear(10.0, name="engine-2", incarnation=2_000) == []
    assert node.boots() == {"engine-1": "b2", "engine-2": "b1"}


def test_an_older_rival_heard_later_wins_everywhere_alike():
    node = Node()
    node.hear(0.0, boot="b2", incarnation=2_000, port=8_001)
    older = UpstreamRecord(make_announcement(), 5_000)
    node.gossip(1.0, upstreams=[older])
    assert node.boots() == {"engine-1": "b1"}
    displaced = UpstreamLeft("engine-1", "b2", DepartureReason.DISPLACED)
    assert node.found(UpstreamLeft) == [displaced]


def test_of_two_addresses_of_one_boot_the_longer_announced_wins_between_nodes():
    node = Node()
    node.hear(0.0, sequence=5)
    clone = make_announcement(port=8_001, sequence=4)
    assert node.gossip(1.0, upstreams=[UpstreamRecord(clone, 5_000)]) == ["boot_at_two_addresses"]
    clone = make_announcement(port=8_001, sequence=6)
    assert node.gossip(1.0, upstreams=[UpstreamRecord(clone, 5_000)]) == []
    assert [announcement.port for announcement in node.core.upstreams(1.0)] == [8_001]
    assert node.hear(2.0, sequence=7) == ["boot_at_two_addresses"]


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
def test_fields_out_of_bounds_are_refused(changes):
    node = Node()
    assert node.hear(0.0, **changes) == ["out_of_bounds"]
    record = UpstreamRecord(make_announcement(**changes), 5_000)
    assert node.gossip(0.0, upstreams=[record]) == ["out_of_bounds"]
    assert node.boots() == {}


def test_the_largest_record_fits_into_a_message():
    long = "x" * 64
    fields = ("service", "availability_zone", "boot", "role")
    numbers = dict.fromkeys(("sequence", "incarnation"), 2**62)
    models = ["m" * 16] * 32
    node = Node(budget_bytes=2_048)
    largest = dict.fromkeys(fields, long) | numbers | {"models": models, "host": "f" + "::" + "1"}
    assert node.hear(0.0, name=long, capacity=10**6, cold_capacity=10**6, **largest) == []
    key = node.core.directory_.live_[long].key
    node.tell(FromPeer("r2", RecordsWanted(1, 0, [key])), 0.0)
    assert node.found(Send)[0].message.upstreams[0].announcement.models == models


def test_validity_and_list_are_bounded():
    node = Node(max_upstreams=2)
    node.hear(0.0, name="engine-1", valid_ms=10**9)
    assert node.found(UpstreamSeen)[0].deadline == 60.0
    node.hear(0.0, name="engine-2", port=8_001)
    assert node.hear(0.0, name="engine-3", port=8_002) == ["list_full"]


def test_messages_survive_encoding_and_keep_to_their_types():
    decoder = msgspec.msgpack.Decoder(reduce(or_, MEMBERSHIP_MESSAGES))
    for message in (
        Gossip(1, 2, 3, True, upstreams=[UpstreamRecord(make_announcement(), 5)], peers=[OTHER]),
        PeerLeft("r2", "b1"),
    ):
        assert decoder.decode(msgspec.msgpack.encode(message)) == message


def meet_other(node, now=0.0):
    node.tell(PeersChanged(("r2",)), now)
    node.gossip(now, peers=[OTHER])


def test_silent_node_is_probed_before_it_is_called_lost():
    node = Node()
    meet_other(node)
    node.advance(2.0)
    assert node.found(ProbePeer) == []
    node.advance(5.0)
    assert node.found(ProbePeer) == [ProbePeer("r2")]
    node.tell(PeerProbed("r2", alive=True), 5.0)
    assert node.found(PeerGone) == []
    node.advance(9.0)
    assert node.found(ProbePeer) == [ProbePeer("r2")]
    node.tell(PeerProbed("r2", alive=False), 9.0)
    assert node.found(PeerGone) == [PeerGone("r2", "b1", DepartureReason.LOST)]
    assert [record.name for record in node.core.peers()] == ["r1"]


def test_node_that_left_is_dropped_and_comes_back_with_a_new_boot():
    node = Node()
    meet_other(node)
    node.tell(FromPeer("r2", PeerLeft("r2", "b1")), 1.0)
    assert node.found(PeerGone) == [PeerGone("r2", "b1", DepartureReason.LEFT)]
    node.gossip(2.0, peers=[msgspec.structs.replace(OTHER, sequence=9)])
    assert len(node.core.peers()) == 1
    node.gossip(3.0, peers=[msgspec.structs.replace(OTHER, boot_id="b2", incarnation=2)])
    assert len(node.core.peers()) == 2


def test_node_outranks_reports_of_its_loss_and_records_of_an_earlier_start():
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


def test_new_node_asks_several_for_a_share_of_the_list_each():
    node = Node()
    node.tell(PeersChanged(tuple(f"r{index}" for index in range(2, 8))), 0.0)
    sent = node.found(Send)
    assert len(sent) == 6
    assert sorted(bucket for s in sent for bucket in s.message.buckets) == list(range(32))


def test_node_that_joins_defers_announcements_but_no_departure():
    node = Node()
    node.tell(PeersChanged(("r2",)), 0.0)
    node.hear(0.5, valid_ms=3_000)
    node.hear(0.5, name="engine-2", leaving=True)
    assert node.boots() == {}
    assert node.core.directory_.memory_.get("engine-2", "b1").final
    node.advance(2.0)
    assert node.boots() == {"engine-1": "b1"}
    node.advance(3.5)
    assert node.boots() == {}


def test_parameters_are_checked_by_name():
    core = MembershipCore(OWN, random.Random(1), measure, fanout=0)
    with pytest.raises(ParameterError, match="'fanout'.*0.*in \\[1, 16\\]"):
        core.start(0.0)
