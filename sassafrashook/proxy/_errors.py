"""Encodes refusals as HTTP status, headers and JSON body."""

import math

import msgspec

from sassafrashook.outcomes import RefusalReason

__all__ = ["ErrorBody", "encode_error", "encode_error_event", "get_status", "retry_after_s"]

STATUS_BY_REASON = {
    RefusalReason.ACCOUNT_SHARE: 429,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CLAIM_CONFLICT: 422,
    RefusalReason.CLAIM_RUNNING: 409,
    RefusalReason.DEADLINE_MISSING: 400,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.KEY_MISSING: 400,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.RETRY_BUDGET: 502,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UPSTREAM_BROKE: 502,
    RefusalReason.UPSTREAM_SILENT: 504,
}
DEFAULT_STATUS = 503
MS_PER_S = 1_000


class ErrorDetail(msgspec.Struct):
    """Description of one refusal.

    :param verdict: whether the request may have run.
    :param retry_after_ms: milliseconds after which the caller may retry, or 0.
    """

    verdict: str
    reason: str
    message: str
    retry_after_ms: int


class ErrorBody(msgspec.Struct):
    """JSON body of an error response."""

    error: ErrorDetail


def get_status(reason):
    """Return the HTTP status for a :class:`~sassafrashook.outcomes.RefusalReason`."""
    return STATUS_BY_REASON.get(reason, DEFAULT_STATUS)


def retry_after_s(refusal):
    """Return the value of the Retry-After header: seconds, rounded up, at least 1."""
    return max(1, math.ceil(refusal.retry_after_ms / MS_PER_S))


def encode_error(refusal):
    """Encode a :class:`~sassafrashook.outcomes.Refusal` as the JSON body of an error."""
    detail = ErrorDetail(
        verdict=refusal.verdict,
        reason=refusal.reason,
        message=refusal.detail or refusal.reason.replace("_", " "),
        retry_after_ms=refusal.retry_after_ms,
    )
    return msgspec.json.encode(ErrorBody(detail))


def encode_error_event(refusal):
    """Encode a refusal as the last event of a stream that cannot be completed."""
    return b"event: error\ndata: " + encode_error(refusal) + b"\n\n"
