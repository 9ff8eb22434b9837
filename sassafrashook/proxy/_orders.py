"""Calls of plain services that run at most once.

The order of the steps is what keeps the promise: permit, new connection, claim, clocks, first
byte, answer, record. A claim that was granted is used by this process or never: once a byte has
left, no other attempt follows.
"""

from dataclasses import dataclass
from urllib.parse import quote

import gevent
from returns.result import Failure, Success

from sassafrashook.messages import (
    ClaimCompleted,
    ClaimRequested,
    ClaimStatus,
    PermitOutcome,
    RecordedAnswer,
)
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy._calls import CallAnswer, build_call, find_busy
from sassafrashook.proxy._errors import encode_error
from sassafrashook.proxy._exchanges import (
    ExchangeFailure,
    ExchangeFailureKind,
    fail_expired,
    open_exchange,
)
from sassafrashook.proxy._identities import digest_call, make_request_id
from sassafrashook.proxy._probes import ask_upstream

__all__ = ["OnceCall", "Order"]

MS_PER_S = 1_000
RUNNING_RETRY_AFTER_MS = 1_000
LOOKUP_TRIES = 3
LOOKUP_RETRY_S = 0.2
RECORD_TRIES = 10
RECORD_RETRY_S = 0.5
HTTP_OK = 200
PAST_UNIX_MS = 1
STATUS_WITHOUT_ANSWER = 502
JSON = "application/json"

CLAIM_REFUSALS = {
    ClaimStatus.RUNNING: (Verdict.MAY_HAVE_RUN, RefusalReason.CLAIM_RUNNING),
    ClaimStatus.CONFLICT: (Verdict.NOT_RUN, RefusalReason.CLAIM_CONFLICT),
    ClaimStatus.EXPIRED: (Verdict.MAY_HAVE_RUN, RefusalReason.DEADLINE_PASSED),
    ClaimStatus.UNAVAILABLE: (Verdict.NOT_RUN, RefusalReason.CLAIM_UNKNOWN),
    ClaimStatus.UNKNOWN: (Verdict.NOT_RUN, RefusalReason.CLAIM_UNKNOWN),
}
CLAIM_DETAILS = {
    ClaimStatus.RUNNING: "a call with this key is running or may have run",
    ClaimStatus.CONFLICT: "this key was used for another call",
    ClaimStatus.EXPIRED: "the deadline has passed; an earlier submission may have run",
    ClaimStatus.UNAVAILABLE: "no quorum of controllers is in reach; this submission was not run",
    ClaimStatus.UNKNOWN: "the claim is undecided; this submission was not run and will not be",
}


@dataclass(slots=True, frozen=True)
class Order:
    """A call with its key and deadline.

    :param call: a :class:`~sassafrashook.proxy._calls.Call`.
    :param deadline_unix_ms: wall clock.
    """

    call: object
    key: str
    deadline_unix_ms: int


class OnceCall:
    """One submission of a call that runs at most once.

    :param run: a :class:`~sassafrashook.proxy._runs.RequestRun` that watches no caller.
    :param order: an :class:`Order`.
    """

    __slots__ = ("run", "order", "context", "_attempt", "_granted", "_sent")

    def __init__(self, run, order):
        self.run = run
        self.order = order
        self.context = run.context
        self._attempt = make_request_id()
        self._granted = False
        self._sent = False

    def execute(self):
        """Claim, send and record.

        :returns: ``Success`` of a :class:`~sassafrashook.proxy._calls.CallAnswer`, or ``Failure``
            of the final refusal.
        """
        self.context.monitor_.add(self.run.watch)
        try:
            return self._run_attempts()
        finally:
            self.run.drop()
            self.context.monitor_.remove(self.run.watch)

    def _run_attempts(self):
        run = self.run
        while True:
            acquired = run.acquire()
            if isinstance(acquired, Failure):
                return self._refuse(acquired.failure())
            permit = acquired.unwrap()
            result = self._try(permit)
            if not (isinstance(result, Failure) and isinstance(result.failure(), ExchangeFailure)):
                return result
            assert not self._sent, "an order that was sent is never tried again"
            refusal = run.settle(permit, result.failure())
            if refusal is not None:
                return self._refuse(refusal)

    def _refuse(self, refusal):
        """Refuse a submission that was not sent, unless an earlier one with its key is known."""
        if self._granted:
            self._record(_record_refusal(refusal))
            return Failure(refusal)
        known = self._read_record()
        return Failure(refusal) if known is None else known

    def _read_record(self):
        """Ask what is known of the key; a claim past its deadline can't be granted."""
        decision = self._ask(PAST_UNIX_MS)
        if decision.status == ClaimStatus.RECORDED:
            return _replay(decision.answer)
        if decision.status in (ClaimStatus.RUNNING, ClaimStatus.CONFLICT):
            return Failure(_refuse_claim(decision.status))
        return None

    def _try(self, permit):
        run = self.run
        context = self.context
        wait_s = max(0.0, run.deadline - context.clock.monotonic())
        opened = open_exchange(context.pools_, permit, run.watch, wait_s, run.deadline, True)
        if isinstance(opened, Failure):
            return opened
        exchange = opened.unwrap()
        try:
            if not self._granted:
                decided = self._claim()
                if decided is not None:
                    run.release(permit, PermitOutcome.UNUSED)
                    return decided
            if self._is_late(permit):
                return Failure(fail_expired())
            return self._send(permit, exchange)
        finally:
            exchange.close()

    def _is_late(self, permit):
        clock = self.context.clock
        is_expired = clock.monotonic() >= min(permit.use_by, self.run.deadline)
        return is_expired or clock.unix_ms() >= self.order.deadline_unix_ms

    def _ask(self, deadline_unix_ms):
        order = self.order
        call = order.call
        request = ClaimRequested(
            claim_id=0,
            attempt=self._attempt,
            account=self.run.account,
            service=self.run.service.name,
            key=order.key,
            digest=digest_call(call.method, call.target, call.body),
            deadline_unix_ms=deadline_unix_ms,
        )
        limit = self.context.clock.monotonic() + self.context.claim_ms / MS_PER_S
        return self.context.claims.claim(request, limit)

    def _claim(self):
        decision = self._ask(self.order.deadline_unix_ms)
        if decision.status == ClaimStatus.GRANTED:
            self._granted = True
            return None
        if decision.status == ClaimStatus.RECORDED:
            return _replay(decision.answer)
        if decision.status == ClaimStatus.UNKNOWN:
            self._record_later(_record_refusal(_refuse_claim(decision.status)))
        return Failure(_refuse_claim(decision.status))

    def _send(self, permit, exchange):
        run = self.run
        data = build_call(run, permit, self.order.call)
        self._sent = True
        failure = exchange.send(self.order.call.method, data)
        failure = failure or exchange.receive_head(run.attempt_id)
        if failure is None:
            busy = find_busy(exchange.response)
            if busy is not None:
                self._sent = False
                return Failure(busy)
            received = exchange.receive_whole(self.context.max_answer_bytes)
            if isinstance(received, Success):
                return self._succeed(permit, exchange.response, received.unwrap())
            failure = received.failure()
        return self._resolve(permit, failure)

    def _succeed(self, permit, response, body):
        content_type = response.get("content-type") or "application/octet-stream"
        answer = RecordedAnswer(Verdict.RAN, response.status_code, content_type, body)
        self.run.release(permit, PermitOutcome.FINISHED)
        self._record(answer)
        return Success(CallAnswer(answer.status, content_type, body, permit.upstream_id))

    def _resolve(self, permit, failure):
        """Settle an order that was sent and got no answer; it is never sent again."""
        answer = self._look_up(permit)
        self.run.conclude(permit, failure)
        if answer is not None:
            self._record(answer)
            return _replay(answer, replayed=False)
        silent = failure.kind is ExchangeFailureKind.SILENT
        reason = RefusalReason.UPSTREAM_SILENT if silent else RefusalReason.UPSTREAM_BROKE
        refusal = self.run.refuse(reason, detail=failure.detail)
        self._record(_record_refusal(refusal))
        return Failure(refusal)

    def _look_up(self, permit):
        path = self.run.service.lookup_path
        if not path:
            return None
        target = f"{path}/{quote(self.order.key, safe='')}"
        limit = self.context.max_answer_bytes
        for _ in range(LOOKUP_TRIES):
            asked = ask_upstream(self.context, permit, "GET", target, limit)
            found = asked.value_or(None)
            if found is not None and found.status == HTTP_OK and found.outcome == Verdict.RAN:
                return RecordedAnswer(Verdict.RAN, HTTP_OK, found.content_type, found.body)
            gevent.sleep(LOOKUP_RETRY_S)
        return None

    def _record(self, answer):
        """Record the outcome; if that takes too long it goes on in the background."""
        limit = self.context.clock.monotonic() + self.context.claim_ms / MS_PER_S
        if not self._complete(answer, limit):
            self._record_later(answer)

    def _record_later(self, answer):
        self.context.background_.spawn(self._keep_recording, answer)

    def _keep_recording(self, answer):
        for _ in range(RECORD_TRIES):
            gevent.sleep(RECORD_RETRY_S)
            limit = self.context.clock.monotonic() + self.context.claim_ms / MS_PER_S
            if self._complete(answer, limit):
                return
        self.context.count("records_lost", self.run.service.name)

    def _complete(self, answer, deadline):
        completion = ClaimCompleted(
            claim_id=0,
            attempt=self._attempt,
            account=self.run.account,
            service=self.run.service.name,
            key=self.order.key,
            answer=answer,
        )
        return self.context.claims.complete(completion, deadline)


def _refuse_claim(status):
    verdict, reason = CLAIM_REFUSALS[status]
    return Refusal(verdict, reason, RUNNING_RETRY_AFTER_MS, CLAIM_DETAILS[status])


def _record_refusal(refusal):
    """Return the record of a call without an answer."""
    return RecordedAnswer(refusal.verdict, 0, JSON, encode_error(refusal))


def _replay(answer, replayed=True):
    status = answer.status or STATUS_WITHOUT_ANSWER
    body = answer.body
    if not answer.status and not body:
        detail = "the body of the record was dropped"
        refusal = Refusal(Verdict(answer.verdict), RefusalReason.UPSTREAM_BROKE, 0, detail)
        body = encode_error(refusal)
    return Success(CallAnswer(status, answer.content_type, body, "", answer.verdict, replayed))
