"""Questions put to an upstream on a new connection: is it alive, and has it cancelled a request."""

from dataclasses import dataclass
from enum import StrEnum

import gevent
from returns.result import Failure, Success

from sassafrashook.gateways import Permit
from sassafrashook.messages import PermitOutcome
from sassafrashook.proxy import _headers as headers
from sassafrashook.proxy._exchanges import Exchange, ExchangeFailureKind, build_request
from sassafrashook.proxy._monitor import Watch

__all__ = ["Answer", "ask_upstream", "cancel_until_confirmed", "diagnose"]

MS_PER_S = 1_000
CANCEL_RETRY_S = 0.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class ProbeFailure(StrEnum):
    """Why a question brought no answer."""

    REFUSED = "refused"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to a question put to an upstream."""

    status: int
    boot_id: str
    outcome: str
    content_type: str
    body: bytes


def ask_upstream(context, permit, method, target, limit=65_536):
    """Put one question to the upstream of a permit, on a new connection.

    :returns: ``Success`` of an :class:`Answer`, or ``Failure`` of a :class:`ProbeFailure`.
    """
    clock = context.clock
    deadline = clock.monotonic() + context.probe_ms / MS_PER_S
    try:
        connection = context.pools_.open((permit.host, permit.port), deadline)
    except TimeoutError:
        return Failure(ProbeFailure.SILENT)
    except OSError:
        return Failure(ProbeFailure.REFUSED)
    watch = Watch()
    context.monitor_.add(watch)
    exchange = Exchange(connection, watch, context.probe_ms / MS_PER_S, clock, deadline)
    try:
        return _ask(exchange, permit, method, target, limit)
    finally:
        context.monitor_.remove(watch)
        exchange.close()


def _ask(exchange, permit, method, target, limit):
    fields = {"Host": f"{permit.host}:{permit.port}", "Connection": "close"}
    failure = exchange.send(method, build_request(method, target, fields, b""))
    while failure is None and not exchange.response.headers_complete:
        failure = exchange.receive()
    if failure is not None:
        silent = failure.kind is ExchangeFailureKind.SILENT
        return Failure(ProbeFailure.SILENT if silent else ProbeFailure.REFUSED)
    body = exchange.receive_whole(limit)
    response = exchange.response
    return Success(
        Answer(
            status=response.status_code,
            boot_id=response.get(headers.BOOT_ID) or "",
            outcome=response.get(headers.OUTCOME) or "",
            content_type=response.get("content-type") or "",
            body=body.value_or(b""),
        )
    )


def diagnose(context, permit: Permit):
    """Find out what became of an upstream whose connection broke or went silent.

    :returns: ``BROKE`` if the upstream still runs, ``CRASHED`` if it is gone or was started anew,
        ``SILENT`` if a new connection is silent too.
    """
    answer = ask_upstream(context, permit, "GET", "/healthz")
    if isinstance(answer, Failure):
        silent = answer.failure() is ProbeFailure.SILENT
        return PermitOutcome.SILENT if silent else PermitOutcome.CRASHED
    boot_id = answer.unwrap().boot_id
    if boot_id and boot_id != permit.boot_id:
        return PermitOutcome.CRASHED
    return PermitOutcome.BROKE


def cancel(context, permit, request_id):
    """Ask an engine once to drop a request.

    :returns: whether it surely runs no more.
    """
    answer = ask_upstream(context, permit, "POST", f"/v1/cancel/{request_id}")
    if isinstance(answer, Failure):
        return answer.failure() is ProbeFailure.REFUSED
    return HTTP_OK <= answer.unwrap().status < 300 or answer.unwrap().status == HTTP_NOT_FOUND


def cancel_until_confirmed(context, permit, request_id, deadline):
    """Ask an engine to drop a request until it confirms or the request's deadline passes.

    :param deadline: monotonic seconds.
    """
    while not cancel(context, permit, request_id):
        if context.clock.monotonic() >= deadline:
            return
        gevent.sleep(CANCEL_RETRY_S)
