"""Calls of plain services and their responses, and the execution of repeatable calls.

Calls that must run at most once are executed by :mod:`sassafrashook.proxy._at_most_once_calls`.
"""

from dataclasses import dataclass

from returns.result import Failure, Success

from sassafrashook.messages import PermitOutcome
from sassafrashook.outcomes import Verdict
from sassafrashook.proxy import _header_names as headers
from sassafrashook.proxy._exchanges import (
    ExchangeFailure,
    ExchangeFailureKind,
    build_send_deadline_failure,
    encode_request,
    open_exchange,
)

__all__ = ["Call", "CallResponse", "RepeatableCall", "encode_call", "detect_busy"]

MS_PER_S = 1_000
BUSY_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class Call:
    """A call of a plain service.

    :param target: path and query as received.
    :param header_fields: headers that are forwarded to the upstream.
    """

    method: str
    target: str
    header_fields: dict
    body: bytes


@dataclass(slots=True, frozen=True)
class CallResponse:
    """Complete response to a call.

    :param upstream_id: upstream that sent the response, or empty for a recorded one.
    :param replayed: whether it was recorded for an earlier submission of the call.
    """

    status: int
    content_type: str
    body: bytes
    upstream_id: str = ""
    verdict: str = Verdict.RAN
    replayed: bool = False


def encode_call(execution, permit, call):
    """Encode a call for the upstream of a permit."""
    header_fields = {
        "Host": f"{permit.host}:{permit.port}",
        headers.REQUEST_ID: execution.attempt_id,
        headers.PRIORITY: permit.priority,
        **call.header_fields,
    }
    return encode_request(call.method, call.target, header_fields, call.body)


def detect_busy(response):
    """Return the failure of a 429 or 503 response with verdict ``not_run``, else ``None``."""
    if response.status_code not in BUSY_STATUSES:
        return None
    if response.get(headers.VERDICT) != Verdict.NOT_RUN:
        return None
    return ExchangeFailure(ExchangeFailureKind.BUSY, Verdict.NOT_RUN, "upstream is busy")


class RepeatableCall:
    """Executes a call that may run more than once, with retries.

    :param execution: a :class:`~sassafrashook.proxy._request_execution.RequestExecution`.
    :param call: a :class:`Call`.
    """

    __slots__ = ("execution", "call", "context")

    def __init__(self, execution, call):
        self.execution = execution
        self.call = call
        self.context = execution.context

    def execute(self):
        """Run attempts until a complete response is received or the call is refused.

        :returns: ``Success`` of a :class:`CallResponse`, or ``Failure`` of the final refusal.
        """
        execution = self.execution
        self.context.monitor_.add(execution.watch)
        try:
            while True:
                acquired = execution.acquire_permit()
                if isinstance(acquired, Failure):
                    return acquired
                permit = acquired.unwrap()
                result = self._run_attempt(permit)
                if isinstance(result, Success):
                    return result
                refusal = execution.handle_failure(permit, result.failure())
                if refusal is not None:
                    return Failure(refusal)
        finally:
            execution.release_held_permit()
            self.context.monitor_.remove(execution.watch)

    def _run_attempt(self, permit):
        execution = self.execution
        context = self.context
        receive_timeout_s = context.receive_timeout_ms / MS_PER_S
        needs_new_connection = execution.attempts > 1
        opened = open_exchange(
            context.pools_,
            permit,
            execution.watch,
            receive_timeout_s,
            execution.deadline,
            needs_new_connection,
        )
        if isinstance(opened, Failure):
            return opened
        exchange = opened.unwrap()
        result = self._perform_exchange(permit, exchange)
        if isinstance(result, Failure):
            exchange.close()
            return result
        execution.watch.detach()
        context.pools_.release(exchange.connection)
        execution.release_permit(permit, PermitOutcome.FINISHED)
        return result

    def _perform_exchange(self, permit, exchange):
        execution = self.execution
        context = self.context
        if not execution.watch.is_caller_connected():
            return Failure(ExchangeFailure(ExchangeFailureKind.CALLER_GONE, Verdict.NOT_RUN))
        if context.clock.monotonic() >= min(permit.send_deadline, execution.deadline):
            return Failure(build_send_deadline_failure())
        failure = exchange.send(self.call.method, encode_call(execution, permit, self.call))
        failure = failure or exchange.receive_response_head(execution.attempt_id)
        failure = failure or detect_busy(exchange.response)
        if failure is not None:
            return Failure(failure)
        received = exchange.receive_body(context.max_response_bytes)
        if isinstance(received, Failure):
            return received
        response = exchange.response
        content_type = response.get("content-type") or "application/octet-stream"
        return Success(
            CallResponse(response.status_code, content_type, received.unwrap(), permit.upstream_id)
        )
