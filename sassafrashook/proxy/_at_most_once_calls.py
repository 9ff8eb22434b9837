"""Executes calls of plain services at most once.

The guarantee depends on the order of the steps: acquire a permit, open a new connection, acquire
the claim, check both clocks, send the request, receive the response, store it in the claim's
record. Only the router that acquired a claim may send the call. Once sending has started, no other
attempt follows unless the upstream declares the request not run.
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
from sassafrashook.proxy._calls import CallResponse, detect_busy, encode_call
from sassafrashook.proxy._control_requests import send_control_request
from sassafrashook.proxy._errors import encode_error
from sassafrashook.proxy._exchanges import (
    ExchangeFailure,
    ExchangeFailureKind,
    build_send_deadline_failure,
    open_exchange,
)
from sassafrashook.proxy._identifiers import digest_call, generate_request_id

__all__ = ["AtMostOnceCall", "KeyedCall"]

MS_PER_S = 1_000
CLAIM_RETRY_AFTER_MS = 1_000
LOOKUP_ATTEMPTS = 3
LOOKUP_INTERVAL_S = 0.2
RECORD_ATTEMPTS = 10
RECORD_INTERVAL_S = 0.5
HTTP_OK = 200
EXPIRED_UNIX_MS = 1
STATUS_WITHOUT_RESPONSE = 502
JSON = "application/json"

CLAIM_REFUSALS = {
    ClaimStatus.RUNNING: (Verdict.MAY_HAVE_RUN, RefusalReason.CLAIM_RUNNING),
    ClaimStatus.CONFLICT: (Verdict.NOT_RUN, RefusalReason.CLAIM_CONFLICT),
    ClaimStatus.EXPIRED: (Verdict.MAY_HAVE_RUN, RefusalReason.DEADLINE_PASSED),
    ClaimStatus.UNAVAILABLE: (Verdict.NOT_RUN, RefusalReason.CLAIM_UNKNOWN),
    ClaimStatus.UNKNOWN: (Verdict.NOT_RUN, RefusalReason.CLAIM_UNKNOWN),
}
CLAIM_DETAILS = {
    ClaimStatus.RUNNING: "a call with this idempotency key is running or may have run",
    ClaimStatus.CONFLICT: "this idempotency key was used for another call",
    ClaimStatus.EXPIRED: "the deadline has passed; an earlier submission may have run",
    ClaimStatus.UNAVAILABLE: "no quorum of controllers is reachable; this submission was not run",
    ClaimStatus.UNKNOWN: "the claim is undecided; this submission was not run and will not be run",
}


@dataclass(slots=True, frozen=True)
class KeyedCall:
    """A call with its idempotency key and deadline.

    :param call: a :class:`~sassafrashook.proxy._calls.Call`.
    :param key: idempotency key.
    :param deadline_unix_ms: milliseconds since the Unix epoch.
    """

    call: object
    key: str
    deadline_unix_ms: int


class AtMostOnceCall:
    """Executes one submission of a call that runs at most once.

    :param execution: a :class:`~sassafrashook.proxy._request_execution.RequestExecution` without a
        caller's socket, because the call continues when its caller disconnects.
    :param keyed_call: a :class:`KeyedCall`.
    """

    __slots__ = (
        "execution",
        "keyed_call",
        "context",
        "_attempt_id",
        "_is_claim_granted",
        "_is_sent",
    )

    def __init__(self, execution, keyed_call):
        self.execution = execution
        self.keyed_call = keyed_call
        self.context = execution.context
        self._attempt_id = generate_request_id()
        self._is_claim_granted = False
        self._is_sent = False

    def execute(self):
        """Acquire the claim, send the call and store its response or refusal.

        :returns: ``Success`` of a :class:`~sassafrashook.proxy._calls.CallResponse`, or ``Failure``
            of the final refusal.
        """
        self.context.monitor_.add(self.execution.watch)
        try:
            return self._run_attempts()
        finally:
            self.execution.release_held_permit()
            self.context.monitor_.remove(self.execution.watch)

    def _run_attempts(self):
        execution = self.execution
        while True:
            acquired = execution.acquire_permit()
            if isinstance(acquired, Failure):
                return self._resolve_refusal(acquired.failure())
            permit = acquired.unwrap()
            result = self._run_attempt(permit)
            if not (isinstance(result, Failure) and isinstance(result.failure(), ExchangeFailure)):
                return result
            assert not self._is_sent, "a call that was sent must not be retried"
            refusal = execution.handle_failure(permit, result.failure())
            if refusal is not None:
                return self._resolve_refusal(refusal)

    def _resolve_refusal(self, refusal):
        """Return the refusal of an unsent submission, or the result of an earlier submission."""
        if self._is_claim_granted:
            self._store_record(_build_refusal_record(refusal))
            return Failure(refusal)
        recorded = self._find_recorded_response()
        return Failure(refusal) if recorded is None else recorded

    def _find_recorded_response(self):
        """Return the result of an earlier submission with this key, or ``None``.

        It requests the claim with a deadline in the past; such a claim is never granted.
        """
        decision = self._request_claim(EXPIRED_UNIX_MS)
        if decision.status == ClaimStatus.RECORDED:
            return _build_response(decision.answer)
        if decision.status in (ClaimStatus.RUNNING, ClaimStatus.CONFLICT):
            return Failure(_build_claim_refusal(decision.status))
        return None

    def _run_attempt(self, permit):
        execution = self.execution
        context = self.context
        remaining_s = max(0.0, execution.deadline - context.clock.monotonic())
        opened = open_exchange(
            context.pools_, permit, execution.watch, remaining_s, execution.deadline, True
        )
        if isinstance(opened, Failure):
            return opened
        exchange = opened.unwrap()
        try:
            if not self._is_claim_granted:
                early_result = self._acquire_claim()
                if early_result is not None:
                    execution.release_permit(permit, PermitOutcome.UNUSED)
                    return early_result
            if self._is_past_deadline(permit):
                return Failure(build_send_deadline_failure())
            return self._send(permit, exchange)
        finally:
            exchange.close()

    def _is_past_deadline(self, permit):
        clock = self.context.clock
        is_expired = clock.monotonic() >= min(permit.send_deadline, self.execution.deadline)
        return is_expired or clock.unix_ms() >= self.keyed_call.deadline_unix_ms

    def _request_claim(self, deadline_unix_ms):
        keyed_call = self.keyed_call
        call = keyed_call.call
        request = ClaimRequested(
            claim_id=0,
            attempt=self._attempt_id,
            account=self.execution.account,
            service=self.execution.service.name,
            key=keyed_call.key,
            digest=digest_call(call.method, call.target, call.body),
            deadline_unix_ms=deadline_unix_ms,
        )
        claim_deadline = self.context.clock.monotonic() + self.context.claim_timeout_ms / MS_PER_S
        return self.context.claims.claim(request, claim_deadline)

    def _acquire_claim(self):
        decision = self._request_claim(self.keyed_call.deadline_unix_ms)
        if decision.status == ClaimStatus.GRANTED:
            self._is_claim_granted = True
            return None
        if decision.status == ClaimStatus.RECORDED:
            return _build_response(decision.answer)
        if decision.status == ClaimStatus.UNKNOWN:
            self._store_in_background(_build_refusal_record(_build_claim_refusal(decision.status)))
        return Failure(_build_claim_refusal(decision.status))

    def _send(self, permit, exchange):
        execution = self.execution
        data = encode_call(execution, permit, self.keyed_call.call)
        self._is_sent = True
        failure = exchange.send(self.keyed_call.call.method, data)
        failure = failure or exchange.receive_response_head(execution.attempt_id)
        if failure is None:
            busy = detect_busy(exchange.response)
            if busy is not None:
                self._is_sent = False
                return Failure(busy)
            received = exchange.receive_body(self.context.max_response_bytes)
            if isinstance(received, Success):
                return self._complete_response(permit, exchange.response, received.unwrap())
            failure = received.failure()
        return self._resolve_failed_exchange(permit, failure)

    def _complete_response(self, permit, response, body):
        content_type = response.get("content-type") or "application/octet-stream"
        record = RecordedAnswer(Verdict.RAN, response.status_code, content_type, body)
        self.execution.release_permit(permit, PermitOutcome.FINISHED)
        self._store_record(record)
        return Success(CallResponse(record.status, content_type, body, permit.upstream_id))

    def _resolve_failed_exchange(self, permit, failure):
        """Look up and store the response to a call that was sent and got no complete response.

        The call is not sent again.
        """
        record = self._look_up_record(permit)
        self.execution.release_after_failure(permit, failure)
        if record is not None:
            self._store_record(record)
            return _build_response(record, replayed=False)
        is_timeout = failure.kind is ExchangeFailureKind.TIMED_OUT
        reason = RefusalReason.UPSTREAM_SILENT if is_timeout else RefusalReason.UPSTREAM_BROKE
        refusal = self.execution.build_refusal(reason, detail=failure.detail)
        self._store_record(_build_refusal_record(refusal))
        return Failure(refusal)

    def _look_up_record(self, permit):
        path = self.execution.service.lookup_path
        if not path:
            return None
        target = f"{path}/{quote(self.keyed_call.key, safe='')}"
        max_bytes = self.context.max_response_bytes
        for _ in range(LOOKUP_ATTEMPTS):
            result = send_control_request(self.context, permit, "GET", target, max_bytes)
            found = result.value_or(None)
            if found is not None and found.status == HTTP_OK and found.outcome == Verdict.RAN:
                return RecordedAnswer(Verdict.RAN, HTTP_OK, found.content_type, found.body)
            gevent.sleep(LOOKUP_INTERVAL_S)
        return None

    def _store_record(self, record):
        """Store a record of the claimed call; on failure, retry in the background."""
        claim_deadline = self.context.clock.monotonic() + self.context.claim_timeout_ms / MS_PER_S
        if not self._complete_claim(record, claim_deadline):
            self._store_in_background(record)

    def _store_in_background(self, record):
        self.context.background_.spawn(self._retry_storing_record, record)

    def _retry_storing_record(self, record):
        for _ in range(RECORD_ATTEMPTS):
            gevent.sleep(RECORD_INTERVAL_S)
            claim_deadline = (
                self.context.clock.monotonic() + self.context.claim_timeout_ms / MS_PER_S
            )
            if self._complete_claim(record, claim_deadline):
                return
        self.context.count("records_lost", self.execution.service.name)

    def _complete_claim(self, record, deadline):
        completion = ClaimCompleted(
            claim_id=0,
            attempt=self._attempt_id,
            account=self.execution.account,
            service=self.execution.service.name,
            key=self.keyed_call.key,
            answer=record,
        )
        return self.context.claims.complete(completion, deadline)


def _build_claim_refusal(status):
    verdict, reason = CLAIM_REFUSALS[status]
    return Refusal(verdict, reason, CLAIM_RETRY_AFTER_MS, CLAIM_DETAILS[status])


def _build_refusal_record(refusal):
    """Return the record of a refused call, which has no response."""
    return RecordedAnswer(refusal.verdict, 0, JSON, encode_error(refusal))


def _build_response(record, replayed=True):
    """Return the ``Success`` of the response that a record holds.

    :param replayed: whether the record was stored by an earlier submission of the call.
    """
    status = record.status or STATUS_WITHOUT_RESPONSE
    body = record.body
    if not record.status and not body:
        detail = "the body of the recorded response was discarded"
        refusal = Refusal(Verdict(record.verdict), RefusalReason.UPSTREAM_BROKE, 0, detail)
        body = encode_error(refusal)
    return Success(CallResponse(status, record.content_type, body, "", record.verdict, replayed))
