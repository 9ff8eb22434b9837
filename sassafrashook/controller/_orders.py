"""Commits orders to the replicated log and sends each to its upstream at most once."""

from dataclasses import dataclass

import gevent
import msgspec
from returns.result import Failure, Success

from sassafrashook.controller._order_client import OrderDocument, OrderResponse, send_order
from sassafrashook.controller._service import ControllerService
from sassafrashook.state import (
    CommandOutcome,
    CompleteOrder,
    IssueOrder,
    ModelHolders,
    OrderKind,
    OrderReply,
    OrderStatus,
)
from sassafrashook.telemetry import log_event
from sassafrashook.utils import Interval

__all__ = ["OrderRequest", "OrderResult", "OrderService"]

UNLOAD_KINDS = (OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER)
RETRY_MARGIN_MS = 50
COMMIT_TIMEOUT_MS = 2_000


class OrderRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order requested by an operator.

    :param command_id: identifies the order; a repeated request uses the same id.
    :param valid_until_unix_ms: wall-clock time in milliseconds after which the order must not be
        sent; 0 for the default.
    """

    command_id: str
    kind: OrderKind
    model: str = ""
    role: str = ""
    peer: str = ""
    conversation_key: int = 0
    valid_until_unix_ms: int = 0


@dataclass(slots=True, frozen=True)
class OrderResult:
    """The result of an order.

    :param outcome: whether the order was accepted.
    :param fencing: fencing token of the accepted order, else 0.
    :param status: what is known about its execution.
    :param reason: why the order was refused, or the detail of its execution.
    :param retry_at_unix_ms: wall-clock time in milliseconds from which the order may be retried,
        or 0.
    """

    outcome: CommandOutcome
    fencing: int = 0
    status: OrderStatus = OrderStatus.REFUSED
    reason: str = ""
    retry_at_unix_ms: int = 0


class OrderService(ControllerService):
    """Commits orders to the replicated log and sends each at most once.

    The state machine refuses an order to an upstream that does not check fencing tokens until
    every earlier order to that upstream, issued by this leader or a previous one, has completed or
    can no longer arrive. The deadline and leadership are checked again after the connection is
    established and before the first byte is written.

    :param proposer: a :class:`CommandProposer`.
    :param log: a :class:`~sassafrashook.interfaces.ReplicatedLog`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param upstreams: an :class:`UpstreamDirectory`.
    :param issuer: unique identifier of this run of the controller process; only the issuer of an
        order sends it.
    :param order_timeout_ms: validity of an order for which the operator sets no deadline,
        milliseconds.
    :param send: sends one order; has the signature of :func:`send_order`.
    :param sleep: blocks for a number of seconds.

    :ivar sent_fencing_tokens_: fencing tokens of the orders that this process has tried to send;
        none of them is sent a second time.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.state.OrderJournal`, which accepts or refuses orders.

    Example::

        >>> from sassafrashook.controller import OrderService
        >>> OrderService(None, None, None, None, issuer="c").order_timeout_ms
        60000
    """

    _parameter_constraints = {"order_timeout_ms": Interval(int, 100, 3_600_000)}

    def __init__(
        self,
        proposer,
        log,
        state,
        upstreams,
        issuer,
        order_timeout_ms=60_000,
        send=send_order,
        sleep=gevent.sleep,
    ):
        self.proposer = proposer
        self.log = log
        self.state = state
        self.upstreams = upstreams
        self.issuer = issuer
        self.order_timeout_ms = order_timeout_ms
        self.send = send
        self.sleep = sleep

    def start(self):
        """Validate the parameters."""
        self.validate_parameters()
        self.sent_fencing_tokens_ = set()

    def stop(self):
        """Do nothing: orders are executed in the tasks of their callers."""

    def submit_order(self, upstream_id, request, deadline):
        """Commit an order, send it and record its completion.

        :param request: an :class:`OrderRequest`.
        :param deadline: end of the read confirmation, the proposals and the wait for earlier
            orders, monotonic seconds.
        :returns: ``Success`` of an :class:`OrderResult` or ``Failure`` of a
            :class:`~sassafrashook.interfaces.ProposalError`.
        """
        confirmed = self.log.confirm_read(deadline)
        if isinstance(confirmed, Failure):
            return confirmed
        term = self.log.get_leading_term(self.proposer.clock())
        record = self._find_record(request.command_id)
        if record is not None and _matches_request(record, upstream_id, request):
            return Success(self._send_once(record, term))
        issued = self._issue(upstream_id, request, deadline)
        if isinstance(issued, Failure):
            return issued
        reply = issued.unwrap()
        if reply.outcome != CommandOutcome.ACCEPTED:
            return Success(_build_refusal(reply))
        return Success(self._send_once(self.state.orders_.orders_[reply.fencing], term))

    def list_orders(self):
        """Return the records of the order journal, oldest first."""
        return [self.state.orders_.orders_[n] for n in sorted(self.state.orders_.orders_)]

    def _issue(self, upstream_id, request, deadline):
        """Propose the order until it is accepted or permanently refused, or the deadline passes."""
        while True:
            announcement = self._find_upstream(upstream_id)
            if announcement is None:
                return Success(OrderReply(CommandOutcome.REFUSED, 0, "unknown_upstream"))
            command = self._build_command(announcement, request)
            result = self.proposer.propose(command, deadline)
            if isinstance(result, Failure) or not result.unwrap().retry_at_unix_ms:
                return result
            delay_s = self._compute_retry_delay_s(result.unwrap())
            if self.proposer.clock() + delay_s >= deadline:
                return result
            self.sleep(delay_s)

    def _compute_retry_delay_s(self, reply):
        remaining_ms = reply.retry_at_unix_ms - self.proposer.wall_clock_ms() + RETRY_MARGIN_MS
        return max(remaining_ms, RETRY_MARGIN_MS) / 1000

    def _send_once(self, record, term):
        """Send the order unless it was sent before or another issuer is responsible for it."""
        is_sendable = (
            record.issuer == self.issuer and record.fencing not in self.sent_fencing_tokens_
        )
        if record.status != OrderStatus.ISSUED or not is_sendable:
            return _build_result(record)
        self.sent_fencing_tokens_.add(record.fencing)
        response = self._send(record, term)
        self._record_completion(record, response)
        return OrderResult(
            CommandOutcome.ACCEPTED, record.fencing, response.status, response.detail
        )

    def _send(self, record, term):
        announcement = self._find_upstream(record.upstream_id)
        if announcement is None or announcement.boot_id != record.boot_id:
            return OrderResponse(OrderStatus.REFUSED, "not sent: the upstream left")
        remaining_ms = record.deadline_ms - self.proposer.wall_clock_ms()
        if remaining_ms <= 0:
            return OrderResponse(OrderStatus.REFUSED, "not sent: deadline passed")
        send_deadline = self.proposer.clock() + remaining_ms / 1000

        def may_send():
            return self._can_send(record, term, send_deadline)

        document = _build_document(record)
        return self.send(announcement.host, announcement.port, document, remaining_ms, may_send)

    def _can_send(self, record, term, send_deadline):
        now = self.proposer.clock()
        if now >= send_deadline or self.proposer.wall_clock_ms() >= record.deadline_ms:
            return False
        return term != 0 and self.log.get_leading_term(now) == term

    def _record_completion(self, record, response):
        log_event(
            "order_ended",
            fencing=record.fencing,
            kind=record.kind,
            upstream=record.upstream_id,
            status=response.status,
            detail=response.detail,
        )
        deadline = self.proposer.clock() + COMMIT_TIMEOUT_MS / 1000
        self.proposer.propose(CompleteOrder(record.fencing, response.status), deadline)

    def _build_command(self, announcement, request):
        default_valid_until_unix_ms = self.proposer.wall_clock_ms() + self.order_timeout_ms
        return IssueOrder(
            command_id=request.command_id,
            kind=request.kind,
            upstream_id=announcement.upstream_id,
            boot_id=announcement.boot_id,
            checks_fencing=announcement.checks_fencing,
            deadline_ms=request.valid_until_unix_ms or default_valid_until_unix_ms,
            model=request.model,
            role=request.role,
            drops=self._list_models_to_unload(announcement, request),
            peer=request.peer,
            conversation_key=request.conversation_key,
            issuer=self.issuer,
        )

    def _list_models_to_unload(self, announcement, request):
        if request.kind in UNLOAD_KINDS:
            models = [request.model]
        elif request.kind == OrderKind.CHANGE_ROLE:
            models = sorted(announcement.models)
        else:
            return []
        return [ModelHolders(model, self._list_holders(model)) for model in models]

    def _list_holders(self, model):
        drained = set(self.state.get_fleet_state().drained_zones)
        return sorted(
            entry.upstream_id
            for entry in self.upstreams.list_upstreams()
            if model in entry.models
            and not entry.leaving
            and entry.availability_zone not in drained
        )

    def _find_upstream(self, upstream_id):
        for announcement in self.upstreams.list_upstreams():
            if announcement.upstream_id == upstream_id:
                return announcement
        return None

    def _find_record(self, command_id):
        for record in self.state.orders_.orders_.values():
            if record.command_id == command_id:
                return record
        return None


def _matches_request(record, upstream_id, request):
    recorded = (record.upstream_id, record.kind, record.model, record.role, record.peer)
    requested = (upstream_id, request.kind, request.model, request.role, request.peer)
    return recorded == requested and record.conversation_key == request.conversation_key


def _build_document(record):
    return OrderDocument(
        fencing=record.fencing,
        order=str(record.kind),
        model=record.model,
        deadline_ms=record.deadline_ms,
        role=record.role,
        peer=record.peer,
        conversation_key=record.conversation_key,
    )


def _build_result(record):
    return OrderResult(CommandOutcome.ACCEPTED, record.fencing, record.status)


def _build_refusal(reply):
    return OrderResult(reply.outcome, reason=reply.reason, retry_at_unix_ms=reply.retry_at_unix_ms)
