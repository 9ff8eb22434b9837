"""Queues records for the nodes that lack them, and sends them within the byte budget."""

from dataclasses import dataclass, field

from sassafrashook.membership._messages import Records
from sassafrashook.membership._rumors import MessageBuilder

FLUSH_INTERVAL_S = 0.1
MAX_RECORDS_BYTES = 1_400
MIN_RECORDS_BYTES = 250
RESERVE_FRACTION = 0.08  # of the budget, kept free for gossip rounds and urgent changes
REPLY_TIMEOUT_S = 5.0
MAX_PENDING_REPLIES = 16


@dataclass(slots=True)
class PendingReply:
    """Records to be sent to one node.

    :param deadline: when the reply is abandoned and the node has to ask again, seconds.
    :param keys: keys to send, in order, each with whether to send only the key and the sequence.
    """

    deadline: float
    keys: dict = field(default_factory=dict)


class ReplyQueue:
    """Sends queued records in several messages of bounded size.

    :param core: the :class:`MembershipCore` that owns this object.

    Attributes:

    :ivar flush_at_: when :meth:`flush` is due, seconds, or ``None``.
    :ivar replies_: a :class:`PendingReply` for each node that is waiting for records, by name.
    """

    def __init__(self, core):
        self.core = core
        self.flush_at_ = None
        self.replies_ = {}

    def add(self, peer, keys, now, key_only=False):
        """Queue records for a node.

        :param keys: keys of the records.
        :param key_only: whether to send only the key and the sequence of each record.
        """
        if not keys:
            return
        reply = self.replies_.get(peer)
        if reply is None:
            if len(self.replies_) >= MAX_PENDING_REPLIES:
                self.core.count("membership_budget_held", Records.__name__)
                return
            reply = self.replies_[peer] = PendingReply(now + REPLY_TIMEOUT_S)
        for key in keys:
            reply.keys[key] = key_only and reply.keys.get(key, True)

    def flush(self, now):
        """Send as many queued records as the budget allows."""
        reserve = int(self.core.budget_bytes * RESERVE_FRACTION)
        for peer in list(self.replies_):
            available = self.core.budget_.available(now) - reserve
            if available < MIN_RECORDS_BYTES:
                break
            self._send(peer, min(available, MAX_RECORDS_BYTES), now)
        self.flush_at_ = now + FLUSH_INTERVAL_S if self.replies_ else None

    def _send(self, peer, limit, now):
        reply = self.replies_.pop(peer)
        if reply.deadline <= now:
            self.core.count("membership_budget_held", Records.__name__)
            return
        builder = MessageBuilder(limit, self.core.measure)
        for key, key_only in list(reply.keys.items()):
            item = self.core.keys_.get(key)
            if item is not None and not builder.add_item(item, now, key_only):
                break
            del reply.keys[key]
        if builder.parts_:
            self.core.send(peer, Records(*self.core.make_stamp(now), **builder.parts_), now)
        if reply.keys:
            self.replies_[peer] = reply
