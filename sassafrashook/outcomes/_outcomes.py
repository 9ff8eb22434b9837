"""Execution verdicts of requests, and the reasons why requests are refused or retried."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request may have run at an upstream."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RefusalReason(StrEnum):
    """Why a request was refused or failed; each value is an attribute of a counter."""

    # The account has the maximum number of waiting requests.
    ACCOUNT_SHARE = "account_share"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CLAIM_CONFLICT = "claim_conflict"
    CLAIM_RUNNING = "claim_running"
    CLAIM_UNKNOWN = "claim_unknown"
    CLOCK_OUT_OF_RANGE = "clock_out_of_range"
    DEADLINE_MISSING = "deadline_missing"
    DEADLINE_PASSED = "deadline_passed"
    KEY_MISSING = "key_missing"
    # The memory for the requests of all clients is used up, and this client holds most of it.
    MEMORY_LIMIT = "memory_limit"
    NO_CAPACITY = "no_capacity"
    NO_CONFIGURATION = "no_configuration"
    # No permit arrived in time from the controller that grants them.
    NO_OWNER = "no_owner"
    NO_UPSTREAM = "no_upstream"
    # Requests with the same fingerprint are quarantined.
    QUARANTINED = "quarantined"
    QUEUE_FULL = "queue_full"
    # The retry budget of the account or of the upstream is used up.
    RETRY_BUDGET = "retry_budget"
    STALE_VIEW = "stale_view"
    STOPPING = "stopping"
    # No record tells which software version began the stream that the client resumes.
    STREAM_UNKNOWN = "stream_unknown"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    # The attempt failed at the upstream, for example because the connection broke.
    UPSTREAM_BROKE = "upstream_broke"
    # The upstream has run the request, and its status would promise that it has not.
    UPSTREAM_FAILED = "upstream_failed"
    # All upstreams with free capacity limit their request rate, and the limits are used up.
    UPSTREAM_LIMIT = "upstream_limit"
    # The upstream did not respond in time.
    UPSTREAM_SILENT = "upstream_silent"
    # All upstreams that could take the request have asked for a wait.
    UPSTREAM_WAIT = "upstream_wait"
    # The request has waited, or would wait, longer than its waiting target.
    WAITING_TARGET = "waiting_target"


class RetryReason(StrEnum):
    """Why a request was retried; each value is an attribute of a counter."""

    CONNECT_FAILED = "connect_failed"
    PERMIT_EXPIRED = "permit_expired"
    # The connection broke, or the response was incomplete or lacked its digest.
    STREAM_CUT = "stream_cut"
    # The upstream sent nothing for too long.
    STREAM_SILENT = "stream_silent"
    UPSTREAM_BUSY = "upstream_busy"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LEFT = "upstream_left"


@dataclass(slots=True, frozen=True)
class Refusal:
    """Response of the router itself to a request that was refused or whose attempts failed.

    :param verdict: whether the request may have run.
    :param reason: why the request was refused or failed.
    :param retry_after_ms: delay before the client may retry, milliseconds; 0 if it should not.
    :param detail: one sentence for the client.
    """

    verdict: Verdict
    reason: RefusalReason
    retry_after_ms: int = 0
    detail: str = ""
