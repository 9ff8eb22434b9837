"""Calls of plain services that may be sent again."""

from dataclasses import dataclass

from returns.result import Failure, Success

from sassafrashook.messages import PermitOutcome
from sassafrashook.outcomes import Verdict
from sassafrashook.proxy import _headers as headers
from sassafrashook.proxy._exchanges import (
    ExchangeFailure,
    ExchangeFailureKind,
    build_request,
    fail_expired,
    open_exchange,
)

__all__ = ["Call", "CallAnswer", "RepeatableCall", "build_call", "find_busy"]

MS_PER_S = 1_000
BUSY_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class Call:
    """A caller's call of a plain service.

    :param target: path and query, unchanged.
    :param fields: headers that pass through.
    """

    method: str
    target: str
    fields: dict
    body: bytes


@dataclass(slots=True, frozen=True)
class CallAnswer:
    """A whole answer.

    :param replayed: whether it is the recorded answer of an earlier submission.
    """

    status: int
    content_type: str
    body: bytes
    upstream_id: str = ""
    verdict: str = Verdict.RAN
    replayed: bool = False


def build_call(run, permit, call):
    """Return the bytes of a call for the upstream of a permit."""
    fields = {
        "Host": f"{permit.host}:{permit.port}",
        headers.REQUEST_ID: run.attempt_id,
        headers.PRIORITY: permit.priority,
        **call.fields,
    }
    return build_request(call.method, call.target, fields, call.body)


def find_busy(response):
    """Return the failure of an upstream that says that it did not run the request, or ``None``."""
    if response.status_code not in BUSY_STATUSES:
        return None
    if response.get(headers.VERDICT) != Verdict.NOT_RUN:
        return None
    return ExchangeFailure(ExchangeFailureKind.BUSY, Verdict.NOT_RUN, "upstream is busy")


class RepeatableCall:
    """One call that may run more than once.

    :param run: a :class:`~sassafrashook.proxy._runs.RequestRun`.
    :param call: a :class:`Call`.
    """

    __slots__ = ("run", "call", "context")

    def __init__(self, run, call):
        self.run = run
        self.call = call
        self.context = run.context

    def execute(self):
        """Run attempts until there is a whole answer.

        :returns: ``Success`` of a :class:`CallAnswer`, or ``Failure`` of the final refusal.
        """
        run = self.run
        self.context.monitor_.add(run.watch)
        try:
            while True:
                acquired = run.acquire()
                if isinstance(acquired, Failure):
                    return acquired
                permit = acquired.unwrap()
                result = self._try(permit)
                if isinstance(result, Success):
                    return result
                refusal = run.settle(permit, result.failure())
                if refusal is not None:
                    return Failure(refusal)
        finally:
            run.drop()
            self.context.monitor_.remove(run.watch)

    def _try(self, permit):
        run = self.run
        context = self.context
        wait_s = context.first_byte_ms / MS_PER_S
        fresh = run.attempts > 1
        opened = open_exchange(context.pools_, permit, run.watch, wait_s, run.deadline, fresh)
        if isinstance(opened, Failure):
            return opened
        exchange = opened.unwrap()
        result = self._exchange(permit, exchange)
        if isinstance(result, Failure):
            exchange.close()
            return result
        run.watch.detach()
        context.pools_.put_back(exchange.connection)
        run.release(permit, PermitOutcome.FINISHED)
        return result

    def _exchange(self, permit, exchange):
        run = self.run
        context = self.context
        if not run.watch.check_caller():
            return Failure(ExchangeFailure(ExchangeFailureKind.CALLER_GONE, Verdict.NOT_RUN))
        if context.clock.monotonic() >= min(permit.use_by, run.deadline):
            return Failure(fail_expired())
        failure = exchange.send(self.call.method, build_call(run, permit, self.call))
        failure = failure or exchange.receive_head(run.attempt_id)
        failure = failure or find_busy(exchange.response)
        if failure is not None:
            return Failure(failure)
        received = exchange.receive_whole(context.max_answer_bytes)
        if isinstance(received, Failure):
            return received
        response = exchange.response
        content_type = response.get("content-type") or "application/octet-stream"
        return Success(
            CallAnswer(response.status_code, content_type, received.unwrap(), permit.upstream_id)
        )
