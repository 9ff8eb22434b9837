"""The course of one request over all its attempts: permits, retries and the verdict so far."""

import math

from returns.result import Failure, Success

from sassafrashook.messages import PermitOutcome, PermitRequested, UpstreamKind
from sassafrashook.outcomes import Refusal, RefusalReason, RetryReason, Verdict
from sassafrashook.proxy._exchanges import ExchangeFailureKind
from sassafrashook.proxy._identities import make_request_id
from sassafrashook.proxy._monitor import Watch
from sassafrashook.proxy._probes import cancel, cancel_until_confirmed, diagnose

__all__ = ["RequestRun"]

MS_PER_S = 1_000
DEFAULT_RETRY_AFTER_MS = 1_000

RETRY_REASONS = {
    ExchangeFailureKind.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    ExchangeFailureKind.PERMIT_EXPIRED: RetryReason.PERMIT_EXPIRED,
    ExchangeFailureKind.BUSY: RetryReason.UPSTREAM_BUSY,
    ExchangeFailureKind.SILENT: RetryReason.STREAM_SILENT,
}
OUTCOMES = {
    ExchangeFailureKind.CONNECT_FAILED: PermitOutcome.CONNECT_FAILED,
    ExchangeFailureKind.PERMIT_EXPIRED: PermitOutcome.UNUSED,
    ExchangeFailureKind.BUSY: PermitOutcome.BUSY,
    ExchangeFailureKind.TOO_LARGE: PermitOutcome.BROKE,
    ExchangeFailureKind.NOT_RESUMABLE: PermitOutcome.UNUSED,
}
VERDICT_ORDER = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class RequestRun:
    """One caller's request.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param work_class: a :class:`~sassafrashook.configuration.WorkClass`.
    :param deadline: monotonic seconds by which the answer must be whole.
    :param repeatable: whether it may run more than once.
    :param caller: the caller's socket, or ``None``.

    Attributes: ``request_id``; ``verdict``, the worst of all attempts so far; ``attempts``, how
    many permits were used; ``started``, whether the caller has received a part of the answer.
    """

    __slots__ = (
        "account",
        "attempts",
        "context",
        "conversation_key",
        "deadline",
        "fingerprint",
        "model",
        "preferred",
        "repeatable",
        "request_id",
        "service",
        "started",
        "tried",
        "verdict",
        "waiting_deadline",
        "watch",
        "work_class",
        "_cancelling",
        "_held",
        "_resumed",
    )

    def __init__(self, context, account, service, work_class, deadline, repeatable, caller=None):
        now = context.clock.monotonic()
        self.context = context
        self.account = account
        self.service = service
        self.work_class = work_class
        self.deadline = deadline
        self.repeatable = repeatable
        self.watch = Watch(caller)
        self.waiting_deadline = now + work_class.waiting_ms / MS_PER_S
        self.request_id = make_request_id()
        self.conversation_key = 0
        self.fingerprint = 0
        self.model = ""
        self.attempts = 0
        self.tried = []
        self.preferred = ""
        self.verdict = Verdict.NOT_RUN
        self.started = False
        self._cancelling = False
        self._held = None
        self._resumed = []
        context.retries.note_request(account, now)

    @property
    def cancellable(self):
        """Whether the service takes orders to drop a request."""
        return self.service.kind == UpstreamKind.ENGINE

    @property
    def attempt_id(self):
        """Id of the current attempt, sent to the upstream and echoed by it."""
        return f"{self.request_id}.{self.attempts}"

    def acquire(self):
        """Wait for a permit.

        :returns: ``Success`` of a permit, or ``Failure`` of the final refusal.
        """
        now = self.context.clock.monotonic()
        if now >= self.deadline:
            return Failure(self.refuse(RefusalReason.DEADLINE_PASSED))
        waiting = min(self.waiting_deadline, self.deadline)
        query = PermitRequested(
            request_id=0,
            service=self.service.name,
            conversation_key=self.conversation_key,
            account=self.account,
            work_class=self.work_class.name,
            waiting_ms=max(0, int((waiting - now) * MS_PER_S)),
            running_ms=max(1, math.ceil((self.deadline - now) * MS_PER_S)),
            fingerprint=self.fingerprint,
            tried=list(self.tried),
            preferred=self.preferred,
            model=self.model,
        )
        result = self.context.permits.acquire(query, waiting)
        if isinstance(result, Failure):
            refusal = result.failure()
            return Failure(self.refuse(refusal.reason, refusal.retry_after_ms, refusal.detail))
        self._held = result.unwrap()
        self.attempts += 1
        return Success(self._held)

    def release(self, permit, outcome, first_token_ms=-1):
        """Give the permit back; a second time is a programming error."""
        assert self._held is permit, "permit released twice"
        self._held = None
        self.context.permits.release(permit, outcome, first_token_ms)

    def drop(self):
        """Give back a permit that an unexpected error left behind."""
        if self._held is not None and not self._cancelling:
            self.release(self._held, PermitOutcome.CANCELLED)

    def refuse(self, reason, retry_after_ms=0, detail=""):
        """Return the final refusal with the verdict over all attempts."""
        retry_after_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
        return Refusal(self.verdict, reason, retry_after_ms, detail)

    def note_verdict(self, verdict):
        """Take the verdict of an attempt into account; it only ever gets worse."""
        self.verdict = max(self.verdict, verdict, key=VERDICT_ORDER.index)

    def settle(self, permit, failure):
        """Give the permit of a failed attempt back and decide whether there is another.

        :param failure: an :class:`~sassafrashook.proxy._exchanges.ExchangeFailure`.
        :returns: ``None`` if the request may be tried again, else the final refusal.
        """
        if failure.kind is ExchangeFailureKind.CALLER_GONE:
            self.note_verdict(failure.verdict)
            self.abandon(permit, failure.verdict)
            return self.refuse(RefusalReason.BAD_REQUEST, detail="the caller went away")
        outcome = self.conclude(permit, failure)
        if failure.kind is ExchangeFailureKind.NOT_RESUMABLE:
            return self.refuse(RefusalReason.UPSTREAM_BROKE, detail=failure.detail)
        self._choose_next(permit, failure, outcome)
        return self._refuse_retry(permit, failure)

    def conclude(self, permit, failure):
        """Give the permit of a failed attempt back.

        :returns: the :class:`~sassafrashook.messages.PermitOutcome` that was reported.
        """
        self.note_verdict(failure.verdict)
        if failure.kind is ExchangeFailureKind.FOREIGN:
            self.context.count("foreign_answers", self.service.name)
        outcome = self._find_outcome(permit, failure)
        self.release(permit, outcome)
        return outcome

    def abandon(self, permit, verdict):
        """Give up an attempt whose caller went away; the permit returns once it surely ended."""
        if verdict is Verdict.NOT_RUN:
            self.release(permit, PermitOutcome.UNUSED)
            return
        self.context.count("cancelled", self.service.name)
        if not self.cancellable:
            self.release(permit, PermitOutcome.CANCELLED)
            return
        self._cancelling = True
        self.context.background_.spawn(self._cancel_and_release, permit, self.attempt_id)

    def _cancel_and_release(self, permit, attempt_id):
        try:
            cancel_until_confirmed(self.context, permit, attempt_id, self.deadline)
        finally:
            self.release(permit, PermitOutcome.CANCELLED)

    def _find_outcome(self, permit, failure):
        outcome = OUTCOMES.get(failure.kind)
        if outcome is not None:
            return outcome
        if self.context.clock.monotonic() >= self.deadline:
            if self.cancellable:
                cancel(self.context, permit, self.attempt_id)
            return PermitOutcome.CANCELLED
        outcome = diagnose(self.context, permit)
        if outcome is PermitOutcome.BROKE and self.cancellable:
            cancel(self.context, permit, self.attempt_id)
        return outcome

    def _choose_next(self, permit, failure, outcome):
        self.preferred = ""
        if failure.kind is ExchangeFailureKind.PERMIT_EXPIRED:
            return
        upstream_id = permit.upstream_id
        if outcome is PermitOutcome.BROKE and self.started and upstream_id not in self._resumed:
            self._resumed.append(upstream_id)
            self.preferred = upstream_id
            return
        self.tried.append(upstream_id)

    def _refuse_retry(self, permit, failure):
        context = self.context
        now = context.clock.monotonic()
        if now >= self.deadline:
            return self.refuse(RefusalReason.DEADLINE_PASSED, detail=failure.detail)
        silent = failure.kind is ExchangeFailureKind.SILENT
        reason = RefusalReason.UPSTREAM_SILENT if silent else RefusalReason.UPSTREAM_BROKE
        if self.attempts >= context.max_attempts:
            return self.refuse(reason, detail=failure.detail)
        refused = context.retries.refuse_retry(
            self.account, permit.upstream_id, failure.verdict, self.repeatable, now
        )
        if refused is not None:
            return self.refuse(refused, detail=failure.detail)
        context.count("retries", RETRY_REASONS.get(failure.kind, RetryReason.STREAM_CUT))
        return None
