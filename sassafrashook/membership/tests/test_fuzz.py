"""Fuzz test: well-typed messages with arbitrary values must not violate a core's invariants."""

import os
import random

import pytest

from sassafrashook.membership import (
    AnnouncementReceived,
    BucketContents,
    BucketHashes,
    Departure,
    DepartureReceived,
    Gossip,
    MembershipCore,
    MessageReceived,
    PeerDeparture,
    PeerLeft,
    PeerRecord,
    ProbeCompleted,
    Records,
    RecordsWanted,
    Refresh,
    RefreshesWanted,
    SeedsChanged,
    Send,
    UpstreamRecord,
)
from sassafrashook.membership.tests.network import make_announcement, measure

SEEDS = range(int(os.environ.get("SOAK", "3")))
NAMES = ["", "r0", "r1", "r2", "engine-1", "x" * 70]
NUMBERS = [-(2**63), -1, 0, 1, 2, 3, 50, 10_000, 2**31, 2**62, 2**62 + 1, 2**64 - 1]
EVENTS = 2_000


class MessageGenerator:
    """Generates messages from a few names, extreme numbers and the keys of a core."""

    def __init__(self, seed, core):
        self.rng = random.Random(seed)
        self.core = core

    def number(self):
        return self.rng.choice(NUMBERS)

    def name(self):
        return self.rng.choice(NAMES)

    def key(self):
        return self.rng.choice([self.number(), *self.core.keys_.items_])

    def draw_list(self, draw):
        return [draw() for _ in range(self.rng.choice((0, 0, 1, 3, 20)))]

    def announcement(self):
        changes = {
            "host": self.rng.choice(("10.0.0.1", "10.0.0.2", "::1", "host")),
            "port": self.rng.choice((0, 1, 2, 65_535, 65_536)),
            "incarnation": self.number(),
            "valid_ms": self.number(),
            "leaving": self.rng.random() < 0.1,
            "cold": self.rng.random() < 0.5,
        }
        return make_announcement(self.name(), self.name(), self.number(), **changes)

    def upstream(self):
        return UpstreamRecord(self.announcement(), self.number())

    def refresh(self):
        return Refresh(self.key(), self.number(), self.number())

    def departure(self):
        return Departure(self.name(), self.name(), self.number())

    def peer(self):
        texts = (self.name(), "router", "10.0.0.9", 7_000, "z", self.name())
        return PeerRecord(*texts, self.number(), self.number())

    def peer_departure(self):
        left = self.rng.random() < 0.5
        numbers = (self.number(), self.number())
        return PeerDeparture(self.name(), numbers[0], self.name(), numbers[1], left, self.number())

    def parts(self):
        return {
            "upstreams": self.draw_list(self.upstream),
            "refreshes": self.draw_list(self.refresh),
            "departures": self.draw_list(self.departure),
            "peers": self.draw_list(self.peer),
            "peer_departures": self.draw_list(self.peer_departure),
        }

    def message(self):
        stamp = (self.number(), self.number())
        count = self.rng.choice((0, 7, 8, 64, 128, 256))
        return self.rng.choice(
            (
                lambda: Gossip(*stamp, self.number(), self.rng.random() < 0.5, **self.parts()),
                lambda: Records(*stamp, **self.parts()),
                lambda: BucketHashes(*stamp, [self.number() for _ in range(count)]),
                lambda: BucketContents(
                    *stamp, count, self.draw_list(self.number), self.draw_list(self.key)
                ),
                lambda: RecordsWanted(*stamp, self.draw_list(self.key)),
                lambda: RefreshesWanted(*stamp, self.draw_list(self.key)),
                lambda: PeerLeft(self.name(), self.name()),
            )
        )()

    def event(self):
        return self.rng.choices(
            (
                lambda: MessageReceived(self.name(), self.message()),
                lambda: AnnouncementReceived(self.announcement()),
                lambda: DepartureReceived(self.name(), self.name()),
                lambda: ProbeCompleted(self.name(), self.rng.random() < 0.5),
                lambda: SeedsChanged(tuple(sorted(set(self.draw_list(self.name))))),
            ),
            weights=(80, 10, 3, 5, 2),
        )[0]()


@pytest.mark.parametrize("seed", SEEDS)
def test_arbitrary_messages_preserve_invariants(seed):
    print(f"seed={seed}")
    own = PeerRecord("r1", "router", "10.0.0.1", 7_000, "z", "r1", 1)
    core = MembershipCore(own, random.Random(seed), measure, max_upstreams=4, max_peers=4)
    now, sent = 0.0, []
    actions = core.start(now)
    generator = MessageGenerator(seed, core)
    for _ in range(EVENTS):
        sent += [(now, measure(a.message)) for a in actions if isinstance(a, Send)]
        now += generator.rng.choice((0.0, 0.001, 0.1, 5.0))
        actions = core.handle(generator.event(), now)
        if core.next_deadline() <= now:
            actions += core.advance(now)
        assert len(core.upstreams_.entries_) <= 4
        assert len(core.peers_.entries_) <= 4
        assert set(core.upstreams_.ids_by_address_.values()) == set(core.upstreams_.entries_)
    for time, _ in sent:
        assert sum(size for at, size in sent if time - 1.0 < at <= time) <= 4_096
