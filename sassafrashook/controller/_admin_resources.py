"""What operators can ask of a controller over HTTP."""

import msgspec
from returns.result import Failure

from sassafrashook.controller._admin_documents import ApplyRequest, ChangeAnswer, ZoneRequest
from sassafrashook.controller._admin_errors import (
    describe_problem,
    describe_proposal_error,
    write_json,
)
from sassafrashook.controller._documents import check_configuration, convert_document
from sassafrashook.controller._orders import OrderRequest
from sassafrashook.gateways import ProposalError, ProposalFailure
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
    """Base of the resources.

    :param application: the :class:`AdminApplication`.
    """

    def __init__(self, application):
        self.application = application

    def read(self, request, kind):
        """Read and check a request's body."""
        value = self.application.read_body(request)
        return _unwrap_document(convert_document(value, kind))

    def confirm(self):
        """Make sure that everything committed before this call is visible here."""
        deadline = self.application.find_deadline()
        confirmed = self.application.log.confirm_read(deadline)
        if isinstance(confirmed, Failure):
            raise describe_proposal_error(confirmed.failure())

    def require_leader(self):
        """Send the operator to the leader unless this controller is confirmed to lead."""
        log = self.application.log
        if log.leading_term(self.application.clock()) == 0:
            error = ProposalError(ProposalFailure.NOT_LEADER, log.leader())
            raise describe_proposal_error(error)

    def change(self, command, wait_ms, response):
        """Commit an operator's change and answer with its outcome."""
        application = self.application
        result = application.proposer.propose(command, application.find_deadline())
        if isinstance(result, Failure):
            raise describe_proposal_error(result.failure())
        reply = result.unwrap()
        rollout = None
        if wait_ms and reply.outcome == CommandOutcome.ACCEPTED:
            deadline = application.clock() + wait_ms / 1000
            rollout = application.configuration.wait_in_force(reply.revision, deadline)
        verdict = Verdict.RAN if reply.outcome == CommandOutcome.ACCEPTED else Verdict.NOT_RUN
        answer = ChangeAnswer(
            OUTCOME_NAMES[reply.outcome],
            reply.revision,
            reply.winner,
            reply.reason,
            str(verdict),
            rollout,
        )
        write_json(response, answer, OUTCOME_STATUS[reply.outcome])


class StatusResource(_Resource):
    """``GET /v1/status``: what this controller knows, confirmed or not."""

    def on_get(self, request, response):
        """Answer on any controller."""
        write_json(response, self.application.describe_status())


class ConfigurationResource(_Resource):
    """``/v1/configuration``."""

    def on_get(self, request, response):
        """Answer with the committed document."""
        self.confirm()
        revisions = self.application.state.revisions_
        document = msgspec.json.decode(revisions.document_) if revisions.document_ else None
        answer = {
            "revision": revisions.revision_,
            "operator_revision": revisions.operator_revision_,
            "document": document,
        }
        write_json(response, answer)

    def on_put(self, request, response):
        """Compare and set the document."""
        asked = self.read(request, ApplyRequest)
        checked = check_configuration(asked.document)
        if isinstance(checked, Failure):
            raise describe_problem(msgspec.structs.replace(checked.failure(), path=_inner(checked)))
        command = ApplyConfiguration(
            asked.command_id,
            asked.expected_revision,
            msgspec.json.encode(asked.document, order="sorted"),
            self.application.find_valid_until(asked.valid_until_unix_ms),
        )
        self.change(command, asked.wait_ms, response)


class ZonesResource(_Resource):
    """``GET /v1/zones``."""

    def on_get(self, request, response):
        """Answer with the zones that are taken out, and those that upstreams announce."""
        self.confirm()
        revisions = self.application.state.revisions_
        upstreams = self.application.upstreams.list_upstreams()
        answer = {
            "revision": revisions.revision_,
            "drained": sorted(revisions.drained_zones_),
            "announced": sorted({entry.availability_zone for entry in upstreams}),
        }
        write_json(response, answer)


class ZoneResource(_Resource):
    """``POST /v1/zones/{zone}/drain`` and ``.../restore``."""

    def on_post_drain(self, request, response, zone):
        """Take a zone out."""
        self._set(request, response, zone, True)

    def on_post_restore(self, request, response, zone):
        """Bring a zone back."""
        self._set(request, response, zone, False)

    def _set(self, request, response, zone, drained):
        asked = self.read(request, ZoneRequest)
        expected = -1 if asked.expected_revision is None else asked.expected_revision
        valid_until_ms = self.application.find_valid_until(asked.valid_until_unix_ms)
        command = SetZone(asked.command_id, zone, drained, valid_until_ms, expected)
        self.change(command, asked.wait_ms, response)


class UpstreamsResource(_Resource):
    """``GET /v1/upstreams``."""

    def on_get(self, request, response):
        """Answer with the announced upstreams and the orders in the journal."""
        self.confirm()
        upstreams = self.application.upstreams.list_upstreams()
        answer = {
            "upstreams": [msgspec.structs.asdict(entry) for entry in upstreams],
            "orders": [msgspec.structs.asdict(e) for e in self.application.orders.list_orders()],
        }
        write_json(response, answer)


class OrdersResource(_Resource):
    """``POST /v1/upstreams/{upstream_id}/orders``."""

    def on_post(self, request, response, upstream_id):
        """Issue an order and answer once it is known what became of it."""
        asked = self.read(request, OrderRequest)
        deadline = self.application.find_deadline()
        result = self.application.orders.order(upstream_id, asked, deadline)
        if isinstance(result, Failure):
            raise describe_proposal_error(result.failure())
        outcome = result.unwrap()
        answer = {
            "outcome": OUTCOME_NAMES[outcome.outcome],
            "verdict": ORDER_VERDICTS[outcome.status],
            "fencing": outcome.fencing,
            "status": outcome.status,
            "reason": outcome.reason,
            "retry_at_unix_ms": outcome.retry_at_ms,
        }
        status = 503 if outcome.retry_at_ms else OUTCOME_STATUS[outcome.outcome]
        write_json(response, answer, status)


class MembersResource(_Resource):
    """``GET /v1/members``."""

    def on_get(self, request, response):
        """Answer with the controllers of the group."""
        self.confirm()
        write_json(response, {"members": self.application.members.list_members()})


class MemberResource(_Resource):
    """``POST /v1/members/{name}/replace``."""

    def on_post_replace(self, request, response, name):
        """Put a new member in the place of a lost one."""
        self.require_leader()
        body = self.application.read_body(request)
        deadline = self.application.find_deadline()
        result = self.application.members.replace_member(name, body, deadline)
        if isinstance(result, Failure):
            raise describe_proposal_error(result.failure())
        write_json(response, result.unwrap())


def _unwrap_document(result):
    if isinstance(result, Failure):
        raise describe_problem(result.failure())
    return result.unwrap()


def _inner(checked):
    return "$.document" + checked.failure().path[1:]
