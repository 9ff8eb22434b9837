"""The journal of orders to upstreams."""

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
FINISHED = (OrderStatus.DONE, OrderStatus.REFUSED)


class OrderRecord(msgspec.Struct, array_like=True):
    """One agreed order.

    :param deadline_ms: after this it must not be sent.
    :param settle_ms: after this it can no longer reach the upstream.
    :param forget_ms: after this announcements tell its effect, and the record goes.
    :param drops: models that the upstream no longer holds once it is done.
    """

    fencing: int
    command_id: str
    kind: OrderKind
    upstream_id: str
    boot_id: str
    checks_fencing: bool
    deadline_ms: int
    settle_ms: int
    forget_ms: int
    model: str = ""
    role: str = ""
    drops: list[str] = []
    peer: str = ""
    conversation_key: int = 0
    status: OrderStatus = OrderStatus.ISSUED
    issuer: str = ""


class OrderJournal:
    """Orders with their fencing numbers, each until a stored deadline.

    While an order may still reach an upstream that ignores fencing numbers, no other order to that
    upstream is issued: a new leader so waits out every order of its predecessor.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self.fencing_ = 0
        self.orders_ = {}

    def issue(self, command, now_ms):
        """Give an order its fencing number, or refuse it.

        :param command: an :class:`~sassafrashook.state.IssueOrder`.
        :returns: an :class:`~sassafrashook.state.OrderReply`.
        """
        refusal = self._find_refusal(command, now_ms)
        if refusal is not None:
            return refusal
        self.fencing_ += 1
        assert self.fencing_ not in self.orders_, "a fencing number was used twice"
        self.orders_[self.fencing_] = self._build_record(command)
        return OrderReply(CommandOutcome.ACCEPTED, self.fencing_)

    def complete(self, command):
        """Record what became of an order; a finished order stays as it is.

        :param command: a :class:`~sassafrashook.state.CompleteOrder`.
        :returns: an :class:`~sassafrashook.state.OrderReply`.
        """
        record = self.orders_.get(command.fencing)
        if record is None:
            return OrderReply(CommandOutcome.REFUSED, command.fencing, "unknown_order")
        if record.status not in FINISHED and command.status != OrderStatus.ISSUED:
            record.status = command.status
        return OrderReply(CommandOutcome.ACCEPTED, command.fencing, str(record.status))

    def expire(self, now_ms):
        """Drop the records whose stored deadlines have passed."""
        over = [n for n, record in self.orders_.items() if record.forget_ms <= now_ms]
        for fencing in over:
            del self.orders_[fencing]

    def unsettled(self, now_ms):
        """Return the orders that may still reach their upstream, oldest first."""
        return [record for record in self.orders_.values() if _may_arrive(record, now_ms)]

    def save(self):
        """Return the journal as one row."""
        return [self.fencing_, [self.orders_[n] for n in sorted(self.orders_)]]

    def restore(self, row):
        """Replace the journal by a row from :meth:`save`."""
        self.fencing_, records = row
        converted = (msgspec.convert(record, OrderRecord) for record in records)
        self.orders_ = {record.fencing: record for record in converted}

    def _build_record(self, command):
        settle_ms = command.deadline_ms + self.limits.order_settle_ms
        return OrderRecord(
            fencing=self.fencing_,
            command_id=command.command_id,
            kind=command.kind,
            upstream_id=command.upstream_id,
            boot_id=command.boot_id,
            checks_fencing=command.checks_fencing,
            deadline_ms=command.deadline_ms,
            settle_ms=settle_ms,
            forget_ms=settle_ms + self.limits.holders_lag_ms,
            model=command.model,
            role=command.role,
            drops=sorted(entry.model for entry in command.drops),
            peer=command.peer,
            conversation_key=command.conversation_key,
            issuer=command.issuer,
        )

    def _find_refusal(self, command, now_ms):
        if len(self.orders_) >= self.limits.max_orders:
            return _refuse("too_many_orders", min(r.forget_ms for r in self.orders_.values()))
        if command.deadline_ms > now_ms + self.limits.order_horizon_ms:
            return _refuse("deadline_too_far")
        if command.kind in (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER):
            listed = [entry.model for entry in command.drops]
            if listed != [command.model]:
                return _refuse("holders_missing")
        unsettled = self.unsettled(now_ms)
        return (
            self._refuse_unfenced(command, unsettled)
            or self._refuse_last_holder(command)
            or self._refuse_load(command, unsettled)
        )

    def _refuse_unfenced(self, command, unsettled):
        if command.checks_fencing:
            return None
        blocking = [r.settle_ms for r in unsettled if r.upstream_id == command.upstream_id]
        return _refuse("order_in_flight", max(blocking)) if blocking else None

    def _refuse_last_holder(self, command):
        for entry in command.drops:
            if not self._remaining_holders(command.upstream_id, entry):
                return _refuse("last_holder")
        return None

    def _refuse_load(self, command, unsettled):
        if command.kind not in LOAD_KINDS:
            return None
        loads = [r.settle_ms for r in unsettled if r.kind in LOAD_KINDS]
        if len(loads) < self.limits.max_loads:
            return None
        return _refuse("weight_store_busy", min(loads))

    def _remaining_holders(self, upstream_id, entry: ModelHolders):
        holders = set(entry.upstream_ids) - {upstream_id}
        for fencing in sorted(self.orders_):
            record = self.orders_[fencing]
            if record.status == OrderStatus.REFUSED:
                continue
            if entry.model in record.drops:
                holders.discard(record.upstream_id)
        return holders


def _may_arrive(record, now_ms):
    return record.status not in FINISHED and record.settle_ms > now_ms


def _refuse(reason, retry_at_ms=0):
    return OrderReply(CommandOutcome.REFUSED, 0, reason, retry_at_ms)
