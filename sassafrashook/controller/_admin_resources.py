"""HTTP resources of the operator interface."""

import msgspec
from returns.result import Failure

from sassafrashook.controller._admin_documents import ApplyRequest, ChangeResponse, ZoneRequest
from sassafrashook.controller._admin_errors import (
    convert_problem,
    convert_proposal_error,
    write_json,
)
from sassafrashook.controller._documents import check_configuration, convert_document
from sassafrashook.controller._orders import OrderRequest
from sassafrashook.interfaces import ProposalError, ProposalErrorReason
from sassafrashook.outcomes import Verdict
from sassafrashook.state import ApplyConfiguration, CommandOutcome, OrderStatus, SetZone

__all__ = [
    "ConfigurationResource",
    "MemberResource",
    "MembersResource",
    "OrdersResource",
    "StatusResource",
    "UpstreamsResource",
    "ZoneResource",
    "ZonesResource",
]

OUTCOME_NAMES = {
    CommandOutcome.ACCEPTED: "committed",
    CommandOutcome.CONFLICT: "conflict",
    CommandOutcome.REFUSED: "refused",
}
OUTCOME_STATUS = {
    CommandOutcome.ACCEPTED: 200,
    CommandOutcome.CONFLICT: 409,
    CommandOutcome.REFUSED: 422,
}
ORDER_VERDICTS = {
    OrderStatus.DONE: Verdict.RAN,
    OrderStatus.ISSUED: Verdict.MAY_HAVE_RUN,
    OrderStatus.REFUSED: Verdict.NOT_RUN,
    OrderStatus.UNKNOWN: Verdict.MAY_HAVE_RUN,
}


class _Resource:
    """Base class of the resources.

    :param application: the :class:`AdminApplication`.
    """

    def __init__(self, application):
        self.application = application

    def read_document(self, request, document_type):
        """Read and validate the body of a request."""
        value = self.application.read_body(request)
        return _unwrap_document(convert_document(value, document_type))

    def confirm_read(self):
        """Wait until everything committed before this call is applied to the local state."""
        deadline = self.application.compute_deadline()
        confirmation = self.application.log.confirm_read(deadline)
        if isinstance(confirmation, Failure):
            raise convert_proposal_error(confirmation.failure())

    def require_leader(self):
        """Raise an error that names the leader unless this controller is confirmed to lead."""
        log = self.application.log
        if log.get_leading_term(self.application.clock()) == 0:
            error = ProposalError(ProposalErrorReason.NOT_LEADER, log.get_leader())
            raise convert_proposal_error(error)

    def commit_change(self, command, wait_ms, response):
        """Commit an operator's change and respond with its outcome."""
        application = self.application
        result = application.proposer.propose(command, application.compute_deadline())
        if isinstance(result, Failure):
            raise convert_proposal_error(result.failure())
        reply = result.unwrap()
        rollout = None
        if wait_ms and reply.outcome == CommandOutcome.ACCEPTED:
            deadline = application.clock() + wait_ms / 1000
            rollout = application.configuration.wait_until_in_force(reply.revision, deadline)
        verdict = Verdict.RAN if reply.outcome == CommandOutcome.ACCEPTED else Verdict.NOT_RUN
        content = ChangeResponse(
            OUTCOME_NAMES[reply.outcome],
            reply.revision,
            reply.winner,
            reply.reason,
            str(verdict),
            rollout,
        )
        write_json(response, content, OUTCOME_STATUS[reply.outcome])


class StatusResource(_Resource):
    """``GET /v1/status``: the local state of this controller, without a read confirmation."""

    def on_get(self, request, response):
        """Respond on the leader and on followers."""
        write_json(response, self.application.describe_status())


class ConfigurationResource(_Resource):
    """``GET`` and ``PUT /v1/configuration``."""

    def on_get(self, request, response):
        """Respond with the committed document."""
        self.confirm_read()
        revisions = self.application.state.revisions_
        document = msgspec.json.decode(revisions.document_) if revisions.document_ else None
        content = {
            "revision": revisions.revision_,
            "operator_revision": revisions.operator_revision_,
            "document": document,
        }
        write_json(response, content)

    def on_put(self, request, response):
        """Replace the document if the revision is the expected one."""
        body = self.read_document(request, ApplyRequest)
        validation = check_configuration(body.document)
        if isinstance(validation, Failure):
            raise convert_problem(
                msgspec.structs.replace(validation.failure(), path=_prefix_path(validation))
            )
        command = ApplyConfiguration(
            body.command_id,
            body.expected_revision,
            msgspec.json.encode(body.document, order="sorted"),
            self.application.compute_valid_until_ms(body.valid_until_unix_ms),
        )
        self.commit_change(command, body.wait_ms, response)


class ZonesResource(_Resource):
    """``GET /v1/zones``."""

    def on_get(self, request, response):
        """Respond with the drained zones and the zones that upstreams announce."""
        self.confirm_read()
        revisions = self.application.state.revisions_
        upstreams = self.application.upstreams.list_upstreams()
        content = {
            "revision": revisions.revision_,
            "drained": sorted(revisions.drained_zones_),
            "announced": sorted({entry.availability_zone for entry in upstreams}),
        }
        write_json(response, content)


class ZoneResource(_Resource):
    """``POST /v1/zones/{zone}/drain`` and ``.../restore``."""

    def on_post_drain(self, request, response, zone):
        """Drain a zone."""
        self._set_zone(request, response, zone, True)

    def on_post_restore(self, request, response, zone):
        """Restore a drained zone."""
        self._set_zone(request, response, zone, False)

    def _set_zone(self, request, response, zone, drained):
        body = self.read_document(request, ZoneRequest)
        expected = -1 if body.expected_revision is None else body.expected_revision
        valid_until_ms = self.application.compute_valid_until_ms(body.valid_until_unix_ms)
        command = SetZone(body.command_id, zone, drained, valid_until_ms, expected)
        self.commit_change(command, body.wait_ms, response)


class UpstreamsResource(_Resource):
    """``GET /v1/upstreams``."""

    def on_get(self, request, response):
        """Respond with the announced upstreams and the orders in the journal."""
        self.confirm_read()
        upstreams = self.application.upstreams.list_upstreams()
        content = {
            "upstreams": [msgspec.structs.asdict(entry) for entry in upstreams],
            "orders": [
                msgspec.structs.asdict(order) for order in self.application.orders.list_orders()
            ],
        }
        write_json(response, content)


class OrdersResource(_Resource):
    """``POST /v1/upstreams/{upstream_id}/orders``."""

    def on_post(self, request, response, upstream_id):
        """Execute an order and respond with its result."""
        body = self.read_document(request, OrderRequest)
        deadline = self.application.compute_deadline()
        result = self.application.orders.submit_order(upstream_id, body, deadline)
        if isinstance(result, Failure):
            raise convert_proposal_error(result.failure())
        outcome = result.unwrap()
        content = {
            "outcome": OUTCOME_NAMES[outcome.outcome],
            "verdict": ORDER_VERDICTS[outcome.status],
            "fencing": outcome.fencing,
            "status": outcome.status,
            "reason": outcome.reason,
            "retry_at_unix_ms": outcome.retry_at_unix_ms,
        }
        status = 503 if outcome.retry_at_unix_ms else OUTCOME_STATUS[outcome.outcome]
        write_json(response, content, status)


class MembersResource(_Resource):
    """``GET /v1/members``."""

    def on_get(self, request, response):
        """Respond with the controllers of the consensus group."""
        self.confirm_read()
        write_json(response, {"members": self.application.members.list_members()})


class MemberResource(_Resource):
    """``POST /v1/members/{name}/replace``."""

    def on_post_replace(self, request, response, name):
        """Replace a lost member by a new one."""
        self.require_leader()
        body = self.application.read_body(request)
        deadline = self.application.compute_deadline()
        result = self.application.members.replace_member(name, body, deadline)
        if isinstance(result, Failure):
            raise convert_proposal_error(result.failure())
        write_json(response, result.unwrap())


def _unwrap_document(result):
    if isinstance(result, Failure):
        raise convert_problem(result.failure())
    return result.unwrap()


def _prefix_path(validation):
    return "$.document" + validation.failure().path[1:]
