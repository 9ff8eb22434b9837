"""Health checks, cancellations and lookups sent to an upstream on a new connection."""

from dataclasses import dataclass
from enum import StrEnum

import gevent
from returns.result import Failure, Success

from sassafrashook.interfaces import Permit
from sassafrashook.messages import PermitOutcome
from sassafrashook.proxy import _header_names as headers
from sassafrashook.proxy._exchanges import Exchange, ExchangeFailureKind, build_request
from sassafrashook.proxy._monitor import SocketWatch

__all__ = ["ProbeResponse", "query_upstream", "cancel_until_confirmed", "diagnose_upstream"]

MS_PER_S = 1_000
CANCEL_RETRY_INTERVAL_S = 0.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class ProbeFailure(StrEnum):
    """Reason why a query got no response."""

    REFUSED = "refused"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class ProbeResponse:
    """Response of an upstream to a query.

    :param boot_id: value of ``X-Boot-Id``, or empty.
    :param outcome: value of ``X-Outcome``, or empty.
    :param body: body, empty if it is incomplete or larger than the limit.
    """

    status: int
    boot_id: str
    outcome: str
    content_type: str
    body: bytes


def query_upstream(context, permit, method, target, limit=65_536):
    """Send one request to the upstream of a permit on a new connection.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param target: path and query.
    :param limit: maximum size of the response body in bytes.
    :returns: ``Success`` of a :class:`ProbeResponse`, or ``Failure`` of a :class:`ProbeFailure`.
    """
    clock = context.clock
    deadline = clock.monotonic() + context.probe_timeout_ms / MS_PER_S
    try:
        connection = context.pools_.open((permit.host, permit.port), deadline)
    except TimeoutError:
        return Failure(ProbeFailure.SILENT)
    except OSError:
        return Failure(ProbeFailure.REFUSED)
    watch = SocketWatch()
    context.monitor_.add(watch)
    exchange = Exchange(connection, watch, context.probe_timeout_ms / MS_PER_S, clock, deadline)
    try:
        return _send_query(exchange, permit, method, target, limit)
    finally:
        context.monitor_.remove(watch)
        exchange.close()


def _send_query(exchange, permit, method, target, limit):
    header_fields = {"Host": f"{permit.host}:{permit.port}", "Connection": "close"}
    failure = exchange.send(method, build_request(method, target, header_fields, b""))
    while failure is None and not exchange.response.headers_complete:
        failure = exchange.receive()
    if failure is not None:
        is_silent = failure.kind is ExchangeFailureKind.SILENT
        return Failure(ProbeFailure.SILENT if is_silent else ProbeFailure.REFUSED)
    body = exchange.receive_body(limit)
    response = exchange.response
    return Success(
        ProbeResponse(
            status=response.status_code,
            boot_id=response.get(headers.BOOT_ID) or "",
            outcome=response.get(headers.OUTCOME) or "",
            content_type=response.get("content-type") or "",
            body=body.value_or(b""),
        )
    )


def diagnose_upstream(context, permit: Permit):
    """Determine the state of an upstream after a failed or timed-out connection.

    :returns: ``BROKE`` if the upstream is still running, ``CRASHED`` if it refuses connections or
        was restarted, ``SILENT`` if a new connection times out too.
    """
    result = query_upstream(context, permit, "GET", "/healthz")
    if isinstance(result, Failure):
        is_silent = result.failure() is ProbeFailure.SILENT
        return PermitOutcome.SILENT if is_silent else PermitOutcome.CRASHED
    boot_id = result.unwrap().boot_id
    if boot_id and boot_id != permit.boot_id:
        return PermitOutcome.CRASHED
    return PermitOutcome.BROKE


def cancel_request(context, permit, request_id):
    """Send one cancellation of a request to an engine.

    :param request_id: id of the attempt, as sent in ``X-Request-Id``.
    :returns: whether the request is no longer running: the engine confirmed the cancellation, does
        not know the request, or refused or broke the connection.
    """
    result = query_upstream(context, permit, "POST", f"/v1/cancel/{request_id}")
    if isinstance(result, Failure):
        return result.failure() is ProbeFailure.REFUSED
    return HTTP_OK <= result.unwrap().status < 300 or result.unwrap().status == HTTP_NOT_FOUND


def cancel_until_confirmed(context, permit, request_id, deadline):
    """Repeat the cancellation until the engine confirms it or the deadline passes.

    :param deadline: monotonic seconds.
    """
    while not cancel_request(context, permit, request_id):
        if context.clock.monotonic() >= deadline:
            return
        gevent.sleep(CANCEL_RETRY_INTERVAL_S)
