"""Tracks one request over all its attempts: permits, retries and the overall verdict."""

import math

from returns.result import Failure, Success

from sassafrashook.messages import PermitOutcome, PermitRequested, UpstreamKind
from sassafrashook.outcomes import Refusal, RefusalReason, RetryReason, Verdict
from sassafrashook.proxy._control_requests import (
    cancel_request,
    cancel_until_confirmed,
    diagnose_upstream,
)
from sassafrashook.proxy._exchanges import ExchangeFailureKind
from sassafrashook.proxy._identifiers import generate_request_id
from sassafrashook.proxy._monitor import SocketWatch

__all__ = ["RequestExecution"]

MS_PER_S = 1_000
DEFAULT_RETRY_AFTER_MS = 1_000

RETRY_REASON_BY_FAILURE = {
    ExchangeFailureKind.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    ExchangeFailureKind.SEND_DEADLINE_PASSED: RetryReason.PERMIT_EXPIRED,
    ExchangeFailureKind.BUSY: RetryReason.UPSTREAM_BUSY,
    ExchangeFailureKind.TIMED_OUT: RetryReason.STREAM_SILENT,
}
OUTCOME_BY_FAILURE = {
    ExchangeFailureKind.CONNECT_FAILED: PermitOutcome.CONNECT_FAILED,
    ExchangeFailureKind.SEND_DEADLINE_PASSED: PermitOutcome.UNUSED,
    ExchangeFailureKind.BUSY: PermitOutcome.BUSY,
    ExchangeFailureKind.ERROR_STATUS: PermitOutcome.BROKE,
    ExchangeFailureKind.TOO_LARGE: PermitOutcome.BROKE,
    ExchangeFailureKind.NOT_RESUMABLE: PermitOutcome.UNUSED,
}
# Failures after which an upstream that is still running is preferred for one more attempt.
SAME_UPSTREAM_FAILURES = (
    ExchangeFailureKind.INCOMPLETE_RESPONSE,
    ExchangeFailureKind.INVALID_RESPONSE,
    ExchangeFailureKind.TIMED_OUT,
)
# From not run to run; the merged verdict is the last of these that any attempt had.
VERDICTS_TOWARD_RAN = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class RequestExecution:
    """State of one request over all its attempts.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param account: client account.
    :param service: a :class:`~sassafrashook.configuration.Service`.
    :param work_class: a :class:`~sassafrashook.configuration.WorkClass`.
    :param deadline: monotonic seconds by which the response must be complete.
    :param repeatable: whether the request may run more than once.
    :param caller_socket: the caller's socket, or ``None`` to ignore a disconnect.
    :ivar request_id: random id; attempts are numbered after it.
    :ivar verdict: the verdict of all attempts together, which is the one closest to ``ran``.
    :ivar attempts: number of acquired permits.
    :ivar response_started: whether a part of the response was sent to the caller.
    :ivar excluded_upstreams: upstreams that must not be chosen again.
    :ivar preferred_upstream: upstream at which an interrupted request is retried first, or empty.
    :ivar permit_deadline: monotonic seconds by which a permit must be granted.
    :ivar watch: :class:`~sassafrashook.proxy._monitor.SocketWatch` of the request.
    """

    __slots__ = (
        "account",
        "attempts",
        "context",
        "conversation_key",
        "deadline",
        "excluded_upstreams",
        "fingerprint",
        "model",
        "preferred_upstream",
        "repeatable",
        "request_id",
        "service",
        "response_started",
        "verdict",
        "permit_deadline",
        "watch",
        "work_class",
        "_is_cancelling",
        "_held_permit",
        "_retried_upstreams",
    )

    def __init__(
        self, context, account, service, work_class, deadline, repeatable, caller_socket=None
    ):
        now = context.clock.monotonic()
        self.context = context
        self.account = account
        self.service = service
        self.work_class = work_class
        self.deadline = deadline
        self.repeatable = repeatable
        self.watch = SocketWatch(caller_socket)
        self.permit_deadline = now + work_class.waiting_ms / MS_PER_S
        self.request_id = generate_request_id()
        self.conversation_key = 0
        self.fingerprint = 0
        self.model = ""
        self.attempts = 0
        self.excluded_upstreams = []
        self.preferred_upstream = ""
        self.verdict = Verdict.NOT_RUN
        self.response_started = False
        self._is_cancelling = False
        self._held_permit = None
        self._retried_upstreams = []
        context.retries.record_request(account, now)

    @property
    def is_cancellable(self):
        """Whether upstreams of the service support cancellation."""
        return self.service.kind == UpstreamKind.ENGINE

    @property
    def attempt_id(self):
        """Id of the current attempt, sent to the upstream and echoed by it."""
        return f"{self.request_id}.{self.attempts}"

    def acquire_permit(self):
        """Wait for a permit.

        :returns: ``Success`` of a permit, or ``Failure`` of the final refusal.
        """
        now = self.context.clock.monotonic()
        if now >= self.deadline:
            return Failure(self.build_refusal(RefusalReason.DEADLINE_PASSED))
        permit_deadline = min(self.permit_deadline, self.deadline)
        request = PermitRequested(
            request_id=0,
            service=self.service.name,
            conversation_key=self.conversation_key,
            account=self.account,
            work_class=self.work_class.name,
            waiting_ms=max(0, int((permit_deadline - now) * MS_PER_S)),
            running_ms=max(1, math.ceil((self.deadline - now) * MS_PER_S)),
            fingerprint=self.fingerprint,
            tried=list(self.excluded_upstreams),
            preferred=self.preferred_upstream,
            model=self.model,
        )
        result = self.context.permits.acquire(request, permit_deadline)
        if isinstance(result, Failure):
            refusal = result.failure()
            return Failure(
                self.build_refusal(refusal.reason, refusal.retry_after_ms, refusal.detail)
            )
        self._held_permit = result.unwrap()
        self.attempts += 1
        return Success(self._held_permit)

    def release_permit(self, permit, outcome, first_token_ms=-1):
        """Release the current permit; releasing it twice is a programming error."""
        assert self._held_permit is permit, "permit released twice"
        self._held_permit = None
        self.context.permits.release(permit, outcome, first_token_ms)

    def release_held_permit(self):
        """Release the permit as cancelled if one is held and no cancellation will release it."""
        if self._held_permit is not None and not self._is_cancelling:
            self.release_permit(self._held_permit, PermitOutcome.CANCELLED)

    def build_refusal(self, reason, retry_after_ms=0, detail=""):
        """Return a refusal with the overall verdict."""
        retry_after_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
        return Refusal(self.verdict, reason, retry_after_ms, detail)

    def merge_verdict(self, verdict):
        """Update the overall verdict if the verdict of an attempt is closer to ``ran``."""
        self.verdict = max(self.verdict, verdict, key=VERDICTS_TOWARD_RAN.index)

    def handle_failure(self, permit, failure):
        """Release the permit of a failed attempt and decide whether to retry.

        :param permit: the current permit.
        :param failure: an :class:`~sassafrashook.proxy._exchanges.ExchangeFailure`.
        :returns: ``None`` if the request may be tried again, else the final refusal.
        """
        if failure.kind is ExchangeFailureKind.CALLER_GONE:
            self.merge_verdict(failure.verdict)
            self.abandon_attempt(permit, failure.verdict)
            return self.build_refusal(RefusalReason.BAD_REQUEST, detail="the caller disconnected")
        outcome = self.release_after_failure(permit, failure)
        if failure.kind is ExchangeFailureKind.NOT_RESUMABLE:
            return self.build_refusal(RefusalReason.UPSTREAM_BROKE, detail=failure.detail)
        self._select_next_upstream(permit, failure, outcome)
        return self._check_retry(permit, failure)

    def release_after_failure(self, permit, failure):
        """Release the permit of a failed attempt.

        :returns: the :class:`~sassafrashook.messages.PermitOutcome` that was reported.
        """
        self.merge_verdict(failure.verdict)
        if failure.kind is ExchangeFailureKind.INVALID_RESPONSE:
            self.context.count("foreign_answers", self.service.name)
        outcome = self._determine_outcome(permit, failure)
        self.release_permit(permit, outcome)
        return outcome

    def abandon_attempt(self, permit, verdict):
        """Cancel an attempt whose response is no longer needed.

        The permit of an engine is released after the engine confirmed the cancellation, at the
        latest after the request's deadline.
        """
        if verdict is Verdict.NOT_RUN:
            self.release_permit(permit, PermitOutcome.UNUSED)
            return
        self.context.count("cancelled", self.service.name)
        if not self.is_cancellable:
            self.release_permit(permit, PermitOutcome.CANCELLED)
            return
        self._is_cancelling = True
        self.context.background_.spawn(self._cancel_and_release, permit, self.attempt_id)

    def _cancel_and_release(self, permit, attempt_id):
        try:
            cancel_until_confirmed(self.context, permit, attempt_id, self.deadline)
        finally:
            self.release_permit(permit, PermitOutcome.CANCELLED)

    def _determine_outcome(self, permit, failure):
        outcome = OUTCOME_BY_FAILURE.get(failure.kind)
        if outcome is not None:
            return outcome
        if self.context.clock.monotonic() >= self.deadline:
            if self.is_cancellable:
                cancel_request(self.context, permit, self.attempt_id)
            return PermitOutcome.CANCELLED
        outcome = diagnose_upstream(self.context, permit)
        if outcome is PermitOutcome.BROKE and self.is_cancellable:
            cancel_request(self.context, permit, self.attempt_id)
        return outcome

    def _select_next_upstream(self, permit, failure, outcome):
        self.preferred_upstream = ""
        if failure.kind is ExchangeFailureKind.SEND_DEADLINE_PASSED:
            return
        upstream_id = permit.upstream_id
        should_retry_same_upstream = (
            outcome is PermitOutcome.BROKE and failure.kind in SAME_UPSTREAM_FAILURES
        )
        if should_retry_same_upstream and upstream_id not in self._retried_upstreams:
            self._retried_upstreams.append(upstream_id)
            self.preferred_upstream = upstream_id
            return
        self.excluded_upstreams.append(upstream_id)

    def _check_retry(self, permit, failure):
        context = self.context
        now = context.clock.monotonic()
        if now >= self.deadline:
            return self.build_refusal(RefusalReason.DEADLINE_PASSED, detail=failure.detail)
        is_timeout = failure.kind is ExchangeFailureKind.TIMED_OUT
        reason = RefusalReason.UPSTREAM_SILENT if is_timeout else RefusalReason.UPSTREAM_BROKE
        if self.attempts >= context.max_attempts:
            return self.build_refusal(reason, detail=failure.detail)
        retry_refusal = context.retries.check_retry(
            self.account, permit.upstream_id, failure.verdict, self.repeatable, now
        )
        if retry_refusal is not None:
            return self.build_refusal(retry_refusal, detail=failure.detail)
        context.count("retries", RETRY_REASON_BY_FAILURE.get(failure.kind, RetryReason.STREAM_CUT))
        return None
