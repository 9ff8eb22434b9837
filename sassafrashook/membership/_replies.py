"""Records that other nodes asked for or lack, sent as the budget allows."""

from dataclasses import dataclass, field

from sassafrashook.membership._messages import Records
from sassafrashook.membership._rumors import Bundle

FLUSH_DELAY_S = 0.1
RECORD_MESSAGE_BYTES = 1_400
SMALLEST_RECORDS_BYTES = 250
RESERVE_SHARE = 0.08  # of the budget, left for rounds and urgent changes
REPLY_TIMEOUT_S = 5.0
REPLIES_LIMIT = 16


@dataclass(slots=True)
class Reply:
    """Records that one node is to be sent.

    :param deadline: seconds; after it the node has to ask again.
    :param keys: keys to send, in order, each with whether the key and sequence are enough.
    """

    deadline: float
    keys: dict = field(default_factory=dict)


class ReplyQueue:
    """The part of :class:`MembershipCore` that sends records on request, in pieces.

    :param core: the core that it is part of.

    Attributes:

    :ivar flush_at_: when :meth:`flush` is due, seconds, or ``None``.
    :ivar replies_: a :class:`Reply` for each node that waits for records.
    """

    def __init__(self, core):
        self.core = core
        self.flush_at_ = None
        self.replies_ = {}

    def add(self, peer, keys, now, by_key=False):
        """Queue records for a node.

        :param by_key: whether the key and sequence are enough.
        """
        if not keys:
            return
        reply = self.replies_.get(peer)
        if reply is None:
            if len(self.replies_) >= REPLIES_LIMIT:
                self.core.count("membership_budget_held", Records.__name__)
                return
            reply = self.replies_[peer] = Reply(now + REPLY_TIMEOUT_S)
        for key in keys:
            reply.keys[key] = by_key and reply.keys.get(key, True)

    def flush(self, now):
        """Send what is queued, as far as the budget allows."""
        reserve = int(self.core.budget_bytes * RESERVE_SHARE)
        for peer in list(self.replies_):
            available = self.core.budget_.available(now) - reserve
            if available < SMALLEST_RECORDS_BYTES:
                break
            self._send(peer, min(available, RECORD_MESSAGE_BYTES), now)
        self.flush_at_ = now + FLUSH_DELAY_S if self.replies_ else None

    def _send(self, peer, limit, now):
        reply = self.replies_.pop(peer)
        if reply.deadline <= now:
            self.core.count("membership_budget_held", Records.__name__)
            return
        bundle = Bundle(limit, self.core.measure)
        for key, by_key in list(reply.keys.items()):
            item = self.core.keys_.get(key)
            if item is not None and not bundle.add_item(item, now, by_key):
                break
            del reply.keys[key]
        if bundle.parts_:
            self.core.send(peer, Records(*self.core.stamp(now), **bundle.parts_), now)
        if reply.keys:
            self.replies_[peer] = reply
