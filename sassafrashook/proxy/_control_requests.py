"""Health checks, cancellations and lookups sent to an upstream on a new connection."""

from dataclasses import dataclass
from enum import StrEnum

import gevent
from returns.result import Failure, Success

from sassafrashook.interfaces import Permit
from sassafrashook.messages import PermitOutcome
from sassafrashook.proxy import _header_names as headers
from sassafrashook.proxy._exchanges import Exchange, ExchangeFailureKind, encode_request
from sassafrashook.proxy._monitor import SocketWatch

__all__ = ["ControlResponse", "send_control_request", "cancel_until_confirmed", "diagnose_upstream"]

MS_PER_S = 1_000
CANCEL_RETRY_INTERVAL_S = 0.5
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class ControlFailure(StrEnum):
    """Reason why a control request got no response.

    :cvar CONNECTION_FAILED: the connection was refused or failed, or the response was malformed.
    :cvar TIMED_OUT: the upstream did not accept the connection or send a response head in time.
    """

    CONNECTION_FAILED = "refused"
    TIMED_OUT = "silent"


@dataclass(slots=True, frozen=True)
class ControlResponse:
    """Response of an upstream to a control request.

    :param boot_id: value of ``X-Boot-Id``, or empty.
    :param outcome: value of ``X-Outcome``, or empty.
    :param body: body, empty if it is incomplete or larger than the limit.
    """

    status: int
    boot_id: str
    outcome: str
    content_type: str
    body: bytes


def send_control_request(context, permit, method, target, limit=65_536):
    """Send one control request to the upstream of a permit on a new connection.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param target: path and query.
    :param limit: maximum size of the response body in bytes.
    :returns: ``Success`` of a :class:`ControlResponse`, or ``Failure`` of a
        :class:`ControlFailure`.
    """
    clock = context.clock
    deadline = clock.monotonic() + context.control_timeout_ms / MS_PER_S
    try:
        connection = context.pools_.open((permit.host, permit.port), deadline)
    except TimeoutError:
        return Failure(ControlFailure.TIMED_OUT)
    except OSError:
        return Failure(ControlFailure.CONNECTION_FAILED)
    watch = SocketWatch()
    context.monitor_.add(watch)
    exchange = Exchange(connection, watch, context.control_timeout_ms / MS_PER_S, clock, deadline)
    try:
        return _perform_control_exchange(exchange, permit, method, target, limit)
    finally:
        context.monitor_.remove(watch)
        exchange.close()


def _perform_control_exchange(exchange, permit, method, target, limit):
    header_fields = {"Host": f"{permit.host}:{permit.port}", "Connection": "close"}
    failure = exchange.send(method, encode_request(method, target, header_fields, b""))
    while failure is None and not exchange.response.headers_complete:
        failure = exchange.receive()
    if failure is not None:
        is_timeout = failure.kind is ExchangeFailureKind.TIMED_OUT
        return Failure(ControlFailure.TIMED_OUT if is_timeout else ControlFailure.CONNECTION_FAILED)
    body = exchange.receive_body(limit)
    response = exchange.response
    return Success(
        ControlResponse(
            status=response.status_code,
            boot_id=response.get(headers.BOOT_ID) or "",
            outcome=response.get(headers.OUTCOME) or "",
            content_type=response.get("content-type") or "",
            body=body.value_or(b""),
        )
    )


def diagnose_upstream(context, permit: Permit):
    """Determine the state of an upstream after a failed or timed-out connection.

    :returns: ``BROKE`` if the upstream is still running, ``SILENT`` if the health check times out,
        ``CRASHED`` if the health check fails otherwise or returns another boot id.
    """
    result = send_control_request(context, permit, "GET", "/healthz")
    if isinstance(result, Failure):
        is_timeout = result.failure() is ControlFailure.TIMED_OUT
        return PermitOutcome.SILENT if is_timeout else PermitOutcome.CRASHED
    boot_id = result.unwrap().boot_id
    if boot_id and boot_id != permit.boot_id:
        return PermitOutcome.CRASHED
    return PermitOutcome.BROKE


def cancel_request(context, permit, attempt_id):
    """Send one cancellation of an attempt to an engine.

    :param attempt_id: id of the attempt, as sent in ``X-Request-Id``.
    :returns: whether the attempt no longer counts as running: the engine confirmed the
        cancellation, does not know the attempt, or the control request failed other than by
        timeout.
    """
    result = send_control_request(context, permit, "POST", f"/v1/cancel/{attempt_id}")
    if isinstance(result, Failure):
        return result.failure() is ControlFailure.CONNECTION_FAILED
    return HTTP_OK <= result.unwrap().status < 300 or result.unwrap().status == HTTP_NOT_FOUND


def cancel_until_confirmed(context, permit, attempt_id, deadline):
    """Repeat the cancellation until the attempt no longer counts as running or the deadline passes.

    :param deadline: monotonic seconds.
    """
    while not cancel_request(context, permit, attempt_id):
        if context.clock.monotonic() >= deadline:
            return
        gevent.sleep(CANCEL_RETRY_INTERVAL_S)
