"""Gossip rounds, and changes told between them."""

from sassafrashook.membership._messages import Gossip, RefreshesWanted
from sassafrashook.membership._rumors import Bundle

URGENT_DELAY_S = 0.05
HELD_DELAY_S = 0.25
MESSAGE_BYTES = 1_400
SMALLEST_MESSAGE_BYTES = 96
REFRESH_SHARE = 0.7  # of the budget, at most, for refreshes; changes and requests go first
LAGGING_ASKED = 64
REFRESHES_LOADED = 80


class Rounds:
    """The part of :class:`MembershipCore` that tells other nodes what is new.

    :param core: the core that it is part of.
    :param now: the current time, seconds.

    Attributes:

    :ivar round_at_: when the next round is due, seconds.
    :ivar urgent_at_: when changes are to be told before that, seconds, or ``None``.
    """

    def __init__(self, core, now):
        self.core = core
        self.round_at_ = now + core.rng.random() * core.interval_ms / 1000
        self.urgent_at_ = None

    def advance(self, now):
        """Do what has become due."""
        if self.urgent_at_ is not None and self.urgent_at_ <= now:
            self.send_urgent(now)
        if self.round_at_ <= now:
            self.run_round(now)

    def run_round(self, now):
        """Tell a few nodes the digest and what is new."""
        interval_s = self.core.interval_ms / 1000
        self.round_at_ = now + interval_s * (0.9 + 0.2 * self.core.rng.random())
        self.core.liveness_.rotate()
        self.core.directory_.set_load(len(self.core.rumors_.refreshes_) > REFRESHES_LOADED)
        refresh_limit = int(self.core.budget_bytes * REFRESH_SHARE * interval_s / self.core.fanout)
        for peer in self.core.liveness_.choose(self.core.fanout):
            self.send_gossip(peer, now, refresh_limit)
        self._ask_for_refreshes(now)

    def schedule_urgent(self, now):
        """Have changes sent soon, together with others that come meanwhile."""
        if self.urgent_at_ is None:
            self.urgent_at_ = now + URGENT_DELAY_S

    def send_urgent(self, now):
        """Tell a few nodes of changes at once, again and again until each was told enough."""
        self.urgent_at_ = None
        for peer in self.core.liveness_.choose(self.core.fanout):
            self.send_gossip(peer, now)
        if self.core.rumors_.changes_ and self.core.liveness_.states_:
            is_held = self.core.budget_.available(now) < SMALLEST_MESSAGE_BYTES
            self.urgent_at_ = now + (HELD_DELAY_S if is_held else URGENT_DELAY_S)

    def send_gossip(self, peer, now, refresh_limit=0, is_reply=False):
        """Send one node the digest and what is new.

        :param refresh_limit: bytes for refreshes.
        :param is_reply: whether the node asked for it.
        """
        available = self.core.budget_.available(now)
        if available < SMALLEST_MESSAGE_BYTES:
            self.core.count("membership_budget_held", Gossip.__name__)
            return
        bundle = Bundle(min(MESSAGE_BYTES, available), self.core.measure)
        self._fill(bundle, self.core.rumors_.changes_, now)
        reserve = int(self.core.budget_bytes * (1 - REFRESH_SHARE))
        bundle.restrict(min(refresh_limit, available - reserve))
        self._fill(bundle, self.core.rumors_.refreshes_, now)
        wants_reply = not is_reply and self.core.liveness_.wants_answer(peer, now)
        header = (*self.core.stamp(now), self.core.keys_.digest_, wants_reply)
        if self.core.send(peer, Gossip(*header, **bundle.parts_), now) and wants_reply:
            self.core.liveness_.expect(peer, now)

    def _fill(self, bundle, queue, now):
        for key in self.core.rumors_.list_next(queue):
            item = self.core.keys_.get(key)
            if item is None:
                del queue[key]
                continue
            if not bundle.add_item(item, now, by_key=True):
                return
            self.core.rumors_.count_sent(queue, key)

    def _ask_for_refreshes(self, now):
        lagging = self.core.directory_.lagging_
        if not lagging:
            return
        names = sorted(lagging)
        names = self.core.rng.sample(names, min(LAGGING_ASKED, len(names)))
        keys = [self.core.directory_.live_[name].key for name in names]
        for peer in self.core.liveness_.choose(1):
            self.core.send(peer, RefreshesWanted(*self.core.stamp(now), keys), now)
