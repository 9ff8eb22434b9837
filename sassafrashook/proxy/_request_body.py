"""Reads request bodies with a size limit and a timeout."""

from returns.result import Failure, Success

from sassafrashook.http1 import (
    InvalidRequestError,
    MemoryLimitError,
    choose_retry_after_s,
    read_request_body,
)
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict

__all__ = ["READ_TIMEOUT_S", "make_read_refusal", "read_body"]

READ_TIMEOUT_S = 15.0
STATUS_CONTENT_TOO_LARGE = 413
MS_PER_S = 1_000


def read_body(request, limit):
    """Read the whole body of a falcon request.

    After a refusal the rest of the body is discarded and the connection is closed.

    :param request: falcon request.
    :param limit: maximum size of the body in bytes.
    :returns: ``Success`` of the body as ``bytes``, or ``Failure`` of a
        :class:`~sassafrashook.outcomes.Refusal`.
    """
    try:
        return Success(read_request_body(request.env, limit))
    except InvalidRequestError as error:
        return Failure(make_read_refusal(error))


def make_read_refusal(error):
    """Return the refusal of a request that could not be read.

    :param error: an :class:`~sassafrashook.http1.InvalidRequestError`.
    """
    reason, retry_after_ms = RefusalReason.BAD_REQUEST, 0
    if isinstance(error, MemoryLimitError):
        reason = RefusalReason.MEMORY_LIMIT
        retry_after_ms = choose_retry_after_s() * MS_PER_S
    elif error.status == STATUS_CONTENT_TOO_LARGE:
        reason = RefusalReason.BODY_TOO_LARGE
    return Refusal(Verdict.NOT_RUN, reason, retry_after_ms, f"request body: {error}")
