"""Converts failures to HTTP error responses of the operator interface."""

import msgspec

from sassafrashook.controller._admin_documents import ErrorResponse
from sassafrashook.interfaces import ProposalErrorReason
from sassafrashook.outcomes import Verdict

__all__ = ["AdminError", "convert_problem", "convert_proposal_error", "write_json"]

RETRY_AFTER_S = "1"


class AdminError(Exception):
    """Ends a request with an error response.

    :param status: HTTP status.
    :param body: an :class:`ErrorResponse`.
    """

    def __init__(self, status, body):
        super().__init__(body.reason)
        self.status = status
        self.body = body


def write_json(response, value, status=200):
    """Set the status and the JSON body of a response."""
    response.status = status
    response.content_type = "application/json"
    response.data = msgspec.json.encode(value)


def convert_proposal_error(error):
    """Convert a :class:`~sassafrashook.interfaces.ProposalError` to an :class:`AdminError`."""
    if error.reason == ProposalErrorReason.NOT_LEADER:
        return AdminError(421, ErrorResponse("not_leader", leader=error.leader))
    if error.reason == ProposalErrorReason.NOT_ACCEPTED:
        return AdminError(503, ErrorResponse("not_accepted"))
    detail = "it may yet be committed; send it again with the same command_id"
    verdict = str(Verdict.MAY_HAVE_RUN)
    return AdminError(503, ErrorResponse("unknown", verdict, "unknown", detail))


def convert_problem(problem):
    """Convert a :class:`DocumentProblem` to an :class:`AdminError`."""
    body = ErrorResponse(
        "bad_document", path=problem.path, value=problem.value, allowed=problem.allowed
    )
    return AdminError(400, body)
