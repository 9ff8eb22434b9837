"""Decoding of the liveness reports that engines send."""

import ipaddress
from typing import Literal

import msgspec
from returns.result import Failure, Success

from sassafrashook.platform._settings import split_address
from sassafrashook.registry import Registration, RegistrationState

STATES = {"ready": RegistrationState.READY, "draining": RegistrationState.DRAINING}


class _LivenessReport(msgspec.Struct, frozen=True):
    """Body of a liveness report.

    :param version: version of the engine's software.
    :param warmup_remaining_ms: remaining warm-up time, milliseconds.
    :param sequence: number of the report, which increases with each report of the engine.
    :param born: start time of the engine, Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal["ready", "draining"]
    warmup_remaining_ms: float
    sequence: int
    born: int


def decode_registration(upstream_id, body):
    """Decode a liveness report.

    :param upstream_id: id of the engine, from the path of the request.
    :param body: the report as JSON, ``bytes``.
    :returns: ``Success`` of a :class:`~sassafrashook.registry.Registration` or ``Failure`` of an
        error message.
    """
    try:
        report = msgspec.json.decode(body, type=_LivenessReport)
        host, port = split_address(report.address)
        ipaddress.IPv4Address(host)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Failure(str(error))
    if (
        report.slots <= 0
        or report.warmup_remaining_ms < 0
        or report.sequence < 0
        or report.born <= 0
    ):
        return Failure("slots, warmup_remaining_ms, sequence or born is out of range")
    return Success(
        Registration(
            upstream_id, report.born, report.sequence, STATES[report.state], report.service, host,
            port, report.zone, report.version, report.slots, report.warmup_remaining_ms,
        )  # fmt: skip
    )
