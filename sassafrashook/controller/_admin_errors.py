"""How a failure becomes an HTTP answer to an operator."""

import msgspec

from sassafrashook.controller._admin_documents import ErrorAnswer
from sassafrashook.gateways import ProposalFailure
from sassafrashook.outcomes import Verdict

__all__ = ["AdminError", "describe_problem", "describe_proposal_error", "write_json"]

RETRY_AFTER_S = "1"


class AdminError(Exception):
    """Ends a request with an error answer.

    :param status: HTTP status.
    :param answer: an :class:`ErrorAnswer`.
    """

    def __init__(self, status, answer):
        super().__init__(answer.reason)
        self.status = status
        self.answer = answer


def write_json(response, value, status=200):
    """Put a JSON value into a response."""
    response.status = status
    response.content_type = "application/json"
    response.data = msgspec.json.encode(value)


def describe_proposal_error(error):
    """Turn a :class:`~sassafrashook.gateways.ProposalError` into an :class:`AdminError`."""
    if error.failure == ProposalFailure.NOT_LEADER:
        return AdminError(421, ErrorAnswer("not_leader", leader=error.leader))
    if error.failure == ProposalFailure.NOT_ACCEPTED:
        return AdminError(503, ErrorAnswer("not_accepted"))
    detail = "it may yet be committed; send it again with the same command_id"
    verdict = str(Verdict.MAY_HAVE_RUN)
    return AdminError(503, ErrorAnswer("unknown", verdict, "unknown", detail))


def describe_problem(problem):
    """Turn a :class:`DocumentProblem` into an :class:`AdminError`."""
    answer = ErrorAnswer(
        "bad_document", path=problem.path, value=problem.value, allowed=problem.allowed
    )
    return AdminError(400, answer)
