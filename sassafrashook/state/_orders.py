"""Journal of the orders to upstreams, with their fencing tokens."""

import msgspec

from sassafrashook.state._commands import (
    CommandOutcome,
    ModelHolders,
    OrderKind,
    OrderReply,
    OrderStatus,
)

__all__ = ["OrderJournal", "OrderRecord"]

LOAD_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
FINAL_STATUSES = (OrderStatus.DONE, OrderStatus.REFUSED)


class OrderRecord(msgspec.Struct, array_like=True):
    """One committed order.

    All times are wall-clock milliseconds.

    :param fencing: fencing token; increases with each order of the group.
    :param checks_fencing: whether the upstream refuses an order with an outdated fencing token.
    :param deadline_ms: when the order must no longer be sent.
    :param settled_at_ms: when the order can no longer reach the upstream.
    :param expires_at_ms: when the record is removed; by then the upstream's announcements show
        the effect of the order.
    :param drops: models that the upstream no longer holds once the order is done.
    :param peer: the other upstream of a cache export or import, or empty.
    :param issuer: boot of the controller process that sends the order; no other may send it.
    """

    fencing: int
    command_id: str
    kind: OrderKind
    upstream_id: str
    boot_id: str
    checks_fencing: bool
    deadline_ms: int
    settled_at_ms: int
    expires_at_ms: int
    model: str = ""
    role: str = ""
    drops: list[str] = []
    peer: str = ""
    conversation_key: int = 0
    status: OrderStatus = OrderStatus.ISSUED
    issuer: str = ""


class OrderJournal:
    """Orders by fencing token, each kept until a stored deadline.

    While an order may still reach an upstream that ignores fencing tokens, no other order to that
    upstream is accepted. A new leader therefore waits until the orders of its predecessor have
    settled.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    :ivar last_fencing_token_: the highest fencing token assigned.
    :ivar orders_: :class:`OrderRecord` by fencing token, oldest first.
    """

    def __init__(self, limits):
        self.limits = limits
        self.last_fencing_token_ = 0
        self.orders_ = {}

    def issue(self, command, now_ms):
        """Record an order under a new fencing token, or refuse it.

        :param command: an :class:`~sassafrashook.state.IssueOrder`.
        :param now_ms: replicated clock, in wall-clock milliseconds.
        :returns: an :class:`~sassafrashook.state.OrderReply`.
        """
        refusal = self._find_refusal(command, now_ms)
        if refusal is not None:
            return refusal
        self.last_fencing_token_ += 1
        assert self.last_fencing_token_ not in self.orders_, "a fencing token was assigned twice"
        self.orders_[self.last_fencing_token_] = self._build_record(command)
        return OrderReply(CommandOutcome.ACCEPTED, self.last_fencing_token_)

    def complete(self, command):
        """Record the outcome of an order; a final status is not changed any more.

        :param command: a :class:`~sassafrashook.state.CompleteOrder`.
        :returns: an :class:`~sassafrashook.state.OrderReply`.
        """
        record = self.orders_.get(command.fencing)
        if record is None:
            return OrderReply(CommandOutcome.REFUSED, command.fencing, "unknown_order")
        if record.status not in FINAL_STATUSES and command.status != OrderStatus.ISSUED:
            record.status = command.status
        return OrderReply(CommandOutcome.ACCEPTED, command.fencing, str(record.status))

    def expire(self, now_ms):
        """Remove the records whose stored deadlines have passed."""
        expired = [n for n, record in self.orders_.items() if record.expires_at_ms <= now_ms]
        for fencing in expired:
            del self.orders_[fencing]

    def list_unsettled(self, now_ms):
        """Return the orders that may still reach their upstream, oldest first."""
        return [record for record in self.orders_.values() if _can_reach_upstream(record, now_ms)]

    def save(self):
        """Return one row: the last fencing token and the records, sorted."""
        return [self.last_fencing_token_, [self.orders_[n] for n in sorted(self.orders_)]]

    def restore(self, row):
        """Replace the journal with a row from :meth:`save`."""
        self.last_fencing_token_, records = row
        converted = (msgspec.convert(record, OrderRecord) for record in records)
        self.orders_ = {record.fencing: record for record in converted}

    def _build_record(self, command):
        settled_at_ms = command.deadline_ms + self.limits.order_delivery_margin_ms
        return OrderRecord(
            fencing=self.last_fencing_token_,
            command_id=command.command_id,
            kind=command.kind,
            upstream_id=command.upstream_id,
            boot_id=command.boot_id,
            checks_fencing=command.checks_fencing,
            deadline_ms=command.deadline_ms,
            settled_at_ms=settled_at_ms,
            expires_at_ms=settled_at_ms + self.limits.announcement_lag_ms,
            model=command.model,
            role=command.role,
            drops=sorted(entry.model for entry in command.drops),
            peer=command.peer,
            conversation_key=command.conversation_key,
            issuer=command.issuer,
        )

    def _find_refusal(self, command, now_ms):
        if len(self.orders_) >= self.limits.max_orders:
            return _refuse("too_many_orders", min(r.expires_at_ms for r in self.orders_.values()))
        if command.deadline_ms > now_ms + self.limits.max_order_deadline_ahead_ms:
            return _refuse("deadline_too_far")
        if command.kind in (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER):
            # An unload must list exactly the model to unload in ``drops``.
            dropped_models = [entry.model for entry in command.drops]
            if dropped_models != [command.model]:
                return _refuse("holders_missing")
        unsettled = self.list_unsettled(now_ms)
        return (
            self._check_fencing(command, unsettled)
            or self._check_last_holder(command)
            or self._check_load_limit(command, unsettled)
        )

    def _check_fencing(self, command, unsettled):
        if command.checks_fencing:
            return None
        blocking = [r.settled_at_ms for r in unsettled if r.upstream_id == command.upstream_id]
        return _refuse("order_in_flight", max(blocking)) if blocking else None

    def _check_last_holder(self, command):
        for entry in command.drops:
            if not self._find_remaining_holders(command.upstream_id, entry):
                return _refuse("last_holder")
        return None

    def _check_load_limit(self, command, unsettled):
        if command.kind not in LOAD_KINDS:
            return None
        blocking = [r.settled_at_ms for r in unsettled if r.kind in LOAD_KINDS]
        if len(blocking) < self.limits.max_concurrent_loads:
            return None
        return _refuse("weight_store_busy", min(blocking))

    def _find_remaining_holders(self, upstream_id, entry: ModelHolders):
        """Return the upstreams that still hold a model after this order and the recorded ones."""
        holders = set(entry.upstream_ids) - {upstream_id}
        for fencing in sorted(self.orders_):
            record = self.orders_[fencing]
            if record.status == OrderStatus.REFUSED:
                continue
            if entry.model in record.drops:
                holders.discard(record.upstream_id)
        return holders


def _can_reach_upstream(record, now_ms):
    return record.status not in FINAL_STATUSES and record.settled_at_ms > now_ms


def _refuse(reason, retry_at_unix_ms=0):
    return OrderReply(CommandOutcome.REFUSED, 0, reason, retry_at_unix_ms)
