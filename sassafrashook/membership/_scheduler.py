"""Schedules gossip rounds, and urgent messages between them."""

from sassafrashook.membership._messages import Gossip, RefreshesWanted
from sassafrashook.membership._rumors import MessageBuilder

URGENT_GOSSIP_DELAY_S = 0.05
BUDGET_RETRY_DELAY_S = 0.25
MAX_GOSSIP_BYTES = 1_400
MIN_GOSSIP_BYTES = 96
# Upper bound of the share for refreshes, because changes and requests take precedence.
REFRESH_BUDGET_FRACTION = 0.7
MAX_REFRESHES_REQUESTED = 64
REFRESH_BACKLOG_THRESHOLD = 80


class GossipScheduler:
    """Sends digests and recent changes to other nodes.

    :param core: the :class:`MembershipCore` that owns this object.
    :param now: the current time, seconds.

    Attributes:

    :ivar next_round_at_: when the next round is due, seconds.
    :ivar urgent_gossip_at_: when urgent changes are due, seconds, or ``None`` if there are none.
    """

    def __init__(self, core, now):
        self.core = core
        self.next_round_at_ = now + core.rng.random() * core.interval_ms / 1000
        self.urgent_gossip_at_ = None

    def advance(self, now):
        """Send what is due."""
        if self.urgent_gossip_at_ is not None and self.urgent_gossip_at_ <= now:
            self.send_urgent_gossip(now)
        if self.next_round_at_ <= now:
            self.run_round(now)

    def run_round(self, now):
        """Send the digest and recent changes to a few nodes, and request overdue refreshes."""
        interval_s = self.core.interval_ms / 1000
        self.next_round_at_ = now + interval_s * (0.9 + 0.2 * self.core.rng.random())
        self.core.monitor_.rotate_view()
        self.core.upstreams_.set_backlogged(
            len(self.core.rumors_.refreshes_) > REFRESH_BACKLOG_THRESHOLD
        )
        refresh_limit = int(
            self.core.budget_bytes * REFRESH_BUDGET_FRACTION * interval_s / self.core.fanout
        )
        for peer in self.core.monitor_.sample_view(self.core.fanout):
            self.send_gossip(peer, now, refresh_limit)
        self._request_refreshes(now)

    def schedule_urgent_gossip(self, now):
        """Schedule urgent changes after a short delay, so that several share a message."""
        if self.urgent_gossip_at_ is None:
            self.urgent_gossip_at_ = now + URGENT_GOSSIP_DELAY_S

    def send_urgent_gossip(self, now):
        """Send changes to a few nodes, and reschedule until each reaches its transmit limit."""
        self.urgent_gossip_at_ = None
        for peer in self.core.monitor_.sample_view(self.core.fanout):
            self.send_gossip(peer, now)
        if self.core.rumors_.changes_ and self.core.monitor_.states_:
            is_budget_exhausted = self.core.budget_.available(now) < MIN_GOSSIP_BYTES
            self.urgent_gossip_at_ = now + (
                BUDGET_RETRY_DELAY_S if is_budget_exhausted else URGENT_GOSSIP_DELAY_S
            )

    def send_gossip(self, peer, now, refresh_limit=0, is_reply=False):
        """Send the digest and recent changes to one node.

        :param refresh_limit: maximum for refreshes, bytes.
        :param is_reply: whether the node asked for a reply.
        """
        available = self.core.budget_.available(now)
        if available < MIN_GOSSIP_BYTES:
            self.core.count("membership_budget_held", Gossip.__name__)
            return
        builder = MessageBuilder(min(MAX_GOSSIP_BYTES, available), self.core.measure)
        self._add_pending(builder, self.core.rumors_.changes_, now)
        reserve = int(self.core.budget_bytes * (1 - REFRESH_BUDGET_FRACTION))
        builder.limit_remaining(min(refresh_limit, available - reserve))
        self._add_pending(builder, self.core.rumors_.refreshes_, now)
        wants_reply = not is_reply and self.core.monitor_.should_request_reply(peer, now)
        header = (*self.core.make_stamp(now), self.core.keys_.digest_, wants_reply)
        if self.core.send(peer, Gossip(*header, **builder.parts_), now) and wants_reply:
            self.core.monitor_.expect_reply(peer, now)

    def _add_pending(self, builder, queue, now):
        for key in self.core.rumors_.list_pending(queue):
            item = self.core.keys_.get(key)
            if item is None:
                del queue[key]
                continue
            if not builder.add_item(item, now, key_only=True):
                return
            self.core.rumors_.record_sent(queue, key)

    def _request_refreshes(self, now):
        overdue_ids = self.core.upstreams_.overdue_ids_
        if not overdue_ids:
            return
        upstream_ids = sorted(overdue_ids)
        upstream_ids = self.core.rng.sample(
            upstream_ids, min(MAX_REFRESHES_REQUESTED, len(upstream_ids))
        )
        keys = [self.core.upstreams_.entries_[upstream_id].key for upstream_id in upstream_ids]
        for peer in self.core.monitor_.sample_view(1):
            self.core.send(peer, RefreshesWanted(*self.core.make_stamp(now), keys), now)
